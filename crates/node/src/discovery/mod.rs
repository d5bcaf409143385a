//! The server list: fetched whole, then watched without a gap.

mod connection;
mod course;

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{watch, Notify};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::input::Input;
use connection::{Fault, Line};
use course::{Course, Then};

const BACKOFF: Duration = Duration::from_millis(50); // after a failure, where lists are pushed; doubles with each further one
const DOUBLINGS: u32 = 5;

/// Asks and watches. Where discovery is asked, it starts anew after a failure only when the module says so.
pub struct Watcher {
    address: watch::Receiver<SocketAddr>,
    inputs: UnboundedSender<Input>,
    asked: Option<Arc<Notify>>,
}

impl Watcher {
    /// The watcher, and by what the module's word to watch reaches it.
    pub fn new(
        address: watch::Receiver<SocketAddr>, inputs: UnboundedSender<Input>, asks: bool,
    ) -> (Self, Arc<Notify>) {
        let watch = Arc::new(Notify::new());
        (Watcher { address, inputs, asked: asks.then(|| watch.clone()) }, watch)
    }

    /// Until the driver is gone.
    pub async fn run(self) {
        let Watcher { mut address, inputs, asked } = self;
        let (mut course, mut failures, mut at_once) = (Course::default(), 0, false);
        loop {
            if let Some(asked) = asked.as_ref().filter(|_| !at_once) {
                tokio::select! {
                    () = asked.notified() => {}
                    () = moved(&mut address) => course = Course::default(),
                }
            }
            let at = *address.borrow_and_update();
            let ended = tokio::select! {
                fault = follow(at, &inputs, &mut course, &mut failures) => Some(fault),
                () = moved(&mut address) => None,
            };
            if inputs.is_closed() {
                return;
            }
            // The module's word to watch holds at the new address as well, where versions may be of another counting.
            at_once = ended.is_none();
            let Some(fault) = ended else {
                course = Course::default();
                info!(from = %at, to = %*address.borrow(), "discovery has moved");
                continue;
            };
            warn!(%fault, %at, "discovery");
            if asked.is_some() {
                let _ = inputs.send(Input::ListFailed);
            } else {
                sleep(BACKOFF * (1 << failures.min(DOUBLINGS))).await;
                failures += 1;
            }
        }
    }
}

/// Waits until discovery is to be asked elsewhere.
async fn moved(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        pending().await // nobody is left who could say so
    }
}

/// Hands on list after list until a call fails for which the service may be to blame, or nobody takes them.
async fn follow(
    at: SocketAddr, inputs: &UnboundedSender<Input>, course: &mut Course, failures: &mut u32,
) -> Fault {
    let mut line = Line::default();
    loop {
        let call = course.next();
        let fault = match line.call(at, call).await {
            Ok(list) if course.answered(list.index, list.snapshot) => {
                *failures = 0;
                if inputs.send(Input::List(list)).is_err() {
                    return Fault::Silent(Duration::ZERO); // the driver is gone, and so is the watcher
                }
                continue;
            }
            Ok(list) => {
                line.close();
                warn!(fault = %Fault::CountsAnew(list.index), %at, "discovery");
                continue; // with the whole list, whose version is then the one that is held
            }
            Err(fault) => fault,
        };
        let then = match fault {
            Fault::Silent(_) => course.silent(),
            Fault::Cut(_) | Fault::Unreadable(_) => course.unreadable(),
            _ => course.failed(),
        };
        match then {
            Then::AtOnce => warn!(%fault, %at, "discovery: what the watch missed is asked for"),
            Then::Later => return fault,
        }
    }
}
