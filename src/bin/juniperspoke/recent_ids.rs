//! The ids of the latest requests, by which copies are told from new ones.

use crate::shared_ids::SharedIds;
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// So many ids of each kind are remembered at least. A copy comes while its original is out or soon after.
const REMEMBERED: usize = 8_192;

/// The latest of many keys, in bounded memory.
pub struct Generations {
    /// So many are remembered at least, and twice as many at most.
    size: usize,
    young: HashSet<u64>,
    old: HashSet<u64>,
}

impl Generations {
    pub fn new(size: usize) -> Generations {
        Generations { size, young: HashSet::new(), old: HashSet::new() }
    }

    pub fn contains(&self, key: u64) -> bool {
        self.young.contains(&key) || self.old.contains(&key)
    }

    pub fn insert(&mut self, key: u64) {
        if self.young.len() >= self.size {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(key);
    }
}

/// The ids of requests. The keys are hashes, secret from whoever picks the ids.
struct Known {
    keys: RandomState,
    /// Of requests that are not over: as many as there are connections.
    open: HashSet<u64>,
    /// Of those that may have run, and of the others. A client that is refused at full speed drives out only the latter.
    may_have_run: Generations,
    refused: Generations,
    /// Where another process of this sidecar may run.
    shared: Option<SharedIds>,
}

impl Known {
    fn open(&mut self, id: &[u8]) -> Option<u64> {
        let key = self.keys.hash_one(id);
        let is_known =
            self.open.contains(&key) || self.may_have_run.contains(key) || self.refused.contains(key);
        if is_known || !self.claim(id) {
            return None;
        }
        self.open.insert(key);
        Some(key)
    }

    /// What the other process can't be asked is held for new: each request is owed an answer.
    fn claim(&mut self, id: &[u8]) -> bool {
        let Some(shared) = &mut self.shared else { return true };
        shared.claim(id).unwrap_or_else(|error| {
            tracing::warn!(%error, "ids are not shared with other processes any more");
            self.shared = None;
            true
        })
    }
}

/// The ids of the latest requests: each is new, so a second one is a copy that its client never sent.
#[derive(Clone)]
pub struct RecentIds(Arc<Mutex<Known>>);

impl RecentIds {
    pub fn new(shared: Option<SharedIds>) -> RecentIds {
        let [may_have_run, refused] = [REMEMBERED; 2].map(Generations::new);
        let (keys, open) = Default::default();
        RecentIds(Arc::new(Mutex::new(Known { keys, open, may_have_run, refused, shared })))
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in the id of a request that begins; `None` if it has been here.
    pub fn open(&self, id: &[u8]) -> Option<OpenId> {
        let key = self.known().open(id)?;
        Some(OpenId { ids: self.clone(), key, is_refused: false })
    }
}

/// The id of a request that is not over. It may have run, unless it is said to have been refused.
pub struct OpenId {
    ids: RecentIds,
    key: u64,
    is_refused: bool,
}

impl OpenId {
    /// Nothing of it has run, nor will.
    pub fn refuse(mut self) {
        self.is_refused = true;
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        let mut known = self.ids.known();
        known.open.remove(&self.key);
        if self.is_refused {
            known.refused.insert(self.key);
        } else {
            known.may_have_run.insert(self.key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_used_id_is_known_for_long_and_the_memory_stays_bounded() {
        for is_refused in [false, true] {
            let seen = RecentIds::new(None);
            for i in 0..5 * REMEMBERED {
                let id = seen.open(&i.to_le_bytes()).unwrap_or_else(|| panic!("{i}"));
                assert!(seen.open(&i.to_le_bytes()).is_none(), "{i} again");
                if is_refused {
                    id.refuse();
                } else {
                    drop(id);
                }
                assert!(seen.open(&i.to_le_bytes()).is_none(), "{i} once it is over");
                let before = i.saturating_sub(REMEMBERED - 1);
                assert!(seen.open(&before.to_le_bytes()).is_none(), "{before}, at {i}");
                let known = seen.known();
                let generations = [&known.may_have_run, &known.refused];
                let count: usize = generations.iter().map(|kept| kept.young.len() + kept.old.len()).sum();
                assert!(count <= 2 * REMEMBERED && known.open.is_empty());
            }
        }
    }

    /// Guards against a request that runs twice, since a client at full speed has driven out its id.
    #[test]
    fn what_is_refused_drives_out_no_id_that_is_out_or_may_have_run() {
        let seen = RecentIds::new(None);
        drop(seen.open(b"ran"));
        let _out = seen.open(b"out").expect("new");
        for i in 0..5 * REMEMBERED {
            seen.open(&i.to_le_bytes()).expect("new").refuse();
        }
        assert!(seen.open(b"ran").is_none() && seen.open(b"out").is_none());
    }
}
