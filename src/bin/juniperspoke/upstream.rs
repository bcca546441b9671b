//! The upstreams' side: attempts, probes and the connections for both.
//!
//! The pool is our own, since those of client libraries send a request again by themselves when a kept
//! connection breaks under it, and so may run it twice.

use crate::bodies::{HELD, Had, Outgoing, Passing, RequestBody, Sent, read_answer};
use crate::budget::Budget;
use crate::idle::IdleLimit;
use crate::leaving::RequestEnd;
use crate::metrics::Metrics;
use crate::peer::Peer;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use micapier::api::Outcome;
use serde_json::Value;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The most that is read ahead on a connection, and so the longest head of an answer, and the most that waits to
/// be written: little enough that bodies on every connection cannot fill the memory.
pub const BUFFER: usize = 16 * 1024;
/// A kept connection is not used in this last part of the time after which the upstream closes it.
const IDLE_MARGIN: u32 = 10;
/// Idle connections kept to one upstream.
const IDLE_EACH: usize = 8;

/// A connection whose socket closes with it.
pub struct TcpConnection<B> {
    pub sender: SendRequest<B>,
    task: AbortHandle,
}

impl<B> TcpConnection<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let mut http = http1::Builder::new();
        let handshake = http.max_buf_size(BUFFER).handshake(TokioIo::new(Peer::upstream(stream)));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        // What breaks it is told to the request on it.
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(TcpConnection { sender, task })
    }
}

impl<B> Drop for TcpConnection<B> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Where an attempt goes; the driver closes it when the list takes the upstream or its address back.
pub struct Target {
    pub addr: SocketAddr,
    pub open: AtomicBool,
}

/// What goes on to an upstream of a client's request.
pub struct Outbound {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
    /// Whether its client has gone, or has its answer.
    pub end: RequestEnd,
}

/// A whole answer: the body of an upstream's 200, and what it says of its type.
#[derive(Default)]
pub struct Served {
    pub body: Bytes,
    pub content_type: Option<HeaderValue>,
}

/// What becomes of an attempt, in this order; the last ends it.
pub enum Step {
    /// More of the request's body goes out than is held.
    Uploading,
    /// All of it has gone out.
    Uploaded,
    /// An answer has begun that is passed on as it comes.
    Started(Box<Passing>),
    Ended(Outcome, Served),
}

/// Told of each step.
pub type Report = Arc<dyn Fn(Step) + Send + Sync>;

/// Waits for news of how much has been sent; for ever where a body is held.
async fn sent(of: &mut Option<watch::Receiver<Sent>>) -> Sent {
    if let Some(of) = of
        && of.changed().await.is_ok()
    {
        return *of.borrow_and_update();
    }
    std::future::pending().await
}

/// Counts a connection, made or being made, against the limit.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection and its place under the limit.
struct Pooled {
    connection: TcpConnection<Outgoing>,
    /// How long it stood idle before this use.
    idle_for: Duration,
    _slot: Slot,
}

struct Idle {
    pooled: Pooled,
    since: Instant,
}

/// The connections to all upstreams.
#[derive(Clone)]
pub struct Upstreams {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
    learned: Arc<Mutex<IdleLimit>>,
    open: Arc<AtomicUsize>,
    most: usize,
    keep: Duration,
    connect_timeout: Duration,
    metrics: Arc<Metrics>,
    budget: Budget,
}

impl Upstreams {
    pub fn new(
        most: usize, keep_alive: Duration, connect_timeout: Duration, metrics: Arc<Metrics>, budget: Budget,
    ) -> Self {
        let (idle, open) = Default::default();
        let learned = Arc::new(Mutex::new(IdleLimit::new(Instant::now())));
        let keep = keep_alive - keep_alive / IDLE_MARGIN;
        Upstreams { idle, learned, open, most, keep, connect_timeout, metrics, budget }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn learned(&self) -> MutexGuard<'_, IdleLimit> {
        self.learned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes what is kept to upstreams that have left.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.idle().retain(|addr, _| keep(addr));
    }

    /// The connection used last that is still good. Guards against one that its upstream has closed, or is
    /// about to, or that has broken unseen: a request on it would end as a reset, and might have run.
    fn kept(&self, addr: SocketAddr) -> Option<Pooled> {
        let keep = self.learned().limit(Instant::now()).map_or(self.keep, |learned| learned.min(self.keep));
        let mut idle = self.idle();
        for list in idle.values_mut() {
            list.retain(|i| i.since.elapsed() < keep && i.pooled.connection.sender.is_ready());
        }
        let Idle { pooled, since } = idle.get_mut(&addr)?.pop()?;
        Some(Pooled { idle_for: since.elapsed(), ..pooled })
    }

    fn keep(&self, addr: SocketAddr, pooled: Pooled) {
        let mut idle = self.idle();
        let list = idle.entry(addr).or_default();
        if list.len() < IDLE_EACH {
            list.push(Idle { pooled, since: Instant::now() });
        }
    }

    /// Room for one more connection; the one idle for longest gives way.
    fn slot(&self) -> Option<Slot> {
        if self.open.load(Ordering::Relaxed) >= self.most {
            let mut idle = self.idle();
            let oldest =
                idle.values_mut().filter(|list| !list.is_empty()).min_by_key(|list| list[0].since)?;
            oldest.remove(0);
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(Slot(self.open.clone()))
    }

    /// The outcome if there is none; each proves that nothing ran. Guards against blaming an upstream for our own
    /// lack of room.
    async fn connection(&self, addr: SocketAddr, by: Instant) -> Result<Pooled, Outcome> {
        if let Some(kept) = self.kept(addr) {
            return Ok(kept);
        }
        let slot = self.slot().ok_or(Outcome::Moot)?;
        let by = by.min(Instant::now() + self.connect_timeout);
        let opened = timeout_at(by, TcpConnection::open(addr)).await.ok().and_then(Result::ok);
        let mut connection = opened.ok_or(Outcome::ConnectFailed)?;
        connection.sender.ready().await.map_err(|_| Outcome::ConnectFailed)?;
        Ok(Pooled { connection, idle_for: Duration::ZERO, _slot: slot })
    }

    /// One attempt, from choosing a connection to the end of the answer, or until it is passed on. Each step is
    /// reported first, then the connection is made ready for the next.
    pub async fn attempt(
        self, target: Arc<Target>, outbound: Arc<Outbound>, timeout: Duration, report: Report,
    ) {
        let ended = |outcome| report(Step::Ended(outcome, Served::default()));
        let mut by = Instant::now() + timeout;
        let mut pooled = match self.connection(target.addr, by).await {
            Ok(pooled) => pooled,
            Err(outcome) => return ended(outcome),
        };
        let mut news = match &outbound.body {
            RequestBody::Held(_) => None,
            RequestBody::Open(upload) => Some(upload.sent()),
        };
        // Guards against sending to an upstream that has begun to drain, or for a client that has left, while the
        // connection came up, and what is left of a body for all of it.
        let spent = news.as_ref().is_some_and(|news| *news.borrow() != Sent::Nothing);
        if spent || !target.open.load(Ordering::Relaxed) || !outbound.end.lets_begin() {
            return ended(Outcome::Moot);
        }
        let left = by.saturating_duration_since(Instant::now());
        let metrics = self.metrics.clone();
        let mut request = Request::new(Outgoing::new(outbound.body.clone(), move || metrics.count_attempt()));
        *request.method_mut() = outbound.method.clone();
        *request.uri_mut() = outbound.uri.clone();
        *request.headers_mut() = outbound.headers.clone();
        if let Ok(budget) = format!("{:.4}", left.as_secs_f64()).parse() {
            request.headers_mut().insert("X-Budget", budget);
        }
        let mut uploading = false;
        let (outcome, had, content_type) = {
            let answer = self.answer(&mut pooled, request);
            tokio::pin!(answer);
            loop {
                tokio::select! {
                    biased;
                    answer = &mut answer => break answer,
                    sent = sent(&mut news) => match sent {
                        Sent::Nothing => {}
                        Sent::Begun => {
                            uploading = true;
                            report(Step::Uploading);
                        }
                        Sent::Whole => {
                            if !std::mem::replace(&mut uploading, false) {
                                report(Step::Uploading);
                            }
                            by = Instant::now() + timeout;
                            report(Step::Uploaded);
                        }
                        Sent::Broken(_) => break (Outcome::Moot, None, None),
                    },
                    () = sleep_until(by), if !uploading => break (Outcome::Timeout, None, None),
                }
            }
        };
        // Guards against sending again what has begun to go out unnoticed, and against blaming an upstream for a
        // client, or for an attempt whose last byte was never written.
        let state = news.map_or(Sent::Whole, |news| *news.borrow());
        if state == Sent::Begun && !uploading {
            report(Step::Uploading);
        }
        let outcome = match (outcome, state) {
            (_, Sent::Broken(_)) => Outcome::Moot,
            (Outcome::Reset, Sent::Begun | Sent::Nothing) => Outcome::ConnectFailed,
            _ => outcome,
        };
        self.learned().note(pooled.idle_for, outcome == Outcome::Reset, Instant::now());
        match had {
            Some(Had::More(first, body, share)) if outcome == Outcome::Ok => {
                let end = report.clone();
                let passing = Passing::new(first, body, share, content_type, move |outcome| {
                    end(Step::Ended(outcome, Served::default()));
                    if outcome == Outcome::Ok {
                        tokio::spawn(self.keep_ready(target, pooled));
                    }
                });
                report(Step::Started(Box::new(passing)));
            }
            Some(Had::Whole(body)) => {
                report(Step::Ended(outcome, Served { body, content_type }));
                if matches!(outcome, Outcome::Ok | Outcome::Full | Outcome::Error) {
                    self.keep_ready(target, pooled).await;
                }
            }
            _ => ended(outcome),
        }
    }

    /// Writes a request and reads its answer as far as it is held.
    async fn answer(
        &self, pooled: &mut Pooled, request: Request<Outgoing>,
    ) -> (Outcome, Option<Had>, Option<HeaderValue>) {
        let answer = match pooled.connection.sender.try_send_request(request).await {
            Ok(answer) => answer,
            Err(mut error) => {
                // Given back unwritten: it never left. Else it may have.
                let unsent = error.take_message().map(|message| message.into_body().forget()).is_some();
                let outcome = if unsent { Outcome::ConnectFailed } else { Outcome::Reset };
                return (outcome, None, None);
            }
        };
        let (head, body) = answer.into_parts();
        let rejected = head.headers.get("X-Rejected").is_some_and(|value| value == "1");
        // Guards against an answer that is not whole: what is small is passed on only when all of it is here.
        let Some(had) = read_answer(body, |bytes| self.budget.take(bytes)).await else {
            return (Outcome::Reset, None, None);
        };
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Full,
            _ => Outcome::Error,
        };
        (outcome, Some(had), head.headers.get(CONTENT_TYPE).cloned())
    }

    /// Keeps a connection whose answer is over, unless it closes.
    async fn keep_ready(self, target: Arc<Target>, mut pooled: Pooled) {
        if pooled.connection.sender.ready().await.is_ok() && target.open.load(Ordering::Relaxed) {
            self.keep(target.addr, pooled);
        }
    }

    /// Asks an upstream how it is, and for its load where it reports any: the value of that name.
    pub async fn probe(
        self, addr: SocketAddr, by: Instant, held_name: Option<&str>,
    ) -> (Outcome, Option<f64>) {
        let mut pooled = match self.connection(addr, by).await {
            Ok(pooled) => pooled,
            Err(outcome) => return (outcome, None),
        };
        let path = if held_name.is_some() { "/stats" } else { "/health/live" };
        let mut request = Request::new(Outgoing::empty());
        *request.uri_mut() = Uri::from_static(path);
        request.headers_mut().extend(HeaderValue::from_str(&addr.to_string()).ok().map(|host| (HOST, host)));
        let answer = async {
            let answer = pooled.connection.sender.send_request(request).await.ok()?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), HELD).collect().await.ok()?;
            Some((status, body.to_bytes()))
        };
        let (status, body) = match timeout_at(by, answer).await {
            Ok(Some(answer)) => answer,
            Ok(None) => return (Outcome::Reset, None),
            Err(_) => return (Outcome::Timeout, None),
        };
        let report: Option<Value> = serde_json::from_slice(&body).ok();
        let held = report.and_then(|report| report[held_name?].as_f64()).filter(|held| held.is_finite());
        if pooled.connection.sender.ready().await.is_ok() {
            self.keep(addr, pooled);
        }
        (if status == StatusCode::OK { Outcome::Ok } else { Outcome::Full }, held)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::net::{TcpListener, TcpSocket};
    use tokio::sync::mpsc;

    const LONG: Duration = Duration::from_secs(30);

    async fn attempt(addr: SocketAddr, open: bool, connect_timeout: Duration) -> Outcome {
        let upstreams = Upstreams::new(4, LONG, connect_timeout, Metrics::new(&[]), Budget::new(HELD));
        let outbound = Outbound {
            method: Method::POST,
            uri: Uri::from_static("/api"),
            headers: HeaderMap::new(),
            body: RequestBody::Held(Bytes::new()),
            end: RequestEnd::never(),
        };
        let target = Arc::new(Target { addr, open: AtomicBool::new(open) });
        let (told, mut steps) = mpsc::unbounded_channel();
        let report = move |step| assert!(told.send(step).is_ok());
        upstreams.attempt(target, Arc::new(outbound), LONG, Arc::new(report)).await;
        let Some(Step::Ended(outcome, _)) = steps.recv().await else { panic!("one outcome") };
        outcome
    }

    #[tokio::test]
    async fn nothing_is_sent_to_an_upstream_that_drains_while_its_connection_comes_up() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (outcome, accepted) = tokio::join!(attempt(addr, false, LONG), listener.accept());
        assert_eq!(outcome, Outcome::Moot);
        let stream = accepted.expect("a connection").0;
        let mut bytes = [0; 64];
        let read = loop {
            stream.readable().await.expect("an end");
            match stream.try_read(&mut bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => break read,
            }
        };
        assert_eq!(read.expect("an end"), 0);
    }

    #[tokio::test]
    async fn a_connection_that_never_comes_up_proves_that_nothing_ran() {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
        let listener = socket.listen(1).expect("listening");
        let addr = listener.local_addr().expect("an address");
        // Nobody accepts: once the backlog is full, no further connection comes up.
        let mut waiting = Vec::new();
        let by = Duration::from_millis(200);
        while let Ok(Ok(stream)) = tokio::time::timeout(by, TcpStream::connect(addr)).await {
            waiting.push(stream);
        }
        assert_eq!(attempt(addr, true, Duration::from_millis(50)).await, Outcome::ConnectFailed);
    }

    #[tokio::test]
    async fn connections_stay_within_the_limit_and_the_one_idle_longest_gives_way() {
        let upstreams = Upstreams::new(2, LONG, LONG, Metrics::new(&[]), Budget::new(HELD));
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
        }
        let addr = |i: usize| listeners[i].local_addr().expect("an address");
        let by = Instant::now() + LONG;
        let first = upstreams.connection(addr(0), by).await.expect("room");
        let _second = upstreams.connection(addr(1), by).await.expect("room");
        let none = upstreams.connection(addr(2), by).await.err();
        assert_eq!(none, Some(Outcome::Moot), "both are in use, which says nothing of the third");
        upstreams.keep(addr(0), first);
        assert!(upstreams.connection(addr(2), by).await.is_ok(), "the idle one gave way");
        assert_eq!(upstreams.open.load(Ordering::Relaxed), 1);
    }

    #[tokio::test]
    async fn a_connection_idle_for_longer_than_they_stay_good_is_not_used_again() {
        let upstreams = Upstreams::new(4, LONG, LONG, Metrics::new(&[]), Budget::new(HELD));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let now = Instant::now();
        let idle = now.checked_sub(Duration::from_secs(10)).expect("the machine has run for longer");
        for broke in [false, true].repeat(5) {
            upstreams.learned().note(if broke { Duration::from_secs(5) } else { Duration::ZERO }, broke, now);
        }
        for (since, good) in [(now, true), (idle, false)] {
            let pooled = upstreams.connection(addr, now + LONG).await.expect("a connection");
            upstreams.idle().entry(addr).or_default().push(Idle { pooled, since });
            assert_eq!(upstreams.kept(addr).is_some(), good);
        }
    }
}
