//! Upstreams, discovery and an application for tests, on loopback sockets with ports from the kernel.
#![allow(dead_code)]

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// One customer's part of the configuration. Tests name a class by what it is to the first one.
struct Deployment {
    /// Each class of the first as this one names it.
    classes: [(&'static str, &'static str); 3],
    tenant: &'static str,
    settings: fn() -> Value,
    limits: fn() -> Value,
}

/// The second has other names, zones, effects, limits and costs, and asks discovery. Of the names some are those of the
/// first with another effect, some each other's beginnings, and two differ by case alone.
const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        classes: [("pay", "pay"), ("report", "report"), ("look", "look")],
        tenant: "",
        limits: || json!({"cores": 1.0, "memory_mb": 192, "sockets": 1024}),
        settings: || {
            json!({
                "areas": ["a"], "skus": ["m"], "zone": 0, "me": 0, "instances": 1, "discovery": "pushed", "tick": 1.0,
                "policyLimits": {"cancel": true, "mostTries": 4, "retryAfter": true, "maxRetryAfter": 2000.0},
                "requestClasses": [
                    {"name": "pay", "idempotency": "fragile", "aim": 5000.0, "deadline": 20000.0},
                    {"name": "report", "idempotency": "dedup", "group": "cell", "dedupWindow": 7500.0,
                     "aim": 5000.0, "deadline": 20000.0},
                    {"name": "look", "idempotency": "retryable", "aim": 5000.0, "deadline": 20000.0},
                ],
            })
        },
    },
    Deployment {
        classes: [("pay", "look"), ("report", "look výdaj 2"), ("look", "pay")],
        tenant: "Acme 2",
        limits: || json!({"cores": 0.5, "memory_mb": 96, "sockets": 700}),
        settings: || {
            json!({
                "areas": ["West b", "a"], "skus": ["n", "m"], "zone": 1, "me": 3, "instances": 5, "tick": 2.0,
                "discovery": "on_request", "obligations": {"mustAskIn": 200.0, "coldFrom": 0.4, "fallMultiple": 3.0},
                "policyLimits": {"cancel": true, "mostTries": 5, "retryAfter": true, "maxRetryAfter": 1500.0,
                    "connectTimeout": 400.0, "keepalive": 9000.0},
                "prices": {"crossZone": 0.03}, "worthBy": "work", "blend": {"whole": 0.65, "worstClass": 0.2},
                "orgs": [{"name": "acme 2", "share": 0.9}, {"name": "Acme", "share": 0.1}],
                "requestClasses": [
                    {"name": "look", "idempotency": "fragile", "aim": 4000.0, "deadline": 12000.0, "points": 15.0},
                    {"name": "PAY", "idempotency": "fragile", "aim": 4500.0, "deadline": 9000.0},
                    {"name": "pay", "idempotency": "retryable", "aim": 5500.0, "deadline": 16000.0, "points": 5.0},
                    {"name": "look výdaj 2", "idempotency": "dedup", "group": "zone", "dedupWindow": 9500.0,
                     "aim": 4500.0, "deadline": 14000.0, "points": 2.0, "lateWorth": 0.5},
                ],
            })
        },
    },
];

/// The second where the test's program is this one.
fn deployment() -> &'static Deployment {
    &DEPLOYMENTS[usize::from(env!("CARGO_CRATE_NAME") == "elsewhere")]
}

/// What the deployment names a class of the first; any other name is as it is.
pub fn name_of(class: &str) -> &str {
    deployment().classes.iter().find(|(first, _)| *first == class).map_or(class, |(_, name)| name)
}

/// Long enough for any machine; reached only when something is broken.
const LONG: Duration = Duration::from_secs(30);

/// Counts over all upstreams that share it, from 1.
#[derive(Clone, Default)]
pub struct Shared(Arc<AtomicUsize>);

impl Shared {
    pub fn count(&self) -> usize {
        self.0.fetch_add(1, Ordering::SeqCst) + 1
    }
}

/// Upstreams answer once it is open.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    pub fn open(&self) {
        *self.0.0.lock().expect("no panic") = true;
        self.0.1.notify_all();
    }

    pub fn pass(&self) {
        let gate = self.0.0.lock().expect("no panic");
        drop(self.0.1.wait_while(gate, |open| !*open).expect("no panic"));
    }
}

/// State that a test waits on.
struct Watched<T>(Mutex<T>, Condvar);

impl<T> Watched<T> {
    fn new(value: T) -> Arc<Self> {
        Arc::new(Watched(Mutex::new(value), Condvar::new()))
    }

    fn get(&self) -> MutexGuard<'_, T> {
        self.0.lock().expect("no panic")
    }

    fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.get());
        self.1.notify_all();
        result
    }

    fn wait(&self, what: &str, until: impl Fn(&T) -> bool) -> MutexGuard<'_, T> {
        let (state, timeout) = self.1.wait_timeout_while(self.get(), LONG, |s| !until(s)).expect("no panic");
        assert!(!timeout.timed_out(), "waited in vain for {what}");
        state
    }
}

/// A message as it was read.
#[derive(Clone, Debug)]
pub struct Seen {
    pub line: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Seen {
    /// `None` at the end of the connection.
    fn read(from: &mut impl BufRead) -> Option<Seen> {
        let mut line = || {
            let mut line = String::new();
            let length = from.read_line(&mut line).ok()?;
            (length > 0).then(|| line.trim_end().to_owned())
        };
        let start = line()?;
        let mut headers = Vec::new();
        loop {
            let line = line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut seen = Seen { line: start, headers, body: String::new() };
        let mut body = Vec::new();
        if seen.header("transfer-encoding").is_some() {
            while let Some(length) = Seen::chunk_size(from)? {
                Seen::read_more(from, length, &mut body)?;
                from.read_line(&mut String::new()).ok()?;
            }
        } else {
            let length = seen.header("content-length").map_or(0, |text| text.parse().expect("a length"));
            Seen::read_more(from, length, &mut body)?;
        }
        seen.body = String::from_utf8(body).expect("text");
        Some(seen)
    }

    fn read_more(from: &mut impl BufRead, length: usize, body: &mut Vec<u8>) -> Option<()> {
        let before = body.len();
        body.resize(before + length, 0);
        from.read_exact(&mut body[before..]).ok()
    }

    /// `Some(None)` after the last chunk, with its trailers read.
    fn chunk_size(from: &mut impl BufRead) -> Option<Option<usize>> {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|&length| length > 0)?;
        let size = usize::from_str_radix(line.split(';').next().expect("a part").trim(), 16).ok()?;
        while size == 0 && !line.trim().is_empty() {
            line.clear();
            from.read_line(&mut line).ok().filter(|&length| length > 0)?;
        }
        Some((size > 0).then_some(size))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }
}

#[derive(Clone)]
pub enum Reply {
    Raw(String),
    /// Keeps the connection.
    Whole(String),
    /// The same, with a pause after each piece.
    Pieces(Vec<String>, Duration),
    /// The same, and then the connection is reset.
    Reset(Vec<String>, Duration),
    Close,
    /// Holds the connection until the other side closes it.
    Silence,
}

impl Reply {
    pub fn text(status: u16, headers: &str, body: &str) -> Reply {
        Reply::Whole(format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
    }

    fn write(self, to: &mut TcpStream) {
        match self {
            Reply::Whole(text) => drop(to.write_all(text.as_bytes())),
            Reply::Raw(text) => drop((to.write_all(text.as_bytes()), to.shutdown(Shutdown::Write))),
            Reply::Pieces(pieces, pause) | Reply::Reset(pieces, pause) => {
                for piece in pieces {
                    drop(to.write_all(piece.as_bytes()));
                    thread::sleep(pause);
                }
            }
            Reply::Close => drop(to.shutdown(Shutdown::Both)),
            Reply::Silence => {}
        }
    }
}

#[derive(Default)]
pub struct State {
    pub requests: Vec<Seen>,
    pub accepted: usize,
    pub closed_by_peer: usize,
    open: Vec<TcpStream>,
}

/// Serves each connection to a port from the kernel on a thread of its own, until stopped.
fn listen(
    stopped: Arc<AtomicBool>, serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> (SocketAddr, thread::JoinHandle<()>) {
    listen_at(TcpListener::bind("127.0.0.1:0").expect("a port"), stopped, serve)
}

/// Takes the address of one that has stopped: whoever connects is refused, and nobody else gets the port.
fn hold(addr: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("set");
    // A process that is just being started has a copy of each descriptor until it runs its own program.
    wait("the port", || socket.bind(&addr.into()).is_ok());
    socket
}

fn listen_at(
    listener: TcpListener, stopped: Arc<AtomicBool>, serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> (SocketAddr, thread::JoinHandle<()>) {
    let (addr, serve) = (listener.local_addr().expect("an address"), Arc::new(serve));
    let listening = thread::spawn(move || {
        for stream in listener.incoming().take_while(|_| !stopped.load(Ordering::SeqCst)) {
            let (stream, serve) = (stream.expect("a connection"), serve.clone());
            thread::spawn(move || serve(stream));
        }
    });
    (addr, listening)
}

pub struct Upstream {
    pub addr: SocketAddr,
    state: Arc<Watched<State>>,
    stopped: Arc<AtomicBool>,
    listening: Mutex<Option<thread::JoinHandle<()>>>,
    held: Mutex<Option<Socket>>,
}

impl Upstream {
    pub fn start(reply: impl Fn(&Seen) -> Reply + Send + Sync + 'static) -> Upstream {
        let (state, stopped) = (Watched::new(State::default()), Arc::new(AtomicBool::new(false)));
        let of = state.clone();
        let (addr, listening) = listen(stopped.clone(), move |stream| Upstream::serve(stream, &of, &reply));
        Upstream { addr, state, stopped, listening: Mutex::new(Some(listening)), held: Mutex::default() }
    }

    /// One that the test itself answers for.
    pub fn unattended() -> (Upstream, TcpListener) {
        let (state, stopped) = (Watched::new(State::default()), Arc::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (addr, listening, held) = (listener.local_addr(), Mutex::default(), Mutex::default());
        (Upstream { addr: addr.expect("an address"), state, stopped, listening, held }, listener)
    }

    /// The same, with a connection that takes the only place in its queue: no other comes up until it is accepted, nor for
    /// up to a second after, when it is asked for again.
    pub fn crowded() -> (Upstream, TcpListener, TcpStream) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any_port.into()).and_then(|()| socket.listen(0)).expect("a port");
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().expect("an address");
        let first = TcpStream::connect(addr).expect("the one that has room");
        let (state, stopped) = (Watched::new(State::default()), Arc::default());
        let (listening, held) = (Mutex::default(), Mutex::default());
        (Upstream { addr, state, stopped, listening, held }, listener, first)
    }

    fn serve(mut stream: TcpStream, state: &Watched<State>, reply: &dyn Fn(&Seen) -> Reply) {
        let clone = || stream.try_clone().expect("a clone");
        let mut reader = BufReader::new(clone());
        state.change(|state| {
            state.accepted += 1;
            state.open.push(clone());
        });
        while let Some(seen) = Seen::read(&mut reader) {
            state.change(|state| state.requests.push(seen.clone()));
            let reply = reply(&seen);
            let resets = matches!(reply, Reply::Reset(..));
            reply.write(&mut stream);
            if resets {
                drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
                let ours = stream.peer_addr().ok();
                state.change(|state| state.open.retain(|other| other.peer_addr().ok() != ours));
                break;
            }
        }
        state.change(|state| state.closed_by_peer += 1);
    }

    pub fn id(&self) -> String {
        format!("s-{:08x}", self.addr.port())
    }

    pub fn line(&self, phase: &str) -> Value {
        json!({"id": self.id(), "host_port": self.addr.to_string(), "locality": "a", "flavor": "m", "cell": 0, "phase": phase,
            "size": 1.0, "up_since_ms": 0})
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.get()
    }

    /// The requests so far.
    pub fn requests(&self) -> Vec<Seen> {
        self.state().requests.clone()
    }

    pub fn wait_for(&self, what: &str, until: impl Fn(&State) -> bool) {
        drop(self.state.wait(what, until));
    }

    /// Closes the connections, as at the end of the idle time.
    pub fn close_idle(&self) {
        self.state().open.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Write)));
    }

    /// From now on connections are refused.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.addr));
        let listening = self.listening.lock().expect("no panic").take();
        listening.expect("stopped once").join().expect("an end");
        *self.held.lock().expect("no panic") = Some(hold(self.addr));
    }
}

#[derive(Default)]
struct Registry {
    calls: usize,
    /// What the next calls are answered.
    next: VecDeque<(u64, Reply)>,
    whole: String,
    answered: Option<Instant>,
    /// Watches since the last news: the revision they name, and how long after the last answer they came.
    watches: Vec<(u64, Duration)>,
    /// Nobody is answered.
    down: bool,
    /// What it knows since an outage; a watch from another revision on is answered with it at once.
    since_outage: Option<u64>,
    open: Vec<TcpStream>,
}

pub struct Discovery {
    pub addr: SocketAddr,
    registry: Arc<Watched<Registry>>,
    listening: Mutex<(Arc<AtomicBool>, Option<thread::JoinHandle<()>>)>,
    held: Mutex<Option<Socket>>,
}

impl Discovery {
    /// One that has this whole list to tell.
    pub fn of(revision: u64, members: &[Value]) -> Arc<Discovery> {
        Arc::new(Discovery::start(&json!({"revision": revision, "complete": true, "members": members})))
    }

    fn start(list: &Value) -> Discovery {
        let registry = Watched::new(Registry { whole: list.to_string(), ..Registry::default() });
        let (of, stopped) = (registry.clone(), Arc::<AtomicBool>::default());
        let (addr, listening) = listen(stopped.clone(), move |stream| Discovery::serve(stream, &of));
        let (listening, held) = (Mutex::new((stopped, Some(listening))), Mutex::default());
        Discovery { addr, registry, listening, held }
    }

    /// Watches are broken, and calls refused from now on, or taken and left without an answer.
    pub fn down(&self, silent: bool) {
        self.registry.change(|r| r.down = true);
        if !silent {
            let mut listening = self.listening.lock().expect("no panic");
            listening.0.store(true, Ordering::SeqCst);
            drop(TcpStream::connect(self.addr));
            listening.1.take().expect("it listens").join().expect("an end");
            *self.held.lock().expect("no panic") = Some(hold(self.addr));
        }
        self.registry.change(|r| r.open.drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both))));
    }

    /// It is back, and has the list of this revision to tell.
    pub fn back(&self, revision: u64, members: &[Value]) {
        self.registry.change(|r| {
            (r.down, r.since_outage) = (false, Some(revision));
            r.whole = json!({"revision": revision, "complete": true, "members": members}).to_string();
            r.watches.clear();
        });
        let mut listening = self.listening.lock().expect("no panic");
        if let Some(held) = self.held.lock().expect("no panic").take() {
            held.listen(128).expect("it listens");
            let (of, stopped) = (self.registry.clone(), Arc::<AtomicBool>::default());
            let serve = move |stream| Discovery::serve(stream, &of);
            *listening = (stopped.clone(), Some(listen_at(held.into(), stopped, serve).1));
        }
    }

    fn serve(mut stream: TcpStream, registry: &Watched<Registry>) {
        let clone = || stream.try_clone().expect("a clone");
        let mut reader = BufReader::new(clone());
        registry.change(|r| r.open.push(clone()));
        while let Some(seen) = Seen::read(&mut reader) {
            let index = seen.line.split_once("index=").map(|(_, rest)| {
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse::<u64>().expect("an index")
            });
            registry.change(|r| {
                r.calls += 1;
                let since = r.answered.map_or(Duration::ZERO, |at| at.elapsed());
                r.watches.extend(index.map(|index| (index, since)));
            });
            let news = |r: &Registry| index.is_some() && r.since_outage.is_some_and(|at| index != Some(at));
            let waits = |r: &mut Registry| r.down || index.is_some() && r.next.is_empty() && !news(r);
            let reply = {
                let mut r = registry.1.wait_timeout_while(registry.get(), LONG, waits).expect("no panic").0;
                if news(&r) || index.is_none() && (r.next.is_empty() || r.since_outage.is_some()) {
                    Some(Reply::text(200, "", &r.whole))
                } else {
                    let (told, reply) = r.next.pop_front().unzip();
                    let told = told.filter(|&revision| revision > 0);
                    r.since_outage = r.since_outage.map(|at| told.unwrap_or(at));
                    reply
                }
            };
            registry.change(|r| r.answered = Some(Instant::now()));
            reply.unwrap_or(Reply::Close).write(&mut stream);
        }
    }

    /// Waits for a call that comes after so many.
    pub fn wait_for_call(&self, after: usize) {
        drop(self.registry.wait("a call", |r| r.calls > after));
    }

    /// How often it was called.
    pub fn calls(&self) -> usize {
        self.registry.get().calls
    }

    /// The next call is answered with these members.
    pub fn say(&self, revision: u64, complete: bool, members: &[Value]) {
        let list = json!({"revision": revision, "complete": complete, "members": members});
        self.registry.change(|r| {
            r.watches.clear();
            r.next.push_back((revision, Reply::text(200, "", &list.to_string())));
        });
    }

    /// The same in two pieces with this pause between.
    pub fn say_in_pieces(&self, revision: u64, members: &[Value], pause: Duration) {
        let list = json!({"revision": revision, "complete": false, "members": members}).to_string();
        let text = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        let (early, late) = text.split_at(text.len() - 1);
        self.registry.change(|r| {
            r.watches.clear();
            r.next.push_back((revision, Reply::Pieces(vec![early.into(), late.into()], pause)));
        });
    }

    /// The watch that is out is answered with these changes, and so many calls then refused; back with the first.
    pub fn say_and_refuse(&self, revision: u64, members: &[Value], refused: usize) {
        let calls = self.registry.change(|r| {
            let list = json!({"revision": revision, "complete": false, "members": members}).to_string();
            r.next.push_back((revision, Reply::text(200, "", &list)));
            r.next.extend((0..refused).map(|_| (0, Reply::text(503, "", ""))));
            r.calls
        });
        self.wait_for_call(calls);
    }

    /// The same as `say`, and waits for the watch from there on; tells how long after the answer it came.
    pub fn tell(&self, revision: u64, complete: bool, members: &[Value]) -> Duration {
        self.say(revision, complete, members);
        self.wait_for_index(revision)
    }

    /// The next call goes wrong like this; waits until it has.
    pub fn fail(&self, reply: Reply) {
        let calls = self.registry.change(|r| {
            r.next.push_back((0, reply));
            r.calls
        });
        drop(self.registry.wait("a call after the failure", |r| r.next.is_empty() && r.calls > calls));
    }

    /// Waits for a watch from this revision on, and tells how long after the last answer it came.
    pub fn wait_for_index(&self, revision: u64) -> Duration {
        let named = |r: &Registry| r.watches.iter().find(|(index, _)| *index == revision).map(|w| w.1);
        let registry = self.registry.wait("a watch", |r| r.next.is_empty() && named(r).is_some());
        named(&registry).expect("it has come")
    }
}

/// A request of the application.
pub struct Call {
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

/// Each has an id of its own.
pub fn call(class: &str, budget: f64) -> Call {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let id = format!("call-{}", NUMBER.fetch_add(1, Ordering::SeqCst));
    let (class, caller) = (name_of(class), deployment().tenant);
    let headers = [("Host", "origin.svc"), ("X-Call-Id", &id), ("X-Call-Class", class), ("X-Caller", caller)];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned())).to_vec();
    let call = Call { method: "POST", path: "/api".into(), headers, body: String::new() };
    call.header("X-Budget", &budget.to_string())
}

impl Call {
    pub fn header(mut self, name: &str, value: &str) -> Call {
        self = self.without(name);
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn without(mut self, name: &str) -> Call {
        self.headers.retain(|(other, _)| other != name);
        self
    }

    pub fn method(self, method: &'static str) -> Call {
        Call { method, ..self }
    }

    pub fn path(self, path: &str) -> Call {
        Call { path: path.into(), ..self }
    }

    pub fn body(self, body: &str) -> Call {
        Call { body: body.into(), ..self }
    }

    pub fn text(&self) -> String {
        let headers: String =
            self.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let (method, path, length) = (self.method, &self.path, self.body.len());
        format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{}", self.body)
    }
}

pub struct Answer {
    pub status: u16,
    pub body: String,
    seen: Seen,
}

impl Answer {
    pub fn read(from: &mut TcpStream) -> Answer {
        Answer::try_read(from).expect("an answer")
    }

    /// `None` if the connection was closed instead.
    pub fn try_read(from: &mut TcpStream) -> Option<Answer> {
        let seen = Seen::read(&mut BufReader::new(from))?;
        let status = seen.line.split(' ').nth(1).and_then(|text| text.parse().ok()).expect("a status");
        Some(Answer { status, body: seen.body.clone(), seen })
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.seen.header(name)
    }

    /// The status and the body.
    pub fn whole(&self) -> (u16, &str) {
        (self.status, &self.body)
    }
}

pub struct Sidecar {
    process: Child,
    addr: SocketAddr,
    control: Option<SocketAddr>,
    pub discovery: Arc<Discovery>,
    /// What its last start or move was told.
    pub config: Value,
    log: Arc<Watched<Vec<String>>>,
    /// Its own, with the configuration; the processes of an upgrade share it.
    dir: Arc<Dir>,
}

/// A folder that goes with its owner.
struct Dir(PathBuf);

impl Dir {
    fn new() -> Dir {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        // A program may include this module more than once.
        let name = format!("{}-{}-{number}", std::process::id(), module_path!().replace("::", "-"));
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(path.join("tmp")).expect("made");
        Dir(path)
    }

    fn config(&self) -> PathBuf {
        self.0.join("config.json")
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

/// Puts the listener at descriptor 5, from standard input, and names it.
pub const INHERIT: &str = "exec 5<&0 </dev/null; export BALANCER_LISTEN_FD=5";

fn stdin_of(listener: &TcpListener) -> Stdio {
    Stdio::from(OwnedFd::from(listener.try_clone().expect("a clone")))
}

/// What a sidecar that can't start says on its log.
pub fn start_error(shell: &str, stdin: Stdio, change: impl FnOnce(&mut Value)) -> String {
    let dir = Dir::new();
    let mut config = Sidecar::config(&json!({"revision": 1, "complete": true, "members": []}), "127.0.0.1:9");
    change(&mut config);
    failed_start(shell, &dir, stdin, config.to_string().as_bytes())
}

/// The same of one whose configuration's file has these bytes.
pub fn start_error_of(bytes: &[u8]) -> String {
    failed_start(":", &Dir::new(), Stdio::null(), bytes)
}

fn failed_start(shell: &str, dir: &Dir, stdin: Stdio, config: &[u8]) -> String {
    std::fs::write(dir.config(), config).expect("written");
    let mut process =
        Sidecar::command(shell, dir).stdin(stdin).stderr(Stdio::piped()).spawn().expect("started");
    let start = Instant::now();
    while start.elapsed() < LONG && process.try_wait().expect("a child").is_none() {
        thread::sleep(Duration::from_millis(5));
    }
    drop(process.kill());
    let output = process.wait_with_output().expect("an end");
    assert_eq!(output.status.code(), Some(1), "it has not started, and has not panicked");
    String::from_utf8(output.stderr).expect("text")
}

/// The plain answer of 200.
pub fn ok(body: &str) -> Reply {
    Reply::text(200, "", body)
}

/// A door for operators, on a port from the kernel.
pub fn with_door(config: &mut Value) {
    config["control"] = json!("127.0.0.1:0");
}

/// It is the only sidecar: at its start it may have several requests out, which one of several may not.
pub fn alone(config: &mut Value) {
    config["settings"]["instances"] = json!(1);
}

/// Two upstreams that reply alike.
pub fn twins(reply: impl Fn(&Seen) -> Reply + Clone + Send + Sync + 'static) -> [Upstream; 2] {
    [(); 2].map(|()| Upstream::start(reply.clone()))
}

/// A sidecar and its only upstream, which serves.
pub fn served(change: impl FnOnce(&mut Value)) -> (Upstream, Sidecar) {
    answered(|_| ok("served"), change)
}

/// A sidecar and its only upstream, which replies like this.
pub fn answered(
    reply: impl Fn(&Seen) -> Reply + Send + Sync + 'static, change: impl FnOnce(&mut Value),
) -> (Upstream, Sidecar) {
    let upstream = Upstream::start(reply);
    let sidecar = Sidecar::with(&[&upstream], change);
    (upstream, sidecar)
}

/// An upstream that answers what it has once the gate is open, and its sidecar.
pub fn gated(change: impl FnOnce(&mut Value)) -> (Gate, Upstream, Sidecar) {
    let gate = Gate::default();
    let of = gate.clone();
    let reply = move |_: &_| {
        of.pass();
        ok("served")
    };
    let (upstream, sidecar) = answered(reply, change);
    (gate, upstream, sidecar)
}

/// A library of `tests/shims`, to be preloaded. A run of all tests has built it, one of a single test may have to.
fn shim(name: &str) -> PathBuf {
    let executable = std::env::current_exe().expect("this test");
    let built = executable.parent().and_then(Path::parent).expect("the folder of the build");
    let path = built.join("examples").join(format!("lib{name}.so"));
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/shims").join(format!("{name}.rs"));
    let written_at = |path: &Path| path.metadata().and_then(|metadata| metadata.modified()).ok();
    if written_at(&path) < written_at(&source) {
        let profile = if built.ends_with("release") { "release" } else { "dev" };
        let args = ["build", "--locked", "--profile", profile, "--example", name];
        let status = Command::new(env!("CARGO")).args(args).status();
        assert!(status.is_ok_and(|status| status.success()), "{name} can't be built");
        assert!(path.exists(), "{name} is built beside the test");
    }
    path
}

/// A shell command that makes system calls on sockets fail or wait: `accept4:2:103,24 send:50:~120` is every second
/// `accept4`, with these errors in turn, and every fiftieth `send`, for 120 ms.
pub fn failing(faults: &str) -> String {
    format!("export SYSTEM_FAULTS='{faults}' LD_PRELOAD={}", shim("system_faults").display())
}

/// With lists pushed and asked for, and with a discovery that refuses calls and one that leaves them unanswered.
pub fn each_outage(play: impl Fn(&'static str, bool) + Sync) {
    let all = [("pushed", false), ("pushed", true), ("on_request", false), ("on_request", true)];
    thread::scope(|scope| {
        for (mode, silent) in all {
            let play = &play;
            scope.spawn(move || play(mode, silent));
        }
    });
}

/// Closes with a reset.
pub fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
}

/// Waits until it is so; panics with `what` where that takes too long.
pub fn wait(what: &str, mut until: impl FnMut() -> bool) {
    let start = Instant::now();
    while !until() {
        assert!(start.elapsed() < LONG, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Whatever comes until the connection closes.
#[track_caller]
pub fn all_of(mut from: TcpStream) -> String {
    let mut said = Vec::new();
    // A reset is a close, too; a read that runs into the 30 s is not.
    let end = from.read_to_end(&mut said).map_err(|error| error.kind());
    assert!(!matches!(end, Err(std::io::ErrorKind::WouldBlock)), "still open");
    String::from_utf8_lossy(&said).into_owned()
}

fn reach(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("accepted");
    stream.set_read_timeout(Some(LONG)).expect("set");
    stream
}

impl Sidecar {
    pub fn start(upstreams: &[&Upstream]) -> Sidecar {
        Sidecar::with(upstreams, |_| {})
    }

    /// Starts one after this shell command.
    pub fn under(shell: &str, upstreams: &[&Upstream]) -> Sidecar {
        Sidecar::launch(Dir::new(), shell, Stdio::null(), upstreams, |_| {})
    }

    /// Starts one that inherits the clients' socket.
    pub fn inheriting(
        listener: &TcpListener, upstreams: &[&Upstream], change: impl FnOnce(&mut Value),
    ) -> Sidecar {
        Sidecar::launch(Dir::new(), INHERIT, stdin_of(listener), upstreams, change)
    }

    /// Starts one that finds its `$TMPDIR` prepared.
    pub fn after(
        upstreams: &[&Upstream], change: impl FnOnce(&mut Value), prepare: impl FnOnce(&Path),
    ) -> Sidecar {
        let dir = Dir::new();
        prepare(&dir.0.join("tmp"));
        Sidecar::launch(dir, ":", Stdio::null(), upstreams, change)
    }

    /// A new version beside this one, as at an upgrade.
    pub fn successor(&self, listener: &TcpListener) -> Sidecar {
        let (discovery, dir) = (self.discovery.clone(), self.dir.clone());
        Sidecar::spawn(INHERIT, stdin_of(listener), discovery, self.config.clone(), dir)
    }

    /// The same, which may not be ready yet.
    pub fn beside(&self, listener: &TcpListener) -> Sidecar {
        let (discovery, dir) = (self.discovery.clone(), self.dir.clone());
        Sidecar::begin(INHERIT, stdin_of(listener), discovery, self.config.clone(), dir)
    }

    /// Starts one after this shell command, with `change` made to its configuration.
    pub fn of(shell: &str, upstreams: &[&Upstream], change: impl FnOnce(&mut Value)) -> Sidecar {
        Sidecar::launch(Dir::new(), shell, Stdio::null(), upstreams, change)
    }

    /// Starts its next process at the same address, maybe with other settings. It may not be ready yet.
    pub fn again(&self, shell: &str, change: impl FnOnce(&mut Value)) -> Sidecar {
        let (discovery, dir, mut config) = (self.discovery.clone(), self.dir.clone(), self.config.clone());
        config["listen"] = json!(self.addr.to_string());
        if let Some(control) = self.control {
            config["control"] = json!(control.to_string());
        }
        change(&mut config);
        Sidecar::begin(shell, Stdio::null(), discovery, config, dir)
    }

    pub fn with(upstreams: &[&Upstream], change: impl FnOnce(&mut Value)) -> Sidecar {
        Sidecar::launch(Dir::new(), ":", Stdio::null(), upstreams, change)
    }

    /// Starts one for each of these, some at a time.
    pub fn many<T: Sync>(of: &[T], start: impl Fn(&T) -> Sidecar + Sync) -> Vec<Sidecar> {
        let start = &start;
        let batch = |batch: &[T]| -> Vec<Sidecar> {
            thread::scope(|scope| {
                let starting: Vec<_> = batch.iter().map(|one| scope.spawn(move || start(one))).collect();
                starting.into_iter().map(|started| started.join().expect("started")).collect()
            })
        };
        of.chunks(16).flat_map(batch).collect()
    }

    fn config(known: &Value, discovery: &str) -> Value {
        json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "5a",
            "limits": (deployment().limits)(), "known": known, "settings": (deployment().settings)(),
        })
    }

    fn command(shell: &str, dir: &Dir) -> Command {
        let mut command = Command::new("sh");
        command
            .args(["-c", &format!("{shell}; exec {}", env!("CARGO_BIN_EXE_juniperspoke"))])
            .env("BALANCER_CONFIG", dir.config())
            .env("TMPDIR", dir.0.join("tmp"))
            .env_remove("RUST_LOG");
        command
    }

    /// Starts one that is ready and has asked discovery, which knows these upstreams.
    fn launch(
        dir: Dir, shell: &str, stdin: Stdio, upstreams: &[&Upstream], change: impl FnOnce(&mut Value),
    ) -> Sidecar {
        let members: Vec<Value> = upstreams.iter().map(|upstream| upstream.line("Ready")).collect();
        let known = json!({"revision": 1, "complete": true, "members": members});
        let discovery = Arc::new(Discovery::start(&known));
        let mut config = Sidecar::config(&known, &discovery.addr.to_string());
        change(&mut config);
        Sidecar::spawn(shell, stdin, discovery, config, Arc::new(dir))
    }

    fn spawn(shell: &str, stdin: Stdio, discovery: Arc<Discovery>, config: Value, dir: Arc<Dir>) -> Sidecar {
        // A sidecar that watches the list service calls the test's discovery never.
        let asked = config["settings"]["discovery"] != "pushed" || config.get("discovery_peers").is_some();
        let sidecar = Sidecar::begin(shell, stdin, discovery, config, dir);
        sidecar.wait_until("readiness", |sidecar| sidecar.ready() == 200);
        if !asked {
            drop(sidecar.discovery.registry.wait("a call", |r| r.watches.iter().any(|w| w.0 == 1)));
        }
        sidecar
    }

    /// Starts one that listens.
    fn begin(shell: &str, stdin: Stdio, discovery: Arc<Discovery>, config: Value, dir: Arc<Dir>) -> Sidecar {
        std::fs::write(dir.config(), config.to_string()).expect("written");
        let mut command = Sidecar::command(shell, &dir);
        command.env("BALANCER_DISCOVERY", discovery.addr.to_string());
        let mut process = command.stdin(stdin).stderr(Stdio::piped()).spawn().expect("started");
        let mut log = BufReader::new(process.stderr.take().expect("a log")).lines();
        let mut control = None;
        let addr = log.find_map(|line| {
            let line = line.ok()?;
            control = line.split_once("control on ").and_then(|(_, addr)| addr.parse().ok()).or(control);
            line.split_once("listening on ")?.1.parse().ok()
        });
        let said = Watched::new(Vec::new());
        let of = said.clone();
        thread::spawn(move || log.map_while(Result::ok).for_each(|line| of.change(|said| said.push(line))));
        Sidecar { process, addr: addr.expect("it listens"), control, discovery, config, log: said, dir }
    }

    /// How many lines of its log have this in them.
    pub fn lines_with(&self, with: &str) -> usize {
        self.log.get().iter().filter(|line| line.contains(with)).count()
    }

    /// Waits for a line of its log with this in it.
    pub fn wait_for_line(&self, with: &str) {
        drop(self.log.wait(with, |said| said.iter().any(|line| line.contains(with))));
    }

    /// SIGHUP with a file of these bytes, of which it says one line.
    pub fn reload_bad(&self, bytes: &[u8]) {
        let bad = |said: &Vec<String>| said.iter().filter(|line| line.contains("reload: ")).count();
        let before = bad(&self.log.get());
        std::fs::write(self.dir.config(), bytes).expect("written");
        self.signal(Signal::SIGHUP);
        let said = self.log.wait("a line", |said| bad(said) > before);
        assert_eq!(said.last().map(|line| line.contains("reload: ")), Some(true), "one line");
    }

    /// Discovery moves to a new address, where it has this list.
    pub fn move_discovery(&mut self, revision: u64, members: &[Value]) {
        self.move_to(&Discovery::of(revision, members));
    }

    /// Discovery moves: the file names its new address, and SIGHUP tells of it.
    pub fn move_to(&mut self, discovery: &Arc<Discovery>) {
        self.discovery = discovery.clone();
        self.config["discovery"] = json!(self.discovery.addr.to_string());
        std::fs::write(self.dir.config(), self.config.to_string()).expect("written");
        self.signal(Signal::SIGHUP);
    }

    pub fn connect(&self) -> TcpStream {
        reach(self.addr)
    }

    /// A connection of its own with this call written to it.
    pub fn send(&self, call: &Call) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(call.text().as_bytes()).expect("written");
        stream
    }

    /// A connection on which a call has been served, kept by its client.
    pub fn kept(&self) -> TcpStream {
        let mut stream = self.send(&call("pay", 5.0));
        assert_eq!(Answer::read(&mut stream).status, 200);
        stream
    }

    /// A connection to the door for operators.
    pub fn door(&self) -> TcpStream {
        reach(self.control.expect("a door"))
    }

    /// An operator's call, such as `GET /ready`: its status and text; 0 if it was closed without a word.
    pub fn operate(&self, call: &str) -> (u16, String) {
        let mut stream = self.door();
        drop(stream.write_all(format!("{call} HTTP/1.1\r\nHost: n0\r\n\r\n").as_bytes()));
        Answer::try_read(&mut stream).map_or((0, String::new()), |answer| (answer.status, answer.body))
    }

    /// A figure by its name after the prefix.
    pub fn figure(&self, name: &str) -> u64 {
        let (status, text) = self.operate("GET /metrics");
        assert_eq!(status, 200, "{text}");
        let name = name.split('.').map(|part| name_of(part).replace(' ', "_")).collect::<Vec<_>>().join(".");
        let prefix = format!("edge_balancer.{name}:");
        let value = text.lines().find_map(|line| line.strip_prefix(&prefix)?.split_once('|'));
        value.unwrap_or_else(|| panic!("{name} in {text}")).0.parse().expect("a number")
    }

    /// So many calls of `pay` are served, one after the other.
    #[track_caller]
    pub fn serves(&self, count: usize, budget: f64) {
        (0..count).for_each(|_| assert_eq!(self.ask(&call("pay", budget)).status, 200));
    }

    /// On a connection of its own.
    pub fn ask(&self, call: &Call) -> Answer {
        let mut stream = self.connect();
        // A long body may be answered before it is read to its end.
        drop(stream.write_all(call.text().as_bytes()));
        Answer::read(&mut stream)
    }

    /// The status of readiness; 0 if nobody answers.
    pub fn ready(&self) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.addr) else { return 0 };
        stream.set_read_timeout(Some(LONG)).expect("set");
        drop(stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n"));
        Answer::try_read(&mut stream).map_or(0, |answer| answer.status)
    }

    /// CPU used so far, in hundredths of a second.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id())).expect("its figures");
        let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split_whitespace().collect();
        [11, 12].iter().map(|&at| fields[at].parse::<u64>().expect("ticks")).sum()
    }

    pub fn wait_until(&self, what: &str, until: impl Fn(&Sidecar) -> bool) {
        wait(what, || until(self));
    }

    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.process.id() as i32), signal).expect("signalled");
    }

    /// Stops it until SIGCONT; back once it has stopped.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        self.wait_for_state('T');
    }

    /// The same, while it waits for its sockets: as it goes on the system tells of no socket first, but of the signal.
    pub fn pause_at_rest(&self) {
        self.wait_for_state('S');
        self.pause();
    }

    fn wait_for_state(&self, state: char) {
        let path = format!("/proc/{}/stat", self.process.id());
        let shown = format!(") {state} ");
        wait("its state", || std::fs::read_to_string(&path).expect("its figures").contains(&shown));
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        let mut ended = || self.process.try_wait().expect("a child");
        wait("the end", || ended().is_some());
        ended().and_then(|status| status.code())
    }

    /// The most memory that it has held, in kilobytes.
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).expect("its figures");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        line.trim().trim_end_matches(" kB").parse().expect("kilobytes")
    }

    /// Whether it has a thread of this name.
    pub fn has_thread(&self, name: &str) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.process.id())).expect("its threads");
        let named = |task: std::fs::DirEntry| std::fs::read_to_string(task.path().join("comm"));
        tasks.flatten().any(|task| named(task).is_ok_and(|comm| comm.trim() == name))
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id())).expect("its descriptors").count()
    }
}

/// Clients that hold so many connections to a sidecar and ask for nothing: a closed one is made anew at once.
/// So many of them have asked once whether it is ready, the others never say anything.
pub struct Crowd {
    over: Arc<AtomicBool>,
    /// All have come once.
    complete: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Crowd {
    pub fn of(count: usize, asked: usize, at: &Sidecar) -> Crowd {
        let (over, complete) = <(Arc<AtomicBool>, Arc<AtomicBool>)>::default();
        let (addr, until, come) = (at.addr, over.clone(), complete.clone());
        let join = move |i: usize| {
            let mut stream = TcpStream::connect(addr).ok()?;
            if i < asked {
                stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n").ok()?;
            }
            stream.set_nonblocking(true).ok()?;
            Some(stream)
        };
        let stay = move || {
            let mut all: Vec<Option<TcpStream>> = (0..count).map(|_| None).collect();
            while !until.load(Ordering::SeqCst) {
                for (i, one) in all.iter_mut().enumerate() {
                    let ended = |stream: &mut TcpStream| match stream.read(&mut [0; 1024]) {
                        Ok(count) => count == 0,
                        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
                    };
                    if one.as_mut().is_none_or(ended) {
                        *one = None;
                        *one = join(i);
                    }
                }
                come.store(true, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(2));
            }
        };
        Crowd { over, complete, thread: Some(thread::spawn(stay)) }
    }

    pub fn is_complete(&self) -> bool {
        self.complete.load(Ordering::SeqCst)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        drop(self.thread.take().map(thread::JoinHandle::join));
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        drop(self.process.kill());
        drop(self.process.wait());
    }
}
