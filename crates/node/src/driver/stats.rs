//! What became of attempts, for the log.

use super::*;

/// What became of attempts since the last log line, and the counts of requests as of then.
#[derive(Default)]
pub(super) struct AttemptStats {
    pub(super) requests: Totals,
    pub(super) sent: u64,
    pub(super) by_status: [u64; 8], // of attempts, by status
    pub(super) slowest: Nanos,      // answer of a server
    pub(super) failed_by_server: HashMap<ServerId, u64>, // attempts that failed, by server
}

/// The server list, as of now.
#[derive(Clone, Copy)]
pub(super) struct ListStatus {
    pub(super) version: u64,
    pub(super) age: Option<Nanos>, // since discovery last answered; none: never
    pub(super) ready: usize,       // servers
}

/// Long bodies that are on their way.
#[derive(Default)]
pub(super) struct StreamedBodies {
    pub(super) up: usize,
    pub(super) down: usize,
}

impl AttemptStats {
    pub(super) fn record(&mut self, server: ServerId, status: Status, latency: Nanos) {
        self.by_status[status as usize] += 1;
        match status {
            Status::Ok => self.slowest = self.slowest.max(latency),
            Status::Cancelled | Status::NotSent => {}
            _ => *self.failed_by_server.entry(server).or_default() += 1,
        }
    }

    /// Writes a line if anything went other than well, and starts anew.
    pub(super) fn report(&mut self, names: &NameTables, list: ListStatus, totals: Totals) {
        let anew = AttemptStats { requests: totals, ..AttemptStats::default() };
        let AttemptStats { requests, sent, by_status: endings, slowest, failed_by_server: bad } =
            std::mem::replace(self, anew);
        let since = totals.since(&requests);
        let (requests, served, refused) =
            (since.received, since.ended_as(RequestEnd::Completed), since.ended_as(RequestEnd::Rejected));
        let (failed, left) = (since.ended_as(RequestEnd::Failed), since.ended_as(RequestEnd::ClientLeft));
        if refused + failed + left + bad.len() as u64 == 0 {
            return;
        }
        let of = |status: Status| endings[status as usize];
        let worst = bad.iter().max_by_key(|(id, &count)| (count, Reverse(**id)));
        let worst = worst.map(|(id, count)| format!("{}:{count}", names.servers.name(id.0 as usize)));
        let ListStatus { version, age, ready } = list;
        let list_age_ms = age.map(|age| age / MILLISECOND);
        info!(requests, served, refused, failed, left, ready, list = version, list_age_ms, "answers");
        info!(
            sent,
            ok = of(Status::Ok),
            slowest_ms = slowest / 1_000_000,
            error = of(Status::Error),
            full = of(Status::Rejected),
            timeout = of(Status::Timeout),
            unconnected = of(Status::ConnectFailed),
            reset = of(Status::Reset),
            cancelled = of(Status::Cancelled),
            moot = of(Status::NotSent),
            bad_servers = bad.len(),
            worst = worst.unwrap_or_default(),
            "attempts"
        );
    }
}
