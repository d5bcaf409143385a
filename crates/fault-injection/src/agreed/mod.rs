//! The agreed log in virtual time: the product's own machine on modelled links and disks, under one schedule, with its
//! laws watched at every event.

mod draw;
mod laws;
mod player;

pub use draw::draw;
pub use laws::Breach;
pub use player::{play, Played, World};
