//! Fits a line to measurements by least squares and checks how well it forecasts the largest of them.

use serde::Serialize;

/// The largest relative error of a forecast for which the line counts as reliable.
pub const MAX_FORECAST_ERROR: f64 = 0.15;
/// Fewer points say nothing about the error of a line.
const MIN_POINTS: usize = 3;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size of what was measured.
    pub size: f64,
    /// Cost at that size.
    pub cost: f64,
}

/// A line fitted to points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Cost at size 0.
    pub intercept: f64,
    /// Additional cost per unit of size.
    pub slope: f64,
    /// Root mean square of the points' distances from the line, in units of cost.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to at least three points of at least two sizes; none if there are fewer.
    pub fn of(points: &[Point]) -> Option<Fit> {
        if points.len() < MIN_POINTS {
            return None;
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        if spread == 0.0 {
            return None;
        }
        let covariance: f64 =
            points.iter().map(|point| (point.size - mean_size) * (point.cost - mean_cost)).sum();
        let slope = covariance / spread;
        let intercept = mean_cost - slope * mean_size;
        let squared_error = |point: &Point| (point.cost - intercept - slope * point.size).powi(2);
        let residual = (points.iter().map(squared_error).sum::<f64>() / count).sqrt();
        Some(Fit { intercept, slope, residual })
    }

    /// Returns the line's cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// A line fitted to all points but the largest, compared with the largest.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Forecast {
    /// The line.
    pub fit: Fit,
    /// The largest size.
    pub size: f64,
    /// The line's cost at the largest size.
    pub forecast: f64,
    /// The cost measured at the largest size.
    pub measured: f64,
    /// Relative error of the forecast; positive if the forecast is too high.
    pub error: f64,
    /// Whether the error is within [`MAX_FORECAST_ERROR`].
    pub holds: bool,
}

impl Forecast {
    /// Forecasts the largest point from the smaller ones; none with fewer than three smaller points or if the largest
    /// cost is 0.
    pub fn of(points: &[Point]) -> Option<Forecast> {
        let largest = points.iter().copied().max_by(|a, b| a.size.total_cmp(&b.size))?;
        let smaller: Vec<Point> = points.iter().copied().filter(|point| point.size < largest.size).collect();
        let fit = Fit::of(&smaller)?;
        let forecast = fit.at(largest.size);
        if largest.cost == 0.0 {
            return None;
        }
        let error = (forecast - largest.cost) / largest.cost;
        let holds = error.abs() <= MAX_FORECAST_ERROR;
        Some(Forecast { fit, size: largest.size, forecast, measured: largest.cost, error, holds })
    }
}
