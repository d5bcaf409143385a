//! The load report of a server, from the `x-pressure` header of a response.

use super::*;

/// Parses `TEXT name=value, name=value`; returns `None` for any other format and ignores invalid values.
pub(super) fn load_report(value: &HeaderValue) -> Option<LoadReport> {
    let figures = value.to_str().ok()?.trim().strip_prefix("TEXT ")?;
    let mut report = LoadReport::default();
    for (name, value) in figures.split(',').filter_map(|pair| pair.split_once('=')) {
        if let Some(value) = value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0) {
            set_load_metric(&mut report, name.trim(), value);
        }
    }
    Some(report)
}
