//! Loopback addresses. Each run claims its own range, so that concurrent runs do not use the same addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

const LOCK_PORT: u16 = 7_999;
const NODE_PORT: u16 = 8_080;
const DISCOVERY_PORT: u16 = 8_500;
const SERVER_PORT: u16 = 9_000;
const SERVERS_PER_PORT: usize = 250;

/// A range 127.x.0.0/16, reserved on this machine as long as this value lives.
#[derive(Debug)]
pub struct Range {
    second_octet: u8,
    _lock: TcpListener,
}

impl Range {
    /// Claims the first free range. The search starts at an offset derived from the process id, so that processes
    /// rarely try the same range first.
    pub fn claim() -> Result<Self, String> {
        let start = std::process::id() as usize;
        for attempt in 0..200 {
            let second_octet = 20 + ((start + attempt) % 200) as u8;
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::new(127, second_octet, 255, 254), LOCK_PORT)) {
                return Ok(Range { second_octet, _lock: lock });
            }
        }
        Err("no free loopback address range; stop other lab runs first".to_owned())
    }

    /// Second octet of the range's addresses.
    pub fn number(&self) -> u8 {
        self.second_octet
    }

    fn at(&self, node: usize, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.second_octet, node as u8 + 1, host)), port)
    }

    /// Address on which a node listens.
    pub fn node(&self, node: usize) -> SocketAddr {
        self.at(node, 253, NODE_PORT)
    }

    /// Address of the discovery service for one node.
    pub fn discovery(&self, node: usize) -> SocketAddr {
        self.at(node, 254, DISCOVERY_PORT)
    }

    /// Address of a server for one node. Each pair has its own address, so that the server can tell which node
    /// connects.
    pub fn server(&self, node: usize, server: usize) -> SocketAddr {
        let (port_offset, host) = (server / SERVERS_PER_PORT, server % SERVERS_PER_PORT);
        self.at(node, host as u8 + 1, SERVER_PORT + port_offset as u16)
    }
}
