//! A process of relays: every datagram between hollow nodes passes through it, so that links can be cut. A node's
//! relay hears what is for the node and passes it on from the sender's own relay.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use socket2::{Domain, Socket, Type};

use super::hollow::read_lines;
use super::messages::{address, node_at, FleetPlan, RelayOrder};

const THREADS: usize = 2;
const DATAGRAM_MAX: usize = 2_048;
const READ_AT_ONCE: usize = 64;
const BUFFER_BYTES: usize = 1 << 20; // of a relay's socket: a burst must not be lost here

/// Which side of a cut each node is on; none: neither.
type Sides = Arc<Mutex<Vec<Option<bool>>>>;

#[derive(Clone)]
struct Relays {
    sockets: Arc<Vec<UdpSocket>>,
    onto: Arc<Vec<SocketAddr>>,
    sides: Sides,
}

/// Relays until standard input ends.
pub async fn run() -> Result<(), String> {
    let mut orders = read_lines::<RelayOrder>();
    let Some(RelayOrder::SetUp(plan, nodes)) = orders.recv().await.transpose()? else {
        return Err("the first order sets up".to_owned());
    };
    let relays = Relays::open(&plan, nodes).map_err(|error| format!("relays: {error}"))?;
    for thread in 0..THREADS {
        let relays = relays.clone();
        std::thread::spawn(move || relays.serve(thread));
    }
    println!("ready");
    while let Some(order) = orders.recv().await {
        relays.carry_out(order?);
    }
    Ok(())
}

fn open(at: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, None)?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    Ok(socket.into())
}

impl Relays {
    fn open(plan: &FleetPlan, nodes: usize) -> std::io::Result<Self> {
        let sockets: Result<Vec<UdpSocket>, _> =
            (0..nodes).map(|node| open(address(plan.reach_range, node))).collect();
        Ok(Relays {
            sockets: Arc::new(sockets?),
            onto: Arc::new((0..nodes).map(|node| address(plan.listen_range, node)).collect()),
            sides: Arc::new(Mutex::new(vec![None; nodes])),
        })
    }

    fn carry_out(&self, order: RelayOrder) {
        let mut sides = self.sides.lock().unwrap_or_else(PoisonError::into_inner);
        sides.fill(None);
        if let RelayOrder::Cut(left, right) = order {
            left.into_iter().for_each(|node| sides[node] = Some(false));
            right.into_iter().for_each(|node| sides[node] = Some(true));
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let sides = self.sides.lock().unwrap_or_else(PoisonError::into_inner);
        matches!((sides[from], sides[to]), (Some(one), Some(other)) if one != other)
    }

    /// Serves every so manieth node on this thread.
    fn serve(&self, thread: usize) {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_io().build() else { return };
        runtime.block_on(async {
            let mut running = tokio::task::JoinSet::new();
            for node in (thread..self.sockets.len()).step_by(THREADS) {
                running.spawn(self.clone().relay(node));
            }
            while running.join_next().await.is_some() {}
        });
    }

    async fn relay(self, to: usize) -> std::io::Result<()> {
        let socket = tokio::net::UdpSocket::from_std(self.sockets[to].try_clone()?)?;
        let mut buffer = [0; DATAGRAM_MAX];
        loop {
            socket.readable().await?;
            for _ in 0..READ_AT_ONCE {
                let Ok((length, source)) = socket.try_recv_from(&mut buffer) else { break };
                let known = node_at(source).filter(|from| *from < self.sockets.len());
                let Some(from) = known.filter(|from| !self.is_cut(*from, to)) else { continue };
                // A node that is down hears nothing, and a full socket loses what comes, as any link does.
                let _ = self.sockets[from].send_to(&buffer[..length], self.onto[to]);
            }
        }
    }
}
