//! A sidecar that follows three instances of the list service: it takes what they tell, keeps serving on its last
//! list while all of them are down for 30 s, and takes what they tell after their return within one backoff.

mod cluster;
mod world;

use cluster::Cluster;
use serde_json::json;
use std::time::{Duration, Instant};
use world::*;

/// How long the service is away, as its issue has it.
const AWAY: Duration = Duration::from_secs(30);
/// The longest backoff of the sidecar's client is 5 s, and a watch answers at once where there is news; wide.
const BACK: Duration = Duration::from_secs(12);

fn register(cluster: &Cluster, upstream: &Upstream) {
    let line = upstream.line("Ready");
    let path = format!("/registry/instances/{}", line["id"].as_str().expect("an id"));
    cluster.write("PUT", &path, &line.to_string(), cluster::NEW_LEADER).expect("a leader took it");
}

fn served_by(sidecar: &Sidecar, upstream: &Upstream, within: Duration) -> bool {
    let began = Instant::now();
    while began.elapsed() < within {
        let answer = sidecar.ask(&call("look", 2.0).method("GET"));
        assert_eq!(answer.status, 200, "served on the list held: {}", answer.body);
        if !upstream.requests().is_empty() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

#[test]
fn a_sidecar_keeps_its_list_while_the_service_is_away_and_takes_the_next_after_its_return() {
    let mut cluster = Cluster::new("sidecar");
    let [a, b, c] = [(); 3].map(|()| Upstream::start(|_| Reply::text(200, "", "served")));
    register(&cluster, &a);
    let peers: Vec<String> = cluster.addrs.iter().map(ToString::to_string).collect();
    let sidecar = Sidecar::with(&[&a], |config| config["discovery_peers"] = json!(peers));

    register(&cluster, &b);
    assert!(served_by(&sidecar, &b, BACK), "what the service told was taken");

    cluster.kill_all();
    let away = Instant::now();
    while away.elapsed() < AWAY {
        assert_eq!(sidecar.ask(&call("look", 2.0).method("GET")).status, 200, "served on the last list");
        std::thread::sleep(Duration::from_millis(500));
    }
    cluster.start_all();
    register(&cluster, &c);
    assert!(served_by(&sidecar, &c, BACK), "what the service told after its return was taken");
}
