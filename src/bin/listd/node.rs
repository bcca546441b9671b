//! One instance of the service: raft over the store, the clock of the leases, and what the leader alone does.

use crate::durable::DiskError;
use crate::peers::Peers;
use crate::replica::{NodeId, Replica, Shared, Types};
use crate::store::{Command, Limits, Outcome, StoreError};
use openraft::error::{ClientWriteError, RaftError};
use openraft::storage::Adaptor;
use openraft::{BasicNode, Raft, ServerState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Raft's times, in ms. A heartbeat every 150 ms and an election after 500 to 650 ms without one: a new leader
/// serves within two election time-outs and a heartbeat, 1.5 s, while a loaded loopback's pauses of some tens of
/// ms call no election.
const HEARTBEAT_MS: u64 = 150;
const ELECTION_MS: (u64, u64) = (500, 650);
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
    shared: Arc<Shared>,
    /// Every instance's address by id, this one's too.
    members: BTreeMap<NodeId, SocketAddr>,
    /// Where the clock of the leases begins.
    started: Instant,
}

impl Node {
    /// Opens the disk at `path` and starts raft among `members`. Each instance asks for the same first
    /// membership; where the log already has one, the ask is refused and changes nothing.
    ///
    /// # Errors
    /// Where the disk can't be read or raft can't start.
    pub async fn start(
        id: NodeId, members: BTreeMap<NodeId, SocketAddr>, path: &Path, limits: Limits,
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
        Ok(Node { raft, shared, members, started: Instant::now() })
    }

    /// Milliseconds of this instance's monotonic clock.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes through the leader: answers once a quorum holds the command and it is applied here.
    ///
    /// # Errors
    /// [`WriteError::Refused`] where the store refuses it, and nothing changed; [`WriteError::NotLeader`] on a
    /// follower; [`WriteError::Raft`] where raft could not commit it, and it may or may not be committed later.
    pub async fn write(&self, command: Command) -> Result<Outcome, WriteError> {
        // What the store refuses never reaches the log.
        self.shared.store().check(&command)?;
        match self.raft.client_write(command).await {
            Ok(response) => Ok(response.data?),
            Err(RaftError::APIError(ClientWriteError::ForwardToLeader(forward))) => {
                Err(WriteError::NotLeader(forward.leader_id.and_then(|id| self.members.get(&id).copied())))
            }
            Err(error) => Err(WriteError::Raft(error.to_string())),
        }
    }

    /// Whether this instance knows a leader: one that has lost it is in a minority or between terms, and what it
    /// has may be old.
    pub fn has_leader(&self) -> bool {
        self.raft.metrics().borrow().current_leader.is_some()
    }

    /// The list in discovery's form: whole, or what changed after `index`.
    ///
    /// # Errors
    /// [`StoreError::Future`] for an index past the store's revision.
    pub fn read(&self, index: Option<u64>) -> Result<Vec<u8>, StoreError> {
        let store = self.shared.store();
        let answer = match index {
            None => store.whole(),
            Some(index) => store.since(index)?,
        };
        Ok(serde_json::to_vec(&answer).unwrap_or_default())
    }

    /// A blocking query: answers once the store is past `index`, or when `wait` is over.
    ///
    /// # Errors
    /// As [`Node::read`].
    pub async fn watch(&self, index: u64, wait: Duration) -> Result<Vec<u8>, StoreError> {
        let deadline = Instant::now() + wait;
        let mut revision = self.shared.revision();
        loop {
            // Past it there is news; before it the read says that the index is from the future.
            if *revision.borrow_and_update() != index {
                break;
            }
            tokio::select! {
                changed = revision.changed() => if changed.is_err() { break },
                () = sleep_until(deadline) => break,
            }
        }
        self.read(Some(index))
    }

    /// What the leader alone does, for good: at the start of each of its terms every lease begins anew on its
    /// clock, and each `tick` the entries whose lease lapsed past the grace are tombstoned.
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
