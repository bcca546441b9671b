//! The one budget of bytes for bodies: for what is held of them, and for their pieces that wait to be written.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicIsize, Ordering};

/// Bytes that may still be held; below zero while more is on its way than there is room for.
#[derive(Clone)]
pub struct Budget(Arc<AtomicIsize>);

/// A part of the budget; it goes back with its owner.
pub struct Share {
    of: Budget,
    bytes: usize,
}

impl Budget {
    pub fn new(bytes: usize) -> Budget {
        Budget(Arc::new(AtomicIsize::new(signed(bytes))))
    }

    /// `None` where so much is not left: nobody waits for it. There is always room for nothing.
    pub fn take(&self, bytes: usize) -> Option<Share> {
        let take = |left| if bytes == 0 || left >= signed(bytes) { Some(left - signed(bytes)) } else { None };
        let taken = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.ok().map(|_| Share { of: self.clone(), bytes })
    }

    /// Charges a piece that goes on, for as long as anybody has it. That can't be refused, and leaves less to be held.
    pub fn charge(&self, piece: Bytes) -> Bytes {
        let bytes = piece.len();
        self.0.fetch_sub(signed(bytes), Ordering::Relaxed);
        Share { of: self.clone(), bytes }.hold(piece)
    }
}

fn signed(bytes: usize) -> isize {
    isize::try_from(bytes).unwrap_or(isize::MAX)
}

impl Share {
    /// Gives back all but so much.
    pub fn shrink_to(&mut self, bytes: usize) {
        let spare = self.bytes.saturating_sub(bytes);
        self.bytes -= spare;
        self.of.0.fetch_add(signed(spare), Ordering::Relaxed);
    }

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
        self.of.0.fetch_add(signed(self.bytes), Ordering::Relaxed);
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

    #[test]
    fn a_piece_on_its_way_leaves_less_to_be_held_until_it_is_gone() {
        let budget = Budget::new(100);
        let held = budget.take(60).expect("enough");
        let piece = budget.charge(Bytes::from_static(&[b'x'; 70]));
        drop(held);
        assert!(budget.take(31).is_none() && budget.take(30).is_some());
        let more = budget.charge(Bytes::from_static(&[b'x'; 70]));
        assert!(budget.take(1).is_none() && budget.take(0).is_some(), "what has no body needs no room");
        drop((piece, more));
        assert!(budget.take(100).is_some());
    }

    #[test]
    fn a_share_that_shrinks_gives_back_the_rest_and_no_more() {
        let budget = Budget::new(100);
        let mut share = budget.take(100).expect("all");
        share.shrink_to(30);
        share.shrink_to(40);
        assert!(budget.take(71).is_none() && budget.take(70).is_some());
        drop(share);
        assert!(budget.take(100).is_some());
    }
}
