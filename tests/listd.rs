//! The list service as a process: watches, leases, bad input, and a SIGKILL with the state read back from disk.

mod cluster;

use cluster::{Dir, Listd, entry, ids, revision};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn a_lease_lapses_after_its_grace_and_a_killed_service_comes_back_with_its_revision() {
    let dir = Dir::new("test");
    let (data, config) = (dir.join("store.redb"), dir.join("listd.toml"));
    std::fs::write(&config, "grace_ms = 300\n").expect("a configuration");
    let listd = Listd::start(&data, &config, &[]);
    listd.until("no leader", Listd::serves);

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
        // No fleet is configured here.
        ("GET", "/fleet/reports", "", 404),
        ("PUT", "/duties/d", r#"{"holder":"a","ttl_ms":1000}"#, 404),
    ] {
        assert_eq!(listd.call(method, path, body).0, status, "{method} {path}");
    }
    let (_, whole) = listd.call("GET", "/registry/instances", "");
    assert_eq!((revision(&whole), ids(&whole)), (3, vec!["kept:Ready".to_owned()]));
    let (status, figures) = listd.call("GET", "/metrics", "");
    assert_eq!((status, listd.call("PUT", "/metrics", "").0), (200, 405));
    // Two registrations, the start of the term and the expiry; two of the bad calls reached the store.
    for line in [
        "listd_revision 3",
        "listd_entries 1",
        "listd_raft_leader 1",
        "listd_in_touch 1",
        "listd_writes_total{ending=\"committed\"} 4",
        "listd_writes_total{ending=\"refused\"} 2",
    ] {
        assert!(figures.lines().any(|found| found == line), "{line} in {figures}");
    }

    // A watch is counted while it waits, and no longer once its caller has left.
    let watchers = |count| {
        let line = format!("listd_watchers {count}\n");
        listd.until(&line, |listd| listd.call("GET", "/metrics", "").1.contains(&line));
    };
    let mut watch = TcpStream::connect(listd.addr).expect("accepted");
    watch
        .write_all(b"GET /registry/instances?index=3&wait=60000 HTTP/1.1\r\nHost: listd\r\n\r\n")
        .expect("sent");
    watchers(1);
    drop(watch);
    watchers(0);

    // SIGKILL right after the write was acknowledged: it is on disk.
    assert_eq!(listd.call("DELETE", "/registry/instances/kept", "").0, 200);
    listd.kill();
    let listd = Listd::start(&data, &config, &[]);
    listd.until("no leader", Listd::serves);
    let (_, whole) = listd.call("GET", "/registry/instances", "");
    assert_eq!((revision(&whole), ids(&whole)), (4, Vec::<String>::new()));
    let (_, changes) = listd.call("GET", "/registry/instances?index=2&wait=0", "");
    assert_eq!(ids(&changes), ["kept:Gone", "leased:Gone"], "tombstones outlive a restart");
}

#[test]
fn a_crowd_of_clients_is_refused_and_leaves_places_for_the_other_instances() {
    let dir = Dir::new("crowd");
    let config = dir.join("listd.toml");
    std::fs::write(&config, "max_connections = 4\n").expect("a configuration");
    let listd = Listd::start(&dir.join("store.redb"), &config, &[]);
    listd.until("no leader", Listd::serves);
    // Half are kept: two clients that watch take all that is theirs.
    let watches = [(); 2].map(|()| {
        let mut watch = TcpStream::connect(listd.addr).expect("accepted");
        let call = b"GET /registry/instances?index=0&wait=60000 HTTP/1.1\r\nHost: listd\r\n\r\n";
        watch.write_all(call).expect("sent");
        watch
    });
    let status = |method, path| listd.try_call(method, path, "no call").map(|answer| answer.0);
    listd.until("no crowd", |_| status("GET", "/registry/instances") == Some(503));
    for _ in 0..20 {
        assert_eq!(status("GET", "/registry/instances"), Some(503));
        assert_eq!(status("POST", "/raft/append"), Some(400), "read, if no call of raft");
    }
    drop(watches);
    listd.until("no place again", Listd::serves);
}
