//! One maintenance window: what was asked for, its life, and when each step of it may be taken.
//!
//! A window is `Planned` until its lead begins. Then its site is `Draining`, and from its start on the window is
//! `Active`: only then may the operators begin. While another site is away, or where it would leave too little, it is
//! `Held` instead, and goes on after that with a whole lead before a later start. One that no longer fits before its
//! `not_after` is `Cancelled`. At its end it is `Ended`, by itself: its site comes back by the ramp, which a site whose
//! machines are not ready does not climb. Operators whose work is not done extend it before.
//!
//! Times are Unix ms of whoever leads. Clocks of processes differ: a step is taken as much too early or too late as
//! the leader's clock is wrong, and never twice, since each names the step that it follows.

use serde::{Deserialize, Serialize};
use std::ops::{Range, RangeInclusive};

/// The longest id, in bytes.
const MAX_ID: usize = 128;
/// A window's length in ms: what is shorter is over before its site is back, what is longer is no window.
pub const DURATION_MS: RangeInclusive<u64> = 1_000..=7 * 86_400_000;
/// The lead in ms: sidecars follow a plan within a second or so, and a day suffices for the longest request.
const LEAD_MS: RangeInclusive<u64> = 1_000..=86_400_000;
/// How far ahead a window may be asked for, in ms: a year. The profile knows no more.
const AHEAD_MS: u64 = 366 * 86_400_000;
/// The time that a site takes to come back, in ms: seven steps, of 2 s with enough traffic and of 10 s with too little.
/// Others should not leave meanwhile.
pub const RETURN_MS: u64 = 70_000;
/// The most that a step may be late, in ms, before the start of its window moves: a planner's handover takes less.
const SLACK_MS: u64 = 10_000;
/// The steps of a window that are told; a window is held rarely, and each time is two of them.
const TOLD: usize = 16;

/// The part of a request that can't be gone by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Field {
    /// Empty, too long, or not fit for a path.
    #[error("id")]
    Id,
    /// Shorter or longer than a window may be.
    #[error("duration_ms")]
    Duration,
    /// Too far ahead, or closer together than the duration.
    #[error("not_before or not_after")]
    Between,
    /// Too short or too long.
    #[error("lead_ms")]
    Lead,
    /// Too short, or the window would become too long.
    #[error("by_ms")]
    By,
}

/// Why a window is refused, held or cancelled, or a step of it not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Refusal {
    /// Can't be gone by whatever the fleet does.
    #[error("malformed: {0}")]
    Malformed(Field),
    /// The site is not configured.
    #[error("no such site")]
    UnknownSite,
    /// No window has the id.
    #[error("no such window")]
    UnknownWindow,
    /// The id was used for another request.
    #[error("a window of this id was requested otherwise")]
    Conflict,
    /// So many are open already.
    #[error("{0} windows are open already")]
    Full(usize),
    /// It no longer fits.
    #[error("no time left: with its lead it does not end by not_after")]
    NoTime,
    /// The site has another window then.
    #[error("the site has another window then")]
    Overlaps,
    /// More sites would be out than may be.
    #[error("over {0} sites would be out")]
    TooManyOut(usize),
    /// The region would have no site left.
    #[error("no site would be left in region {0}")]
    LastOfRegion(String),
    /// What is left would not carry what is to be expected; both in work (ms of a unit machine) a second.
    #[error("{peak} of work a second is to be expected, and the sites left may be filled to {left}")]
    Capacity {
        /// The forecast's peak.
        peak: u64,
        /// The utilisation limit's part of the capacity left.
        left: u64,
    },
    /// Another site is lost or returning.
    #[error("site {0} is lost or returning")]
    Away(String),
    /// Its state does not allow it.
    #[error("the window is not under way")]
    NotUnderWay,
    /// It ends at another time than the caller knew.
    #[error("the window ends at {0}")]
    Moved(u64),
    /// The step follows another one than the last, or its time has not come.
    #[error("the step is not the next, or not due")]
    Stale,
}

/// What operators ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRequest {
    /// Chosen by the operators; a window that is over keeps it too.
    pub id: String,
    /// The site to be out.
    pub site: String,
    /// How long, in ms.
    pub duration_ms: u64,
    /// The earliest start, in Unix ms.
    pub not_before: u64,
    /// The latest end, in Unix ms.
    pub not_after: u64,
    /// How long before its start traffic is shifted away, in ms.
    pub lead_ms: u64,
}

impl WindowRequest {
    /// Checks what does not hang on the fleet.
    ///
    /// # Errors
    /// [`Refusal::Malformed`].
    pub fn check(&self, now: u64) -> Result<(), Refusal> {
        let malformed = |field| Err(Refusal::Malformed(field));
        if self.id.is_empty() || self.id.len() > MAX_ID || self.id.contains(['/', '?', '#']) {
            return malformed(Field::Id);
        }
        if !DURATION_MS.contains(&self.duration_ms) {
            return malformed(Field::Duration);
        }
        if !LEAD_MS.contains(&self.lead_ms) {
            return malformed(Field::Lead);
        }
        let between = self.not_after.checked_sub(self.not_before);
        if between.is_none_or(|ms| ms < self.duration_ms) || self.not_after > now.saturating_add(AHEAD_MS) {
            return malformed(Field::Between);
        }
        Ok(())
    }

    /// The starts that keep to the request, with a whole lead from `now` on.
    ///
    /// # Errors
    /// [`Refusal::NoTime`] where there is none.
    pub fn starts(&self, now: u64) -> Result<RangeInclusive<u64>, Refusal> {
        let earliest = self.not_before.max(now + self.lead_ms);
        let latest = self.not_after.saturating_sub(self.duration_ms);
        if earliest <= latest { Ok(earliest..=latest) } else { Err(Refusal::NoTime) }
    }

    /// From when to when the site is not whole, if the window starts at `start`: its lead and return included.
    pub fn span(&self, start: u64) -> Range<u64> {
        start.saturating_sub(self.lead_ms)..start + self.duration_ms + RETURN_MS
    }

    /// The part of the lead that may go by unused before a start has to move.
    pub fn lead_slack(&self) -> u64 {
        SLACK_MS.min(self.lead_ms / 2)
    }
}

/// Where a window is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WindowState {
    /// It has a slot.
    Planned,
    /// It was due and had to wait.
    Held,
    /// Its lead: traffic is shifted away.
    Draining,
    /// Nothing goes to the site.
    Active,
    /// Over; the site is back or on its way.
    Ended,
    /// Over before it began.
    Cancelled,
}

impl WindowState {
    /// Whether nothing comes after it.
    pub fn is_over(self) -> bool {
        matches!(self, WindowState::Ended | WindowState::Cancelled)
    }

    /// Whether its site is out or on its way.
    pub fn is_under_way(self) -> bool {
        matches!(self, WindowState::Draining | WindowState::Active)
    }
}

/// A step of a window, as proposed: taken only if the window is where it says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The window.
    pub id: String,
    /// The steps taken before this one.
    pub after: u32,
    /// The state that it leaves.
    pub from: WindowState,
    /// The state that it enters.
    pub to: WindowState,
    /// Why, where it is held or cancelled.
    pub why: Option<Refusal>,
}

/// A window and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// What was asked for.
    pub request: WindowRequest,
    /// When it starts or started, in Unix ms.
    pub start: u64,
    /// When it ends or ended.
    pub end: u64,
    /// Where it is.
    pub state: WindowState,
    /// Why it is held or was cancelled.
    pub why: Option<Refusal>,
    /// The steps taken so far.
    pub steps: u32,
    /// The latest states with the time that each was entered at.
    pub told: Vec<(WindowState, u64)>,
}

impl Window {
    /// A window planned at `now`.
    pub fn planned(request: WindowRequest, start: u64, now: u64) -> Window {
        let end = start + request.duration_ms;
        let told = vec![(WindowState::Planned, now)];
        Window { request, start, end, state: WindowState::Planned, why: None, steps: 0, told }
    }

    /// From when to when its site is not whole.
    pub fn span(&self) -> Range<u64> {
        self.request.span(self.start).start..self.end + RETURN_MS
    }

    /// When the lead begins.
    pub fn lead_begins(&self) -> u64 {
        self.start.saturating_sub(self.request.lead_ms)
    }

    /// The start that it has if it enters `to` at `now`: it moves where a step comes so late that the lead or the
    /// operators' time would be cut short. `None` where it then no longer fits.
    pub fn start_at(&self, to: WindowState, now: u64) -> Option<u64> {
        let start = if to == WindowState::Draining {
            self.start.max(now + self.request.lead_ms - self.request.lead_slack())
        } else if now > self.start + SLACK_MS.min(self.request.duration_ms / 10) {
            now
        } else {
            self.start
        };
        (start == self.start || start + self.request.duration_ms <= self.request.not_after).then_some(start)
    }

    /// Whether the step into `to` may be taken at `now`.
    pub fn may_enter(&self, to: WindowState, now: u64) -> bool {
        use WindowState::{Active, Cancelled, Draining, Ended, Held, Planned};
        let lead = now >= self.lead_begins();
        match (self.state, to) {
            (Planned | Held, Draining) => lead && self.start_at(Draining, now).is_some(),
            (Planned | Held, Cancelled) => lead && self.start_at(Draining, now).is_none(),
            (Planned, Held) => lead,
            (Draining, Held) => true,
            (Draining, Active) => now >= self.start && self.start_at(Active, now).is_some(),
            (Draining, Cancelled) => now >= self.start && self.start_at(Active, now).is_none(),
            (Active, Ended) => now >= self.end,
            _ => false,
        }
    }

    /// Enters a state.
    pub fn enter(&mut self, to: WindowState, now: u64, why: Option<Refusal>) {
        if to.is_under_way()
            && let Some(start) = self.start_at(to, now)
        {
            self.end += start - self.start;
            self.start = start;
        }
        (self.state, self.why) = (to, why);
        self.steps += 1;
        self.told.push((to, now));
        self.told.drain(..self.told.len().saturating_sub(TOLD));
    }
}
