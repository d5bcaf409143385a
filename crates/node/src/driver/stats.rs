//! Statistics of attempts, for the log.

use super::*;

/// Outcomes of attempts since the last log line, and the request totals at that time.
#[derive(Default)]
pub(super) struct AttemptStats {
    pub(super) requests: Totals,
    pub(super) sent: u64,
    pub(super) by_status: [u64; 8], // number of attempts, indexed by status
    pub(super) slowest: Nanos,      // latency of the slowest successful attempt
    pub(super) failed_by_server: HashMap<ServerId, u64>, // failed attempts by server
    pub(super) long_answers_refused: u64, // requests refused because there was no memory for a long answer
}

/// The state of the server list.
#[derive(Clone, Copy)]
pub(super) struct ListStatus {
    pub(super) version: u64,
    pub(super) age: Option<Nanos>, // since discovery last answered; `None`: never
    pub(super) ready: usize,       // servers that accept work
}

/// Numbers of streamed bodies in progress.
#[derive(Default)]
pub(super) struct StreamedBodies {
    pub(super) up: usize,
    pub(super) down: usize,
}

impl AttemptStats {
    /// Counts the outcome of an attempt.
    pub(super) fn record(&mut self, server: ServerId, status: Status, latency: Nanos) {
        self.by_status[status as usize] += 1;
        match status {
            Status::Ok => self.slowest = self.slowest.max(latency),
            Status::Cancelled | Status::NotSent => {}
            _ => *self.failed_by_server.entry(server).or_default() += 1,
        }
    }

    /// Writes the log lines if any request or attempt did not succeed, and resets the statistics.
    pub(super) fn report(&mut self, names: &NameTables, list: ListStatus, totals: Totals) {
        let next = AttemptStats { requests: totals, ..AttemptStats::default() };
        let AttemptStats { requests, sent, by_status, slowest, failed_by_server, long_answers_refused } =
            std::mem::replace(self, next);
        let since = totals.since(&requests);
        let (requests, served, refused) =
            (since.received, since.ended_as(RequestEnd::Completed), since.ended_as(RequestEnd::Rejected));
        let (failed, left) = (since.ended_as(RequestEnd::Failed), since.ended_as(RequestEnd::ClientLeft));
        if refused + failed + left + failed_by_server.len() as u64 == 0 {
            return;
        }
        let count = |status: Status| by_status[status as usize];
        let worst = failed_by_server.iter().max_by_key(|(id, &count)| (count, Reverse(**id)));
        let worst = worst.map(|(id, count)| format!("{}:{count}", names.servers.name(id.0 as usize)));
        let ListStatus { version, age, ready } = list;
        let list_age_ms = age.map(|age| age / MILLISECOND);
        info!(
            requests,
            served,
            refused,
            long_answers_refused,
            failed,
            left,
            ready,
            list = version,
            list_age_ms,
            "answers"
        );
        info!(
            sent,
            ok = count(Status::Ok),
            slowest_ms = slowest / 1_000_000,
            error = count(Status::Error),
            full = count(Status::Rejected),
            timeout = count(Status::Timeout),
            unconnected = count(Status::ConnectFailed),
            reset = count(Status::Reset),
            cancelled = count(Status::Cancelled),
            moot = count(Status::NotSent),
            bad_servers = failed_by_server.len(),
            worst = worst.unwrap_or_default(),
            "attempts"
        );
    }
}
