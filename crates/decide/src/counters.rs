//! Statistics over time. They contain no policy: callers choose the windows.

use std::collections::VecDeque;

use crate::interface::Nanos;

/// A sum whose terms decay exponentially with their age.
#[derive(Clone, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    updated_at: Nanos,
}

impl DecayingSum {
    /// Returns the sum at `now`. A term of age `window` (ns) counts 1/e of its amount.
    pub fn get(&self, now: Nanos, window: f64) -> f64 {
        self.sum * (-(now.saturating_sub(self.updated_at) as f64) / window).exp()
    }

    /// Adds a term.
    pub fn add(&mut self, now: Nanos, window: f64, amount: f64) {
        *self = DecayingSum { sum: self.get(now, window) + amount, updated_at: now };
    }
}

/// The exact times of recent events.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow(VecDeque<Nanos>);

impl SlidingWindow {
    /// Adds an event and drops those older than `span`.
    pub fn add(&mut self, now: Nanos, span: Nanos) {
        self.count_since(now.saturating_sub(span));
        self.0.push_back(now);
    }

    /// Returns the number of events at `oldest` or later and drops the earlier ones.
    pub fn count_since(&mut self, oldest: Nanos) -> usize {
        while self.0.front().is_some_and(|&at| at < oldest) {
            self.0.pop_front();
        }
        self.0.len()
    }
}

/// Smoothed mean and mean deviation of a series of samples.
#[derive(Clone, Debug, Default)]
pub struct RunningStats {
    /// Smoothed mean; an estimate until the first sample.
    pub mean: f64,
    /// Smoothed mean absolute deviation.
    pub deviation: f64,
    /// Number of samples so far, up to the limit given to [`RunningStats::add`].
    pub samples: f64,
}

impl RunningStats {
    /// Starts with an estimate, which the first sample replaces.
    pub fn with_estimate(mean: f64) -> Self {
        RunningStats { mean, deviation: mean, samples: 0.0 }
    }

    /// Adds a sample. About the last `max_samples` samples count.
    pub fn add(&mut self, sample: f64, max_samples: f64) {
        self.samples = (self.samples + 1.0).min(max_samples);
        let difference = sample - self.mean;
        self.mean = (self.mean + difference / self.samples).max(f64::MIN_POSITIVE);
        self.deviation += (difference.abs() - self.deviation) / self.samples.max(8.0);
    }
}

/// Returns the mean of the values; `None` if there are none.
pub fn mean(values: impl IntoIterator<Item = f64>) -> Option<f64> {
    let (mut sum, mut count) = (0.0, 0.0);
    for value in values {
        (sum, count) = (sum + value, count + 1.0);
    }
    (count > 0.0).then_some(sum / count)
}

/// Returns the median of the values; the lower one of two, and 0 if there are none.
pub fn median(values: impl IntoIterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = values.into_iter().collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn decaying_sum_counts_a_term_of_age_window_by_1_over_e() {
        let mut sum = DecayingSum::default();
        sum.add(1_000, 100.0, 2.0);
        assert_eq!(sum.get(1_000, 100.0), 2.0);
        assert!((sum.get(1_100, 100.0) - 2.0 / std::f64::consts::E).abs() < 1e-12);
    }

    #[test]
    fn running_stats_replace_the_estimate_by_the_first_sample_and_then_average() {
        let mut stats = RunningStats::with_estimate(50.0);
        stats.add(10.0, 4.0);
        assert_eq!(stats.mean, 10.0);
        stats.add(20.0, 4.0);
        assert_eq!((stats.mean, stats.samples), (15.0, 2.0));
        (0..100).for_each(|_| stats.add(40.0, 4.0));
        assert!((stats.mean - 40.0).abs() < 1e-6 && stats.deviation < 1.0 && stats.samples == 4.0);
    }

    #[test]
    fn mean_and_median_of_none_one_and_several_values() {
        assert_eq!((mean([]), mean([1.0, 2.0, 6.0])), (None, Some(3.0)));
        assert_eq!((median([]), median([9.0]), median([4.0, 1.0])), (0.0, 9.0, 1.0));
        assert_eq!(median([5.0, 1.0, 3.0]), 3.0);
    }

    #[test]
    fn sliding_window_includes_its_oldest_instant_and_nothing_earlier() {
        let mut window = SlidingWindow::default();
        [10, 20, 20, 30].into_iter().for_each(|at| window.add(at, 100));
        assert_eq!(window.count_since(10), 4);
        assert_eq!(window.count_since(20), 3);
        assert_eq!(window.count_since(21), 1);
        assert_eq!(window.count_since(31), 0);
    }
}
