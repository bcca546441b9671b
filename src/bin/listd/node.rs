//! One instance of the service: raft over the store, the clock of the leases, and what the leader alone does.

use crate::durable::DiskError;
use crate::fleet_node::Reports;
use crate::metrics::{Ending, Metrics, Now};
use crate::peers::Peers;
use crate::replica::{NodeId, Replica, Shared, Types};
use crate::store::{Command, Limits, Outcome, StoreError};
use micapier::fleet::config::FleetConfig;
use openraft::error::{CheckIsLeaderError, ClientWriteError, RaftError};
use openraft::storage::Adaptor;
use openraft::{BasicNode, Raft, ServerState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

/// Raft's times, in ms. A heartbeat every 150 ms and an election after 500 to 650 ms without one: a new leader
/// serves within two election time-outs and a heartbeat, 1.5 s, while a loaded loopback's pauses of some tens of
/// ms call no election.
const HEARTBEAT_MS: u64 = 150;
const ELECTION_MS: (u64, u64) = (500, 650);
/// An instance that was in touch with a quorum this lately is current: its side of a cut is not the one where
/// another leader serves by now, since nobody is elected sooner. Past it lists, watches and writes end with 503.
const IN_TOUCH: Duration = Duration::from_millis(ELECTION_MS.1);
/// A write is committed by a quorum in some ms; one that is not by then is answered as open: it may be later.
const WRITE_PATIENCE: Duration = Duration::from_secs(1);
/// Log entries kept after a snapshot, and between snapshots: a follower that is some seconds behind catches up
/// from the log, one that is further behind from the snapshot.
const LOG_KEPT: u64 = 1_000;

#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    #[error(transparent)]
    Refused(#[from] StoreError),
    /// This instance is not the leader; the leader's address where it is known.
    #[error("not the leader")]
    NotLeader(Option<SocketAddr>),
    #[error("raft: {0}")]
    Raft(String),
    /// No quorum confirmed it in time.
    #[error("no quorum in time")]
    Late,
}

#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error(transparent)]
    Refused(#[from] StoreError),
    /// This instance is out of touch with a quorum, and what it has may be old.
    #[error("out of touch with a quorum")]
    OutOfTouch,
}

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error(transparent)]
    Disk(#[from] DiskError),
    #[error("raft: {0}")]
    Raft(String),
}

pub struct Node {
    pub raft: Raft<Types>,
    /// The control plane's configuration.
    pub fleet: FleetConfig,
    pub(crate) reports: Reports,
    pub(crate) shared: Arc<Shared>,
    id: NodeId,
    /// Every instance's address by id, this one's too.
    members: BTreeMap<NodeId, SocketAddr>,
    /// Where the clock of the leases begins.
    started: Instant,
    /// When this instance was last in touch with a quorum: the leader by what a quorum acknowledged, a follower by
    /// what it took from the leader. `None` before the first time.
    touch: watch::Sender<Option<Instant>>,
    metrics: Metrics,
}

impl Node {
    /// Opens the disk at `path` and starts raft among `members`. Each instance asks for the same first
    /// membership; where the log already has one, the ask is refused and changes nothing.
    ///
    /// # Errors
    /// Where the disk can't be read or raft can't start.
    pub async fn start(
        id: NodeId, members: BTreeMap<NodeId, SocketAddr>, path: &Path, limits: Limits, fleet: FleetConfig,
    ) -> Result<Node, StartError> {
        let replica = Replica::open(path, limits, 0)?;
        let shared = replica.shared();
        let config = openraft::Config {
            cluster_name: "listd".to_owned(),
            heartbeat_interval: HEARTBEAT_MS,
            election_timeout_min: ELECTION_MS.0,
            election_timeout_max: ELECTION_MS.1,
            snapshot_policy: openraft::SnapshotPolicy::LogsSinceLast(LOG_KEPT),
            max_in_snapshot_log_to_keep: LOG_KEPT,
            ..Default::default()
        };
        let config = Arc::new(config.validate().map_err(|error| StartError::Raft(error.to_string()))?);
        let (log, machine) = Adaptor::new(replica);
        let raft = Raft::new(id, config, Peers { routes: members.clone() }, log, machine)
            .await
            .map_err(|e| StartError::Raft(e.to_string()))?;
        let nodes: BTreeMap<NodeId, BasicNode> =
            members.iter().map(|(id, addr)| (*id, BasicNode { addr: addr.to_string() })).collect();
        if let Err(error) = raft.initialize(nodes).await {
            tracing::debug!(%error, "the membership is there already");
        }
        let (started, touch) = (Instant::now(), watch::Sender::new(None));
        let (reports, metrics) = (Reports::default(), Metrics::new());
        Ok(Node { raft, fleet, reports, shared, id, members, started, touch, metrics })
    }

    /// The addresses of the other instances.
    pub fn others(&self) -> impl Iterator<Item = &SocketAddr> {
        self.members.iter().filter(|(id, _)| **id != self.id).map(|(_, addr)| addr)
    }

    /// Milliseconds of this instance's monotonic clock.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The time of the day in Unix ms, by this instance's clock.
    pub fn unix_ms(&self) -> u64 {
        // A clock before 1970 is wrong by more than the difference.
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
    }

    /// Whether this instance leads and has applied all that was committed when it was asked, which a quorum confirms.
    ///
    /// # Errors
    /// [`WriteError::NotLeader`] on a follower, [`WriteError::Raft`] and [`WriteError::Late`] without a quorum.
    pub async fn leads(&self) -> Result<(), WriteError> {
        let Ok(leads) = timeout(WRITE_PATIENCE, self.raft.ensure_linearizable()).await else {
            return Err(WriteError::Late);
        };
        match leads {
            Ok(_) => Ok(()),
            Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(forward))) => {
                Err(self.not_leader(forward.leader_id))
            }
            Err(error) => Err(WriteError::Raft(error.to_string())),
        }
    }

    fn not_leader(&self, leader: Option<NodeId>) -> WriteError {
        WriteError::NotLeader(leader.and_then(|id| self.members.get(&id).copied()))
    }

    /// Writes through the leader: answers once a quorum holds the command and it is applied here.
    ///
    /// # Errors
    /// [`WriteError::Refused`] where the store refuses it, and nothing changed; [`WriteError::NotLeader`] on a
    /// follower; [`WriteError::Raft`] where raft could not commit it, and it may or may not be committed later.
    pub async fn write(&self, command: Command) -> Result<Outcome, WriteError> {
        let written = self.commit(command).await;
        self.metrics.count(match &written {
            Ok(_) => Ending::Committed,
            Err(WriteError::Refused(_)) => Ending::Refused,
            Err(WriteError::NotLeader(_)) => Ending::NotLeader,
            Err(WriteError::Raft(_) | WriteError::Late) => Ending::Open,
        });
        written
    }

    async fn commit(&self, command: Command) -> Result<Outcome, WriteError> {
        // What the store refuses never reaches the log.
        self.shared.store().check(&command)?;
        let Ok(written) = timeout(WRITE_PATIENCE, self.raft.client_write(command)).await else {
            return Err(WriteError::Late);
        };
        match written {
            Ok(response) => Ok(response.data?),
            Err(RaftError::APIError(ClientWriteError::ForwardToLeader(forward))) => {
                Err(self.not_leader(forward.leader_id))
            }
            Err(error) => Err(WriteError::Raft(error.to_string())),
        }
    }

    /// Follows what raft says of its quorum, for good: each report tells how long ago what a quorum has
    /// acknowledged was sent, while this instance leads.
    pub async fn keep_in_touch(&self) {
        let mut metrics = self.raft.metrics();
        while metrics.changed().await.is_ok() {
            let acknowledged = metrics.borrow_and_update().millis_since_quorum_ack;
            if let Some(at) =
                acknowledged.and_then(|ms| Instant::now().checked_sub(Duration::from_millis(ms)))
            {
                self.touched(at);
            }
        }
    }

    /// Notes a call of the leader that this instance took as a follower.
    pub fn heard_leader(&self) {
        self.touched(Instant::now());
    }

    fn touched(&self, at: Instant) {
        self.touch.send_if_modified(|last| {
            let newer = last.is_none_or(|last| at > last);
            if newer {
                *last = Some(at);
            }
            newer
        });
    }

    /// Until when this instance counts as in touch with a quorum; `None` where it already does not. The leader's
    /// own belief says nothing: one that is cut off goes on believing.
    pub(crate) fn in_touch_until(&self) -> Option<Instant> {
        let until = (*self.touch.borrow())? + IN_TOUCH;
        (until > Instant::now()).then_some(until)
    }

    /// Whether this instance is in touch with a quorum.
    pub fn is_in_touch(&self) -> bool {
        self.in_touch_until().is_some()
    }

    /// The list in discovery's form: whole, or what changed after `index`.
    ///
    /// # Errors
    /// [`ReadError::OutOfTouch`] where the list may be old; [`StoreError::Future`] for an index past the store's
    /// revision.
    pub fn read(&self, index: Option<u64>) -> Result<Vec<u8>, ReadError> {
        if self.in_touch_until().is_none() {
            return Err(ReadError::OutOfTouch);
        }
        let store = self.shared.store();
        let answer = match index {
            None => store.whole(),
            Some(index) => store.since(index)?,
        };
        Ok(serde_json::to_vec(&answer).unwrap_or_default())
    }

    /// A blocking query: answers once the store is past `index`, or when `wait` is over, or as soon as this
    /// instance is out of touch.
    ///
    /// # Errors
    /// As [`Node::read`].
    pub async fn watch(&self, index: u64, wait: Duration) -> Result<Vec<u8>, ReadError> {
        let _watching = self.metrics.watch();
        let revision = self.shared.revision();
        // Past the index there is news; before it the read says that the index is from the future.
        self.until(revision.clone(), wait, || *revision.borrow() != index).await;
        self.read(Some(index))
    }

    /// Waits until `there`, asked anew at each change of `news`; for `wait` at most, and only while this instance is
    /// in touch with a quorum.
    pub(crate) async fn until(
        &self, mut news: watch::Receiver<u64>, wait: Duration, mut there: impl FnMut() -> bool,
    ) {
        let deadline = Instant::now() + wait;
        loop {
            // Seen before it is asked, so that what changes meanwhile wakes.
            news.borrow_and_update();
            if there() || Instant::now() >= deadline {
                return;
            }
            let Some(in_touch) = self.in_touch_until() else { return };
            tokio::select! {
                changed = news.changed() => if changed.is_err() { return },
                () = sleep_until(deadline.min(in_touch)) => {}
            }
        }
    }

    /// The figures as text.
    pub fn figures(&self) -> String {
        let (term, leader) = {
            let raft = self.raft.metrics();
            let raft = raft.borrow();
            (raft.current_term, raft.current_leader)
        };
        let (revision, entries) = {
            let store = self.shared.store();
            (store.revision(), store.whole().members.len())
        };
        let in_touch = self.in_touch_until().is_some();
        self.metrics.text(&Now { revision, entries, term, leader, in_touch })
    }

    /// What the leader alone does, for good: at the start of each of its terms every lease begins anew on its
    /// clock, and each `tick` the entries whose lease lapsed past the grace are tombstoned and lapsed duties freed.
    pub async fn lead(&self, tick: Duration) {
        let mut led_term = None;
        let mut ticks = tokio::time::interval(tick);
        loop {
            ticks.tick().await;
            let (state, term) = {
                let metrics = self.raft.metrics();
                let metrics = metrics.borrow();
                (metrics.state, metrics.current_term)
            };
            if state != ServerState::Leader {
                led_term = None;
                continue;
            }
            let command = if led_term != Some(term) {
                Command::RenewAll { now_ms: self.now_ms() }
            } else if self.shared.store().due(self.now_ms()) {
                Command::Expire { now_ms: self.now_ms() }
            } else {
                continue;
            };
            match self.write(command).await {
                Ok(_) => led_term = Some(term),
                Err(error) => tracing::warn!(%error, "the leader's duty was not written"),
            }
        }
    }
}
