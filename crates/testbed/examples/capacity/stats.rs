//! Least squares and quantiles.

use std::fmt;

/// A straight line through points.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    slope: f64,
    intercept: f64,
    /// Root of the mean square of the residuals.
    residual: f64,
}

/// Fits a line by least squares.
pub fn line(points: impl Iterator<Item = (f64, f64)>) -> Line {
    let points: Vec<(f64, f64)> = points.collect();
    let n = points.len() as f64;
    let mean = |f: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mx, my) = (mean(&|p| p.0), mean(&|p| p.1));
    let covariance = mean(&|p| (p.0 - mx) * (p.1 - my));
    let variance = mean(&|p| (p.0 - mx).powi(2));
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let intercept = my - slope * mx;
    let residual = mean(&|p| (p.1 - intercept - slope * p.0).powi(2)).sqrt();
    Line { slope, intercept, residual }
}

/// The value at a quantile, by nearest rank; not a number when there are no values.
pub fn quantile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * quantile).round() as usize).copied().unwrap_or(f64::NAN)
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "slope {:.5}, intercept {:.3}, residual {:.3}", self.slope, self.intercept, self.residual)
    }
}
