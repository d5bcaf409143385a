//! All counts of a node, in one place. The driver counts a request where it takes it, and once where it takes
//! the request's client off its table; so what is pending is a difference and cannot drift from the rest.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use merlinfold_fleet::Snapshot;
use merlinfold_settings::NameTable;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served whole.
    Completed,
    /// Refused: trying again does no harm.
    Rejected,
    /// Failed.
    Failed,
    /// Its client did not wait for the answer.
    ClientLeft,
}

const ENDS: usize = 4;

#[derive(Clone, Debug, Default)]
struct ClassCounts {
    name: String,
    received: u64,
    ended: [u64; ENDS],
}

/// Sums over all classes since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests taken.
    pub received: u64,
    /// Those that ended, by [`End`].
    pub ended: [u64; ENDS],
}

impl Totals {
    /// Of one end.
    pub fn ended_as(&self, end: RequestEnd) -> u64 {
        self.ended[end as usize]
    }

    /// What was added since an earlier look.
    pub fn since(&self, earlier: &Totals) -> Totals {
        let ended = std::array::from_fn(|n| self.ended[n] - earlier.ended[n]);
        Totals { received: self.received - earlier.received, ended }
    }
}

/// Counts attempts whose last byte was handed to their connection.
#[derive(Clone, Debug, Default)]
pub struct AttemptCounter(Arc<AtomicU64>);

impl AttemptCounter {
    /// One more.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// One less: its connection had ended, and nothing was written.
    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The counts since the process started.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<ClassCounts>,
    sent_attempts: AttemptCounter,
}

impl Metrics {
    /// All at 0, with each class in its place.
    pub fn new(classes: &NameTable) -> Self {
        let of = |name: &str| ClassCounts { name: name.to_owned(), ..ClassCounts::default() };
        Metrics { classes: classes.names().map(of).collect(), sent_attempts: AttemptCounter::default() }
    }

    /// What attempts report to.
    pub fn sent_attempts(&self) -> AttemptCounter {
        self.sent_attempts.clone()
    }

    /// A request has been taken.
    pub fn request_received(&mut self, class: usize) {
        self.classes[class].received += 1;
    }

    /// It has ended.
    pub fn request_ended(&mut self, class: usize, end: RequestEnd) {
        self.classes[class].ended[end as usize] += 1;
    }

    /// Over all classes.
    pub fn totals(&self) -> Totals {
        self.classes.iter().fold(Totals::default(), |sum, class| Totals {
            received: sum.received + class.received,
            ended: std::array::from_fn(|n| sum.ended[n] + class.ended[n]),
        })
    }

    /// Requests taken that have not ended.
    pub fn pending(&self) -> u64 {
        let Totals { received: taken, ended } = self.totals();
        taken - ended.iter().sum::<u64>()
    }

    /// As operators read them, one `name=value` a line.
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

/// What operators read of the fleet, in the same form.
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
    fn every_class_is_listed_from_the_start_and_what_was_taken_is_pending_or_ended() {
        let mut names = NameTable::default();
        names.intern("read");
        names.intern("write");
        let mut figures = Metrics::new(&names);
        assert_eq!(
            figures.text(2, 1),
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
            figures.request_received(1);
        }
        figures.request_ended(1, RequestEnd::Rejected);
        figures.request_ended(1, RequestEnd::ClientLeft);
        figures.sent_attempts().increment();
        let text = figures.text(0, 0);
        for line in ["downstream_requests.write.rejected=1", "pending=1", "upstream_requests=1"] {
            assert!(text.contains(&format!("edge_balancer.{line}\n")), "{line} is not in {text}");
        }
    }
}
