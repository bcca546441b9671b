//! A client's connection, as its requests see it.

use crate::leaving::{End, Ended, RequestEnd, Unseen};
use crate::peer::{Heads, Socket};
use micapier::staleness::may_begin;
use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What the system knows of the client's end that has not been told of yet.
fn unseen_end(socket: &Socket, heads: &Heads, present_at: &Mutex<Option<Instant>>) -> Option<Unseen> {
    if let Some(ended) = socket.unseen_end() {
        return Some(Unseen::Ended(ended));
    }
    let sent_at = heads.client_present_at();
    let since = locked(present_at).map_or(sent_at, |present_at| sent_at.max(present_at));
    let is_hidden = !may_begin(since.elapsed()) && socket.may_hide_an_end();
    is_hidden.then_some(Unseen::Hidden(since))
}

fn locked<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A client's connection, as its requests see it.
pub struct ClientConnection {
    pub heads: Heads,
    pub socket: Arc<Socket>,
    pub end: Arc<End>,
    /// Told once an answer on it can't be finished: it has to close.
    cut: Notify,
    /// The end of the connection is the end of the answer on it.
    pub ends_by_close: AtomicBool,
    /// When the latest answer on it was made.
    answered_at: Mutex<Option<Instant>>,
    /// When the latest answer was made that its client has not refused.
    present_at: Arc<Mutex<Option<Instant>>>,
}

impl ClientConnection {
    pub fn new(heads: Heads, socket: Socket) -> ClientConnection {
        let socket = Arc::new(socket);
        let present_at = Arc::<Mutex<Option<Instant>>>::default();
        let (asked, read, present) = (socket.clone(), heads.clone(), present_at.clone());
        let end = Arc::new(End::new(move || unseen_end(&asked, &read, &present)));
        let (cut, ends_by_close, answered_at) = Default::default();
        ClientConnection { heads, socket, end, cut, ends_by_close, answered_at, present_at }
    }

    /// An answer on it has been made.
    pub fn note_answered(&self) {
        *locked(&self.answered_at) = Some(Instant::now());
    }

    /// Had the request that is read now come before the latest answer was made?
    pub fn is_pipelined(&self) -> bool {
        let answered_at = *locked(&self.answered_at);
        answered_at.is_some_and(|at| self.heads.waited_at() <= at)
    }

    /// Closes it after a cut, in such a way that its client can tell.
    pub async fn close(&self) {
        if self.ends_by_close.load(Ordering::Relaxed) {
            self.socket.reset();
        } else {
            self.socket.close().await;
        }
    }

    /// Waits until an answer on it is cut, and then until all that was written before has gone out: whoever polls this
    /// also polls what writes.
    pub async fn cut(&self) {
        self.cut.notified().await;
        let writes = || self.socket.is_write_blocked();
        poll_fn(|_| if writes() { Poll::Pending } else { Poll::Ready(()) }).await;
    }

    /// Whether the client is there, for a request that is read now: to its end, or as far as it is held.
    pub fn end_of_request(&self) -> RequestEnd {
        let has_ended = self.socket.has_ended();
        if has_ended {
            self.note_end();
        }
        self.end.of_request(has_ended)
    }

    /// Its client has ended, by what its socket tells.
    pub fn note_end(&self) {
        self.end.note(self.socket.end().unwrap_or(Ended::Sending(Instant::now())));
    }

    /// Notes what has become of the latest answer: who has closed resets the connection, whatever of it is unread.
    pub fn note_reaction_to_answer(&self) {
        match self.socket.end() {
            Some(ended) => self.end.note(ended),
            None => *locked(&self.present_at) = *locked(&self.answered_at),
        }
    }

    /// An answer on it can't be finished.
    pub fn cut_answer(&self) {
        self.cut.notify_one();
    }
}
