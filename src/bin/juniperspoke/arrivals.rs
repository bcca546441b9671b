//! When what is read on a client's connection came, which may be long before it is read.

use crate::heartbeat::Looks;
use micapier::staleness::{ORDINARY_GAP, Unread};
use std::time::Duration;
use tokio::time::Instant;

/// Follows the reads of one connection.
pub struct Arrivals {
    looks: Looks,
    /// Nothing was there to be read then.
    empty_at: Instant,
    /// We wait for its client.
    waits: bool,
    /// There may be something that could not be read yet.
    is_behind: bool,
    /// We waited for its client until then, when the first came of what has been read since.
    waited_until: Instant,
    /// The last of what has been read came then.
    last: Instant,
}

impl Arrivals {
    pub fn new(looks: Looks) -> Arrivals {
        let (empty_at, now) = (looks.latest(), Instant::now());
        Arrivals { looks, empty_at, waits: true, is_behind: false, waited_until: now, last: now }
    }

    /// Until when we waited for its client the last time: now, while we still do.
    pub fn waited_until(&self) -> Instant {
        if self.waits { Instant::now() } else { self.waited_until }
    }

    /// When its client was last known to be there: the socket was empty and had no end, or something came to an empty socket.
    /// What comes while there is more to be read may have been written long before, by a client that has closed since.
    pub fn sender_present_at(&self) -> Instant {
        match self.waits {
            true if self.is_behind => self.empty_at,
            true => self.empty_at.max(self.looks.latest()),
            false => self.waited_until,
        }
    }

    /// When the last of what has been read came.
    pub fn last(&self) -> Instant {
        self.last
    }

    /// The socket was asked then, and had nothing to be read.
    pub fn found_empty(&mut self, at: Instant) {
        self.empty_at = at;
    }

    /// The runtime knows of nothing to be read. The socket itself may not have been asked.
    pub fn wait(&mut self) {
        self.is_behind = false;
        self.note_looks();
        self.waits = true;
    }

    /// There may be something to be read, for which there was no time or no memory: later looks tell nothing of it.
    pub fn could_not_read(&mut self) {
        if self.waits {
            self.note_looks();
        }
        self.is_behind = true;
    }

    /// Some has been read. `told` is since when the last of that has been there, by the system.
    pub fn read(&mut self, told: impl FnOnce() -> Option<Duration>) {
        let now = Instant::now();
        if self.waits {
            self.note_looks();
        }
        let at_most = now.saturating_duration_since(self.empty_at);
        let told = if at_most < ORDINARY_GAP { None } else { told() };
        self.last = now - Unread { at_most, told }.age_of_bytes();
        if std::mem::replace(&mut self.waits, false) {
            self.waited_until = self.last;
        }
    }

    /// While we wait the event loop would have told of what had come by its latest look.
    fn note_looks(&mut self) {
        if !self.is_behind {
            self.empty_at = self.empty_at.max(self.looks.latest());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::advance;

    const HELD_UP: Duration = Duration::from_millis(460);

    #[tokio::test(start_paused = true)]
    async fn what_is_read_late_came_when_the_system_says_but_not_before_the_socket_was_empty() {
        for (told, age) in [(Some(300), 300), (Some(9_000), 460), (None, 460)] {
            let mut arrivals = Arrivals::new(Looks::from_now());
            arrivals.found_empty(Instant::now());
            arrivals.wait();
            advance(HELD_UP).await;
            arrivals.read(|| told.map(Duration::from_millis));
            assert_eq!(arrivals.last().elapsed(), Duration::from_millis(age), "{told:?}");
            assert_eq!(arrivals.waited_until(), arrivals.last());
        }
    }

    /// Guards against taking for new what lay unread for want of memory, while the event loop went on.
    #[tokio::test(start_paused = true)]
    async fn a_look_after_a_read_that_failed_tells_nothing_of_what_is_there() {
        let mut arrivals = Arrivals::new(Looks::from_now());
        arrivals.wait();
        advance(HELD_UP).await;
        arrivals.could_not_read();
        arrivals.looks = Looks::from_now();
        arrivals.could_not_read();
        arrivals.read(|| Some(HELD_UP));
        assert_eq!(arrivals.last().elapsed(), HELD_UP);
    }

    /// Guards against taking a client for present that has closed behind much: its system goes on sending what it had written.
    #[tokio::test(start_paused = true)]
    async fn what_comes_while_there_is_more_to_read_does_not_tell_that_its_client_is_there() {
        let mut arrivals = Arrivals::new(Looks::from_now());
        arrivals.wait();
        let written_at = Instant::now();
        arrivals.read(|| None);
        advance(HELD_UP).await;
        arrivals.read(|| Some(Duration::ZERO));
        assert_eq!(arrivals.last(), Instant::now());
        assert_eq!(arrivals.sender_present_at(), written_at);
        arrivals.wait();
        arrivals.looks = Looks::from_now();
        assert_eq!(arrivals.sender_present_at(), Instant::now(), "there was nothing more, nor an end");
    }

    #[tokio::test(start_paused = true)]
    async fn what_is_read_right_after_a_look_is_new_and_the_system_is_not_asked() {
        let mut arrivals = Arrivals::new(Looks::from_now());
        advance(HELD_UP).await;
        arrivals.found_empty(Instant::now());
        arrivals.wait();
        advance(ORDINARY_GAP / 2).await;
        arrivals.read(|| panic!("asked"));
        assert_eq!(arrivals.last(), Instant::now());
    }
}
