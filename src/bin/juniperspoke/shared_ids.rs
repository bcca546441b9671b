//! The ids of requests that the processes of one sidecar share over an upgrade: a file in `$TMPDIR` that each of them
//! appends to.
//!
//! An append is atomic, so there is one order for all: whoever finds a record of its id by another process before its own
//! has a copy. Nobody waits for anybody.

use crate::recent_ids::Generations;
use crate::system::retry_interrupted;
use nix::fcntl::{FallocateFlags, fallocate};
use siphasher::sip::SipHasher13;
use std::fs::{File, OpenOptions};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, Seek, Write};
use std::os::unix::fs::FileExt;
use std::path::Path;

/// A record is the hash of an id and its process. It divides a page, so that a full disk takes a whole one or none.
const RECORD: usize = 16;
/// The file begins with the key of the hashes, in the place of a record.
const KEY: u64 = RECORD as u64;
/// So many bytes of records are kept at least. What is older is given back to the system once it is twice as much.
const KEPT: u64 = 1 << 20;
/// What stays where older records are given back: the page with the key.
const FIRST_PAGE: u64 = 4_096;
/// Bytes that are read at once.
const READ: usize = 1 << 12;
/// So many ids of other processes are remembered at least.
const REMEMBERED: usize = KEPT as usize / RECORD;

/// What this process knows of the file.
pub struct SharedIds {
    file: File,
    hasher: SipHasher13,
    process: u64,
    /// All records before have been read.
    read_to: u64,
    /// All records before have been given back, but for the first page.
    freed_to: u64,
    others: Generations,
}

impl SharedIds {
    /// Reads what other processes have left.
    pub fn open(dir: &Path, sidecar: &str) -> io::Result<SharedIds> {
        let path = dir.join(format!("ids-{sidecar}"));
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(path)?;
        if file.metadata()?.len() < KEY {
            append(&mut file, [random(), random()])?;
        }
        let mut key = [0; RECORD];
        file.read_exact_at(&mut key, 0)?;
        let end = file.metadata()?.len() / KEY * KEY;
        let read_to = end.saturating_sub(2 * KEPT).max(KEY);
        let mut ids = SharedIds {
            file,
            hasher: SipHasher13::new_with_key(&key),
            // Zeros are what has been given back.
            process: random().max(1),
            read_to,
            freed_to: FIRST_PAGE,
            others: Generations::new(REMEMBERED),
        };
        ids.read_up_to(end)?;
        Ok(ids)
    }

    /// Takes an id for this process; `false` if it is another's.
    pub fn claim(&mut self, id: &[u8]) -> io::Result<bool> {
        let hash = self.hasher.hash(id);
        append(&mut self.file, [hash, self.process])?;
        let end = self.file.stream_position()?;
        self.read_up_to(end)?;
        self.free_up_to(end.saturating_sub(KEPT))?;
        Ok(!self.others.contains(hash))
    }

    fn read_up_to(&mut self, end: u64) -> io::Result<()> {
        let mut bytes = [0; READ];
        while self.read_to < end {
            let size = READ.min((end - self.read_to) as usize);
            self.file.read_exact_at(&mut bytes[..size], self.read_to)?;
            for record in bytes[..size].chunks_exact(RECORD) {
                let [hash, process] = [&record[..8], &record[8..]].map(number);
                if process != 0 && process != self.process {
                    self.others.insert(hash);
                }
            }
            self.read_to += size as u64;
        }
        Ok(())
    }

    /// Gives the memory of older records back to the system. Whoever has not read them finds zeros there.
    fn free_up_to(&mut self, end: u64) -> io::Result<()> {
        if end < self.freed_to + KEPT {
            return Ok(());
        }
        let flags = FallocateFlags::FALLOC_FL_PUNCH_HOLE | FallocateFlags::FALLOC_FL_KEEP_SIZE;
        let offset = |at: u64| i64::try_from(at).map_err(io::Error::other);
        fallocate(&self.file, flags, offset(self.freed_to)?, offset(end - self.freed_to)?)?;
        self.freed_to = end;
        Ok(())
    }
}

/// The standard library takes its hashes' keys from the system.
fn random() -> u64 {
    RandomState::new().hash_one(())
}

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().rev().fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Appends a record in one call.
fn append(file: &mut File, record: [u64; 2]) -> io::Result<()> {
    let mut bytes = [0; RECORD];
    bytes[..8].copy_from_slice(&record[0].to_le_bytes());
    bytes[8..].copy_from_slice(&record[1].to_le_bytes());
    match retry_interrupted(|| file.write(&bytes))? {
        RECORD => Ok(()),
        _ => Err(io::ErrorKind::WriteZero.into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::unix::fs::MetadataExt;

    /// Two processes that share a new folder, which goes with them.
    fn two(name: &str, play: impl FnOnce(&mut SharedIds, &mut SharedIds)) {
        let dir = std::env::temp_dir().join(format!("shared-ids-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("made");
        let open = || SharedIds::open(&dir, "n0").expect("a file");
        play(&mut open(), &mut open());
        std::fs::remove_dir_all(&dir).expect("removed");
    }

    /// Guards against a request that runs at both processes of an upgrade.
    #[test]
    fn an_id_is_the_first_processes_that_takes_it() {
        two("first", |first, second| {
            assert!(first.claim(b"a").expect("written"));
            assert!(!second.claim(b"a").expect("written"));
            assert!(second.claim(b"b").expect("written"));
            assert!(!first.claim(b"b").expect("written"));
            assert!(first.claim(b"c").expect("written"));
        });
    }

    #[test]
    fn many_ids_take_bounded_memory_and_the_latest_are_known() {
        two("many", |first, second| {
            let ids = 3 * REMEMBERED as u64;
            for id in 0..ids {
                assert!(first.claim(&id.to_le_bytes()).expect("written"), "{id}");
            }
            let bytes = first.file.metadata().expect("its figures").blocks() * 512;
            assert!(bytes <= 2 * KEPT + 2 * FIRST_PAGE, "{bytes}");
            for id in [ids - 1, ids - REMEMBERED as u64 / 2] {
                assert!(!second.claim(&id.to_le_bytes()).expect("written"), "{id}");
            }
        });
    }
}
