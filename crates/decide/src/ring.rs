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
pub struct Candidate {
    /// Worth gained with each send since it was last used; 0: it cannot be chosen. Below 2^62.
    pub slope: u64,
    /// The number of sends when it was last used.
    pub last_send: i64,
    /// Of two equal ones the one with the lesser tie is chosen.
    pub tie_break: u64,
    /// It takes up a place in the part of the ring that is looked at, chosen or not.
    pub in_rotation: bool,
}

impl Candidate {
    fn score(&self, at: i64) -> u128 {
        u128::from(self.slope) * at.saturating_sub(self.last_send).max(0) as u128
    }
}

/// Which servers a question is about: `own` places that count, from the server on place `start` on.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    /// Place of the first, counting all servers of the ring in order.
    pub start: usize,
    /// How many places.
    pub size: usize,
    /// Where none of them can be chosen: take the first beyond them that can.
    pub extend: bool,
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
    candidate: Candidate,
    winner: u32,      // a leaf, or none below can be chosen
    in_rotation: u32, // places that count below
    valid_until: i64, // the number of sends from which on it has to be replayed
}

const EMPTY_MATCH: Match = Match {
    candidate: Candidate { slope: 0, last_send: 0, tie_break: 0, in_rotation: false },
    winner: NONE,
    in_rotation: 0,
    valid_until: i64::MAX,
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
    pub fn candidate(&self, slot: Slot, class: usize) -> Candidate {
        self.match_at(slot.0, class).candidate
    }

    /// What a server is worth to a class after so many sends; none if it cannot be chosen.
    pub fn score(&self, slot: Slot, class: usize, at: i64) -> Option<u128> {
        let line = self.candidate(slot, class);
        (line.slope > 0).then(|| line.score(at))
    }

    fn match_at(&self, node: u32, class: usize) -> &Match {
        &self.matches[node as usize * self.classes + class]
    }

    fn match_at_mut(&mut self, node: u32, class: usize) -> &mut Match {
        &mut self.matches[node as usize * self.classes + class]
    }

    fn allocate(&mut self, node: Node) -> u32 {
        match self.free {
            Some(slot) => {
                let next = self.nodes[slot as usize].parent;
                self.free = Some(next).filter(|&n| n != NONE);
                self.nodes[slot as usize] = node;
                (0..self.classes).for_each(|class| *self.match_at_mut(slot, class) = EMPTY_MATCH);
                slot
            }
            None => {
                self.nodes.push(node);
                self.matches.resize(self.nodes.len() * self.classes, EMPTY_MATCH);
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
            let counts = self.match_at(below, class).in_rotation;
            *self.match_at_mut(inner, class) =
                Match { in_rotation: counts, valid_until: i64::MIN, ..EMPTY_MATCH };
        }
        (self.nodes[below as usize].parent, self.nodes[leaf as usize].parent) = (inner, inner);
        self.replace_child(above, below, inner);
        // The new node has to be replayed, and with it all above.
        (0..self.classes).for_each(|class| self.invalidate(above, class, 0));
        Slot(leaf)
    }

    fn replace_child(&mut self, parent: u32, child: u32, by: u32) {
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
        (0..self.classes).for_each(|class| self.set(Slot(leaf), class, Candidate::default()));
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
        self.replace_child(above, inner, other);
        self.release(inner);
        let mut node = above;
        while node != NONE {
            self.nodes[node as usize].size -= 1;
            node = self.nodes[node as usize].parent;
        }
    }

    /// States what a server is to a class.
    pub fn set(&mut self, Slot(leaf): Slot, class: usize, line: Candidate) {
        let own = self.match_at_mut(leaf, class);
        if own.candidate == line {
            return;
        }
        let change = i32::from(line.in_rotation) - i32::from(own.candidate.in_rotation);
        own.candidate = line;
        own.winner = if line.slope > 0 { leaf } else { NONE };
        own.in_rotation = u32::from(line.in_rotation);
        self.invalidate(self.nodes[leaf as usize].parent, class, change);
    }

    /// The matches from a node upwards have to be replayed, and their counts change.
    fn invalidate(&mut self, mut node: u32, class: usize, change: i32) {
        while node != NONE {
            let own = self.match_at_mut(node, class);
            // What is above one that has to be replayed has to be replayed already.
            if change == 0 && own.valid_until == i64::MIN {
                return;
            }
            own.valid_until = i64::MIN;
            own.in_rotation = own.in_rotation.wrapping_add_signed(change);
            node = self.nodes[node as usize].parent;
        }
    }

    /// Replays what may have turned by the time of so many sends.
    fn replay(&mut self, node: u32, class: usize, at: i64) {
        if self.match_at(node, class).valid_until > at {
            return;
        }
        let [left, right] = self.nodes[node as usize].children;
        self.replay(left, class, at);
        self.replay(right, class, at);
        let (one, two) = (self.match_at(left, class), self.match_at(right, class));
        let (won, lost) = if beats(two, one, at) { (two, one) } else { (one, two) };
        let until = one.valid_until.min(two.valid_until).min(next_overtake(won, lost, at));
        let (line, winner) = (won.candidate, won.winner);
        let own = self.match_at_mut(node, class);
        (own.candidate, own.winner, own.valid_until) = (line, winner, until);
    }

    /// The server of the part that is worth most to the class after so many sends, among those admitted.
    /// Sends only ever grow from one question to the next.
    pub fn best(
        &mut self, class: usize, at: i64, part: Rotation, admit: &dyn Fn(u32) -> bool,
    ) -> Option<Slot> {
        let root = self.root?;
        let all = self.match_at(root, class).in_rotation as usize;
        if all == 0 {
            return None;
        }
        let first = self.rotation_count_before(class, part.start) % all;
        let own = part.size.min(all);
        let wrapped = (first + own).saturating_sub(all);
        let here = self.best_within(root, class, at, first..first + own - wrapped, admit);
        let there = self.best_within(root, class, at, 0..wrapped, admit);
        let best = match (here, there) {
            (Some(one), Some(two)) if beats(self.match_at(two, class), self.match_at(one, class), at) => {
                Some(two)
            }
            (one, two) => one.or(two),
        };
        if best.is_some() || !part.extend {
            return best.map(Slot);
        }
        let next = first + own;
        let beyond = self.first_eligible(root, class, at, next..all, admit);
        let beyond = beyond.or_else(|| self.first_eligible(root, class, at, wrapped..first, admit));
        beyond.map(Slot)
    }

    /// Places that count before this one.
    fn rotation_count_before(&self, class: usize, place: usize) -> usize {
        let (Some(mut node), mut place, mut counted) = (self.root, place, 0) else { return 0 };
        if place >= self.nodes[node as usize].size as usize {
            return self.match_at(node, class).in_rotation as usize;
        }
        while self.nodes[node as usize].bit != LEAF {
            let [left, right] = self.nodes[node as usize].children;
            let size = self.nodes[left as usize].size as usize;
            node = if place < size { left } else { right };
            if place >= size {
                place -= size;
                counted += self.match_at(left, class).in_rotation as usize;
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
        if places.start == 0 && places.end >= self.match_at(node, class).in_rotation as usize {
            return self.best_of(node, class, at, admit);
        }
        let [left, right] = self.nodes[node as usize].children;
        let size = self.match_at(left, class).in_rotation as usize;
        let (left_part, right_part) = split(places, size);
        let one = self.best_within(left, class, at, left_part, admit);
        let two = self.best_within(right, class, at, right_part, admit);
        self.better(one, two, class, at)
    }

    fn best_of(&mut self, node: u32, class: usize, at: i64, admit: &dyn Fn(u32) -> bool) -> Option<u32> {
        self.replay(node, class, at);
        let winner = self.match_at(node, class).winner;
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
            (Some(a), Some(b)) if beats(self.match_at(b, class), self.match_at(a, class), at) => two,
            _ => one.or(two),
        }
    }

    /// The first in the order of the ring that can be chosen.
    fn first_eligible(
        &mut self, node: u32, class: usize, at: i64, places: std::ops::Range<usize>,
        admit: &dyn Fn(u32) -> bool,
    ) -> Option<u32> {
        if places.is_empty() {
            return None;
        }
        self.replay(node, class, at);
        if self.match_at(node, class).winner == NONE {
            return None;
        }
        if self.nodes[node as usize].bit == LEAF {
            return Some(node).filter(|_| admit(self.nodes[node as usize].key as u32));
        }
        let [left, right] = self.nodes[node as usize].children;
        let size = self.match_at(left, class).in_rotation as usize;
        let (left_part, right_part) = split(places, size);
        let left = self.first_eligible(left, class, at, left_part, admit);
        left.or_else(|| self.first_eligible(right, class, at, right_part, admit))
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
    let (a, b) = (one.candidate.score(at), other.candidate.score(at));
    a > b || a == b && one.candidate.tie_break < other.candidate.tie_break
}

/// A number of sends before which the loser of a match stays so: the match itself or sooner, never later.
fn next_overtake(won: &Match, lost: &Match, at: i64) -> i64 {
    if won.winner == NONE || lost.winner == NONE || lost.candidate.slope <= won.candidate.slope {
        return i64::MAX;
    }
    let gap = won.candidate.score(at) - lost.candidate.score(at);
    // Rounded down by more than the error of the two conversions: replayed early, it is only replayed again.
    let steps = gap as f64 / (lost.candidate.slope - won.candidate.slope) as f64 * (1.0 - 1e-12);
    at.saturating_add((steps as i64).max(1))
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use proptest::prelude::*;

    use super::*;

    /// The question answered by looking at every server in turn.
    fn scan(
        servers: &BTreeMap<u128, Candidate>, at: i64, part: Rotation, admit: &dyn Fn(u32) -> bool,
    ) -> Option<u32> {
        let order: Vec<_> = servers.iter().skip(part.start).chain(servers.iter().take(part.start)).collect();
        let mut left = part.size;
        let mut best: Option<(u128, u64, u32)> = None;
        for (&key, line) in order.into_iter().filter(|(_, line)| line.in_rotation) {
            if left == 0 && (best.is_some() || !part.extend) {
                break;
            }
            left = left.saturating_sub(1);
            let value = line.score(at);
            let better =
                best.is_none_or(|(most, tie, _)| value > most || value == most && line.tie_break < tie);
            if line.slope > 0 && admit(key as u32) && better {
                best = Some((value, line.tie_break, key as u32));
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
                        let last_send = at - (tie % 50) as i64;
                        let line = Candidate { slope: 1 << 40, last_send, tie_break: tie, in_rotation: true };
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
                        (line.slope, line.in_rotation) = (if counts { slope } else { 0 }, counts);
                        ring.set(slot, 1, *line);
                    },
                    Step::Use(n) => if let Some((key, slot)) = nth(n) {
                        let line = model.get_mut(&key).expect("it is in both");
                        line.last_send = at;
                        at += 1;
                        ring.set(slot, 1, *line);
                    },
                    Step::Ask { start, own, beyond, without, sends } => {
                        at += sends;
                        let part = Rotation { start: start % ring.len().max(1), size: own, extend: beyond };
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
