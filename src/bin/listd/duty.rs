//! Keeps a duty for this instance: carries the requests of the library's runner.

use crate::fleet::{FleetAnswer, FleetError, FleetRequest};
use crate::node::{Node, WriteError};
use crate::replica::NodeId;
use crate::store::StoreError;
use micapier::fleet::duty::{DutyError, Grant, Refusal, Runner, Step, TTL_MS};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::time::sleep;

/// A candidate for a duty, and its holder where it is granted.
pub struct DutyKeeper {
    node: Arc<Node>,
    name: &'static str,
    holder: String,
    runner: Mutex<Runner>,
    drained: Notify,
}

impl DutyKeeper {
    /// A candidate for the duty `name`. Its name as a holder is of this process alone: a restarted one is another
    /// and gets a token of its own.
    pub fn new(node: Arc<Node>, name: &'static str, id: NodeId) -> DutyKeeper {
        // A clock before 1970 only makes the names of two processes alike.
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        let runner = Mutex::new(Runner::new(TTL_MS, started ^ id));
        DutyKeeper { node, name, holder: format!("listd-{id}-{started}"), runner, drained: Notify::new() }
    }

    fn runner(&self) -> MutexGuard<'_, Runner> {
        // Each call leaves the runner whole.
        self.runner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The token to act with now, while this instance has the duty.
    pub fn may_act(&self) -> Option<u64> {
        self.runner().may_act(self.node.now_ms())
    }

    /// Stops acting for good: [`DutyKeeper::run`] releases the duty and ends.
    pub fn drain(&self) {
        self.runner().drain();
        self.drained.notify_one();
    }

    /// Asks for the duty and keeps it until the drain.
    pub async fn run(&self) {
        loop {
            let now = self.node.now_ms();
            let step = self.runner().poll(now);
            match step {
                Step::Ask => {
                    let answer = self.ask().await;
                    self.runner().answered(now, self.node.now_ms(), answer);
                }
                Step::Release { token } => {
                    let release = FleetRequest::Release { name: self.name.to_owned(), token };
                    match self.node.propose(release).await {
                        Ok(_) => tracing::info!(duty = self.name, token, "released"),
                        Err(error) => tracing::warn!(%error, duty = self.name, token, "not released"),
                    }
                }
                Step::Wait { until } => {
                    self.unless_drained(sleep(Duration::from_millis(until - now))).await;
                }
                Step::Watch => {
                    self.unless_drained(self.node.duty_is_free(self.name)).await;
                    self.runner().freed(self.node.now_ms());
                }
                Step::Done => return,
            }
        }
    }

    async fn ask(&self) -> Result<Grant, Refusal> {
        let grant =
            FleetRequest::Grant { name: self.name.to_owned(), holder: self.holder.clone(), ttl_ms: TTL_MS };
        match self.node.propose(grant).await {
            Ok(FleetAnswer::Granted(grant)) => Ok(grant),
            Err(WriteError::Refused(StoreError::Fleet(FleetError::Duty(DutyError::Held { .. })))) => {
                Err(Refusal::Held)
            }
            Ok(_) | Err(_) => Err(Refusal::Failed),
        }
    }

    async fn unless_drained(&self, wait: impl Future<Output = ()>) {
        tokio::select! {
            () = wait => {}
            () = self.drained.notified() => {}
        }
    }
}
