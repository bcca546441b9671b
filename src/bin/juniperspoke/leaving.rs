//! Clients that leave, told apart from those that have only ended their sending: both look alike on the wire.
//!
//! Who has ended its sending by the time its request is read may wait for the answer. What is out for it goes on, but
//! nothing begins any more after a moment, in case it has closed. Who ends it later has gone.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// No attempt begins later than this after the client's end: less than the 0.1 s that are allowed.
const BEGINS: Duration = Duration::from_millis(80);

/// When a client ended its sending, if it has.
pub struct End(watch::Sender<Option<Instant>>);

impl Default for End {
    fn default() -> End {
        End(watch::Sender::new(None))
    }
}

impl End {
    /// It has just been seen.
    pub fn note(&self) {
        self.0.send_if_modified(|at| at.is_none() && at.replace(Instant::now()).is_none());
    }

    /// For a request whose last byte has just been read.
    pub fn of_request(&self) -> RequestEnd {
        let (waits, settled) = (self.0.borrow().is_some(), Arc::default());
        RequestEnd { waits, at: self.0.subscribe(), settled }
    }
}

/// The same, for one request, and whether nothing is owed for it any more: what is to begin has to ask here alone.
#[derive(Clone)]
pub struct RequestEnd {
    /// The client had ended its sending before.
    waits: bool,
    at: watch::Receiver<Option<Instant>>,
    /// It has been answered, or dropped by whoever waited on it.
    settled: Arc<AtomicBool>,
}

impl RequestEnd {
    /// From now on nothing is owed.
    pub fn settle(&self) {
        self.settled.store(true, Ordering::Relaxed);
    }

    /// May an attempt begin now?
    pub fn lets_begin(&self) -> bool {
        let settled = self.settled.load(Ordering::Relaxed);
        !settled && self.at.borrow().is_none_or(|at| at.elapsed() <= BEGINS)
    }

    /// Waits until the client has left: for ever where it had only ended its sending with this request.
    pub async fn left(mut self) {
        if self.waits || self.at.wait_for(Option::is_some).await.is_err() {
            std::future::pending().await
        }
    }
}

#[cfg(test)]
impl RequestEnd {
    /// Of a client that stays.
    pub fn never() -> RequestEnd {
        End::default().of_request()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::{advance, timeout};

    #[tokio::test(start_paused = true)]
    async fn who_ends_with_its_request_may_wait_and_who_ends_later_has_left() {
        for waits in [true, false] {
            let end = End::default();
            let later = end.of_request();
            end.note();
            let request = if waits { end.of_request() } else { later };
            let other = end.of_request();
            other.clone().settle();
            assert!(!other.lets_begin(), "answered, or dropped");
            assert!(request.lets_begin(), "what is about to be sent is not held back");
            advance(BEGINS + Duration::from_millis(1)).await;
            end.note();
            assert!(!request.lets_begin(), "nothing begins after a moment");
            let left = timeout(Duration::from_secs(60), request.left()).await.is_ok();
            assert_eq!(left, !waits);
        }
    }
}
