//! Processes of the list service for tests, and a fault proxy to put between them.
#![allow(dead_code)]

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Wide, for a loaded machine: each wait ends as soon as its condition holds.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// A write is committed by a quorum in some ms; one that takes longer is tried elsewhere.
pub const WRITE: Duration = Duration::from_secs(1);
/// The design's bound for a new leader is 1.5 s; this is wide for a loaded machine.
pub const NEW_LEADER: Duration = Duration::from_secs(6);

/// One process of `listd`.
pub struct Listd {
    child: Child,
    pub addr: SocketAddr,
    /// Where it has one of its own.
    port: Option<Port>,
}

/// A port of the kernel's choice, kept for as long as this is: nobody else is given it, and who connects is refused until
/// a process that is told of it listens there.
#[derive(Debug)]
pub struct Port {
    pub addr: SocketAddr,
    _bound: Socket,
}

impl Port {
    pub fn reserve() -> Port {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        // With it on both sockets another may listen there, as long as this one doesn't.
        socket.set_reuse_address(true).expect("set");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket()).expect("an address");
        Port { addr, _bound: socket }
    }
}

impl Listd {
    /// Starts an instance on a free port; `extra` are more arguments.
    pub fn start(data: &Path, config: &Path, extra: &[&str]) -> Listd {
        let port = Port::reserve();
        let mut listd = Listd::start_at(port.addr, data, config, extra);
        listd.port = Some(port);
        listd
    }

    /// Starts an instance at `addr`; returns once it listens.
    /// Its log goes to a file beside its data, left for a look where the test fails.
    pub fn start_at(addr: SocketAddr, data: &Path, config: &Path, extra: &[&str]) -> Listd {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(data.with_extension("log"));
        let child = Command::new(env!("CARGO_BIN_EXE_listd"))
            .args(["--listen", &addr.to_string(), "--data"])
            .arg(data)
            .arg("--config")
            .arg(config)
            .args(extra)
            .stderr(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .spawn()
            .expect("listd starts");
        let listd = Listd { child, addr, port: None };
        listd.until("no answer", |listd| listd.try_call("GET", "/registry/instances", "").is_some());
        listd
    }

    /// Whether it serves the list: it knows a leader.
    pub fn serves(&self) -> bool {
        self.try_call("GET", "/registry/instances", "").is_some_and(|(status, _, _)| status == 200)
    }

    /// Waits for `done`, polling; panics with `what` after [`PATIENCE`].
    pub fn until(&self, what: &str, done: impl Fn(&Listd) -> bool) {
        let began = Instant::now();
        while !done(self) {
            assert!(began.elapsed() < PATIENCE, "{what} at {}", self.addr);
            sleep(Duration::from_millis(20));
        }
    }

    /// A call on a connection of its own; `None` where the connection failed.
    pub fn try_call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String, Option<String>)> {
        self.call_within(method, path, body, PATIENCE)
    }

    /// A call whose answer must come within `patience`; `None` where it failed or came late.
    pub fn call_within(
        &self, method: &str, path: &str, body: &str, patience: Duration,
    ) -> Option<(u16, String, Option<String>)> {
        call_at(self.addr, method, path, body, patience)
    }

    pub fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let (status, body, _) = self.try_call(method, path, body).expect("an answer");
        (status, body)
    }

    /// Pauses (SIGSTOP) or resumes (SIGCONT) the process.
    pub fn pause(&self, paused: bool) {
        self.signal(if paused { Signal::SIGSTOP } else { Signal::SIGCONT });
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("signalled");
    }

    /// SIGTERM; answers how the process ended, within [`PATIENCE`].
    pub fn terminate(mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("its own child") {
                return status;
            }
            assert!(began.elapsed() < PATIENCE, "{} never ended", self.addr);
            sleep(Duration::from_millis(5));
        }
    }

    /// SIGKILL, and the process reaped.
    pub fn kill(mut self) {
        self.child.kill().expect("SIGKILL");
        self.child.wait().expect("reaped");
    }
}

impl Drop for Listd {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A call to an instance or a proxy before it, whose answer must come within `patience`; `None` where it failed or came
/// late.
pub fn call_at(
    addr: SocketAddr, method: &str, path: &str, body: &str, patience: Duration,
) -> Option<(u16, String, Option<String>)> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: listd\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes())).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.get(9..12).and_then(|code| code.parse().ok())?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let leader = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("x-leader").then(|| value.trim().to_owned())
    });
    Some((status, body.to_owned(), leader))
}

/// What a proxy does to what it carries; the test changes it at any time.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Pass,
    /// Closes what it carries (FIN) and each newcomer at once.
    Cut,
    /// Aborts what it carries (RST) and each newcomer at once.
    Reset,
}

/// A proxy in front of one address: passes bytes both ways, each chunk after a delay the test sets, until it is
/// cut or reset. It counts the requests that pass, and on how many connections an awaited text was answered.
pub struct Proxy {
    pub addr: SocketAddr,
    shared: Arc<Carried>,
}

struct Carried {
    fault: Mutex<Fault>,
    delay_ms: AtomicU64,
    /// Both sides of each connection by its number, to end them from outside their threads.
    streams: Mutex<HashMap<usize, (TcpStream, TcpStream)>>,
    requests: AtomicUsize,
    /// What was carried, both ways.
    bytes: AtomicUsize,
    /// The text awaited in answers, with its number, and the moments of its first sight on each connection.
    awaited: Mutex<(Vec<u8>, usize, Vec<Instant>)>,
}

/// Each request names the protocol once on its first line, and nowhere else when it has no body.
const REQUEST_LINE_END: &[u8] = b"HTTP/1.1\r\n";

impl Proxy {
    pub fn new(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a proxy's port");
        let addr = listener.local_addr().expect("an address");
        let shared = Arc::new(Carried {
            fault: Mutex::new(Fault::Pass),
            delay_ms: AtomicU64::new(0),
            streams: Mutex::default(),
            requests: AtomicUsize::new(0),
            bytes: AtomicUsize::new(0),
            awaited: Mutex::new((Vec::new(), 0, Vec::new())),
        });
        let carried = shared.clone();
        // The thread ends with the test's process.
        thread::spawn(move || {
            for (number, client) in listener.incoming().flatten().enumerate() {
                let fault = *carried.fault.lock().expect("not poisoned");
                let upstream = match TcpStream::connect(to) {
                    Ok(upstream) if fault == Fault::Pass => upstream,
                    _ => {
                        if fault == Fault::Reset {
                            let _ = socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO));
                        }
                        continue;
                    }
                };
                if let (Ok(c), Ok(u)) = (client.try_clone(), upstream.try_clone()) {
                    carried.streams.lock().expect("not poisoned").insert(number, (c, u));
                }
                let last = Arc::new(AtomicBool::new(false));
                pipe(&client, &upstream, Way::Ask, &carried, (number, last.clone()));
                pipe(&upstream, &client, Way::Answer, &carried, (number, last));
            }
        });
        Proxy { addr, shared }
    }

    /// Cuts or mends the way through.
    pub fn cut(&self, cut: bool) {
        self.set(if cut { Fault::Cut } else { Fault::Pass });
    }

    /// Sets what happens to what the proxy carries now and later.
    pub fn set(&self, fault: Fault) {
        *self.shared.fault.lock().expect("not poisoned") = fault;
        if fault == Fault::Pass {
            return;
        }
        for (_, (client, upstream)) in self.shared.streams.lock().expect("not poisoned").drain() {
            if fault == Fault::Reset {
                // The last of its descriptors to close sends RST; reading ends wakes the threads that hold them.
                let _ = socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO));
                let _ = client.shutdown(Shutdown::Read);
                let _ = upstream.shutdown(Shutdown::Read);
            } else {
                let _ = client.shutdown(Shutdown::Both);
                let _ = upstream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Holds each chunk this long before passing it on, either way.
    pub fn delay(&self, delay: Duration) {
        self.shared.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// The requests that passed so far.
    pub fn requests(&self) -> usize {
        self.shared.requests.load(Ordering::SeqCst)
    }

    /// The bytes that passed so far, both ways.
    pub fn bytes(&self) -> usize {
        self.shared.bytes.load(Ordering::SeqCst)
    }

    /// From now on, notes the first answer on each connection that carries `text`.
    pub fn await_text(&self, text: &str) {
        let mut awaited = self.shared.awaited.lock().expect("not poisoned");
        *awaited = (text.as_bytes().to_vec(), awaited.1 + 1, Vec::new());
    }

    /// When the awaited text was first passed on, one moment for each connection.
    pub fn sightings(&self) -> Vec<Instant> {
        self.shared.awaited.lock().expect("not poisoned").2.clone()
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Ask,
    Answer,
}

/// How often `needle` ends in `window` past its first `old` bytes, which were looked at before.
fn ends_in(window: &[u8], old: usize, needle: &[u8]) -> usize {
    if needle.is_empty() {
        return 0;
    }
    window.windows(needle.len()).enumerate().filter(|(at, w)| at + needle.len() > old && *w == needle).count()
}

/// Carries one way of the connection of a number; the way that ends last lets its descriptors go.
fn pipe(
    from: &TcpStream, to: &TcpStream, way: Way, carried: &Arc<Carried>,
    (number, last): (usize, Arc<AtomicBool>),
) {
    let (Ok(mut from), Ok(mut to), carried) = (from.try_clone(), to.try_clone(), carried.clone()) else {
        return;
    };
    thread::spawn(move || {
        let (mut buffer, mut window, mut seen) = ([0; 16 * 1024], Vec::new(), 0);
        while let Ok(read @ 1..) = from.read(&mut buffer) {
            let delay = carried.delay_ms.load(Ordering::SeqCst);
            if delay > 0 {
                sleep(Duration::from_millis(delay));
            }
            if to.write_all(&buffer[..read]).is_err() {
                break;
            }
            carried.bytes.fetch_add(read, Ordering::SeqCst);
            let old = window.len();
            window.extend_from_slice(&buffer[..read]);
            if way == Way::Ask {
                carried.requests.fetch_add(ends_in(&window, old, REQUEST_LINE_END), Ordering::SeqCst);
            } else {
                let mut awaited = carried.awaited.lock().expect("not poisoned");
                let (needle, number, times) = &mut *awaited;
                if seen != *number && ends_in(&window, old, needle) > 0 {
                    times.push(Instant::now());
                    seen = *number;
                }
            }
            // Keeps what a text split between two chunks needs.
            let keep = window.len().min(64);
            window.drain(..window.len() - keep);
        }
        if *carried.fault.lock().expect("not poisoned") != Fault::Reset {
            let _ = to.shutdown(Shutdown::Write);
        }
        if last.swap(true, Ordering::SeqCst) {
            carried.streams.lock().expect("not poisoned").remove(&number);
        }
    });
}

/// A folder that goes with its owner. Where the test fails it is left: the logs in it may tell why.
pub struct Dir(PathBuf);

impl Dir {
    pub fn new(name: &str) -> Dir {
        let dir = Dir(std::env::temp_dir().join(format!("listd-{name}-{}", std::process::id())));
        std::fs::create_dir_all(&dir.0).expect("a folder");
        dir
    }

    pub fn join(&self, file: impl AsRef<Path>) -> PathBuf {
        self.0.join(file)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        if !thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Three instances, each with a proxy on its way to each other one.
pub struct Cluster {
    pub addrs: Vec<std::net::SocketAddr>,
    /// `proxies[from][to]`: the way from one instance to another; none from one to itself.
    pub proxies: Vec<Vec<Option<Proxy>>>,
    pub nodes: Vec<Option<Listd>>,
    pub dir: Dir,
    _ports: Vec<Port>,
}

impl Cluster {
    /// Starts one that serves the list.
    pub fn new(name: &str) -> Cluster {
        Cluster::with(name, "")
    }

    /// The same with more tables in each instance's configuration.
    pub fn with(name: &str, tables: &str) -> Cluster {
        let dir = Dir::new(name);
        let ports: Vec<_> = (0..3).map(|_| Port::reserve()).collect();
        let addrs: Vec<_> = ports.iter().map(|port| port.addr).collect();
        let proxies: Vec<Vec<_>> = (0..3)
            .map(|from| (0..3).map(|to| (from != to).then(|| Proxy::new(addrs[to]))).collect())
            .collect();
        for (from, ways) in proxies.iter().enumerate() {
            let peers: String = ways
                .iter()
                .enumerate()
                .map(|(to, way)| {
                    format!("\"{}\" = \"{}\"\n", to + 1, way.as_ref().map_or(addrs[to], |p| p.addr))
                })
                .collect();
            std::fs::write(dir.join(format!("{from}.toml")), format!("[peers]\n{peers}{tables}"))
                .expect("a configuration");
        }
        let mut cluster = Cluster { addrs, proxies, nodes: vec![None, None, None], dir, _ports: ports };
        cluster.start_all();
        cluster
    }

    /// Starts all three; back once they serve the list.
    pub fn start_all(&mut self) {
        (0..3).for_each(|i| self.start(i));
        self.serving("no leader");
    }

    /// Cuts or mends both ways between one instance and the others.
    pub fn cut(&self, i: usize, cut: bool) {
        for (from, ways) in self.proxies.iter().enumerate() {
            for (to, way) in ways.iter().enumerate() {
                if let Some(way) = way.as_ref().filter(|_| from == i || to == i) {
                    way.cut(cut);
                }
            }
        }
    }

    pub fn start(&mut self, i: usize) {
        let (data, config) = (self.dir.join(format!("{i}.redb")), self.dir.join(format!("{i}.toml")));
        let id = (i + 1).to_string();
        self.nodes[i] = Some(Listd::start_at(self.addrs[i], &data, &config, &["--id", &id]));
    }

    /// Waits until every instance serves the list, knowing a leader; panics with `what` after [`PATIENCE`].
    pub fn serving(&self, what: &str) {
        (0..3).for_each(|i| self.node(i).until(what, Listd::serves));
    }

    /// SIGKILLs all three at once.
    pub fn kill_all(&mut self) {
        (0..3).for_each(|i| self.nodes[i].take().expect("running").kill());
    }

    pub fn node(&self, i: usize) -> &Listd {
        self.nodes[i].as_ref().expect("running")
    }

    /// Writes through whichever instance leads, following `X-Leader`; `None` where no leader took it in time.
    pub fn write(&self, method: &str, path: &str, body: &str, within: Duration) -> Option<(usize, u64)> {
        let began = Instant::now();
        let mut at = (0..3).find(|&i| self.nodes[i].is_some())?;
        while began.elapsed() < within {
            // A paused instance takes the connection and never answers.
            let answer = self.nodes[at].as_ref().and_then(|node| node.call_within(method, path, body, WRITE));
            match answer {
                Some((200, body, _)) => return Some((at, revision(&body))),
                Some((421, _, Some(leader))) => {
                    // The leader as the instance asked reaches it.
                    let way = |p: &Option<Proxy>| p.as_ref().is_some_and(|p| p.addr.to_string() == leader);
                    at = self.proxies[at].iter().position(way).unwrap_or(at);
                    if self.nodes[at].is_none() {
                        at = (at + 1) % 3;
                    }
                }
                _ => {
                    at = (at + 1) % 3;
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
        }
        None
    }
}

pub fn json(body: &str) -> Value {
    serde_json::from_str(body).unwrap_or(Value::Null)
}

/// Asks whichever instance answers, until the status is one that tells of the duty or plan.
pub fn settled(cluster: &Cluster, method: &str, path: &str, body: &str) -> (u16, Value) {
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        for node in cluster.nodes.iter().flatten() {
            if let Some((status @ (200 | 400 | 404 | 409), body, _)) =
                node.call_within(method, path, body, WRITE * 2)
            {
                return (status, json(&body));
            }
        }
        sleep(Duration::from_millis(20));
    }
    panic!("{method} {path} was never answered");
}

/// The instance that has the duty `planner`, and its token, by what any instance tells.
pub fn planner(cluster: &Cluster) -> (usize, u64) {
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        let duty = settled(cluster, "GET", "/duties/planner", "").1;
        let id = duty["holder"].as_str().and_then(|holder| holder.split('-').nth(1)?.parse::<usize>().ok());
        if let (Some(id), Some(token)) = (id, duty["token"].as_u64()) {
            return (id - 1, token);
        }
        sleep(Duration::from_millis(20));
    }
    panic!("nobody took the duty");
}

/// A registration in the service's form.
pub fn entry(id: &str, ttl_ms: Option<u64>) -> String {
    let ttl = ttl_ms.map(|ttl| format!(",\"ttl_ms\":{ttl}")).unwrap_or_default();
    format!(
        r#"{{"id":"{id}","host_port":"127.0.0.1:9001","locality":"a","flavor":"m2","cell":1,"phase":"Ready","size":1.0,"up_since_ms":0{ttl}}}"#
    )
}

pub fn revision(body: &str) -> u64 {
    let json: serde_json::Value = serde_json::from_str(body).expect("JSON");
    json["revision"].as_u64().expect("a revision")
}

/// The ids and phases of a list, as `id:phase`, sorted as text.
pub fn ids(body: &str) -> Vec<String> {
    let json: serde_json::Value = serde_json::from_str(body).expect("JSON");
    let members = json["members"].as_array().expect("members");
    let mut ids: Vec<String> = members
        .iter()
        .map(|m| format!("{}:{}", m["id"].as_str().unwrap_or(""), m["phase"].as_str().unwrap_or("")))
        .collect();
    ids.sort();
    ids
}
