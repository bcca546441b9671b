//! The life of the process: it serves clients, drains, or ends.

use std::fs::{File, TryLockError};
use std::path::Path;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Connections of clients that have stood idle since a drain began are closed after this time. By then whoever
/// sends often has had an answer that closes its connection; the front sends newcomers for 0.3 s more.
const LINGER: Duration = Duration::from_millis(500);

/// Kept back of the time until SIGKILL: the process may be held up for 0.15 s before it hears of SIGTERM, and again
/// before it writes.
const KILL_MARGIN: Duration = Duration::from_millis(350);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Serving,
    Draining,
    Ending,
}

/// The stage, and what it asks of the connections of clients.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    pub stage: Stage,
    /// When those that stand idle are to be closed.
    pub close_idle: Option<Instant>,
    /// New clients are waited for no more: connections that have carried nothing are closed as well.
    pub close_all: bool,
    /// In a process that ends: until when a request that is taken now has to be answered, whatever time its client
    /// has, since the process may be killed then.
    pub answer_by: Option<Instant>,
}

impl Now {
    const SERVING: Now = Now { stage: Stage::Serving, close_idle: None, close_all: false, answer_by: None };
}

/// The one place that knows the stage of the process.
pub struct Life(watch::Sender<Now>);

impl Life {
    pub fn new() -> Life {
        Life(watch::Sender::new(Now::SERVING))
    }

    pub fn stage(&self) -> Stage {
        self.now().stage
    }

    pub fn now(&self) -> Now {
        *self.0.borrow()
    }

    pub fn watch(&self) -> watch::Receiver<Now> {
        self.0.subscribe()
    }

    /// Sends clients away until [`Life::undrain`]. A process that ends goes on to.
    pub fn drain(&self) {
        self.leave(Stage::Draining, |stage| stage == Stage::Serving);
    }

    /// Takes clients again. A process that ends takes none.
    pub fn undrain(&self) {
        self.0.send_if_modified(|now| {
            let draining = now.stage == Stage::Draining;
            if draining {
                *now = Now::SERVING;
            }
            draining
        });
    }

    /// Sends clients away for good. The process may be killed from then on; back by when it has to have answered.
    pub fn end(&self, kill_at: Instant) -> Instant {
        let now = Instant::now();
        let answer_by = now + kill_at.saturating_duration_since(now).saturating_sub(KILL_MARGIN);
        self.0.send_modify(|now| now.answer_by = Some(answer_by));
        self.leave(Stage::Ending, |stage| stage != Stage::Ending);
        answer_by
    }

    /// New clients are waited for no more.
    pub fn close_all(&self) {
        self.0.send_modify(|now| now.close_all = true);
    }

    fn leave(&self, to: Stage, from: impl Fn(Stage) -> bool) {
        self.0.send_if_modified(|now| {
            let leaves = from(now.stage);
            if leaves {
                now.stage = to;
                now.close_idle.get_or_insert_with(|| Instant::now() + LINGER);
            }
            leaves
        });
    }
}

/// Shows the other processes of this sidecar, which share its `$TMPDIR`, that this one runs, for as long as it is
/// kept.
pub struct Presence {
    /// Locked while it is open.
    _file: Option<File>,
}

impl Presence {
    /// That of a process beside which no other may run.
    pub fn none() -> Presence {
        Presence { _file: None }
    }

    /// Does another process run beside this one? Where that can't be told, it may.
    pub fn enter(dir: &Path, sidecar: &str) -> (Presence, bool) {
        let Ok(file) = File::create(dir.join(format!("running-{sidecar}.lock"))) else {
            return (Presence { _file: None }, true);
        };
        let alone = file.try_lock();
        // What an exclusive lock was for is over; whoever comes next finds a shared one.
        let shared = file.unlock().is_ok() && file.try_lock_shared().is_ok();
        let beside = !shared || matches!(alone, Err(TryLockError::WouldBlock | TryLockError::Error(_)));
        (Presence { _file: Some(file) }, beside)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::advance;

    #[tokio::test(start_paused = true)]
    async fn a_drain_can_be_taken_back_and_an_end_cannot() {
        let life = Life::new();
        life.undrain();
        assert_eq!(life.stage(), Stage::Serving, "there was nothing to take back");
        life.drain();
        let close_at = life.watch().borrow().close_idle;
        assert_eq!((life.stage(), close_at), (Stage::Draining, Some(Instant::now() + LINGER)));
        advance(LINGER / 2).await;
        life.drain();
        assert_eq!(life.watch().borrow().close_idle, close_at, "a second call changes nothing");
        life.undrain();
        assert_eq!((life.stage(), life.watch().borrow().close_idle), (Stage::Serving, None));
        life.drain();
        let kill_after = 3 * KILL_MARGIN;
        life.end(Instant::now() + kill_after);
        life.undrain();
        life.drain();
        assert_eq!(life.stage(), Stage::Ending);
        advance(KILL_MARGIN).await;
        let left = life.now().answer_by.expect("a bound") - Instant::now();
        assert_eq!(left, kill_after - 2 * KILL_MARGIN);
    }
}
