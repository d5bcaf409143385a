//! Paired comparison of two builds that ran the same experiments with the same seeds.

/// Statistics of the pairwise differences of one figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Paired {
    /// Mean of B - A.
    pub mean: f64,
    /// Sample standard deviation of the differences.
    pub deviation: f64,
    /// Smallest and largest difference.
    pub range: (f64, f64),
}

/// Computes B - A for each `(A, B)` pair; returns `None` if there are no pairs.
pub fn paired(pairs: &[(f64, f64)]) -> Option<Paired> {
    let differences: Vec<f64> = pairs.iter().map(|(a, b)| b - a).collect();
    let count = differences.len() as f64;
    if differences.is_empty() {
        return None;
    }
    let mean = differences.iter().sum::<f64>() / count;
    let squares: f64 = differences.iter().map(|d| (d - mean).powi(2)).sum();
    let least = differences.iter().copied().fold(f64::INFINITY, f64::min);
    let most = differences.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    Some(Paired { mean, deviation: (squares / (count - 1.0).max(1.0)).sqrt(), range: (least, most) })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn differences_are_taken_pair_by_pair() {
        let all = paired(&[(0.1, 0.4), (0.5, 0.6), (0.9, 1.1)]).unwrap();
        assert!((all.mean - 0.2).abs() < 1e-9 && (all.deviation - 0.1).abs() < 1e-9, "{all:?}");
        assert!((all.range.0 - 0.1).abs() < 1e-9 && (all.range.1 - 0.3).abs() < 1e-9, "{all:?}");
        assert_eq!(paired(&[]), None);
    }
}
