//! A straight line through measured points.

/// `fixed + slope * size`, with the largest deviation from it.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    /// At size 0.
    pub fixed: f64,
    /// For each unit of size.
    pub slope: f64,
    /// The largest deviation of a point, as a share of its value.
    pub worst: f64,
}

impl Line {
    /// The least-squares line through `(size, value)` points.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let fixed = mean_y - slope * mean_x;
        let off = |(x, y): &(f64, f64)| ((fixed + slope * x - y) / y).abs();
        let worst = points.iter().map(off).fold(0.0, f64::max);
        Self { fixed, slope, worst }
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.slope * size
    }
}
