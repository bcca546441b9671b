//! The one budget of bytes for what is held of bodies.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that may still be held.
#[derive(Clone)]
pub struct Budget(Arc<AtomicUsize>);

/// A part of the budget; it goes back with its owner.
pub struct Share {
    of: Budget,
    bytes: usize,
}

impl Budget {
    pub fn new(bytes: usize) -> Budget {
        Budget(Arc::new(AtomicUsize::new(bytes)))
    }

    /// `None` where so much is not left: nobody waits for it.
    pub fn take(&self, bytes: usize) -> Option<Share> {
        let taken = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(bytes));
        taken.ok().map(|_| Share { of: self.clone(), bytes })
    }
}

impl Share {
    /// The part goes back once nobody has these bytes any more.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Holding { bytes, _share: self })
    }
}

struct Holding {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Holding {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.of.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_more_is_given_than_there_is_and_it_comes_back() {
        let budget = Budget::new(100);
        let first = budget.take(60).expect("enough");
        assert!(budget.take(41).is_none());
        let second = budget.take(40).expect("the rest");
        let (bytes, copy) = (first.hold(Bytes::from_static(b"held")), second.hold(Bytes::new()).clone());
        assert!(bytes == "held" && budget.take(1).is_none());
        drop(bytes);
        assert!(budget.take(60).is_some() && budget.take(61).is_none());
        drop(copy);
        assert!(budget.take(100).is_some());
    }
}
