//! Idle clients that hold every descriptor they can get, while discovery is away: discovery and upstreams keep their
//! places, and the sidecar serves, ends and starts. The real program under the system's own limit.

mod world;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};
use world::*;

/// Discovery's news count as told so long after its return.
const TOLD: Duration = Duration::from_secs(6);
/// In which a process is ready after a restart.
const READY: Duration = Duration::from_secs(10);
/// So long a client with a request waits at most behind such a crowd.
const IN_QUEUE: Duration = Duration::from_secs(6);
const SOCKETS: usize = 80;
const LIMIT: &str = "ulimit -n 80";

fn narrow(mode: &str) -> impl FnOnce(&mut Value) {
    move |config| {
        config["limits"]["sockets"] = json!(SOCKETS);
        config["settings"]["discovery"] = json!(mode);
    }
}

/// Half of them have asked once.
fn crowd(sidecar: &Sidecar) -> Crowd {
    let crowd = Crowd::of(SOCKETS, SOCKETS / 2, sidecar);
    sidecar.wait_until("the crowd", |sidecar| crowd.is_complete() && sidecar.descriptors() >= SOCKETS / 2);
    crowd
}

#[test]
fn what_discovery_tells_at_its_return_is_taken_up_through_a_crowd_of_idle_clients() {
    each_outage(|mode, silent| {
        let [left, new] = twins(|_| ok("served"));
        let sidecar = Sidecar::of(LIMIT, &[&left], narrow(mode));
        sidecar.serves(1, 5.0);
        sidecar.discovery.down(silent);
        let _crowd = crowd(&sidecar);
        sidecar.serves(1, 20.0);
        assert!(sidecar.descriptors() < SOCKETS * 3 / 4, "places are kept: {}", sidecar.descriptors());
        let since = Instant::now();
        sidecar.discovery.back(2, &[left.line("Terminating"), new.line("Ready")]);
        sidecar.discovery.wait_for_index(2);
        assert!(since.elapsed() < TOLD, "{mode}, {silent}: {:?}", since.elapsed());
        let before = left.requests().len();
        sidecar.serves(3, 20.0);
        assert_eq!((left.requests().len(), new.requests().len()), (before, 3), "{mode}, {silent}");
    });
}

#[test]
fn a_process_is_ready_in_time_in_place_of_one_that_ends_in_a_crowd_of_idle_clients() {
    each_outage(|mode, silent| {
        let [kept, left] = twins(|_| ok("served"));
        let mut old = Sidecar::of(LIMIT, &[&kept, &left], narrow(mode));
        old.discovery.down(silent);
        let _crowd = crowd(&old);
        old.terminate();
        let since = Instant::now();
        // It knows of no upstream before discovery's return.
        let new = old.again(LIMIT, |config| config["known"] = json!(null));
        let listens = since.elapsed();
        assert_eq!(old.exit_code(), Some(0));
        new.wait_until("the crowd", |new| new.descriptors() >= SOCKETS / 2);
        let since = Instant::now();
        // Its first list is empty.
        new.discovery.back(2, &[]);
        new.discovery.wait_for_index(2);
        assert_eq!(new.ready(), 503);
        new.discovery.back(3, &[kept.line("Ready")]);
        new.wait_until("readiness", |new| new.ready() == 200);
        let took = listens + since.elapsed();
        assert!(took < READY, "{mode}, {silent}: {took:?}, {listens:?} of them to listen");
        new.serves(3, 20.0);
        assert!(left.requests().is_empty());
    });
}

#[test]
fn a_process_that_inherits_the_socket_is_ready_in_a_crowd_of_idle_clients_while_discovery_is_away() {
    each_outage(|mode, silent| {
        let [left, new] = twins(|_| ok("served"));
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut old = Sidecar::inheriting(&socket, &[&left], |config| {
            narrow(mode)(config);
            config["limits"]["sockets"] = json!(2 * SOCKETS);
        });
        old.discovery.down(silent);
        let _crowd = crowd(&old);
        old.terminate();
        let (since, next) = (Instant::now(), old.beside(&socket));
        next.wait_until("readiness", |next| next.ready() == 200);
        assert!(since.elapsed() < READY, "{mode}, {silent}: {:?}", since.elapsed());
        assert_eq!(old.exit_code(), Some(0));
        next.serves(1, 20.0);
        let since = Instant::now();
        next.discovery.back(2, &[left.line("Terminating"), new.line("Ready")]);
        next.discovery.wait_for_index(2);
        assert!(since.elapsed() < TOLD, "{mode}, {silent}: {:?}", since.elapsed());
        next.serves(3, 20.0);
        assert_eq!((left.requests().len(), new.requests().len()), (1, 3), "{mode}, {silent}");
    });
}

#[test]
fn an_upstream_is_not_blamed_where_no_descriptor_is_left_for_its_connection() {
    let all = [(); 4].map(|()| Upstream::start(|_| ok("served")));
    let sidecar = Sidecar::of("ulimit -n 40", &all.each_ref(), with_door);
    // All have come at once; together with their connections they need twice as many as there are.
    sidecar.pause();
    let clients: Vec<_> = (0..40).map(|_| sidecar.send(&call("pay", 20.0))).collect();
    sidecar.signal(Signal::SIGCONT);
    clients.into_iter().for_each(|mut client| assert_ne!(Answer::read(&mut client).status, 502));
    assert_eq!(sidecar.figure("hosts_down"), 0);
    sidecar.serves(4, 5.0);
}

#[test]
fn a_client_with_a_request_is_not_kept_waiting_by_those_that_say_nothing() {
    let (_upstream, sidecar) = served(|config| config["limits"]["sockets"] = json!(40));
    // Its place in the queue is behind several times as many as there is room for.
    let crowd = Crowd::of(100, 0, &sidecar);
    sidecar.wait_until("the queue", |_| crowd.is_complete());
    let since = Instant::now();
    sidecar.serves(1, 20.0);
    assert!(since.elapsed() < IN_QUEUE, "{:?}", since.elapsed());
}

#[test]
fn the_next_process_has_all_addresses_while_one_that_ends_still_owes_an_answer() {
    let (upstream, old) = answered(|_| Reply::Silence, with_door);
    let _owed = old.send(&call("pay", 20.0));
    upstream.wait_for("the request", |state| state.requests.len() == 1);
    old.terminate();
    let new = old.again(":", |_| {});
    new.wait_until("readiness", |new| new.ready() == 200);
    assert_eq!(new.operate("GET /ready").0, 200);
}

#[test]
fn connections_in_use_stay_where_others_that_are_idle_can_give_way() {
    let (_upstream, sidecar) = served(narrow("pushed"));
    let mut in_use = sidecar.kept();
    let _idle: Vec<_> = (0..24).map(|_| sidecar.kept()).collect();
    for _ in 0..12 {
        in_use.write_all(call("pay", 5.0).text().as_bytes()).expect("written");
        assert_eq!(Answer::try_read(&mut in_use).expect("still open").header("connection"), None);
        drop(sidecar.kept());
        let _newcomers: Vec<_> = (0..8).map(|_| sidecar.kept()).collect();
    }
}

/// Errors of `accept4` that are of one connection, and such as tell of a shortage.
const OF_ONE_CONNECTION: &str = "103,71,113";
const OF_A_SHORTAGE: &str = "24,23,105,12";

/// Incident 906fe8, its other cause: each failed call of `accept` kept all clients waiting, some for longer than their
/// time.
#[test]
fn clients_are_accepted_in_their_time_though_every_second_call_fails() {
    for errors in [OF_ONE_CONNECTION, OF_A_SHORTAGE] {
        let upstream = Upstream::start(|_| ok("served"));
        let sidecar = Sidecar::of(&failing(&format!("accept4:2:{errors}")), &[&upstream], alone);
        let clients: Vec<_> = (0..100).map(|_| sidecar.send(&call("pay", 0.8))).collect();
        clients.into_iter().for_each(|mut client| assert_eq!(Answer::read(&mut client).status, 200));
    }
}

/// Guards against requests that are lost with their connection, the client's or the server's, where the machine lacks memory
/// for one call on it, or a signal interrupts that.
#[test]
fn requests_are_answered_though_every_second_read_and_write_fails() {
    for calls in ["recv", "send", "writev"] {
        let upstream = Upstream::start(|_| ok("served"));
        let sidecar = Sidecar::of(&failing(&format!("{calls}:2:4,12,105")), &[&upstream], alone);
        for _ in 0..10 {
            let mut client = sidecar.send(&call("pay", 5.0).body("whole"));
            assert_eq!(Answer::try_read(&mut client).expect("an answer").whole(), (200, "served"), "{calls}");
        }
    }
}
