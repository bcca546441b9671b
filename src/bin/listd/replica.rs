//! The store as a raft state machine, and the raft log, both on the instance's disk.

use crate::durable::{self, Disk, DiskError};
use crate::fleet::Place;
use crate::store::{Applied, Command, Limits, Outcome, Store, StoreError};
use openraft::storage::{LogState, RaftLogReader, RaftSnapshotBuilder, RaftStorage, Snapshot, SnapshotMeta};
use openraft::{
    BasicNode, Entry, EntryPayload, LogId, OptionalSend, StorageError, StorageIOError, StoredMembership, Vote,
};
use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::io::Cursor;
use std::ops::{Bound, RangeBounds};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

openraft::declare_raft_types!(
    /// The types of the list service's raft: commands of the store in, their answers out.
    pub Types: D = Command, R = Result<Outcome, StoreError>, NodeId = u64, Node = BasicNode,
);

pub type NodeId = u64;
type Failure = StorageError<NodeId>;

/// What every part of an instance reads: the store as applied, and for watchers its revision and the count of the
/// changes of the control plane's state.
pub struct Shared {
    store: Mutex<Store>,
    revision: watch::Sender<u64>,
    fleet: watch::Sender<u64>,
}

impl Shared {
    pub fn store(&self) -> MutexGuard<'_, Store> {
        // A panic while the lock was held left the store as a whole command had made it or before it.
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The revision, for watchers to wait on.
    pub fn revision(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// The count of changes of the control plane's state, for watchers to wait on.
    pub fn fleet(&self) -> watch::Receiver<u64> {
        self.fleet.subscribe()
    }

    fn fleet_is_at(&self, changes: u64) {
        self.fleet.send_if_modified(|last| std::mem::replace(last, changes) != changes);
    }
}

/// A snapshot: the store and where in the log it stands.
#[derive(Serialize, Deserialize)]
struct Image {
    meta: SnapshotMeta<NodeId, BasicNode>,
    store: Store,
}

/// The log and the state machine of one instance.
#[derive(Clone)]
pub struct Replica {
    disk: Arc<Disk>,
    shared: Arc<Shared>,
}

fn io(error: &DiskError) -> Failure {
    StorageIOError::write(error).into()
}

fn read_io(error: &DiskError) -> Failure {
    StorageIOError::read(error).into()
}

// The storage traits answer raft's own error; the helpers answer it too.
#[allow(clippy::result_large_err)]
fn json<T: Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    serde_json::to_vec(value).map_err(|error| StorageIOError::write(&error).into())
}

impl Replica {
    /// Opens the disk at `path` and reads the store back; leases begin anew at `now_ms`.
    ///
    /// # Errors
    /// Where the disk can't be opened or read.
    pub fn open(path: &std::path::Path, limits: Limits, now_ms: u64) -> Result<Replica, DiskError> {
        let disk = Disk::open(path)?;
        let store = disk.store(limits, now_ms)?;
        let revision = watch::Sender::new(store.revision());
        let fleet = watch::Sender::new(store.fleet().changes());
        let shared = Shared { store: Mutex::new(store), revision, fleet };
        Ok(Replica { disk: Arc::new(disk), shared: Arc::new(shared) })
    }

    pub fn shared(&self) -> Arc<Shared> {
        self.shared.clone()
    }

    #[allow(clippy::result_large_err)]
    fn image(&self) -> Result<Option<Image>, Failure> {
        self.disk.mark::<Image>(durable::SNAPSHOT).map_err(|error| read_io(&error))
    }
}

impl RaftLogReader<Types> for Replica {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self, range: RB,
    ) -> Result<Vec<Entry<Types>>, Failure> {
        let from = match range.start_bound() {
            Bound::Included(&index) => index,
            Bound::Excluded(&index) => index + 1,
            Bound::Unbounded => 0,
        };
        let until = match range.end_bound() {
            Bound::Included(&index) => index + 1,
            Bound::Excluded(&index) => index,
            Bound::Unbounded => u64::MAX,
        };
        self.disk.entries(from, until).map_err(|error| read_io(&error))
    }
}

impl RaftSnapshotBuilder<Types> for Replica {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, Failure> {
        let applied: Option<LogId<NodeId>> = self.disk.mark(durable::APPLIED).map_err(|e| read_io(&e))?;
        let membership: StoredMembership<NodeId, BasicNode> =
            self.disk.mark(durable::MEMBERSHIP).map_err(|e| read_io(&e))?.unwrap_or_default();
        let store = self.shared.store().clone();
        let snapshot_id = format!("{}-{}", applied.map_or(0, |id| id.index), store.revision());
        let meta = SnapshotMeta { last_log_id: applied, last_membership: membership, snapshot_id };
        let image = Image { meta: meta.clone(), store };
        let bytes = json(&image)?;
        self.disk.set_marks(&[(durable::SNAPSHOT, bytes.clone())]).map_err(|error| io(&error))?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(json(&image.store)?)) })
    }
}

impl RaftStorage<Types> for Replica {
    type LogReader = Replica;
    type SnapshotBuilder = Replica;

    async fn save_vote(&mut self, vote: &Vote<NodeId>) -> Result<(), Failure> {
        self.disk.set_marks(&[(durable::VOTE, json(vote)?)]).map_err(|error| io(&error))
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<NodeId>>, Failure> {
        self.disk.mark(durable::VOTE).map_err(|error| read_io(&error))
    }

    async fn save_committed(&mut self, committed: Option<LogId<NodeId>>) -> Result<(), Failure> {
        self.disk.set_marks(&[(durable::COMMITTED, json(&committed)?)]).map_err(|error| io(&error))
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<NodeId>>, Failure> {
        Ok(self.disk.mark::<Option<LogId<NodeId>>>(durable::COMMITTED).map_err(|e| read_io(&e))?.flatten())
    }

    async fn get_log_state(&mut self) -> Result<LogState<Types>, Failure> {
        let purged: Option<LogId<NodeId>> =
            self.disk.mark::<Option<LogId<NodeId>>>(durable::PURGED).map_err(|e| read_io(&e))?.flatten();
        let last = self.disk.last_entry::<Entry<Types>>().map_err(|error| read_io(&error))?;
        let last_log_id = last.map(|entry| entry.log_id).or(purged);
        Ok(LogState { last_purged_log_id: purged, last_log_id })
    }

    async fn get_log_reader(&mut self) -> Replica {
        self.clone()
    }

    async fn append_to_log<I>(&mut self, entries: I) -> Result<(), Failure>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
    {
        let entries = entries.into_iter().map(|entry| (entry.log_id.index, entry));
        self.disk.append(entries).map_err(|error| io(&error))
    }

    async fn delete_conflict_logs_since(&mut self, log_id: LogId<NodeId>) -> Result<(), Failure> {
        self.disk.remove_entries(log_id.index, u64::MAX, &[]).map_err(|error| io(&error))
    }

    async fn purge_logs_upto(&mut self, log_id: LogId<NodeId>) -> Result<(), Failure> {
        let marks = [(durable::PURGED, json(&Some(log_id))?)];
        self.disk.remove_entries(0, log_id.index + 1, &marks).map_err(|error| io(&error))
    }

    async fn last_applied_state(
        &mut self,
    ) -> Result<(Option<LogId<NodeId>>, StoredMembership<NodeId, BasicNode>), Failure> {
        let applied = self.disk.mark::<Option<LogId<NodeId>>>(durable::APPLIED).map_err(|e| read_io(&e))?;
        let membership = self.disk.mark(durable::MEMBERSHIP).map_err(|e| read_io(&e))?.unwrap_or_default();
        Ok((applied.flatten(), membership))
    }

    async fn apply_to_state_machine(
        &mut self, entries: &[Entry<Types>],
    ) -> Result<Vec<Result<Outcome, StoreError>>, Failure> {
        let mut answers = Vec::with_capacity(entries.len());
        for entry in entries {
            let mut marks = vec![(durable::APPLIED, json(&Some(entry.log_id))?)];
            let mut store = self.shared.store();
            let at = Place { term: entry.log_id.leader_id.term, index: entry.log_id.index };
            let applied = match &entry.payload {
                EntryPayload::Normal(command) => store.apply(command, at),
                EntryPayload::Membership(membership) => {
                    let stored = StoredMembership::new(Some(entry.log_id), membership.clone());
                    marks.push((durable::MEMBERSHIP, json(&stored)?));
                    Ok(Applied::nothing(store.revision()))
                }
                EntryPayload::Blank => Ok(Applied::nothing(store.revision())),
            };
            match applied {
                Ok(applied) => {
                    self.disk.follow(&store, &applied, &marks).map_err(|error| io(&error))?;
                    if applied.outcome.changed {
                        self.shared.revision.send_replace(applied.outcome.revision);
                    }
                    self.shared.fleet_is_at(store.fleet().changes());
                    answers.push(Ok(applied.outcome));
                }
                // A refusal changes nothing in the store but the place in the log.
                Err(refusal) => {
                    self.disk.set_marks(&marks).map_err(|error| io(&error))?;
                    answers.push(Err(refusal));
                }
            }
        }
        Ok(answers)
    }

    async fn get_snapshot_builder(&mut self) -> Replica {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, Failure> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self, meta: &SnapshotMeta<NodeId, BasicNode>, snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), Failure> {
        let store: Store = serde_json::from_slice(snapshot.get_ref()).map_err(|error| {
            StorageError::from(StorageIOError::read_snapshot(Some(meta.signature()), &error))
        })?;
        let image = Image { meta: meta.clone(), store };
        let marks = [
            (durable::APPLIED, json(&meta.last_log_id)?),
            (durable::MEMBERSHIP, json(&meta.last_membership)?),
            (durable::SNAPSHOT, json(&image)?),
        ];
        self.disk.replace(&image.store, &marks).map_err(|error| io(&error))?;
        let (revision, changes) = (image.store.revision(), image.store.fleet().changes());
        *self.shared.store() = image.store;
        self.shared.revision.send_replace(revision);
        self.shared.fleet_is_at(changes);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, Failure> {
        let Some(image) = self.image()? else { return Ok(None) };
        Ok(Some(Snapshot { meta: image.meta, snapshot: Box::new(Cursor::new(json(&image.store)?)) }))
    }
}
