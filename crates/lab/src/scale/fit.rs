//! A straight line through measurements by least squares, and how well it forecasts the largest of them.

use serde::Serialize;

/// Share by which a forecast may miss the measurement until the line is not to be relied on.
pub const MISS_MAX: f64 = 0.15;
/// Points below which a line says nothing about its own error.
const POINTS_MIN: usize = 3;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size of what was measured.
    pub size: f64,
    /// Cost at that size.
    pub cost: f64,
}

/// A line through points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Cost at size 0.
    pub intercept: f64,
    /// Further cost for each unit of size.
    pub slope: f64,
    /// Root mean square of what the points are off the line.
    pub residual: f64,
}

impl Fit {
    /// Through at least three points of at least two sizes; none where there are fewer.
    pub fn of(points: &[Point]) -> Option<Fit> {
        if points.len() < POINTS_MIN {
            return None;
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        if spread == 0.0 {
            return None;
        }
        let common: f64 =
            points.iter().map(|point| (point.size - mean_size) * (point.cost - mean_cost)).sum();
        let slope = common / spread;
        let intercept = mean_cost - slope * mean_size;
        let off = |point: &Point| (point.cost - intercept - slope * point.size).powi(2);
        let residual = (points.iter().map(off).sum::<f64>() / count).sqrt();
        Some(Fit { intercept, slope, residual })
    }

    /// The line's cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// A line through all points but the largest, held against that one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Forecast {
    /// The line.
    pub fit: Fit,
    /// The largest size.
    pub size: f64,
    /// The line's cost there.
    pub forecast: f64,
    /// The cost measured there.
    pub measured: f64,
    /// Share of the measured cost by which the line misses it: positive where it says too much.
    pub error: f64,
    /// Whether that is within [`MISS_MAX`].
    pub holds: bool,
}

impl Forecast {
    /// From the smaller points on the largest; none without three smaller ones or where nothing was measured.
    pub fn of(points: &[Point]) -> Option<Forecast> {
        let largest = points.iter().copied().max_by(|a, b| a.size.total_cmp(&b.size))?;
        let smaller: Vec<Point> = points.iter().copied().filter(|point| point.size < largest.size).collect();
        let fit = Fit::of(&smaller)?;
        let forecast = fit.at(largest.size);
        if largest.cost == 0.0 {
            return None;
        }
        let error = (forecast - largest.cost) / largest.cost;
        let holds = error.abs() <= MISS_MAX;
        Some(Forecast { fit, size: largest.size, forecast, measured: largest.cost, error, holds })
    }
}
