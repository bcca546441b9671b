//! One instance of the service: the store, its disk, the clock of its leases, and the watchers' signal.

use crate::durable::{Disk, DiskError};
use crate::store::{Command, Limits, Outcome, Store, StoreError};
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};

#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    #[error(transparent)]
    Refused(#[from] StoreError),
    #[error(transparent)]
    Disk(#[from] DiskError),
}

struct Inner {
    store: Store,
    disk: Disk,
}

pub struct Node {
    inner: Mutex<Inner>,
    /// The revision, for watchers to wait on.
    revision: watch::Sender<u64>,
    /// Where the clock of the leases begins.
    started: Instant,
    /// Told when a write could not be kept.
    failed: Notify,
}

impl Node {
    /// Opens the store at `path`.
    ///
    /// # Errors
    /// Where the disk can't be read.
    pub fn open(path: &Path, limits: Limits) -> Result<Node, DiskError> {
        let (disk, store) = Disk::open(path, limits, 0)?;
        let revision = watch::Sender::new(store.revision());
        Ok(Node {
            inner: Mutex::new(Inner { store, disk }),
            revision,
            started: Instant::now(),
            failed: Notify::new(),
        })
    }

    /// Milliseconds of the service's monotonic clock.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        // A panic while the lock was held left the store as a whole command had made it or before it.
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Applies a write and keeps it on disk before it is acknowledged; wakes the watchers where it changed
    /// the list.
    ///
    /// # Errors
    /// [`WriteError::Refused`] where the store refuses it, and nothing changed; [`WriteError::Disk`] where it
    /// could not be kept, after which the instance must stop, since memory is ahead of the disk.
    pub fn write(&self, command: &Command) -> Result<Outcome, WriteError> {
        let mut inner = self.lock();
        let applied = inner.store.apply(command)?;
        if let Err(error) = inner.disk.follow(&inner.store, &applied) {
            self.failed.notify_one();
            return Err(error.into());
        }
        if applied.outcome.changed {
            self.revision.send_replace(applied.outcome.revision);
        }
        Ok(applied.outcome)
    }

    /// The list in discovery's form: whole, or what changed after `index`.
    ///
    /// # Errors
    /// [`StoreError::Future`] for an index past the store's revision.
    pub fn read(&self, index: Option<u64>) -> Result<Vec<u8>, StoreError> {
        let inner = self.lock();
        let answer = match index {
            None => inner.store.whole(),
            Some(index) => inner.store.since(index)?,
        };
        Ok(serde_json::to_vec(&answer).unwrap_or_default())
    }

    /// A blocking query: answers once the store is past `index`, or when `wait` is over.
    ///
    /// # Errors
    /// As [`Node::read`].
    pub async fn watch(&self, index: u64, wait: Duration) -> Result<Vec<u8>, StoreError> {
        let deadline = Instant::now() + wait;
        let mut revision = self.revision.subscribe();
        loop {
            let now = *revision.borrow_and_update();
            // Past it there is news; before it the read says that the index is from the future.
            if now != index {
                break;
            }
            tokio::select! {
                changed = revision.changed() => if changed.is_err() { break },
                () = sleep_until(deadline) => break,
            }
        }
        self.read(Some(index))
    }

    /// Ends once a write could not be kept.
    pub async fn failed(&self) {
        self.failed.notified().await;
    }

    /// Whether a lease has lapsed past its grace.
    pub fn due(&self) -> bool {
        self.lock().store.due(self.now_ms())
    }
}
