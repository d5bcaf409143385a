//! All counters of a node. The driver counts a request when it receives it, and once more when the request ends, so the
//! number of pending requests is a difference and cannot drift from the counters.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use merlinfold_fleet::Snapshot;
use merlinfold_settings::NameTable;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served in full.
    Completed,
    /// Refused; a retry does no harm.
    Rejected,
    /// Answered with a failure.
    Failed,
    /// The client left before the end of the response.
    ClientLeft,
}

const REQUEST_END_COUNT: usize = 4;

#[derive(Clone, Debug, Default)]
struct ClassCounts {
    name: String,
    received: u64,
    ended: [u64; REQUEST_END_COUNT],
}

/// Sums over all classes since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests received.
    pub received: u64,
    /// Requests that ended, indexed by [`RequestEnd`].
    pub ended: [u64; REQUEST_END_COUNT],
}

impl Totals {
    /// Returns the number of requests that ended in this way.
    pub fn ended_as(&self, end: RequestEnd) -> u64 {
        self.ended[end as usize]
    }

    /// Returns the difference to an earlier snapshot.
    pub fn since(&self, earlier: &Totals) -> Totals {
        let ended = std::array::from_fn(|n| self.ended[n] - earlier.ended[n]);
        Totals { received: self.received - earlier.received, ended }
    }
}

/// Counts attempts whose last byte was handed to a connection.
#[derive(Clone, Debug, Default)]
pub struct AttemptCounter(Arc<AtomicU64>);

impl AttemptCounter {
    /// Counts an attempt.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Uncounts an attempt whose connection had ended before anything was written.
    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The counters since the process started.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<ClassCounts>,
    sent_attempts: AttemptCounter,
}

impl Metrics {
    /// Creates the counters of all classes, at 0.
    pub fn new(classes: &NameTable) -> Self {
        let counts_of = |name: &str| ClassCounts { name: name.to_owned(), ..ClassCounts::default() };
        Metrics {
            classes: classes.names().map(counts_of).collect(),
            sent_attempts: AttemptCounter::default(),
        }
    }

    /// Returns the counter that attempts increment.
    pub fn sent_attempts(&self) -> AttemptCounter {
        self.sent_attempts.clone()
    }

    /// Counts a request received.
    pub fn request_received(&mut self, class: usize) {
        self.classes[class].received += 1;
    }

    /// Counts the end of a request.
    pub fn request_ended(&mut self, class: usize, end: RequestEnd) {
        self.classes[class].ended[end as usize] += 1;
    }

    /// Returns the sums over all classes.
    pub fn totals(&self) -> Totals {
        self.classes.iter().fold(Totals::default(), |sum, class| Totals {
            received: sum.received + class.received,
            ended: std::array::from_fn(|n| sum.ended[n] + class.ended[n]),
        })
    }

    /// Returns the number of requests that were received and have not ended.
    pub fn pending(&self) -> u64 {
        let Totals { received, ended } = self.totals();
        received - ended.iter().sum::<u64>()
    }

    /// Writes the counters for operators, one `name=value` per line.
    pub fn text(&self, members: usize, unavailable: usize) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "edge_balancer.{name}={value}"); // writing to a string cannot fail
        };
        for class in &self.classes {
            for (name, end) in [
                ("completed", RequestEnd::Completed),
                ("rejected", RequestEnd::Rejected),
                ("failed", RequestEnd::Failed),
            ] {
                line(&format!("downstream_requests.{}.{name}", class.name), class.ended[end as usize]);
            }
        }
        line("upstream_requests", self.sent_attempts.0.load(Ordering::Relaxed));
        line("pending", self.pending());
        line("members", members as u64);
        line("members_unavailable", unavailable as u64);
        text
    }
}

/// Writes the view of the fleet in the same form.
pub fn fleet_text(fleet: &Snapshot) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: u64| {
        let _ = writeln!(text, "edge_balancer.fleet_{name}={value}"); // writing to a string cannot fail
    };
    line("members", fleet.alive as u64);
    line("known", fleet.known as u64);
    line("suspects", fleet.suspects as u64);
    line("heard", fleet.heard as u64);
    line("majority", fleet.majority.into());
    line("takes_part", fleet.takes_part.into());
    fleet.counts.iter().for_each(|(name, count)| line(name, *count));
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lists_every_class_from_the_start_and_counts_each_received_request_as_pending_or_ended() {
        let mut names = NameTable::default();
        names.intern("read");
        names.intern("write");
        let mut metrics = Metrics::new(&names);
        assert_eq!(
            metrics.text(2, 1),
            "edge_balancer.downstream_requests.read.completed=0\n\
             edge_balancer.downstream_requests.read.rejected=0\n\
             edge_balancer.downstream_requests.read.failed=0\n\
             edge_balancer.downstream_requests.write.completed=0\n\
             edge_balancer.downstream_requests.write.rejected=0\n\
             edge_balancer.downstream_requests.write.failed=0\n\
             edge_balancer.upstream_requests=0\n\
             edge_balancer.pending=0\n\
             edge_balancer.members=2\n\
             edge_balancer.members_unavailable=1\n"
        );
        for _ in 0..3 {
            metrics.request_received(1);
        }
        metrics.request_ended(1, RequestEnd::Rejected);
        metrics.request_ended(1, RequestEnd::ClientLeft);
        metrics.sent_attempts().increment();
        let text = metrics.text(0, 0);
        for line in ["downstream_requests.write.rejected=1", "pending=1", "upstream_requests=1"] {
            assert!(text.contains(&format!("edge_balancer.{line}\n")), "{line} is not in {text}");
        }
    }
}
