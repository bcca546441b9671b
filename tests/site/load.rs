//! A load over the sidecars of a fleet: each client comes at its rate whatever became of the last, bounded in number
//! and time. One thread carries it all.

use super::{CLASSES, Fleet, SAFE, SITES, TENANTS, UNSAFE};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::time::{sleep_until, timeout};

/// Requests of a sidecar's clients that are out at once; one more is not sent, and counted as lost.
const MOST_OUT: usize = 128;
/// What a client waits; the sidecar is told of less, for the way.
const BUDGET: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_secs(5);

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    pub tenant: usize,
    pub class: usize,
    pub cost_ms: f64,
}

impl Ask {
    /// By the number of the request: eight of ten are safe and cheap to repeat, one is keyed and one may run once;
    /// tenants by their shares.
    pub fn usual(number: usize, cost_ms: f64) -> Ask {
        let class = [SAFE, SAFE, SAFE, SAFE, 1, SAFE, SAFE, SAFE, SAFE, UNSAFE][number % 10];
        Ask { tenant: usize::from(number / 10 % 10 >= 6), class, cost_ms }
    }
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Done {
    pub at: Instant,
    pub sidecar: usize,
    /// The client's site.
    pub from: usize,
    pub ask: Ask,
    /// 0 where no answer came.
    pub status: u16,
    pub retry_after: bool,
    pub took: Duration,
}

/// A load that runs.
pub struct Load {
    done: Arc<Mutex<Vec<Done>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Load {
    /// Each sidecar gets `rate` requests a second, what they are by their number, for at most `most`.
    pub fn start(
        fleet: &Fleet, rate: f64, most: Duration, ask: impl Fn(usize) -> Ask + Send + Sync + 'static,
    ) -> Load {
        let (done, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let (sidecars, addrs, ask) = (fleet.size.sidecars, fleet.addrs.clone(), Arc::new(ask));
        let (done_of, stop_of) = (done.clone(), stop.clone());
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let clients = (0..sidecars).map(|i| {
                    let (addrs, done) = (addrs.clone(), done_of.clone());
                    let client = Client { sidecar: i, addrs, done, ..Client::default() };
                    let phase = i as f64 / sidecars as f64 / rate;
                    tokio::spawn(come(Arc::new(client), rate, phase, most, ask.clone(), stop_of.clone()))
                });
                for client in clients.collect::<Vec<_>>() {
                    let _ = client.await;
                }
                // What is still out has its answer or is lost by then.
                tokio::time::sleep(BUDGET + Duration::from_millis(200)).await;
            });
        });
        Load { done, stop, thread: Some(thread) }
    }

    /// How many requests have ended: a place in what was done.
    pub fn mark(&self) -> usize {
        self.done.lock().expect("no panic").len()
    }

    /// What has ended from a place on.
    pub fn since(&self, mark: usize) -> Vec<Done> {
        self.done.lock().expect("no panic")[mark..].to_vec()
    }

    /// Waits until so many more requests have ended.
    pub fn more(&self, count: usize) {
        let (mark, began) = (self.mark(), Instant::now());
        while self.mark() < mark + count {
            assert!(began.elapsed() < Duration::from_secs(60), "{count} more requests");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Ends the load; answers all that was done.
    pub fn finish(mut self) -> Vec<Done> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().expect("joined once").join().expect("no panic");
        self.since(0)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

type Kept = SendRequest<Full<Bytes>>;

/// The clients of one sidecar.
#[derive(Default)]
struct Client {
    sidecar: usize,
    addrs: Arc<Mutex<Vec<SocketAddr>>>,
    kept: Mutex<Vec<(SocketAddr, Kept)>>,
    out: AtomicUsize,
    done: Arc<Mutex<Vec<Done>>>,
}

async fn come(
    client: Arc<Client>, rate: f64, phase: f64, most: Duration,
    ask: Arc<impl Fn(usize) -> Ask + Send + Sync>, stop: Arc<AtomicBool>,
) {
    let began = tokio::time::Instant::now();
    for number in 0..(rate * most.as_secs_f64()) as usize {
        sleep_until(began + Duration::from_secs_f64(phase + number as f64 / rate)).await;
        if stop.load(Ordering::Relaxed) {
            return;
        }
        // Sidecars begin at different places, so that no two ask for the same at once.
        let (client, ask) = (client.clone(), ask(number + 7 * client.sidecar));
        tokio::spawn(async move {
            let (at, out) = (Instant::now(), client.out.fetch_add(1, Ordering::Relaxed));
            let answer =
                if out < MOST_OUT { timeout(PATIENCE, client.ask(ask)).await.ok().flatten() } else { None };
            client.out.fetch_sub(1, Ordering::Relaxed);
            let (status, retry_after) = answer.unwrap_or((0, false));
            let (sidecar, from) = (client.sidecar, client.sidecar % SITES.len());
            let done = Done { at, sidecar, from, ask, status, retry_after, took: at.elapsed() };
            client.done.lock().expect("no panic").push(done);
        });
    }
}

impl Client {
    async fn connection(&self) -> Option<(SocketAddr, Kept)> {
        let addr = self.addrs.lock().expect("no panic")[self.sidecar];
        while let Some((to, kept)) = { self.kept.lock().expect("no panic").pop() } {
            if to == addr && kept.is_ready() {
                return Some((to, kept));
            }
        }
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (kept, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some((addr, kept))
    }

    /// The status, and whether it names a time to come back.
    async fn ask(&self, ask: Ask) -> Option<(u16, bool)> {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let id = format!("{}-{}", self.sidecar, NUMBER.fetch_add(1, Ordering::Relaxed));
        let (addr, mut kept) = self.connection().await?;
        let method = if ask.class == SAFE { Method::GET } else { Method::POST };
        let request = Request::builder()
            .method(method)
            .uri("/api")
            .header("Host", "origin.svc")
            .header("X-Call-Id", &id)
            .header("X-Call-Class", CLASSES[ask.class].0)
            .header("X-Call-Cost", ((ask.cost_ms * 1e3) as u64).to_string())
            .header("X-Caller", TENANTS[ask.tenant].0)
            .header("X-Test-Site", SITES[self.sidecar % SITES.len()].0)
            .header("X-Budget", BUDGET.as_secs_f64().to_string())
            .header("Idempotency-Key", &id);
        let answer = kept.send_request(request.body(Full::default()).expect("a request")).await.ok()?;
        let (status, retry_after) = (answer.status().as_u16(), answer.headers().contains_key("retry-after"));
        let _ = answer.into_body().collect().await.ok()?;
        self.kept.lock().expect("no panic").push((addr, kept));
        Some((status, retry_after))
    }
}
