//! The store on disk, in `redb`: one row an entry, and the revision and horizon. Each write is one transaction,
//! committed before the write is acknowledged.

use crate::store::{Applied, Held, Limits, Store};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;

/// Entries by id, each the JSON of its held form.
const ENTRIES: TableDefinition<&str, &[u8]> = TableDefinition::new("entries");
/// The revision and the horizon.
const MARKS: TableDefinition<&str, u64> = TableDefinition::new("marks");

#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    #[error("the store on disk: {0}")]
    Redb(#[from] redb::Error),
    #[error("an entry on disk can't be read: {0}")]
    Entry(#[from] serde_json::Error),
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

pub struct Disk {
    db: Database,
}

impl Disk {
    /// Opens the file, or makes it, and reads the store back. Leases begin anew at `now_ms`.
    ///
    /// # Errors
    /// Where the file can't be opened or holds what can't be read.
    pub fn open(path: &Path, limits: Limits, now_ms: u64) -> Result<(Disk, Store), DiskError> {
        let db = Database::create(path)?;
        let write = db.begin_write()?;
        write.open_table(ENTRIES)?;
        write.open_table(MARKS)?;
        write.commit()?;
        let read = db.begin_read()?;
        let marks = read.open_table(MARKS)?;
        let mark = |name| marks.get(name).map(|value| value.map_or(0, |value| value.value()));
        let marks = (mark("revision")?, mark("horizon")?);
        let mut entries = Vec::new();
        for row in read.open_table(ENTRIES)?.iter()? {
            let (_, value) = row?;
            entries.push(serde_json::from_slice::<Held>(value.value())?);
        }
        drop(read);
        Ok((Disk { db }, Store::restore(limits, marks, entries, now_ms)))
    }

    /// Follows a write that changed the list: the rows it wrote and dropped, and the marks.
    ///
    /// # Errors
    /// Where the transaction can't be committed; the caller must not acknowledge the write.
    pub fn follow(&self, store: &Store, applied: &Applied) -> Result<(), DiskError> {
        if !applied.outcome.changed && applied.written.is_empty() {
            return Ok(());
        }
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
            let mut marks = write.open_table(MARKS)?;
            let (revision, horizon) = store.marks();
            marks.insert("revision", revision)?;
            marks.insert("horizon", horizon)?;
        }
        write.commit()?;
        Ok(())
    }
}
