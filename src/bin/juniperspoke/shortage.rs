//! Calls on sockets for which the machine lacks memory at the moment: they are made again, since nothing has become of the
//! connection.

use crate::system::{Backoff, is_shortage};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep};

/// A shortage that lasts for longer is the connection's end.
const LONGEST: Duration = Duration::from_secs(5);

/// The calls of one kind on one socket.
#[derive(Default)]
pub struct Shortage {
    backoff: Backoff,
    /// When the first of these errors in a row came.
    since: Option<Instant>,
    pause: Option<Pin<Box<Sleep>>>,
}

impl Shortage {
    /// Ready once the call may be made.
    pub fn poll_pause(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        Poll::Ready(())
    }

    /// Does the next call have to wait?
    pub fn is_pausing(&self) -> bool {
        self.pause.is_some()
    }

    /// The call has not met a shortage.
    pub fn over(&mut self) {
        *self = Shortage::default();
    }

    /// The call has failed: it is to be made again after a pause, or this is the connection's end.
    pub fn failed(&mut self, error: io::Error) -> io::Result<()> {
        if !is_shortage(&error) {
            return Err(error);
        }
        let since = *self.since.get_or_insert_with(|| {
            tracing::info!(%error, "a call on a connection is made again");
            Instant::now()
        });
        if since.elapsed() >= LONGEST {
            return Err(error);
        }
        self.pause = Some(Box::pin(sleep(self.backoff.next_wait())));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::poll_fn;
    use tokio::time::advance;

    #[tokio::test(start_paused = true)]
    async fn a_call_is_made_again_after_a_pause_until_the_shortage_has_lasted_for_long() {
        let error = || io::Error::from_raw_os_error(libc::ENOMEM);
        let mut shortage = Shortage::default();
        assert!(shortage.failed(error()).is_ok());
        let failed_at = Instant::now();
        poll_fn(|context| shortage.poll_pause(context)).await;
        assert!(failed_at.elapsed() > Duration::ZERO);
        advance(LONGEST).await;
        assert!(shortage.failed(error()).is_err());
        shortage.over();
        assert!(shortage.failed(error()).is_ok());
        assert!(shortage.failed(io::Error::from_raw_os_error(libc::ECONNRESET)).is_err());
    }
}
