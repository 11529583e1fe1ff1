//! Retries as a share of requests.

/// Requests' worth of retries that may be saved up.
const SAVED: f64 = 10.0;

/// Each request adds its share; each retry takes one away.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// A full budget that allows `share` retries a request.
    pub fn new(share: f64) -> Self {
        Self { share, saved: SAVED }
    }

    /// Takes a changed share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a request.
    pub fn note_request(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
