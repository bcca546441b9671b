//! Tells when the event loop last looked at its sockets: a process that is stopped, or has no processor, does not.

use crate::metrics::{Count, Metrics};
use crate::system::read_what_has_come;
use micapier::staleness::ORDINARY_GAP;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Well under [`ORDINARY_GAP`].
const INTERVAL: Duration = Duration::from_millis(30);

/// The heartbeat of the event loop: when it last looked.
#[derive(Clone)]
pub struct Heartbeat(Arc<Mutex<Instant>>);

impl Heartbeat {
    pub fn new() -> Heartbeat {
        Heartbeat(Arc::new(Mutex::new(Instant::now())))
    }

    /// Beats for as long as the event loop runs.
    pub async fn beat(self, metrics: Arc<Metrics>) {
        let mut due = Instant::now();
        loop {
            due += INTERVAL;
            sleep_until(due).await;
            // Before the look: the process may be stopped at any point.
            let now = Instant::now();
            let late = now.saturating_duration_since(due);
            if late >= ORDINARY_GAP {
                tracing::info!(?late, "the process was held up");
                metrics.count(Count::HeldUp);
            }
            read_what_has_come().await;
            self.note_look(now);
            due = now;
        }
    }

    /// What had come by then has been told of, and whoever waited for it has had its turn.
    fn note_look(&self, at: Instant) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = at;
    }

    /// What had come by then has been told of, and whoever waited for it has had its turn.
    pub fn looked_at(&self) -> Instant {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// When the event loop looked at one connection.
#[derive(Clone)]
pub struct Looks {
    heartbeat: Heartbeat,
    accepted_at: Instant,
    /// It had not come by then.
    not_before: Instant,
}

impl Looks {
    /// At a connection that is accepted now.
    pub fn at_accepted(heartbeat: Heartbeat, not_before: Instant) -> Looks {
        Looks { heartbeat, accepted_at: Instant::now(), not_before }
    }

    /// What had come by then has been told of since.
    pub fn latest(&self) -> Instant {
        let looked_at = self.heartbeat.looked_at();
        if looked_at > self.accepted_at { looked_at } else { self.not_before }
    }
}

#[cfg(test)]
impl Looks {
    /// At a connection that has come just now.
    pub fn from_now() -> Looks {
        Looks::at_accepted(Heartbeat::new(), Instant::now())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::poll_fn;
    use std::task::Poll;
    use tokio::task::yield_now;
    use tokio::time::advance;

    #[tokio::test(start_paused = true)]
    async fn what_came_during_a_hold_up_may_be_as_old_as_the_hold_up_until_the_next_look() {
        let heartbeat = Heartbeat::new();
        let started = Instant::now();
        let waiting = Looks::at_accepted(heartbeat.clone(), started);
        advance(INTERVAL).await;
        let before = Instant::now();
        heartbeat.note_look(before);
        advance(Duration::from_millis(460)).await;
        assert_eq!(waiting.latest(), before);
        let newcomer = Looks::at_accepted(heartbeat.clone(), started);
        heartbeat.note_look(Instant::now());
        assert_eq!(waiting.latest(), Instant::now());
        assert_eq!(newcomer.latest(), started, "it may have waited all that time to be accepted");
    }

    /// Guards against taking what came during a stop for new, where the stop lay between the look at the clock and the
    /// look at the sockets.
    #[tokio::test(start_paused = true)]
    async fn a_look_counts_from_before_it_was_taken() {
        let heartbeat = Heartbeat::new();
        let started = heartbeat.looked_at();
        let mut beating = Box::pin(heartbeat.clone().beat(Metrics::new(&[])));
        let mut turn = async || poll_fn(|context| Poll::Ready(beating.as_mut().poll(context))).await;
        assert!(turn().await.is_pending());
        // Timers are rounded up to whole milliseconds.
        advance(INTERVAL + Duration::from_millis(2)).await;
        let woken = Instant::now();
        assert!(turn().await.is_pending());
        advance(Duration::from_millis(460)).await;
        while heartbeat.looked_at() == started {
            assert!(turn().await.is_pending());
            yield_now().await;
        }
        assert_eq!(heartbeat.looked_at(), woken);
    }
}
