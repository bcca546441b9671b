//! Stand-in upstreams with a capacity: cores that take the time a request's cost names, a bounded queue, a cold start
//! and the fall of a server that gets too much in it. One thread serves them all.

use super::{COLD_FROM, CORES, FALL_MULTIPLE};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::sleep;

/// Requests that wait at a server for each of its cores; more are turned away.
const QUEUE_A_CORE: usize = 16;
/// The time over which what a cold server got is held against its capacity.
const FALL_WINDOW: Duration = Duration::from_secs(1);
/// The cost of a request that names none.
const COST_MS: f64 = 5.0;

/// What has befallen a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteFault {
    Up,
    /// Takes connections and requests, and never answers.
    Silent,
    /// Resets connections; a newcomer once its request was read, so that it is counted.
    Loud,
    /// Answers only what comes from its own site.
    CutFromOthers,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Begun {
    pub at: Instant,
    pub site: usize,
    pub server: usize,
    /// The site of the client, as its header says.
    pub from: String,
    pub tenant: String,
    pub class: String,
    pub id: String,
    pub cost_ms: f64,
    /// Whether it ran, as far as its caller can know: all but what was turned away.
    pub ran: bool,
    /// What the server had got of what makes it fall, from 0 to 1; `None` for a warm one.
    pub cold_use: Option<f64>,
}

impl Begun {
    /// The sidecar that its client called.
    pub fn sidecar(&self) -> usize {
        self.id.split('-').next().and_then(|text| text.parse().ok()).expect("an id of the load")
    }
}

/// What a server has to do.
struct Work {
    addr: SocketAddr,
    /// When each core has done what it was given.
    free_at: [Instant; CORES],
    /// The ends of what is there, done or not.
    holds: VecDeque<Instant>,
    /// Its start, with the Unix time in ms; `None` for one that is warm since long ago.
    started: Option<(Instant, u64)>,
    recent: VecDeque<(Instant, f64)>,
    fell: bool,
    /// Ends what listens and all connections when dropped.
    _alive: watch::Sender<()>,
}

struct Shared {
    ramp: Duration,
    faults: Vec<watch::Sender<SiteFault>>,
    servers: Vec<Vec<Mutex<Work>>>,
    /// More time for each answer, by site and tenant (empty: any).
    extra: Mutex<HashMap<(usize, String), Duration>>,
    log: Mutex<Vec<Begun>>,
    falls: Mutex<usize>,
}

/// The stand-ins of all sites.
pub struct Stand {
    shared: Arc<Shared>,
    runtime: Handle,
    /// Ends the thread when dropped.
    _alive: oneshot::Sender<()>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic")
}

impl Work {
    fn new(addr: SocketAddr, started: Option<(Instant, u64)>, alive: watch::Sender<()>) -> Work {
        let (free_at, holds, recent) = ([Instant::now(); CORES], VecDeque::new(), VecDeque::new());
        Work { addr, free_at, holds, started, recent, fell: false, _alive: alive }
    }

    /// The part of its capacity that it has now.
    fn warmth(&self, now: Instant, ramp: Duration) -> f64 {
        let since = self.started.map(|(at, _)| now.saturating_duration_since(at));
        since.map_or(1.0, |since| {
            (COLD_FROM + (1.0 - COLD_FROM) * since.as_secs_f64() / ramp.as_secs_f64()).min(1.0)
        })
    }

    /// Takes a request: when it is done, or `None` where it is turned away; and how near a cold server is to its fall.
    fn take(&mut self, now: Instant, cost_ms: f64, ramp: Duration) -> (Option<Instant>, Option<f64>) {
        let warmth = self.warmth(now, ramp);
        self.recent.push_back((now, cost_ms));
        while self.recent.front().is_some_and(|(at, _)| now - *at > FALL_WINDOW) {
            self.recent.pop_front();
        }
        let got: f64 = self.recent.iter().map(|(_, cost)| cost).sum();
        let bound = FALL_MULTIPLE * warmth * CORES as f64 * FALL_WINDOW.as_millis() as f64;
        let cold_use = (warmth < 1.0).then_some(got / bound);
        self.fell |= cold_use.is_some_and(|used| used > 1.0);
        while self.holds.front().is_some_and(|end| *end <= now) {
            self.holds.pop_front();
        }
        if self.holds.len() >= CORES * (1 + QUEUE_A_CORE) {
            return (None, cold_use);
        }
        let core = self.free_at.iter_mut().min().expect("a core");
        *core = (*core).max(now) + Duration::from_secs_f64(cost_ms / warmth / 1e3);
        let end = *core;
        let at = self.holds.partition_point(|other| *other <= end);
        self.holds.insert(at, end);
        (Some(end), cold_use)
    }
}

impl Stand {
    pub fn start(sites: usize, servers: usize, ramp: Duration) -> Stand {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let handle = runtime.handle().clone();
        let (alive, ended) = oneshot::channel::<()>();
        let mut listeners = Vec::new();
        let mut start = |site: usize, server: usize| {
            let (listener, work) = Stand::listen(&handle, None);
            listeners.push(((site, server), listener));
            Mutex::new(work)
        };
        let servers =
            (0..sites).map(|site| (0..servers).map(|server| start(site, server)).collect()).collect();
        let faults = (0..sites).map(|_| watch::Sender::new(SiteFault::Up)).collect();
        let (extra, log, falls) = Default::default();
        let shared = Arc::new(Shared { ramp, faults, servers, extra, log, falls });
        for (place, (listener, alive)) in listeners {
            handle.spawn(serve(shared.clone(), place, listener, alive));
        }
        thread::spawn(move || runtime.block_on(ended));
        Stand { shared, runtime: handle, _alive: alive }
    }

    fn listen(
        runtime: &Handle, started: Option<(Instant, u64)>,
    ) -> ((TcpListener, watch::Receiver<()>), Work) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("set");
        let addr = listener.local_addr().expect("an address");
        let _inside = runtime.enter();
        let listener = TcpListener::from_std(listener).expect("a listener");
        let (alive, ends) = watch::channel(());
        ((listener, ends), Work::new(addr, started, alive))
    }

    /// The servers of a site in discovery's form.
    pub fn lines(&self, site: usize, name: &str) -> Vec<Value> {
        let servers = self.shared.servers[site].iter().enumerate();
        let line = |(i, work): (usize, &Mutex<Work>)| {
            let work = locked(work);
            json!({"id": format!("{name}-{i}"), "host_port": work.addr.to_string(), "locality": name, "flavor": "m",
                "cell": site, "phase": "Ready", "size": 1.0, "up_since_ms": work.started.map_or(0, |(_, ms)| ms)})
        };
        servers.map(line).collect()
    }

    pub fn set(&self, site: usize, fault: SiteFault) {
        self.shared.faults[site].send_replace(fault);
    }

    /// Answers of a site take so much longer, for a tenant or (where it is empty) for all.
    pub fn delay(&self, site: usize, tenant: &str, extra: Duration) {
        locked(&self.shared.extra).insert((site, tenant.to_owned()), extra);
    }

    /// Every server of a site starts anew, on a port of its own, cold; what was open there ends.
    pub fn restart_cold(&self, site: usize) {
        self.set(site, SiteFault::Up);
        let unix = super::unix_ms();
        for (server, work) in self.shared.servers[site].iter().enumerate() {
            let ((listener, alive), new) = Stand::listen(&self.runtime, Some((Instant::now(), unix)));
            *locked(work) = new;
            self.runtime.spawn(serve(self.shared.clone(), (site, server), listener, alive));
        }
    }

    /// How many servers fell over.
    pub fn falls(&self) -> usize {
        *locked(&self.shared.falls)
    }

    /// How many requests reached a server so far: a place in the log.
    pub fn mark(&self) -> usize {
        locked(&self.shared.log).len()
    }

    /// The requests from a place in the log on.
    pub fn since(&self, mark: usize) -> Vec<Begun> {
        locked(&self.shared.log)[mark..].to_vec()
    }
}

/// The place of a server: its site, and its number there.
type Place = (usize, usize);

async fn serve(shared: Arc<Shared>, at: Place, listener: TcpListener, mut alive: watch::Receiver<()>) {
    loop {
        tokio::select! {
            _ = alive.changed() => return,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(carry(shared.clone(), at, stream, alive.clone()));
                }
            }
        }
    }
}

/// Serves a connection until it ends, or until the site or the server resets it.
async fn carry(shared: Arc<Shared>, at: Place, stream: TcpStream, mut alive: watch::Receiver<()>) {
    let (mut fault, reset) = (shared.faults[at.0].subscribe(), Notify::new());
    fault.mark_unchanged();
    let service = service_fn(|request| answer(&shared, at, &reset, request));
    let mut http =
        http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(stream), service);
    loop {
        tokio::select! {
            _ = &mut http => return,
            _ = alive.changed() => break,
            () = reset.notified() => break,
            Ok(()) = fault.changed() => if *fault.borrow_and_update() == SiteFault::Loud { break },
        }
    }
    let stream = http.into_parts().io.into_inner();
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

async fn answer(
    shared: &Shared, (site, server): Place, reset: &Notify, request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let now = Instant::now();
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (from, tenant) = (header("x-test-site"), header("x-caller"));
    let cost_ms = header("x-call-cost").parse::<f64>().map_or(COST_MS, |us| us / 1e3);
    let at_home = from == super::SITES[site].0;
    let heard = || match *shared.faults[site].borrow() {
        SiteFault::Up => true,
        SiteFault::CutFromOthers => at_home,
        SiteFault::Silent | SiteFault::Loud => false,
    };
    let (class, id) = (header("x-call-class"), header("x-call-id"));
    let (mut done, mut cold_use, mut fell) = (Some(now), None, false);
    if heard() {
        let mut work = locked(&shared.servers[site][server]);
        let fallen = work.fell;
        (done, cold_use) = work.take(now, cost_ms, shared.ramp);
        fell = work.fell;
        if fell && !fallen {
            *locked(&shared.falls) += 1;
        }
    }
    let (at, ran) = (now, done.is_some());
    let extra = {
        let extra = locked(&shared.extra);
        let of = |tenant: &str| extra.get(&(site, tenant.to_owned())).copied().unwrap_or_default();
        of("") + of(&tenant)
    };
    let begun = Begun { at, site, server, from, tenant, class, id, cost_ms, ran, cold_use };
    locked(&shared.log).push(begun);
    if fell || *shared.faults[site].borrow() == SiteFault::Loud {
        reset.notify_one();
        return pending().await;
    }
    if !heard() {
        return pending().await;
    }
    let _ = request.into_body().collect().await;
    let Some(done) = done else {
        let response = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).header("X-Rejected", "1");
        return Ok(response.body(Full::new(Bytes::new())).expect("an answer"));
    };
    sleep(done.saturating_duration_since(Instant::now()) + extra).await;
    if !heard() {
        return pending().await;
    }
    Ok(Response::new(Full::new(Bytes::from_static(b"served"))))
}
