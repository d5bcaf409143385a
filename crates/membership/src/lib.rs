//! Who is there: membership of a fleet, by SWIM with Lifeguard's local health and confirmations.
//!
//! A pure machine. Time, datagrams and a seed come in; datagrams and changes come out. It opens no socket, reads no
//! clock and writes no file: the same code runs in the product and, by the thousand, in virtual time.
//!
//! It is no agreement. Two nodes may see different fleets at any moment, and nothing may be built on their seeing
//! the same. What it gives with the view is how sure it is ([`ViewSummary`]). It knows no keys: whoever can send
//! datagrams to a member can mislead it, so its network has to be a trusted one.
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
