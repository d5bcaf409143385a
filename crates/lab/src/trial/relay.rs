//! Relays in every link of a scenario: for datagrams between nodes, and for connections between nodes, guide servers,
//! discovery and clients. [`Links`] decides whether and when each datagram and each chunk of a connection is forwarded.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use merlinfold_fault_injection::link::Links;
use merlinfold_fault_injection::schedule::StepAction;
use merlinfold_simulation::Nanos;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

const MAX_DATAGRAM_BYTES: usize = 64 << 10;
const CHUNK_BYTES: usize = 16 << 10; // of a connection, forwarded at once
const BACKLOG: u32 = 1_024;
// A forward that the relay itself delays by more than this counts as late; a run with many of them is void.
const LATE_AFTER: Duration = Duration::from_millis(50);

/// The state of all links, shared by the relays, which are notified of each change.
#[derive(Clone)]
pub struct SharedLinks {
    links: Arc<Mutex<Links>>,
    changed: watch::Sender<u64>,
    begun: Instant,
    late: Arc<AtomicU64>,
}

impl SharedLinks {
    /// Wraps `links`; their clock starts now.
    pub fn new(links: Links) -> Self {
        let (links, changed) = (Arc::new(Mutex::new(links)), watch::channel(0).0);
        SharedLinks { links, changed, begun: Instant::now(), late: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a step of the schedule to the links.
    pub fn apply(&self, action: &StepAction) {
        self.lock().step(action);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Returns the number of datagrams and chunks that were forwarded more than 50 ms late.
    pub fn late_count(&self) -> u64 {
        self.late.load(Ordering::Relaxed)
    }

    fn now(&self) -> Nanos {
        self.begun.elapsed().as_nanos() as Nanos
    }

    /// Waits for `delay` and counts a late wake-up.
    async fn wait(&self, delay: Nanos) {
        let due = Instant::now() + Duration::from_nanos(delay);
        tokio::time::sleep_until(due).await;
        if due.elapsed() > LATE_AFTER {
            self.late.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the link from `from` to `to` is not cut.
    async fn until_open(&self, from: usize, to: usize) {
        let mut changed = self.changed.subscribe();
        while self.lock().is_cut(from, to) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits until connections between the two endpoints are to be reset.
    async fn until_reset(&self, one: usize, other: usize) {
        let mut changed = self.changed.subscribe();
        while !self.lock().is_reset(one, other) {
            if changed.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

/// Relays datagrams between nodes: node `n` listens on `inner[n]` and is known to others as `outer[n]`.
///
/// Returns an error if an address in `outer` cannot be bound.
pub async fn relay_datagrams(
    links: &SharedLinks, inner: Vec<SocketAddr>, outer: Vec<SocketAddr>, tasks: &mut JoinSet<()>,
) -> io::Result<()> {
    let mut sockets = Vec::new();
    for at in &outer {
        sockets.push(UdpSocket::bind(at).await?);
    }
    let (sockets, inner): (Arc<[UdpSocket]>, Arc<[SocketAddr]>) = (sockets.into(), inner.into());
    for to in 0..outer.len() {
        let (links, sockets, inner) = (links.clone(), sockets.clone(), inner.clone());
        tasks.spawn(async move {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            let mut in_flight = JoinSet::new();
            loop {
                while in_flight.try_join_next().is_some() {}
                // An error that an earlier datagram caused can surface here; it does not stop the relay.
                let Ok((length, source)) = sockets[to].recv_from(&mut buffer).await else { continue };
                // The source address identifies the sender, because a node sends from its listen address.
                let Some(from) = inner.iter().position(|at| *at == source) else { continue };
                let delays = links.lock().delivery_delays(links.now(), from, to, length);
                for delay in delays {
                    let (links, sockets, bytes) = (links.clone(), sockets.clone(), buffer[..length].to_vec());
                    let at = inner[to];
                    in_flight.spawn(async move {
                        links.wait(delay).await;
                        let _ = sockets[from].send_to(&bytes, at).await; // fails if the node is down
                    });
                }
            }
        });
    }
    Ok(())
}

/// Accepts connections of endpoint `from` on `listen` and relays them to endpoint `to` at `target`.
///
/// Returns an error if `listen` cannot be bound.
pub fn relay_connections(
    links: &SharedLinks, from: usize, listen: SocketAddr, to: usize, target: SocketAddr,
    tasks: &mut JoinSet<()>,
) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    let listener: TcpListener = socket.listen(BACKLOG)?;
    let links = links.clone();
    tasks.spawn(async move {
        let mut open = JoinSet::new();
        loop {
            while open.try_join_next().is_some() {}
            match listener.accept().await {
                Ok((stream, _)) => {
                    open.spawn(relay_connection(links.clone(), from, stream, to, target));
                }
                Err(_) => sleep(Duration::from_millis(10)).await, // out of descriptors, or the peer has already closed
            }
        }
    });
    Ok(())
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO)); // dropping the stream then resets the connection
}

async fn relay_connection(links: SharedLinks, from: usize, near: TcpStream, to: usize, target: SocketAddr) {
    let connected = async {
        links.until_open(from, to).await;
        links.until_open(to, from).await; // the handshake's answer must get back
        TcpStream::connect(target).await
    };
    let far = tokio::select! {
        far = connected => far,
        () = links.until_reset(from, to) => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let Ok(far) = far else { return reset(&near) };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let both_directions = async {
        tokio::join!(
            copy_direction(&links, from, &mut near_read, to, &mut far_write),
            copy_direction(&links, to, &mut far_read, from, &mut near_write)
        )
    };
    let must_reset = tokio::select! {
        (there, back) = both_directions => there.is_err() || back.is_err(),
        () = links.until_reset(from, to) => true,
    };
    if must_reset {
        reset(near_write.as_ref());
        reset(far_write.as_ref());
    }
}

/// Copies one direction of a connection until the sender closes it.
async fn copy_direction(
    links: &SharedLinks, from: usize, read: &mut OwnedReadHalf, to: usize, write: &mut OwnedWriteHalf,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = read.read(&mut chunk).await?;
        links.until_open(from, to).await;
        let delay = links.lock().connection_delay(from, to, length);
        if delay > 0 {
            links.wait(delay).await;
        }
        if length == 0 {
            return write.shutdown().await;
        }
        write.write_all(&chunk[..length]).await?;
    }
}
