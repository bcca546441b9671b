//! Three instances of the list service with a fault proxy on each way between two: the leader killed under a
//! stream of writes, a follower cut off both ways, and all three killed and started again.

mod cluster;

use cluster::{Cluster, Listd, NEW_LEADER, entry, ids, revision};
use std::time::Instant;
/// Writes in the stream, and after how many the leader is killed.
const WRITES: usize = 40;
const KILLED_AFTER: usize = 15;

#[test]
fn three_instances_keep_what_was_acknowledged_through_a_kill_a_cut_and_a_restart_of_all() {
    let dir = std::env::temp_dir().join(format!("listd-raft-{}", std::process::id()));
    let mut cluster = Cluster::new(&dir);
    (0..3).for_each(|i| cluster.node(i).until("no leader", Listd::serves));

    // A stream of writes; the leader is killed in it. Every acknowledged write survives, revisions only grow.
    let (mut acknowledged, mut last_revision, mut gap) = (Vec::new(), 0, None);
    for n in 0..WRITES {
        let id = format!("s{n}");
        let began = Instant::now();
        let (leader, revision) = cluster
            .write("PUT", &format!("/registry/instances/{id}"), &entry(&id, None), NEW_LEADER)
            .expect("a leader took the write in time");
        assert!(revision > last_revision, "revision {revision} after {last_revision}");
        (last_revision, acknowledged) = (revision, [acknowledged, vec![format!("{id}:Ready")]].concat());
        if n == KILLED_AFTER - 1 {
            cluster.nodes[leader].take().expect("running").kill();
        } else if n == KILLED_AFTER {
            gap = Some(began.elapsed());
        }
    }
    assert!(gap.is_some_and(|gap| gap < NEW_LEADER));
    acknowledged.sort();
    let killed = (0..3).find(|&i| cluster.nodes[i].is_none()).expect("one was killed");
    cluster.start(killed);
    let caught_up = |node: &Listd| {
        node.try_call("GET", "/registry/instances", "").is_some_and(|(status, body, _)| {
            status == 200 && revision(&body) == last_revision && ids(&body) == acknowledged
        })
    };
    cluster.node(killed).until("the restarted one never caught up", caught_up);

    // A follower cut off from its peers: it stops serving the list and refuses writes; the majority goes on.
    let (leader, _) = cluster.write("DELETE", "/registry/instances/s0", "", NEW_LEADER).expect("a leader");
    let cut = (leader + 1) % 3;
    cluster.cut(cut, true);
    cluster.node(cut).until("the cut one still served", |node| !node.serves());
    let refused = cluster.node(cut).call("PUT", "/registry/instances/late", &entry("late", None)).0;
    assert!(refused == 421 || refused == 503, "a cut follower answered {refused}");
    let (_, revision_in_majority) =
        cluster.write("DELETE", "/registry/instances/s1", "", NEW_LEADER).expect("the majority writes");
    cluster.cut(cut, false);
    let left: Vec<String> =
        acknowledged.iter().filter(|id| !["s0:Ready", "s1:Ready"].contains(&id.as_str())).cloned().collect();
    let whole_at = |revision_wanted: u64| {
        let left = left.clone();
        move |node: &Listd| {
            node.try_call("GET", "/registry/instances", "").is_some_and(|(status, body, _)| {
                status == 200 && revision(&body) == revision_wanted && ids(&body) == left
            })
        }
    };
    cluster.node(cut).until("the mended one never caught up", whole_at(revision_in_majority));

    // All three killed at once and started again: the same revision and list come back from disk.
    (0..3).for_each(|i| cluster.nodes[i].take().expect("running").kill());
    (0..3).for_each(|i| cluster.start(i));
    (0..3)
        .for_each(|i| cluster.node(i).until("not the same after a restart", whole_at(revision_in_majority)));
    drop(cluster);
    let _ = std::fs::remove_dir_all(&dir);
}
