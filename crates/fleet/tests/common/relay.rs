//! A UDP relay in front of each node, with links that can be cut.

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// The relays of all nodes and the links between them.
pub struct Relay {
    /// Addresses at which other nodes reach each node.
    pub outer: Vec<SocketAddr>,
    /// Addresses at which the nodes receive datagrams.
    pub inner: Vec<SocketAddr>,
    cut: Arc<Mutex<BTreeSet<(usize, usize)>>>,
}

impl Relay {
    /// Starts the relays of this many nodes. Their threads run until the process ends.
    pub fn start(nodes: usize) -> Self {
        let bind_free_port = || UdpSocket::bind("127.0.0.1:0").unwrap();
        let inner: Vec<SocketAddr> = {
            let bound: Vec<UdpSocket> = (0..nodes).map(|_| bind_free_port()).collect();
            bound.iter().map(|socket| socket.local_addr().unwrap()).collect()
        };
        let sockets: Arc<Vec<UdpSocket>> = Arc::new((0..nodes).map(|_| bind_free_port()).collect());
        let outer = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
        let cut: Arc<Mutex<BTreeSet<(usize, usize)>>> = Arc::default();
        for to in 0..nodes {
            let (sockets, inner, cut) = (sockets.clone(), inner.clone(), cut.clone());
            thread::spawn(move || forward(to, &sockets, &inner, &cut));
        }
        Relay { outer, inner, cut }
    }

    /// Cuts all links between these nodes and the others, in both directions.
    pub fn partition(&self, side: &[usize]) {
        let nodes = 0..self.inner.len();
        let mut cut = self.cut.lock().unwrap();
        for other in nodes.filter(|node| !side.contains(node)) {
            cut.extend(side.iter().flat_map(|node| [(*node, other), (other, *node)]));
        }
    }

    /// Restores all links.
    pub fn heal(&self) {
        self.cut.lock().unwrap().clear();
    }
}

fn forward(to: usize, sockets: &[UdpSocket], inner: &[SocketAddr], cut: &Mutex<BTreeSet<(usize, usize)>>) {
    let mut buffer = [0; 2_048];
    loop {
        // An error that an earlier datagram met on its way may be reported here; the socket stays usable.
        let Ok((length, source)) = sockets[to].recv_from(&mut buffer) else { continue };
        // A node sends from the address at which it receives.
        let Some(from) = inner.iter().position(|address| *address == source) else { continue };
        if !cut.lock().unwrap().contains(&(from, to)) {
            let _ = sockets[from].send_to(&buffer[..length], inner[to]); // the receiving process may have ended
        }
    }
}
