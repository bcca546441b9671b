//! The replicated state of maintenance windows: the calendar, and the profile of demand that slots are picked by.
//! Pure like the store: each write is given its time, here that of the day, which requests name their times in.

use micapier::fleet::profile::Profile;
use micapier::fleet::slots::Limits;
use micapier::fleet::window::{Refusal, Step, WindowRequest};
use micapier::fleet::windows::Calendar;
use serde::{Deserialize, Serialize};

/// What is asked of the state. What hangs on an instance's configuration or its view of the list comes with it, so
/// that every instance decides alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MaintenanceRequest {
    /// Plans a window at the start that the leader picked.
    Plan { request: WindowRequest, start: u64, limits: Limits },
    /// Takes a window back, or ends it.
    Cancel { id: String },
    /// Lets a window last longer; with `end_ms` only if it ends then.
    Extend { id: String, by_ms: u64, end_ms: Option<u64>, limits: Limits },
    /// Takes a step of a window, under the token of the planner's duty.
    Advance { token: u64, step: Step },
    /// Notes what is asked of the fleet, in work (ms of a unit machine) a second, under the planner's token.
    Note { token: u64, work: f64 },
}

impl MaintenanceRequest {
    /// The token of the planner's duty that it is made under, where it needs one.
    pub fn token(&self) -> Option<u64> {
        match self {
            MaintenanceRequest::Advance { token, .. } | MaintenanceRequest::Note { token, .. } => {
                Some(*token)
            }
            _ => None,
        }
    }
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Maintenance {
    calendar: Calendar,
    profile: Profile,
}

impl Maintenance {
    pub fn calendar(&self) -> &Calendar {
        &self.calendar
    }

    pub fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Applies a request at `unix_ms`; its token has been checked.
    ///
    /// # Errors
    /// [`Refusal`]. Nothing changed.
    pub fn apply(&mut self, request: &MaintenanceRequest, unix_ms: u64) -> Result<(), Refusal> {
        match request {
            MaintenanceRequest::Plan { request, start, limits } => {
                self.calendar.request(request, *start, unix_ms, limits, &self.profile)
            }
            MaintenanceRequest::Cancel { id } => self.calendar.cancel(id, unix_ms),
            MaintenanceRequest::Extend { id, by_ms, end_ms, limits } => {
                self.calendar.extend(id, *by_ms, *end_ms, unix_ms, limits, &self.profile)
            }
            MaintenanceRequest::Advance { step, .. } => self.calendar.advance(step, unix_ms),
            MaintenanceRequest::Note { work, .. } => {
                self.profile.note(self.calendar.time(unix_ms), *work);
                Ok(())
            }
        }
    }
}
