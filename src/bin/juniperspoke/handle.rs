//! How the other parts tell the driver what happens, and what passes between them.

use crate::answer::AnswerStream;
use crate::list::{Names, News, server_id};
use crate::upstream::{Outbound, Served, Step};
use micapier::api::{Hosts, Origin, Outcome, RequestId, ServerId};
use micapier::fleet::route::Route;
use micapier::fleet::tally::Tally;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// The final answer to a client.
pub enum Answer {
    Served(Served),
    /// A long one, as it comes.
    Streamed(Box<AnswerStream>),
    Refused(Option<Duration>),
    Failed,
}

impl Answer {
    /// As logs call it.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Streamed(_) => "passed on",
            Answer::Refused(_) => "refused",
            Answer::Failed => "failed",
        }
    }
}

/// A client's request, read to its end.
pub struct Inbound {
    pub outbound: Outbound,
    pub class: usize,
    /// Whose it is, by index into the settings' tenants.
    pub tenant: Option<u16>,
    pub cost: Option<Duration>,
    pub origin: Origin,
    /// How long the client waits, and when that began as far as can be told.
    pub budget: Duration,
    pub since: Instant,
    /// Until when it is answered in any case: the process may be killed then.
    pub answer_by: Option<Instant>,
}

/// The process ends.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// What comes later than this is lost if SIGKILL finds it unanswered.
    pub owed_after: Instant,
    /// When that has to be answered: the process may be killed soon after.
    pub answer_by: Instant,
}

pub enum Happening {
    Request(RequestId, Box<Inbound>, oneshot::Sender<Answer>),
    HungUp(RequestId),
    Attempt(RequestId, usize, Step),
    Probed(ServerId, Outcome, Option<f64>),
    List(News),
    ListFailed,
    /// Someone asks for these figures, or whether the list names an upstream.
    Hosts(oneshot::Sender<Hosts>),
    Lists(ServerId, oneshot::Sender<bool>),
    /// These are out of use by hand; told once nothing new goes there.
    Banned(Vec<ServerId>, oneshot::Sender<()>),
    Ending(Shutdown),
    /// The fleet's plan, and until when it acts.
    Plan(Arc<Route>, Instant),
    /// Someone takes out what has been counted.
    Counts(oneshot::Sender<Tally>),
}

/// How the other parts tell the driver what happens.
#[derive(Clone)]
pub struct Handle {
    to: mpsc::UnboundedSender<Happening>,
    next_id: Arc<AtomicU32>,
    ready: Arc<AtomicBool>,
    /// Has discovery spoken, if only to fail, where it is waited for?
    told: Arc<AtomicBool>,
}

/// Tells that the client has left if it goes before its answer.
struct Waiting<'a>(&'a Handle, RequestId);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.tell(Happening::HungUp(self.1));
    }
}

impl Handle {
    /// A handle, and where the driver hears what is told through it.
    pub fn new() -> (Handle, mpsc::UnboundedReceiver<Happening>) {
        let (to, from) = mpsc::unbounded_channel();
        let (next_id, ready, told) = Default::default();
        (Handle { to, next_id, ready, told }, from)
    }

    /// Whether there are upstreams to send to; the driver's to say.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether discovery has spoken; the driver's to say.
    pub fn set_told(&self, told: bool) {
        self.told.store(told, Ordering::Relaxed);
    }

    pub fn tell(&self, happening: Happening) {
        // Without a driver the process is about to end.
        drop(self.to.send(happening));
    }

    /// Are there upstreams to send to, by a list that is not known to be behind?
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && self.told.load(Ordering::Relaxed)
    }

    /// Asks the driver; `None` if it has ended.
    async fn call<T>(&self, happening: impl FnOnce(oneshot::Sender<T>) -> Happening) -> Option<T> {
        let (to, answer) = oneshot::channel();
        self.tell(happening(to));
        answer.await.ok()
    }

    /// `None` if the driver has ended.
    pub async fn hosts(&self) -> Option<Hosts> {
        self.call(Happening::Hosts).await
    }

    /// Does the list name this upstream?
    pub async fn lists(&self, name: &str) -> bool {
        self.call(|to| Happening::Lists(server_id(name), to)).await.unwrap_or(false)
    }

    /// These upstreams are out of use by hand, and no others; back once nothing new goes there.
    pub async fn ban(&self, names: Names) {
        let servers = names.iter().map(|name| server_id(name)).collect();
        // Without a driver nothing goes anywhere.
        let _ = self.call(|to| Happening::Banned(servers, to)).await;
    }

    /// Takes out what has been counted for the fleet; `None` if the driver has ended.
    pub async fn counts(&self) -> Option<Tally> {
        self.call(Happening::Counts).await
    }

    /// Hands a request over and waits for its final answer.
    pub async fn ask(&self, inbound: Inbound) -> Answer {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (to, answer) = oneshot::channel();
        self.tell(Happening::Request(id, Box::new(inbound), to));
        let waiting = Waiting(self, id);
        let answer = answer.await.unwrap_or(Answer::Failed);
        std::mem::forget(waiting);
        answer
    }
}
