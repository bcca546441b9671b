//! The instance's part in maintenance windows: it picks slots where it leads, and takes the steps that are due where it
//! has the planner's duty.

use crate::fleet::{FleetError, FleetRequest};
use crate::maintenance::MaintenanceRequest;
use crate::node::{Node, WriteError};
use crate::store::{Member, Phase, StoreError};
use micapier::fleet::capacity::{Server, capacity};
use micapier::fleet::plan::Plan;
use micapier::fleet::report::COUNTS_MS;
use micapier::fleet::slots::Limits;
use micapier::fleet::state::SiteState;
use micapier::fleet::window::WindowRequest;
use std::collections::BTreeSet;

/// How often a slot is picked anew where another request took it first.
const PICKS: usize = 3;
/// How often the demand is noted, in ms: the profile keeps the mean and the highest of an hour's.
const NOTE_MS: u64 = 60_000;

impl Node {
    /// The limits of windows by this instance's configuration and its list: all servers that a site has, since those
    /// that are down today are up in a week.
    pub fn window_limits(&self) -> Limits {
        Limits::new(&self.fleet, &capacity(&self.fleet, &self.servers(), self.unix_ms()).normal)
    }

    /// Picks a slot and writes the window, where this instance leads.
    ///
    /// # Errors
    /// As [`Node::write`]; [`FleetError::Window`] where it is refused, and nothing changed.
    pub async fn request_window(&self, request: &WindowRequest) -> Result<(), WriteError> {
        let mut last = self.request_once(request).await;
        for _ in 1..PICKS {
            match last {
                // Where no other took the slot meanwhile, the next pick says the same of the state.
                Err(WriteError::Refused(StoreError::Fleet(FleetError::Window(_)))) => {}
                done => return done,
            }
            last = self.request_once(request).await;
        }
        last
    }

    async fn request_once(&self, request: &WindowRequest) -> Result<(), WriteError> {
        // A follower, or a leader that has not applied all, would refuse by what is no longer so.
        self.leads().await?;
        let limits = self.window_limits();
        let start = {
            let store = self.shared.store();
            let maintenance = store.fleet().maintenance();
            let picked =
                maintenance.calendar().schedule(request, self.unix_ms(), &limits, maintenance.profile());
            picked.map_err(|why| StoreError::Fleet(FleetError::Window(why)))?
        };
        let request = request.clone();
        self.maintain_here(MaintenanceRequest::Plan { request, start, limits }).await
    }

    /// Writes to the calendar, where this instance leads.
    ///
    /// # Errors
    /// As [`Node::write`].
    pub async fn maintain_here(&self, request: MaintenanceRequest) -> Result<(), WriteError> {
        self.propose_here(FleetRequest::Maintenance(Box::new(request))).await.map(|_| ())
    }

    /// Proposes the steps of windows that are due, by the states of the sites in the planner's plan of the moment.
    pub async fn step_windows(&self, token: u64, plan: &Plan) {
        let away =
            plan.sites.iter().filter(|(_, state)| matches!(state, SiteState::Lost | SiteState::Returning));
        let away: BTreeSet<String> = away.map(|(site, _)| site.clone()).collect();
        let unix_ms = self.unix_ms();
        // Now what is there counts.
        let limits = Limits::new(&self.fleet, &capacity(&self.fleet, &self.servers(), unix_ms).now);
        let due = {
            let store = self.shared.store();
            let maintenance = store.fleet().maintenance();
            maintenance.calendar().due(unix_ms, &away, &limits, maintenance.profile())
        };
        for step in due {
            let advance = MaintenanceRequest::Advance { token, step: step.clone() };
            match self.propose(FleetRequest::Maintenance(Box::new(advance))).await {
                Ok(_) => tracing::info!(id = step.id, to = ?step.to, why = ?step.why, "a window's step"),
                // It is due at the next tick too, for whoever has the duty then.
                Err(error) => tracing::debug!(%error, "a window's step is not taken"),
            }
        }
    }

    /// Notes the demand on the fleet, in work (ms of a unit machine) a second, once a minute of the holder's: `last_ms`
    /// is when it did so, or took the duty.
    pub async fn note_demand(&self, token: u64, work: f64, last_ms: &mut u64) {
        let now_ms = self.now_ms();
        // Nobody's report is not no demand.
        if now_ms < *last_ms + NOTE_MS || self.aged_reports(COUNTS_MS).is_empty() {
            return;
        }
        *last_ms = now_ms;
        let note = MaintenanceRequest::Note { token, work };
        if let Err(error) = self.propose(FleetRequest::Maintenance(Box::new(note))).await {
            tracing::debug!(%error, "a minute's demand is not noted");
        }
    }

    /// The upstreams of the list.
    pub fn servers(&self) -> Vec<Server> {
        self.shared.store().whole().members.into_iter().map(server).collect()
    }
}

fn server(member: &Member) -> Server {
    Server {
        site: member.locality.clone(),
        size: member.size,
        ready: member.phase == Phase::Ready,
        up_since_ms: member.up_since_ms,
    }
}
