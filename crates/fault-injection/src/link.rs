//! What becomes of a datagram on its way.

use std::collections::BTreeMap;

use merlinfold_simulation::seed::{Seed, Stream};
use merlinfold_simulation::{millis, Nanos, SECOND};
use rand::Rng;

use crate::scenario::Network;
use crate::schedule::{LinkEffect, NodeSet, StepAction};

const RETRANSMIT_MS: f64 = 200.0; // until what a connection lost is sent again
const THROTTLE_BURST_S: f64 = 0.1; // of its rate that a throttled link passes at once

#[derive(Clone, Debug)]
struct Rule {
    from: NodeSet,
    to: NodeSet,
    effect: LinkEffect,
}

/// All links of a fleet.
#[derive(Clone, Debug)]
pub struct Links {
    network: Network,
    rules: BTreeMap<usize, Rule>,
    filled: BTreeMap<(usize, usize), (Nanos, f64)>, // of throttled links: as of when, bytes passed and not yet drained
    stream: Stream,
}

impl Links {
    /// Links without a fault. The same seed draws the same fates for the same datagrams in the same order.
    pub fn new(network: Network, seed: u64) -> Self {
        Links {
            network,
            rules: BTreeMap::new(),
            filled: BTreeMap::new(),
            stream: Seed(seed).stream("links", 0),
        }
    }

    /// Begins or ends a rule; other steps are not of links.
    pub fn step(&mut self, action: &StepAction) {
        match action {
            StepAction::BeginRule { rule, from, to, effect } => {
                self.rules.insert(*rule, Rule { from: from.clone(), to: to.clone(), effect: *effect });
            }
            StepAction::EndRule(rule) => {
                self.rules.remove(rule);
                self.filled.clear();
            }
            _ => {}
        }
    }

    /// Whether nothing passes from one to the other.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.effects(from, to).any(|effect| matches!(effect, LinkEffect::Cut | LinkEffect::Reset))
    }

    /// Whether connections between the two are reset.
    pub fn is_reset(&self, one: usize, other: usize) -> bool {
        self.effects(one, other).chain(self.effects(other, one)).any(|effect| effect == LinkEffect::Reset)
    }

    /// How much longer a piece of a connection takes on its way.
    pub fn connection_delay(&mut self, from: usize, to: usize, bytes: usize) -> Nanos {
        let effects: Vec<LinkEffect> = self.effects(from, to).collect();
        let ms = effects.into_iter().map(|effect| match effect {
            LinkEffect::Thin(loss) if self.stream.random::<f64>() < loss => RETRANSMIT_MS,
            LinkEffect::Delay(ms, more) => ms + more * self.stream.random::<f64>(),
            LinkEffect::Throttle(rate) => 1e3 * bytes as f64 / rate.max(1.0),
            _ => 0.0,
        });
        millis(ms.sum())
    }

    /// What links from one to the other do beyond their usual.
    pub fn effects(&self, from: usize, to: usize) -> impl Iterator<Item = LinkEffect> + '_ {
        let rules = self.rules.values();
        rules.filter(move |rule| rule.from.contains(&from) && rule.to.contains(&to)).map(|rule| rule.effect)
    }

    /// Times on the way of each copy that arrives; none: it is lost.
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
                LinkEffect::Delay(ms, more) => (base, jitter) = (base + ms, jitter + more),
                LinkEffect::Throttle(rate) => {
                    let (since, filled) = self.filled.get(&(from, to)).copied().unwrap_or((now, 0.0));
                    let drained = rate * now.saturating_sub(since) as f64 / SECOND as f64;
                    let filled = (filled - drained).max(0.0) + bytes as f64;
                    if filled > (rate * THROTTLE_BURST_S).max(1_200.0) {
                        return Vec::new();
                    }
                    self.filled.insert((from, to), (now, filled));
                    base += 1e3 * filled / rate.max(1.0);
                }
                LinkEffect::Duplicate(share) if self.stream.random::<f64>() < share => copies = 2,
                LinkEffect::Thin(_) | LinkEffect::Duplicate(_) => {}
            }
        }
        (0..copies).map(|_| millis(base + jitter * self.stream.random::<f64>())).collect()
    }
}
