//! The attempts to catch up that are under way, as futures.

use super::attempts::AttemptId;
use super::frames::FrameError;
use futures_util::future::{FutureExt, LocalBoxFuture};
use std::future::poll_fn;
use std::task::Poll;

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    /// Which one.
    pub id: AttemptId,
    /// How.
    pub end: Result<(), FrameError>,
}

/// The attempts that are under way.
#[derive(Default)]
pub(super) struct RunningAttempts(
    Vec<(AttemptId, LocalBoxFuture<'static, Result<(), FrameError>>)>,
);

impl RunningAttempts {
    /// Adds an attempt, which runs while [`next`](Self::next) is awaited.
    pub fn add(
        &mut self,
        id: AttemptId,
        attempt: impl Future<Output = Result<(), FrameError>> + 'static,
    ) {
        self.0.push((id, attempt.boxed_local()));
    }

    /// Returns true if no attempt is under way.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Waits until one of them ends.
    pub async fn next(&mut self) -> EndedAttempt {
        poll_fn(|context| {
            for at in 0..self.0.len() {
                if let Poll::Ready(end) = self.0[at].1.poll_unpin(context) {
                    let (id, _) = self.0.swap_remove(at);
                    return Poll::Ready(EndedAttempt { id, end });
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Ends one of them.
    pub fn end(&mut self, ended: AttemptId) {
        self.0.retain(|(id, _)| *id != ended);
    }

    /// Ends all of them.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
