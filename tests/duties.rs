//! Duties and the published plan on three instances: granted to one at a time, kept through the leader's end and a
//! restart of all, and never written by an old token or from a minority.

mod cluster;

use cluster::{Cluster, NEW_LEADER, PATIENCE, json, planner, settled};
use serde_json::Value;
use std::time::Instant;

const FLEET: &str = "[fleet.sites]\npraha = { region = \"zapad\", rate = 3000.0 }\n";

fn grant(cluster: &Cluster, duty: &str, holder: &str, ttl_ms: u64) -> (u16, Value) {
    let body = format!(r#"{{"holder":"{holder}","ttl_ms":{ttl_ms}}}"#);
    settled(cluster, "PUT", &format!("/duties/{duty}"), &body)
}

fn publish(token: u64) -> String {
    format!(r#"{{"Publish":{{"token":{token},"plan":{{"valid_ms":3000}}}}}}"#)
}

/// Waits for a holder under a higher token.
fn next_planner(cluster: &Cluster, token: u64) -> (usize, u64) {
    let began = Instant::now();
    loop {
        let next = planner(cluster);
        if next.1 > token {
            return next;
        }
        assert!(began.elapsed() < PATIENCE, "no higher token than {token}");
    }
}

/// Publishes by whichever instance leads.
fn publish_by(cluster: &Cluster, token: u64) -> (u16, Value) {
    settled(cluster, "POST", "/fleet/propose", &publish(token))
}

#[test]
fn one_holder_at_a_time_and_no_plan_of_an_old_token_or_a_minority() {
    let mut cluster = Cluster::with("duties", FLEET);

    // A report is kept where it came and refused where it is older, out of bounds or too long.
    let report = |span: &str| {
        format!(
            r#"{{"origin":"n","incarnation":1,"sequence":1,"site":"praha","span_ms":{span},"demand":[],"traffic":[],"plan":null}}"#
        )
    };
    let (node, long) = (cluster.node(0), " ".repeat(300_000));
    for (body, status) in [(report("1000"), 200), (report("1000"), 409), (report("0"), 400), (long, 413)] {
        assert_eq!(node.call("POST", "/fleet/reports", &body).0, status);
    }
    assert_eq!(json(&node.call("GET", "/fleet/reports", "").1)[0]["report"]["origin"].as_str(), Some("n"));
    assert_eq!(node.call("GET", "/fleet/plan?index=0&wait=10", "").0, 404, "none yet");

    // Granted, renewed for its holder, refused to others, and free for them at once where it is released.
    let (status, granted) = grant(&cluster, "sonda", "a", 60_000);
    let token = granted["token"].as_u64().expect("a token");
    assert_eq!((status, granted["ttl_ms"].as_u64()), (200, Some(60_000)));
    assert_eq!(grant(&cluster, "sonda", "a", 60_000).1["token"].as_u64(), Some(token), "a renewal");
    let held = grant(&cluster, "sonda", "b", 60_000);
    assert_eq!((held.0, held.1["holder"].as_str()), (409, Some("a")));
    assert_eq!(grant(&cluster, "sonda", "b", 1).0, 400);

    // The leader killed: the lease is kept with its token.
    let entry = cluster::entry("s", None);
    let written = cluster.write("PUT", "/registry/instances/s", &entry, NEW_LEADER);
    let (leader, _) = written.expect("a leader");
    let before = planner(&cluster);
    cluster.nodes[leader].take().expect("running").kill();
    assert_eq!(grant(&cluster, "sonda", "b", 60_000).0, 409);
    assert_eq!(grant(&cluster, "sonda", "a", 60_000).1["token"].as_u64(), Some(token));
    cluster.start(leader);
    cluster.serving("the killed one never came back");

    // Released, and a watch that is held on another instance hears it.
    let index = settled(&cluster, "GET", "/duties/sonda", "").1["index"].as_u64().expect("an index");
    let release = format!("/duties/sonda?token={token}");
    let watch = format!("/duties/sonda?index={index}&wait=20000");
    let seen = std::thread::scope(|scope| {
        let watch = scope.spawn(|| cluster.node(leader).call("GET", &watch, ""));
        assert_eq!(settled(&cluster, "DELETE", &release, "").0, 200);
        watch.join().expect("no panic")
    });
    assert_eq!((seen.0, json(&seen.1)["index"].as_u64() > Some(index)), (200, true), "{}", seen.1);
    assert_eq!(settled(&cluster, "DELETE", &release, "").0, 409, "it is no longer the present one");
    assert!(grant(&cluster, "sonda", "b", 60_000).1["token"].as_u64() > Some(token));

    // The planner leaves on SIGTERM: another has a higher token at once, and the old one publishes no more.
    // Where the killed one had it, the duty stays with that process until its lease ends.
    let (first, old) = if before.0 == leader { next_planner(&cluster, before.1) } else { planner(&cluster) };
    let published = publish_by(&cluster, old);
    assert_eq!((published.0, published.1["Published"]["token"].as_u64()), (200, Some(old)));
    let stopped = cluster.nodes[first].take().expect("running").terminate();
    assert!(stopped.success(), "{stopped}");
    let log = std::fs::read_to_string(cluster.dir.join(format!("{first}.log"))).expect("its log");
    assert!(log.contains(r#""message":"released","duty":"planner""#), "{log}");
    let (second, token) = next_planner(&cluster, old);
    assert_ne!(first, second);
    assert_eq!(publish_by(&cluster, old).0, 409, "a stale token");
    assert_eq!(publish_by(&cluster, token).0, 200);
    cluster.start(first);
    cluster.serving("the stopped one never came back");

    // Cut off, the holder can't publish, and its instance ends its watch; the majority has another holder.
    cluster.cut(second, true);
    cluster.node(second).until("the cut one still served", |node| !node.serves());
    let cut = cluster.node(second);
    let answer = |method, path, body: &str| cut.try_call(method, path, body).map(|answer| answer.0);
    assert!(matches!(answer("POST", "/fleet/propose", &publish(token)), Some(421 | 503)));
    assert_eq!(answer("GET", "/fleet/plan?index=0&wait=20000", ""), Some(503));
    let (_, third) = next_planner(&cluster, token);
    assert_eq!(publish_by(&cluster, token).0, 409);
    cluster.cut(second, false);
    let version = publish_by(&cluster, third).1["Published"]["version"].as_u64().expect("a version");

    // All three killed and started again: plan and duties are there, and tokens only grow.
    cluster.kill_all();
    cluster.start_all();
    let plan = settled(&cluster, "GET", "/fleet/plan", "").1;
    assert!(plan["mark"]["version"].as_u64() >= Some(version), "{plan}");
    assert_eq!(grant(&cluster, "sonda", "c", 60_000).1["holder"].as_str(), Some("b"));
    next_planner(&cluster, third);
}
