//! Tells when the event loop last looked at its sockets: a process that is stopped, or has no processor, does not.

use crate::metrics::{Count, Metrics};
use micapier::staleness::ORDINARY_GAP;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Two of these make less than [`ORDINARY_GAP`].
const INTERVAL: Duration = Duration::from_millis(20);

/// The latest two beats.
#[derive(Clone, Copy)]
struct Beats {
    before: Instant,
    latest: Instant,
}

/// The heartbeat of the event loop.
#[derive(Clone)]
pub struct Heartbeat(Arc<Mutex<Beats>>);

impl Heartbeat {
    pub fn new() -> Heartbeat {
        let now = Instant::now();
        Heartbeat(Arc::new(Mutex::new(Beats { before: now, latest: now })))
    }

    /// Beats for as long as the event loop runs.
    pub async fn beat(self, metrics: Arc<Metrics>) {
        loop {
            let due = self.beats().latest + INTERVAL;
            sleep_until(due).await;
            let now = Instant::now();
            let late = now.saturating_duration_since(due);
            if late >= ORDINARY_GAP {
                tracing::info!(?late, "the process was held up");
                metrics.count(Count::HeldUp);
            }
            self.note(now);
        }
    }

    fn note(&self, now: Instant) {
        let mut beats = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *beats = Beats { before: beats.latest, latest: now };
    }

    fn beats(&self) -> Beats {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What had come by then has been told of since. Not the latest beat: what the loop found in that turn may be waiting
    /// for its own.
    pub fn looked_at(&self) -> Instant {
        self.beats().before
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
    use tokio::time::advance;

    #[tokio::test(start_paused = true)]
    async fn what_came_during_a_hold_up_may_be_as_old_as_the_hold_up() {
        let heartbeat = Heartbeat::new();
        let beats = || heartbeat.note(Instant::now());
        let started = Instant::now();
        let connection_waited = Looks::at_accepted(heartbeat.clone(), started);
        for _ in 0..2 {
            advance(INTERVAL).await;
            beats();
        }
        assert_eq!(connection_waited.latest(), started + INTERVAL);
        let held_up = Duration::from_millis(460);
        advance(held_up).await;
        beats();
        assert!(connection_waited.latest() <= Instant::now() - held_up, "until the next beat");
        let newcomer = Looks::at_accepted(heartbeat.clone(), started);
        advance(INTERVAL).await;
        beats();
        assert_eq!(connection_waited.latest(), Instant::now() - INTERVAL);
        assert_eq!(newcomer.latest(), started, "it may have waited all that time to be accepted");
    }
}
