//! Linear regression over measured points.

/// Fits a line by least squares; returns its value at 0 and its slope.
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len().max(1) as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    (mean_y - slope * mean_x, slope)
}
