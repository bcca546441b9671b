//! The door for operators: parses their calls, asks whoever owns what they are about, and words the answers.

use crate::bans::Bans;
use crate::handle::Handle;
use crate::life::{Life, Stage};
use crate::metrics::Metrics;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use percent_encoding::percent_decode_str;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Connections that the door holds at most. A call takes some ms, and who holds one without a word gives way, so
/// few are enough, and the clients' are not many where half is kept for another process.
pub const PLACES: usize = 8;
/// A call's head and its body each have to be here in this time; nobody needs longer on the machine itself.
const PATIENCE: Duration = Duration::from_secs(2);
/// The longest head of a call, the least that the HTTP library allows, and the longest body, which no call needs.
const MAX_HEAD: usize = 8 * 1024;
const MAX_BODY: usize = 1024;
/// A connection that has to give way does so at once; whoever answers takes no longer than this.
const GIVE_WAY: Duration = Duration::from_millis(200);
/// The wait after an accept that failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// The answer to a call: a status, and a line for a person to read.
type Said = (StatusCode, String);

/// Connections without a whole call as yet, the oldest first.
#[derive(Default)]
struct Silent {
    next: u64,
    waiting: VecDeque<(u64, AbortHandle)>,
}

pub struct Control {
    life: Arc<Life>,
    metrics: Arc<Metrics>,
    driver: Handle,
    bans: Arc<Bans>,
    places: Arc<Semaphore>,
    silent: Mutex<Silent>,
}

impl Control {
    pub fn new(life: Arc<Life>, metrics: Arc<Metrics>, driver: Handle, bans: Arc<Bans>) -> Arc<Control> {
        let (places, silent) = (Arc::new(Semaphore::new(PLACES)), Mutex::default());
        Arc::new(Control { life, metrics, driver, bans, places, silent })
    }

    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_AGAIN).await;
                continue;
            };
            let Some(place) = self.place().await else { continue };
            let mut silent = self.silent();
            let id = silent.next;
            silent.next += 1;
            let door = self.clone();
            let task = tokio::spawn(async move {
                door.serve(stream, id).await;
                door.heard(id);
                drop(place);
            });
            silent.waiting.push_back((id, task.abort_handle()));
        }
    }

    fn silent(&self) -> MutexGuard<'_, Silent> {
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This connection waits without a word no longer.
    fn heard(&self, id: u64) {
        self.silent().waiting.retain(|(other, _)| *other != id);
    }

    /// Guards against callers who hold connections without a whole call: the oldest of them gives way.
    async fn place(&self) -> Option<OwnedSemaphorePermit> {
        if self.places.available_permits() == 0
            && let Some((_, task)) = self.silent().waiting.pop_front()
        {
            task.abort();
        }
        timeout(GIVE_WAY, self.places.clone().acquire_owned()).await.ok()?.ok()
    }

    async fn serve(&self, stream: TcpStream, id: u64) {
        // Without it answers are merely slower.
        drop(stream.set_nodelay(true));
        let service = service_fn(|request| async move {
            let allowed = method(request.uri().path()).filter(|method| request.method() != method);
            let answer = match allowed {
                Some(method) => Err((StatusCode::METHOD_NOT_ALLOWED, format!("this call is a {method}"))),
                None => self.answer(request, id).await,
            };
            let (status, text) = answer.unwrap_or_else(|no| no);
            let mut response = Response::new(Full::new(Bytes::from(text + "\n")));
            *response.status_mut() = status;
            response.headers_mut().extend(allowed.map(|method| (ALLOW, HeaderValue::from_static(method))));
            Ok::<_, Infallible>(response)
        });
        let mut http = http1::Builder::new();
        // Who ends its sending with its call waits for the answer.
        http.keep_alive(false).half_close(true).max_buf_size(MAX_HEAD).timer(TokioTimer::new());
        http.header_read_timeout(PATIENCE);
        // Whatever ends it, there is nobody left to tell.
        drop(http.serve_connection(TokioIo::new(stream), service).await);
    }

    /// `Err` is a no: it has changed nothing.
    async fn answer(&self, request: Request<Incoming>, id: u64) -> Result<Said, Said> {
        let (head, body) = request.into_parts();
        let body = timeout(PATIENCE, Limited::new(body, MAX_BODY).collect()).await;
        let body = body.map_err(|_| no(StatusCode::REQUEST_TIMEOUT, "the call does not end"))?;
        body.map_err(|_| no(StatusCode::PAYLOAD_TOO_LARGE, "a broken or too long body"))?;
        self.heard(id);
        match head.uri.path() {
            "/ready" => self.ready(),
            "/metrics" => {
                let hosts = self.driver.hosts().await.ok_or_else(unanswered)?;
                Ok(yes(self.metrics.text(hosts).trim_end()))
            }
            "/drain" => {
                self.life.drain();
                Ok(yes("draining"))
            }
            "/undrain" => match self.life.stage() {
                Stage::Ending => Err(no(StatusCode::CONFLICT, "the process ends")),
                _ => {
                    self.life.undrain();
                    Ok(yes("taking clients"))
                }
            },
            "/upstreams/disable" => self.ban(head.uri.query(), true).await,
            "/upstreams/enable" => self.ban(head.uri.query(), false).await,
            _ => Err(no(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    /// One that is out stays known while it is, whether or not the list names it.
    async fn ban(&self, query: Option<&str>, out: bool) -> Result<Said, Said> {
        let name = name(query.unwrap_or_default())?;
        if !self.driver.lists(&name).await && !self.bans.holds(&name).await {
            return Err(no(StatusCode::NOT_FOUND, "no upstream has this id"));
        }
        match self.bans.change(&name, out, &self.driver).await {
            Ok(()) => Ok(yes(if out { "out of use" } else { "in use" })),
            Err(error) => {
                tracing::warn!("bans: {error}");
                Err(no(StatusCode::INTERNAL_SERVER_ERROR, &format!("not changed: {error}")))
            }
        }
    }

    /// A process that drains can serve; one that ends can't.
    fn ready(&self) -> Result<Said, Said> {
        if self.life.stage() == Stage::Ending {
            return Err(no(StatusCode::SERVICE_UNAVAILABLE, "the process ends"));
        }
        if !self.driver.is_ready() {
            return Err(no(StatusCode::SERVICE_UNAVAILABLE, "no upstream is known"));
        }
        Ok(yes("ready"))
    }
}

/// The method of a call; `None` where there is no such call.
fn method(path: &str) -> Option<&'static str> {
    match path {
        "/ready" | "/metrics" => Some("GET"),
        "/drain" | "/undrain" | "/upstreams/disable" | "/upstreams/enable" => Some("PUT"),
        _ => None,
    }
}

/// The one `name` of a query. Guards against an id that is cut or spelt wrong on its way: it would be another's.
fn name(query: &str) -> Result<String, Said> {
    let bad = |why| no(StatusCode::BAD_REQUEST, why);
    let mut names = query.split('&').filter_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key == "name").then_some(value)
    });
    let (Some(text), None) = (names.next(), names.next()) else {
        return Err(bad("one `name` is needed"));
    };
    let escaped =
        |rest: &str| rest.as_bytes().get(..2).is_some_and(|hex| hex.iter().all(u8::is_ascii_hexdigit));
    if !text.split('%').skip(1).all(escaped) {
        return Err(bad("a broken escape in `name`"));
    }
    let name = percent_decode_str(text).decode_utf8().map_err(|_| bad("`name` is no text"))?;
    if name.is_empty() {
        return Err(bad("`name` is empty"));
    }
    Ok(name.into_owned())
}

fn yes(text: &str) -> Said {
    (StatusCode::OK, text.to_owned())
}

fn no(status: StatusCode, text: &str) -> Said {
    (status, text.to_owned())
}

fn unanswered() -> Said {
    no(StatusCode::INTERNAL_SERVER_ERROR, "the process is about to end")
}
