//! Three instances of the list service with a fault proxy on each way between two: the leader killed under a
//! stream of writes, a follower and the leader cut off both ways, the leader paused, and all three killed and started again.

mod cluster;

use cluster::{Cluster, Listd, NEW_LEADER, PATIENCE, WRITE, entry, ids, revision};
use std::time::Instant;
/// Writes in the stream, and after how many the leader is killed.
const WRITES: usize = 40;
const KILLED_AFTER: usize = 15;

/// Whether an instance serves exactly this list at this revision.
fn holds(wanted_revision: u64, wanted: &[String]) -> impl Fn(&Listd) -> bool {
    let wanted = wanted.to_vec();
    move |node| {
        node.try_call("GET", "/registry/instances", "").is_some_and(|(status, body, _)| {
            status == 200 && revision(&body) == wanted_revision && ids(&body) == wanted
        })
    }
}

#[test]
fn three_instances_keep_what_was_acknowledged_through_a_kill_a_cut_and_a_restart_of_all() {
    let mut cluster = Cluster::new("raft");

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
    cluster.node(killed).until("the restarted one never caught up", holds(last_revision, &acknowledged));

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
    cluster.node(cut).until("the mended one never caught up", holds(revision_in_majority, &left));

    // The leader cut off: it answers no list and no watch any more, ends the watch it holds, and a write to it ends
    // in time; the majority elects another and goes on.
    let (cut, revision_at_cut) =
        cluster.write("DELETE", "/registry/instances/s4", "", NEW_LEADER).expect("a leader");
    let watched = format!("/registry/instances?index={revision_at_cut}&wait=20000");
    let held = std::thread::scope(|scope| {
        let held = scope.spawn(|| cluster.node(cut).call_within("GET", &watched, "", PATIENCE / 2));
        cluster.cut(cut, true);
        cluster.node(cut).until("the cut leader still served", |node| !node.serves());
        held.join().expect("no panic")
    });
    let late =
        cluster.node(cut).call_within("PUT", "/registry/instances/late", &entry("late", None), WRITE * 3);
    assert_eq!(late.map(|answer| answer.0), Some(503), "a write to a cut leader ends in time");
    assert!(held.is_some_and(|answer| answer.0 == 503), "the watch it held ended before its wait");
    assert!(!cluster.node(cut).serves(), "and it stays so");
    let (leader, revision_in_majority) =
        cluster.write("DELETE", "/registry/instances/s5", "", NEW_LEADER).expect("a new leader");
    assert_ne!(leader, cut, "a cut leader acknowledges nothing");
    cluster.cut(cut, false);
    let left: Vec<String> =
        left.into_iter().filter(|id| !["s4:Ready", "s5:Ready"].contains(&id.as_str())).collect();
    cluster.node(cut).until("the mended leader never caught up", holds(revision_in_majority, &left));

    // The leader paused past its election time-out: the others elect another and write on; resumed, it steps down
    // and takes what was written meanwhile.
    let (paused, _) = cluster.write("DELETE", "/registry/instances/s2", "", NEW_LEADER).expect("a leader");
    cluster.node(paused).pause(true);
    let (leader, revision_in_majority) =
        cluster.write("DELETE", "/registry/instances/s3", "", NEW_LEADER).expect("a new leader");
    assert_ne!(leader, paused, "a paused process acknowledges nothing");
    cluster.node(paused).pause(false);
    let left: Vec<String> =
        left.into_iter().filter(|id| !["s2:Ready", "s3:Ready"].contains(&id.as_str())).collect();
    cluster.node(paused).until("the resumed one never caught up", holds(revision_in_majority, &left));

    // All three killed at once and started again: the same revision and list come back from disk.
    cluster.kill_all();
    (0..3).for_each(|i| cluster.start(i));
    (0..3).for_each(|i| {
        cluster.node(i).until("not the same after a restart", holds(revision_in_majority, &left))
    });
}
