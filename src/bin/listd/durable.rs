//! The instance's disk, in `redb`: the raft log, the raft vote and marks, and the store that the log was applied
//! to, one row an entry. Each write is one transaction, committed before what it holds is acknowledged.

use crate::store::{Applied, Held, Limits, Store};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Entries of the store by id, each the JSON of its held form.
const ENTRIES: TableDefinition<&str, &[u8]> = TableDefinition::new("entries");
/// The raft log by index, each entry in JSON.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Single values in JSON: the store's revision, horizon and control plane's state, and raft's vote, applied and purged log ids,
/// membership and last snapshot.
const MARKS: TableDefinition<&str, &[u8]> = TableDefinition::new("marks");

/// The names of the marks.
pub const REVISION: &str = "revision";
pub const HORIZON: &str = "horizon";
pub const VOTE: &str = "vote";
pub const COMMITTED: &str = "committed";
pub const APPLIED: &str = "applied";
pub const MEMBERSHIP: &str = "membership";
pub const PURGED: &str = "purged";
pub const SNAPSHOT: &str = "snapshot";
pub const FLEET: &str = "fleet";

#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    #[error("the disk: {0}")]
    Redb(#[from] redb::Error),
    #[error("a row on disk can't be read: {0}")]
    Row(#[from] serde_json::Error),
}

macro_rules! from_redb {
    ($($kind:ty),*) => {$(
        impl From<$kind> for DiskError {
            fn from(error: $kind) -> DiskError {
                DiskError::Redb(error.into())
            }
        }
    )*};
}
from_redb!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError
);

/// Marks to write beside a change of the store, in the same transaction.
pub type Marks<'a> = &'a [(&'static str, Vec<u8>)];

pub struct Disk {
    db: Database,
}

impl Disk {
    /// Opens the file, or makes it with empty tables.
    ///
    /// # Errors
    /// Where the file can't be opened or made.
    pub fn open(path: &Path) -> Result<Disk, DiskError> {
        let db = Database::create(path)?;
        let write = db.begin_write()?;
        write.open_table(ENTRIES)?;
        write.open_table(LOG)?;
        write.open_table(MARKS)?;
        write.commit()?;
        Ok(Disk { db })
    }

    /// A mark, or `None` where it was never written.
    ///
    /// # Errors
    /// Where it can't be read.
    pub fn mark<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, DiskError> {
        let read = self.db.begin_read()?;
        let marks = read.open_table(MARKS)?;
        let value = marks.get(name)?;
        Ok(value.map(|value| serde_json::from_slice(value.value())).transpose()?)
    }

    /// Writes marks alone.
    ///
    /// # Errors
    /// Where the transaction can't be committed.
    pub fn set_marks(&self, marks: Marks<'_>) -> Result<(), DiskError> {
        let write = self.db.begin_write()?;
        {
            let mut table = write.open_table(MARKS)?;
            for (name, value) in marks {
                table.insert(*name, value.as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }

    /// The store as the disk has it. Leases begin anew at `now_ms`.
    ///
    /// # Errors
    /// Where a row can't be read.
    pub fn store(&self, limits: Limits, now_ms: u64) -> Result<Store, DiskError> {
        let marks = (self.mark(REVISION)?.unwrap_or(0), self.mark(HORIZON)?.unwrap_or(0));
        let read = self.db.begin_read()?;
        let mut entries = Vec::new();
        for row in read.open_table(ENTRIES)?.iter()? {
            let (_, value) = row?;
            entries.push(serde_json::from_slice::<Held>(value.value())?);
        }
        // A disk of before the control plane has none.
        let fleet = self.mark(FLEET)?.unwrap_or_default();
        Ok(Store::restore(limits, marks, entries, fleet, now_ms))
    }

    /// Follows a write to the store: the rows it wrote and dropped, the store's marks and `marks` besides.
    ///
    /// # Errors
    /// Where the transaction can't be committed; what it holds must not be acknowledged.
    pub fn follow(&self, store: &Store, applied: &Applied, marks: Marks<'_>) -> Result<(), DiskError> {
        let write = self.db.begin_write()?;
        {
            let mut entries = write.open_table(ENTRIES)?;
            for id in &applied.written {
                if let Some(held) = store.held(id) {
                    entries.insert(id.as_str(), serde_json::to_vec(held)?.as_slice())?;
                }
            }
            for id in &applied.dropped {
                entries.remove(id.as_str())?;
            }
            write_marks(&mut write.open_table(MARKS)?, store, applied.fleet, marks)?;
        }
        write.commit()?;
        Ok(())
    }

    /// Puts a whole store in place of the one on disk, as a snapshot brings it.
    ///
    /// # Errors
    /// Where the transaction can't be committed.
    pub fn replace(&self, store: &Store, marks: Marks<'_>) -> Result<(), DiskError> {
        let write = self.db.begin_write()?;
        {
            let mut entries = write.open_table(ENTRIES)?;
            entries.retain(|_, _| false)?;
            for (id, held) in store.all() {
                entries.insert(id, serde_json::to_vec(held)?.as_slice())?;
            }
            write_marks(&mut write.open_table(MARKS)?, store, true, marks)?;
        }
        write.commit()?;
        Ok(())
    }

    /// Appends raft log entries, each at its index.
    ///
    /// # Errors
    /// Where the transaction can't be committed.
    pub fn append<T: Serialize>(&self, entries: impl IntoIterator<Item = (u64, T)>) -> Result<(), DiskError> {
        let write = self.db.begin_write()?;
        {
            let mut log = write.open_table(LOG)?;
            for (index, entry) in entries {
                log.insert(index, serde_json::to_vec(&entry)?.as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }

    /// The raft log entries with indexes in `from..until`.
    ///
    /// # Errors
    /// Where a row can't be read.
    pub fn entries<T: DeserializeOwned>(&self, from: u64, until: u64) -> Result<Vec<T>, DiskError> {
        let read = self.db.begin_read()?;
        let log = read.open_table(LOG)?;
        let mut entries = Vec::new();
        for row in log.range(from..until)? {
            entries.push(serde_json::from_slice(row?.1.value())?);
        }
        Ok(entries)
    }

    /// The last raft log entry, if any is left.
    ///
    /// # Errors
    /// Where the row can't be read.
    pub fn last_entry<T: DeserializeOwned>(&self) -> Result<Option<T>, DiskError> {
        let read = self.db.begin_read()?;
        let log = read.open_table(LOG)?;
        let last = log.last()?;
        Ok(last.map(|(_, value)| serde_json::from_slice(value.value())).transpose()?)
    }

    /// Removes the raft log entries in `from..until`, with `marks` in the same transaction.
    ///
    /// # Errors
    /// Where the transaction can't be committed.
    pub fn remove_entries(&self, from: u64, until: u64, marks: Marks<'_>) -> Result<(), DiskError> {
        let write = self.db.begin_write()?;
        {
            write.open_table(LOG)?.retain_in(from..until, |_, _| false)?;
            let mut table = write.open_table(MARKS)?;
            for (name, value) in marks {
                table.insert(*name, value.as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

fn write_marks(
    table: &mut redb::Table<'_, &str, &[u8]>, store: &Store, fleet: bool, marks: Marks<'_>,
) -> Result<(), DiskError> {
    let (revision, horizon) = store.marks();
    table.insert(REVISION, serde_json::to_vec(&revision)?.as_slice())?;
    table.insert(HORIZON, serde_json::to_vec(&horizon)?.as_slice())?;
    if fleet {
        table.insert(FLEET, serde_json::to_vec(store.fleet())?.as_slice())?;
    }
    for (name, value) in marks {
        table.insert(*name, value.as_slice())?;
    }
    Ok(())
}
