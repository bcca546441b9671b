//! The list service as a process: watches, leases, bad input, and a SIGKILL with the state read back from disk.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Wide, for a loaded machine: each wait below ends as soon as its condition holds.
const PATIENCE: Duration = Duration::from_secs(20);

struct Listd {
    child: Child,
    addr: SocketAddr,
}

impl Listd {
    fn start(data: &Path, config: &Path) -> Listd {
        // A port that was free a moment ago; the service binds it again.
        let addr = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
        let child = Command::new(env!("CARGO_BIN_EXE_listd"))
            .args(["--listen", &addr.to_string(), "--data"])
            .arg(data)
            .arg("--config")
            .arg(config)
            .stderr(Stdio::null())
            .spawn()
            .expect("listd starts");
        let listd = Listd { child, addr };
        let began = Instant::now();
        while TcpStream::connect(addr).is_err() {
            assert!(began.elapsed() < PATIENCE, "listd never listened");
            sleep(Duration::from_millis(20));
        }
        listd
    }

    fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.addr).expect("connects");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: listd\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes())).expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        let status = answer.get(9..12).and_then(|code| code.parse().ok()).expect("a status line");
        let body = answer.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default();
        (status, body)
    }

    fn kill(mut self) {
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

fn entry(id: &str, ttl_ms: Option<u64>) -> String {
    let ttl = ttl_ms.map(|ttl| format!(",\"ttl_ms\":{ttl}")).unwrap_or_default();
    format!(
        r#"{{"id":"{id}","host_port":"127.0.0.1:9001","locality":"a","flavor":"m2","cell":1,"phase":"Ready","size":1.0,"up_since_ms":0{ttl}}}"#
    )
}

fn revision(body: &str) -> u64 {
    let json: serde_json::Value = serde_json::from_str(body).expect("JSON");
    json["revision"].as_u64().expect("a revision")
}

fn ids(body: &str) -> Vec<String> {
    let json: serde_json::Value = serde_json::from_str(body).expect("JSON");
    let members = json["members"].as_array().expect("members");
    members
        .iter()
        .map(|m| format!("{}:{}", m["id"].as_str().unwrap_or(""), m["phase"].as_str().unwrap_or("")))
        .collect()
}

#[test]
fn a_lease_lapses_after_its_grace_and_a_killed_service_comes_back_with_its_revision() {
    let dir = std::env::temp_dir().join(format!("listd-test-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let (data, config) = (dir.join("store.redb"), dir.join("listd.toml"));
    std::fs::write(&config, "grace_ms = 300\n").expect("a configuration");
    let listd = Listd::start(&data, &config);

    assert_eq!(listd.call("PUT", "/registry/instances/kept", &entry("kept", None)).0, 200);
    let (status, body) = listd.call("PUT", "/registry/instances/leased", &entry("leased", Some(200)));
    assert_eq!((status, revision(&body)), (200, 2));
    // A watch from revision 2 waits until the lease has lapsed and its grace is over: 500 ms, and no sooner.
    let asked = Instant::now();
    let (status, body) = listd.call("GET", "/registry/instances?index=2&wait=20000", "");
    assert!(asked.elapsed() >= Duration::from_millis(450), "the grace was kept: {:?}", asked.elapsed());
    assert_eq!((status, revision(&body), ids(&body)), (200, 3, vec!["leased:Gone".to_owned()]));

    // Bad input is refused and changes nothing.
    for (method, path, body, status) in [
        ("PUT", "/registry/instances/x", "{\"id\":", 400),
        ("PUT", "/registry/instances/x", &entry("y", None), 400),
        ("PUT", "/registry/instances/x", &entry("x", Some(1)), 400),
        ("PUT", "/registry/instances/x", &"x".repeat(70_000), 413),
        ("GET", "/registry/instances?index=99&wait=10", "", 400),
        ("PUT", "/registry/leases/kept", "", 404),
    ] {
        assert_eq!(listd.call(method, path, body).0, status, "{method} {path}");
    }
    let (_, whole) = listd.call("GET", "/registry/instances", "");
    assert_eq!((revision(&whole), ids(&whole)), (3, vec!["kept:Ready".to_owned()]));

    // SIGKILL right after the write was acknowledged: it is on disk.
    assert_eq!(listd.call("DELETE", "/registry/instances/kept", "").0, 200);
    listd.kill();
    let listd = Listd::start(&data, &config);
    let (_, whole) = listd.call("GET", "/registry/instances", "");
    assert_eq!((revision(&whole), ids(&whole)), (4, Vec::<String>::new()));
    let (_, changes) = listd.call("GET", "/registry/instances?index=2&wait=0", "");
    assert_eq!(ids(&changes), ["kept:Gone", "leased:Gone"], "tombstones outlive a restart");
    drop(listd);
    let _ = std::fs::remove_dir_all(&dir);
}
