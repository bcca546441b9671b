//! How much is read at a time. The HTTP library's buffers double with each read that fills them, so that hundreds of short
//! bodies at once would have large ones; a long body needs these to cost little.

use micapier::streaming::HELD;

/// A read of no more than this leaves a buffer at the size that the library begins with, of 8 KiB.
const SMALL_READ: usize = 8 * 1024 - 1;

/// Follows the reads of one connection.
pub struct ReadSizes {
    /// Reads are small up to so much in a row.
    small_up_to: Option<usize>,
    /// Bytes that have been read since something was last written.
    in_a_row: usize,
}

impl ReadSizes {
    /// For one of many connections.
    pub fn small_first() -> ReadSizes {
        ReadSizes { small_up_to: Some(HELD), in_a_row: 0 }
    }

    /// For one of few, where what has come counts from when it has been read.
    pub fn large() -> ReadSizes {
        ReadSizes { small_up_to: None, in_a_row: 0 }
    }

    /// The most to be read next.
    pub fn most(&self) -> usize {
        match self.small_up_to {
            Some(bytes) if self.in_a_row <= bytes => SMALL_READ,
            _ => usize::MAX,
        }
    }

    /// So much has been read.
    pub fn note_read(&mut self, count: usize) {
        self.in_a_row = self.in_a_row.saturating_add(count);
    }

    /// Something has been written: what is read next belongs to another message.
    pub fn note_written(&mut self) {
        self.in_a_row = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against large buffers on all connections at once, where each has a short body (review 6).
    #[test]
    fn only_behind_much_in_a_row_is_much_read_at_a_time() {
        let mut sizes = ReadSizes::small_first();
        for _message in 0..2 {
            for _ in 0..HELD / SMALL_READ {
                assert_eq!(sizes.most(), SMALL_READ);
                sizes.note_read(SMALL_READ);
            }
            sizes.note_read(SMALL_READ);
            assert_eq!(sizes.most(), usize::MAX);
            sizes.note_written();
        }
        assert_eq!(sizes.most(), SMALL_READ);
        assert_eq!(ReadSizes::large().most(), usize::MAX);
    }
}
