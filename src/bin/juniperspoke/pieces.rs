//! Pieces of heads and bodies as the HTTP library gives them. Each keeps the whole buffer alive that it was read into, of
//! 8 KiB at least, however small it is; so what is kept for any time is copied.

use crate::budget::Budget;
use crate::connection::BUFFER;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Uri};
use memmap2::{Advice, MmapMut};
use std::mem;

/// A piece of this size at least may keep the buffer that it was read into.
const MAY_SHARE_BUFFER: usize = BUFFER / 2;
/// A body that is longer is held in a mapping of its own: buffers of such sizes leave gaps in the heap, which does not
/// give them back to the system.
const HEAP_MOST: usize = 16 * 1024;

/// What an ordinary head takes counts with its connection.
const ORDINARY_HEAD: usize = 8 * 1024;
/// What a field of a head takes in a map, besides its text.
const FIELD_MEMORY: usize = 128;

/// A piece that waits to be written: it takes no more than twice its size.
pub fn compact(piece: Bytes) -> Bytes {
    if piece.len() < MAY_SHARE_BUFFER { Bytes::copy_from_slice(&piece) } else { piece }
}

/// The same for a header's value.
pub fn compact_value(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// The same for the values of a head, all of them in one buffer. A large head is charged for as long as anybody has it;
/// `false` where the budget has no room for that.
pub fn hold_headers(headers: &mut HeaderMap, budget: &Budget) -> bool {
    let mut all: Bytes = headers.values().flat_map(HeaderValue::as_bytes).copied().collect();
    let charged = headers_memory(headers).saturating_sub(ORDINARY_HEAD);
    if charged > 0 {
        let Some(share) = budget.take(charged) else { return false };
        all = share.hold(all);
    }
    let mut begin = 0;
    for value in headers.values_mut() {
        let end = begin + value.len();
        if let Ok(copy) = HeaderValue::from_maybe_shared(all.slice(begin..end)) {
            *value = copy;
        }
        begin = end;
    }
    true
}

/// What a head takes while its request is under way: its text here, in the buffer that it was read into and in the one that
/// it is written from, and its fields here and with an attempt.
fn headers_memory(headers: &HeaderMap) -> usize {
    let text: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    3 * text + 2 * headers.len() * FIELD_MEMORY
}

/// The same for a request's target. Forms other than a path are rare, and kept as they are.
pub fn compact_uri(uri: Uri) -> Uri {
    let path = uri.path_and_query().filter(|_| uri.authority().is_none());
    let copy =
        path.and_then(|path| Uri::from_maybe_shared(Bytes::copy_from_slice(path.as_str().as_bytes())).ok());
    copy.filter(|copy| *copy == uri).unwrap_or(uri)
}

/// The memory of a body that is held.
enum Buffer {
    Heap(Vec<u8>),
    Mapped(Mapping),
}

/// The first bytes of a mapping. Its pages take no memory before they are written, and all of it goes back to the
/// system at its end.
struct Mapping {
    pages: MmapMut,
    length: usize,
}

impl Mapping {
    /// `None` where the system has no mapping to give.
    fn new(capacity: usize) -> Option<Mapping> {
        let pages = MmapMut::map_anon(capacity).ok()?;
        // Guards against a huge page for what is written of many small mappings. Systems without such refuse it.
        drop(pages.advise(Advice::NoHugePage));
        Some(Mapping { pages, length: 0 })
    }

    /// Is there room for so much more?
    fn has_room(&self, more: usize) -> bool {
        more <= self.pages.len() - self.length
    }

    fn push(&mut self, piece: &[u8]) {
        let end = self.length + piece.len();
        self.pages[self.length..end].copy_from_slice(piece);
        self.length = end;
    }
}

impl AsRef<[u8]> for Mapping {
    fn as_ref(&self) -> &[u8] {
        &self.pages[..self.length]
    }
}

/// A body that is held as it comes, in one buffer.
pub struct HeldBody {
    buffer: Buffer,
    /// It is expected to be no longer.
    most: usize,
}

impl HeldBody {
    pub fn new(most: usize) -> HeldBody {
        HeldBody { buffer: Buffer::Heap(Vec::new()), most }
    }

    pub fn len(&self) -> usize {
        self.held().len()
    }

    fn held(&self) -> &[u8] {
        match &self.buffer {
            Buffer::Heap(bytes) => bytes,
            Buffer::Mapped(mapping) => mapping.as_ref(),
        }
    }

    pub fn push(&mut self, piece: &[u8]) {
        self.make_room(piece.len());
        match &mut self.buffer {
            Buffer::Heap(bytes) => bytes.extend_from_slice(piece),
            Buffer::Mapped(mapping) => mapping.push(piece),
        }
    }

    /// Makes room for so much more.
    fn make_room(&mut self, more: usize) {
        let needed = self.len() + more;
        let has_room = match &self.buffer {
            Buffer::Heap(bytes) => needed <= bytes.capacity(),
            Buffer::Mapped(mapping) => mapping.has_room(more),
        };
        if has_room {
            return;
        }
        // The piece that shows that it is longer than expected is held as well.
        if needed > HEAP_MOST
            && let Some(mapping) = Mapping::new(self.most.max(needed) + BUFFER)
        {
            self.move_to(mapping);
            return;
        }
        self.grow_in_heap(needed);
    }

    fn move_to(&mut self, mut mapping: Mapping) {
        mapping.push(self.held());
        self.buffer = Buffer::Mapped(mapping);
    }

    fn grow_in_heap(&mut self, needed: usize) {
        let mut bytes = match &mut self.buffer {
            Buffer::Heap(bytes) => mem::take(bytes),
            Buffer::Mapped(mapping) => mapping.as_ref().to_vec(),
        };
        // Twice as much each time, but no more than is expected to be held here, unless more has come.
        let most = if needed > HEAP_MOST { self.most } else { self.most.min(HEAP_MOST) };
        let capacity = (2 * bytes.capacity()).min(most).max(needed);
        bytes.reserve_exact(capacity - bytes.len());
        self.buffer = Buffer::Heap(bytes);
    }

    pub fn into_bytes(self) -> Bytes {
        match self.buffer {
            // Without room to spare, or the reference count takes an allocation of its own.
            Buffer::Heap(bytes) => bytes.into_boxed_slice().into(),
            Buffer::Mapped(mapping) => Bytes::from_owner(mapping),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    impl HeldBody {
        /// What it takes of the heap, and of pages that may be written.
        fn capacity(&self) -> usize {
            match &self.buffer {
                Buffer::Heap(bytes) => bytes.capacity(),
                Buffer::Mapped(mapping) => mapping.pages.len(),
            }
        }
    }

    #[test]
    fn what_is_held_takes_no_more_than_is_expected_however_small_its_pieces() {
        let mut held = HeldBody::new(1_000);
        for _ in 0..1_000 {
            held.push(b"x");
            assert!(held.capacity() <= 1_000.min(2 * held.len()), "{}", held.len());
        }
        held.push(b"more");
        assert!(held.capacity() <= 1_004);
        assert_eq!(held.into_bytes().len(), 1_004);
    }

    /// Guards against a buffer of each size on the way to the last: the heap keeps what each of them took.
    #[test]
    fn a_large_body_is_held_in_one_mapping_whatever_its_pieces() {
        const SIZE: usize = 4 * HEAP_MOST;
        for piece in [100, 3_000, BUFFER, SIZE] {
            let (mut held, mut moves, mut sent) = (HeldBody::new(SIZE), 0, Vec::new());
            let text: Vec<u8> = (0..SIZE + BUFFER).map(|at| at as u8).collect();
            for part in text.chunks(piece) {
                let before = held.held().as_ptr();
                held.push(part);
                sent.extend_from_slice(part);
                let has_moved = held.held().as_ptr() != before;
                moves += usize::from(has_moved && matches!(held.buffer, Buffer::Mapped(_)));
                let is_mapped = matches!(held.buffer, Buffer::Mapped(_));
                assert_eq!(is_mapped, sent.len() > HEAP_MOST, "{piece}, {}", sent.len());
            }
            assert!(moves == 1 && held.capacity() <= SIZE + 2 * BUFFER, "{piece}: {moves}");
            assert_eq!(held.into_bytes(), sent);
        }
    }

    #[test]
    fn a_body_that_the_system_has_no_mapping_for_is_held_in_the_heap() {
        let mut held = HeldBody::new(HEAP_MOST);
        held.push(&[b'x'; HEAP_MOST]);
        held.grow_in_heap(HEAP_MOST + 4);
        held.push(b"more");
        assert!(matches!(held.buffer, Buffer::Heap(_)));
        assert_eq!(held.into_bytes().len(), HEAP_MOST + 4);
    }

    /// Guards against a head's whole buffer, 8 KiB or more, that is kept for as long as its request goes on.
    #[test]
    fn what_is_kept_of_a_head_lets_its_buffer_go_unchanged() {
        let buffer = Bytes::from(vec![b'a'; BUFFER]);
        let inside = |bytes: &[u8]| buffer.as_ptr_range().contains(&bytes.as_ptr());
        let mut headers = HeaderMap::new();
        for (at, name) in ["x-call-id", "accept", "accept", "x-empty"].into_iter().enumerate() {
            let value = HeaderValue::from_maybe_shared(buffer.slice(at..3)).expect("a value");
            headers.append(name, value);
        }
        let before = headers.clone();
        assert!(hold_headers(&mut headers, &Budget::new(0)), "an ordinary one is not charged");
        assert_eq!(headers, before);
        let kept = |headers: &HeaderMap| headers.values().any(|value| inside(value.as_bytes()));
        assert!(kept(&before) && !kept(&headers));
        for (target, is_path) in
            [("/api?q=%20", true), ("//two", true), ("*", true), ("origin.svc", false), ("http://a/b", false)]
        {
            let buffer = Bytes::from(target.as_bytes().to_vec());
            let uri = Uri::from_maybe_shared(buffer.clone()).expect("a target");
            let before = uri.to_string();
            let copy = compact_uri(uri);
            assert_eq!(copy.to_string(), before);
            assert!(buffer.is_unique() || !is_path, "{target}");
        }
    }

    /// Guards against memory that nobody counts: heads of 12 kB from 341 clients took a sidecar of 32 MB to 41 MB.
    #[test]
    fn a_large_head_is_charged_until_nobody_has_it() {
        const LENGTH: usize = 12_000;
        let mut headers = HeaderMap::new();
        headers.insert("x-pad", "p".repeat(LENGTH).parse().expect("a value"));
        assert!(!hold_headers(&mut headers.clone(), &Budget::new(LENGTH)));
        let budget = Budget::new(3 * LENGTH);
        assert!(hold_headers(&mut headers, &budget));
        let attempt = headers.clone();
        drop(headers);
        assert!(budget.take(2 * LENGTH).is_none());
        drop(attempt);
        assert!(budget.take(3 * LENGTH).is_some());
    }

    #[test]
    fn a_small_piece_lets_its_buffer_go_and_a_large_one_is_not_copied() {
        for (size, copied) in [(1, true), (MAY_SHARE_BUFFER - 1, true), (MAY_SHARE_BUFFER, false)] {
            let buffer = Bytes::from(vec![0; BUFFER]);
            let piece = buffer.slice(..size);
            let at = piece.as_ptr();
            assert_eq!(compact(piece).as_ptr() != at, copied, "{size}");
        }
    }
}
