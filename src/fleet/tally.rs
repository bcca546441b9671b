//! What a sidecar counts for its reports. It goes by indices, since it is fed with each request.

use super::latency::Latencies;
use super::report::{Demand, Sight, Traffic};
use super::route::Names;
use crate::api::Outcome;
use std::collections::{BTreeMap, BTreeSet};

/// The most lines of traffic, each with a histogram of some 20 kB, and of demand. Tenants are what clients say they
/// are: past this they are counted as one that was not named.
const MOST_LINES: usize = 128;
/// So many attempts without any answer look dark: one or two are chance.
const DARK: u64 = 3;
/// What was seen of a site is told in so many reports: as long as one counts, at one a second.
const TOLD: u8 = 3;
/// Weight of one request in the running mean of a class's work.
const WORK_GAIN: f64 = 1.0 / 32.0;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Asked {
    requests: u64,
    work_ms: f64,
    refused: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Sent {
    answered: u64,
    served: u64,
    dark: u64,
    sent: u64,
    latencies: Latencies,
}

/// How a zone was seen, and in how many reports each part has been told.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// `None` where it has not answered lately.
    lit: Option<u8>,
    dark: u64,
    dark_told: u8,
}

/// Counts since the last report.
#[derive(Debug, Default)]
pub struct Tally {
    asked: BTreeMap<(Option<u16>, usize), Asked>,
    sent: BTreeMap<(u16, Option<u16>), Sent>,
    /// Running means of the classes' work by the clients' hints, or, where there are none, of the answers' time.
    work: BTreeMap<usize, f64>,
    hinted: BTreeSet<usize>,
    /// Zones that were tried lately. It outlives a report: the order of answers and of attempts without any tells
    /// more than their counts, and a zone that is tried seldom is not seen within one.
    seen: BTreeMap<u16, Seen>,
    /// Zones that looked dark at the last report, and have not answered since.
    reported: BTreeSet<u16>,
}

/// The line of a tenant, or, where there are too many, of whoever was not named.
fn line<K: Ord, V: Default>(lines: &mut BTreeMap<K, V>, own: K, unnamed: K) -> &mut V {
    let room = lines.len() < MOST_LINES || lines.contains_key(&own);
    lines.entry(if room { own } else { unnamed }).or_default()
}

impl Tally {
    /// A request came that its client does not mark as a repeat, with its work in ms if the client tells.
    pub fn note_request(&mut self, tenant: Option<u16>, class: usize, work_ms: Option<f64>) {
        if let Some(work) = work_ms {
            if self.hinted.insert(class) {
                self.work.remove(&class);
            }
            self.follow(class, work);
        }
        let work_ms = work_ms.or_else(|| self.work.get(&class).copied()).unwrap_or_default();
        let asked = line(&mut self.asked, (tenant, class), (None, class));
        asked.requests += 1;
        asked.work_ms += work_ms;
    }

    /// The request just noted was refused by the plan's admission.
    pub fn note_refused(&mut self, tenant: Option<u16>, class: usize) {
        line(&mut self.asked, (tenant, class), (None, class)).refused += 1;
    }

    /// An attempt went out.
    pub fn note_sent(&mut self, zone: u16, tenant: Option<u16>) {
        line(&mut self.sent, (zone, tenant), (zone, None)).sent += 1;
    }

    /// An attempt ended after so many ms. One that was cancelled or never sent tells nothing.
    pub fn note_outcome(
        &mut self, zone: u16, (tenant, class): (Option<u16>, usize), outcome: Outcome, ms: f64,
    ) {
        let seen = self.seen.entry(zone).or_default();
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Full => {
                *seen = Seen { lit: Some(0), ..Seen::default() };
                self.reported.remove(&zone);
            }
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                (seen.dark, seen.dark_told) = (seen.dark + 1, 0);
            }
            Outcome::Cancelled | Outcome::Moot => {}
        }
        let sent = line(&mut self.sent, (zone, tenant), (zone, None));
        match outcome {
            Outcome::Ok => {
                sent.answered += 1;
                sent.served += 1;
                sent.latencies.record(ms);
                if !self.hinted.contains(&class) {
                    self.follow(class, ms);
                }
            }
            Outcome::Error | Outcome::Full => sent.answered += 1,
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => sent.dark += 1,
            Outcome::Cancelled | Outcome::Moot => {}
        }
    }

    fn follow(&mut self, class: usize, work: f64) {
        let mean = self.work.entry(class).or_insert(work);
        *mean += (work - *mean) * WORK_GAIN;
    }

    /// Whether a zone looks dark that did not at the last report: that is reported at once.
    pub fn turned_dark(&self) -> bool {
        self.seen.iter().any(|(zone, seen)| seen.dark >= DARK && !self.reported.contains(zone))
    }

    /// Takes the counts out, for the next report.
    pub fn take(&mut self) -> Tally {
        let (asked, sent) = (std::mem::take(&mut self.asked), std::mem::take(&mut self.sent));
        let taken = Tally { asked, sent, seen: self.seen.clone(), ..Tally::default() };
        self.seen.retain(|zone, seen| {
            seen.lit = seen.lit.map(|told| told + 1).filter(|told| *told < TOLD);
            seen.dark_told += 1;
            if seen.dark_told >= TOLD {
                seen.dark = 0;
            }
            if seen.dark >= DARK {
                self.reported.insert(*zone);
            } else {
                self.reported.remove(zone);
            }
            seen.lit.is_some() || seen.dark > 0
        });
        taken
    }

    /// How the zones that were tried lately are seen, for a report.
    pub fn sights(&self, names: Names) -> BTreeMap<String, Sight> {
        let sight = |(zone, seen): (&u16, &Seen)| {
            let sight = Sight { lit: seen.lit.is_some(), dark: seen.dark };
            Some((names.zones.get(usize::from(*zone))?.clone(), sight))
        };
        self.seen.iter().filter_map(sight).filter(|(_, sight)| *sight != Sight::default()).collect()
    }

    /// The lines of a report. A zone without a name is left out, and a tenant without one is not named.
    pub fn lines(self, names: Names) -> (Vec<Demand>, Vec<Traffic>) {
        let tenant = |at: Option<u16>| {
            let name = at.and_then(|at| names.tenants.get(usize::from(at)));
            name.map_or_else(String::new, String::clone)
        };
        let demand = self.asked.into_iter().filter_map(|((who, class), of)| {
            let (tenant, class) = (tenant(who), names.classes.get(class)?.clone());
            let Asked { requests, work_ms, refused } = of;
            Some(Demand { tenant, class, requests, work_ms, refused })
        });
        let traffic = self.sent.into_iter().filter_map(|((zone, who), of)| {
            let (site, tenant) = (names.zones.get(usize::from(zone))?.clone(), tenant(who));
            let Sent { answered, served, dark, sent, latencies } = of;
            Some(Traffic { site, tenant, answered, served, dark, sent, latencies })
        });
        (demand.collect(), traffic.collect())
    }
}

#[cfg(test)]
mod tests {
    use super::super::report::Report;
    use super::*;

    #[test]
    fn what_is_counted_makes_a_sound_report_and_only_answers_light_a_site() {
        let list = |names: &[&str]| names.iter().map(|&name| name.to_owned()).collect::<Vec<String>>();
        let (zones, tenants, classes) = (list(&["a", "b"]), list(&["t"]), list(&["c", "d"]));
        let names = Names { zones: &zones, tenants: &tenants, classes: &classes };
        let mut tally = Tally::default();
        for (who, outcome) in [
            (Some(0), Outcome::Ok),
            (Some(0), Outcome::Full),
            (None, Outcome::Cancelled),
            (None, Outcome::Error),
            (None, Outcome::Reset),
        ] {
            tally.note_request(who, 0, who.map(|_| 40.0));
            tally.note_sent(1, who);
            tally.note_outcome(1, (who, 0), outcome, 25.0);
        }
        tally.note_request(None, 1, None);
        tally.note_refused(None, 1);
        tally.note_sent(u16::MAX, None);
        assert!(!tally.turned_dark());
        let taken = tally.take();
        let taken_sights = taken.sights(names);
        assert_eq!(taken_sights, BTreeMap::from([("b".to_owned(), Sight { lit: true, dark: 1 })]));
        let (demand, traffic) = taken.lines(names);
        // What is not hinted at is taken as the usual.
        let asked = |line: &Demand| (line.tenant.clone(), line.requests, line.work_ms, line.refused);
        let of = |tenant: &str, requests, work, refused| (tenant.to_owned(), requests, work, refused);
        let wanted = [of("", 3, 120.0, 0), of("", 1, 0.0, 1), of("t", 2, 80.0, 0)];
        assert_eq!(demand.iter().map(asked).collect::<Vec<_>>(), wanted);
        let counts = |t: &Traffic| (t.sent, t.answered, t.served, t.dark, t.latencies.count());
        assert_eq!(traffic.iter().map(counts).collect::<Vec<_>>(), [(3, 1, 0, 1, 0), (2, 2, 1, 0, 1)]);
        let (origin, site) = ("n1".to_owned(), "a".to_owned());
        let report = Report {
            origin,
            incarnation: 1,
            sequence: 1,
            site,
            span_ms: 9,
            demand,
            traffic,
            sights: taken_sights,
            plan: None,
        };
        assert_eq!(report.check(), Ok(()));
        assert!(tally.take().lines(names).1.is_empty(), "counted once");
    }

    #[test]
    fn a_site_that_goes_dark_is_told_of_once_until_it_answers() {
        let mut tally = Tally::default();
        let note = |tally: &mut Tally, outcome, count| {
            (0..count).for_each(|_| tally.note_outcome(1, (None, 0), outcome, 1.0));
        };
        note(&mut tally, Outcome::Timeout, 2);
        assert!(!tally.turned_dark());
        tally.note_outcome(1, (Some(0), 0), Outcome::ConnectFailed, 1.0);
        assert!(tally.turned_dark(), "whoever's attempts they were");
        drop(tally.take());
        note(&mut tally, Outcome::Reset, 9);
        assert!(!tally.turned_dark(), "told already");
        note(&mut tally, Outcome::Error, 1);
        drop(tally.take());
        note(&mut tally, Outcome::Timeout, 3);
        assert!(tally.turned_dark(), "it had answered");
    }

    #[test]
    fn what_is_tried_seldom_is_told_for_as_long_as_a_report_counts_and_by_its_order() {
        let zones = ["a".to_owned()];
        let names = Names { zones: &zones, tenants: &[], classes: &[] };
        let mut tally = Tally::default();
        let sight = |lit, dark| BTreeMap::from([("a".to_owned(), Sight { lit, dark })]);
        tally.note_outcome(0, (None, 0), Outcome::Timeout, 1.0);
        tally.note_outcome(0, (None, 0), Outcome::Ok, 1.0);
        tally.note_outcome(0, (None, 0), Outcome::Reset, 1.0);
        assert_eq!(tally.take().sights(names), sight(true, 1), "what was before the answer is past");
        for dark in [2, 3] {
            tally.note_outcome(0, (None, 0), Outcome::Reset, 1.0);
            assert_eq!(tally.turned_dark(), dark == 3);
            assert_eq!(tally.take().sights(names), sight(true, dark));
        }
        for _ in 1..TOLD {
            assert_eq!(tally.take().sights(names), sight(false, 3));
        }
        assert!(tally.take().sights(names).is_empty());
    }

    #[test]
    fn tenants_without_end_take_no_memory_without_end() {
        let mut tally = Tally::default();
        for tenant in 0..10_000 {
            tally.note_request(Some(tenant), 0, Some(1.0));
            tally.note_sent(0, Some(tenant));
        }
        assert!(tally.asked.len() <= MOST_LINES + 1 && tally.sent.len() <= MOST_LINES + 1);
        assert_eq!(tally.asked.values().map(|asked| asked.requests).sum::<u64>(), 10_000);
    }
}
