//! What the cases share: the stand-ins of the platform, discovery, upstreams and clients, and the record. Only the
//! standard library is used.
#![allow(dead_code)]

use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Is the disruption played?
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time of each.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// The programs that were started. They end with the case, whatever ends it.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_started() {
    let started = STARTED.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for pid in started.iter() {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid} 2>/dev/null")]).status();
    }
}

/// No case takes longer.
const LONGEST: Duration = Duration::from_secs(100);

fn guard() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print(info);
        end_started();
        std::process::exit(2);
    }));
    thread::spawn(|| {
        thread::sleep(LONGEST);
        panic!("the case does not end");
    });
}

/// The platform: starts the programs with the commands of the deploy file and ends them.
pub struct Stage {
    pub record: Record,
    root: PathBuf,
    dir: PathBuf,
    children: Vec<Child>,
}

impl Stage {
    /// To be run from the project's root, with the folder of the case.
    pub fn new(case: &str) -> Stage {
        guard();
        let root = std::env::current_dir().unwrap();
        let file = fs::File::create(root.join("review").join(case).join("record.txt")).unwrap();
        let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
        let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let dir = std::env::temp_dir().join(format!("review-{}-{stamp}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        record.note(format!("case {case}, disruption: {}", if trouble() { "yes" } else { "no" }));
        Stage { record, root, dir, children: Vec::new() }
    }

    /// The command of the deploy file by this key.
    fn command(&self, key: &str) -> String {
        let text = fs::read_to_string(self.root.join("deploy/balancer.toml")).unwrap();
        let start = format!("{key} = \"");
        let line =
            text.lines().find(|line| line.starts_with(&start)).expect("the key in deploy/balancer.toml");
        line[start.len()..].split('"').next().unwrap().to_owned()
    }

    /// Replaces the configuration file whole.
    pub fn configure(&self, text: &str) -> PathBuf {
        let (path, next) = (self.dir.join("config.json"), self.dir.join("config.next"));
        fs::write(&next, text).unwrap();
        fs::rename(&next, &path).unwrap();
        path
    }

    /// Starts one sidecar and waits until it is ready. Its number is for `signal`.
    pub fn start(&mut self, config: &str, listen: SocketAddr) -> u32 {
        let path = self.configure(config);
        let run = self.command("run");
        let tmp = self.dir.join("tmp");
        fs::create_dir_all(&tmp).unwrap();
        let log = fs::File::create(self.dir.join("log.txt")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(&self.root)
            .env("BALANCER_CONFIG", path)
            .env("TMPDIR", tmp)
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_CONTROL")
            .env_remove("BALANCER_LISTEN_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let pid = child.id();
        STARTED.lock().unwrap().push(pid);
        self.children.push(child);
        self.record.note(format!("started `{run}`"));
        let by = Instant::now() + ms(30_000);
        while Instant::now() < by {
            if let Ok(mut stream) = TcpStream::connect(listen) {
                let _ = stream.set_read_timeout(Some(ms(2_000)));
                let _ =
                    stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n");
                let mut text = String::new();
                let _ = stream.read_to_string(&mut text);
                if text.starts_with("HTTP/1.1 200") {
                    self.record.note("the sidecar is ready");
                    return pid;
                }
            }
            thread::sleep(ms(30));
        }
        self.could_not_run("the sidecar is not ready after 30 s");
    }

    pub fn signal(&self, pid: u32, signal: &str) {
        self.record.note(format!("SIG{signal} to the sidecar"));
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {pid}")]).status();
    }

    fn clean(&mut self) {
        if let Ok(log) = fs::read_to_string(self.dir.join("log.txt")) {
            self.record.note(format!("the sidecar's log:\n{}", log.trim_end()));
        }
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        STARTED.lock().unwrap().clear();
        let _ = fs::remove_dir_all(&self.dir);
    }

    pub fn could_not_run(&mut self, why: &str) -> ! {
        self.record.note(format!("could not run: {why}"));
        eprintln!("could not run: {why}");
        self.clean();
        std::process::exit(2)
    }

    /// Ends all that was started, and the process.
    pub fn verdict(mut self, broken: &[String]) -> ! {
        for line in broken {
            self.record.note(format!("BROKEN: {line}"));
            println!("BROKEN: {line}");
        }
        if broken.is_empty() {
            self.record.note("the rule held");
            println!("the rule held");
        }
        self.clean();
        std::process::exit(i32::from(!broken.is_empty()))
    }
}

/// A free loopback address.
pub fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The configuration of a small deployment: the settings of the wire page's example, in real time. `how` is how lists
/// arrive.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str, how: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},"known":{known},
"settings":{{"areas":["praha","brno"],"skus":["typ-a"],"zone":0,"me":0,"instances":1,"discovery":"{how}","tick":5.0,
"clients":{{"marksRetry":false}},"weightSource":"nominal","worthBy":"work",
"obligations":{{"answerSlack":20.0,"coldFrom":0.19,"drainGrace":1000.0,"fall":3000.0,"fallMultiple":4.0,"mustAskIn":10000.0,"rampTime":24000.0}},
"policyLimits":{{"cancel":true,"connectTimeout":200.0,"keepalive":5000.0,"maxRetryAfter":1000.0,"mayTell":false,"mostTries":4,"probes":false,"retryAfter":true,"secondCopies":true}},
"requestClasses":[
{{"name":"vyhledani","idempotency":"retryable","group":"all","dedupWindow":5000.0,"aim":400.0,"deadline":800.0,"lateWorth":0.3,"points":1.0,"streamed":false}},
{{"name":"poznamka","idempotency":"dedup","group":"zone","dedupWindow":1200.0,"aim":600.0,"deadline":1200.0,"lateWorth":0.2,"points":2.0,"streamed":false}},
{{"name":"vydani-listu","idempotency":"fragile","group":"all","dedupWindow":5000.0,"aim":750.0,"deadline":2000.0,"lateWorth":0.3,"points":3.0,"streamed":false}}]}}}}"#
    )
}

/// One line of the list.
pub fn line(id: &str, addr: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{addr}","locality":"praha","flavor":"typ-a","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

pub fn list(revision: u64, members: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":true,"members":[{}]}}"#, members.join(","))
}

// ---- messages ----

/// A request as an upstream or discovery reads it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: usize,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> String {
        self.header("x-call-id").unwrap_or("none").to_owned()
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(from: &mut impl BufRead) -> Option<Seen> {
        let mut seen = Seen::default();
        let mut text = String::new();
        loop {
            text.clear();
            if from.read_line(&mut text).ok()? == 0 {
                return None;
            }
            let line = text.trim_end();
            match (seen.line.is_empty(), line.is_empty()) {
                (true, true) => {}
                (true, false) => seen.line = line.to_owned(),
                (false, true) => return Some(seen),
                (false, false) => {
                    let (name, value) = line.split_once(':')?;
                    seen.headers.push((name.to_owned(), value.trim().to_owned()));
                }
            }
        }
    }

    /// Reads the body and drops it.
    pub fn read_body(&mut self, from: &mut impl BufRead) -> Option<()> {
        if self.header("transfer-encoding").is_some() {
            loop {
                let mut text = String::new();
                if from.read_line(&mut text).ok()? == 0 {
                    return None;
                }
                let size = usize::from_str_radix(text.trim().split(';').next()?, 16).ok()?;
                skip(from, size + 2)?;
                self.body += size;
                if size == 0 {
                    return Some(());
                }
            }
        }
        let length = self.header("content-length").map_or(Some(0), |text| text.parse().ok())?;
        skip(from, length)?;
        self.body = length;
        Some(())
    }
}

fn skip(from: &mut impl BufRead, mut left: usize) -> Option<()> {
    while left > 0 {
        let here = from.fill_buf().ok()?.len().min(left);
        if here == 0 {
            return None;
        }
        from.consume(here);
        left -= here;
    }
    Some(())
}

/// A server that handles each connection in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// An upstream: reads each request whole, then answers as the case says. `false` ends the connection.
pub fn upstream(answer: impl Fn(&Seen, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    serve(listener, move |stream| {
        let mut to = stream.try_clone().unwrap();
        let mut from = BufReader::new(stream);
        while let Some(mut seen) = Seen::read_head(&mut from) {
            if seen.read_body(&mut from).is_none() || !answer(&seen, &mut to) {
                return;
            }
        }
    });
    addr
}

pub fn write_ok(to: &mut TcpStream, body: &str) -> bool {
    to.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
        .is_ok()
}

/// Discovery: the whole list, and watches, which end with the whole list once there is a newer one.
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
}

impl Discovery {
    /// `write` sends an answer's body; it may take its time.
    pub fn start(
        revision: u64, members: &[String], record: Record,
        write: impl Fn(&mut TcpStream, &str) -> io::Result<()> + Send + Sync + 'static,
    ) -> Discovery {
        let state = Arc::new((Mutex::new((revision, list(revision, members))), Condvar::new()));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let of = state.clone();
        serve(listener, move |stream| {
            let mut to = stream.try_clone().unwrap();
            let mut from = BufReader::new(stream);
            while let Some(mut seen) = Seen::read_head(&mut from) {
                if seen.read_body(&mut from).is_none() {
                    return;
                }
                record.note(format!("discovery {addr}: {}", seen.line));
                let text = answer_to(&seen, &of);
                if write(&mut to, &text).is_err() {
                    return record.note(format!("discovery {addr}: the sidecar has given up a call"));
                }
                record.note(format!("discovery {addr}: answered revision {}", revision_of(&text)));
            }
        });
        Discovery { addr, state }
    }

    pub fn set(&self, revision: u64, members: &[String]) {
        *self.state.0.lock().unwrap() = (revision, list(revision, members));
        self.state.1.notify_all();
    }
}

fn revision_of(text: &str) -> &str {
    text.split(['{', ':', ',']).nth(2).unwrap_or_default()
}

fn answer_to(seen: &Seen, state: &(Mutex<(u64, String)>, Condvar)) -> String {
    let path = seen.line.split(' ').nth(1).unwrap_or_default();
    let value = |name: &str| -> Option<u64> {
        let query = path.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    let held = state.0.lock().unwrap();
    let Some(index) = value("index") else { return held.1.clone() };
    let wait = ms(value("wait").unwrap_or(0).min(60_000));
    let (held, _) = state.1.wait_timeout_while(held, wait, |now| now.0 <= index).unwrap();
    if held.0 > index {
        return held.1.clone();
    }
    format!(r#"{{"revision":{},"complete":false,"members":[]}}"#, held.0)
}

/// Writes a whole answer of discovery at once.
pub fn write_list(to: &mut TcpStream, text: &str) -> io::Result<()> {
    to.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()).as_bytes())
}

// ---- clients ----

/// An id that no other request has.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    format!("{:016x}{:04x}", stamp, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The head of a request of this class.
pub fn head(class: &str, id: &str, budget: f64, length: usize) -> String {
    let method = if class == "vyhledani" { "GET" } else { "POST" };
    let mut text = format!(
        "{method} /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: mesto-horni\r\nX-Budget: {budget:.3}\r\n"
    );
    if class == "poznamka" {
        let _ = write!(text, "Idempotency-Key: k{id}\r\n");
    }
    if method == "POST" {
        let _ = write!(text, "Content-Length: {length}\r\n");
    }
    text + "\r\n"
}

/// An answer as a client reads it. `Err` says how far it came.
pub fn read_answer(from: &mut TcpStream, by: Instant) -> Result<(u16, Vec<u8>), String> {
    let mut bytes = Vec::new();
    let mut piece = [0; 16 * 1024];
    loop {
        if let Some(answer) = whole_answer(&bytes) {
            return Ok(answer);
        }
        let left = by.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(format!("no whole answer in time ({} bytes of one)", bytes.len()));
        }
        let _ = from.set_read_timeout(Some(left));
        match from.read(&mut piece) {
            Ok(0) => return Err(format!("the connection ended after {} bytes", bytes.len())),
            Ok(count) => bytes.extend_from_slice(&piece[..count]),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) => return Err(format!("the connection broke after {} bytes: {error}", bytes.len())),
        }
    }
}

fn whole_answer(bytes: &[u8]) -> Option<(u16, Vec<u8>)> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut body = &bytes[end..];
    if head.contains("transfer-encoding: chunked") {
        let mut whole = Vec::new();
        loop {
            let line = body.windows(2).position(|two| two == b"\r\n")?;
            let size = usize::from_str_radix(std::str::from_utf8(&body[..line]).ok()?.trim(), 16).ok()?;
            let chunk = body.get(line + 2..line + 2 + size)?;
            whole.extend_from_slice(chunk);
            body = body.get(line + 4 + size..)?;
            if size == 0 {
                return Some((status, whole));
            }
        }
    }
    let length = head.split("content-length: ").nth(1)?.split('\r').next()?.trim().parse().ok()?;
    Some((status, body.get(..length)?.to_vec()))
}
