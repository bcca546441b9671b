//! How long an answer that is passed on as it comes may keep its client waiting.
//!
//! An answer of up to [`HELD`] bytes is timed by its last byte, a longer one by its first. Of one without a length nobody
//! can tell which it is before so much has come. After its client's time it is taken for a long one as long as it keeps the
//! pace of one; else it is over before it counts as lost.

use std::time::Duration;

/// A body of up to this many bytes is held, so that it can be sent, or had, again.
pub const HELD: usize = 64 * 1024;
/// Bytes a second that a body has to come at: half of what the slowest legal peer sends.
pub const RATE: f64 = 32_000.0;
/// A peer that takes, or gives, nothing for so long has stopped: several times what a slow one pauses.
pub const STALL: Duration = Duration::from_secs(5);
/// An answer that is not known to be long goes on for so long after its client's time at most, unless it keeps [`RATE`]. Half a
/// second after that time it is lost.
const GRACE: Duration = Duration::from_millis(450);

/// How far an answer has come. All times are spans since its head came.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    /// Bytes that have been passed on.
    pub passed: u64,
    /// Bytes that are still to come, as far as has been announced.
    pub announced: u64,
    /// When the first piece came; the head counts where there was none.
    pub first_piece: Duration,
    /// When the last piece came; the same.
    pub last_piece: Duration,
    /// When its client's time ends.
    pub deadline: Duration,
    /// When the longest answer has to be over.
    pub longest: Duration,
}

impl StreamProgress {
    /// Until when the next piece is waited for, if the wait begins now.
    pub fn wait_until(&self, now: Duration) -> Duration {
        let stalled = now + STALL;
        if self.is_long() {
            return self.longest.min(stalled);
        }
        let keeps_pace_until = self.first_piece + Duration::from_secs_f64(self.passed as f64 / RATE);
        let still_comes_until = (self.last_piece + GRACE).min(self.deadline + GRACE);
        self.deadline.max(keeps_pace_until).max(still_comes_until).min(stalled)
    }

    /// Is it timed by its first byte? One of which nothing has come is not.
    fn is_long(&self) -> bool {
        self.passed > 0 && self.passed + self.announced > HELD as u64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    const BEGUN: StreamProgress = StreamProgress {
        passed: 5,
        announced: 0,
        first_piece: ms(10),
        last_piece: ms(10),
        deadline: ms(600),
        longest: ms(900_000),
    };

    #[test]
    fn what_has_stopped_is_over_half_a_second_after_its_clients_time() {
        assert_eq!(BEGUN.wait_until(ms(10)), ms(600));
        let stopped_late = StreamProgress { last_piece: ms(599), ..BEGUN };
        assert_eq!(stopped_late.wait_until(ms(599)), ms(1_049));
        let only_head = StreamProgress { passed: 0, announced: 1 << 20, last_piece: ms(0), ..BEGUN };
        assert_eq!(only_head.wait_until(ms(0)), ms(600));
    }

    /// Guards against a short answer that never ends: its client was held for 5 s after its time.
    #[test]
    fn what_comes_slower_than_any_long_one_is_over_half_a_second_after_its_clients_time() {
        for (passed, last_piece) in [(100, 590), (100, 1_049), (10_000, 1_049)] {
            let dripping = StreamProgress { passed, last_piece: ms(last_piece), ..BEGUN };
            let latest = ms(last_piece + 450).min(ms(1_050));
            assert_eq!(dripping.wait_until(ms(last_piece)), latest, "{passed} bytes");
        }
    }

    #[test]
    fn what_keeps_the_pace_of_a_long_one_goes_on_until_it_is_known_to_be_one() {
        let late = StreamProgress { first_piece: ms(550), last_piece: ms(1_550), ..BEGUN };
        let steady = StreamProgress { passed: 64_000, ..late };
        assert_eq!(steady.wait_until(ms(1_550)), ms(2_550), "from its first piece on");
        let slower = StreamProgress { passed: 30_000, ..late };
        assert_eq!(slower.wait_until(ms(1_487)), ms(550) + Duration::from_secs_f64(30_000.0 / RATE));
    }

    #[test]
    fn much_that_came_at_once_pays_for_a_pause() {
        let lump = StreamProgress { passed: 48_000, ..BEGUN };
        assert_eq!(lump.wait_until(ms(10)), ms(1_510));
    }

    #[test]
    fn a_long_one_is_timed_by_its_first_byte_and_cut_by_silence() {
        let long = StreamProgress { passed: 70_000, ..BEGUN };
        let announced = StreamProgress { announced: 70_000, ..BEGUN };
        for progress in [long, announced] {
            assert_eq!(progress.wait_until(ms(3_000)), ms(3_000) + STALL);
            assert_eq!(progress.wait_until(ms(899_000)), ms(900_000));
        }
    }
}
