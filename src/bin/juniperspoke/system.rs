//! What the system and the runtime have to say: errors of system calls, and what has come and is not read yet.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::{Instant, timeout_at};

/// A timer is heard of so late only in a process that was held up, if not for long.
const TIMER_SLACK: Duration = Duration::from_millis(10);
/// A whole answer that lies in a socket is read in so many rounds: its head, its body and its end go from its connection
/// to its attempt one by one.
const ROUNDS_TO_READ: usize = 4;

/// Was the process held up as this fell due?
pub fn is_late(due: Instant) -> bool {
    due.elapsed() >= TIMER_SLACK
}

/// Over once the event loop has looked at its sockets. A task of its own: the HTTP library polls a connection several times
/// in one turn, and to yield there would be over with the second.
pub fn next_look() -> JoinHandle<()> {
    tokio::spawn(yield_now())
}

/// Waits until the event loop has looked at its sockets.
pub async fn let_others_run() {
    // It fails only as the runtime ends.
    drop(next_look().await);
}

/// Gives the runtime the turns that it takes to read what has come: in one it looks at the sockets, in the next it runs
/// what has something to read.
pub async fn read_what_has_come() {
    let_others_run().await;
    let_others_run().await;
}

/// The output of what waits for something to be read, if all of that has come by now.
pub async fn ready_by_what_has_come<F: Future + Unpin>(mut future: F) -> Option<F::Output> {
    for _ in 0..ROUNDS_TO_READ {
        read_what_has_come().await;
        let polled = poll_fn(|context| Poll::Ready(Pin::new(&mut future).poll(context))).await;
        if let Poll::Ready(output) = polled {
            return Some(output);
        }
    }
    None
}

/// Waits for it until then. What has come by then counts, though a process that was held up reads it only after.
pub async fn wait_until<F: Future + Unpin>(until: Instant, mut future: F) -> Option<F::Output> {
    match timeout_at(until, &mut future).await {
        Ok(output) => Some(output),
        Err(_) => ready_by_what_has_come(future).await,
    }
}

/// Lets all that waits for something to be read get on as far as what has come by now allows, and tell of it.
pub async fn read_all_that_has_come() {
    // One more, in which the last is told.
    for _ in 0..=ROUNDS_TO_READ {
        read_what_has_come().await;
    }
}

/// Makes a system call again as often as a signal interrupts it.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Does this machine lack descriptors, buffers, memory or room for one more socket that is waited for? Any other error of
/// `accept` is of one connection.
pub fn is_shortage(error: &io::Error) -> bool {
    let shortages = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::ENOSPC];
    error.raw_os_error().is_some_and(|errno| shortages.contains(&errno))
}

/// The waits between calls that meet a shortage: the first, and the longest of those that follow, each twice the one before.
pub const FIRST_WAIT: Duration = Duration::from_millis(1);
pub const LONGEST_WAIT: Duration = Duration::from_millis(20);

/// How long to wait until a call that has met a shortage is made again.
#[derive(Default)]
pub struct Backoff {
    /// The latest wait.
    wait: Duration,
}

impl Backoff {
    /// The wait after another error in a row.
    pub fn next_wait(&mut self) -> Duration {
        self.wait = (2 * self.wait).clamp(FIRST_WAIT, LONGEST_WAIT);
        self.wait
    }
}

/// Does this error of `connect` say nothing of the other side?
pub fn is_local(error: &io::Error) -> bool {
    let local = [libc::EACCES, libc::EADDRINUSE, libc::EADDRNOTAVAIL, libc::EAGAIN, libc::EINTR, libc::EPERM];
    is_shortage(error) || error.raw_os_error().is_some_and(|errno| local.contains(&errno))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_that_a_signal_interrupted_is_made_again() {
        let mut results = [libc::EINTR, libc::EINTR, libc::EIO].into_iter();
        let result = retry_interrupted(|| {
            Err::<(), _>(io::Error::from_raw_os_error(results.next().expect("one more")))
        });
        assert_eq!(result.map_err(|error| error.raw_os_error()), Err(Some(libc::EIO)));
    }

    /// Guards against ejecting upstreams for what the sidecar's own machine lacks.
    #[test]
    fn only_errors_of_the_other_side_are_blamed_on_it() {
        use libc::{EACCES, EADDRINUSE, EADDRNOTAVAIL, EAGAIN, EINTR, EPERM};
        use libc::{ECONNREFUSED, ECONNRESET, EHOSTUNREACH, ENETUNREACH, ETIMEDOUT};
        use libc::{EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC};
        let ours = [EACCES, EADDRINUSE, EADDRNOTAVAIL, EAGAIN, EINTR, EPERM];
        let lacking = [EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC];
        let theirs = [ECONNREFUSED, ECONNRESET, EHOSTUNREACH, ENETUNREACH, ETIMEDOUT];
        let mut all_of_ours = ours.into_iter().chain(lacking);
        assert!(all_of_ours.all(|errno| is_local(&io::Error::from_raw_os_error(errno))));
        assert!(!theirs.into_iter().any(|errno| is_local(&io::Error::from_raw_os_error(errno))));
    }

    #[test]
    fn a_shortage_is_waited_for_ever_longer_up_to_a_bound() {
        let mut backoff = Backoff::default();
        assert_eq!([backoff.next_wait(), backoff.next_wait()], [FIRST_WAIT, 2 * FIRST_WAIT]);
        (0..20).for_each(|_| assert!(backoff.next_wait() <= LONGEST_WAIT));
    }

    /// Guards against closing idle connections for a client that has gone before it was accepted.
    #[test]
    fn an_error_of_one_connection_is_no_shortage() {
        for errno in [libc::ECONNABORTED, libc::EPROTO, libc::EINTR, libc::EHOSTUNREACH, libc::EPERM] {
            assert!(!is_shortage(&io::Error::from_raw_os_error(errno)), "{errno}");
        }
    }
}
