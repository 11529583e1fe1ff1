//! How the service misbehaves.

use std::time::Duration;

/// One kind of misbehaviour.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// It works.
    #[default]
    None,
    /// It answers nothing but errors.
    Down,
    /// Every answer takes this long.
    Slow(Duration),
    /// Writes take effect, and their answers are lost.
    LoseWriteAnswers,
}
