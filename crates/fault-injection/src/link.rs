//! What becomes of a datagram on its way.

use std::collections::BTreeMap;

use merlinfold_simulation::seed::{Seed, Stream};
use merlinfold_simulation::{millis, Nanos, SECOND};
use rand::Rng;

use crate::schedule::{Do, Effect, Nodes};
use crate::spec::Network;

const RESENT_MS: f64 = 200.0; // until what a connection lost is sent again
const BURST_S: f64 = 0.1; // of its rate that a throttled link passes at once

#[derive(Clone, Debug)]
struct Rule {
    from: Nodes,
    to: Nodes,
    effect: Effect,
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
    pub fn step(&mut self, what: &Do) {
        match what {
            Do::Begin { rule, from, to, effect } => {
                self.rules.insert(*rule, Rule { from: from.clone(), to: to.clone(), effect: *effect });
            }
            Do::End(rule) => {
                self.rules.remove(rule);
                self.filled.clear();
            }
            _ => {}
        }
    }

    /// Whether nothing passes from one to the other.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.effects(from, to).any(|effect| matches!(effect, Effect::Cut | Effect::Reset))
    }

    /// Whether connections between the two are reset.
    pub fn is_reset(&self, one: usize, other: usize) -> bool {
        self.effects(one, other).chain(self.effects(other, one)).any(|effect| effect == Effect::Reset)
    }

    /// How much longer a piece of a connection takes on its way.
    pub fn lag(&mut self, from: usize, to: usize, bytes: usize) -> Nanos {
        let effects: Vec<Effect> = self.effects(from, to).collect();
        let ms = effects.into_iter().map(|effect| match effect {
            Effect::Thin(loss) if self.stream.random::<f64>() < loss => RESENT_MS,
            Effect::Delay(ms, more) => ms + more * self.stream.random::<f64>(),
            Effect::Throttle(rate) => 1e3 * bytes as f64 / rate.max(1.0),
            _ => 0.0,
        });
        millis(ms.sum())
    }

    /// What links from one to the other do beyond their usual.
    pub fn effects(&self, from: usize, to: usize) -> impl Iterator<Item = Effect> + '_ {
        let rules = self.rules.values();
        rules.filter(move |rule| rule.from.contains(&from) && rule.to.contains(&to)).map(|rule| rule.effect)
    }

    /// Times on the way of each copy that arrives; none: it is lost.
    pub fn fate(&mut self, now: Nanos, from: usize, to: usize, bytes: usize) -> Vec<Nanos> {
        let mut base = self.network.delay_ms;
        let mut jitter = self.network.jitter_ms;
        let mut copies = 1;
        if self.stream.random::<f64>() < self.network.loss {
            return Vec::new();
        }
        let effects: Vec<Effect> = self.effects(from, to).collect();
        for effect in effects {
            match effect {
                Effect::Cut | Effect::Reset => return Vec::new(),
                Effect::Thin(loss) if self.stream.random::<f64>() < loss => return Vec::new(),
                Effect::Delay(ms, more) => (base, jitter) = (base + ms, jitter + more),
                Effect::Throttle(rate) => {
                    let (since, filled) = self.filled.get(&(from, to)).copied().unwrap_or((now, 0.0));
                    let drained = rate * now.saturating_sub(since) as f64 / SECOND as f64;
                    let filled = (filled - drained).max(0.0) + bytes as f64;
                    if filled > (rate * BURST_S).max(1_200.0) {
                        return Vec::new();
                    }
                    self.filled.insert((from, to), (now, filled));
                    base += 1e3 * filled / rate.max(1.0);
                }
                Effect::Duplicate(share) if self.stream.random::<f64>() < share => copies = 2,
                Effect::Thin(_) | Effect::Duplicate(_) => {}
            }
        }
        (0..copies).map(|_| millis(base + jitter * self.stream.random::<f64>())).collect()
    }
}
