//! The instance's part in the control plane: requests for its replicated state from any instance, watches of it, and
//! the reports that sidecars and the other instances bring.

use crate::fleet::{FleetAnswer, FleetRequest, FleetState};
use crate::node::{Node, ReadError, WriteError};
use crate::peers::ask;
use crate::store::{Command, StoreError};
use hyper::{Method, StatusCode};
use micapier::fleet::report::{Aged, COUNTS_MS, Ledger, Report, ReportError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// A request is answered by then, by way of the leader too.
const PROPOSE_PATIENCE: Duration = Duration::from_secs(1);
/// Another instance's reports are there by then or go without: the planner judges each 250 ms.
const REPORTS_PATIENCE: Duration = Duration::from_millis(200);
/// Where an instance takes requests for the replicated state from the others.
pub const PROPOSE_PATH: &str = "/fleet/propose";
/// Where it takes reports, and tells of them.
pub const REPORTS_PATH: &str = "/fleet/reports";
/// What precedes the highest age of the reports asked for, in ms.
pub const YOUNG: &str = "age=";

/// The latest reports, in memory alone.
#[derive(Default)]
pub struct Reports(Mutex<Ledger>);

impl Reports {
    /// Works with the ledger. What is long past is dropped before.
    pub fn with<T>(&self, now_ms: u64, work: impl FnOnce(&mut Ledger) -> T) -> T {
        // Each change of the ledger is a whole one, so a panic elsewhere left it sound.
        let mut ledger = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.sweep(now_ms);
        work(&mut ledger)
    }
}

impl Node {
    /// Writes a request to the replicated state, if this instance leads.
    ///
    /// # Errors
    /// As [`Node::write`].
    pub async fn propose_here(&self, request: FleetRequest) -> Result<FleetAnswer, WriteError> {
        let (now_ms, unix_ms) = (self.now_ms(), self.unix_ms());
        let outcome = self.write(Command::Fleet { request, now_ms, unix_ms }).await?;
        outcome.fleet.ok_or_else(|| WriteError::Raft("no answer to a request of the fleet".to_owned()))
    }

    /// Writes a request to the replicated state from any instance: a follower passes it to the leader, who stamps
    /// it with its time. Ends within a second.
    ///
    /// # Errors
    /// As [`Node::write`]; [`WriteError::NotLeader`] where no leader is known or the one known leads no more.
    pub async fn propose(&self, request: FleetRequest) -> Result<FleetAnswer, WriteError> {
        let passed = async {
            match self.propose_here(request.clone()).await {
                Err(WriteError::NotLeader(Some(leader))) => pass_on(leader, &request).await,
                answer => answer,
            }
        };
        timeout(PROPOSE_PATIENCE, passed).await.unwrap_or(Err(WriteError::Late))
    }

    /// Waits until `there` holds of the state, for `wait` at most, or as long as this instance is in touch with a
    /// quorum; answers what `read` makes of it then.
    ///
    /// # Errors
    /// [`ReadError::OutOfTouch`].
    pub async fn watch_fleet<T>(
        &self, wait: Duration, there: impl Fn(&FleetState) -> bool, read: impl FnOnce(&FleetState) -> T,
    ) -> Result<T, ReadError> {
        self.until(self.shared.fleet(), wait, || there(self.shared.store().fleet())).await;
        if self.in_touch_until().is_none() {
            return Err(ReadError::OutOfTouch);
        }
        Ok(read(self.shared.store().fleet()))
    }

    /// Waits until nobody has a duty.
    pub async fn duty_is_free(&self, name: &str) {
        let mut changes = self.shared.fleet();
        while self.shared.store().fleet().duties().lease(name).is_some() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Takes a sidecar's report.
    ///
    /// # Errors
    /// As [`Ledger::take`].
    pub fn take_report(&self, report: Report) -> Result<(), ReportError> {
        let now_ms = self.now_ms();
        self.reports.with(now_ms, |ledger| ledger.take(report, 0, now_ms))
    }

    /// The reports that count here and are at most so old in ms, with their ages.
    pub fn aged_reports(&self, most_ms: u64) -> Vec<Aged> {
        let now_ms = self.now_ms();
        self.reports.with(now_ms, |ledger| ledger.aged(most_ms, now_ms))
    }

    /// Takes in the reports that the other instances hold; one that does not answer in time is left out. `pulled`
    /// keeps when each was asked last with success: only what came since then is asked for.
    pub async fn pull_reports(&self, pulled: &mut BTreeMap<SocketAddr, u64>) {
        let asked_ms = self.now_ms();
        let mut calls = JoinSet::new();
        for &addr in self.others() {
            // It may answer as late as it has time to.
            let patience_ms = REPORTS_PATIENCE.as_millis() as u64;
            let most_ms = pulled.get(&addr).map_or(COUNTS_MS, |at| asked_ms - at + patience_ms);
            let path = format!("{REPORTS_PATH}?{YOUNG}{most_ms}");
            calls.spawn(async move {
                let answer = timeout(REPORTS_PATIENCE, ask(addr, Method::GET, &path, Vec::new()));
                match answer.await {
                    Ok(Ok((StatusCode::OK, body))) => Some((addr, serde_json::from_slice(&body).ok()?)),
                    _ => None,
                }
            });
        }
        while let Some(answer) = calls.join_next().await {
            let now_ms = self.now_ms();
            // On the way they aged, at most by all the time since they were asked for.
            let way_ms = now_ms - asked_ms;
            let Some((addr, reports)) = answer.ok().flatten() else { continue };
            let reports: Vec<Aged> = reports;
            pulled.insert(addr, asked_ms);
            self.reports.with(now_ms, |ledger| {
                for Aged { report, age_ms } in reports {
                    // One that is held already, or past its time, is nothing new.
                    let _ = ledger.take(report, age_ms.saturating_add(way_ms), now_ms);
                }
            });
        }
    }
}

/// Passes a request to the leader and reads its answer.
async fn pass_on(leader: SocketAddr, request: &FleetRequest) -> Result<FleetAnswer, WriteError> {
    let broken = |error: &dyn std::fmt::Display| WriteError::Raft(format!("the leader's answer: {error}"));
    let body = serde_json::to_vec(request).map_err(|error| broken(&error))?;
    let (status, body) =
        ask(leader, Method::POST, PROPOSE_PATH, body).await.map_err(|error| broken(&error))?;
    match status {
        StatusCode::OK => serde_json::from_slice(&body).map_err(|error| broken(&error)),
        StatusCode::MISDIRECTED_REQUEST => Err(WriteError::NotLeader(None)),
        _ => Err(match serde_json::from_slice::<StoreError>(&body) {
            Ok(refusal) => WriteError::Refused(refusal),
            Err(_) => broken(&status),
        }),
    }
}
