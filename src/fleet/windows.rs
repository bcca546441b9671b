//! The calendar of maintenance windows. It is replicated: what it does depends on nothing but what it holds and is
//! given. Time in it never goes back: a command that brings an older one counts at the latest time known.

use super::profile::Profile;
use super::site;
use super::slots::{Limits, Out};
use super::window::{DURATION_MS, Field, Refusal, Step, Window, WindowRequest, WindowState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most windows that are not over: dozens of sites with few windows ahead each. The calendar is written whole.
const MAX_OPEN: usize = 128;
/// The windows that are over and still told of, the latest ones.
const MAX_OVER: usize = 64;

/// Every window by its id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calendar {
    /// The latest time that any command brought, in Unix ms.
    now: u64,
    windows: BTreeMap<String, Window>,
}

impl Calendar {
    /// Every window, by id.
    pub fn windows(&self) -> impl Iterator<Item = &Window> {
        self.windows.values()
    }

    /// A window.
    pub fn get(&self, id: &str) -> Option<&Window> {
        self.windows.get(id)
    }

    /// The time to go by where a clock says `now`.
    pub fn time(&self, now: u64) -> u64 {
        self.now.max(now)
    }

    /// What the site machines go by at `now`: the sites whose windows are under way.
    pub fn sites(&self, now: u64) -> BTreeMap<String, site::Window> {
        let now = self.time(now);
        let under_way = self.windows.values().filter_map(|window| {
            let state = match window.state {
                WindowState::Draining => site::Window::Draining { left_ms: window.start.saturating_sub(now) },
                WindowState::Active => site::Window::Out,
                _ => return None,
            };
            Some((window.request.site.clone(), state))
        });
        under_way.collect()
    }

    /// The start of the best slot for a request, or of the window that it is already the request of.
    ///
    /// # Errors
    /// [`Refusal::Conflict`], [`Refusal::Full`], and those of [`Limits::pick`].
    pub fn schedule(
        &self, request: &WindowRequest, now: u64, limits: &Limits, profile: &Profile,
    ) -> Result<u64, Refusal> {
        if let Some(window) = self.same(request)? {
            return Ok(window.start);
        }
        limits.pick(request, &self.others("", |state| !state.is_over()), profile, self.time(now))
    }

    /// Plans a window at `start`, which [`Calendar::schedule`] picked by the state that the command met. The same
    /// request again changes nothing.
    ///
    /// # Errors
    /// Those of [`Calendar::schedule`], also where the slot is no longer free. Nothing is changed then.
    pub fn request(
        &mut self, request: &WindowRequest, start: u64, now: u64, limits: &Limits, profile: &Profile,
    ) -> Result<(), Refusal> {
        if self.same(request)?.is_some() {
            return Ok(());
        }
        let now = self.time(now);
        request.check(now)?;
        // The slot was picked a moment ago.
        if !request.starts(now - request.lead_slack().min(now))?.contains(&start) {
            return Err(Refusal::NoTime);
        }
        limits.check(
            &request.site,
            &request.span(start),
            &self.others("", |state| !state.is_over()),
            profile,
        )?;
        self.now = now;
        self.windows.insert(request.id.clone(), Window::planned(request.clone(), start, now));
        self.forget();
        Ok(())
    }

    /// Takes a window back: one that has not begun is cancelled, one that is active ends. One that is over stays.
    ///
    /// # Errors
    /// [`Refusal::UnknownWindow`].
    pub fn cancel(&mut self, id: &str, now: u64) -> Result<(), Refusal> {
        let now = self.time(now);
        let window = self.windows.get_mut(id).ok_or(Refusal::UnknownWindow)?;
        match window.state {
            WindowState::Ended | WindowState::Cancelled => return Ok(()),
            WindowState::Active => {
                window.end = now;
                window.enter(WindowState::Ended, now, None);
            }
            _ => window.enter(WindowState::Cancelled, now, None),
        }
        self.now = now;
        Ok(())
    }

    /// Lets a window that is under way last longer, also past its `not_after`. Windows that others have later don't
    /// stand against it: they are held until it is over. With `end`, the end that the caller knows, a call that was
    /// repeated extends once.
    ///
    /// # Errors
    /// [`Refusal::UnknownWindow`], [`Refusal::NotUnderWay`], [`Refusal::Moved`], [`Refusal::Malformed`] and those of
    /// [`Limits::check`]. Nothing is changed then.
    pub fn extend(
        &mut self, id: &str, by_ms: u64, end: Option<u64>, now: u64, limits: &Limits, profile: &Profile,
    ) -> Result<(), Refusal> {
        let window = self.windows.get(id).ok_or(Refusal::UnknownWindow)?;
        if !window.state.is_under_way() {
            return Err(Refusal::NotUnderWay);
        }
        if end.is_some_and(|end| end != window.end) {
            return Err(Refusal::Moved(window.end));
        }
        let lasts = (window.end - window.start).saturating_add(by_ms);
        if !DURATION_MS.contains(&by_ms) || !DURATION_MS.contains(&lasts) {
            return Err(Refusal::Malformed(Field::By));
        }
        let more = window.end..window.span().end + by_ms;
        limits.check(&window.request.site, &more, &self.others(id, WindowState::is_under_way), profile)?;
        self.now = self.time(now);
        if let Some(window) = self.windows.get_mut(id) {
            window.end += by_ms;
        }
        Ok(())
    }

    /// Takes a step, if it is the next of its window and its time has come. The caller has checked that whoever
    /// proposes it holds the planner's duty.
    ///
    /// # Errors
    /// [`Refusal::UnknownWindow`], [`Refusal::Stale`]. Nothing is changed then.
    pub fn advance(&mut self, step: &Step, now: u64) -> Result<(), Refusal> {
        let now = self.time(now);
        let window = self.windows.get_mut(&step.id).ok_or(Refusal::UnknownWindow)?;
        let next = window.steps == step.after && window.state == step.from;
        if !next || !window.may_enter(step.to, now) {
            return Err(Refusal::Stale);
        }
        window.enter(step.to, now, step.why.clone());
        self.now = now;
        Ok(())
    }

    /// The steps that are due at `now`, where the sites `away` are lost or returning. The first window to start goes
    /// first; windows planned for later stand against none that is due.
    pub fn due(&self, now: u64, away: &BTreeSet<String>, limits: &Limits, profile: &Profile) -> Vec<Step> {
        use WindowState::{Active, Cancelled, Draining, Ended, Held, Planned};
        let now = self.time(now);
        let mut windows: Vec<&Window> =
            self.windows.values().filter(|window| !window.state.is_over()).collect();
        windows.sort_by_key(|window| window.start);
        let mut begun: Vec<Out<'_>> = Vec::new();
        let mut steps = Vec::new();
        for window in windows {
            let request = &window.request;
            let lost = away.iter().find(|site| **site != request.site).cloned().map(Refusal::Away);
            let next = match window.state {
                Active => Some((Ended, None)),
                Draining => match lost {
                    Some(lost) => Some((Held, Some(lost))),
                    None if window.start_at(Active, now).is_some() => Some((Active, None)),
                    None => Some((Cancelled, Some(Refusal::NoTime))),
                },
                Planned | Held => match window.start_at(Draining, now) {
                    None => Some((Cancelled, Some(Refusal::NoTime))),
                    Some(start) => {
                        let span = request.span(start);
                        let mut others = self.others(&request.id, WindowState::is_under_way);
                        others.extend(begun.iter().cloned());
                        let against =
                            lost.or_else(|| limits.check(&request.site, &span, &others, profile).err());
                        match against {
                            None => Some((Draining, None)),
                            against if window.state == Planned => Some((Held, against)),
                            _ => None,
                        }
                    }
                },
                Ended | Cancelled => None,
            };
            let Some((to, why)) = next.filter(|(to, _)| window.may_enter(*to, now)) else { continue };
            if to == Draining {
                begun.push((&request.site, request.span(window.start.max(now))));
            }
            steps.push(Step { id: request.id.clone(), after: window.steps, from: window.state, to, why });
        }
        steps
    }

    /// The window that a request is already that of.
    fn same(&self, request: &WindowRequest) -> Result<Option<&Window>, Refusal> {
        let open = || self.windows.values().filter(|window| !window.state.is_over()).count();
        match self.windows.get(&request.id) {
            Some(window) if window.request == *request => Ok(Some(window)),
            Some(_) => Err(Refusal::Conflict),
            None if open() >= MAX_OPEN => Err(Refusal::Full(MAX_OPEN)),
            None => Ok(None),
        }
    }

    /// The windows in such states but that of `id`.
    fn others(&self, id: &str, states: impl Fn(WindowState) -> bool) -> Vec<Out<'_>> {
        let others = self.windows.values().filter(|window| window.request.id != id && states(window.state));
        others.map(|window| (window.request.site.as_str(), window.span())).collect()
    }

    /// Drops the oldest of the windows that are over, past [`MAX_OVER`].
    fn forget(&mut self) {
        let over = self.windows.values().filter(|window| window.state.is_over());
        let mut over: Vec<(u64, String)> = over
            .map(|window| (window.told.last().map_or(0, |told| told.1), window.request.id.clone()))
            .collect();
        over.sort();
        for (_, id) in &over[..over.len().saturating_sub(MAX_OVER)] {
            self.windows.remove(id);
        }
    }
}

#[cfg(test)]
#[path = "windows_tests.rs"]
mod tests;
