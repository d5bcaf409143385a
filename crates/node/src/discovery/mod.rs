//! The server list from discovery: fetched whole, then watched for changes without a gap.

mod connection;
mod poll_state;
mod retry;

use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, Instant};
use tracing::{debug, info, warn};

use crate::input::Input;
use crate::server_list::{Endpoint, ServerList};
use connection::{exchange, CallError, Connection};
use poll_state::{Action, Call, CallId, Failure, ListStatus, PollState, Query};

pub use retry::RetryPolicy;

/// Number of servers that one log line names.
const MAX_LOGGED_SERVERS: usize = 8;

/// Polls discovery and sends each list to the driver.
pub struct Watcher {
    address: watch::Receiver<SocketAddr>,
    inputs: UnboundedSender<Input>,
    retry: RetryPolicy,
    known: Option<u64>,
}

impl Watcher {
    /// `known` is the version of the list that the node was started with, if it has one. It is ignored where an agent
    /// pushes the list: the agent serves this node alone and is asked for the whole list.
    pub fn new(
        address: watch::Receiver<SocketAddr>, inputs: UnboundedSender<Input>, retry: RetryPolicy,
        known: Option<u64>,
    ) -> Self {
        let known = known.filter(|_| matches!(retry, RetryPolicy::Shared(..)));
        Watcher { address, inputs, retry, known }
    }

    /// Runs until the driver has ended.
    pub async fn run(self) {
        let Watcher { mut address, inputs, retry, known } = self;
        let at = *address.borrow_and_update();
        let mut session = Session::new(at, inputs.clone(), retry, known);
        while !inputs.is_closed() {
            tokio::select! {
                () = session.step() => {}
                () = address_changed(&mut address) => session.change_address(*address.borrow_and_update()),
            }
        }
    }
}

/// Formats the first servers of a list with their status for the log.
fn describe(endpoints: &[Endpoint]) -> String {
    let logged = endpoints.iter().take(MAX_LOGGED_SERVERS);
    let logged: Vec<String> =
        logged.map(|endpoint| format!("{} {}", endpoint.name, endpoint.status)).collect();
    logged.join(", ")
}

/// Waits until the address of discovery changes.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        pending().await // the sender is gone, so the address can no longer change
    }
}

type Answer = Result<(Connection, ServerList), CallError>;

/// The exchange with discovery at one address. All its calls are closed on drop.
struct Session {
    at: SocketAddr,
    inputs: UnboundedSender<Input>,
    poll_state: PollState,
    started: Instant,
    calls: JoinSet<(CallId, Answer)>,
    handles: HashMap<CallId, AbortHandle>, // of the calls that have not ended
    reusable: Option<(CallId, Connection)>, // of the call that was answered last
}

impl Session {
    fn new(at: SocketAddr, inputs: UnboundedSender<Input>, retry: RetryPolicy, known: Option<u64>) -> Self {
        Session {
            at,
            inputs,
            poll_state: PollState::new(Duration::ZERO, retry, known),
            started: Instant::now(),
            calls: JoinSet::new(),
            handles: HashMap::new(),
            reusable: None,
        }
    }

    fn change_address(&mut self, to: SocketAddr) {
        info!(from = %self.at, to = %to, "discovery address changed");
        self.at = to;
        self.reusable = None;
        self.poll_state.change_address(self.started.elapsed());
    }

    /// Carries out the actions that are due, then waits for the end of a call or the next action. It is cancel safe: no
    /// result is received without being handled.
    async fn step(&mut self) {
        while let Some(action) = self.poll_state.poll(self.started.elapsed()) {
            self.carry_out(action);
        }
        let next_action = self.started + self.poll_state.next_action();
        tokio::select! {
            Some(ended) = self.calls.join_next() => match ended {
                Ok((id, answer)) => self.handle_end(id, answer),
                Err(error) if error.is_panic() => std::panic::resume_unwind(error.into_panic()),
                Err(_) => {} // the call was aborted
            },
            () = sleep_until(next_action) => {}
        }
    }

    fn carry_out(&mut self, action: Action) {
        let at = self.at;
        match action {
            Action::Start(call) => self.start(call),
            Action::TimedOut(id, after) => self.log_failure(id, &CallError::Silent(after)),
            Action::Close(id) => {
                if let Some(handle) = self.handles.remove(&id) {
                    debug!(call = id.0, %at, "closing an unanswered discovery call");
                    handle.abort();
                }
            }
        }
    }

    fn start(&mut self, call: Call) {
        debug!(call = call.id.0, query = ?call.query, at = %self.at, "calling discovery");
        let reusable = self.reusable.take().filter(|(id, _)| call.continues == Some(*id));
        let answer = exchange(self.at, reusable.map(|(_, connection)| connection), call.query);
        let handle = self.calls.spawn(async move { (call.id, answer.await) });
        self.handles.insert(call.id, handle);
    }

    fn handle_end(&mut self, id: CallId, answer: Answer) {
        if self.handles.remove(&id).is_none() {
            return; // the call ended while it was being closed
        }
        match answer {
            Ok((connection, list)) => self.handle_list(id, connection, list),
            Err(error) => self.handle_failure(id, &error),
        }
    }

    fn handle_list(&mut self, id: CallId, connection: Connection, list: ServerList) {
        let (call, held, at) = (id.0, self.poll_state.version(), self.at);
        let status = self.poll_state.handle_list(self.started.elapsed(), id, list.index, list.snapshot);
        let (version, whole, changes) = (list.index, list.snapshot, list.endpoints.len());
        match status {
            ListStatus::Accepted => {
                if whole || changes > 0 {
                    let named = describe(&list.endpoints);
                    info!(call, version, ?held, whole, changes, named, "server list received");
                }
                let _ = self.inputs.send(Input::List(list)); // `Watcher::run` notices when the driver has ended
            }
            ListStatus::Stale => debug!(call, version, ?held, "ignoring a stale server list"),
            // The next call fetches the whole list, whose version becomes the current one.
            ListStatus::VersionReset => {
                warn!(call, ?held, fault = %CallError::VersionReset(version), %at, "discovery versions restarted");
            }
        }
        self.reusable = Some((id, connection));
    }

    fn handle_failure(&mut self, id: CallId, error: &CallError) {
        let failure = match error {
            CallError::Incomplete(_) | CallError::Unreadable(_) => Failure::Unreadable,
            _ => Failure::Failed,
        };
        self.poll_state.handle_failure(self.started.elapsed(), id, failure);
        self.log_failure(id, error);
    }

    fn log_failure(&self, id: CallId, fault: &CallError) {
        let (call, held, at) = (id.0, self.poll_state.version(), self.at);
        let delay = self.poll_state.next_call().saturating_sub(self.started.elapsed());
        warn!(call, ?held, %fault, again_ms = delay.as_millis() as u64, %at, "discovery call failed");
    }
}
