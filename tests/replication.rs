//! Three instances of the list service with a fault proxy on each way between two: the leader killed under a
//! stream of writes, a follower cut off both ways, and all three killed and started again.

mod cluster;

use cluster::{Listd, Proxy, entry, free_port, ids, revision};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The design's bound for a new leader is 1.5 s; this is wide for a loaded machine.
const NEW_LEADER: Duration = Duration::from_secs(6);
/// Writes in the stream, and after how many the leader is killed.
const WRITES: usize = 40;
const KILLED_AFTER: usize = 15;

struct Cluster {
    dir: PathBuf,
    addrs: Vec<std::net::SocketAddr>,
    /// `proxies[from][to]`: the way from one instance to another; none from one to itself.
    proxies: Vec<Vec<Option<Proxy>>>,
    nodes: Vec<Option<Listd>>,
}

impl Cluster {
    fn new(dir: &Path) -> Cluster {
        std::fs::create_dir_all(dir).expect("a folder");
        let addrs: Vec<_> = (0..3).map(|_| free_port()).collect();
        let proxies: Vec<Vec<_>> = (0..3)
            .map(|from| (0..3).map(|to| (from != to).then(|| Proxy::new(addrs[to]))).collect())
            .collect();
        for (from, ways) in proxies.iter().enumerate() {
            let peers: String = ways
                .iter()
                .enumerate()
                .map(|(to, way)| {
                    format!("\"{}\" = \"{}\"\n", to + 1, way.as_ref().map_or(addrs[to], |p| p.addr))
                })
                .collect();
            std::fs::write(dir.join(format!("{from}.toml")), format!("[peers]\n{peers}"))
                .expect("a configuration");
        }
        let mut cluster = Cluster { dir: dir.to_owned(), addrs, proxies, nodes: vec![None, None, None] };
        (0..3).for_each(|i| cluster.start(i));
        cluster
    }

    /// Cuts or mends both ways between one instance and the others.
    fn cut(&self, i: usize, cut: bool) {
        for (from, ways) in self.proxies.iter().enumerate() {
            for (to, way) in ways.iter().enumerate() {
                if let Some(way) = way.as_ref().filter(|_| from == i || to == i) {
                    way.cut(cut);
                }
            }
        }
    }

    fn start(&mut self, i: usize) {
        let (data, config) = (self.dir.join(format!("{i}.redb")), self.dir.join(format!("{i}.toml")));
        let id = (i + 1).to_string();
        self.nodes[i] = Some(Listd::start_at(self.addrs[i], &data, &config, &["--id", &id]));
    }

    fn node(&self, i: usize) -> &Listd {
        self.nodes[i].as_ref().expect("running")
    }

    /// Writes through whichever instance leads, following `X-Leader`; `None` where no leader took it in time.
    fn write(&self, method: &str, path: &str, body: &str, within: Duration) -> Option<(usize, u64)> {
        let began = Instant::now();
        let mut at = (0..3).find(|&i| self.nodes[i].is_some())?;
        while began.elapsed() < within {
            match self.nodes[at].as_ref().and_then(|node| node.try_call(method, path, body)) {
                Some((200, body, _)) => return Some((at, revision(&body))),
                Some((421, _, Some(leader))) => {
                    // The leader as the instance asked reaches it.
                    let way = |p: &Option<Proxy>| p.as_ref().is_some_and(|p| p.addr.to_string() == leader);
                    at = self.proxies[at].iter().position(way).unwrap_or(at);
                    if self.nodes[at].is_none() {
                        at = (at + 1) % 3;
                    }
                }
                _ => {
                    at = (at + 1) % 3;
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
        }
        None
    }
}

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
