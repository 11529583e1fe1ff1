//! Estimates a quantile of a stream of values without storing them.

/// Minimum relative step per observation: older ones decay after about twenty.
const MIN_STEP: f64 = 0.05;

/// Estimates a quantile of positive values.
#[derive(Debug, Clone, Copy)]
pub struct Quantile {
    quantile: f64,
    value: f64,
    samples: f64,
}

impl Quantile {
    /// Estimates the value below which the share `quantile` of the observations lies, starting from
    /// `first`.
    pub fn new(quantile: f64, first: f64) -> Self {
        Self { quantile, value: first, samples: 0.0 }
    }

    /// Adds an observation.
    pub fn observe(&mut self, value: f64) {
        if !(value.is_finite() && value > 0.0) {
            return;
        }
        self.samples += 1.0;
        let step = (1.0 / self.samples).max(MIN_STEP);
        let up = if value > self.value { self.quantile } else { self.quantile - 1.0 };
        self.value *= 1.0 + step * up;
    }

    /// The estimate.
    pub fn get(&self) -> f64 {
        self.value
    }
}
