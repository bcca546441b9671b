//! The replicated state of the control plane beside the list's entries: who has which duty, and the published plan.
//! Pure like the store: each write is given its time and its place in the log.

use crate::maintenance::{Maintenance, MaintenanceRequest};
use micapier::fleet::duty::{DutyError, DutyTable, Grant};
use micapier::fleet::plan::{Plan, PlanMark};
use micapier::fleet::window;
use serde::{Deserialize, Serialize};

/// The duty whose holder publishes the plan.
pub const PLANNER: &str = "planner";

/// Where in the log a command stands: the term of the leader that proposed it, on whose clock its times are, and
/// its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub term: u64,
    pub index: u64,
}

/// What is asked of the state. The leader that proposes it adds the time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetRequest {
    /// Grants a duty, or renews it for its holder.
    Grant { name: String, holder: String, ttl_ms: u64 },
    /// Frees a duty.
    Release { name: String, token: u64 },
    /// Puts a plan in the place of the last, under the token of the duty [`PLANNER`].
    Publish { token: u64, plan: Box<Plan> },
    /// A write to the calendar of maintenance windows or the profile.
    Maintenance(Box<MaintenanceRequest>),
}

/// What a request did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetAnswer {
    Granted(Grant),
    Released,
    /// The plan's mark as the store has set it.
    Published(PlanMark),
    Maintained,
}

/// Why a request is refused. Nothing changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum FleetError {
    #[error(transparent)]
    Duty(#[from] DutyError),
    #[error("a number of the plan is out of bounds")]
    UnsoundPlan,
    #[error(transparent)]
    Window(#[from] window::Refusal),
    /// The leader has not yet begun the leases anew on its clock, so it can't tell which have lapsed.
    #[error("the leader has just begun")]
    Soon,
}

/// The state. What is added to it later needs a default, so that disks and snapshots of before can be read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetState {
    /// The term whose leader's clock the leases are counted by.
    clock_term: u64,
    /// Changes that a reader can see, counted: not the renewals.
    changes: u64,
    duties: DutyTable,
    plan: Option<Plan>,
    maintenance: Maintenance,
}

impl FleetState {
    pub fn changes(&self) -> u64 {
        self.changes
    }

    pub fn duties(&self) -> &DutyTable {
        &self.duties
    }

    /// The plan published last.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// The maintenance windows and what they are picked by.
    pub fn maintenance(&self) -> &Maintenance {
        &self.maintenance
    }

    /// The last plan's version; 0 before the first.
    pub fn version(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.mark.version)
    }

    /// Checks a request by its form alone: what depends on the state is decided where it is applied, since an
    /// instance that has just become the leader may not have applied all that is committed.
    ///
    /// # Errors
    /// [`DutyError::Malformed`], [`FleetError::UnsoundPlan`].
    pub fn check(request: &FleetRequest) -> Result<(), FleetError> {
        match request {
            FleetRequest::Grant { name, holder, ttl_ms } => Ok(DutyTable::check(name, holder, *ttl_ms)?),
            FleetRequest::Publish { plan, .. } if !plan.is_sound() => Err(FleetError::UnsoundPlan),
            FleetRequest::Release { .. } | FleetRequest::Publish { .. } | FleetRequest::Maintenance(_) => {
                Ok(())
            }
        }
    }

    /// Applies a request. `now_ms` is by the leader's monotonic clock, which leases are counted by, and `unix_ms` the
    /// time of the day by it, which windows are.
    ///
    /// # Errors
    /// [`FleetError`]. Nothing changed.
    pub fn apply(
        &mut self, request: &FleetRequest, now_ms: u64, unix_ms: u64, at: Place,
    ) -> Result<FleetAnswer, FleetError> {
        FleetState::check(request)?;
        match request {
            FleetRequest::Grant { name, holder, ttl_ms } => {
                if at.term != self.clock_term {
                    return Err(FleetError::Soon);
                }
                let grant = self.duties.grant(name, holder, *ttl_ms, now_ms, at.index)?;
                // A renewal keeps the token of an earlier place.
                self.changes += u64::from(grant.token == at.index);
                Ok(FleetAnswer::Granted(grant))
            }
            FleetRequest::Release { name, token } => {
                self.duties.release(name, *token)?;
                self.changes += 1;
                Ok(FleetAnswer::Released)
            }
            FleetRequest::Publish { token, plan } => {
                self.duties.fence(PLANNER, *token)?;
                let mark = PlanMark { token: *token, version: self.version() + 1 };
                self.plan = Some(Plan { mark, ..Plan::clone(plan) });
                self.changes += 1;
                Ok(FleetAnswer::Published(mark))
            }
            FleetRequest::Maintenance(request) => {
                if let Some(token) = request.token() {
                    self.duties.fence(PLANNER, token)?;
                }
                self.maintenance.apply(request, unix_ms)?;
                Ok(FleetAnswer::Maintained)
            }
        }
    }

    /// Whether [`FleetState::expire`] would end something.
    pub fn due(&self, now_ms: u64) -> bool {
        self.duties.due(now_ms)
    }

    /// Ends the duties whose lease is over, unless the leases are still counted by another leader's clock.
    pub fn expire(&mut self, now_ms: u64, at: Place) {
        if at.term == self.clock_term && self.duties.lapse(now_ms) {
            self.changes += 1;
        }
    }

    /// Begins every lease anew on the clock of the leader of this term.
    pub fn renew_all(&mut self, now_ms: u64, at: Place) {
        self.clock_term = at.term;
        self.duties.renew_all(now_ms);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use micapier::fleet::plan::VALID_MS;

    fn grant(holder: &str) -> FleetRequest {
        FleetRequest::Grant { name: PLANNER.to_owned(), holder: holder.to_owned(), ttl_ms: 1_000 }
    }

    fn publish(token: u64) -> FleetRequest {
        FleetRequest::Publish { token, plan: Box::new(Plan { valid_ms: VALID_MS, ..Plan::default() }) }
    }

    #[test]
    fn a_plan_counts_on_only_under_the_present_token_and_no_lease_ends_by_another_leaders_clock() {
        let mut state = FleetState::default();
        let place = |term, index| Place { term, index };
        assert_eq!(state.apply(&grant("a"), 0, 0, place(1, 3)), Err(FleetError::Soon));
        state.renew_all(0, place(1, 4));
        let granted = |token| Ok(FleetAnswer::Granted(Grant { token, ttl_ms: 1_000 }));
        assert_eq!(state.apply(&grant("a"), 0, 0, place(1, 5)), granted(5));
        let published = |token, version| Ok(FleetAnswer::Published(PlanMark { token, version }));
        assert_eq!(state.apply(&publish(5), 10, 0, place(1, 6)), published(5, 1));
        // The next leader's clock is far ahead, and it has not begun the leases anew.
        state.expire(90_000, place(2, 7));
        assert_eq!(state.apply(&grant("b"), 90_000, 0, place(2, 8)), Err(FleetError::Soon));
        state.renew_all(90_000, place(2, 9));
        let held = DutyError::Held { holder: "a".to_owned() };
        assert_eq!(state.apply(&grant("b"), 90_999, 0, place(2, 10)), Err(held.into()));
        let changes = state.changes();
        state.expire(91_000, place(2, 11));
        assert_eq!(state.changes(), changes + 1);
        assert_eq!(state.apply(&grant("b"), 91_000, 0, place(2, 12)), granted(12));
        let stale = Err(DutyError::Stale { token: 5 }.into());
        assert_eq!(state.apply(&publish(5), 91_000, 0, place(2, 13)), stale);
        assert_eq!(state.apply(&publish(12), 91_000, 0, place(2, 14)), published(12, 2));
        // The same of what the planner says of windows.
        let note = |token| FleetRequest::Maintenance(Box::new(MaintenanceRequest::Note { token, work: 7.0 }));
        let (before, stale) = (state.maintenance().clone(), Err(DutyError::Stale { token: 5 }.into()));
        assert_eq!(state.apply(&note(5), 91_000, 9, place(2, 15)), stale);
        assert_eq!(state.maintenance(), &before);
        assert_eq!(state.apply(&note(12), 91_000, 9, place(2, 16)), Ok(FleetAnswer::Maintained));
        assert_eq!(state.maintenance().profile().forecast(9, 1).mean, 7.0);
    }
}
