//! The upstreams that operators have taken out of use: a file in `$TMPDIR` that all processes of a sidecar share
//! and that outlives each of them.

use crate::handle::Handle;
use crate::list::Names;
use serde_json::{Value, json};
use std::fs::{self, File, Metadata, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::{Instant, sleep};

/// How often a process beside which another may run looks for changes: a ban binds 1 s after its call.
const LOOK: Duration = Duration::from_millis(100);
/// Another process holds the lock for as long as it takes to write a small file. An answer is owed in 1 s.
const LOCK_PATIENCE: Duration = Duration::from_millis(400);
const LOCK_AGAIN: Duration = Duration::from_millis(5);

#[derive(Debug, thiserror::Error)]
pub enum BansError {
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    #[error("{0} is damaged: {1}")]
    Damaged(PathBuf, String),
    #[error("{0} is locked by another process")]
    Locked(PathBuf),
}

/// What this process knows of the file.
struct Known {
    names: Names,
    version: Option<Version>,
}

/// A file that is replaced whole is another one, or has been written at another time.
type Version = (u64, i64, i64, u64);

fn version(of: &Metadata) -> Version {
    (of.ino(), of.mtime(), of.mtime_nsec(), of.len())
}

pub struct Bans {
    file: PathBuf,
    lock: PathBuf,
    known: Mutex<Known>,
}

impl Bans {
    /// Reads what an earlier process has left.
    pub fn open(dir: &Path, sidecar: &str) -> Arc<Bans> {
        let file = dir.join(format!("bans-{sidecar}.json"));
        let lock = file.with_extension("lock");
        let mut known = Known { names: Names::new(), version: None };
        refresh(&file, &mut known);
        Arc::new(Bans { file, lock, known: Mutex::new(known) })
    }

    /// Takes an upstream out of use, or back into it, and tells the driver. An error has changed nothing.
    pub async fn change(&self, name: &str, out: bool, driver: &Handle) -> Result<(), BansError> {
        let mut known = self.known.lock().await;
        let lock = self.lock().await?;
        refresh(&self.file, &mut known);
        let mut names = known.names.clone();
        let changes = if out { names.insert(name.to_owned()) } else { names.remove(name) };
        if changes {
            self.write(&names)?;
            known.names = names;
        }
        drop(lock);
        driver.ban(known.names.clone()).await;
        Ok(())
    }

    /// Is this upstream out of use?
    pub async fn holds(&self, name: &str) -> bool {
        self.known.lock().await.names.contains(name)
    }

    /// Tells the driver what is known, and goes on to, where another process may write the file.
    pub async fn follow(self: Arc<Self>, shared: bool, driver: Handle) {
        let known: MutexGuard<Known> = self.known.lock().await;
        driver.ban(known.names.clone()).await;
        drop(known);
        if !shared {
            return;
        }
        loop {
            sleep(LOOK).await;
            let mut known = self.known.lock().await;
            if refresh(&self.file, &mut known) {
                driver.ban(known.names.clone()).await;
            }
        }
    }

    async fn lock(&self) -> Result<File, BansError> {
        let lock = File::create(&self.lock).map_err(|error| BansError::File(self.lock.clone(), error))?;
        let since = Instant::now();
        loop {
            match lock.try_lock() {
                Ok(()) => return Ok(lock),
                Err(TryLockError::Error(error)) => return Err(BansError::File(self.lock.clone(), error)),
                Err(TryLockError::WouldBlock) if since.elapsed() > LOCK_PATIENCE => {
                    return Err(BansError::Locked(self.lock.clone()));
                }
                Err(TryLockError::WouldBlock) => sleep(LOCK_AGAIN).await,
            }
        }
    }

    /// Nobody ever sees half of it. It need not outlive the machine, so it is not forced to a disk.
    fn write(&self, names: &Names) -> Result<(), BansError> {
        let next = self.file.with_extension("next");
        fs::write(&next, json!({"disabled": names}).to_string())
            .and_then(|()| fs::rename(&next, &self.file))
            .map_err(|error| BansError::File(self.file.clone(), error))
    }
}

/// Reads the file if it has changed; `true` if what it says has. Guards against one that is damaged: it is left
/// aside until it is replaced, and what is known stays.
fn refresh(file: &Path, known: &mut Known) -> bool {
    let found = fs::metadata(file).ok().map(|found| version(&found));
    if found == known.version {
        return false;
    }
    known.version = found;
    match read(file) {
        Ok(names) => std::mem::replace(&mut known.names, names.clone()) != names,
        Err(error) => {
            tracing::warn!("bans: {error}");
            false
        }
    }
}

fn read(file: &Path) -> Result<Names, BansError> {
    let text = match fs::read_to_string(file) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Names::new()),
        text => text.map_err(|error| BansError::File(file.to_owned(), error))?,
    };
    let damaged = |why: String| BansError::Damaged(file.to_owned(), why);
    let value: Value = serde_json::from_str(&text).map_err(|error| damaged(error.to_string()))?;
    let names = value["disabled"].as_array().ok_or_else(|| damaged("it has no list".into()))?;
    let names = names.iter().map(|name| name.as_str().map(String::from)).collect::<Option<Names>>();
    names.ok_or_else(|| damaged("an id that is no text".into()))
}
