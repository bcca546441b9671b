//! What a sidecar makes of bad settings, lists and requests, and of settings that are not its own. The real program.

mod world;

use serde_json::{Value, json};
use std::process::Stdio;
use world::*;

/// What no file of settings is, with what is said of it.
const BROKEN: [(&[u8], &str); 7] = [
    (b"", "no JSON: EOF"),
    (b"{\"name\":", "no JSON: EOF"),
    (b"{} x", "no JSON: trailing"),
    (b"\xef\xbb\xbf{}", "no JSON: expected value"),
    (b"{\"name\":\"\xff\"}", "valid UTF-8"),
    (b"null", "no JSON: invalid type"),
    (b"[]", "cannot read \"\""),
];

#[test]
fn bad_settings_are_a_start_that_fails_with_one_line_that_names_them() {
    let is_told = |said: String, of: &str| {
        let lines: Vec<&str> = said.lines().collect();
        assert!(lines.len() == 1 && lines[0].contains(of) && !said.contains("panicked"), "{of}: {said}");
    };
    for (bytes, said) in BROKEN {
        is_told(start_error_of(bytes), said);
    }
    let deep = [b"[".repeat(100_000), b"]".repeat(100_000)].concat();
    is_told(start_error_of(&deep), "no JSON: recursion");
    let class = "/settings/requestClasses/0";
    for (path, value, said) in [
        ("/settings", json!(null), "requestClasses.count: missing"),
        ("/settings/requestClasses", json!([]), "requestClasses.count: missing"),
        ("/settings/requestClasses", json!("x"), "requestClasses.count: missing"),
        (class, json!({}), "requestClasses.0"),
        (&format!("{class}/aim"), json!([1, 2]), "requestClasses.0.aim: cannot read"),
        (&format!("{class}/aim"), json!("NaN"), "requestClasses.0.aim: cannot read"),
        (&format!("{class}/deadline"), json!(-1), "requestClasses.0.deadline: cannot read"),
        (&format!("{class}/deadline"), json!(1e300), "requestClasses.0.deadline: cannot read"),
        (&format!("{class}/deadline"), json!(1e22), "requestClasses.0.deadline: cannot read"),
        (&format!("{class}/idempotency"), json!("Fragile"), "requestClasses.0.idempotency: cannot read"),
        (&format!("{class}/name"), json!(name_of("look")), "is another's, too"),
        (&format!("{class}/name"), json!(name_of("report").replace(' ', "_")), "is another's, too"),
        ("/settings/zone", json!(-1), "zone: cannot read"),
        ("/settings/tick", json!(1e22), "tick: cannot read"),
        ("/settings/discovery", json!("Pushed"), "discovery: cannot read"),
        ("/settings/policyLimits/mostTries", json!(0), "policyLimits.mostTries: cannot read"),
        ("/limits/memory_mb", json!(-5), "limits.memory_mb: cannot read"),
        ("/seed", json!(7), "seed: cannot read"),
        ("/listen", json!(null), "listen: cannot read"),
    ] {
        let change = |config: &mut Value| {
            *config.pointer_mut(path).unwrap_or_else(|| panic!("{path}")) = value;
        };
        is_told(start_error(":", Stdio::null(), change), said);
    }
}

#[test]
fn at_sighup_nothing_but_the_address_of_discovery_changes() {
    let [a, b] = twins(|_| ok("served"));
    let mut sidecar = Sidecar::with(&[&a], with_door);
    for (bytes, _) in BROKEN {
        sidecar.reload_bad(bytes);
    }
    sidecar.serves(1, 5.0);
    // The file is another customer's: its names are all this one's with other effects.
    let whole = sidecar.config["settings"].clone();
    sidecar.config["name"] = json!("n1");
    sidecar.config["settings"] = json!({"zone": 9, "discovery": "pushed", "requestClasses": [
        {"name": name_of("pay"), "idempotency": "retryable", "aim": 1.0, "deadline": 1.0},
        {"name": "theirs", "idempotency": "fragile", "aim": 1.0}]});
    assert_ne!(sidecar.config["settings"], whole);
    sidecar.config["limits"] = json!({"sockets": 1, "memory_mb": 1});
    sidecar.move_discovery(0, &[b.line("Ready")]);
    sidecar.discovery.wait_for_index(0);
    sidecar.serves(2, 5.0);
    assert_eq!((a.requests().len(), b.requests().len()), (1, 2));
    for (call, status) in [(call("theirs", 5.0), 400), (call("pay", 5.0).method("GET"), 400)] {
        assert_eq!(sidecar.ask(&call).status, status);
    }
    assert_eq!(sidecar.ask(&call("look", 5.0).method("GET")).status, 200);
    assert_eq!((sidecar.figure("calls.pay.success"), sidecar.figure("calls.look.success")), (3, 1));
}

#[test]
fn a_request_that_is_not_clearly_of_one_class_and_one_time_goes_nowhere_and_ends_nothing() {
    let (upstream, sidecar) = served(|_| {});
    let (pay, pair) = (name_of("pay"), |name: &str, value: &str| format!("{value}\r\n{name}: {value}"));
    for (what, call) in [
        ("more seconds than a clock has", call("pay", 1.0).header("X-Budget", "1e19")),
        ("more than a time has", call("pay", 1.0).header("X-Budget", "1e300")),
        ("endless", call("pay", 1.0).header("X-Budget", "inf")),
        ("no time", call("pay", 1.0).header("X-Budget", "")),
        ("no budget", call("pay", 1.0).without("X-Budget")),
        ("no class", call("pay", 1.0).without("X-Call-Class")),
        ("the class in capitals", call("pay", 1.0).header("X-Call-Class", &pay.to_uppercase())),
        ("a part of a class", call("pay", 1.0).header("X-Call-Class", &pay[..2])),
        ("more than a class", call("pay", 1.0).header("X-Call-Class", &format!("{pay}2"))),
        ("two classes", call("pay", 1.0).header("X-Call-Class", &pair("X-Call-Class", pay))),
        ("two times", call("pay", 1.0).header("X-Budget", &pair("X-Budget", "1"))),
        ("two ids", call("pay", 1.0).header("X-Call-Id", &pair("X-Call-Id", "two"))),
        ("two callers", call("pay", 1.0).header("X-Caller", &pair("X-Caller", "a"))),
        ("two keys", call("report", 1.0).header("Idempotency-Key", &pair("Idempotency-Key", "k"))),
    ] {
        assert_eq!(sidecar.ask(&call).status, 400, "{what}");
    }
    assert!(upstream.requests().is_empty(), "{:?}", upstream.requests());
    // An absurd hint is none, and whose it is does not matter to whoever is in no settings.
    for (name, value) in [("X-Call-Cost", "1e25"), ("X-Call-Cost", "-1"), ("X-Caller", "nobody")] {
        assert_eq!(sidecar.ask(&call("pay", 5.0).header(name, value)).status, 200, "{value}");
    }
    // An id is new with every request, whoever's it is.
    let [one, other] = ["acme 2", "Acme"].map(|caller| call("pay", 5.0).header("X-Caller", caller));
    assert_eq!(sidecar.ask(&one.header("X-Call-Id", "same")).status, 200);
    assert_eq!(sidecar.ask(&other.header("X-Call-Id", "same")).status, 400);
}

#[test]
fn of_a_broken_list_nothing_counts() {
    let [a, b] = twins(|_| ok("served"));
    let sidecar = Sidecar::start(&[&a]);
    let of = |members: Value| json!({"revision": 2, "complete": true, "members": members}).to_string();
    let with = |key: &str, value: Value| {
        let mut line = b.line("Ready");
        line[key] = value;
        of(json!([line]))
    };
    let whole = of(json!([b.line("Ready")]));
    for (what, text) in [
        ("nothing", String::new()),
        ("cut", whole[..whole.len() - 1].into()),
        ("more behind", format!("{whole}{whole}")),
        ("no object", format!("[{whole}]")),
        ("members that are none", of(json!({"id": "s"}))),
        ("a line that is none", of(json!([7]))),
        ("a revision that is none", whole.replace("\"revision\":2", "\"revision\":-2")),
        ("a revision too large", whole.replace("\"revision\":2", "\"revision\":1e300")),
        ("a number that is none", whole.replace("\"size\":1.0", "\"size\":1e999")),
        ("no address", with("host_port", json!("nowhere:1"))),
        ("a port too large", with("host_port", json!("127.0.0.1:70000"))),
        ("no phase", with("phase", json!("ready"))),
        ("a cell too large", with("cell", json!(1e9))),
        ("an id that is none", with("id", json!(7))),
        ("deep", format!("{}{}", "[".repeat(100_000), "]".repeat(100_000))),
        ("long", format!("{whole}{}", " ".repeat(10_000_000))),
    ] {
        sidecar.discovery.fail(Reply::text(200, "", &text));
        assert_eq!(sidecar.ask(&call("pay", 5.0)).status, 200, "{what}");
        assert!(b.requests().is_empty(), "{what}");
    }
    // What is only odd is taken.
    let mut odd = b.line("Ready");
    (odd["size"], odd["locality"], odd["flavor"]) = (json!(-1e300), json!(7), json!("unheard of"));
    sidecar.discovery.tell(3, true, &[odd]);
    sidecar.serves(1, 5.0);
    assert_eq!(b.requests().len(), 1);
}
