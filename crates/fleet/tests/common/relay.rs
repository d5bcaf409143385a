//! What stands between processes: a socket in front of each, and links that can be cut.

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// Links between nodes.
pub struct Relay {
    /// Where each node is reached by others.
    pub outer: Vec<SocketAddr>,
    /// Where each node hears.
    pub inner: Vec<SocketAddr>,
    cut: Arc<Mutex<BTreeSet<(usize, usize)>>>,
}

impl Relay {
    /// Between so many nodes; its threads last as long as the process.
    pub fn start(nodes: usize) -> Self {
        let free = || UdpSocket::bind("127.0.0.1:0").unwrap();
        let inner: Vec<SocketAddr> = {
            let held: Vec<UdpSocket> = (0..nodes).map(|_| free()).collect();
            held.iter().map(|socket| socket.local_addr().unwrap()).collect()
        };
        let sockets: Arc<Vec<UdpSocket>> = Arc::new((0..nodes).map(|_| free()).collect());
        let outer = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
        let cut: Arc<Mutex<BTreeSet<(usize, usize)>>> = Arc::default();
        for to in 0..nodes {
            let (sockets, inner, cut) = (sockets.clone(), inner.clone(), cut.clone());
            thread::spawn(move || pass_on(to, &sockets, &inner, &cut));
        }
        Relay { outer, inner, cut }
    }

    /// Nothing passes between these and the others any more.
    pub fn split(&self, side: &[usize]) {
        let nodes = 0..self.inner.len();
        let mut cut = self.cut.lock().unwrap();
        for other in nodes.filter(|node| !side.contains(node)) {
            cut.extend(side.iter().flat_map(|node| [(*node, other), (other, *node)]));
        }
    }

    /// Everything passes again.
    pub fn heal(&self) {
        self.cut.lock().unwrap().clear();
    }
}

fn pass_on(to: usize, sockets: &[UdpSocket], inner: &[SocketAddr], cut: &Mutex<BTreeSet<(usize, usize)>>) {
    let mut buffer = [0; 2_048];
    loop {
        // What an earlier datagram met on its way comes back here; it ends nothing.
        let Ok((length, source)) = sockets[to].recv_from(&mut buffer) else { continue };
        // A node sends from where it hears.
        let Some(from) = inner.iter().position(|at| *at == source) else { continue };
        if !cut.lock().unwrap().contains(&(from, to)) {
            let _ = sockets[from].send_to(&buffer[..length], inner[to]); // a node that is gone hears nothing
        }
    }
}
