//! Connections of clients that wait to be accepted, perhaps for long.

use crate::heartbeat::{Heartbeat, Looks};
use crate::system::{Backoff, is_shortage};
use std::future::poll_fn;
use std::io;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::coop::has_budget_remaining;
use tokio::time::Instant;

/// What a listener has to accept.
pub struct AcceptQueue<'a> {
    listener: &'a TcpListener,
    heartbeat: Heartbeat,
    /// None was waiting then.
    empty_at: Instant,
    /// The runtime knew of none when it was last asked.
    is_empty: bool,
}

impl AcceptQueue<'_> {
    /// Of a listener that had none by then.
    pub fn new(listener: &TcpListener, heartbeat: Heartbeat, empty_at: Instant) -> AcceptQueue<'_> {
        AcceptQueue { listener, heartbeat, empty_at, is_empty: false }
    }

    /// The next one, and since when it may have been waiting.
    pub async fn accept(&mut self) -> io::Result<(TcpStream, Looks)> {
        poll_fn(|context| {
            let accepted = self.listener.poll_accept(context);
            if accepted.is_pending() && !has_budget_remaining() {
                // This task has had its share of the turn, whatever there is to be accepted.
                return Poll::Pending;
            }
            let was_empty = std::mem::replace(&mut self.is_empty, accepted.is_pending());
            if was_empty || self.is_empty {
                self.empty_at = self.empty_at.max(self.heartbeat.looked_at());
            }
            let looks = Looks::at_accepted(self.heartbeat.clone(), self.empty_at);
            accepted.map_ok(|(stream, _)| (stream, looks))
        })
        .await
    }
}

/// So many errors in a row may be of one connection each. Guards against a listener that can't accept at all: it would be
/// asked without a pause.
const AT_ONCE: u32 = 16;

/// When `accept` is called again after it has failed.
#[derive(Default)]
pub struct AcceptErrors {
    in_a_row: u32,
    backoff: Backoff,
}

impl AcceptErrors {
    /// One has been accepted.
    pub fn over(&mut self) {
        *self = AcceptErrors::default();
    }

    /// Another error: how long to wait. Who waits to be accepted has no part in it.
    pub fn wait_after(&mut self, error: &io::Error) -> Duration {
        self.in_a_row += 1;
        if !is_shortage(error) && self.in_a_row <= AT_ONCE {
            return Duration::ZERO;
        }
        self.backoff.next_wait()
    }

    /// Does the machine lack something, and not for a moment alone?
    pub fn is_lasting_shortage(&self, error: &io::Error) -> bool {
        is_shortage(error) && self.in_a_row > 1
    }

    /// Is the latest the second in a row?
    pub fn has_come_again(&self) -> bool {
        self.in_a_row == 2
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::system::{FIRST_WAIT, LONGEST_WAIT};

    #[test]
    fn errors_of_one_connection_keep_nobody_waiting_and_none_is_asked_about_without_a_pause() {
        let aborted = io::Error::from_raw_os_error(libc::ECONNABORTED);
        let mut errors = AcceptErrors::default();
        for _ in 0..AT_ONCE {
            assert_eq!(errors.wait_after(&aborted), Duration::ZERO);
        }
        assert_eq!(errors.wait_after(&aborted), FIRST_WAIT);
        errors.over();
        assert_eq!(errors.wait_after(&aborted), Duration::ZERO);
    }

    #[test]
    fn a_shortage_is_waited_for_ever_longer_up_to_a_bound() {
        let shortage = io::Error::from_raw_os_error(libc::EMFILE);
        let mut errors = AcceptErrors::default();
        assert_eq!(errors.wait_after(&shortage), FIRST_WAIT);
        assert!(!errors.is_lasting_shortage(&shortage), "it may be over");
        assert_eq!(errors.wait_after(&shortage), 2 * FIRST_WAIT);
        assert!(errors.is_lasting_shortage(&shortage));
        (0..20).for_each(|_| assert!(errors.wait_after(&shortage) <= LONGEST_WAIT));
        errors.over();
        assert_eq!(errors.wait_after(&shortage), FIRST_WAIT);
    }
}
