//! What is usually asked of the fleet, by hour of the week: the profile that maintenance windows are placed by.
//!
//! Summer (June to August) has a profile of its own, since its weekends are not those of the rest of the year. An hour
//! that one season has not seen yet goes by the other's. Hours are those of UTC: the profile only has to tell hours of
//! the week apart, and UTC has no hour twice. What is kept is in whole numbers, which a serial form gives back exactly,
//! so that every instance that keeps the profile forecasts alike.

use chrono::{DateTime, Datelike};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const HOUR_MS: u64 = 3_600_000;
/// Hours of a week.
const WEEK: u64 = 168;
/// What a new week's hour weighs against all before: some four weeks are remembered, so that one odd week is not
/// taken for the rule.
const NEW: f64 = 0.25;

/// Demand over some time, in work (ms of a unit machine) a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Its mean.
    pub mean: f64,
    /// Its highest minute.
    pub peak: f64,
}

/// The hour under way: what was noted of it so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Noted {
    /// Hours since 1970.
    hour: u64,
    sum: f64,
    peak: f64,
    count: u32,
}

impl Noted {
    fn demand(&self) -> Option<Demand> {
        (self.count > 0).then(|| Demand { mean: self.sum / f64::from(self.count), peak: self.peak })
    }
}

/// Demand by hour of the week and season.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Profile {
    /// By hour of the week, summer's after those of the rest of the year.
    hours: BTreeMap<u64, Demand>,
    noted: Noted,
}

/// Where an hour (since 1970) is kept: its slot, and the other season's.
fn slots(hour: u64) -> (u64, u64) {
    let month = i64::try_from(hour * HOUR_MS).ok().and_then(DateTime::from_timestamp_millis);
    let summer = month.is_some_and(|time| (6..=8).contains(&time.month()));
    let of_week = hour % WEEK;
    if summer { (of_week + WEEK, of_week) } else { (of_week, of_week + WEEK) }
}

impl Profile {
    /// Notes what is asked of the whole fleet at `unix_ms`, in work a second: about once a minute. A time in an hour
    /// before the latest noted one, or a number that is none, is left aside.
    pub fn note(&mut self, unix_ms: u64, work: f64) {
        let hour = unix_ms / HOUR_MS;
        if !(work.is_finite() && work >= 0.0) || hour < self.noted.hour {
            return;
        }
        if hour > self.noted.hour {
            self.keep();
            self.noted = Noted { hour, ..Noted::default() };
        }
        let work = work.round();
        self.noted.sum += work;
        self.noted.peak = self.noted.peak.max(work);
        self.noted.count += 1;
    }

    /// Puts the hour that ended with those of the weeks before.
    fn keep(&mut self) {
        let Some(new) = self.noted.demand() else { return };
        let kept = self.hours.entry(slots(self.noted.hour).0).or_insert(new);
        kept.mean = (kept.mean + NEW * (new.mean - kept.mean)).round();
        // A higher peak counts in full at once: it is what capacity has to be there for.
        kept.peak = new.peak.max(kept.peak + NEW * (new.peak - kept.peak)).round();
    }

    /// What is to be expected from `from_ms` (Unix) on for `duration_ms`. An hour that no season has seen is expected
    /// to be as busy as the busiest one seen; with none seen at all nothing is expected.
    pub fn forecast(&self, from_ms: u64, duration_ms: u64) -> Demand {
        let seen = self.hours.values().copied().chain(self.noted.demand());
        let most = |a: Demand, b: Demand| Demand { mean: a.mean.max(b.mean), peak: a.peak.max(b.peak) };
        let busiest = seen.reduce(most).unwrap_or_default();
        let to_ms = from_ms + duration_ms.max(1);
        let mut forecast = Demand::default();
        for hour in from_ms / HOUR_MS..=(to_ms - 1) / HOUR_MS {
            let (slot, other) = slots(hour);
            let expected = self.hours.get(&slot).or_else(|| self.hours.get(&other)).unwrap_or(&busiest);
            let part = to_ms.min((hour + 1) * HOUR_MS) - from_ms.max(hour * HOUR_MS);
            forecast.mean += expected.mean * part as f64 / duration_ms.max(1) as f64;
            forecast.peak = forecast.peak.max(expected.peak);
        }
        forecast
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WEEK_MS: u64 = WEEK * HOUR_MS;
    /// Thursday, 1 January 2026, 00:00.
    const JANUARY: u64 = 1_767_225_600_000;
    /// Thursday, 2 July 2026, 00:00.
    const JULY: u64 = JANUARY + 26 * WEEK_MS;

    /// A week with one work all hours but the one at `busy`.
    fn week(profile: &mut Profile, from: u64, work: f64, busy: (u64, f64)) {
        for hour in 0..WEEK {
            let work = if hour == busy.0 { busy.1 } else { work };
            profile.note(from + hour * HOUR_MS, work);
        }
        profile.note(from + WEEK_MS, work);
    }

    #[test]
    fn a_new_week_weighs_a_quarter_and_a_new_peak_counts_at_once() {
        let mut profile = Profile::default();
        week(&mut profile, JANUARY, 100.0, (30, 500.0));
        week(&mut profile, JANUARY + WEEK_MS, 200.0, (30, 100.0));
        let at = |hour| profile.forecast(JANUARY + 2 * WEEK_MS + hour * HOUR_MS, HOUR_MS);
        assert_eq!((at(29), at(30).mean), (Demand { mean: 125.0, peak: 200.0 }, 400.0));
        // Two halves of hours: the mean by time, the highest peak.
        let half = profile.forecast(JANUARY + 29 * HOUR_MS + HOUR_MS / 2, HOUR_MS);
        assert_eq!(half, Demand { mean: 262.5, peak: 400.0 });
        // Time never goes back, what is no number is not taken, and a serial form is the same.
        let text = serde_json::to_string(&profile).expect("a serial form");
        let before: Profile = serde_json::from_str(&text).expect("the same again");
        profile.note(JANUARY, 9e9);
        profile.note(JULY, f64::NAN);
        assert_eq!(profile, before);
    }

    #[test]
    fn summer_has_its_own_weekends_and_an_hour_unseen_is_held_for_busy() {
        let mut profile = Profile::default();
        assert_eq!(profile.forecast(JULY, HOUR_MS), Demand::default());
        profile.note(JANUARY, 100.0);
        profile.note(JANUARY + HOUR_MS, 300.0);
        assert_eq!(profile.forecast(JANUARY + 50 * HOUR_MS, HOUR_MS).mean, 300.0);
        week(&mut profile, JANUARY, 100.0, (40, 100.0));
        // The other season's, until summer has been seen; then each keeps its own.
        assert_eq!(profile.forecast(JULY + 40 * HOUR_MS, HOUR_MS).mean, 100.0);
        week(&mut profile, JULY, 100.0, (40, 900.0));
        let at = |from| profile.forecast(from + 40 * HOUR_MS, HOUR_MS).mean;
        assert_eq!((at(JULY + WEEK_MS), at(JANUARY + 40 * WEEK_MS)), (900.0, 100.0));
    }
}
