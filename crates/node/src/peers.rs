//! Datagrams to and from the other nodes of the tier.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tracing::debug;

use crate::input::Input;
use merlinfold_decide::interface::MAX_MESSAGE_BYTES;

/// The node's datagram socket and the addresses of all nodes, indexed by node number.
#[derive(Clone)]
pub struct Peers {
    socket: Arc<UdpSocket>,
    addresses: Arc<[SocketAddr]>,
    all: Option<SocketAddr>, // an address that reaches all other nodes
    me: u32,
}

impl Peers {
    /// `addresses` are those of all nodes by number, `me` is the number of this node, and `all` an address that reaches
    /// all other nodes, if there is one.
    pub fn new(socket: UdpSocket, addresses: Vec<SocketAddr>, all: Option<SocketAddr>, me: u32) -> Self {
        Peers { socket: Arc::new(socket), addresses: addresses.into(), all, me }
    }

    /// Sends a message to one node, or to all others. It is dropped if the socket's buffer is full, as the network may
    /// drop it too.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        let send_to = |at: SocketAddr| {
            if let Err(error) = self.socket.try_send_to(bytes, at) {
                debug!(%at, %error, "message to a peer could not be sent");
            }
        };
        match (to, self.all) {
            (Some(to), _) => self.addresses.get(to as usize).copied().into_iter().for_each(send_to),
            (None, Some(all)) => send_to(all),
            (None, None) => {
                let others = self.addresses.iter().enumerate().filter(|(n, _)| *n != self.me as usize);
                others.for_each(|(_, &at)| send_to(at));
            }
        }
    }

    /// Forwards messages of peers to the driver. Drops datagrams that are too long or from other addresses.
    pub async fn receive(self, inputs: UnboundedSender<Input>) {
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            let (length, at) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // The error may be that of an earlier datagram, such as an ICMP answer to it, so receiving goes on.
                    debug!(%error, "receiving from peers failed; retrying");
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            let from = self.addresses.iter().position(|&peer| peer == at);
            if let Some(from) = from.filter(|_| length <= MAX_MESSAGE_BYTES) {
                let input = Input::Peer { from: from as u32, bytes: buffer[..length].to_vec() };
                if inputs.send(input).is_err() {
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::sync::mpsc;

    async fn socket() -> (UdpSocket, SocketAddr) {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let at = socket.local_addr().unwrap();
        (socket, at)
    }

    /// Guards against messages from addresses that are no peer's. Datagrams keep their order on loopback, so the two
    /// before the last one were dropped.
    #[tokio::test]
    async fn messages_of_strangers_and_oversized_messages_are_dropped() {
        let ((own, own_at), (peer, peer_at)) = (socket().await, socket().await);
        let (stranger, _) = socket().await;
        let peers = Peers::new(own, vec![own_at, peer_at], None, 0);
        stranger.send_to(b"stranger", own_at).await.unwrap();
        peer.send_to(&[0; MAX_MESSAGE_BYTES + 1], own_at).await.unwrap();
        peer.send_to(&[7; MAX_MESSAGE_BYTES], own_at).await.unwrap();
        let (sender, mut inputs) = mpsc::unbounded_channel();
        let task = tokio::spawn(peers.clone().receive(sender));
        let Some(Input::Peer { from, bytes }) = inputs.recv().await else {
            panic!("no message was received")
        };
        assert_eq!((from, bytes), (1, vec![7; MAX_MESSAGE_BYTES]));
        task.abort();
    }

    #[tokio::test]
    async fn a_message_is_sent_to_one_peer_by_number_or_to_all_others() {
        let ((own, own_at), (peer, peer_at)) = (socket().await, socket().await);
        let (all, all_at) = socket().await;
        own.writable().await.unwrap();
        let mut buffer = [0; 8];
        let peers = Peers::new(own, vec![own_at, peer_at], None, 0);
        for to in [Some(1), None] {
            peers.send(to, b"news");
            assert_eq!(peer.recv_from(&mut buffer).await.unwrap(), (4, own_at));
        }
        Peers { all: Some(all_at), ..peers }.send(None, b"all");
        assert_eq!(all.recv_from(&mut buffer).await.unwrap(), (3, own_at));
    }
}
