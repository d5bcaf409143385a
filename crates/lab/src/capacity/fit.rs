//! Least-squares fits of a cost by size, and their forecasts of a larger size.

use serde::{Deserialize, Serialize};

/// The largest relative error of a forecast at which a fit may be used for larger sizes.
pub const MAX_FORECAST_ERROR: f64 = 0.15;

/// The term by which a cost grows with size: cost = intercept + slope * term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// No term: the cost is the same at all sizes.
    Constant,
    /// The natural logarithm of the size.
    Logarithmic,
    /// The size.
    Linear,
    /// The size times its natural logarithm.
    LinearLogarithmic,
}

impl Form {
    /// All forms that grow, the slowest growing first.
    pub const GROWING: [Form; 3] = [Form::Logarithmic, Form::Linear, Form::LinearLogarithmic];

    /// Returns the term at a size.
    pub fn term(self, size: f64) -> f64 {
        match self {
            Form::Constant => 0.0,
            Form::Logarithmic => size.ln(),
            Form::Linear => size,
            Form::LinearLogarithmic => size * size.ln(),
        }
    }

    /// Returns the term as it is printed; `n` is the size.
    pub fn name(self) -> &'static str {
        match self {
            Form::Constant => "of nothing",
            Form::Logarithmic => "ln n",
            Form::Linear => "n",
            Form::LinearLogarithmic => "n ln n",
        }
    }
}

/// A measurement at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The size.
    pub size: f64,
    /// The median of the measured values.
    pub value: f64,
}

/// A fitted curve.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// How the cost grows.
    pub form: Form,
    /// The cost at a term of zero.
    pub intercept: f64,
    /// The cost per unit of the term.
    pub slope: f64,
    /// Root mean square of the samples' distances from the curve.
    pub residual: f64,
}

impl Fit {
    /// Fits a curve of this form by least squares; none if the samples do not determine one.
    pub fn of(form: Form, samples: &[Sample]) -> Option<Fit> {
        let count = samples.len() as f64;
        let terms: Vec<f64> = samples.iter().map(|sample| form.term(sample.size)).collect();
        let mean_term = terms.iter().sum::<f64>() / count;
        let mean_value = samples.iter().map(|sample| sample.value).sum::<f64>() / count;
        let variance: f64 = terms.iter().map(|term| (term - mean_term).powi(2)).sum();
        let grows = form != Form::Constant;
        if samples.len() < 2 || grows && variance <= f64::EPSILON {
            return None;
        }
        let pairs = terms.iter().zip(samples);
        let covariance: f64 =
            pairs.map(|(term, sample)| (term - mean_term) * (sample.value - mean_value)).sum();
        let slope = if grows { covariance / variance } else { 0.0 };
        let intercept = mean_value - slope * mean_term;
        let squares = terms.iter().zip(samples);
        let squares = squares.map(|(term, sample)| (intercept + slope * term - sample.value).powi(2));
        let residual = (squares.sum::<f64>() / count).sqrt();
        Some(Fit { form, intercept, slope, residual })
    }

    /// Returns the fit of the growing form with the smallest residual; a constant if no form has a positive slope.
    pub fn best(samples: &[Sample]) -> Option<Fit> {
        let fits = Form::GROWING.into_iter().filter_map(|form| Fit::of(form, samples));
        let growing = fits.filter(|fit| fit.slope > 0.0);
        let best = growing.min_by(|one, other| one.residual.total_cmp(&other.residual));
        best.or_else(|| Fit::of(Form::Constant, samples))
    }

    /// Returns the cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.form.term(size)
    }
}

/// A fit of the smaller sizes, compared with the measurement at the largest one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// The fit of all sizes but the largest.
    pub fit: Fit,
    /// The largest size.
    pub size: f64,
    /// The fit's forecast at the largest size.
    pub forecast: f64,
    /// The value measured at the largest size.
    pub measured: f64,
    /// Relative error: forecast / measured - 1.
    pub error: f64,
}

impl Check {
    /// Fits all samples but the last with the best form and forecasts the last; none if there are too few samples.
    pub fn of(samples: &[Sample]) -> Option<Check> {
        let (last, smaller) = samples.split_last()?;
        let fit = Fit::best(smaller)?;
        let forecast = fit.at(last.size);
        let error = forecast / last.value - 1.0;
        Some(Check { fit, size: last.size, forecast, measured: last.value, error })
    }

    /// Returns whether the forecast is accurate enough to use the fit beyond the measured sizes.
    pub fn holds(&self) -> bool {
        self.error.abs() <= MAX_FORECAST_ERROR
    }
}
