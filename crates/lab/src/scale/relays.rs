//! A process of relays. Every datagram between hollow nodes passes through it, so that links can be cut. A node's relay
//! receives the datagrams for that node and forwards them from the socket of the sender's relay.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use socket2::{Domain, Socket, Type};

use super::hollow::read_lines;
use super::messages::{address, node_at, FleetPlan, RelayOrder};

const THREADS: usize = 2;
const MAX_DATAGRAM_BYTES: usize = 2_048;
const MAX_READS_PER_WAKEUP: usize = 64;
const BUFFER_BYTES: usize = 1 << 20; // receive buffer, so that a relay does not lose bursts

/// The side of the cut that each node is on; none: neither side.
type Sides = Arc<Mutex<Vec<Option<bool>>>>;

#[derive(Clone)]
struct Relays {
    sockets: Arc<Vec<UdpSocket>>,
    targets: Arc<Vec<SocketAddr>>,
    sides: Sides,
}

/// Relays datagrams until standard input ends.
pub async fn run() -> Result<(), String> {
    let mut orders = read_lines::<RelayOrder>();
    let Some(RelayOrder::SetUp(plan, nodes)) = orders.recv().await.transpose()? else {
        return Err("expected a set-up as the first order".to_owned());
    };
    let relays = Relays::open(&plan, nodes).map_err(|error| format!("cannot open the relays: {error}"))?;
    for thread in 0..THREADS {
        let relays = relays.clone();
        std::thread::spawn(move || relays.serve(thread));
    }
    println!("ready");
    while let Some(order) = orders.recv().await {
        relays.apply(order?);
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
            targets: Arc::new((0..nodes).map(|node| address(plan.listen_range, node)).collect()),
            sides: Arc::new(Mutex::new(vec![None; nodes])),
        })
    }

    fn apply(&self, order: RelayOrder) {
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

    /// Relays for the nodes of this thread: every [`THREADS`]-th one.
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
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            socket.readable().await?;
            for _ in 0..MAX_READS_PER_WAKEUP {
                let Ok((length, source)) = socket.try_recv_from(&mut buffer) else { break };
                let known = node_at(source).filter(|from| *from < self.sockets.len());
                let Some(from) = known.filter(|from| !self.is_cut(*from, to)) else { continue };
                // Sending fails if the node is down, and a full socket drops datagrams, as on any link.
                let _ = self.sockets[from].send_to(&buffer[..length], self.targets[to]);
            }
        }
    }
}
