//! The server list: fetched whole, then watched without a gap.

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

const MAX_LOGGED_SERVERS: usize = 8; // servers in a line of the log

/// Asks and watches until the driver is gone.
pub struct Watcher {
    address: watch::Receiver<SocketAddr>,
    inputs: UnboundedSender<Input>,
    retry: RetryPolicy,
    known: Option<u64>,
}

impl Watcher {
    /// `known` is the version of the list that the node was started with, if it has one. An agent that pushes serves
    /// this node alone and is asked for the whole list.
    pub fn new(
        address: watch::Receiver<SocketAddr>, inputs: UnboundedSender<Input>, retry: RetryPolicy,
        known: Option<u64>,
    ) -> Self {
        let known = known.filter(|_| matches!(retry, RetryPolicy::Shared(..)));
        Watcher { address, inputs, retry, known }
    }

    /// Until the driver is gone.
    pub async fn run(self) {
        let Watcher { mut address, inputs, retry, known } = self;
        let at = *address.borrow_and_update();
        let mut following = Session::new(at, inputs.clone(), retry, known);
        while !inputs.is_closed() {
            tokio::select! {
                () = following.step() => {}
                () = address_changed(&mut address) => following.move_on(*address.borrow_and_update()),
            }
        }
    }
}

/// Servers and what a list says of them, for the log; of a long list the first few.
fn describe(endpoints: &[Endpoint]) -> String {
    let named = endpoints.iter().take(MAX_LOGGED_SERVERS);
    let named: Vec<String> = named.map(|line| format!("{} {}", line.name, line.status)).collect();
    named.join(", ")
}

/// Waits until discovery is to be asked elsewhere.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        pending().await // nobody is left who could say so
    }
}

type Answer = Result<(Connection, ServerList), CallError>;

/// The conversation with discovery at one address. Dropped, all its calls are closed.
struct Session {
    at: SocketAddr,
    inputs: UnboundedSender<Input>,
    poll_state: PollState,
    started: Instant,
    calls: JoinSet<(CallId, Answer)>,
    handles: HashMap<CallId, AbortHandle>, // of the calls that are out
    kept: Option<(CallId, Connection)>,    // of the call that was answered last
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
            kept: None,
        }
    }

    fn move_on(&mut self, to: SocketAddr) {
        info!(from = %self.at, to = %to, "discovery has moved");
        self.at = to;
        self.kept = None;
        self.poll_state.change_address(self.started.elapsed());
    }

    /// Does what is due, then waits for the end of a call or the time of the next. Cancel safe: nothing is taken and
    /// not dealt with.
    async fn step(&mut self) {
        while let Some(action) = self.poll_state.poll(self.started.elapsed()) {
            self.carry_out(action);
        }
        let due = self.started + self.poll_state.next_action();
        tokio::select! {
            Some(ended) = self.calls.join_next() => match ended {
                Ok((id, answer)) => self.ended(id, answer),
                Err(error) if error.is_panic() => std::panic::resume_unwind(error.into_panic()),
                Err(_) => {} // it was closed
            },
            () = sleep_until(due) => {}
        }
    }

    fn carry_out(&mut self, action: Action) {
        let at = self.at;
        match action {
            Action::Start(call) => self.start(call),
            Action::TimedOut(id, after) => self.report(id, &CallError::Silent(after)),
            Action::Close(id) => {
                if let Some(handle) = self.handles.remove(&id) {
                    debug!(call = id.0, %at, "a call to discovery is closed unanswered");
                    handle.abort();
                }
            }
        }
    }

    fn start(&mut self, call: Call) {
        debug!(call = call.id.0, query = ?call.query, at = %self.at, "discovery is called");
        let kept = self.kept.take().filter(|(id, _)| call.continues == Some(*id));
        let answer = exchange(self.at, kept.map(|(_, connection)| connection), call.query);
        let handle = self.calls.spawn(async move { (call.id, answer.await) });
        self.handles.insert(call.id, handle);
    }

    fn ended(&mut self, id: CallId, answer: Answer) {
        if self.handles.remove(&id).is_none() {
            return; // closed in the moment of its end
        }
        match answer {
            Ok((connection, list)) => self.answered(id, connection, list),
            Err(fault) => self.failed(id, &fault),
        }
    }

    fn answered(&mut self, id: CallId, connection: Connection, list: ServerList) {
        let (call, held, at) = (id.0, self.poll_state.version(), self.at);
        let taken = self.poll_state.handle_list(self.started.elapsed(), id, list.index, list.snapshot);
        let (version, whole, changes) = (list.index, list.snapshot, list.endpoints.len());
        match taken {
            ListStatus::Accepted => {
                if whole || changes > 0 {
                    info!(call, version, ?held, whole, changes, named = describe(&list.endpoints), "list");
                }
                let _ = self.inputs.send(Input::List(list)); // a driver that is gone is found out by the caller
            }
            ListStatus::Stale => debug!(call, version, ?held, "an older list"),
            // The whole list follows, whose version is then the one that is held.
            ListStatus::VersionReset => {
                warn!(call, ?held, fault = %CallError::VersionReset(version), %at, "discovery")
            }
        }
        self.kept = Some((id, connection));
    }

    fn failed(&mut self, id: CallId, fault: &CallError) {
        let failure = match fault {
            CallError::Incomplete(_) | CallError::Unreadable(_) => Failure::Unreadable,
            _ => Failure::Failed,
        };
        self.poll_state.handle_failure(self.started.elapsed(), id, failure);
        self.report(id, fault);
    }

    fn report(&self, id: CallId, fault: &CallError) {
        let (call, held, at) = (id.0, self.poll_state.version(), self.at);
        let again = self.poll_state.next_call().saturating_sub(self.started.elapsed());
        warn!(call, ?held, %fault, again_ms = again.as_millis() as u64, %at, "discovery");
    }
}
