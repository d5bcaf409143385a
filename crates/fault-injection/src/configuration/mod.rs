//! Distribution of configuration in virtual time: the product's own machine on modelled links and disks, under one
//! schedule, with its laws watched at every event.
//!
//! The agreed log is a model ([`log::ModelLog`]): one order of announcements that a majority of the voters has to be up
//! for, compared before it is set, and heard of by other nodes after a drawn while or from other nodes.

mod content;
mod draw;
mod host;
mod judging;
mod laws;
mod log;
mod node;
mod player;
mod publishing;

pub use content::{compose, document, patch};
pub use draw::{draw, Kind};
pub use laws::Breach;
pub use player::{play, Played, World};
