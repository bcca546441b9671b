//! The application's side: reads its requests, hands them to the driver and writes the answers.
//!
//! Anyone may connect. What is no proper request of the application's goes no further: an upstream would
//! answer it with an error, and the module would book that as the upstream's own.

use crate::accept::{AcceptErrors, AcceptQueue};
use crate::bodies::{BodyError, Intake, RequestBody};
use crate::budget::Budget;
use crate::client::ClientConnection;
use crate::config::Config;
use crate::connection::BUFFER;
use crate::framing::FramingFault;
use crate::handle::{Answer, Handle, Inbound};
use crate::heartbeat::{Heartbeat, Looks};
use crate::life::{Life, Stage};
use crate::log_limit::{LogEntry, LogLimit};
use crate::metrics::{Count, Metrics};
use crate::peer::Peer;
use crate::pieces::{compact_uri, hold_headers};
use crate::recent_ids::{OpenId, RecentIds};
use crate::reply::{Reply, final_response, plain};
use crate::system::{let_others_run, read_what_has_come};
use crate::upstream::Outbound;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use micapier::api::{Idempotency, Origin};
use micapier::names::flat_name;
use micapier::settings::LONGEST;
use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
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

/// What clients may take.
pub struct ClientLimits {
    pub connections: usize,
    /// For what is held of bodies; shared with upstreams.
    pub budget: Budget,
}

/// Shared by all connections of the application.
pub struct Server {
    config: Arc<Config>,
    driver: Handle,
    recent_ids: RecentIds,
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
    left_unread_log: Mutex<LogLimit>,
}

impl Server {
    pub fn new(
        config: Arc<Config>, driver: Handle, life: Arc<Life>, metrics: Arc<Metrics>, limits: ClientLimits,
        recent_ids: RecentIds, heartbeat: Heartbeat,
    ) -> Arc<Server> {
        let ClientLimits { connections: most, budget } = limits;
        Arc::new(Server {
            config,
            driver,
            recent_ids,
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
            left_unread_log: Mutex::default(),
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
        let open = Arc::new(ClientConnection::new(heads, socket));
        let service = service_fn(|request| {
            let newcomer = (!used.swap(true, Ordering::Relaxed)).then_some(since);
            if newcomer.is_some() {
                self.used.fetch_add(1, Ordering::Relaxed);
            }
            begun.notify_one();
            let (server, open) = (self.clone(), open.clone());
            let fault = FramingFault::of(request.headers(), open.heads.next_is_twofold());
            async move { Ok::<_, Infallible>(server.answer(request, &open, fault, newcomer).await) }
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
        &self, request: Request<Incoming>, on: &Arc<ClientConnection>, fault: Option<FramingFault>,
        newcomer: Option<Instant>,
    ) -> Response<Reply> {
        let version = request.version();
        // Guards against one client that takes all turns of the event loop, and against a request of one that had closed
        // before the answer, which the system of its client has refused.
        if on.is_pipelined() {
            let_others_run().await;
            on.note_reaction_to_answer();
        }
        let mut response = match request.uri().path() {
            "/health/ready" => {
                let ready = self.driver.is_ready() && self.life.stage() == Stage::Serving;
                plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
            }
            _ => match self.read(request, on, fault, newcomer).await {
                Ok((inbound, id)) => self.ask(inbound, id, on).await,
                Err((status, why)) => {
                    tracing::debug!(status = status.as_u16(), why, "not taken");
                    plain(status, why)
                }
            },
        };
        on.note_answered();
        let ends_by_close = version == Version::HTTP_10 && response.body().size_hint().exact().is_none();
        on.ends_by_close.store(ends_by_close, Ordering::Relaxed);
        if self.life.stage() != Stage::Serving {
            on.heads.close();
        }
        // Guards against reading on behind a body that may have ended elsewhere, and against dropping a request that has
        // been read behind this one.
        if fault.is_some() || on.heads.is_closing() && !on.heads.has_next() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// A request that has been taken: it is in flight until its answer has ended.
    async fn ask(&self, inbound: Inbound, id: OpenId, on: &Arc<ClientConnection>) -> Response<Reply> {
        let ticket = self.metrics.take(inbound.class);
        let upload = match &inbound.outbound.body {
            RequestBody::Held(_) => None,
            RequestBody::Open(upload) => Some(upload.clone()),
        };
        let end = inbound.outbound.end.clone();
        if !end.lets_begin() {
            self.log_left_unread(&inbound);
            self.metrics.count(Count::LeftUnread);
            id.refuse();
            return final_response(Answer::Refused(None), ticket, on);
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
        if matches!(answer, Answer::Refused(_)) {
            id.refuse();
        }
        let Some(upload) = upload else { return final_response(answer, ticket, on) };
        match upload.fault() {
            Some(error) => {
                let (status, why) = improper(error);
                plain(status, why)
            }
            None => {
                tokio::spawn(upload.drain());
                final_response(answer, ticket, on)
            }
        }
    }

    /// Logs a request whose client had ended, and of many in a row how many have not been logged.
    fn log_left_unread(&self, inbound: &Inbound) {
        let passed_over = match self.left_unread_log.lock().unwrap_or_else(PoisonError::into_inner).next() {
            LogEntry::PassOver => return,
            LogEntry::Write { passed_over } => passed_over,
        };
        let (call, unread) = (inbound.outbound.headers.get("x-call-id"), inbound.since.elapsed());
        tracing::info!(?call, ?unread, passed_over, "refused: its client had ended before it was read");
    }

    /// Guards against requests that can't be read: they are answered as failed, and go nowhere.
    async fn read(
        &self, request: Request<Incoming>, on: &ClientConnection, fault: Option<FramingFault>,
        newcomer: Option<Instant>,
    ) -> Result<(Inbound, OpenId), Improper> {
        let (head, body) = request.into_parts();
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        // Guards against a second request hidden in the body of the first, and against running what no client sent.
        if let Some(fault) = fault {
            return Err(badly_framed(fault));
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
        let mut headers = head.headers;
        KEPT_BACK.iter().for_each(|name| drop(headers.remove(*name)));
        let patience = newcomer.map_or(BODY_PATIENCE, |since| NEWCOMER.saturating_sub(since.elapsed()));
        let intake = Intake::new(body, patience, on.heads.clone());
        // Before the body: its client may take long for that.
        if !hold_headers(&mut headers, &self.budget) {
            drop(headers);
            intake.skip().await.map_err(improper)?;
            return Err((StatusCode::SERVICE_UNAVAILABLE, "no room for its head"));
        }
        let uri = compact_uri(head.uri);
        let body = intake.read(&self.budget).await.map_err(improper)?;
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
        let id = headers.get("x-call-id").filter(|id| !id.is_empty()).ok_or(bad("no id"))?;
        let id = self.recent_ids.open(id.as_bytes()).ok_or(bad("an id that has been used"))?;
        headers.entry(HOST).or_insert(HeaderValue::from_static("origin.svc"));
        let outbound = Outbound { method: head.method, uri, headers, body, end };
        Ok((Inbound { outbound, class, tenant, cost, origin, budget, since, answer_by }, id))
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

/// What a client is answered whose body is not passed on for what it says of its framing.
fn badly_framed(fault: FramingFault) -> Improper {
    match fault {
        FramingFault::LengthAndChunked => (StatusCode::BAD_REQUEST, "both a length and chunked framing"),
        FramingFault::ChunkedTwice => (StatusCode::BAD_REQUEST, "chunked twice"),
        FramingFault::UnknownCoding => (StatusCode::NOT_IMPLEMENTED, "an unknown transfer coding"),
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::poll_fn;
    use std::task::Poll;
    use tokio::time::advance;

    fn four_connections() -> ClientLimits {
        ClientLimits { connections: 4, budget: Budget::new(0) }
    }

    #[tokio::test(start_paused = true)]
    async fn what_has_come_unread_as_its_connection_closes_is_answered() {
        for place_is_wanted in [false, true] {
            let config = Arc::new(Config::read(crate::config::tests::JSON, |_| None).expect("readable"));
            let (life, metrics) = (Arc::new(Life::new()), Metrics::new(&[]));
            let (limits, ids) = (four_connections(), RecentIds::new(None));
            let server =
                Server::new(config, Handle::new().0, life.clone(), metrics, limits, ids, Heartbeat::new());
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
        let (limits, ids) = (four_connections(), RecentIds::new(None));
        let server = Server::new(config, Handle::new().0, life, metrics, limits, ids, Heartbeat::new());
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
}
