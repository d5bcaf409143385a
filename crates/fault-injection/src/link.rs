//! Simulated links: loss, delay and duplication of datagrams, and delay of connection data.

use std::collections::BTreeMap;

use merlinfold_simulation::seed::{Seed, Stream};
use merlinfold_simulation::{millis, Nanos, SECOND};
use rand::Rng;

use crate::scenario::Network;
use crate::schedule::{EndpointSet, LinkEffect, StepAction};

const RETRANSMIT_MS: f64 = 200.0; // delay of a retransmission over a connection
/// Seconds at the configured rate that a throttled link queues before it drops datagrams.
const THROTTLE_BURST_S: f64 = 0.1;

/// An active fault of links: the effect on everything from `from` to `to`.
#[derive(Clone, Debug)]
struct LinkRule {
    from: EndpointSet,
    to: EndpointSet,
    effect: LinkEffect,
}

/// All links of a fleet, with the active link faults.
#[derive(Clone, Debug)]
pub struct Links {
    network: Network,
    rules: BTreeMap<usize, LinkRule>,
    /// For each throttled pair, the time of the last datagram and the bytes that were queued then.
    queues: BTreeMap<(usize, usize), (Nanos, f64)>,
    stream: Stream,
}

impl Links {
    /// Creates links without faults. With the same seed, the same datagrams in the same order get the same delays and
    /// losses.
    pub fn new(network: Network, seed: u64) -> Self {
        Links {
            network,
            rules: BTreeMap::new(),
            queues: BTreeMap::new(),
            stream: Seed(seed).stream("links", 0),
        }
    }

    /// Begins or ends a link rule; ignores all other actions.
    pub fn step(&mut self, action: &StepAction) {
        match action {
            StepAction::BeginRule { rule, from, to, effect } => {
                self.rules.insert(*rule, LinkRule { from: from.clone(), to: to.clone(), effect: *effect });
            }
            StepAction::EndRule(rule) => {
                self.rules.remove(rule);
                self.queues.clear();
            }
            _ => {}
        }
    }

    /// Returns whether nothing passes from `from` to `to`.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.effects(from, to).any(|effect| matches!(effect, LinkEffect::Cut | LinkEffect::Reset))
    }

    /// Returns whether connections between the two endpoints are reset.
    pub fn is_reset(&self, one: usize, other: usize) -> bool {
        self.effects(one, other).chain(self.effects(other, one)).any(|effect| effect == LinkEffect::Reset)
    }

    /// Returns the extra time that `bytes` bytes of connection data take from `from` to `to`.
    pub fn connection_delay(&mut self, from: usize, to: usize, bytes: usize) -> Nanos {
        let effects: Vec<LinkEffect> = self.effects(from, to).collect();
        let ms = effects.into_iter().map(|effect| match effect {
            LinkEffect::Thin(loss) if self.stream.random::<f64>() < loss => RETRANSMIT_MS,
            LinkEffect::Delay(ms, jitter_ms) => ms + jitter_ms * self.stream.random::<f64>(),
            LinkEffect::Throttle(rate) => 1e3 * bytes as f64 / rate.max(1.0),
            _ => 0.0,
        });
        millis(ms.sum())
    }

    /// Returns the active fault effects on the link from `from` to `to`.
    pub fn effects(&self, from: usize, to: usize) -> impl Iterator<Item = LinkEffect> + '_ {
        let rules = self.rules.values();
        rules.filter(move |rule| rule.from.contains(&from) && rule.to.contains(&to)).map(|rule| rule.effect)
    }

    /// Returns the transit time of each copy of a datagram that arrives; an empty list means that the datagram is
    /// lost.
    pub fn delivery_delays(&mut self, now: Nanos, from: usize, to: usize, bytes: usize) -> Vec<Nanos> {
        let mut base = self.network.delay_ms;
        let mut jitter = self.network.jitter_ms;
        let mut copies = 1;
        if self.stream.random::<f64>() < self.network.loss {
            return Vec::new();
        }
        let effects: Vec<LinkEffect> = self.effects(from, to).collect();
        for effect in effects {
            match effect {
                LinkEffect::Cut | LinkEffect::Reset => return Vec::new(),
                LinkEffect::Thin(loss) if self.stream.random::<f64>() < loss => return Vec::new(),
                LinkEffect::Delay(ms, jitter_ms) => (base, jitter) = (base + ms, jitter + jitter_ms),
                LinkEffect::Throttle(rate) => {
                    let (since, queued) = self.queues.get(&(from, to)).copied().unwrap_or((now, 0.0));
                    let drained = rate * now.saturating_sub(since) as f64 / SECOND as f64;
                    let queued = (queued - drained).max(0.0) + bytes as f64;
                    if queued > (rate * THROTTLE_BURST_S).max(1_200.0) {
                        return Vec::new();
                    }
                    self.queues.insert((from, to), (now, queued));
                    base += 1e3 * queued / rate.max(1.0);
                }
                LinkEffect::Duplicate(share) if self.stream.random::<f64>() < share => copies = 2,
                LinkEffect::Thin(_) | LinkEffect::Duplicate(_) => {}
            }
        }
        (0..copies).map(|_| millis(base + jitter * self.stream.random::<f64>())).collect()
    }
}
