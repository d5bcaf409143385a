//! Fleet membership with the SWIM protocol, extended by Lifeguard's local health score and suspicion confirmations.
//!
//! The crate is a state machine without input or output. It takes the time, datagrams and a seed, and returns datagrams
//! and membership changes. It opens no socket, reads no clock and writes no file, so that the same code runs in the
//! product and, with thousands of nodes, in virtual time.
//!
//! Membership is eventually consistent and is not a consensus protocol. Two nodes may see different members at any
//! moment, and no caller may rely on their views being equal. [`ViewSummary`] states how much of the fleet the node
//! reaches. Datagrams are not authenticated: anyone who can send datagrams to a member can mislead it, so the network
//! has to be trusted.
//!
//! ```
//! use merlinfold_membership::{Action, Event, Identity, Membership, Profile, Tuning};
//!
//! let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
//! let node = |name: &str, port, seeds| {
//!     let profile = Profile { zone: "a".into(), machine: "m".into(), address: address(port), version: "1".into(), protocols: (1, 1) };
//!     let identity = Identity { cluster: "guides".into(), name: name.into(), run: 1 << 32, profile, seeds };
//!     Membership::new(identity, Tuning::default(), 7, 0)
//! };
//! let (mut one, mut two) = (node("one", 1, vec![]), node("two", 2, vec![address(1)]));
//! let (mut now, mut out) = (0, Vec::new());
//! while one.members(now).len() < 2 {
//!     now = now.max(two.next_deadline().unwrap());
//!     two.handle(now, Event::Tick, &mut out);
//!     for action in std::mem::take(&mut out) {
//!         if let Action::Send { bytes, .. } = action {
//!             one.handle(now, Event::Datagram { from: address(2), bytes: &bytes }, &mut out);
//!         }
//!     }
//! }
//! assert_eq!(&*one.members(now)[1].name, "two");
//! ```

mod broadcast;
mod config;
mod machine;
mod peer;
mod record;
mod saved;
mod view;
mod wire;

pub use config::{Identity, Nanos, Tuning, MAX_MEMBERS, MS};
pub use machine::{Action, Event, Membership, STALL_THRESHOLD};
pub use peer::State;
pub use record::{Name, Profile, Record, Status, MAX_INCARNATION, MAX_TEXT_BYTES};
pub use saved::{SavedFile, SavedState, LOAD_TIMEOUT, MAX_ADDRESSES, SAVED_FORMAT_VERSION, SAVE_INTERVAL};
pub use view::{Change, Counts, Member, ViewSummary, ZoneCounts};
pub use wire::{
    decode_datagram, encode_record, Body, DatagramError, DatagramWriter, Envelope, ReplayWindow,
    MAX_DATAGRAM, PROTOCOL_VERSION,
};
