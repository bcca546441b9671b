//! What ends while something is still owed: the sidecar itself, connections, clients. The real program; each crossing is
//! forced by the order of events.

mod world;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};
use world::*;

/// With deadlines so short, SIGKILL may come less than a second after SIGTERM.
fn short(config: &mut Value) {
    for class in config["settings"]["requestClasses"].as_array_mut().expect("classes") {
        class["deadline"] = json!(200.0);
    }
}

/// Once others have been served after it, the sidecar has read what was written before.
fn has_read(sidecar: &Sidecar) {
    (0..2).for_each(|_| assert_ne!(sidecar.ready(), 0));
}

/// The longest deadline of a request, and the earliest SIGKILL after SIGTERM that goes with it.
const DEADLINE: Duration = Duration::from_millis(1_500);
const SIGKILL_AFTER: Duration = Duration::from_millis(2_200);
/// A request that comes later than this after SIGTERM is owed its answer before SIGKILL.
const OWED_AFTER: Duration = Duration::from_millis(700);

/// A sidecar with these deadlines, whose upstream takes requests and never answers.
fn unanswered() -> (Upstream, Sidecar) {
    answered(
        |_| Reply::Silence,
        |config| {
            for class in config["settings"]["requestClasses"].as_array_mut().expect("classes") {
                class["deadline"] = json!(DEADLINE.as_secs_f64() * 1e3);
            }
        },
    )
}

/// Tells the process to end, writes to each of these clients what is left of its request, later than 0.7 s after that, and reads
/// their answers before SIGKILL. The process is stopped until so long after SIGTERM, if at all.
fn answered_before_the_kill(
    mut sidecar: Sidecar, stopped_for: Option<Duration>, clients: &mut [(TcpStream, String)],
) -> Vec<u16> {
    let sigterm = Instant::now();
    sidecar.terminate();
    let wait_until = |after: Duration| std::thread::sleep(after.saturating_sub(sigterm.elapsed()));
    let statuses = std::thread::scope(|scope| {
        scope.spawn(|| {
            wait_until(SIGKILL_AFTER);
            sidecar.signal(Signal::SIGKILL);
        });
        if let Some(after) = stopped_for {
            let sidecar = &sidecar;
            scope.spawn(move || {
                wait_until(after);
                sidecar.signal(Signal::SIGCONT);
            });
        }
        wait_until(OWED_AFTER + Duration::from_millis(100));
        for (client, left) in clients.iter_mut() {
            client.write_all(left.as_bytes()).expect("written");
        }
        let statuses = clients.iter_mut().map(|(client, _)| Answer::read(client).status).collect();
        assert!(sigterm.elapsed() < SIGKILL_AFTER);
        statuses
    });
    sidecar.exit_code();
    statuses
}

/// Requests that come late in a shutdown have no answer from their server. The process is stopped from before SIGTERM until so
/// long after, if at all.
fn late_requests_are_answered_before_the_kill(stopped_for: Option<Duration>) {
    let (upstream, sidecar) = unanswered();
    let request = || call("pay", DEADLINE.as_secs_f64());
    // What is out keeps the process; the others have not sent anything yet.
    let _out = sidecar.send(&request());
    upstream.wait_for("the request", |state| state.requests.len() == 1);
    let mut late: Vec<_> = (0..4).map(|_| (sidecar.connect(), request().text())).collect();
    has_read(&sidecar);
    if stopped_for.is_some() {
        sidecar.pause_at_rest();
    }
    let statuses = answered_before_the_kill(sidecar, stopped_for, &mut late);
    assert!(!statuses.contains(&200), "{statuses:?}");
}

/// Incident 315391: requests that came late in a shutdown were sent on and had no answer when SIGKILL came.
#[test]
fn a_request_that_comes_late_in_a_shutdown_is_answered_before_the_earliest_sigkill() {
    late_requests_are_answered_before_the_kill(None);
}

/// Incident 906fe8, its class: the time until SIGKILL was counted from when the process heard of SIGTERM, and it was stopped as
/// that came.
#[test]
fn a_process_that_hears_of_sigterm_late_answers_before_the_earliest_sigkill() {
    for stopped_for_ms in [460, 1_000] {
        late_requests_are_answered_before_the_kill(Some(Duration::from_millis(stopped_for_ms)));
    }
}

/// Guards against long bodies on their way at SIGTERM that have no answer at the earliest SIGKILL: their clients' time runs from
/// the last byte, and ended after it.
#[test]
fn a_long_body_on_its_way_at_sigterm_is_answered_before_the_earliest_sigkill() {
    const LENGTH: usize = 200_000;
    let (_upstream, sidecar) = unanswered();
    let body = "x".repeat(LENGTH);
    let request = || call("pay", DEADLINE.as_secs_f64());
    let head = request().text().replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let chunked = format!("{head}{LENGTH:x}\r\n{body}\r\n0\r\n\r\n");
    let of_length = request().body(&body).text();
    let mut on_their_way = [&of_length, &chunked].map(|text| {
        let (early, late) = text.split_at(text.len() / 2);
        let mut client = sidecar.connect();
        client.write_all(early.as_bytes()).expect("written");
        (client, late.to_owned())
    });
    has_read(&sidecar);
    assert_eq!(answered_before_the_kill(sidecar, None, &mut on_their_way), [502, 502]);
}

#[test]
fn an_ending_sidecar_stays_for_what_is_owed_after_it_listens_no_more() {
    let (gate, upstream, mut sidecar) = gated(short);
    let mut owed = sidecar.send(&call("pay", 20.0));
    upstream.wait_for("the request", |state| state.requests.len() == 1);
    sidecar.terminate();
    sidecar.wait_until("nobody listens", |sidecar| sidecar.ready() == 0);
    gate.open();
    assert_eq!(Answer::read(&mut owed).whole(), (200, "served"));
    drop(owed);
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn at_sigterm_what_hangs_goes_elsewhere_if_it_may_and_else_is_answered_in_its_time() {
    let asked = Shared::default();
    let both = twins(move |_| if (21..23).contains(&asked.count()) { Reply::Silence } else { ok("served") });
    let mut sidecar = Sidecar::with(&both.each_ref(), |config| {
        for class in config["settings"]["requestClasses"].as_array_mut().expect("classes") {
            class["aim"] = json!(600.0);
        }
    });
    let seen = || both.iter().map(|upstream| upstream.requests().len()).sum::<usize>();
    sidecar.serves(20, 5.0);
    let mut out = Vec::new();
    for (call, count) in [(call("pay", 1.0), 21), (call("look", 20.0).method("GET"), 22)] {
        out.push(sidecar.send(&call));
        wait("the request", || seen() == count);
    }
    sidecar.terminate();
    assert_eq!(Answer::read(&mut out[1]).whole(), (200, "served"));
    assert_eq!(Answer::read(&mut out[0]).status, 502);
    assert_eq!(seen(), 23, "what must not run twice was sent once");
    drop(out);
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn what_comes_late_to_an_ending_sidecar_is_answered_before_it_may_be_killed() {
    let (_gate, upstream, mut sidecar) = gated(short);
    let text = call("pay", 20.0).text();
    let chunked = call("pay", 20.0).text();
    let chunked =
        chunked.replace("Content-Length: 0", "Transfer-Encoding: chunked") + "4\r\nbody\r\n0\r\n\r\n";
    // A head and a body, each read in part.
    let halves = [text.split_at(9), chunked.split_at(chunked.len() - 12)];
    let mut late = halves.map(|(early, late)| {
        let mut client = sidecar.connect();
        client.write_all(early.as_bytes()).expect("written");
        (client, late)
    });
    has_read(&sidecar);
    let since = Instant::now();
    sidecar.terminate();
    sidecar.wait_until("nobody listens", |sidecar| sidecar.ready() == 0);
    for (client, rest) in &mut late {
        client.write_all(rest.as_bytes()).expect("written");
        let answer = Answer::read(client);
        assert!(![200, 400].contains(&answer.status), "{}", answer.status);
        assert!(upstream.requests().len() <= 2);
    }
    assert!(since.elapsed() < Duration::from_secs(10), "their clients had more");
    drop(late);
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn a_head_half_read_when_idle_connections_close_is_answered_once_it_is_whole() {
    let (upstream, mut sidecar) = served(|_| {});
    let (mut idle, mut half) = (sidecar.kept(), sidecar.kept());
    let text = call("pay", 20.0).text();
    half.write_all(&text.as_bytes()[..9]).expect("written");
    has_read(&sidecar);
    sidecar.terminate();
    assert_eq!(idle.read(&mut [0]).expect("an end"), 0);
    drop(idle);
    half.write_all(&text.as_bytes()[9..]).expect("written");
    let answer = Answer::read(&mut half);
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    assert_eq!(upstream.requests().len(), 3);
    drop(half);
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn all_that_was_read_at_once_is_answered_by_an_ending_sidecar_and_nothing_is_read_behind_it() {
    let (gate, upstream, mut sidecar) = gated(short);
    let text = || call("pay", 20.0).text();
    let mut client = sidecar.connect();
    let (three, half) = ([text(), text(), text()].concat(), text());
    client.write_all(format!("{three}{}", &half[..99]).as_bytes()).expect("written");
    upstream.wait_for("the first", |state| state.requests.len() == 1);
    sidecar.terminate();
    sidecar.wait_until("nobody listens", |sidecar| sidecar.ready() == 0);
    client.write_all(format!("{}{}", &half[99..], text()).as_bytes()).expect("written");
    gate.open();
    let said = all_of(client);
    assert_eq!(said.matches("HTTP/1.1 ").count(), 4, "{said}");
    assert!(said.starts_with("HTTP/1.1 200") && said.matches("connection: close").count() == 1, "{said}");
    assert_eq!(sidecar.exit_code(), Some(0));
    assert!(upstream.requests().len() <= 4);
}

#[test]
fn an_answer_half_passed_on_is_whole_whatever_signals_cross_it() {
    let body = "half".repeat(20_000);
    for (framing, end) in [
        ("Content-Length: 160000\r\n\r\n", ""),
        ("\r\n", ""),
        ("Transfer-Encoding: chunked\r\n\r\n27100\r\n", "\r\n0\r\n\r\n"),
    ] {
        let (upstream, listener) = Upstream::unattended();
        let mut sidecar = Sidecar::with(&[&upstream], short);
        let mut client = sidecar.send(&call("pay", 20.0));
        let (mut stream, _) = listener.accept().expect("a connection");
        assert!(stream.read(&mut [0; 4_096]).expect("a request") > 0);
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}{body}").as_bytes()).expect("written");
        client.read_exact(&mut [0; 9]).expect("its start");
        let signals = [Signal::SIGHUP, Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM];
        signals.iter().for_each(|&signal| sidecar.signal(signal));
        sidecar.wait_until("nobody listens", |sidecar| sidecar.ready() == 0);
        sidecar.terminate();
        stream.write_all(format!("{body}{end}").as_bytes()).expect("written");
        stream.shutdown(Shutdown::Write).expect("shut");
        let said = all_of(client);
        let end = if framing.starts_with('C') { "half" } else { "\r\n0\r\n\r\n" };
        assert!(said.ends_with(end) && said.len() > 160_000, "{framing}: {}", said.len());
        assert_eq!(sidecar.exit_code(), Some(0));
    }
}

#[test]
fn what_waits_unsent_in_an_ending_sidecar_is_served_once_it_can_be() {
    let (upstream, mut sidecar) = served(|config| {
        short(config);
        config["settings"]["requestClasses"][0]["aim"] = json!(120_000.0);
    });
    sidecar.discovery.tell(2, true, &[upstream.line("Terminating")]);
    let mut client = sidecar.send(&call("pay", 60.0));
    has_read(&sidecar);
    sidecar.terminate();
    sidecar.wait_until("nobody listens", |sidecar| sidecar.ready() == 0);
    sidecar.discovery.tell(3, true, &[upstream.line("Ready")]);
    assert_eq!(Answer::read(&mut client).whole(), (200, "served"));
    drop(client);
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn an_id_that_comes_again_goes_nowhere_whatever_became_of_its_first() {
    let (gate, upstream, sidecar) = gated(alone);
    let (first, gone) = (call("pay", 20.0), call("pay", 20.0));
    let (mut owed, left) = (sidecar.send(&first), sidecar.send(&gone));
    upstream.wait_for("both", |state| state.requests.len() == 2);
    let asked_again = |call| assert_eq!(sidecar.ask(call).status, 400);
    asked_again(&first);
    drop(left);
    has_read(&sidecar);
    asked_again(&gone);
    gate.open();
    assert_eq!(Answer::read(&mut owed).whole(), (200, "served"));
    asked_again(&first);
    assert_eq!(upstream.requests().len(), 2);
}

#[test]
fn a_request_that_crosses_a_close_is_not_reset_and_goes_nowhere() {
    let (upstream, mut sidecar) = served(|_| {});
    let mut kept = sidecar.kept();
    sidecar.terminate();
    assert_eq!(kept.read(&mut [0]).expect("an end"), 0);
    kept.write_all(call("pay", 5.0).text().as_bytes()).expect("written");
    assert_eq!(sidecar.exit_code(), Some(0));
    assert!(kept.take_error().expect("asked").is_none(), "it has been reset");
    assert_eq!(upstream.requests().len(), 1);
}

#[test]
fn who_sends_much_that_is_no_request_can_read_its_answer() {
    let (_upstream, sidecar) = served(|_| {});
    // From then on its connection to discovery is one of them.
    sidecar.discovery.wait_for_index(1);
    let before = sidecar.descriptors();
    let mut client = sidecar.connect();
    client.write_all("no request ".repeat(20_000).as_bytes()).expect("written");
    assert!(all_of(client.try_clone().expect("a clone")).starts_with("HTTP/1.1 4"));
    sidecar.wait_until("the close", |sidecar| sidecar.descriptors() <= before);
    assert!(client.take_error().expect("asked").is_none(), "a reset may take the answer along");
}

#[test]
fn a_client_that_leaves_with_more_behind_its_request_ends_its_attempt() {
    let (upstream, sidecar) = answered(|_| Reply::Silence, |_| {});
    let mut client = sidecar.send(&call("pay", 600.0));
    upstream.wait_for("the request", |state| state.requests.len() == 1);
    client.write_all(&call("pay", 600.0).text().as_bytes()[..20]).expect("written");
    has_read(&sidecar);
    drop(client);
    upstream.wait_for("the connection to close", |state| state.closed_by_peer == 1);
}

#[test]
fn what_waits_for_a_client_that_has_left_is_not_sent_on() {
    let (upstream, sidecar) = served(|config| {
        with_door(config);
        config["settings"]["requestClasses"][0]["aim"] = json!(120_000.0);
    });
    sidecar.discovery.tell(2, true, &[upstream.line("Terminating")]);
    // Many at once, each with the start of another request behind its own.
    let one_and_more = |_| {
        let mut client = sidecar.send(&call("pay", 20.0));
        client.write_all(&call("pay", 20.0).text().as_bytes()[..20]).expect("written");
        client
    };
    // Two with a body that is not held, of which all or a part has come; what is not read lies before their end.
    let uploads = [0, 9_000].map(|missing| {
        let mut client = sidecar.connect();
        let text = call("pay", 20.0).body(&"x".repeat(100_000)).text();
        client.write_all(&text.as_bytes()[..text.len() - missing]).expect("written");
        client
    });
    let clients: Vec<_> = (0..200).map(one_and_more).collect();
    has_read(&sidecar);
    drop((clients, uploads));
    has_read(&sidecar);
    // What begins sooner than this after an end may go on.
    std::thread::sleep(Duration::from_millis(100));
    sidecar.discovery.tell(3, true, &[upstream.line("Ready")]);
    sidecar.serves(1, 5.0);
    sidecar.wait_until("the end of all", |sidecar| sidecar.figure("inflight") == 0);
    assert_eq!(upstream.requests().len(), 1, "that of the other client");
}

#[test]
fn a_client_that_has_only_ended_its_sending_gets_its_answer() {
    let (upstream, sidecar) = served(|_| {});
    // Both have come before the sidecar reads either.
    sidecar.pause();
    let mut client = sidecar.send(&call("pay", 20.0));
    client.shutdown(Shutdown::Write).expect("shut");
    sidecar.signal(Signal::SIGCONT);
    assert_eq!(Answer::read(&mut client).whole(), (200, "served"));
    // One that ends it while its request is out has left; if it has not, it is told at once.
    let (silent, sidecar) = answered(|_| Reply::Silence, |_| {});
    let mut client = sidecar.send(&call("pay", 20.0));
    silent.wait_for("the request", |state| state.requests.len() == 1);
    client.shutdown(Shutdown::Write).expect("shut");
    assert_eq!(Answer::read(&mut client).status, 502);
    assert_eq!(upstream.requests().len(), 1);
}
