//! The sidecar on loopback sockets: the real program between a client, upstreams and discovery of the test's own.

mod world;

use serde_json::json;
use std::io::{Read, Write};
use std::time::{Duration, Instant};
use world::*;

#[test]
fn a_request_is_passed_on_unchanged_and_its_answer_as_it_is() {
    let upstream = Upstream::start(|_| ok("\u{0}the answer"));
    let sidecar = Sidecar::start(&[&upstream]);
    let call = call("report", 2.0).header("X-Call-Id", "call-x").header("Idempotency-Key", "k1");
    assert_eq!(sidecar.ask(&call.path("/api?x=1%20y").body("hello")).whole(), (200, "\u{0}the answer"));
    let seen = upstream.requests();
    assert_eq!(seen.len(), 1);
    assert_eq!((seen[0].line.as_str(), seen[0].body.as_str()), ("POST /api?x=1%20y HTTP/1.1", "hello"));
    assert_eq!(seen[0].header("x-call-id"), Some("call-x"));
    assert_eq!(seen[0].header("idempotency-key"), Some("k1"));
    let budget: f64 = seen[0].header("x-budget").expect("a budget").parse().expect("seconds");
    assert!(budget > 0.5 && budget < 2.0, "room is left for the answer's own way: {budget}");
}

#[test]
fn an_unsafe_request_that_may_have_run_has_failed_and_goes_nowhere_else() {
    let may_have_run: [(&str, Reply); 5] = [
        ("an error", Reply::text(500, "", "")),
        ("a 503 that proves nothing", Reply::text(503, "", "")),
        ("a 503 with another word", Reply::text(503, "X-Rejected: 0\r\n", "")),
        ("no answer", Reply::Close),
        ("half an answer", Reply::Raw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".into())),
    ];
    for (what, reply) in may_have_run {
        let [a, b] = twins(move |_| reply.clone());
        let sidecar = Sidecar::start(&[&a, &b]);
        let answer = sidecar.ask(&call("pay", 2.0));
        assert!(![200, 429, 503].contains(&answer.status), "{what}: {}", answer.status);
        assert_eq!(a.requests().len() + b.requests().len(), 1, "{what}: sent once");
    }
}

#[test]
fn what_surely_never_ran_goes_elsewhere() {
    for status in [503, 504] {
        // Whichever has the fifteenth turns it away; requests before it have earned it another attempt.
        let asked = Shared::default();
        let of = asked.clone();
        let turned_away = Reply::text(status, "X-Rejected: 1\r\n", "");
        let both = twins(move |_| if of.count() == 15 { turned_away.clone() } else { ok("served") });
        let sidecar = Sidecar::start(&both.each_ref());
        sidecar.serves(16, 2.0);
        assert_eq!(asked.count(), 18, "one was sent twice");
    }
    // Nobody listens at the other's address; a connection refused costs nothing and proves that nothing ran.
    let (up, down) = (Upstream::start(|_| ok("served")), Upstream::start(|_| ok("")));
    down.stop();
    let sidecar = Sidecar::start(&[&up, &down]);
    sidecar.serves(6, 2.0);
}

#[test]
fn a_silent_upstream_is_given_up_in_time_and_its_connection_closed_at_once() {
    let (upstream, sidecar) = answered(|_| Reply::Silence, |_| {});
    let start = Instant::now();
    let answer = sidecar.ask(&call("pay", 0.6));
    assert!(![200, 429, 503].contains(&answer.status), "{}", answer.status);
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    upstream.wait_for("the connection to close", |state| state.closed_by_peer == 1);
}

#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let (upstream, sidecar) = answered(|_| Reply::Silence, |_| {});
    let client = sidecar.send(&call("pay", 20.0));
    upstream.wait_for("the request", |state| state.requests.len() == 1);
    drop(client);
    upstream.wait_for("the connection to close", |state| state.closed_by_peer == 1);
}

#[test]
fn connections_are_kept_but_not_those_that_saw_their_end() {
    let (upstream, sidecar) = served(|_| {});
    sidecar.serves(5, 2.0);
    assert_eq!(upstream.state().accepted, 1, "one connection for all");
    upstream.close_idle();
    upstream.wait_for("the sidecar to see it", |state| state.closed_by_peer == 1);
    assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200, "on a new connection");
    assert_eq!(upstream.state().accepted, 2);
}

#[test]
fn a_connection_idle_for_nearly_as_long_as_its_upstream_allows_is_not_used_again() {
    let (upstream, sidecar) = served(|config| config["settings"]["policyLimits"]["keepalive"] = json!(400.0));
    assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200);
    std::thread::sleep(Duration::from_millis(370));
    assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200);
    assert_eq!(upstream.state().accepted, 2);
}

#[test]
fn malformed_requests_are_answered_and_go_nowhere() {
    let (upstream, sidecar) = served(|_| {});
    for (class, budget) in [("nobody", "1"), ("pay", "soon"), ("pay", "-1"), ("pay", "NaN")] {
        let answer = sidecar.ask(&call(class, 1.0).header("X-Budget", budget));
        assert!((400..500).contains(&answer.status) && answer.status != 429, "{}", answer.status);
    }
    let mut client = sidecar.connect();
    client.write_all(b"\x16\x03\x01 no http at all\r\n\r\n").expect("written");
    let mut said = String::new();
    client.read_to_string(&mut said).expect("an end");
    assert!(said.is_empty() || said.starts_with("HTTP/1.1 400"), "{said}");
    assert!(upstream.requests().is_empty());
    assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200);
}

#[test]
fn figures_that_no_clock_can_add_end_nothing() {
    let (_upstream, sidecar) = served(|_| {});
    for (name, most, status) in [("X-Budget", "1.8e19", 400), ("X-Call-Cost", "1.8e25", 200)] {
        let call = call("pay", 5.0).without(name).header(name, most);
        assert_eq!(sidecar.ask(&call).status, status, "{name}");
    }
    sidecar.serves(1, 5.0);
}

#[test]
fn what_the_application_never_sent_reaches_no_upstream_and_harms_none() {
    // As upstreams do, this one answers with an error what it can't take for a request of the application.
    let (upstream, sidecar) = answered(|_| Reply::text(400, "", ""), |_| {});
    let padding = "p".repeat(20_000);
    let bad = [
        ("no id", call("pay", 5.0).without("X-Call-Id")),
        ("an empty id", call("pay", 5.0).header("X-Call-Id", "")),
        ("not its class's method", call("pay", 5.0).method("GET")),
        ("not its class's method", call("look", 5.0).method("POST")),
        ("a body where there is none", call("look", 5.0).method("GET").body("x")),
        ("a keyed one without its key", call("report", 5.0)),
        ("two framings", call("pay", 5.0).header("Transfer-Encoding", "chunked").body("0\r\n\r\nGET /")),
        ("a head without end", call("pay", 5.0).header("X-Pad", &padding)),
    ];
    for (what, call) in bad {
        let status = sidecar.ask(&call).status;
        assert!((400..500).contains(&status) && status != 429, "{what}: {status}");
    }
    assert!(upstream.requests().is_empty(), "{:?}", upstream.requests());
}

#[test]
fn a_silent_or_slow_peer_is_shown_out_however_long_it_says_it_waits() {
    let (upstream, sidecar) = served(|_| {});
    let slow = [
        ("nothing at all", String::new()),
        ("half a head", "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-".into()),
        ("half a body", call("pay", 600.0).body("the whole").text().replace("the whole", "the")),
    ];
    let peers = slow.map(|(what, text)| {
        let mut peer = sidecar.connect();
        peer.write_all(text.as_bytes()).expect("written");
        (what, peer)
    });
    for (what, mut peer) in peers {
        let mut said = String::new();
        // Within the 30 s that a read may take here; what the peer itself names is 600.
        peer.read_to_string(&mut said).unwrap_or_else(|error| panic!("{what}: {error}"));
        assert!(said.is_empty() || said.starts_with("HTTP/1.1 4"), "{what}: {said}");
    }
    assert!(upstream.requests().is_empty());
}

#[test]
fn a_copy_of_a_request_reaches_no_upstream_while_its_original_is_served() {
    let (upstream, sidecar) = served(|_| {});
    for _ in 0..3 {
        let original = call("look", 5.0).method("GET");
        assert_eq!(sidecar.ask(&original).status, 200);
        assert_eq!(sidecar.ask(&original.path("/api?x=1")).status, 400);
    }
    assert_eq!(upstream.requests().len(), 3);
}

#[test]
fn what_comes_malformed_from_an_upstream_is_a_failure_and_no_panic() {
    let bad_length = "HTTP/1.1 200 OK\r\nContent-Length: soon\r\n\r\n";
    let framed = |framing: &str| format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    let twofold = framed("Content-Length: 12\r\nTransfer-Encoding: chunked");
    let [lengths, unknown] =
        ["Content-Length: 12\r\nContent-Length: 2", "Transfer-Encoding: gzip"].map(framed);
    let bad = ["\u{1}\u{2}garbage\r\n\r\n", bad_length, "HTTP/1.1 999\r\n\r\n", &twofold, &lengths, &unknown];
    for raw in bad.map(str::to_owned) {
        let reply = Reply::Raw(raw.clone());
        let (_upstream, sidecar) = answered(move |_| reply.clone(), |_| {});
        assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 502, "{raw}");
    }
}

#[test]
fn what_follows_an_answer_that_can_have_no_body_is_no_answer_to_the_next_request() {
    for status in [204, 304] {
        let asked = Shared::default();
        let stray = Reply::text(status, "", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
        let (_upstream, sidecar) =
            answered(move |_| if asked.count() == 1 { stray.clone() } else { ok("own") }, |_| {});
        assert_eq!(sidecar.ask(&call("pay", 5.0)).status, 502);
        assert_eq!(sidecar.ask(&call("pay", 5.0)).whole(), (200, "own"), "after {status}");
    }
}

#[test]
fn the_list_is_followed_and_kept_through_failures() {
    let [a, b] = twins(|_| ok("served"));
    let sidecar = Sidecar::start(&[&a, &b]);
    let served_by = |expected: &Upstream, other: &Upstream| {
        let before = other.requests().len();
        sidecar.serves(6, 2.0);
        assert!(!expected.requests().is_empty());
        other.requests().len() == before
    };
    // A change: one drains.
    sidecar.discovery.tell(2, false, &[b.line("Terminating")]);
    assert!(served_by(&a, &b), "nothing new to the one that drains");
    // Discovery answers nonsense, an error, nothing: the list held stays.
    sidecar.discovery.fail(Reply::text(200, "", "{"));
    sidecar.discovery.fail(Reply::text(503, "", ""));
    sidecar.discovery.fail(Reply::Close);
    assert!(served_by(&a, &b));
    // And what it has to say afterwards counts.
    sidecar.discovery.tell(3, false, &[b.line("Ready"), a.line("Gone")]);
    assert!(served_by(&b, &a));
    // A whole list of a lower revision: it has begun to count anew.
    sidecar.discovery.tell(1, true, &[a.line("Ready")]);
    assert!(served_by(&a, &b), "who is missing from a whole list is gone");
    // A change to a list older than the one held is no base: the whole list is asked for.
    sidecar.discovery.say(0, false, &[b.line("Ready")]);
    sidecar.discovery.tell(5, true, &[b.line("Ready")]);
    assert!(served_by(&b, &a));
    // But what it takes back counts, also where nobody tells the whole list then.
    sidecar.discovery.tell(6, true, &[a.line("Ready"), b.line("Ready")]);
    sidecar.discovery.say_and_refuse(2, &[b.line("Terminating")], 100);
    assert!(served_by(&a, &b));
}

#[test]
fn an_upstream_whose_address_changes_is_found_at_the_new_one() {
    let [old, new] = twins(|_| ok("served"));
    let sidecar = Sidecar::start(&[&old]);
    assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200);
    let mut line = old.line("Ready");
    line["host_port"] = json!(new.addr.to_string());
    sidecar.discovery.tell(2, false, &[line]);
    assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200);
    assert_eq!((old.requests().len(), new.requests().len()), (1, 1));
    old.wait_for("the kept connection to close", |state| state.closed_by_peer == 1);
}

#[test]
fn the_next_watch_comes_at_once_and_names_the_revision_held() {
    let (upstream, sidecar) = served(|_| {});
    // The shortest of several waits: a busy machine may delay some, a pause of the sidecar's own would all.
    let waits = (2..8).map(|revision| sidecar.discovery.tell(revision, false, &[upstream.line("Ready")]));
    let shortest = waits.min().expect("some");
    assert!(shortest < Duration::from_millis(150), "{shortest:?}");
}

#[test]
fn at_sigterm_what_is_owed_and_who_still_comes_is_served_before_a_clean_end() {
    let upstream = Upstream::start(|_| {
        std::thread::sleep(Duration::from_millis(400));
        ok("served")
    });
    let mut sidecar = Sidecar::with(&[&upstream], alone);
    let mut kept = sidecar.connect();
    kept.write_all(b"GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n").expect("written");
    assert_eq!(Answer::read(&mut kept).status, 200);
    let mut early = sidecar.send(&call("pay", 3.0));
    upstream.wait_for("the request", |state| state.requests.len() == 1);
    sidecar.terminate();
    sidecar.wait_until("readiness fails", |sidecar| sidecar.ready() == 503);
    let late = sidecar.ask(&call("pay", 3.0));
    assert_eq!((late.status, late.header("connection")), (200, Some("close")), "a newcomer is served");
    let early = Answer::read(&mut early);
    assert_eq!((early.status, early.header("connection")), (200, Some("close")));
    assert_eq!(kept.read(&mut [0; 8]).expect("an end"), 0, "an idle connection is closed");
    // One that asks without end whether it is ready holds nothing up.
    sidecar.wait_until("the end", |sidecar| sidecar.ready() == 0);
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn connections_beyond_the_limit_wait_for_those_that_are_idle_and_give_way() {
    let (_upstream, sidecar) = served(|config| config["limits"]["sockets"] = json!(32));
    // Three times as many connections as there is room for, all kept by their clients.
    let kept: Vec<_> = (0..48).map(|_| sidecar.kept()).collect();
    assert!(sidecar.descriptors() < 32, "{}", sidecar.descriptors());
    drop(kept);
    assert_eq!(sidecar.ask(&call("pay", 5.0)).status, 200);
}

#[test]
fn a_newcomer_without_room_costs_one_other_its_connection_and_not_all() {
    let (_upstream, sidecar) = served(|config| config["limits"]["sockets"] = json!(80));
    // Each asks at once: where there is no room, who says nothing for a while gives way for that.
    let mut kept: Vec<_> = (0..32).map(|_| sidecar.kept()).collect();
    assert_eq!(sidecar.ask(&call("pay", 5.0)).status, 200);
    let is_closed = |client: &mut std::net::TcpStream| {
        client.set_read_timeout(Some(Duration::from_millis(50))).expect("set");
        client.read(&mut [0]).is_ok()
    };
    // Those asked ahead to keep places free, one for each of the last to come.
    let closed = kept.iter_mut().map(is_closed).filter(|&closed| closed).count();
    assert!((1..=8).contains(&closed), "{closed} of 32");
}

#[test]
fn what_discovery_is_asked_for_is_watched_once_the_module_subscribes() {
    let [a, b] = twins(|_| ok("served"));
    let sidecar = Sidecar::with(&[&a], |config| {
        config["settings"]["discovery"] = json!("on_request");
        config["settings"]["obligations"] = json!({"mustAskIn": 200.0});
    });
    sidecar.discovery.tell(2, true, &[b.line("Ready")]);
    assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200);
    assert_eq!(b.requests().len(), 1);
}

#[test]
fn a_quiet_sidecar_asks_upstreams_for_their_load_first() {
    let many = [0, 9, 9, 9, 9, 9].map(|concurrent| {
        let load = json!({"depth": 0, "concurrent": concurrent}).to_string();
        Upstream::start(move |seen| ok(if seen.line == "GET /stats HTTP/1.1" { &load } else { "served" }))
    });
    let sidecar = Sidecar::with(&many.each_ref(), |config| {
        config["settings"]["policyLimits"]["probes"] = json!(true);
        config["settings"]["report"] = json!({"how": "on_probe", "fields": ["depth", "concurrent"]});
    });
    assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200);
    let count =
        |line: &str| many.iter().flat_map(|u| u.requests()).filter(|r| r.line.starts_with(line)).count();
    // The better of the two may have answered the request before the other was heard to have been asked.
    wait("both to be asked", || count("GET /stats") >= 2);
    assert_eq!((count("GET /stats"), count("POST /api")), (2, 1));
}

#[test]
fn a_cold_upstream_gets_little_also_from_a_sidecar_that_has_just_started() {
    let [warm, cold] = twins(|_| ok("served"));
    let now = std::time::UNIX_EPOCH.elapsed().expect("a clock").as_millis();
    let sidecar = Sidecar::with(&[&warm, &cold], |config| {
        config["known"]["members"][1]["up_since_ms"] = json!(now as u64);
        // What little is, these say: it falls at twice a tenth of what it can do.
        config["settings"]["obligations"] = json!({"coldFrom": 0.1, "fallMultiple": 2.0});
    });
    sidecar.serves(60, 2.0);
    assert!(cold.requests().len() < 20, "{}", cold.requests().len());
}

#[test]
fn without_descriptors_it_neither_ends_nor_spins_and_they_come_back() {
    let upstream = Upstream::start(|_| ok("served"));
    // Its limit of the system is lower than what it was told.
    let sidecar = Sidecar::under("ulimit -n 40", &[&upstream]);
    let silent: Vec<_> = (0..60).map(|_| sidecar.connect()).collect();
    sidecar.wait_until("the descriptors to run out", |sidecar| sidecar.descriptors() >= 40);
    let used = sidecar.cpu_ticks();
    std::thread::sleep(Duration::from_millis(500));
    assert!(sidecar.cpu_ticks() - used < 20, "less than 200 ms of CPU in the meantime");
    drop(silent);
    assert_eq!(sidecar.ask(&call("pay", 20.0)).status, 200);
}

#[test]
fn a_keyed_request_that_may_have_run_is_repeated_only_in_its_cell_or_zone() {
    // Nobody knows how many zones those are that the settings don't name.
    let (home, away, unnamed) = (("a", 0), ("West b", 1), [("unnamed", 0), ("none either", 1)]);
    for (places, status, sent) in [([home; 2], 200, 17), ([home, away], 502, 16), (unnamed, 502, 16)] {
        // Whichever has the sixteenth breaks the connection; those before have earned it another attempt.
        let asked = Shared::default();
        let both = twins(move |_| if asked.count() == 16 { Reply::Close } else { ok("served") });
        let sidecar = Sidecar::with(&both.each_ref(), |config| {
            for (at, (zone, cell)) in places.into_iter().enumerate() {
                let line = &mut config["known"]["members"][at];
                (line["locality"], line["cell"]) = (json!(zone), json!(cell));
            }
        });
        for status in [[200; 15].as_slice(), &[status]].concat() {
            let call = call("report", 2.0).header("Idempotency-Key", "k");
            assert_eq!(sidecar.ask(&call).status, status, "{places:?}");
        }
        assert_eq!(both[0].requests().len() + both[1].requests().len(), sent, "{places:?}");
    }
}

#[test]
fn a_refusal_says_when_to_come_back_and_comes_as_soon_as_the_module_gives_up() {
    let (upstream, sidecar) = served(|config| {
        config["settings"]["requestClasses"][0]["aim"] = json!(400.0);
    });
    sidecar.discovery.tell(2, true, &[upstream.line("Terminating")]);
    let start = Instant::now();
    let answer = sidecar.ask(&call("pay", 60.0));
    let retry_after: f64 = answer.header("retry-after").expect("advice").parse().expect("seconds");
    assert_eq!(answer.status, 503);
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
    // A quarter of the aim is how long the module holds what it can't send.
    assert!(start.elapsed() < Duration::from_secs(20), "not held back until its time is over");
    assert!(upstream.requests().is_empty());
}

#[test]
fn a_watch_that_does_not_wait_is_not_asked_without_a_pause() {
    let (_upstream, sidecar) = served(|_| {});
    let (before, since) = (sidecar.discovery.calls(), Instant::now());
    (0..1_000).for_each(|_| sidecar.discovery.say(1, false, &[]));
    std::thread::sleep(Duration::from_millis(500));
    let calls = sidecar.discovery.calls() - before;
    assert!(calls as u128 <= 3 + since.elapsed().as_millis() / 100, "{calls} calls in {:?}", since.elapsed());
}

#[test]
fn a_list_counts_in_each_form_that_json_has_for_it() {
    let [a, b] = twins(|_| ok("served"));
    let sidecar = Sidecar::start(&[&a, &b]);
    let list = json!({"revision": 2, "complete": false, "members": [a.line("Terminating")]}).to_string();
    let list = list.replace(":2", ":2.0").replace("\"cell\":0", "\"cell\":0e0");
    let list = list.replace("Terminating", "\\u0054erminating").replace(',', "\r\n\t , ");
    sidecar.discovery.fail(Reply::text(200, "", &list));
    sidecar.discovery.wait_for_index(2);
    sidecar.serves(8, 5.0);
    assert!(a.requests().is_empty());
}

#[test]
fn an_answer_of_discovery_counts_in_each_form_and_the_watch_goes_on() {
    for mode in ["pushed", "on_request"] {
        let [a, b] = twins(|_| ok("served"));
        let sidecar = Sidecar::with(&[&a, &b], |config| {
            config["settings"]["discovery"] = json!(mode);
            config["settings"]["obligations"] = json!({"mustAskIn": 200.0});
        });
        let pause = Duration::from_millis(1);
        let bytes = |text: &str| text.chars().map(String::from).collect();
        let chunks = |text: &str| {
            let chunks: String = text.chars().map(|c| format!("1;x=\"y\"\r\n{c}\r\n")).collect();
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n{chunks}000\r\nX-More: 1\r\n\r\n")
        };
        let with = |head: &str, text: &str| format!("HTTP/1.1 200 \r\n{head}\r\n\r\n{text}");
        let length = |text: &str| format!("content-length:{}  ", text.len());
        let forms: [&dyn Fn(&str) -> Reply; 6] = [
            &|text| Reply::Pieces(bytes(&with(&length(text), text)), pause),
            &|text| Reply::Whole(chunks(text)),
            &|text| Reply::Raw(with("X: y", text)),
            &|text| Reply::Raw(with(&format!("{}\r\nConnection: close", length(text)), text)),
            &|text| Reply::Whole(with(&format!("{}\r\nConnection: close", length(text)), text)),
            &|text| Reply::Whole(format!("HTTP/1.1 103 X\r\nA: b\r\n\r\n{}", with(&length(text), text))),
        ];
        for (i, form) in forms.iter().enumerate() {
            let (left, kept) = if i % 2 == 0 { (&a, &b) } else { (&b, &a) };
            let revision = 2 + i as u64;
            let list = json!({"revision": revision, "complete": i % 3 == 0, "members":
                [left.line("Terminating"), kept.line("Ready")]});
            sidecar.discovery.fail(form(&list.to_string()));
            sidecar.discovery.wait_for_index(revision);
            let before = left.requests().len();
            sidecar.serves(6, 5.0);
            assert_eq!(left.requests().len(), before, "{mode}, {i}");
            assert_eq!(sidecar.lines_with("discovery: "), 0, "{mode}, {i}");
        }
    }
}

#[test]
fn at_sighup_discovery_is_followed_at_the_address_that_the_file_names_now() {
    for mode in ["pushed", "on_request"] {
        let [a, b] = twins(|_| ok("served"));
        let mut sidecar = Sidecar::with(&[&a], |config| {
            config["settings"]["discovery"] = json!(mode);
            // Asked for seldom enough that only the move can be why it is asked.
            config["settings"]["obligations"] = json!({"mustAskIn": 600_000.0});
        });
        assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200);
        // A file that can't be read changes nothing.
        sidecar.reload_bad(b"{");
        assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200, "{mode}");
        // The new one counts anew, from below the revision held.
        sidecar.move_discovery(0, &[b.line("Ready")]);
        sidecar.discovery.wait_for_index(0);
        for _ in 0..4 {
            assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200, "{mode}");
        }
        assert_eq!((a.requests().len(), b.requests().len()), (2, 4), "{mode}");
        sidecar.discovery.tell(1, false, &[b.line("Terminating"), a.line("Ready")]);
        assert_eq!(sidecar.ask(&call("pay", 2.0)).status, 200, "{mode}");
        assert_eq!(a.requests().len(), 3, "{mode}: and what it has to say afterwards");
    }
}

#[test]
fn after_each_way_a_call_to_discovery_fails_a_whole_list_takes_out_what_it_leaves_out() {
    let cut = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"revision\": 2,";
    let failures = [Reply::Close, Reply::text(503, "Retry-After: 60\r\n", ""), Reply::Whole(cut.into())];
    for (mode, failure) in ["pushed", "on_request"].into_iter().flat_map(|m| failures.clone().map(|f| (m, f)))
    {
        let [a, b] = twins(|_| ok("served"));
        let sidecar = Sidecar::with(&[&a, &b], |config| {
            config["settings"]["discovery"] = json!(mode);
            config["settings"]["obligations"] = json!({"mustAskIn": 200.0});
        });
        sidecar.discovery.fail(failure);
        // Older than what follows at once on the watch. The one that serves drains then.
        sidecar.discovery.tell(2, true, &[a.line("Ready"), b.line("Ready")]);
        sidecar.serves(6, 5.0);
        let (left, kept) = if a.requests().is_empty() { (&b, &a) } else { (&a, &b) };
        let before = left.requests().len();
        let list = json!({"revision": 3, "complete": true, "members": [kept.line("Ready")]});
        sidecar.discovery.fail(Reply::text(200, "", &serde_json::to_string_pretty(&list).expect("text")));
        sidecar.discovery.wait_for_index(3);
        sidecar.serves(6, 5.0);
        assert_eq!(left.requests().len(), before, "{mode}");
    }
}
