//! How much is read at a time. The HTTP library's buffers double with each read that fills them, so that hundreds of short
//! bodies at once would have large ones; a long body needs these to cost little.

use micapier::streaming::HELD;

/// A read of no more than this leaves a buffer at the size that the library begins with, of 8 KiB.
const SMALL_READ: usize = 8 * 1024 - 1;

/// Follows the reads of one connection.
#[derive(Default)]
pub struct ReadSizes {
    /// Bytes that have been read since something was last written.
    in_a_row: usize,
}

impl ReadSizes {
    /// The most to be read next.
    pub fn most(&self) -> usize {
        if self.in_a_row <= HELD { SMALL_READ } else { usize::MAX }
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
        let mut sizes = ReadSizes::default();
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
    }
}
