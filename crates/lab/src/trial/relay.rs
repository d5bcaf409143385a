//! What stands in every link of a trial: datagrams between nodes, and connections between nodes, guide servers,
//! discovery and clients. Each piece meets the fate that [`Links`] has for it.

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

const DATAGRAM_MOST: usize = 64 << 10;
const PIECE: usize = 16 << 10; // bytes of a connection that are passed on at once
const BACKLOG: u32 = 1_024;
const LATE: Duration = Duration::from_millis(50); // at the relay's own work, beyond which a play tells nothing

/// Links as relays see them: their fates, and word of each change.
#[derive(Clone)]
pub struct Fates {
    links: Arc<Mutex<Links>>,
    changed: watch::Sender<u64>,
    begun: Instant,
    late: Arc<AtomicU64>,
}

impl Fates {
    /// Of these links; the time of fates counts from now.
    pub fn new(links: Links) -> Self {
        let (links, changed) = (Arc::new(Mutex::new(links)), watch::channel(0).0);
        Fates { links, changed, begun: Instant::now(), late: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Carries out a step of the schedule.
    pub fn step(&self, what: &StepAction) {
        self.lock().step(what);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Pieces that were passed on later than they should have been, by more than 50 ms.
    pub fn late(&self) -> u64 {
        self.late.load(Ordering::Relaxed)
    }

    fn now(&self) -> Nanos {
        self.begun.elapsed().as_nanos() as Nanos
    }

    async fn after(&self, way: Nanos) {
        let due = Instant::now() + Duration::from_nanos(way);
        tokio::time::sleep_until(due).await;
        if due.elapsed() > LATE {
            self.late.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Until something passes from one to the other.
    async fn until_open(&self, from: usize, to: usize) {
        let mut changed = self.changed.subscribe();
        while self.lock().is_cut(from, to) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Until connections between the two are reset.
    async fn until_reset(&self, one: usize, other: usize) {
        let mut changed = self.changed.subscribe();
        while !self.lock().is_reset(one, other) {
            if changed.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

/// Passes datagrams between nodes: node `n` hears at `inner[n]` and is known to others as `outer[n]`.
pub async fn datagrams(
    fates: &Fates, inner: Vec<SocketAddr>, outer: Vec<SocketAddr>, tasks: &mut JoinSet<()>,
) -> io::Result<()> {
    let mut sockets = Vec::new();
    for at in &outer {
        sockets.push(UdpSocket::bind(at).await?);
    }
    let (sockets, inner): (Arc<[UdpSocket]>, Arc<[SocketAddr]>) = (sockets.into(), inner.into());
    for to in 0..outer.len() {
        let (fates, sockets, inner) = (fates.clone(), sockets.clone(), inner.clone());
        tasks.spawn(async move {
            let mut buffer = vec![0; DATAGRAM_MOST];
            let mut under_way = JoinSet::new();
            loop {
                while under_way.try_join_next().is_some() {}
                // What an earlier datagram met on its way comes back here; it ends nothing.
                let Ok((length, source)) = sockets[to].recv_from(&mut buffer).await else { continue };
                // Whose it is tells its source: a node sends from where it hears.
                let Some(from) = inner.iter().position(|at| *at == source) else { continue };
                let ways = fates.lock().delivery_delays(fates.now(), from, to, length);
                for way in ways {
                    let (fates, sockets, bytes) = (fates.clone(), sockets.clone(), buffer[..length].to_vec());
                    let at = inner[to];
                    under_way.spawn(async move {
                        fates.after(way).await;
                        let _ = sockets[from].send_to(&bytes, at).await; // a node that is gone hears nothing
                    });
                }
            }
        });
    }
    Ok(())
}

/// Takes connections from end `from` at `at` and passes them on to end `to` at `onto`.
pub fn connections(
    fates: &Fates, from: usize, at: SocketAddr, to: usize, onto: SocketAddr, tasks: &mut JoinSet<()>,
) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    let listener: TcpListener = socket.listen(BACKLOG)?;
    let fates = fates.clone();
    tasks.spawn(async move {
        let mut open = JoinSet::new();
        loop {
            while open.try_join_next().is_some() {}
            match listener.accept().await {
                Ok((stream, _)) => {
                    open.spawn(connection(fates.clone(), from, stream, to, onto));
                }
                Err(_) => sleep(Duration::from_millis(10)).await, // short of descriptors, or it has left again
            }
        }
    });
    Ok(())
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO)); // its drop then resets
}

async fn connection(fates: Fates, from: usize, near: TcpStream, to: usize, onto: SocketAddr) {
    let linked = async {
        fates.until_open(from, to).await;
        fates.until_open(to, from).await; // the answer to the handshake
        TcpStream::connect(onto).await
    };
    let far = tokio::select! {
        far = linked => far,
        () = fates.until_reset(from, to) => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let Ok(far) = far else { return reset(&near) };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let both = async {
        tokio::join!(
            pump(&fates, from, &mut near_read, to, &mut far_write),
            pump(&fates, to, &mut far_read, from, &mut near_write)
        )
    };
    let broken = tokio::select! {
        (there, back) = both => there.is_err() || back.is_err(),
        () = fates.until_reset(from, to) => true,
    };
    if broken {
        reset(near_write.as_ref());
        reset(far_write.as_ref());
    }
}

/// One direction, up to the sender's end.
async fn pump(
    fates: &Fates, from: usize, read: &mut OwnedReadHalf, to: usize, write: &mut OwnedWriteHalf,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE];
    loop {
        let length = read.read(&mut piece).await?;
        fates.until_open(from, to).await;
        let way = fates.lock().connection_delay(from, to, length);
        if way > 0 {
            fates.after(way).await;
        }
        if length == 0 {
            return write.shutdown().await;
        }
        write.write_all(&piece[..length]).await?;
    }
}
