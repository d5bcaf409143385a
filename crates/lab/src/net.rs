//! Addresses on the loopback network: a range of its own for each run, so that runs side by side don't meet.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

const LOCK_PORT: u16 = 7_999;
const NODE_PORT: u16 = 8_080;
const DISCOVERY_PORT: u16 = 8_500;
const SERVER_PORT: u16 = 9_000;
const SERVERS_AN_ADDRESS: usize = 250;

/// A range 127.x.0.0/16 that no other run on this machine uses while this is held.
#[derive(Debug)]
pub struct Range {
    x: u8,
    _lock: TcpListener,
}

impl Range {
    /// Takes the first range that is free, beginning somewhere of this process's own.
    pub fn claim() -> Result<Self, String> {
        let start = std::process::id() as usize;
        for turn in 0..200 {
            let x = 20 + ((start + turn) % 200) as u8;
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::new(127, x, 255, 254), LOCK_PORT)) {
                return Ok(Range { x, _lock: lock });
            }
        }
        Err("no range of loopback addresses is free: end other runs of the lab first".to_owned())
    }

    /// The second number of its addresses.
    pub fn number(&self) -> u8 {
        self.x
    }

    fn at(&self, node: usize, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.x, node as u8 + 1, host)), port)
    }

    /// Where a node listens.
    pub fn node(&self, node: usize) -> SocketAddr {
        self.at(node, 253, NODE_PORT)
    }

    /// Where a node finds discovery.
    pub fn discovery(&self, node: usize) -> SocketAddr {
        self.at(node, 254, DISCOVERY_PORT)
    }

    /// Where a node finds a server: an address for each pair, so that the server knows who asks.
    pub fn server(&self, node: usize, server: usize) -> SocketAddr {
        let (turn, host) = (server / SERVERS_AN_ADDRESS, server % SERVERS_AN_ADDRESS);
        self.at(node, host as u8 + 1, SERVER_PORT + turn as u16)
    }
}
