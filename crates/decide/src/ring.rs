//! Finds the server with the highest score in a part of a ring without looking at every server.
//!
//! The score of a server for a class grows with each of the node's own sends: it is a line over the number of
//! sends, with the server's slope, that is zero where the server was last used. Which of two lines is higher
//! changes at most once, and the number of sends at which it changes can be computed in advance. A tournament
//! over all servers therefore stays valid until the first of its matches changes its winner (a kinetic
//! tournament tree: Basch, Guibas and Hershberger, "Data structures for mobile data", SODA 1997). A server
//! that is used or whose slope changes invalidates only the matches on its path to the root. Matches are
//! replayed only where a query needs them.
//!
//! The tournament is built on a binary trie over the servers' keys, so that a server is added or removed
//! without moving others. Counts at every node allow queries by position on the ring. Scores are compared as
//! integers, so the result is exactly that of a scan over all servers.

use std::ops::Range;

/// Handle of a server in the ring. It is valid for the ring that returned it until the server is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot(u32);

/// A server's data for one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Score gained with each send since the server was last used, below 2^62; 0: it cannot be selected.
    pub slope: u64,
    /// Number of sends when the server was last used.
    pub last_send: i64,
    /// Of two servers with equal scores the one with the lower value is selected.
    pub tie_break: u64,
    /// Whether the server takes a place in the rotation, even if it cannot be selected.
    pub in_rotation: bool,
}

impl Candidate {
    fn score(&self, sends: i64) -> u128 {
        u128::from(self.slope) * sends.saturating_sub(self.last_send).max(0) as u128
    }
}

/// The part of the ring that a query covers.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    /// Position of the first server, counting all servers of the ring.
    pub start: usize,
    /// Number of servers, counting only those that are in rotation.
    pub size: usize,
    /// If none of these can be selected: take the first server beyond them that can.
    pub extend: bool,
}

const NONE: u32 = u32::MAX;

/// Value of [`Node::bit`] in a leaf.
const LEAF: u32 = u32::MAX;

/// A node of the trie, and of the free list while it is not in use.
struct Node {
    /// Key of a leaf; of an inner node the key of one of its leaves.
    key: u128,
    /// The bit by which the children of an inner node differ, counted from the most significant one.
    bit: u32,
    /// Parent of a node in use; of a free node the next free one.
    parent: u32,
    children: [u32; 2],
    /// Number of leaves in the subtree.
    size: u32,
}

/// The result of the match at a node for one class. At a leaf it is the server's own candidate.
#[derive(Clone, Copy)]
struct Match {
    /// Candidate of the winner.
    candidate: Candidate,
    /// Leaf of the winner; `NONE`: no server in the subtree can be selected.
    winner: u32,
    /// Number of servers in the subtree that are in rotation.
    rotation_count: u32,
    /// Number of sends from which on the match has to be replayed.
    valid_until: i64,
}

const EMPTY_MATCH: Match = Match {
    candidate: Candidate { slope: 0, last_send: 0, tie_break: 0, in_rotation: false },
    winner: NONE,
    rotation_count: 0,
    valid_until: i64::MAX,
};

/// The ring of ready servers, with a tournament for each class.
#[derive(Default)]
pub struct Ring {
    classes: usize,
    nodes: Vec<Node>,
    /// Matches by node and class.
    matches: Vec<Match>,
    root: Option<u32>,
    /// First node of the free list.
    free: Option<u32>,
}

/// Key of a server: its name hash, followed by its id in case two hashes are equal.
pub fn key(name_hash: u64, id: u32) -> u128 {
    u128::from(name_hash) << 32 | u128::from(id)
}

/// Index of the child that contains the key at an inner node for this bit.
fn side(key: u128, bit: u32) -> usize {
    (key >> (127 - bit) & 1) as usize
}

impl Ring {
    /// Creates an empty ring for this number of classes.
    pub fn new(classes: usize) -> Self {
        Ring { classes, ..Ring::default() }
    }

    /// Number of servers in the ring.
    pub fn len(&self) -> usize {
        self.root.map_or(0, |root| self.nodes[root as usize].size as usize)
    }

    /// Returns the id in a server's key.
    pub fn id(&self, slot: Slot) -> u32 {
        self.nodes[slot.0 as usize].key as u32
    }

    /// Returns a server's score for a class after this number of sends; `None` if it cannot be selected.
    pub fn score(&self, slot: Slot, class: usize, sends: i64) -> Option<u128> {
        let candidate = self.match_at(slot.0, class).candidate;
        (candidate.slope > 0).then(|| candidate.score(sends))
    }

    fn match_at(&self, node: u32, class: usize) -> &Match {
        &self.matches[node as usize * self.classes + class]
    }

    fn match_at_mut(&mut self, node: u32, class: usize) -> &mut Match {
        &mut self.matches[node as usize * self.classes + class]
    }

    fn allocate(&mut self, node: Node) -> u32 {
        match self.free {
            Some(index) => {
                let next = self.nodes[index as usize].parent;
                self.free = Some(next).filter(|&n| n != NONE);
                self.nodes[index as usize] = node;
                (0..self.classes).for_each(|class| *self.match_at_mut(index, class) = EMPTY_MATCH);
                index
            }
            None => {
                self.nodes.push(node);
                self.matches.resize(self.nodes.len() * self.classes, EMPTY_MATCH);
                self.nodes.len() as u32 - 1
            }
        }
    }

    fn release(&mut self, index: u32) {
        self.nodes[index as usize].parent = self.free.unwrap_or(NONE);
        self.free = Some(index);
    }

    /// Adds a server. It is in rotation for no class until [`Ring::set`] is called.
    ///
    /// # Panics
    ///
    /// If the key is already in the ring.
    pub fn insert(&mut self, key: u128) -> Slot {
        let leaf = Node { key, bit: LEAF, parent: NONE, children: [NONE; 2], size: 1 };
        let leaf = self.allocate(leaf);
        let Some(root) = self.root else {
            self.root = Some(leaf);
            return Slot(leaf);
        };
        let mut nearest = root;
        while self.nodes[nearest as usize].bit != LEAF {
            nearest = self.nodes[nearest as usize].children[side(key, self.nodes[nearest as usize].bit)];
        }
        let bit = (key ^ self.nodes[nearest as usize].key).leading_zeros();
        assert!(bit < 128, "the key is already in the ring");
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
            let rotation_count = self.match_at(below, class).rotation_count;
            *self.match_at_mut(inner, class) = Match { rotation_count, valid_until: i64::MIN, ..EMPTY_MATCH };
        }
        (self.nodes[below as usize].parent, self.nodes[leaf as usize].parent) = (inner, inner);
        self.replace_child(above, below, inner);
        // The match at the new inner node has to be played, and with it all matches above.
        (0..self.classes).for_each(|class| self.invalidate(above, class, 0));
        Slot(leaf)
    }

    fn replace_child(&mut self, parent: u32, old: u32, new: u32) {
        match parent {
            NONE => self.root = Some(new),
            parent => {
                let children = &mut self.nodes[parent as usize].children;
                children[usize::from(children[1] == old)] = new;
            }
        }
    }

    /// Removes a server.
    pub fn remove(&mut self, Slot(leaf): Slot) {
        (0..self.classes).for_each(|class| self.set(Slot(leaf), class, Candidate::default()));
        let inner = self.nodes[leaf as usize].parent;
        self.release(leaf);
        if inner == NONE {
            self.root = None;
            return;
        }
        let children = self.nodes[inner as usize].children;
        let sibling = children[usize::from(children[0] == leaf)];
        let above = self.nodes[inner as usize].parent;
        self.nodes[sibling as usize].parent = above;
        self.replace_child(above, inner, sibling);
        self.release(inner);
        let mut node = above;
        while node != NONE {
            self.nodes[node as usize].size -= 1;
            node = self.nodes[node as usize].parent;
        }
    }

    /// Sets a server's data for a class.
    pub fn set(&mut self, Slot(leaf): Slot, class: usize, candidate: Candidate) {
        let entry = self.match_at_mut(leaf, class);
        if entry.candidate == candidate {
            return;
        }
        let change = i32::from(candidate.in_rotation) - i32::from(entry.candidate.in_rotation);
        entry.candidate = candidate;
        entry.winner = if candidate.slope > 0 { leaf } else { NONE };
        entry.rotation_count = u32::from(candidate.in_rotation);
        self.invalidate(self.nodes[leaf as usize].parent, class, change);
    }

    /// Invalidates the matches from a node up to the root and adds `change` to their rotation counts.
    fn invalidate(&mut self, mut node: u32, class: usize, change: i32) {
        while node != NONE {
            let entry = self.match_at_mut(node, class);
            // All matches above an invalid one are invalid already.
            if change == 0 && entry.valid_until == i64::MIN {
                return;
            }
            entry.valid_until = i64::MIN;
            entry.rotation_count = entry.rotation_count.wrapping_add_signed(change);
            node = self.nodes[node as usize].parent;
        }
    }

    /// Replays the matches in a subtree that are not valid for this number of sends.
    fn replay(&mut self, node: u32, class: usize, sends: i64) {
        if self.match_at(node, class).valid_until > sends {
            return;
        }
        let [left, right] = self.nodes[node as usize].children;
        self.replay(left, class, sends);
        self.replay(right, class, sends);
        let (left, right) = (self.match_at(left, class), self.match_at(right, class));
        let (won, lost) = if beats(right, left, sends) { (right, left) } else { (left, right) };
        let valid_until = left.valid_until.min(right.valid_until).min(next_overtake(won, lost, sends));
        let (candidate, winner) = (won.candidate, won.winner);
        let entry = self.match_at_mut(node, class);
        (entry.candidate, entry.winner, entry.valid_until) = (candidate, winner, valid_until);
    }

    /// Returns the server with the highest score for the class in this part of the ring, among those whose
    /// ids are allowed. The number of sends must not decrease from one query to the next.
    pub fn best(
        &mut self, class: usize, sends: i64, rotation: Rotation, is_allowed: &dyn Fn(u32) -> bool,
    ) -> Option<Slot> {
        let root = self.root?;
        let total = self.match_at(root, class).rotation_count as usize;
        if total == 0 {
            return None;
        }
        let first = self.rotation_count_before(class, rotation.start) % total;
        let size = rotation.size.min(total);
        let wrapped = (first + size).saturating_sub(total);
        let tail = self.best_within(root, class, sends, first..first + size - wrapped, is_allowed);
        let head = self.best_within(root, class, sends, 0..wrapped, is_allowed);
        let best = self.better(tail, head, class, sends);
        if best.is_some() || !rotation.extend {
            return best.map(Slot);
        }
        let beyond = self.first_eligible(root, class, sends, first + size..total, is_allowed);
        let beyond = beyond.or_else(|| self.first_eligible(root, class, sends, wrapped..first, is_allowed));
        beyond.map(Slot)
    }

    /// Number of servers in rotation before a position on the ring.
    fn rotation_count_before(&self, class: usize, position: usize) -> usize {
        let (Some(mut node), mut position, mut count) = (self.root, position, 0) else { return 0 };
        if position >= self.nodes[node as usize].size as usize {
            return self.match_at(node, class).rotation_count as usize;
        }
        while self.nodes[node as usize].bit != LEAF {
            let [left, right] = self.nodes[node as usize].children;
            let size = self.nodes[left as usize].size as usize;
            node = if position < size { left } else { right };
            if position >= size {
                position -= size;
                count += self.match_at(left, class).rotation_count as usize;
            }
        }
        count
    }

    /// Returns the best server in a part of a subtree. `range` counts the servers that are in rotation.
    fn best_within(
        &mut self, node: u32, class: usize, sends: i64, range: Range<usize>, is_allowed: &dyn Fn(u32) -> bool,
    ) -> Option<u32> {
        if range.is_empty() {
            return None;
        }
        if range.start == 0 && range.end >= self.match_at(node, class).rotation_count as usize {
            return self.best_of(node, class, sends, is_allowed);
        }
        let [left, right] = self.nodes[node as usize].children;
        let (left_range, right_range) = split(range, self.match_at(left, class).rotation_count as usize);
        let left = self.best_within(left, class, sends, left_range, is_allowed);
        let right = self.best_within(right, class, sends, right_range, is_allowed);
        self.better(left, right, class, sends)
    }

    /// Returns the best server in a subtree.
    fn best_of(
        &mut self, node: u32, class: usize, sends: i64, is_allowed: &dyn Fn(u32) -> bool,
    ) -> Option<u32> {
        self.replay(node, class, sends);
        let winner = self.match_at(node, class).winner;
        if winner == NONE {
            return None;
        }
        if is_allowed(self.nodes[winner as usize].key as u32) {
            return Some(winner);
        }
        if self.nodes[node as usize].bit == LEAF {
            return None;
        }
        let [left, right] = self.nodes[node as usize].children;
        let left = self.best_of(left, class, sends, is_allowed);
        let right = self.best_of(right, class, sends, is_allowed);
        self.better(left, right, class, sends)
    }

    /// Returns the better of two leaves; the first one if neither is better.
    fn better(&self, first: Option<u32>, second: Option<u32>, class: usize, sends: i64) -> Option<u32> {
        match (first, second) {
            (Some(a), Some(b)) if beats(self.match_at(b, class), self.match_at(a, class), sends) => second,
            _ => first.or(second),
        }
    }

    /// Returns the first server in a part of a subtree that can be selected, in the order of the ring.
    fn first_eligible(
        &mut self, node: u32, class: usize, sends: i64, range: Range<usize>, is_allowed: &dyn Fn(u32) -> bool,
    ) -> Option<u32> {
        if range.is_empty() {
            return None;
        }
        self.replay(node, class, sends);
        if self.match_at(node, class).winner == NONE {
            return None;
        }
        if self.nodes[node as usize].bit == LEAF {
            return Some(node).filter(|_| is_allowed(self.nodes[node as usize].key as u32));
        }
        let [left, right] = self.nodes[node as usize].children;
        let (left_range, right_range) = split(range, self.match_at(left, class).rotation_count as usize);
        let first = self.first_eligible(left, class, sends, left_range, is_allowed);
        first.or_else(|| self.first_eligible(right, class, sends, right_range, is_allowed))
    }
}

/// Splits a range between two subtrees, of which the left one contains `left_count` servers.
fn split(range: Range<usize>, left_count: usize) -> (Range<usize>, Range<usize>) {
    let right = range.start.saturating_sub(left_count)..range.end.saturating_sub(left_count);
    (range.start.min(left_count)..range.end.min(left_count), right)
}

fn beats(one: &Match, other: &Match, sends: i64) -> bool {
    if one.winner == NONE || other.winner == NONE {
        return one.winner != NONE;
    }
    let (a, b) = (one.candidate.score(sends), other.candidate.score(sends));
    a > b || a == b && one.candidate.tie_break < other.candidate.tie_break
}

/// Lower bound on the number of sends at which the loser of a match overtakes the winner.
fn next_overtake(won: &Match, lost: &Match, sends: i64) -> i64 {
    if won.winner == NONE || lost.winner == NONE || lost.candidate.slope <= won.candidate.slope {
        return i64::MAX;
    }
    let gap = won.candidate.score(sends) - lost.candidate.score(sends);
    // Rounded down by more than the error of the two conversions. A match that is replayed too early is only
    // played once more.
    let steps = gap as f64 / (lost.candidate.slope - won.candidate.slope) as f64 * (1.0 - 1e-12);
    sends.saturating_add((steps as i64).max(1))
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use proptest::prelude::*;

    use super::*;

    /// Reference implementation of [`Ring::best`] that looks at every server in turn.
    fn scan(
        servers: &BTreeMap<u128, Candidate>, sends: i64, rotation: Rotation, is_allowed: &dyn Fn(u32) -> bool,
    ) -> Option<u32> {
        let from_start = servers.iter().skip(rotation.start);
        let order: Vec<_> = from_start.chain(servers.iter().take(rotation.start)).collect();
        let mut remaining = rotation.size;
        let mut best: Option<(u128, u64, u32)> = None;
        for (&key, candidate) in order.into_iter().filter(|(_, candidate)| candidate.in_rotation) {
            if remaining == 0 && (best.is_some() || !rotation.extend) {
                break;
            }
            remaining = remaining.saturating_sub(1);
            let score = candidate.score(sends);
            let better = best.is_none_or(|(highest, tie_break, _)| {
                score > highest || score == highest && candidate.tie_break < tie_break
            });
            if candidate.slope > 0 && is_allowed(key as u32) && better {
                best = Some((score, candidate.tie_break, key as u32));
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
        Query { start: usize, size: usize, extend: bool, excluded: u32, sends: i64 },
    }

    fn step() -> impl Strategy<Value = Step> {
        let slope = prop_oneof![Just(0u64), 1u64..4, 1u64 << 39..1 << 41, Just((1 << 62) - 1)];
        let size = prop_oneof![3 => 0usize..40, 1 => Just(usize::MAX)];
        let name_hash = prop_oneof![0u64..64, any::<u64>()];
        prop_oneof![
            3 => name_hash.prop_map(Step::Insert),
            1 => any::<usize>().prop_map(Step::Remove),
            4 => (any::<usize>(), slope, prop::bool::weighted(0.9)).prop_map(|(n, s, r)| Step::Set(n, s, r)),
            3 => any::<usize>().prop_map(Step::Use),
            6 => (0usize..50, size, any::<bool>(), 0u32..40, 0i64..20).prop_map(
                |(start, size, extend, excluded, sends)| Step::Query { start, size, extend, excluded, sends }
            ),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn best_returns_the_same_server_as_a_scan(steps in prop::collection::vec(step(), 1..400)) {
            let mut ring = Ring::new(2);
            let mut model = BTreeMap::new();
            let mut slots = BTreeMap::new();
            let (mut next_id, mut sends) = (0u32, 1_000i64);
            for step in steps {
                let nth = |n: usize| slots.iter().nth(n % slots.len().max(1)).map(|(&k, &s)| (k, s));
                match step {
                    Step::Insert(name_hash) => {
                        let key = key(name_hash, next_id);
                        // Distinct for every server, so that the order of equal scores is defined.
                        let tie_break = u64::from(next_id).wrapping_mul(0x9E37_79B9_7F4A_7C15);
                        next_id += 1;
                        let slot = ring.insert(key);
                        prop_assert_eq!(ring.id(slot), key as u32);
                        let last_send = sends - (tie_break % 50) as i64;
                        let candidate = Candidate { slope: 1 << 40, last_send, tie_break, in_rotation: true };
                        ring.set(slot, 1, candidate);
                        slots.insert(key, slot);
                        model.insert(key, candidate);
                    }
                    Step::Remove(n) => if let Some((key, slot)) = nth(n) {
                        ring.remove(slot);
                        slots.remove(&key);
                        model.remove(&key);
                    },
                    Step::Set(n, slope, in_rotation) => if let Some((key, slot)) = nth(n) {
                        let candidate = model.get_mut(&key).expect("the key is in both maps");
                        candidate.slope = if in_rotation { slope } else { 0 };
                        candidate.in_rotation = in_rotation;
                        ring.set(slot, 1, *candidate);
                    },
                    Step::Use(n) => if let Some((key, slot)) = nth(n) {
                        let candidate = model.get_mut(&key).expect("the key is in both maps");
                        candidate.last_send = sends;
                        sends += 1;
                        ring.set(slot, 1, *candidate);
                    },
                    Step::Query { start, size, extend, excluded, sends: more } => {
                        sends += more;
                        let rotation = Rotation { start: start % ring.len().max(1), size, extend };
                        let is_allowed = |id: u32| id % 40 != excluded;
                        let found = ring.best(1, sends, rotation, &is_allowed).map(|slot| ring.id(slot));
                        prop_assert_eq!(found, scan(&model, sends, rotation, &is_allowed));
                        prop_assert_eq!(ring.best(0, sends, rotation, &is_allowed), None);
                    }
                }
                prop_assert_eq!(ring.len(), model.len());
                prop_assert!(ring.nodes.len() <= 2 * next_id as usize);
            }
        }
    }
}
