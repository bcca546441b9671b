//! The sidecar's side of the fleet's control plane: a thread of its own that reports and follows the plan. It decides
//! nothing, and requests never wait for it: it and the driver hand over by messages that neither waits to send.

use crate::calls::CallError;
use crate::config::{Config, FleetCalls};
use crate::connection::TcpConnection;
use crate::handle::{Handle, Happening};
use crate::instances::Instances;
use crate::read_sizes::ReadSizes;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use micapier::fleet::plan::{Held, Plan};
use micapier::fleet::report::Report;
use micapier::fleet::route::{Names, Route};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use std::{io, thread};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Descriptors of the thread: a connection for reports, one for the plan, and those of its own event loop.
pub const PLACES: usize = 6;
/// A call that should be answered at once has failed when it is not by then.
const PATIENCE: Duration = Duration::from_secs(1);
/// How long a watch of the plan may wait; silent for longer than this and the patience, it is broken.
const WATCH: Duration = Duration::from_secs(2);
/// The pause before the next watch where the last one came back at once with nothing new, as before the first plan.
const PAUSE: Duration = Duration::from_millis(500);
/// Reports that don't wait for their turn come no closer than this.
const EARLY: Duration = Duration::from_millis(250);
/// A plan is some kilobytes: shares by site and tenant. The answer to a report has no use.
const MAX_PLAN: usize = 1024 * 1024;
const MAX_ANSWER: usize = 64 * 1024;
/// Reports and watches begin at instances of their own.
const OTHER_SEED: u64 = 1 << 63;

/// One kept connection to the instance asked last.
struct Line(Option<(SocketAddr, TcpConnection<Full<Bytes>>)>);

impl Line {
    /// One call. What fails or is given up leaves no connection behind.
    async fn call(
        &mut self, to: SocketAddr, request: hyper::http::request::Builder, body: Vec<u8>, most: usize,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut connection = match self.0.take() {
            Some((addr, kept)) if addr == to && !kept.sender.is_closed() => kept,
            _ => TcpConnection::open(to, (), ReadSizes::large()).await.map_err(CallError::Connect)?,
        };
        let request = request.header("Host", to.to_string()).body(Full::new(Bytes::from(body)))?;
        connection.sender.ready().await?;
        let answer = connection.sender.send_request(request).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), most).collect().await.map_err(CallError::Body)?;
        self.0 = Some((to, connection));
        Ok((status, body.to_bytes()))
    }
}

struct Fleet {
    config: Arc<Config>,
    /// Another process of this sidecar may run beside this one.
    shared: bool,
    driver: Handle,
    dark: Arc<Notify>,
    /// Where the plan's clock begins.
    origin: Instant,
    held: RefCell<Held>,
}

/// Starts the thread, if the configuration makes the sidecar part of a fleet. It goes with the process. `shared` says
/// that another process of the sidecar may run beside this one.
pub fn start(config: Arc<Config>, driver: Handle, dark: Arc<Notify>, shared: bool) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = move || {
        let (origin, held) = (Instant::now(), RefCell::new(Held::default()));
        let fleet = Fleet { config, shared, driver, dark, origin, held };
        if let Some(calls) = &fleet.config.fleet {
            runtime.block_on(async { tokio::join!(fleet.report(calls), fleet.follow(calls)) });
        }
    };
    thread::Builder::new().name("fleet".to_owned()).spawn(run).map(drop)
}

impl Fleet {
    fn names(&self) -> Names<'_> {
        let names = &self.config.surroundings;
        Names { zones: &names.zones, tenants: &names.tenants, classes: &names.classes }
    }

    fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    /// Who reports. Of two processes of one sidecar under one name only the later one's reports would count, while
    /// both serve for the seconds of an upgrade. So each is an origin of its own where there may be two: what both
    /// count adds up, a site has two votes of that sidecar for as long as both see it, and the elder's last report
    /// ceases to count after 3 s like any other. One that has sent nothing yet has no vote.
    fn reporter(&self, incarnation: u64) -> String {
        let name = &self.config.name;
        if self.shared { format!("{name}+{incarnation}") } else { name.clone() }
    }

    /// Reports for good: in turn, and early when a site newly looks dark. One that fails goes to the next instance,
    /// as it may tell of the loss that has taken the first. What none takes is gone: an answer of before a loss must
    /// not light in a later report what has gone dark since.
    async fn report(&self, calls: &FleetCalls) {
        let Some(mut peers) = Instances::new(calls.peers.clone(), self.config.seed) else { return };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = unix.as_millis() as u64;
        let (mut line, mut sequence, mut since, mut failing) = (Line(None), 0, self.origin, false);
        // The fleet's reports are spread over the time between two.
        let spread = fastrand::Rng::with_seed(self.config.seed).f64();
        let mut due = self.origin + calls.every.mul_f64(spread);
        loop {
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.dark.notified() => sleep_until(due.min(since + EARLY)).await,
            }
            let Some(tally) = self.driver.counts().await else { return };
            let begun = Instant::now();
            let sights = tally.sights(self.names());
            let (demand, traffic) = tally.lines(self.names());
            sequence += 1;
            let held = self.held.borrow().acting_since(self.now_ms());
            let zone = usize::from(self.config.settings.zone);
            let report = Report {
                origin: self.reporter(incarnation),
                incarnation,
                sequence,
                site: self.config.surroundings.zones.get(zone).cloned().unwrap_or_default(),
                span_ms: (begun.duration_since(since).as_millis() as u64).max(1),
                demand,
                traffic,
                sights,
                plan: held,
            };
            since = begun;
            due = begun + calls.every;
            for _ in 0..peers.count() {
                let called = Instant::now();
                let sent = timeout(PATIENCE, send(&mut line, peers.current(), &report)).await;
                let Err(error) = sent.unwrap_or(Err(CallError::Silent)) else {
                    peers.answered();
                    failing = false;
                    break;
                };
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!("fleet: a report failed: {error}");
                }
                line = Line(None);
                sleep(peers.failed(called.elapsed())).await;
            }
        }
    }

    /// Follows the plan for good.
    async fn follow(&self, calls: &FleetCalls) {
        let Some(mut peers) = Instances::new(calls.peers.clone(), self.config.seed ^ OTHER_SEED) else {
            return;
        };
        let (mut line, mut failing) = (Line(None), false);
        loop {
            let called = Instant::now();
            let answer = timeout(WATCH + PATIENCE, self.watch(&mut line, peers.current())).await;
            match answer.unwrap_or(Err(CallError::Silent)) {
                Ok(is_new) => {
                    peers.answered();
                    failing = false;
                    if !is_new && called.elapsed() < PAUSE {
                        sleep(PAUSE).await;
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!("fleet: no plan: {error}");
                    }
                    line = Line(None);
                    sleep(peers.failed(called.elapsed())).await;
                }
            }
        }
    }

    /// Waits for a plan newer than the one held and tells the driver of it; whether there was one. An older one is
    /// an error: its instance is behind.
    async fn watch(&self, line: &mut Line, at: SocketAddr) -> Result<bool, CallError> {
        let held = self.held.borrow().highest();
        let uri = format!("/fleet/plan?index={}&wait={}", held.version, WATCH.as_millis());
        let (status, body) = line.call(at, Request::get(uri), Vec::new(), MAX_PLAN).await?;
        match status {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(false),
            status => return Err(CallError::Status(status)),
        }
        let plan: Plan = serde_json::from_slice(&body)?;
        if plan.mark == held {
            return Ok(false);
        }
        let (now, valid) = (Instant::now(), Duration::from_millis(plan.valid_ms));
        let route = Route::resolve(&plan, self.config.settings.zone, self.names());
        self.held.borrow_mut().take(plan, self.now_ms())?;
        self.driver.tell(Happening::Plan(Arc::new(route), now + valid));
        Ok(true)
    }
}

/// One as new is held there (409): the planner has it, so there is nothing to send anywhere else.
async fn send(line: &mut Line, to: SocketAddr, report: &Report) -> Result<(), CallError> {
    let request = Request::post("/fleet/reports").header("Content-Type", "application/json");
    let (status, _) = line.call(to, request, serde_json::to_vec(report)?, MAX_ANSWER).await?;
    let held = status.is_success() || status == StatusCode::CONFLICT;
    if held { Ok(()) } else { Err(CallError::Status(status)) }
}
