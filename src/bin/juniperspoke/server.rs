//! The application's side: reads its requests, hands them to the driver and writes the answers.
//!
//! Anyone may connect. What is no proper request of the application's goes no further: an upstream would
//! answer it with an error, and the module would book that as the upstream's own.

use crate::accept::{AcceptErrors, AcceptQueue};
use crate::answer::AnswerStream;
use crate::bodies::{BodyError, Intake, RequestBody};
use crate::budget::Budget;
use crate::config::Config;
use crate::connection::BUFFER;
use crate::handle::{Answer, Handle, Inbound};
use crate::heartbeat::{Heartbeat, Looks};
use crate::leaving::{End, Ended, RequestEnd};
use crate::life::{Life, Stage};
use crate::metrics::{Count, Ending, Metrics, Ticket};
use crate::peer::{Heads, Peer, Socket};
use crate::system::read_what_has_come;
use crate::upstream::Outbound;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use micapier::api::{Idempotency, Origin};
use micapier::names::flat_name;
use micapier::settings::LONGEST;
use std::collections::HashSet;
use std::convert::Infallible;
use std::error::Error;
use std::future::poll_fn;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// What speaks of the application's connection, or is written anew, and doesn't go on to upstreams.
const KEPT_BACK: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-budget",
];
/// What a request has once at most. Guards against the sidecar going by the one and an upstream by the other.
const ONCE: [&str; 5] = ["x-call-id", "x-call-class", "x-caller", "x-budget", "idempotency-key"];
/// So many request ids are remembered at least. A copy comes while its original is out or soon after.
const REMEMBERED: usize = 8_192;
/// One of so many places is kept free for newcomers.
const SPARE: usize = 16;
/// Where there is no room, another connection is asked after this time to give way.
const EVICT_AFTER: Duration = Duration::from_secs(1);
/// Where there is none at all, a newcomer that has said nothing for so long gives way too: clients that ask for
/// nothing would keep those that do waiting for places.
const SILENCE: Duration = Duration::from_millis(500);
/// Connections that have come before the end of listening are accepted for so long at most. Guards against clients who
/// come again as fast as they are sent away: the next process waits for the address.
const STOP_GRACE: Duration = Duration::from_millis(100);
/// How long the client may let us wait for a body before its bytes have paid for more. Small pieces with pauses
/// are legal. Whoever connects is owed an error or a close within 3 s, so a newcomer's waits end before that.
const BODY_PATIENCE: Duration = Duration::from_secs(2);
const NEWCOMER: Duration = Duration::from_millis(2_850);

/// The answer to what is no proper request.
type Improper = (StatusCode, &'static str);

/// The ids of the latest requests: each is new, so a second one is a copy that its client never sent.
/// Two generations keep the memory bounded; the keys are hashes, secret from whoever picks the ids.
#[derive(Default)]
struct Seen {
    keys: RandomState,
    young: HashSet<u64>,
    old: HashSet<u64>,
}

impl Seen {
    /// Takes an id in; `false` if it has been here.
    fn is_new(&mut self, id: &[u8]) -> bool {
        let key = self.keys.hash_one(id);
        if self.young.len() >= REMEMBERED {
            self.old = std::mem::take(&mut self.young);
        }
        !self.old.contains(&key) && self.young.insert(key)
    }
}

/// Shared by all connections of the application.
pub struct Server {
    config: Arc<Config>,
    driver: Handle,
    seen: Mutex<Seen>,
    life: Arc<Life>,
    metrics: Arc<Metrics>,
    /// Told once for each connection that has to close as soon as it is between requests.
    evict_idle: Notify,
    /// The same for newcomers that have said nothing.
    evict_silent: Notify,
    room: Arc<Semaphore>,
    /// Places that are kept free for newcomers.
    spare: usize,
    /// Connections that have carried a request and are still open.
    used: AtomicUsize,
    /// All that are open.
    open: AtomicUsize,
    accepted: watch::Sender<Instant>,
    /// No more connections are accepted.
    stopped: watch::Sender<bool>,
    budget: Budget,
    heartbeat: Heartbeat,
}

/// A client's connection, as its requests see it.
struct Connection {
    heads: Heads,
    socket: Arc<Socket>,
    end: Arc<End>,
    /// Told once an answer on it can't be finished: it has to close.
    cut: Notify,
    /// The end of the connection is the end of the answer on it.
    ends_by_close: AtomicBool,
}

impl Connection {
    fn new(heads: Heads, socket: Socket) -> Connection {
        let socket = Arc::new(socket);
        let asked = socket.clone();
        let end = Arc::new(End::new(move || asked.unseen_end()));
        let (cut, ends_by_close) = Default::default();
        Connection { heads, socket, end, cut, ends_by_close }
    }

    /// Closes it after a cut, in such a way that its client can tell.
    async fn close(&self) {
        if self.ends_by_close.load(Ordering::Relaxed) {
            self.socket.reset();
        } else {
            self.socket.close().await;
        }
    }

    /// Waits until an answer on it is cut, and then until all that was written before has gone out: whoever polls this
    /// also polls what writes.
    async fn cut(&self) {
        self.cut.notified().await;
        let writes = || self.socket.is_write_blocked();
        poll_fn(|_| if writes() { Poll::Pending } else { Poll::Ready(()) }).await;
    }

    /// Whether the client is there, for a request whose last byte has just been read.
    fn end_of_request(&self) -> RequestEnd {
        let has_ended = self.socket.has_ended();
        if has_ended {
            self.note_end();
        }
        self.end.of_request(has_ended)
    }

    /// Its client has ended, by what its socket tells.
    fn note_end(&self) {
        self.end.note(self.socket.end().unwrap_or(Ended::Sending(Instant::now())));
    }
}

impl Server {
    pub fn new(
        config: Arc<Config>, driver: Handle, life: Arc<Life>, metrics: Arc<Metrics>, budget: Budget,
        most: usize, heartbeat: Heartbeat,
    ) -> Arc<Server> {
        Arc::new(Server {
            config,
            driver,
            seen: Mutex::default(),
            life,
            metrics,
            evict_idle: Notify::new(),
            evict_silent: Notify::new(),
            room: Arc::new(Semaphore::new(most)),
            spare: most / SPARE,
            used: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            accepted: watch::Sender::new(Instant::now()),
            stopped: watch::Sender::new(false),
            budget,
            heartbeat,
        })
    }

    /// Accepts the connections that are waiting already, and none after.
    pub fn stop(&self) {
        self.stopped.send_replace(true);
    }

    async fn stopped(&self) {
        // It fails only without a sender, which is here.
        let _ = self.stopped.subscribe().wait_for(|stopped| *stopped).await;
    }

    /// Is every answer written, and has nobody come for so long?
    pub fn is_quiet(&self, newcomers: Duration) -> bool {
        self.used.load(Ordering::Relaxed) == 0 && self.accepted.borrow().elapsed() >= newcomers
    }

    /// How many connections are open, also those whose first request may be on its way.
    pub fn connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Is no connection open?
    pub fn is_empty(&self) -> bool {
        self.connections() == 0
    }

    /// Accepts connections, of which none had come by then, until it is stopped.
    pub async fn listen(self: Arc<Self>, listener: TcpListener, none_by: Instant) {
        let over = async {
            self.stopped().await;
            sleep(STOP_GRACE).await;
        };
        tokio::select! {
            biased;
            () = self.take(&listener, none_by) => {}
            () = over => {}
        }
    }

    async fn take(self: &Arc<Self>, listener: &TcpListener, none_by: Instant) {
        let mut errors = AcceptErrors::default();
        let mut queue = AcceptQueue::new(listener, self.heartbeat.clone(), none_by);
        loop {
            let permit = self.permit().await;
            let accepted = tokio::select! {
                biased;
                accepted = queue.accept() => accepted,
                () = self.stopped_with_none_to_accept() => return,
            };
            match accepted {
                Ok((stream, looks)) => {
                    errors.over();
                    self.begin(stream, looks, permit);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => self.wait_after(&mut errors, &error).await,
            }
        }
    }

    /// Waits until it makes sense to accept again.
    async fn wait_after(&self, errors: &mut AcceptErrors, error: &io::Error) {
        let wait = errors.wait_after(error);
        self.metrics.count(Count::AcceptError);
        if errors.has_come_again() {
            tracing::warn!(%error, "connections can't be accepted");
        }
        if errors.is_lasting_shortage(error) {
            self.evict_idle.notify_one();
        }
        if wait.is_zero() {
            // Whatever fails, others have their turn.
            yield_now().await;
        } else {
            sleep(wait).await;
        }
    }

    /// Waits until no more connections are to be accepted, and the runtime has heard of those that have come.
    async fn stopped_with_none_to_accept(&self) {
        self.stopped().await;
        read_what_has_come().await;
    }

    /// Serves a connection until it ends.
    fn begin(self: &Arc<Self>, stream: TcpStream, looks: Looks, permit: Option<OwnedSemaphorePermit>) {
        self.accepted.send_replace(Instant::now());
        self.open.fetch_add(1, Ordering::Relaxed);
        let server = self.clone();
        tokio::spawn(async move {
            server.clone().serve(stream, looks).await;
            server.open.fetch_sub(1, Ordering::Relaxed);
            drop(permit);
        });
    }

    /// Guards against running out of descriptors: for each newcomer one connection gives way, and newcomers wait
    /// where none has yet. Were all asked, each of their clients would come back as a newcomer.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.room.available_permits() <= self.spare {
                self.evict_idle.notify_one();
            }
            if self.room.available_permits() == 0 {
                self.evict_silent.notify_one();
            }
            if let Ok(permit) = timeout(EVICT_AFTER, self.room.clone().acquire_owned()).await {
                return permit.ok();
            }
        }
    }

    /// Waits until one that has been silent since then has to give way.
    async fn evicted_for_silence(&self, since: Instant) {
        sleep_until(since + SILENCE).await;
        self.evict_silent.notified().await;
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, looks: Looks) {
        // Without it answers are merely slower.
        drop(stream.set_nodelay(true));
        // As logs call it; who has reset its connection has none.
        let client = stream.peer_addr().map_or_else(|error| error.to_string(), |addr| addr.to_string());
        let (used, begun, since) = (AtomicBool::new(false), Notify::new(), Instant::now());
        let (peer, heads, socket) = Peer::client(stream, looks);
        let open = Arc::new(Connection::new(heads, socket));
        let service = service_fn(|request| {
            let newcomer = (!used.swap(true, Ordering::Relaxed)).then_some(since);
            if newcomer.is_some() {
                self.used.fetch_add(1, Ordering::Relaxed);
            }
            begun.notify_one();
            let (server, open, twofold) = (self.clone(), open.clone(), open.heads.next_is_twofold());
            async move { Ok::<_, Infallible>(server.answer(request, &open, twofold, newcomer).await) }
        });
        let (mut life, mut closed) = (self.life.watch(), None);
        let (mut evicted, mut heard_out, mut ended) = (false, false, false);
        let mut http = http1::Builder::new();
        // Who ends its sending may wait for its answer: what that means is judged here.
        http.max_buf_size(BUFFER).header_read_timeout(None).half_close(true);
        let connection = http.serve_connection(TokioIo::new(peer), service);
        tokio::pin!(connection);
        let cut = open.cut();
        tokio::pin!(cut);
        loop {
            let due = life.borrow_and_update().close_idle.filter(|due| closed != Some(*due));
            tokio::select! {
                // First reads what has come: what is closed on is not known to be on its way.
                biased;
                // Whatever ends it, whoever waited on it has left.
                end = connection.as_mut() => {
                    if let Err(error) = end {
                        tracing::debug!(client, %error, cause = ?error.source(), "a client's connection broke");
                    }
                    break;
                }
                () = &mut cut => {
                    tracing::debug!(client, "a client's connection closes behind a cut answer");
                    open.close().await;
                    break;
                }
                () = open.socket.ended(), if !ended => {
                    ended = true;
                    open.note_end();
                    tracing::debug!(client, end = ?open.end.noted(), "a client has ended");
                    continue;
                }
                Ok(()) = life.changed() => if !life.borrow().close_all { continue },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => closed = due,
                // A newcomer whose first request is on its way is not asked; of the others the one whose last request
                // is the longest ago, since each waits anew from its request on.
                () = begun.notified() => continue,
                () = self.evicted_for_silence(since), if !used.load(Ordering::Relaxed) && !heard_out => {
                    heard_out = true;
                    if open.heads.has_next() || open.socket.has_more() {
                        self.evict_silent.notify_one();
                    } else if self.room.available_permits() == 0 {
                        connection.as_mut().graceful_shutdown();
                    }
                    continue;
                }
                () = self.evict_idle.notified(), if used.load(Ordering::Relaxed) && !evicted => evicted = true,
            }
            // Guards against closing on a newcomer whose first request is on its way, ...
            if used.load(Ordering::Relaxed) || life.borrow().close_all {
                open.heads.close();
                tracing::debug!(client, stage = ?life.borrow().stage, evicted, "a client's connection closes");
                // ... and on what has come of a request, read or not: its answer closes.
                if !open.heads.has_next() && !open.socket.has_more() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
        if used.load(Ordering::Relaxed) {
            self.used.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// `newcomer` is when its connection came, if it is the first there.
    async fn answer(
        &self, request: Request<Incoming>, on: &Arc<Connection>, twofold: bool, newcomer: Option<Instant>,
    ) -> Response<Reply> {
        let version = request.version();
        let mut response = match request.uri().path() {
            "/health/ready" => {
                let ready = self.driver.is_ready() && self.life.stage() == Stage::Serving;
                plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
            }
            _ => match self.read(request, on, twofold, newcomer).await {
                Ok(inbound) => self.ask(inbound, on).await,
                Err((status, why)) => {
                    tracing::debug!(status = status.as_u16(), why, "not taken");
                    plain(status, why)
                }
            },
        };
        let ends_by_close = version == Version::HTTP_10 && response.body().size_hint().exact().is_none();
        on.ends_by_close.store(ends_by_close, Ordering::Relaxed);
        if self.life.stage() != Stage::Serving {
            on.heads.close();
        }
        // Guards against dropping a request that has been read behind this one.
        if twofold || on.heads.is_closing() && !on.heads.has_next() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// A request that has been taken: it is in flight until its answer has ended.
    async fn ask(&self, inbound: Inbound, on: &Arc<Connection>) -> Response<Reply> {
        let ticket = self.metrics.take(inbound.class);
        let upload = match &inbound.outbound.body {
            RequestBody::Held(_) => None,
            RequestBody::Open(upload) => Some(upload.clone()),
        };
        let end = inbound.outbound.end.clone();
        if !end.lets_begin() {
            let (call, unread) = (inbound.outbound.headers.get("x-call-id"), inbound.since.elapsed());
            tracing::info!(?call, ?unread, "refused: its client had ended before it was read");
            self.metrics.count(Count::LeftUnread);
            return worded(Answer::Refused(None), ticket, on);
        }
        let left = async {
            let Some(upload) = &upload else { return end.left().await };
            // Until then the end may lie behind the request's last byte.
            upload.read_whole().await;
            on.end_of_request().left().await;
        };
        let answer = tokio::select! {
            biased;
            answer = self.driver.ask(inbound) => answer,
            // It has gone. If it waits after all, for one that came late to end its sending, this is its answer.
            () = left => {
                tracing::debug!("a client has left");
                Answer::Failed
            }
        };
        let Some(upload) = upload else { return worded(answer, ticket, on) };
        match upload.fault() {
            Some(error) => {
                let (status, why) = improper(error);
                plain(status, why)
            }
            None => {
                tokio::spawn(upload.drain());
                worded(answer, ticket, on)
            }
        }
    }

    /// Guards against requests that can't be read: they are answered as failed, and go nowhere.
    async fn read(
        &self, request: Request<Incoming>, on: &Connection, twofold: bool, newcomer: Option<Instant>,
    ) -> Result<Inbound, Improper> {
        let (head, body) = request.into_parts();
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        // Guards against a second request hidden in the body of the first.
        if twofold {
            return Err(bad("both a length and chunked framing"));
        }
        if ONCE.iter().any(|name| head.headers.get_all(*name).iter().nth(1).is_some()) {
            return Err(bad("a header twice"));
        }
        let class = text(&head.headers, "x-call-class").map(flat_name);
        let class = self.config.surroundings.classes.iter().position(|name| Some(name) == class.as_ref());
        let class = class.ok_or(bad("no such class"))?;
        let budget = seconds(&head.headers, "x-budget").ok_or(bad("no readable budget"))?;
        let idempotency = self.config.settings.classes.get(class).ok_or(bad("no such class"))?.idempotency;
        check(&head, idempotency)?;
        let cost = text(&head.headers, "x-call-cost").and_then(|us| us.trim().parse::<f64>().ok());
        let cost = cost.and_then(|us| time(us / 1e6));
        let again = text(&head.headers, "x-again") == Some("1");
        let origin = if again { Origin::ClientRetry } else { Origin::Fresh };
        // A tenant is of interest to the fleet's plan alone, and who is not in the settings has no name there.
        let caller = text(&head.headers, "x-caller").map(flat_name).filter(|name| !name.is_empty());
        let tenants = &self.config.surroundings.tenants;
        let tenant = caller.and_then(|caller| tenants.iter().position(|name| *name == caller));
        let tenant = tenant.and_then(|at| u16::try_from(at).ok());
        let patience = newcomer.map_or(BODY_PATIENCE, |since| NEWCOMER.saturating_sub(since.elapsed()));
        let body = Intake::new(body, patience, on.heads.clone())
            .read(|bytes| self.budget.take(bytes))
            .await
            .map_err(improper)?;
        // A client's time runs from its last byte, whenever that is read.
        let since = on.heads.arrived_at();
        let end = on.end_of_request();
        let answer_by = self.life.now().answer_by;
        let budget = answer_by.map_or(budget, |by| budget.min(by.saturating_duration_since(since)));
        if idempotency == Idempotency::Idempotent
            && !matches!(&body, RequestBody::Held(bytes) if bytes.is_empty())
        {
            return Err(bad("a body where the class has none"));
        }
        let id = head.headers.get("x-call-id").filter(|id| !id.is_empty()).ok_or(bad("no id"))?;
        if !self.seen.lock().unwrap_or_else(PoisonError::into_inner).is_new(id.as_bytes()) {
            return Err(bad("an id that has been used"));
        }
        let mut headers = head.headers;
        KEPT_BACK.iter().for_each(|name| drop(headers.remove(*name)));
        headers.entry(HOST).or_insert(HeaderValue::from_static("origin.svc"));
        let outbound = Outbound { method: head.method, uri: head.uri, headers, body, end };
        Ok(Inbound { outbound, class, tenant, cost, origin, budget, since, answer_by })
    }
}

/// What a client's body is answered that can't be read.
fn improper(error: BodyError) -> Improper {
    match error {
        BodyError::Slow => (StatusCode::REQUEST_TIMEOUT, "a body that does not end"),
        BodyError::Broken => (StatusCode::BAD_REQUEST, "a broken body"),
        BodyError::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "a too long body"),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    std::str::from_utf8(headers.get(name)?.as_bytes()).ok()
}

/// Guards against a time that can't be added to a clock's reading.
fn time(seconds: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(seconds).ok().filter(|time| *time <= LONGEST)
}

fn seconds(headers: &HeaderMap, name: &str) -> Option<Duration> {
    time(text(headers, name)?.trim().parse::<f64>().ok()?)
}

/// Is this head one that the application sends for a request that may be repeated so?
fn check(head: &Parts, idempotency: Idempotency) -> Result<(), Improper> {
    let key = head.headers.get("idempotency-key").is_some_and(|key| !key.is_empty());
    if head.method != if idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST } {
        return Err((StatusCode::BAD_REQUEST, "not the method of the class"));
    }
    // Guards against repeating what no upstream could tell from the first.
    if matches!(idempotency, Idempotency::Keyed { .. }) && !key {
        return Err((StatusCode::BAD_REQUEST, "no key"));
    }
    Ok(())
}

/// The body of an answer to a client. It never fails: the HTTP library would drop what it has not written by then, and
/// so all of an answer that has just begun.
enum Reply {
    Whole(Bytes),
    Streamed(Box<AnswerStream>, Arc<Connection>),
    /// Its connection is about to close.
    Cut,
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = match &mut *self {
            Reply::Whole(bytes) if bytes.is_empty() => return Poll::Ready(None),
            Reply::Whole(bytes) => return Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Reply::Streamed(stream, _) => ready!(Pin::new(stream).poll_frame(context)),
            Reply::Cut => return Poll::Pending,
        };
        match frame {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            None => Poll::Ready(None),
            Some(Err(_)) => {
                if let Reply::Streamed(_, on) = std::mem::replace(&mut *self, Reply::Cut) {
                    on.cut.notify_one();
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Reply::Whole(bytes) => bytes.is_empty(),
            Reply::Streamed(stream, _) => stream.is_end_stream(),
            Reply::Cut => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Reply::Streamed(stream, _) => stream.size_hint(),
            Reply::Cut => SizeHint::default(),
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Reply> {
    let mut response = Response::new(Reply::Whole(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The final answer in HTTP; the request ends with it.
fn worded(answer: Answer, ticket: Ticket, on: &Arc<Connection>) -> Response<Reply> {
    match answer {
        Answer::Served(served) => {
            ticket.end(Ending::Success);
            let mut response = Response::new(Reply::Whole(served.body));
            response.headers_mut().extend(served.content_type.map(|value| (CONTENT_TYPE, value)));
            response
        }
        Answer::Streamed(mut stream) => {
            stream.ticket = Some(ticket);
            let content_type = stream.content_type.take();
            let mut response = Response::new(Reply::Streamed(stream, on.clone()));
            response.headers_mut().extend(content_type.map(|value| (CONTENT_TYPE, value)));
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        Answer::Refused(retry_after) => {
            ticket.end(Ending::Busy);
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let text = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
            let value = text.and_then(|text| HeaderValue::from_str(&text).ok());
            response.headers_mut().extend(value.map(|value| (RETRY_AFTER, value)));
            response
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::advance;

    #[tokio::test(start_paused = true)]
    async fn what_has_come_unread_as_its_connection_closes_is_answered() {
        for place_is_wanted in [false, true] {
            let config = Arc::new(Config::read(crate::config::tests::JSON, |_| None).expect("readable"));
            let (life, metrics) = (Arc::new(Life::new()), Metrics::new(&[]));
            let server = Server::new(
                config,
                Handle::new().0,
                life.clone(),
                metrics,
                Budget::new(0),
                4,
                Heartbeat::new(),
            );
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = listener.local_addr().expect("an address");
            let (client, accepted) = tokio::join!(TcpStream::connect(addr), listener.accept());
            let (client, accepted) = (client.expect("accepted"), accepted.expect("one").0);
            let mut serving = Box::pin(server.clone().serve(accepted, Looks::from_now()));
            let mut turn = async || poll_fn(|context| Poll::Ready(serving.as_mut().poll(context))).await;
            assert!(turn().await.is_pending());
            advance(SILENCE).await;
            // The runtime does not look at the sockets in between.
            client.try_write(b"GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n").expect("written");
            if place_is_wanted {
                server.room.forget_permits(4);
                server.evict_silent.notify_one();
            } else {
                life.close_all();
            }
            assert!(turn().await.is_pending());
            let said = tokio::select! {
                () = serving => String::new(),
                said = crate::upstream::tests::read(&client) => said,
            };
            assert!(said.starts_with("HTTP/1.1 503"), "{place_is_wanted}: {said:?}");
            assert!(place_is_wanted || said.contains("connection: close"), "{said:?}");
        }
    }

    /// Guards against a reset of clients that have come as the listening ends: the runtime may not have heard of them yet.
    #[tokio::test(start_paused = true)]
    async fn who_has_come_unseen_as_the_listening_ends_is_accepted() {
        let config = Arc::new(Config::read(crate::config::tests::JSON, |_| None).expect("readable"));
        let (life, metrics) = (Arc::new(Life::new()), Metrics::new(&[]));
        let server = Server::new(config, Handle::new().0, life, metrics, Budget::new(0), 4, Heartbeat::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let mut listening = Box::pin(server.clone().listen(listener, Instant::now()));
        assert!(poll_fn(|context| Poll::Ready(listening.as_mut().poll(context))).await.is_pending());
        // The runtime does not look at the sockets in between.
        let _client = std::net::TcpStream::connect(addr).expect("a place in the queue");
        server.stop();
        listening.await;
        assert_eq!(server.connections(), 1);
    }

    #[test]
    fn a_used_id_is_known_for_long_and_the_memory_stays_bounded() {
        let mut seen = Seen::default();
        for i in 0..5 * REMEMBERED {
            assert!(seen.is_new(&i.to_le_bytes()), "{i}");
            assert!(!seen.is_new(&i.to_le_bytes()), "{i} again");
            let before = i.saturating_sub(REMEMBERED - 1);
            assert!(!seen.is_new(&before.to_le_bytes()), "{before}, at {i}");
            assert!(seen.young.len() + seen.old.len() <= 2 * REMEMBERED);
        }
    }
}
