//! Line fits by least squares, and quantiles.

use std::fmt;

/// A line fitted to points.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    slope: f64,
    intercept: f64,
    /// Root of the mean square of the residuals.
    residual: f64,
}

/// Fits a line by least squares.
pub fn fit_line(points: impl Iterator<Item = (f64, f64)>) -> Line {
    let points: Vec<(f64, f64)> = points.collect();
    let n = points.len() as f64;
    let mean = |f: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(&|p| p.0), mean(&|p| p.1));
    let covariance = mean(&|p| (p.0 - mean_x) * (p.1 - mean_y));
    let variance = mean(&|p| (p.0 - mean_x).powi(2));
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let intercept = mean_y - slope * mean_x;
    let residual = mean(&|p| (p.1 - intercept - slope * p.0).powi(2)).sqrt();
    Line { slope, intercept, residual }
}

/// Sorts the values and returns the one at a quantile from 0 to 1, by nearest rank. NaN if there are no values.
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
