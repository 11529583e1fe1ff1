//! Limits retries to a share of requests.

/// Largest number of unused retries that are kept.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Token bucket for retries: each request adds `share`, each retry takes 1.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget that allows `share` retries per request.
    pub fn new(share: f64) -> Self {
        Self { share, saved: MAX_SAVED_RETRIES }
    }

    /// Replaces the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Adds the share of one request.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry; returns false if none is left.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
