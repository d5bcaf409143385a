//! Which resources answer at length. An answer that is passed on holds memory for as long as its client reads, and cannot
//! be taken back, so while memory is short the requests for such resources are refused before they are sent.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

use hyper::{Method, Uri};

/// Most resources, and most paths, that are remembered; beyond it the oldest is forgotten.
pub(super) const MAX_REMEMBERED: usize = 512;

/// What a request asks for: hashes of its method with its path and query, and of its method with its path alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Resource {
    full: u64,
    path: u64,
}

/// The resources whose last answers were long, and those whose last answers were short.
#[derive(Debug, Default)]
pub(super) struct LongAnswers {
    hasher: RandomState,
    by_resource: RecentLengths,
    by_path: RecentLengths, // for queries that have not come before
}

impl LongAnswers {
    /// Returns the resource of a request.
    pub(super) fn resource(&self, method: &Method, uri: &Uri) -> Resource {
        Resource {
            full: self.hasher.hash_one((method, uri.path(), uri.query())),
            path: self.hasher.hash_one((method, uri.path())),
        }
    }

    /// Records whether the answer of a resource was long.
    pub(super) fn record(&mut self, resource: Resource, is_long: bool) {
        self.by_resource.insert(resource.full, is_long);
        self.by_path.insert(resource.path, is_long);
    }

    /// Returns whether a long answer is to be expected. Nothing is expected of a path that is not known.
    pub(super) fn expects(&self, resource: Resource) -> bool {
        let known = self.by_resource.get(resource.full).or_else(|| self.by_path.get(resource.path));
        known.unwrap_or(false)
    }
}

/// Whether the last answers were long, by hash, for the last [`MAX_REMEMBERED`] hashes that came new.
#[derive(Debug, Default)]
struct RecentLengths {
    is_long: HashMap<u64, bool>,
    by_age: VecDeque<u64>,
}

impl RecentLengths {
    fn insert(&mut self, hash: u64, is_long: bool) {
        if self.is_long.insert(hash, is_long).is_some() {
            return;
        }
        self.by_age.push_back(hash);
        if self.by_age.len() > MAX_REMEMBERED {
            let oldest = self.by_age.pop_front();
            oldest.map(|oldest| self.is_long.remove(&oldest));
        }
    }

    fn get(&self, hash: u64) -> Option<bool> {
        self.is_long.get(&hash).copied()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/long_answers.rs"]
mod tests;
