//! Clients that leave, told apart from those that have only ended their sending: both look alike on the wire.
//!
//! Who has ended its sending by the time its request is read may wait for the answer. What is out for it goes on, but
//! nothing begins any more after a moment, in case it has closed. Who ends it later has gone.

use micapier::staleness::may_begin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::watch;
use tokio::time::Instant;

/// How a client has ended, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It sends nothing more.
    Sending(Instant),
    /// It has reset its connection.
    Reset,
}

impl Ended {
    fn lets_begin(self) -> bool {
        match self {
            Ended::Sending(at) => may_begin(at.elapsed()),
            Ended::Reset => false,
        }
    }
}

/// What the system knows of a client's end that nobody has told of yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unseen {
    /// It has ended so.
    Ended(Ended),
    /// So much of it lies unread that an end behind it could not reach us. It was last known to be there then.
    Hidden(Instant),
}

/// How a client has ended, if it has.
pub struct End {
    noted: watch::Sender<Option<Ended>>,
    unseen: Box<dyn Fn() -> Option<Unseen> + Send + Sync>,
}

impl End {
    /// `unseen` tells what is known of an end that has not been noted yet.
    pub fn new(unseen: impl Fn() -> Option<Unseen> + Send + Sync + 'static) -> End {
        End { noted: watch::Sender::new(None), unseen: Box::new(unseen) }
    }

    /// It has ended so. Of two ends of its sending the first counts.
    pub fn note(&self, ended: Ended) {
        self.noted.send_if_modified(|noted| {
            let is_new = noted.is_none() || ended == Ended::Reset && *noted != Some(ended);
            if is_new {
                *noted = Some(ended);
            }
            is_new
        });
    }

    /// How it has ended, as far as is known.
    pub fn noted(&self) -> Option<Ended> {
        *self.noted.borrow()
    }

    /// For a request that is read now. `waits` says that its client has ended by now.
    pub fn of_request(self: &Arc<Self>, waits: bool) -> RequestEnd {
        RequestEnd { waits, end: self.clone(), settled: Arc::default() }
    }

    fn lets_begin(&self) -> bool {
        if self.noted().is_none() {
            match (self.unseen)() {
                Some(Unseen::Ended(ended)) => self.note(ended),
                Some(Unseen::Hidden(since)) => return may_begin(since.elapsed()),
                None => {}
            }
        }
        self.noted().is_none_or(Ended::lets_begin)
    }
}

/// The same, for one request, and whether nothing is owed for it any more: what is to begin has to ask here alone.
#[derive(Clone)]
pub struct RequestEnd {
    /// The client had ended its sending before.
    waits: bool,
    end: Arc<End>,
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
        !self.settled.load(Ordering::Relaxed) && self.end.lets_begin()
    }

    /// Waits until the client has left. Who had only ended its sending with this request has left once it resets.
    pub async fn left(self) {
        let has_left =
            |ended: &Option<Ended>| ended.is_some_and(|ended| !self.waits || ended == Ended::Reset);
        // It fails only without a sender, which is here.
        let _ = self.end.noted.subscribe().wait_for(has_left).await;
    }
}

#[cfg(test)]
impl RequestEnd {
    /// Of a client that stays.
    pub fn never() -> RequestEnd {
        Arc::new(End::new(|| None)).of_request(false)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use micapier::staleness::BEGINS_AFTER_END;
    use std::time::Duration;
    use tokio::time::{advance, timeout};

    #[tokio::test(start_paused = true)]
    async fn who_ends_with_its_request_may_wait_and_who_ends_later_has_left() {
        for waits in [true, false] {
            let end = Arc::new(End::new(|| None));
            let later = end.of_request(false);
            end.note(Ended::Sending(Instant::now()));
            let request = if waits { end.of_request(true) } else { later };
            let other = end.of_request(true);
            other.clone().settle();
            assert!(!other.lets_begin(), "answered, or dropped");
            assert!(request.lets_begin(), "what is about to be sent is not held back");
            advance(BEGINS_AFTER_END + Duration::from_millis(1)).await;
            end.note(Ended::Sending(Instant::now()));
            assert!(!request.lets_begin(), "nothing begins after a moment");
            let left = timeout(Duration::from_secs(60), request.left()).await.is_ok();
            assert_eq!(left, !waits);
        }
    }

    #[tokio::test(start_paused = true)]
    async fn who_has_reset_has_left_though_it_had_ended_its_sending_before() {
        let end = Arc::new(End::new(|| None));
        end.note(Ended::Sending(Instant::now()));
        let request = end.of_request(true);
        assert!(request.lets_begin());
        end.note(Ended::Reset);
        assert!(!request.lets_begin());
        assert!(timeout(Duration::from_secs(60), request.left()).await.is_ok());
    }

    #[tokio::test(start_paused = true)]
    async fn an_end_that_nobody_has_told_of_yet_counts() {
        let long_ago = Instant::now();
        advance(Duration::from_secs(1)).await;
        let end = Arc::new(End::new(move || Some(Unseen::Ended(Ended::Sending(long_ago)))));
        assert!(!end.of_request(false).lets_begin());
    }

    /// Guards against attempts for a client whose end lies behind what is not read, be it of its own body: it may have closed
    /// long ago.
    #[tokio::test(start_paused = true)]
    async fn nothing_begins_long_after_a_client_was_there_where_its_end_would_be_hidden() {
        let present_at = Instant::now();
        let end = Arc::new(End::new(move || Some(Unseen::Hidden(present_at))));
        let request = end.of_request(false);
        assert!(request.lets_begin(), "it has just sent");
        advance(BEGINS_AFTER_END + Duration::from_millis(1)).await;
        assert!(!request.lets_begin());
        assert_eq!(end.noted(), None, "it may be there");
    }
}
