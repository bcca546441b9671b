//! What sidecars report, and the ledger of what counts of it. Soft state: it is kept in memory alone and lost with
//! the process that holds it.

use super::latency::Latencies;
use super::plan::PlanMark;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a report counts from its first receipt, in ms: three of the sidecars' reports.
pub const COUNTS_MS: u64 = 3_000;
/// The longest text of a name, in bytes; the most lines of a report; the most that a line may count in a report.
const MOST_NAME: usize = 128;
const MOST_LINES: usize = 4_096;
const MOST_COUNT: u64 = 10_000_000;
/// The longest time that one report may speak of, in ms.
const MOST_SPAN_MS: u64 = 60_000;
/// The most origins whose reports are held: 300 sidecars many times over, restarts and upgrades included. Names are
/// what callers say they are, and must not take memory without end.
const MOST_ORIGINS: usize = 4_096;

/// What was asked for of a tenant in a class, since the last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The tenant; empty where the request named none.
    pub tenant: String,
    /// The class.
    pub class: String,
    /// Requests, clients' own repeats left out where they are marked.
    pub requests: u64,
    /// Their work, by the clients' hints or what the class usually takes, in ms.
    pub work_ms: f64,
    /// Those of them that were refused by the plan's admission.
    pub refused: u64,
}

/// What became of attempts to the servers of a site for a tenant, since the last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// The destination.
    pub site: String,
    /// The tenant; empty where the request named none.
    pub tenant: String,
    /// Answers of any kind: the site lives.
    pub answered: u64,
    /// Of these, the ones that served.
    pub served: u64,
    /// Attempts without any answer: no connection, a reset or silence.
    pub dark: u64,
    /// Attempts begun, whatever became of them.
    pub sent: u64,
    /// How long the served ones took.
    pub latencies: Latencies,
}

/// How a sidecar sees a site, over more than one report: a small share of its traffic goes to most sites, so that one
/// report seldom has enough of them to tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    /// Whether it has answered lately: within the reports that count at a time.
    pub lit: bool,
    /// Attempts without any answer since the last answer; 0 where the last of them is not lately.
    pub dark: u64,
}

/// A sidecar's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The sidecar's name, the same after a restart.
    pub origin: String,
    /// When its process started, Unix ms: it grows from restart to restart.
    pub incarnation: u64,
    /// Counts the process's reports, from 1.
    pub sequence: u64,
    /// The site that the sidecar is in.
    pub site: String,
    /// The time that the counts are of, in ms.
    pub span_ms: u64,
    /// What was asked for.
    pub demand: Vec<Demand>,
    /// What became of it.
    pub traffic: Vec<Traffic>,
    /// How it sees the sites that it tried lately.
    #[serde(default)]
    pub sights: BTreeMap<String, Sight>,
    /// The plan that it goes by, and for how long already in ms; `None` where it goes by its own judgement.
    pub plan: Option<(PlanMark, u64)>,
}

/// Why a report is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// A name, count or time that is out of bounds.
    #[error("{0} is out of bounds")]
    Malformed(&'static str),
    /// One as new is there already.
    #[error("an older report than the one held")]
    Older,
    /// It had ceased to count before it came.
    #[error("past its time")]
    Past,
    /// Reports of as many origins as may be are held.
    #[error("too many origins")]
    Full,
}

impl Report {
    /// Checks what the types can't say.
    ///
    /// # Errors
    /// [`ReportError::Malformed`], with the part that is out of bounds.
    pub fn check(&self) -> Result<(), ReportError> {
        let name = |text: &str| !text.is_empty() && text.len() <= MOST_NAME;
        let bad = |part| Err(ReportError::Malformed(part));
        if !name(&self.origin) || !name(&self.site) {
            return bad("origin or site");
        }
        if self.sequence == 0 || !(1..=MOST_SPAN_MS).contains(&self.span_ms) {
            return bad("sequence or span_ms");
        }
        if self.demand.len() + self.traffic.len() + self.sights.len() > MOST_LINES {
            return bad("the number of lines");
        }
        // An empty tenant is one that the request did not name.
        let tenant = |text: &str| text.len() <= MOST_NAME;
        for line in &self.demand {
            let work = line.work_ms.is_finite() && (0.0..=MOST_COUNT as f64 * 1e3).contains(&line.work_ms);
            let counts = line.requests <= MOST_COUNT && line.refused <= line.requests;
            if !tenant(&line.tenant) || !name(&line.class) || !work || !counts {
                return bad("a line of demand");
            }
        }
        for line in &self.traffic {
            let counts = line.sent <= MOST_COUNT && line.answered.max(line.dark) <= MOST_COUNT;
            let adds_up = line.served <= line.answered && line.latencies.count() <= line.served;
            if !name(&line.site) || !tenant(&line.tenant) || !counts || !adds_up {
                return bad("a line of traffic");
            }
        }
        if !self.sights.iter().all(|(site, sight)| name(site) && sight.dark <= MOST_COUNT) {
            return bad("a sight");
        }
        Ok(())
    }
}

/// A report as held: when it first came, by the holder's clock in ms.
#[derive(Clone, Debug, PartialEq)]
struct Entry {
    report: Report,
    since: u64,
}

/// A report on its way from one holder to another, with the age in ms that it has reached.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Aged {
    /// The report.
    pub report: Report,
    /// Its age, in ms.
    pub age_ms: u64,
}

/// The latest report of each sidecar.
#[derive(Debug, Default)]
pub struct Ledger {
    latest: BTreeMap<String, Entry>,
}

impl Ledger {
    /// Takes a report that comes at `now_ms` and is `age_ms` old already (0 from its sidecar itself).
    ///
    /// # Errors
    /// [`ReportError::Malformed`]; [`ReportError::Older`] where one with as high an incarnation and sequence is
    /// held; [`ReportError::Past`]; [`ReportError::Full`] where it would be one origin too many, though what is long
    /// past was dropped. None of them changes what is held.
    pub fn take(&mut self, report: Report, age_ms: u64, now_ms: u64) -> Result<(), ReportError> {
        report.check()?;
        if age_ms >= COUNTS_MS {
            return Err(ReportError::Past);
        }
        let mark = |report: &Report| (report.incarnation, report.sequence);
        if self.latest.get(&report.origin).is_some_and(|held| mark(&held.report) >= mark(&report)) {
            return Err(ReportError::Older);
        }
        if self.latest.len() >= MOST_ORIGINS && !self.latest.contains_key(&report.origin) {
            self.sweep(now_ms);
            if self.latest.len() >= MOST_ORIGINS {
                return Err(ReportError::Full);
            }
        }
        let since = now_ms.saturating_sub(age_ms);
        self.latest.insert(report.origin.clone(), Entry { report, since });
        Ok(())
    }

    /// Drops what is long past. Its marks are kept for ten times as long as it counts, so that one delayed on its
    /// way does not come back to life.
    pub fn sweep(&mut self, now_ms: u64) {
        self.latest.retain(|_, held| now_ms < held.since + 10 * COUNTS_MS);
    }

    /// The reports that count at `now_ms`.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &Report> {
        self.live_aged(now_ms).map(|(report, _)| report)
    }

    /// The same, each with its age in ms.
    pub fn live_aged(&self, now_ms: u64) -> impl Iterator<Item = (&Report, u64)> {
        let live = self.latest.values().filter(move |held| now_ms < held.since + COUNTS_MS);
        live.map(move |held| (&held.report, now_ms.saturating_sub(held.since)))
    }

    /// Those that are at most so old in ms, for another holder.
    pub fn aged(&self, most_ms: u64, now_ms: u64) -> Vec<Aged> {
        let young = self.live_aged(now_ms).filter(|(_, age_ms)| *age_ms <= most_ms);
        young.map(|(report, age_ms)| Aged { report: report.clone(), age_ms }).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(incarnation: u64, sequence: u64) -> Report {
        Report {
            origin: "n1".to_owned(),
            incarnation,
            sequence,
            site: "a".to_owned(),
            span_ms: 1_000,
            demand: Vec::new(),
            traffic: Vec::new(),
            sights: BTreeMap::new(),
            plan: None,
        }
    }

    #[test]
    fn a_report_counts_for_its_bound_from_its_first_receipt_whatever_way_it_takes() {
        let (mut first, mut second) = (Ledger::default(), Ledger::default());
        assert_eq!(first.take(report(5, 1), 0, 1_000), Ok(()));
        let aged = first.aged(COUNTS_MS, 2_000).pop().expect("live");
        assert_eq!(aged.age_ms, 1_000);
        // The second holder's clock is another; the report has 2 s left there.
        assert_eq!(second.take(aged.report.clone(), aged.age_ms, 50_000), Ok(()));
        assert_eq!((second.live(51_999).count(), second.live(52_000).count()), (1, 0));
        assert_eq!(second.take(report(5, 2), COUNTS_MS, 50_000), Err(ReportError::Past));
        assert!(first.aged(999, 2_000).is_empty() && first.aged(COUNTS_MS, 4_000).is_empty());
    }

    #[test]
    fn older_incarnations_and_sequences_never_come_back() {
        let mut ledger = Ledger::default();
        assert_eq!(ledger.take(report(5, 9), 0, 0), Ok(()));
        for older in [report(5, 9), report(5, 8), report(4, 99)] {
            assert_eq!(ledger.take(older, 0, 10), Err(ReportError::Older));
        }
        assert_eq!(ledger.take(report(6, 1), 0, 10), Ok(()), "a restart counts anew");
        ledger.sweep(20_000);
        assert_eq!(ledger.take(report(5, 10), 0, 20_000), Err(ReportError::Older), "still remembered");
    }

    #[test]
    fn no_more_origins_are_held_than_may_be_until_some_are_long_past() {
        let (mut ledger, of) =
            (Ledger::default(), |n: usize| Report { origin: n.to_string(), ..report(5, 1) });
        assert!((0..MOST_ORIGINS).all(|n| ledger.take(of(n), 0, n as u64 / 64) == Ok(())));
        assert_eq!(ledger.take(of(MOST_ORIGINS), 0, 10 * COUNTS_MS - 1), Err(ReportError::Full));
        let newer = Report { sequence: 2, ..of(MOST_ORIGINS - 1) };
        assert_eq!(ledger.take(newer, 0, 100), Ok(()), "it is one of them");
        assert_eq!(ledger.take(of(MOST_ORIGINS), 0, 10 * COUNTS_MS), Ok(()), "the first are forgotten");
        assert_eq!(ledger.latest.len(), MOST_ORIGINS + 1 - 64);
    }

    #[test]
    fn what_is_out_of_bounds_is_refused_whole() {
        let traffic = Traffic { site: "b".to_owned(), answered: 1, served: 1, sent: 1, ..Traffic::default() };
        let demand =
            Demand { tenant: String::new(), class: "c".into(), requests: 1, work_ms: 5.0, refused: 0 };
        let good = Report { traffic: vec![traffic.clone()], demand: vec![demand.clone()], ..report(1, 1) };
        assert_eq!(good.check(), Ok(()));
        for bad in [
            Report { origin: String::new(), ..good.clone() },
            Report { sequence: 0, ..good.clone() },
            Report { span_ms: 0, ..good.clone() },
            Report { traffic: vec![Traffic { served: 2, ..traffic.clone() }], ..good.clone() },
            Report { traffic: vec![Traffic { dark: u64::MAX, ..traffic }], ..good.clone() },
            Report { demand: vec![Demand { work_ms: f64::NAN, ..demand.clone() }], ..good.clone() },
            Report { sights: BTreeMap::from([(String::new(), Sight::default())]), ..good.clone() },
            Report { demand: vec![Demand { refused: 2, ..demand.clone() }], ..good.clone() },
            Report { demand: vec![demand; MOST_LINES + 1], ..good },
        ] {
            assert!(matches!(Ledger::default().take(bad, 0, 0), Err(ReportError::Malformed(_))));
        }
    }
}
