//! The ids of the latest requests, by which copies are told from new ones.

use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};

/// So many request ids are remembered at least. A copy comes while its original is out or soon after.
const REMEMBERED: usize = 8_192;

/// The ids of the latest requests: each is new, so a second one is a copy that its client never sent.
/// Two generations keep the memory bounded; the keys are hashes, secret from whoever picks the ids.
#[derive(Default)]
pub struct RecentIds {
    keys: RandomState,
    young: HashSet<u64>,
    old: HashSet<u64>,
}

impl RecentIds {
    /// Takes an id in; `false` if it has been here.
    pub fn is_new(&mut self, id: &[u8]) -> bool {
        let key = self.keys.hash_one(id);
        if self.young.len() >= REMEMBERED {
            self.old = std::mem::take(&mut self.young);
        }
        !self.old.contains(&key) && self.young.insert(key)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_used_id_is_known_for_long_and_the_memory_stays_bounded() {
        let mut seen = RecentIds::default();
        for i in 0..5 * REMEMBERED {
            assert!(seen.is_new(&i.to_le_bytes()), "{i}");
            assert!(!seen.is_new(&i.to_le_bytes()), "{i} again");
            let before = i.saturating_sub(REMEMBERED - 1);
            assert!(!seen.is_new(&before.to_le_bytes()), "{before}, at {i}");
            assert!(seen.young.len() + seen.old.len() <= 2 * REMEMBERED);
        }
    }
}
