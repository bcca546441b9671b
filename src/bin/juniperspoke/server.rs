//! The application's side: reads its requests, hands them to the driver and writes the answers.
//!
//! Anyone may connect. What is no proper request of the application's goes no further: an upstream would
//! answer it with an error, and the module would book that as the upstream's own.

use crate::config::{Config, flat_name};
use crate::driver::{Answer, Handle, Inbound};
use crate::life::{Life, Stage};
use crate::metrics::{Ending, Metrics};
use crate::upstream::{MAX_BODY, Outbound};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use micapier::api::{Origin, Repeat};
use std::collections::HashSet;
use std::convert::Infallible;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
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
/// The most that is read ahead on a connection, and so the longest head of a request: some times that of the
/// longest the application sends, and little enough that a peer on every connection cannot fill the memory.
const MAX_HEAD: usize = 16 * 1024;
/// So many request ids are remembered at least. A copy comes while its original is out or soon after.
const REMEMBERED: usize = 8_192;
/// The wait after an accept that failed, as when there are no descriptors left.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Where there is no room, connections are asked again after this time to give way.
const GIVE_WAY: Duration = Duration::from_secs(1);
/// A connection is closed when no head of a request has come for so long, and a request is answered as failed
/// when its body takes so long after that. Whoever connects is owed an error or a close within 3 s in all,
/// and a connection without a request is not to be closed before 2 s.
const HEAD_PATIENCE: Duration = Duration::from_millis(2_100);
const BODY_PATIENCE: Duration = Duration::from_millis(600);

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
    /// Bumped to close connections that are between requests.
    close_idle: watch::Sender<()>,
    room: Arc<Semaphore>,
    /// Connections that have carried a request and are still open.
    used: AtomicUsize,
    /// All that are open.
    open: AtomicUsize,
    accepted: watch::Sender<Instant>,
}

impl Server {
    pub fn new(
        config: Arc<Config>, driver: Handle, life: Arc<Life>, metrics: Arc<Metrics>, most: usize,
    ) -> Arc<Server> {
        Arc::new(Server {
            config,
            driver,
            seen: Mutex::default(),
            life,
            metrics,
            close_idle: watch::Sender::new(()),
            room: Arc::new(Semaphore::new(most)),
            used: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            accepted: watch::Sender::new(Instant::now()),
        })
    }

    /// Is every answer written, and has nobody come for so long?
    pub fn is_quiet(&self, newcomers: Duration) -> bool {
        self.used.load(Ordering::Relaxed) == 0 && self.accepted.borrow().elapsed() >= newcomers
    }

    /// Is no connection open, not even one whose first request may be on its way?
    pub fn is_empty(&self) -> bool {
        self.open.load(Ordering::Relaxed) == 0
    }

    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut failing = false;
        loop {
            let permit = self.permit().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    failing = false;
                    self.accepted.send_replace(Instant::now());
                    let server = self.clone();
                    self.open.fetch_add(1, Ordering::Relaxed);
                    tokio::spawn(async move {
                        server.clone().serve(stream).await;
                        server.open.fetch_sub(1, Ordering::Relaxed);
                        drop(permit);
                    });
                }
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        eprintln!("accept: {error}");
                    }
                    self.close_idle.send_replace(());
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    /// Guards against running out of descriptors: connections between requests give way, and newcomers wait.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.room.available_permits() == 0 {
                self.close_idle.send_replace(());
            }
            if let Ok(permit) = timeout(GIVE_WAY, self.room.clone().acquire_owned()).await {
                return permit.ok();
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        // Without it answers are merely slower.
        drop(stream.set_nodelay(true));
        let used = AtomicBool::new(false);
        let service = service_fn(|request| {
            if !used.swap(true, Ordering::Relaxed) {
                self.used.fetch_add(1, Ordering::Relaxed);
            }
            let server = self.clone();
            async move { Ok::<_, Infallible>(server.answer(request).await) }
        });
        let (mut close_idle, mut life, mut closed) = (self.close_idle.subscribe(), self.life.watch(), None);
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_HEAD).timer(TokioTimer::new()).header_read_timeout(HEAD_PATIENCE);
        let connection = http.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        loop {
            let due = life.borrow_and_update().close_idle.filter(|due| closed != Some(*due));
            tokio::select! {
                // First reads what has come: what is closed on is not known to be on its way.
                biased;
                // Whatever ends it, whoever waited on it has left.
                _ = connection.as_mut() => break,
                Ok(()) = life.changed() => continue,
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => closed = due,
                _ = close_idle.changed() => {}
            }
            // Guards against closing on a newcomer whose first request is on its way.
            if used.load(Ordering::Relaxed) {
                connection.as_mut().graceful_shutdown();
            }
        }
        if used.load(Ordering::Relaxed) {
            self.used.fetch_sub(1, Ordering::Relaxed);
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let since = Instant::now();
        let mut response = match request.uri().path() {
            "/health/ready" => {
                let ready = self.driver.is_ready() && self.life.stage() == Stage::Serving;
                plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
            }
            _ => match self.read(request, since).await {
                Ok(inbound) => {
                    let ticket = self.metrics.take(inbound.class);
                    let answer = self.driver.ask(inbound).await;
                    ticket.end(answer.ending());
                    worded(answer)
                }
                Err((status, why)) => plain(status, why),
            },
        };
        if self.life.stage() != Stage::Serving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Guards against requests that can't be read: they are answered as failed, and go nowhere.
    async fn read(&self, request: Request<Incoming>, since: Instant) -> Result<Inbound, Improper> {
        let (head, body) = request.into_parts();
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        let class = text(&head.headers, "x-call-class").map(flat_name);
        let class = self.config.surroundings.classes.iter().position(|name| Some(name) == class.as_ref());
        let class = class.ok_or(bad("no such class"))?;
        let budget = seconds(&head.headers, "x-budget").ok_or(bad("no readable budget"))?;
        let repeat = self.config.settings.classes.get(class).ok_or(bad("no such class"))?.repeat;
        check(&head, repeat)?;
        let cost = text(&head.headers, "x-call-cost").and_then(|us| us.trim().parse::<f64>().ok());
        let cost = cost.and_then(|us| Duration::try_from_secs_f64(us / 1e6).ok());
        let again = text(&head.headers, "x-again") == Some("1");
        let origin = if again { Origin::ClientRetry } else { Origin::Fresh };
        let body = timeout(budget.min(BODY_PATIENCE), Limited::new(body, MAX_BODY).collect()).await;
        let body = body.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "a body that does not end"))?;
        let body = body.map_err(|_| (StatusCode::PAYLOAD_TOO_LARGE, "a broken or too long body"))?.to_bytes();
        if repeat == Repeat::Safe && !body.is_empty() {
            return Err(bad("a body where the class has none"));
        }
        let id = head.headers.get("x-call-id").filter(|id| !id.is_empty()).ok_or(bad("no id"))?;
        if !self.seen.lock().unwrap_or_else(PoisonError::into_inner).is_new(id.as_bytes()) {
            return Err(bad("an id that has been used"));
        }
        let mut headers = head.headers;
        KEPT_BACK.iter().for_each(|name| drop(headers.remove(*name)));
        headers.entry(HOST).or_insert(HeaderValue::from_static("origin.svc"));
        let outbound = Outbound { method: head.method, uri: head.uri, headers, body };
        Ok(Inbound { outbound, class, cost, origin, budget, since })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn seconds(headers: &HeaderMap, name: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text(headers, name)?.trim().parse::<f64>().ok()?).ok()
}

/// Is this head one that the application sends for a request that may be repeated so?
fn check(head: &Parts, repeat: Repeat) -> Result<(), Improper> {
    let key = head.headers.get("idempotency-key").is_some_and(|key| !key.is_empty());
    if head.method != if repeat == Repeat::Safe { Method::GET } else { Method::POST } {
        return Err((StatusCode::BAD_REQUEST, "not the method of the class"));
    }
    // Guards against repeating what no upstream could tell from the first.
    if matches!(repeat, Repeat::Keyed { .. }) && !key {
        return Err((StatusCode::BAD_REQUEST, "no key"));
    }
    // Guards against a second request hidden in the body of the first: where both framings are given, the
    // length is gone by now, and with it the means to tell that they differ.
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err((StatusCode::LENGTH_REQUIRED, "a body without a length"));
    }
    Ok(())
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

impl Answer {
    fn ending(&self) -> Ending {
        match self {
            Answer::Served(..) => Ending::Success,
            Answer::Refused(_) => Ending::Busy,
            Answer::Failed => Ending::Failure,
        }
    }
}

/// The final answer in HTTP.
fn worded(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(body, content_type) => {
            let mut response = Response::new(Full::new(body));
            response.headers_mut().extend(content_type.map(|value| (CONTENT_TYPE, value)));
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        Answer::Refused(retry_after) => {
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
