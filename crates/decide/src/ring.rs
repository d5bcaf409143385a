//! Finds the server with the greatest age times slope in a part of a ring, without looking at every server.
//!
//! What a server is worth to a class grows with each of the node's own sends: a line over the number of
//! sends, with a slope of its own and zero where it was last used. Which of two lines is higher changes at
//! most once, and the send at which it does can be reckoned ahead. So a tournament over all servers stays
//! valid until the first of its matches turns (a kinetic tournament tree: Basch, Guibas and Hershberger,
//! "Data structures for mobile data", SODA 1997); a server that is used or changes its slope costs the
//! matches on its own path. Matches are replayed only where a question needs them.
//!
//! The tournament stands on a binary trie over the servers' tags, so that a server comes or goes without
//! moving the others, and counts in every node give places on the ring and parts of it.
//! Values are compared as integers: the answer is that of a scan over all servers, not one near it.

/// A server's place in the ring: of use to the ring that gave it out until it is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot(u32);

/// What a server is to one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Line {
    /// Worth gained with each send since it was last used; 0: it cannot be chosen. Below 2^62.
    pub slope: u64,
    /// The number of sends when it was last used.
    pub last: i64,
    /// Of two equal ones the one with the lesser tie is chosen.
    pub tie: u64,
    /// It takes up a place in the part of the ring that is looked at, chosen or not.
    pub counts: bool,
}

impl Line {
    fn value(&self, at: i64) -> u128 {
        u128::from(self.slope) * at.saturating_sub(self.last).max(0) as u128
    }
}

/// Which servers a question is about: `own` places that count, from the server on place `start` on.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Place of the first, counting all servers of the ring in order.
    pub start: usize,
    /// How many places.
    pub own: usize,
    /// Where none of them can be chosen: take the first beyond them that can.
    pub beyond: bool,
}

const NONE: u32 = u32::MAX;
const LEAF: u32 = u32::MAX; // in place of the bit that an inner node tells apart

struct Node {
    key: u128,   // of a leaf; of an inner node that of one of its leaves
    bit: u32,    // counted from the top
    parent: u32, // of a free node: the next free one
    children: [u32; 2],
    size: u32, // leaves below
}

/// One class's standing match at a node: of a leaf its own line.
#[derive(Clone, Copy)]
struct Match {
    line: Line,
    winner: u32, // a leaf, or none below can be chosen
    counts: u32, // places that count below
    until: i64,  // the number of sends from which on it has to be replayed
}

const IDLE: Match = Match {
    line: Line { slope: 0, last: 0, tie: 0, counts: false },
    winner: NONE,
    counts: 0,
    until: i64::MAX,
};

/// The ring of ready servers, with a tournament for each class.
#[derive(Default)]
pub struct Ring {
    classes: usize,
    nodes: Vec<Node>,
    matches: Vec<Match>, // by node and class
    root: Option<u32>,
    free: Option<u32>,
}

/// Key of a server: its tag and, where tags are equal, its number.
pub fn key(tag: u64, id: u32) -> u128 {
    u128::from(tag) << 32 | u128::from(id)
}

fn side(key: u128, bit: u32) -> usize {
    (key >> (127 - bit) & 1) as usize
}

impl Ring {
    /// An empty ring for so many classes.
    pub fn new(classes: usize) -> Self {
        Ring { classes, ..Ring::default() }
    }

    /// Servers in the ring.
    pub fn len(&self) -> usize {
        self.root.map_or(0, |root| self.nodes[root as usize].size as usize)
    }

    /// The number that the key of a server in the ring ends in.
    pub fn id(&self, slot: Slot) -> u32 {
        self.nodes[slot.0 as usize].key as u32
    }

    /// What was set for a class.
    pub fn line(&self, slot: Slot, class: usize) -> Line {
        self.at(slot.0, class).line
    }

    /// What a server is worth to a class after so many sends; none if it cannot be chosen.
    pub fn value(&self, slot: Slot, class: usize, at: i64) -> Option<u128> {
        let line = self.line(slot, class);
        (line.slope > 0).then(|| line.value(at))
    }

    fn at(&self, node: u32, class: usize) -> &Match {
        &self.matches[node as usize * self.classes + class]
    }

    fn at_mut(&mut self, node: u32, class: usize) -> &mut Match {
        &mut self.matches[node as usize * self.classes + class]
    }

    fn allocate(&mut self, node: Node) -> u32 {
        match self.free {
            Some(slot) => {
                let next = self.nodes[slot as usize].parent;
                self.free = Some(next).filter(|&n| n != NONE);
                self.nodes[slot as usize] = node;
                (0..self.classes).for_each(|class| *self.at_mut(slot, class) = IDLE);
                slot
            }
            None => {
                self.nodes.push(node);
                self.matches.resize(self.nodes.len() * self.classes, IDLE);
                self.nodes.len() as u32 - 1
            }
        }
    }

    fn release(&mut self, slot: u32) {
        self.nodes[slot as usize].parent = self.free.unwrap_or(NONE);
        self.free = Some(slot);
    }

    /// Takes a server in; it counts for no class until its lines are set. The key must not be in the ring.
    pub fn insert(&mut self, key: u128) -> Slot {
        let leaf = Node { key, bit: LEAF, parent: NONE, children: [NONE; 2], size: 1 };
        let leaf = self.allocate(leaf);
        let Some(root) = self.root else {
            self.root = Some(leaf);
            return Slot(leaf);
        };
        let mut near = root;
        while self.nodes[near as usize].bit != LEAF {
            near = self.nodes[near as usize].children[side(key, self.nodes[near as usize].bit)];
        }
        let bit = (key ^ self.nodes[near as usize].key).leading_zeros();
        assert!(bit < 128, "a key comes into the ring once");
        let (mut above, mut below) = (NONE, root);
        while self.nodes[below as usize].bit < bit {
            self.nodes[below as usize].size += 1;
            above = below;
            below = self.nodes[below as usize].children[side(key, self.nodes[below as usize].bit)];
        }
        let size = self.nodes[below as usize].size + 1;
        let mut children = [below; 2];
        children[side(key, bit)] = leaf;
        let inner = self.allocate(Node { key, bit, parent: above, children, size });
        for class in 0..self.classes {
            let counts = self.at(below, class).counts;
            *self.at_mut(inner, class) = Match { counts, until: i64::MIN, ..IDLE };
        }
        (self.nodes[below as usize].parent, self.nodes[leaf as usize].parent) = (inner, inner);
        self.replace(above, below, inner);
        // The new node has to be replayed, and with it all above.
        (0..self.classes).for_each(|class| self.stir(above, class, 0));
        Slot(leaf)
    }

    fn replace(&mut self, parent: u32, child: u32, by: u32) {
        match parent {
            NONE => self.root = Some(by),
            parent => {
                let children = &mut self.nodes[parent as usize].children;
                children[usize::from(children[1] == child)] = by;
            }
        }
    }

    /// Takes a server out.
    pub fn remove(&mut self, Slot(leaf): Slot) {
        (0..self.classes).for_each(|class| self.set(Slot(leaf), class, Line::default()));
        let inner = self.nodes[leaf as usize].parent;
        self.release(leaf);
        if inner == NONE {
            self.root = None;
            return;
        }
        let children = self.nodes[inner as usize].children;
        let other = children[usize::from(children[0] == leaf)];
        let above = self.nodes[inner as usize].parent;
        self.nodes[other as usize].parent = above;
        self.replace(above, inner, other);
        self.release(inner);
        let mut node = above;
        while node != NONE {
            self.nodes[node as usize].size -= 1;
            node = self.nodes[node as usize].parent;
        }
    }

    /// States what a server is to a class.
    pub fn set(&mut self, Slot(leaf): Slot, class: usize, line: Line) {
        let own = self.at_mut(leaf, class);
        if own.line == line {
            return;
        }
        let change = i32::from(line.counts) - i32::from(own.line.counts);
        own.line = line;
        own.winner = if line.slope > 0 { leaf } else { NONE };
        own.counts = u32::from(line.counts);
        self.stir(self.nodes[leaf as usize].parent, class, change);
    }

    /// The matches from a node upwards have to be replayed, and their counts change.
    fn stir(&mut self, mut node: u32, class: usize, change: i32) {
        while node != NONE {
            let own = self.at_mut(node, class);
            // What is above one that has to be replayed has to be replayed already.
            if change == 0 && own.until == i64::MIN {
                return;
            }
            own.until = i64::MIN;
            own.counts = own.counts.wrapping_add_signed(change);
            node = self.nodes[node as usize].parent;
        }
    }

    /// Replays what may have turned by the time of so many sends.
    fn replay(&mut self, node: u32, class: usize, at: i64) {
        if self.at(node, class).until > at {
            return;
        }
        let [left, right] = self.nodes[node as usize].children;
        self.replay(left, class, at);
        self.replay(right, class, at);
        let (one, two) = (self.at(left, class), self.at(right, class));
        let (won, lost) = if beats(two, one, at) { (two, one) } else { (one, two) };
        let until = one.until.min(two.until).min(turn(won, lost, at));
        let (line, winner) = (won.line, won.winner);
        let own = self.at_mut(node, class);
        (own.line, own.winner, own.until) = (line, winner, until);
    }

    /// The server of the part that is worth most to the class after so many sends, among those admitted.
    /// Sends only ever grow from one question to the next.
    pub fn best(&mut self, class: usize, at: i64, part: Part, admit: &dyn Fn(u32) -> bool) -> Option<Slot> {
        let root = self.root?;
        let all = self.at(root, class).counts as usize;
        if all == 0 {
            return None;
        }
        let first = self.counted_before(class, part.start) % all;
        let own = part.own.min(all);
        let wrapped = (first + own).saturating_sub(all);
        let here = self.best_within(root, class, at, first..first + own - wrapped, admit);
        let there = self.best_within(root, class, at, 0..wrapped, admit);
        let best = match (here, there) {
            (Some(one), Some(two)) if beats(self.at(two, class), self.at(one, class), at) => Some(two),
            (one, two) => one.or(two),
        };
        if best.is_some() || !part.beyond {
            return best.map(Slot);
        }
        let next = first + own;
        let beyond = self.first_within(root, class, at, next..all, admit);
        let beyond = beyond.or_else(|| self.first_within(root, class, at, wrapped..first, admit));
        beyond.map(Slot)
    }

    /// Places that count before this one.
    fn counted_before(&self, class: usize, place: usize) -> usize {
        let (Some(mut node), mut place, mut counted) = (self.root, place, 0) else { return 0 };
        if place >= self.nodes[node as usize].size as usize {
            return self.at(node, class).counts as usize;
        }
        while self.nodes[node as usize].bit != LEAF {
            let [left, right] = self.nodes[node as usize].children;
            let size = self.nodes[left as usize].size as usize;
            node = if place < size { left } else { right };
            if place >= size {
                place -= size;
                counted += self.at(left, class).counts as usize;
            }
        }
        counted
    }

    /// `places`: those that count below this node, from the first on.
    fn best_within(
        &mut self, node: u32, class: usize, at: i64, places: std::ops::Range<usize>,
        admit: &dyn Fn(u32) -> bool,
    ) -> Option<u32> {
        if places.is_empty() {
            return None;
        }
        if places.start == 0 && places.end >= self.at(node, class).counts as usize {
            return self.best_of(node, class, at, admit);
        }
        let [left, right] = self.nodes[node as usize].children;
        let size = self.at(left, class).counts as usize;
        let (left_part, right_part) = split(places, size);
        let one = self.best_within(left, class, at, left_part, admit);
        let two = self.best_within(right, class, at, right_part, admit);
        self.better(one, two, class, at)
    }

    fn best_of(&mut self, node: u32, class: usize, at: i64, admit: &dyn Fn(u32) -> bool) -> Option<u32> {
        self.replay(node, class, at);
        let winner = self.at(node, class).winner;
        if winner == NONE {
            return None;
        }
        if admit(self.nodes[winner as usize].key as u32) {
            return Some(winner);
        }
        if self.nodes[node as usize].bit == LEAF {
            return None;
        }
        let [left, right] = self.nodes[node as usize].children;
        let one = self.best_of(left, class, at, admit);
        let two = self.best_of(right, class, at, admit);
        self.better(one, two, class, at)
    }

    fn better(&self, one: Option<u32>, two: Option<u32>, class: usize, at: i64) -> Option<u32> {
        match (one, two) {
            (Some(a), Some(b)) if beats(self.at(b, class), self.at(a, class), at) => two,
            _ => one.or(two),
        }
    }

    /// The first in the order of the ring that can be chosen.
    fn first_within(
        &mut self, node: u32, class: usize, at: i64, places: std::ops::Range<usize>,
        admit: &dyn Fn(u32) -> bool,
    ) -> Option<u32> {
        if places.is_empty() {
            return None;
        }
        self.replay(node, class, at);
        if self.at(node, class).winner == NONE {
            return None;
        }
        if self.nodes[node as usize].bit == LEAF {
            return Some(node).filter(|_| admit(self.nodes[node as usize].key as u32));
        }
        let [left, right] = self.nodes[node as usize].children;
        let size = self.at(left, class).counts as usize;
        let (left_part, right_part) = split(places, size);
        let left = self.first_within(left, class, at, left_part, admit);
        left.or_else(|| self.first_within(right, class, at, right_part, admit))
    }
}

fn split(places: std::ops::Range<usize>, size: usize) -> (std::ops::Range<usize>, std::ops::Range<usize>) {
    let right = places.start.saturating_sub(size)..places.end.saturating_sub(size);
    (places.start.min(size)..places.end.min(size), right)
}

fn beats(one: &Match, other: &Match, at: i64) -> bool {
    if one.winner == NONE || other.winner == NONE {
        return one.winner != NONE;
    }
    let (a, b) = (one.line.value(at), other.line.value(at));
    a > b || a == b && one.line.tie < other.line.tie
}

/// A number of sends before which the loser of a match stays so: the match itself or sooner, never later.
fn turn(won: &Match, lost: &Match, at: i64) -> i64 {
    if won.winner == NONE || lost.winner == NONE || lost.line.slope <= won.line.slope {
        return i64::MAX;
    }
    let gap = won.line.value(at) - lost.line.value(at);
    // Rounded down by more than the error of the two conversions: replayed early, it is only replayed again.
    let steps = gap as f64 / (lost.line.slope - won.line.slope) as f64 * (1.0 - 1e-12);
    at.saturating_add((steps as i64).max(1))
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use proptest::prelude::*;

    use super::*;

    /// The question answered by looking at every server in turn.
    fn scan(servers: &BTreeMap<u128, Line>, at: i64, part: Part, admit: &dyn Fn(u32) -> bool) -> Option<u32> {
        let order: Vec<_> = servers.iter().skip(part.start).chain(servers.iter().take(part.start)).collect();
        let mut left = part.own;
        let mut best: Option<(u128, u64, u32)> = None;
        for (&key, line) in order.into_iter().filter(|(_, line)| line.counts) {
            if left == 0 && (best.is_some() || !part.beyond) {
                break;
            }
            left = left.saturating_sub(1);
            let value = line.value(at);
            let better = best.is_none_or(|(most, tie, _)| value > most || value == most && line.tie < tie);
            if line.slope > 0 && admit(key as u32) && better {
                best = Some((value, line.tie, key as u32));
            }
        }
        best.map(|(_, _, id)| id)
    }

    #[derive(Clone, Debug)]
    enum Step {
        Insert(u64),
        Remove(usize),
        Set(usize, u64, bool),
        Use(usize),
        Ask { start: usize, own: usize, beyond: bool, without: u32, sends: i64 },
    }

    fn step() -> impl Strategy<Value = Step> {
        let slope = prop_oneof![Just(0u64), 1u64..4, 1u64 << 39..1 << 41, Just((1 << 62) - 1)];
        let own = prop_oneof![3 => 0usize..40, 1 => Just(usize::MAX)];
        let tag = prop_oneof![0u64..64, any::<u64>()];
        prop_oneof![
            3 => tag.prop_map(Step::Insert),
            1 => any::<usize>().prop_map(Step::Remove),
            4 => (any::<usize>(), slope, prop::bool::weighted(0.9)).prop_map(|(n, s, c)| Step::Set(n, s, c)),
            3 => any::<usize>().prop_map(Step::Use),
            6 => (0usize..50, own, any::<bool>(), 0u32..40, 0i64..20).prop_map(
                |(start, own, beyond, without, sends)| Step::Ask { start, own, beyond, without, sends }
            ),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn the_answer_is_that_of_a_scan_over_all_servers(steps in prop::collection::vec(step(), 1..400)) {
            let mut ring = Ring::new(2);
            let mut model = BTreeMap::new();
            let mut slots = BTreeMap::new();
            let (mut next, mut at) = (0u32, 1_000i64);
            for step in steps {
                let nth = |n: usize| slots.iter().nth(n % slots.len().max(1)).map(|(&k, &s)| (k, s));
                match step {
                    Step::Insert(tag) => {
                        let key = key(tag, next);
                        // Ties may be equal only where servers were never told apart: here all differ.
                        let tie = u64::from(next).wrapping_mul(0x9E37_79B9_7F4A_7C15);
                        next += 1;
                        let slot = ring.insert(key);
                        prop_assert_eq!(ring.id(slot), key as u32);
                        let line = Line { slope: 1 << 40, last: at - (tie % 50) as i64, tie, counts: true };
                        ring.set(slot, 1, line);
                        slots.insert(key, slot);
                        model.insert(key, line);
                    }
                    Step::Remove(n) => if let Some((key, slot)) = nth(n) {
                        ring.remove(slot);
                        slots.remove(&key);
                        model.remove(&key);
                    },
                    Step::Set(n, slope, counts) => if let Some((key, slot)) = nth(n) {
                        let line = model.get_mut(&key).expect("it is in both");
                        (line.slope, line.counts) = (if counts { slope } else { 0 }, counts);
                        ring.set(slot, 1, *line);
                    },
                    Step::Use(n) => if let Some((key, slot)) = nth(n) {
                        let line = model.get_mut(&key).expect("it is in both");
                        line.last = at;
                        at += 1;
                        ring.set(slot, 1, *line);
                    },
                    Step::Ask { start, own, beyond, without, sends } => {
                        at += sends;
                        let part = Part { start: start % ring.len().max(1), own, beyond };
                        let admit = |id: u32| id % 40 != without;
                        let found = ring.best(1, at, part, &admit).map(|slot| ring.id(slot));
                        prop_assert_eq!(found, scan(&model, at, part, &admit));
                        prop_assert_eq!(ring.best(0, at, part, &admit), None);
                    }
                }
                prop_assert_eq!(ring.len(), model.len());
                prop_assert!(ring.nodes.len() <= 2 * next as usize);
            }
        }
    }
}
