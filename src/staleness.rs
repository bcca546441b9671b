//! How long something that is read now has lain unread, and what may still begin for a client that has ended.
//!
//! A process that was stopped, or had no processor, and a connection that waited to be accepted, have requests and ends of
//! clients that came long before they are read. The client's time runs from when they came.

use std::time::Duration;

/// Between two looks of the event loop at its sockets lies less than this, unless the process was held up.
pub const ORDINARY_GAP: Duration = Duration::from_millis(50);

/// No attempt begins later than this after its client's end: less than the 0.1 s that are allowed, since it has yet to be
/// written then.
pub const BEGINS_AFTER_END: Duration = Duration::from_millis(80);

/// An attempt is written within this time of being decided on, or not at all: the time that it tells its upstream was what
/// its client had left then, and may be too long by [`DEADLINE_SLACK`].
pub const DECISION_HOLDS: Duration = Duration::from_millis(120);

/// The time that an attempt tells its upstream may be longer than what its client has left by no more than this.
pub const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// What is known of how long ago something came that is read now.
#[derive(Clone, Copy, Debug)]
pub struct Unread {
    /// Since it was last known not to have come.
    pub at_most: Duration,
    /// Since it came, where the system tells.
    pub told: Option<Duration>,
}

impl Unread {
    /// How long ago bytes came.
    pub fn age_of_bytes(self) -> Duration {
        if self.at_most < ORDINARY_GAP { Duration::ZERO } else { self.age_of_end() }
    }

    /// How long ago a client ended its sending. Where nothing tells, that and what came may be as old as is possible: an
    /// upstream is never to be told of more time than its client has left, and nothing begins for who may have left.
    pub fn age_of_end(self) -> Duration {
        self.told.unwrap_or(self.at_most).min(self.at_most)
    }
}

/// May an attempt begin now for a client that ended its sending so long ago? It has closed, or waits for its answer.
pub fn may_begin(since_end: Duration) -> bool {
    since_end <= BEGINS_AFTER_END
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn what_the_system_tells_counts_up_to_what_is_possible() {
        let unread = |at_most, told| Unread { at_most: ms(at_most), told };
        for (at_most, told, bytes, end) in [
            // The event loop has looked at its sockets just before: whatever the system says, they are new.
            (30, Some(ms(9_000)), 0, 30),
            (30, None, 0, 30),
            (30, Some(ms(4)), 0, 4),
            (500, Some(ms(460)), 460, 460),
            (500, Some(ms(2)), 2, 2),
            (500, Some(ms(9_000)), 500, 500),
            (500, None, 500, 500),
        ] {
            let unread = unread(at_most, told);
            assert_eq!(unread.age_of_bytes(), ms(bytes), "{unread:?}");
            assert_eq!(unread.age_of_end(), ms(end), "{unread:?}");
        }
    }

    #[test]
    fn nothing_begins_for_who_has_ended_long_ago() {
        assert!(may_begin(ms(0)));
        assert!(may_begin(BEGINS_AFTER_END));
        assert!(!may_begin(BEGINS_AFTER_END + ms(1)));
    }
}
