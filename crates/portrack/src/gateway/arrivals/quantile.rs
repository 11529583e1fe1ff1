//! A quantile of what is observed, followed without keeping it.

/// How far one observation moves the estimate at least: older ones fade after some twenty.
const LEAST_STEP: f64 = 0.05;

/// Follows a quantile of positive values.
#[derive(Debug, Clone, Copy)]
pub struct Quantile {
    share: f64,
    value: f64,
    seen: f64,
}

impl Quantile {
    /// Follows the value below which `share` of the observations lie; `first` until there are any.
    pub fn new(share: f64, first: f64) -> Self {
        Self { share, value: first, seen: 0.0 }
    }

    /// Takes an observation in.
    pub fn observe(&mut self, value: f64) {
        if !(value.is_finite() && value > 0.0) {
            return;
        }
        self.seen += 1.0;
        let step = (1.0 / self.seen).max(LEAST_STEP);
        let up = if value > self.value { self.share } else { self.share - 1.0 };
        self.value *= 1.0 + step * up;
    }

    /// The estimate.
    pub fn get(&self) -> f64 {
        self.value
    }
}
