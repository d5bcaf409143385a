//! Anti-entropy: members compare digests of their views and send each other the members that differ.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::net::SocketAddr;

use super::{Action, Membership};
use crate::config::{Nanos, MS};
use crate::record::{Name, Record, Status};
use crate::wire::{encode_record, Body, DatagramError};

/// Number of buckets in a digest.
const BUCKETS: usize = 64;
/// Maximum number of pending digest replies.
const MAX_DIGEST_REPLIES: usize = 64;
/// Time between two rounds of digest replies.
const REPLY_INTERVAL: Nanos = 20 * MS;
/// Number of datagrams sent in one round of digest replies.
const REPLIES_PER_ROUND: usize = 4;

/// Members that are still to be sent to a member whose digest differs.
#[derive(Clone, Debug)]
pub(super) struct DigestReply {
    to: Name,
    address: SocketAddr,
    names: VecDeque<Name>,
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    parts.iter().for_each(|part| hasher.write(part));
    hasher.finish()
}

/// The bucket of a member, which is the same on all nodes.
fn bucket(name: &Name) -> usize {
    (hash(&[name.as_bytes()]) % BUCKETS as u64) as usize
}

/// Adds a member to the checksums; the result does not depend on the order of additions.
fn add_to_sums(sums: &mut [u32], name: &Name, incarnation: u64, run: u64) {
    let sum = hash(&[name.as_bytes(), &incarnation.to_le_bytes(), &run.to_le_bytes()]);
    let slot = &mut sums[bucket(name)];
    *slot = slot.wrapping_add(sum as u32 ^ (sum >> 32) as u32);
}

impl Membership {
    /// The digest of this node's view: one checksum for the live members of each bucket.
    fn digest_sums(&mut self) -> &Vec<u32> {
        let own = self.own_record();
        self.digest_sums.get_or_insert_with(|| {
            let mut sums = vec![0; BUCKETS];
            add_to_sums(&mut sums, &own.name, own.incarnation, own.run);
            for (name, peer) in self.peers.iter().filter(|(_, peer)| peer.is_live()) {
                add_to_sums(&mut sums, name, peer.incarnation, peer.run);
            }
            sums
        })
    }

    /// A digest that asks the receiver for its own digest in return.
    pub(super) fn digest_request(&mut self) -> Body {
        Body::Digest { sums: self.digest_sums().clone(), answer: true }
    }

    /// Sends the digest to a random live member.
    pub(super) fn send_digest(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let every = self.tuning.digest_interval;
        self.next_digest = now + every / 2 + self.rng.u64(0..=every);
        if let Some(name) = self.sample_live(1).pop() {
            let body = self.digest_request();
            self.send_to(&name, body, &[self.own_record()], out);
        }
    }

    /// Compares another member's digest with this node's, and queues the members of all buckets that differ.
    pub(super) fn handle_digest(
        &mut self, from: &Name, address: SocketAddr, sums: &[u32], answer: bool, out: &mut Vec<Action>,
    ) -> Result<(), DatagramError> {
        if sums.len() != BUCKETS {
            return Err(DatagramError::Malformed);
        }
        let own = self.digest_sums().clone();
        if answer {
            let body = Body::Digest { sums: own.clone(), answer: false };
            self.send(Some(from), address, body, &[self.own_record()], out);
        }
        let differs = |name: &Name| own[bucket(name)] != sums[bucket(name)];
        let names: VecDeque<Name> =
            self.peers.keys().filter(|name| *name != from && differs(name)).cloned().collect();
        if names.is_empty() {
            return Ok(());
        }
        if self.digest_replies.len() >= MAX_DIGEST_REPLIES {
            return Err(DatagramError::Flood);
        }
        self.digest_replies.retain(|reply| reply.to != *from); // the latest digest replaces earlier ones
        self.digest_replies.push_back(DigestReply { to: from.clone(), address, names });
        Ok(())
    }

    /// Sends one round of replies.
    pub(super) fn send_digest_replies(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.next_digest_reply = now + REPLY_INTERVAL;
        for _ in 0..REPLIES_PER_ROUND {
            self.send_digest_reply(out);
        }
    }

    /// Sends one datagram of the reply at the head of the queue.
    fn send_digest_reply(&mut self, out: &mut Vec<Action>) {
        let Some(mut reply) = self.digest_replies.pop_front() else { return };
        let mut writer = self.begin_datagram(Some(&reply.to), Body::Gossip);
        while let Some(name) = reply.names.front() {
            let bytes: Vec<u8> = self.records_to_reply(name).iter().flat_map(encode_record).collect();
            if !writer.add(&bytes) {
                break;
            }
            reply.names.pop_front();
        }
        self.finish_datagram(reply.address, writer, out);
        if !reply.names.is_empty() {
            self.digest_replies.push_back(reply);
        }
    }

    /// The records that describe a member. A node without a majority does not report deaths, because it may be the one
    /// that is cut off.
    fn records_to_reply(&self, name: &Name) -> Vec<Record> {
        let Some(peer) = self.peers.get(name) else { return Vec::new() };
        let mut records = peer.records(name, &self.me.name);
        records.retain(|record| self.majority || !matches!(record.status, Status::Dead));
        records
    }
}
