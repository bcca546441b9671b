//! The stand-ins of the cases 6 to 10 and the checks of their rules: clients, upstreams and discovery as the pages
//! describe them, on loopback addresses and the real clock. The sidecar is the project's own, started by the command of the
//! deploy file. Usage: stage-2 CASE ROOT RECORD, with TROUBLE=0 for the same without the disruption.
//! It exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

use std::collections::HashMap;
use std::fmt::Display;
use std::fs::{self, File};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

// ---- the record ----

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Milliseconds since the case began.
fn now() -> f64 {
    RECORD.get().expect("opened").start.elapsed().as_secs_f64() * 1e3
}

fn note(line: impl Display) {
    let record = RECORD.get().expect("opened");
    let mut file = record.file.lock().expect("no panic");
    writeln!(file, "{:9.1} {line}", now()).expect("the record is written");
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// ---- HTTP ----

struct Message {
    /// The request's or status line.
    first: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
    /// When its first byte was read.
    began: f64,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// The next message; `Ok(None)` at an end before its first byte.
fn read_message(stream: &mut TcpStream, spare: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    let mut bytes = [0; 4096];
    let mut began = (!spare.is_empty()).then(now);
    let more = |spare: &mut Vec<u8>, stream: &mut TcpStream, bytes: &mut [u8]| {
        let count = stream.read(bytes)?;
        spare.extend_from_slice(&bytes[..count]);
        Ok::<usize, std::io::Error>(count)
    };
    let end = loop {
        if let Some(at) = spare.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        if more(spare, stream, &mut bytes)? == 0 {
            return if spare.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
        }
        began.get_or_insert_with(now);
    };
    let head = String::from_utf8_lossy(&spare[..end]).into_owned();
    spare.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut more = |spare: &mut Vec<u8>| match more(spare, stream, &mut bytes)? {
        0 => Err(ErrorKind::UnexpectedEof.into()),
        _ => Ok::<(), std::io::Error>(()),
    };
    let mut body = Vec::new();
    if headers.contains_key("transfer-encoding") {
        // Chunked is the last coding of any that comes here.
        loop {
            let Some(line) = spare.windows(2).position(|two| two == b"\r\n") else {
                more(spare)?;
                continue;
            };
            let text = String::from_utf8_lossy(&spare[..line]).into_owned();
            let digits = text.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(digits, 16).map_err(|_| ErrorKind::InvalidData)?;
            while spare.len() < line + 2 + size + 2 {
                more(spare)?;
            }
            body.extend_from_slice(&spare[line + 2..line + 2 + size]);
            spare.drain(..line + 2 + size + 2);
            if size == 0 {
                break;
            }
        }
    } else {
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while spare.len() < length {
            more(spare)?;
        }
        body.extend(spare.drain(..length));
    }
    Ok(Some(Message { first, headers, body, began: began.unwrap_or_else(now) }))
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// A port that is free now.
fn free_addr() -> SocketAddr {
    listen().local_addr().expect("an address")
}

// ---- upstreams ----

/// What an upstream answers.
#[derive(Clone, Copy)]
enum Answers {
    /// The request's id.
    Id,
    /// 64 kB in ten pieces, 50 ms apart.
    Much,
}

/// An upstream serves each request after so many ms, and notes when its first byte came.
struct Upstream {
    id: &'static str,
    zone: &'static str,
    addr: SocketAddr,
    work: u64,
    answers: Answers,
    got: Mutex<Vec<Run>>,
}

/// A request that an upstream has run.
#[derive(Clone)]
struct Run {
    /// When its first byte came.
    began: f64,
    call: String,
    /// What its head says of the codings of its body.
    codings: String,
    body: Vec<u8>,
}

impl Upstream {
    fn start(id: &'static str, zone: &'static str, work: u64, answers: Answers) -> Arc<Upstream> {
        let listener = listen();
        let addr = listener.local_addr().expect("an address");
        let upstream = Arc::new(Upstream { id, zone, addr, work, answers, got: Mutex::default() });
        note(format_args!("upstream {id} is at {addr}"));
        let of = upstream.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let of = of.clone();
                spawn(move || of.serve(stream));
            }
        });
        upstream
    }

    fn serve(&self, mut stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let mut spare = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut spare) {
            let call = request.header("x-call-id").to_owned();
            note(format_args!("upstream {} runs {call}, begun at {:.1}", self.id, request.began));
            let codings = request.header("transfer-encoding").to_owned();
            let is_kept = matches!(self.answers, Answers::Id);
            let body = if is_kept { request.body } else { Vec::new() };
            let run = Run { began: request.began, call: call.clone(), codings, body };
            self.got.lock().expect("no panic").push(run);
            sleep(ms(self.work));
            let (answer, pieces) = if is_kept { (call.into_bytes(), 1) } else { (vec![b'z'; 64_000], 10) };
            let mut goes_on = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.len()).is_ok();
            for piece in answer.chunks(answer.len().div_ceil(pieces)) {
                goes_on = goes_on && stream.write_all(piece).is_ok();
                if pieces > 1 {
                    sleep(ms(50));
                }
            }
            if !goes_on {
                return;
            }
        }
    }

    /// A line of the list.
    fn line(&self, phase: &str) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"typ-a","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#,
            self.id, self.addr, self.zone
        )
    }

    fn runs(&self) -> Vec<Run> {
        self.got.lock().expect("no panic").clone()
    }
}

// ---- discovery ----

#[derive(Default)]
struct List {
    revision: u64,
    /// Each line with the revision of its last change.
    members: Vec<(u64, String)>,
}

impl List {
    fn json(&self, since: Option<u64>) -> String {
        let lines = self.members.iter().filter(|(at, _)| since.is_none_or(|since| *at > since));
        let lines: Vec<&str> = lines.map(|(_, line)| line.as_str()).collect();
        let complete = since.is_none();
        format!(r#"{{"revision":{},"complete":{complete},"members":[{}]}}"#, self.revision, lines.join(","))
    }
}

/// One discovery service. Each call waits its turn for so many ms before it is worked on.
struct Discovery {
    name: &'static str,
    addr: SocketAddr,
    list: Mutex<List>,
    changed: Condvar,
    turn: AtomicU64,
    /// It takes no new connections.
    closed: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Discovery {
    fn start(name: &'static str, revision: u64, lines: Vec<String>) -> Arc<Discovery> {
        let listener = listen();
        let addr = listener.local_addr().expect("an address");
        let members = lines.into_iter().map(|line| (revision, line)).collect();
        let discovery = Arc::new(Discovery {
            name,
            addr,
            list: Mutex::new(List { revision, members }),
            changed: Condvar::new(),
            turn: AtomicU64::new(0),
            closed: AtomicBool::new(false),
            open: Mutex::default(),
        });
        note(format_args!("{name} is at {addr}, revision {revision}"));
        let of = discovery.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if of.closed.load(Ordering::SeqCst) {
                    continue;
                }
                of.open.lock().expect("no panic").extend(stream.try_clone());
                let of = of.clone();
                spawn(move || of.serve(stream));
            }
        });
        discovery
    }

    /// Takes no new connections and closes the open ones after so long.
    fn leave(self: &Arc<Self>, after: Duration) {
        self.closed.store(true, Ordering::SeqCst);
        let of = self.clone();
        spawn(move || {
            sleep(after);
            for stream in of.open.lock().expect("no panic").drain(..) {
                drop(stream.shutdown(Shutdown::Both));
            }
        });
    }

    fn change(&self, at: usize, line: String) {
        let mut list = self.list.lock().expect("no panic");
        list.revision += 1;
        list.members[at] = (list.revision, line.clone());
        note(format_args!("{} has revision {}: {line}", self.name, list.revision));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let mut spare = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut spare) {
            note(format_args!("{} is called: {}", self.name, request.first));
            sleep(ms(self.turn.load(Ordering::SeqCst)));
            let number = |key: &str| {
                let target = request.first.split(' ').nth(1).unwrap_or_default();
                let pairs = target.split_once('?').map_or("", |(_, query)| query).split('&');
                pairs.filter_map(|pair| pair.split_once('=')).find(|(name, _)| *name == key)?.1.parse::<u64>().ok()
            };
            let (index, wait) = (number("index"), ms(number("wait").unwrap_or(0)));
            let mut list = self.list.lock().expect("no panic");
            if let Some(index) = index {
                let none_newer = |list: &mut List| list.revision <= index;
                list = self.changed.wait_timeout_while(list, wait, none_newer).expect("no panic").0;
            }
            let body = list.json(index);
            drop(list);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let written = stream.write_all(answer.as_bytes());
            let how = if written.is_ok() { "answers" } else { "finds the caller gone, before" };
            note(format_args!("{} {how} {body}", self.name));
            if written.is_err() {
                return;
            }
        }
        note(format_args!("{}: a caller has closed its connection", self.name));
    }
}

// ---- the sidecar ----

/// A sidecar, with a folder of its own.
struct Sidecar {
    name: String,
    root: PathBuf,
    folder: PathBuf,
    listen: SocketAddr,
    number: usize,
    of: usize,
    limits: Limits,
    child: Option<Child>,
}

#[derive(Clone, Copy)]
struct Limits {
    memory_mb: u32,
    sockets: u32,
}

impl Sidecar {
    /// One of so many, not started yet.
    fn new(root: &Path, number: usize, of: usize, limits: Limits) -> Sidecar {
        let name = format!("n{number}");
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        fs::create_dir_all(folder.join("tmp")).expect("a folder");
        Sidecar { name, root: root.to_owned(), folder, listen: free_addr(), number, of, limits, child: None }
    }

    /// Replaces the configuration's file as a whole.
    fn configure(&self, discovery: SocketAddr, revision: u64, known: &[String]) {
        let settings =
            SETTINGS.replace("NUMBER", &self.number.to_string()).replace("INSTANCES", &self.of.to_string());
        let Limits { memory_mb, sockets } = self.limits;
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{discovery}","seed":"8c1f30d27a5be96{}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{{"revision":{revision},"complete":true,"members":[{}]}},
"settings":{settings}}}"#,
            self.name,
            self.listen,
            self.number,
            known.join(",")
        );
        let next = self.folder.join("next.json");
        fs::write(&next, text).expect("written");
        fs::rename(next, self.folder.join("config.json")).expect("replaced");
    }

    /// Starts the sidecar by `run` of the deploy file.
    fn start(&mut self) {
        let deploy = fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next()).expect("`run`");
        let log = File::options().create(true).append(true).open(self.folder.join("log")).expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", run])
            .current_dir(&self.root)
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        for name in ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_CONTROL", "RUST_LOG"] {
            command.env_remove(name);
        }
        // SAFETY: a plain system call: the sidecar ends with whoever started it, however that ends.
        let tie = || unsafe {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        };
        // SAFETY: the call above is all that it does.
        let child = unsafe { command.pre_exec(tie) }.spawn().expect("the sidecar starts");
        note(format_args!("sidecar {} is started at {}: {run}, process {}", self.name, self.listen, child.id()));
        self.child = Some(child);
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: a plain system call, on a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    fn kill(&mut self) {
        self.signal(SIGKILL);
        self.child.take().into_iter().for_each(|mut child| drop(child.wait()));
    }

    /// Waits until `GET /health/ready` has answered 200; back when that was.
    fn wait_ready(&self) -> f64 {
        for _ in 0..2_000 {
            let asked = Client::new(self.listen).ask("GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n", ms(1_000));
            if matches!(&asked, Got::Answer(answer) if answer.status() == 200) {
                note(format_args!("sidecar {} is ready", self.name));
                return now();
            }
            sleep(ms(5));
        }
        panic!("the sidecar is not ready");
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
        if let Ok(log) = fs::read_to_string(self.folder.join("log")) {
            log.lines().take(30).for_each(|line| note(format_args!("log of {}: {line}", self.name)));
        }
        drop(fs::remove_dir_all(&self.folder));
    }
}

/// So many sidecars, started and ready.
fn sidecars(root: &Path, of: usize, limits: Limits, discovery: &Discovery, known: &[String]) -> Vec<Sidecar> {
    let mut all: Vec<Sidecar> = (0..of).map(|number| Sidecar::new(root, number, of, limits)).collect();
    for sidecar in &mut all {
        sidecar.configure(discovery.addr, 41, known);
        sidecar.start();
    }
    for sidecar in &all {
        sidecar.wait_ready();
    }
    all
}

const SETTINGS: &str = r#"{"areas":["praha","brno"],"skus":["typ-a","typ-b","typ-c"],"tiers":["zaznamy"],"stage":0,
"zone":0,"me":NUMBER,"instances":INSTANCES,"tick":5.0,"discovery":"pushed","workload":"mesh","worthBy":"work","weightSource":"nominal",
"overShareWorth":0.05,"clients":{"marksRetry":false},"familyInfo":{"warmKeys":false},
"blend":{"whole":0.4,"worstClass":0.2,"worstTenant":0.25,"worstWindow":0.15},
"obligations":{"answerSlack":20.0,"coldFrom":0.19,"drainGrace":1000.0,"fall":3000.0,"fallMultiple":4.0,
"mustAskIn":10000.0,"rampTime":24000.0},
"policyLimits":{"cancel":true,"connectTimeout":200.0,"cpuUsPerRequest":0.0,"cpuUsPerS":100000,"keepalive":5000.0,
"maxRetryAfter":1000.0,"mayTell":false,"mostTries":4,"multiplex":1,"openCap":20000,"probes":false,"retryAfter":true,
"secondCopies":true},
"prices":{"connection":0.0,"crossZone":0.01,"discovery":0.0,"handshake":0.0,"lateFail":0.05,"waste":0.2},
"report":{"fields":["tps","load_share"],"how":"off"},
"orgs":[{"name":"mesto-horni","quotaRps":37.0,"share":0.6},{"name":"mesto-dolni","quotaRps":35.0,"share":0.4}],
"requestClasses":[
{"name":"vyhledani","idempotency":"retryable","group":"all","dedupWindow":5000.0,"aim":400.0,"deadline":800.0,
"lateWorth":0.3,"points":1.0,"streamed":false},
{"name":"poznamka","idempotency":"dedup","group":"zone","dedupWindow":1200.0,"aim":600.0,"deadline":1200.0,
"lateWorth":0.2,"points":2.0,"streamed":false},
{"name":"vydani-listu","idempotency":"fragile","group":"all","dedupWindow":5000.0,"aim":750.0,"deadline":2000.0,
"lateWorth":0.3,"points":3.0,"streamed":false}]}"#;

// ---- clients ----

/// What has come of a request.
enum Got {
    Answer(Message),
    /// The connection could not be made, or ended before the first byte of an answer.
    Closed,
    /// Nothing within the time.
    Nothing,
}

impl Got {
    fn name(&self) -> String {
        match self {
            Got::Answer(answer) => format!("answered {}", answer.status()),
            Got::Closed => "closed unanswered".to_owned(),
            Got::Nothing => "not answered and not closed".to_owned(),
        }
    }
}

/// Waits for an answer for so long.
fn wait_for_answer(stream: &mut TcpStream, wait: Duration) -> Got {
    drop(stream.set_read_timeout(Some(wait)));
    match read_message(stream, &mut Vec::new()) {
        Ok(Some(answer)) => Got::Answer(answer),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Got::Nothing,
        _ => Got::Closed,
    }
}

/// A client's connection, kept from one request to the next.
struct Client {
    to: SocketAddr,
    kept: Option<TcpStream>,
}

static CALLS: AtomicU64 = AtomicU64::new(1);

impl Client {
    fn new(to: SocketAddr) -> Client {
        Client { to, kept: None }
    }

    /// Sends a request and waits for its answer for so long. Like any client it sends once more, on a new connection, what
    /// crosses the end of a kept one.
    fn ask(&mut self, request: &str, wait: Duration) -> Got {
        if let Some(stream) = self.kept.take() {
            let got = self.ask_on(stream, request, wait);
            if !matches!(got, Got::Closed) {
                return got;
            }
        }
        match TcpStream::connect_timeout(&self.to, wait) {
            Ok(stream) => self.ask_on(stream, request, wait),
            Err(_) => Got::Closed,
        }
    }

    fn ask_on(&mut self, mut stream: TcpStream, request: &str, wait: Duration) -> Got {
        drop(stream.set_nodelay(true));
        if stream.write_all(request.as_bytes()).is_err() {
            return Got::Closed;
        }
        let got = wait_for_answer(&mut stream, wait);
        if matches!(&got, Got::Answer(answer) if !answer.header("connection").eq_ignore_ascii_case("close")) {
            self.kept = Some(stream);
        }
        got
    }
}

/// A new id, which begins with the sidecar's number.
fn new_call(sidecar: usize) -> String {
    format!("{sidecar}{:015x}", CALLS.fetch_add(1, Ordering::SeqCst))
}

/// The time of a client that looks something up, ...
const LOOK_UP_MS: u64 = 800;

/// ... and its request, which is safe to repeat.
fn look_up(call: &str) -> String {
    format!(
        "GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {call}\r\nX-Call-Class: vyhledani\r\n\
         X-Caller: mesto-horni\r\nX-Budget: 0.800\r\n\r\n"
    )
}

/// So long after a client's time its request is lost, with the 50 ms that every limit is longer on sockets.
const LOST_MS: u64 = LOOK_UP_MS + 500 + 50;

/// So many clients of a sidecar, each sending one request after another with a pause in between, until then. Each is back
/// with the ids that had neither an answer nor the end of their connection in time.
fn traffic(sidecar: &Sidecar, clients: usize, pause: u64, end: f64) -> Vec<JoinHandle<Vec<String>>> {
    let (to, number) = (sidecar.listen, sidecar.number);
    let one = move || {
        let (mut client, mut lost) = (Client::new(to), Vec::new());
        while now() < end {
            let call = new_call(number);
            note(format_args!("a client sends {call}"));
            let got = client.ask(&look_up(&call), ms(LOST_MS));
            note(format_args!("{call} is {}", got.name()));
            if matches!(got, Got::Nothing) {
                lost.push(call);
            }
            sleep(ms(pause));
        }
        lost
    };
    (0..clients).map(|_| spawn(one)).collect()
}

fn join(clients: Vec<JoinHandle<Vec<String>>>) -> Vec<String> {
    clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect()
}

// ---- the cases ----

const USUAL: Limits = Limits { memory_mb: 64, sockets: 384 };

/// Ten upstreams in two zones, and their lines in the list.
fn upstreams(work: u64, answers: Answers) -> (Vec<Arc<Upstream>>, Vec<String>) {
    let ids = ["s-01", "s-02", "s-03", "s-04", "s-05", "s-06", "s-07", "s-08", "s-09", "s-10"];
    let zones = ["praha", "brno"];
    let all: Vec<_> = (0..10).map(|at| Upstream::start(ids[at], zones[at / 5], work, answers)).collect();
    let lines = all.iter().map(|upstream| upstream.line("Ready")).collect();
    (all, lines)
}

/// The grace of the rule on drains, with the 50 ms that every limit is longer on sockets.
const DRAIN_GRACE_MS: f64 = 1_000.0 + 50.0;

/// Did these sidecars send an upstream anything later than the grace after they counted as told that it drains?
fn breaks_drain(upstream: &Upstream, told: f64, sidecars: &str) -> bool {
    let mut late = upstream.runs();
    late.retain(|run| run.began > told + DRAIN_GRACE_MS && run.call.starts_with(|number| sidecars.contains(number)));
    note(format_args!("told at {told:.1}; sent to {} later than {DRAIN_GRACE_MS} ms after that: {}", upstream.id, late.len()));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        let (begin, end) = (first.began - told, last.began - told);
        note(format_args!("the first {begin:.1} ms after it ({}), the last {end:.1} ms ({})", first.call, last.call));
    }
    !late.is_empty()
}

fn breaks_answers(lost: &[String]) -> bool {
    note(format_args!("neither answered nor closed by half a second after their time: {}, {lost:?}", lost.len()));
    !lost.is_empty()
}

/// How long each call waits its turn at a discovery that is slow.
const TURN_MS: u64 = 2_500;

/// A new configuration moves discovery to an address where each call has to wait.
fn slow_discovery_after_sighup(root: &Path, trouble: bool) -> bool {
    let (upstreams, ready) = upstreams(30, Answers::Id);
    let old = Discovery::start("the old discovery", 41, ready.clone());
    let new = Discovery::start("the new discovery", 41, ready.clone());
    let sidecars = sidecars(root, 3, USUAL, &old, &ready);
    let end = now() + 13_000.0;
    let clients = sidecars.iter().flat_map(|sidecar| traffic(sidecar, 4, 40, end)).collect();
    sleep(ms(2_500));
    if trouble {
        new.turn.store(TURN_MS, Ordering::SeqCst);
    }
    new.change(0, upstreams[0].line("Terminating"));
    sidecars.iter().for_each(|sidecar| sidecar.configure(new.addr, 41, &ready));
    sidecars.iter().for_each(|sidecar| sidecar.signal(SIGHUP));
    let signal = now();
    note("SIGHUP");
    old.leave(ms(1_500));
    join(clients);
    // Whatever discovery has to tell counts as told 4 s after the signal.
    breaks_drain(&upstreams[0], signal + 4_000.0, "012")
}

/// One of three sidecars is killed and comes back with the list that it had, while each call at discovery has to wait.
fn slow_discovery_after_restart(root: &Path, trouble: bool) -> bool {
    let (upstreams, ready) = upstreams(30, Answers::Id);
    let discovery = Discovery::start("discovery", 41, ready.clone());
    let mut sidecars = sidecars(root, 3, USUAL, &discovery, &ready);
    let before = now() + 2_000.0;
    let clients = sidecars.iter().flat_map(|sidecar| traffic(sidecar, 6, 20, before)).collect();
    join(clients);
    sidecars[0].kill();
    note("sidecar n0 is killed");
    discovery.change(0, upstreams[0].line("Terminating"));
    sleep(ms(2_000));
    if trouble {
        discovery.turn.store(TURN_MS, Ordering::SeqCst);
    }
    sidecars[0].start();
    // It counts as told from the first moment of the new process; here only from when that is ready.
    let told = sidecars[0].wait_ready();
    join(traffic(&sidecars[0], 8, 20, told + 5_000.0));
    breaks_drain(&upstreams[0], told, "0")
}

/// Idle peers, which send nothing and stay, fill the descriptors of a sidecar with the fewest.
fn crowd(root: &Path, trouble: bool) -> bool {
    const IDLE: usize = 240;
    let (_upstreams, ready) = upstreams(30, Answers::Id);
    let discovery = Discovery::start("discovery", 41, ready.clone());
    let sidecars = sidecars(root, 3, Limits { memory_mb: 64, sockets: 256 }, &discovery, &ready);
    let clients = traffic(&sidecars[0], 8, 100, now() + 8_000.0);
    sleep(ms(1_500));
    let peers = if trouble { IDLE } else { 0 };
    let peers: Vec<_> = (0..peers).map(|_| TcpStream::connect(sidecars[0].listen).expect("a connection")).collect();
    note(format_args!("{} idle peers have connected to n0", peers.len()));
    let lost = join(clients);
    drop(peers);
    breaks_answers(&lost)
}

/// So many clients of a sidecar that each send a body of so many bytes, at 64 kB a second.
fn slow_uploads(sidecar: &Sidecar, count: usize, size: usize) {
    let (to, number) = (sidecar.listen, sidecar.number);
    let upload = move || {
        let call = new_call(number);
        let mut stream = TcpStream::connect(to).expect("a connection");
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {call}\r\nX-Call-Class: vydani-listu\r\n\
             X-Caller: mesto-horni\r\nX-Budget: 2.000\r\nContent-Length: {size}\r\n\r\n"
        );
        note(format_args!("a client begins to send {call}, a body of {size} bytes at 64 kB a second"));
        let (begin, piece, mut sent) = (Instant::now(), [b'x'; 6_400], 0);
        let mut goes_on = stream.write_all(head.as_bytes()).is_ok();
        while goes_on && sent < size {
            let next = piece.len().min(size - sent);
            goes_on = stream.write_all(&piece[..next]).is_ok();
            sent += next;
            sleep(Duration::from_secs_f64(sent as f64 / 64_000.0).saturating_sub(begin.elapsed()));
        }
        note(format_args!("{call}, a long body, is {}", wait_for_answer(&mut stream, ms(3_000)).name()));
    };
    for _ in 0..count {
        spawn(upload);
    }
}

/// Clients that use less than a third of the descriptors, most of them for long bodies at 64 kB a second.
fn uploads(root: &Path, trouble: bool) -> bool {
    let (_upstreams, ready) = upstreams(30, Answers::Id);
    let discovery = Discovery::start("discovery", 41, ready.clone());
    let sidecars = sidecars(root, 3, Limits { memory_mb: 32, sockets: 1_024 }, &discovery, &ready);
    slow_uploads(&sidecars[0], if trouble { 230 } else { 0 }, 512_000);
    sleep(ms(1_000));
    let lost = join(traffic(&sidecars[0], 8, 100, now() + 5_000.0));
    breaks_answers(&lost)
}

/// Clients that have been served stay idle until the sidecar ends their connections, and so fill its places, while some
/// others send long bodies at 64 kB a second.
fn idle_clients(root: &Path, trouble: bool) -> bool {
    let (_upstreams, ready) = upstreams(30, Answers::Id);
    let discovery = Discovery::start("discovery", 41, ready.clone());
    let sidecars = sidecars(root, 3, Limits { memory_mb: 64, sockets: 256 }, &discovery, &ready);
    slow_uploads(&sidecars[0], 24, 768_000);
    sleep(ms(1_000));
    let (to, told) = (sidecars[0].listen, Arc::new(AtomicU64::new(0)));
    for _ in 0..if trouble { 96 } else { 0 } {
        let call = new_call(0);
        note(format_args!("a client sends {call}, and rests once it is answered"));
        let mut client = Client::new(to);
        let told = told.clone();
        spawn(move || {
            let got = client.ask(&look_up(&call), ms(LOST_MS));
            note(format_args!("{call} is {}, its client rests", got.name()));
            // Like any sound client it closes what the sidecar has ended.
            if let Some(mut stream) = client.kept.take() {
                drop(stream.set_read_timeout(None));
                drop(stream.read(&mut [0]));
                told.fetch_add(1, Ordering::SeqCst);
            }
        });
        sleep(ms(10));
    }
    sleep(ms(500));
    let lost = join(traffic(&sidecars[0], 8, 100, now() + 6_000.0));
    note(format_args!("idle connections that the sidecar has ended: {}", told.load(Ordering::SeqCst)));
    breaks_answers(&lost)
}

/// What a client issues, ...
const TEXT: &[u8] = b"list 1871, opis pro matku";

/// ... and the same by the coding `gzip`.
const GZIPPED: &[u8] = &[0x1f, 0x8b, 0x08, 0x00, 0x00, 0x00, 0x00, 0x00, 0x02, 0x03, 0xcb, 0xc9, 0x2c, 0x2e, 0x51, 0x30, 0xb4, 0x30, 0x37, 0xd4, 0x51, 0xc8, 0x2f, 0xc8, 0x2c, 0x56, 0x28, 0x28, 0xca, 0x57, 0xc8, 0x4d, 0x2c, 0xc9, 0x2e, 0x05, 0x00, 0x8f, 0xae, 0x2b, 0xd7, 0x19, 0x00, 0x00, 0x00];

fn chunked(content: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", content.len()).as_bytes(), content, b"\r\n0\r\n\r\n"].concat()
}

/// Clients send a body by transfer codings.
fn codings(root: &Path, trouble: bool) -> bool {
    let (upstreams, ready) = upstreams(30, Answers::Id);
    let discovery = Discovery::start("discovery", 41, ready.clone());
    let sidecars = sidecars(root, 3, USUAL, &discovery, &ready);
    let coded = [
        ("Transfer-Encoding: gzip, chunked", chunked(GZIPPED)),
        ("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", chunked(GZIPPED)),
        ("Transfer-Encoding: chunked, chunked", chunked(&chunked(TEXT))),
    ];
    let plain = [
        ("Transfer-Encoding: chunked", chunked(TEXT)),
        ("Content-Length: 25", TEXT.to_vec()),
    ];
    let sent: &[(&str, Vec<u8>)] = if trouble { &coded } else { &plain };
    let mut broken = false;
    for (framing, body) in sent.iter().cycle().take(12) {
        let call = new_call(0);
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {call}\r\nX-Call-Class: vydani-listu\r\n\
             X-Caller: mesto-horni\r\nX-Budget: 2.000\r\n{framing}\r\n\r\n"
        );
        note(format_args!("a client sends {call} with {framing:?}: {:?}", String::from_utf8_lossy(body)));
        let mut stream = TcpStream::connect(sidecars[0].listen).expect("a connection");
        stream.write_all(&[head.as_bytes(), body].concat()).expect("written");
        let got = wait_for_answer(&mut stream, ms(3_000));
        note(format_args!("{call} is {}", got.name()));
        let runs = upstreams.iter().flat_map(|upstream| upstream.runs()).filter(|run| run.call == call);
        for run in runs {
            note(format_args!("{call} has run with the codings {:?} and the body {:?}", run.codings, String::from_utf8_lossy(&run.body)));
            // It may have been passed on as it came, or decoded.
            broken |= run.body != TEXT && !run.codings.contains("gzip") && run.codings != "chunked, chunked";
        }
    }
    note(if broken { "a server has run a body that no client sent" } else { "what has run is what was sent" });
    broken
}

/// What the process holds, in kB.
fn memory(sidecar: &Sidecar) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", sidecar.child.as_ref()?.id())).ok()?;
    status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?.parse().ok())
}

/// Clients that use less than a third of the descriptors send bodies of 63 kB at 64 kB a second to a sidecar with the least
/// memory. The platform kills what is over its limit.
fn least_memory(root: &Path, trouble: bool) -> bool {
    const MEMORY_MB: u32 = 32;
    const PIECE: usize = 3_000;
    const PIECES: usize = 21;
    let (_upstreams, ready) = upstreams(600, Answers::Much);
    let discovery = Discovery::start("discovery", 41, ready.clone());
    let limits = Limits { memory_mb: MEMORY_MB, sockets: 1_024 };
    let mut sidecars = sidecars(root, 3, limits, &discovery, &ready);
    let (to, end) = (sidecars[0].listen, now() + 30_000.0);
    let over = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(AtomicU64::new(0));
    for _ in 0..if trouble { 330 } else { 4 } {
        let (over, cut) = (over.clone(), cut.clone());
        spawn(move || {
            while now() < end && !over.load(Ordering::SeqCst) {
                let call = new_call(0);
                let Ok(mut stream) = TcpStream::connect(to) else { return };
                drop(stream.set_nodelay(true));
                note(format_args!("a client sends {call} with {} bytes at 64 kB a second", PIECE * PIECES));
                let head = format!(
                    "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {call}\r\nX-Call-Class: vydani-listu\r\n\
                     X-Caller: mesto-horni\r\nX-Budget: 2.000\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                let mut goes_on = stream.write_all(head.as_bytes()).is_ok();
                let piece = [format!("{PIECE:x}\r\n").as_bytes(), &[b'x'; PIECE], b"\r\n"].concat();
                let begin = Instant::now();
                for sent in 1..=PIECES {
                    goes_on = goes_on && stream.write_all(&piece).is_ok();
                    sleep(Duration::from_secs_f64((sent * PIECE) as f64 / 64_000.0).saturating_sub(begin.elapsed()));
                }
                drop(stream.write_all(b"0\r\n\r\n"));
                let got = wait_for_answer(&mut stream, ms(3_000));
                note(format_args!("{call} is {}", got.name()));
                if over.load(Ordering::SeqCst) && !matches!(got, Got::Answer(_)) {
                    cut.fetch_add(1, Ordering::SeqCst);
                }
            }
        });
    }
    // The larger reading of a megabyte.
    let (limit, mut most) = (u64::from(MEMORY_MB) * 1_024, 0);
    while now() < end && most <= limit {
        let held = memory(&sidecars[0]).expect("the sidecar runs");
        if held > most {
            most = held;
            note(format_args!("n0 holds {held} kB of {limit} kB"));
        }
        sleep(ms(20));
    }
    note(format_args!("n0 has held {most} kB of {limit} kB"));
    if most > limit {
        over.store(true, Ordering::SeqCst);
        sidecars[0].kill();
        note("the platform has killed n0: it is over its memory");
        sleep(ms(4_000));
        note(format_args!("requests on their way that have no answer: {}", cut.load(Ordering::SeqCst)));
    }
    most > limit
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: stage-2 CASE ROOT RECORD");
        exit(2);
    };
    let file = Mutex::new(File::create(record).expect("the record can be written"));
    drop(RECORD.set(Record { start: Instant::now(), file }));
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("the case could not run: {panic}");
        note(format_args!("the case could not run: {panic}"));
        // The sidecar ends with this process.
        exit(2);
    }));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let play: fn(&Path, bool) -> bool = match case.as_str() {
        "sighup" => slow_discovery_after_sighup,
        "restart" => slow_discovery_after_restart,
        "crowd" => crowd,
        "uploads" => uploads,
        "idle" => idle_clients,
        "codings" => codings,
        "memory" => least_memory,
        other => panic!("no case {other}"),
    };
    note(format_args!("{case}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
    let broken = play(Path::new(root), trouble);
    note(if broken { "the rule was broken" } else { "the rule held" });
    exit(i32::from(broken));
}
