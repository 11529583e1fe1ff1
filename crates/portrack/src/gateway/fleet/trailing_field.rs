//! Fields that a message has grown at its end.

use serde::{Deserialize, Deserializer};

/// Reads a field at the very end of a message that former builds do not write: left out, it has its default. Without
/// it two builds would be deaf to each other while the nodes of a fleet are replaced.
pub fn or_default<'de, D, T>(from: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(from).unwrap_or_default())
}
