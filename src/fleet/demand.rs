//! What is asked of the fleet, by site, tenant and class, from live reports. What is no chance rises at once, and
//! all falls slowly: a report that is late or lost must not look like clients that went home.

use super::config::FleetConfig;
use super::placement::Ask;
use super::plan::ANY;
use super::report::Report;
use std::collections::{BTreeMap, VecDeque};

/// The time constant in ms by which demand that is reported no longer falls: two of the sidecars' reports.
const FALL_MS: f64 = 2_000.0;
/// Work a second that is as good as none, in ms.
const NOTHING: f64 = 0.01;
/// How far back the highest demand is looked for, in ms: clients' bursts come again within some seconds.
const HIGHEST_MS: u64 = 10_000;

/// How many times the scatter of its requests' number a site's demand has to be above its mean to be a rise and no
/// chance. Were the higher of both taken, line by line, the sum would be what each line's best second was, and the plan
/// would refuse what there is room for.
const CHANCE: f64 = 3.0;

/// What one sidecar asks for counts up to so many times what the middle one of those that ask does, where there are
/// enough of them to tell: some have several times the others' traffic, and one that lies must not crowd out the rest.
const MOST_OF_MEDIAN: f64 = 16.0;
const ENOUGH: usize = 5;
/// Counts of a shorter time than that between two early reports tell no rate.
const LEAST_SPAN_MS: u64 = 250;

/// A value and its mean over the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Followed {
    latest: f64,
    mean: f64,
}

impl Followed {
    /// Takes the value of now, `passed_ms` after the last.
    fn note(&mut self, value: f64, passed_ms: u64) {
        self.mean += (value - self.mean) * (1.0 - (-(passed_ms as f64) / FALL_MS).exp());
        self.latest = value;
    }
}

/// What is asked at a site in all.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    latest: f64,
    mean: f64,
    /// Requests in a second, now.
    requests: f64,
}

impl Sum {
    fn is_rise(&self) -> bool {
        self.latest > self.mean * (1.0 + CHANCE / self.requests.max(1.0).sqrt())
    }
}

/// The demand as it is known.
#[derive(Debug, Default)]
pub struct Demand {
    /// By site, tenant and class.
    held: BTreeMap<(String, String, String), Followed>,
    /// The highest total of each second of late.
    highest: VecDeque<(u64, f64)>,
    last_ms: Option<u64>,
}

impl Demand {
    /// Takes what the live reports say. A tenant that the configuration does not name counts as [`ANY`].
    pub fn note<'a>(&mut self, config: &FleetConfig, reports: impl Iterator<Item = &'a Report>, now_ms: u64) {
        let passed = self.last_ms.map_or(0, |last| now_ms.saturating_sub(last));
        self.last_ms = Some(now_ms);
        let mut asked: BTreeMap<(&str, &str, &str), f64> = BTreeMap::new();
        let mut sites: BTreeMap<&str, Sum> = BTreeMap::new();
        let reports: Vec<(&Report, f64)> = reports.map(|report| (report, work(report))).collect();
        let most = most(reports.iter().map(|(_, work)| *work).collect());
        for (report, work) in reports {
            let a_second = a_second(report) * (most / work.max(NOTHING)).min(1.0);
            for line in &report.demand {
                let named = config.tenants.contains_key(&line.tenant);
                let tenant = if named { line.tenant.as_str() } else { ANY };
                *asked.entry((&report.site, tenant, &line.class)).or_default() += line.work_ms * a_second;
                sites.entry(&report.site).or_default().requests += line.requests as f64 * a_second;
            }
        }
        for ((site, tenant, class), held) in &mut self.held {
            let work = asked.get(&(site.as_str(), tenant.as_str(), class.as_str()));
            held.note(work.copied().unwrap_or(0.0), passed);
        }
        for ((site, tenant, class), work) in asked {
            let key = (site.to_owned(), tenant.to_owned(), class.to_owned());
            self.held.entry(key).or_insert(Followed { latest: work, mean: work });
        }
        for ((site, ..), held) in &self.held {
            if let Some(sum) = sites.get_mut(site.as_str()) {
                (sum.latest, sum.mean) = (sum.latest + held.latest, sum.mean + held.mean);
            }
        }
        // A burst counts at once, and whole.
        for ((site, ..), held) in &mut self.held {
            if sites.get(site.as_str()).is_some_and(Sum::is_rise) {
                held.mean = held.latest;
            }
        }
        self.held.retain(|_, held| held.mean > NOTHING);
        let (second, total) = (now_ms / 1_000, self.total());
        match self.highest.back_mut() {
            Some((at, highest)) if *at == second => *highest = highest.max(total),
            _ => self.highest.push_back((second, total)),
        }
        let past = now_ms.saturating_sub(HIGHEST_MS) / 1_000;
        self.highest.retain(|(at, _)| *at >= past);
    }

    /// What is asked for.
    pub fn asks(&self) -> Vec<Ask> {
        let ask = |((site, tenant, class), held): (&(String, String, String), &Followed)| Ask {
            site: site.clone(),
            tenant: tenant.clone(),
            class: class.clone(),
            work: held.mean,
        };
        self.held.iter().map(ask).collect()
    }

    /// All of it, in ms of work a second.
    pub fn total(&self) -> f64 {
        self.held.values().map(|held| held.mean).sum()
    }

    /// The highest total of the last ten seconds.
    pub fn highest(&self) -> f64 {
        self.highest.iter().map(|(_, total)| *total).fold(0.0, f64::max)
    }
}

/// What a report's counts are to be taken times for what they are in a second.
fn a_second(report: &Report) -> f64 {
    1e3 / report.span_ms.max(LEAST_SPAN_MS) as f64
}

/// What a sidecar asks for in all, in ms of work a second.
fn work(report: &Report) -> f64 {
    report.demand.iter().map(|line| line.work_ms).sum::<f64>() * a_second(report)
}

/// The most that one sidecar's demand counts, by what each asks for.
fn most(mut works: Vec<f64>) -> f64 {
    works.retain(|work| *work > NOTHING);
    works.sort_by(f64::total_cmp);
    if works.len() < ENOUGH { f64::INFINITY } else { works[works.len() / 2] * MOST_OF_MEDIAN }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::report::Demand as Line;

    #[test]
    fn scatter_adds_nothing_a_burst_counts_at_once_and_silence_falls_slowly() {
        let report = |origin: usize, requests: u64| Report {
            origin: format!("n{origin}"),
            incarnation: 1,
            sequence: 1,
            site: "praha".to_owned(),
            span_ms: 1_000,
            demand: vec![Line {
                tenant: String::new(),
                class: format!("c{origin}"),
                requests,
                work_ms: requests as f64 * 10.0,
                refused: 0,
            }],
            traffic: Vec::new(),
            sights: BTreeMap::new(),
            plan: None,
        };
        let (mut demand, mut now, mut rng) = (Demand::default(), 0, fastrand::Rng::with_seed(7));
        let mut tell = |demand: &mut Demand, counts: &[u64]| {
            let reports = counts.iter().enumerate().map(|(n, requests)| report(n, *requests));
            now += 250;
            demand.note(&FleetConfig::default(), reports.collect::<Vec<_>>().iter(), now);
            demand.total()
        };
        // 20 lines of 10 requests a second, 100 ms of work, each by chance from 5 to 15.
        let mut totals = Vec::new();
        for _ in 0..400 {
            let counts: Vec<u64> = (0..20).map(|_| rng.u64(5..=15)).collect();
            totals.push(tell(&mut demand, &counts) / 2_000.0);
        }
        let mean = totals[40..].iter().sum::<f64>() / 360.0;
        assert!((0.99..1.01).contains(&mean), "{mean}");
        let burst = tell(&mut demand, &[15; 20]);
        assert!((burst - 3_000.0).abs() < 1.0, "{burst}");
        assert!(tell(&mut demand, &[]) > 2_500.0, "one missed look is no fall");
        assert!((0..40).map(|_| tell(&mut demand, &[])).last().is_some_and(|left| left < 50.0));
        // One that claims a million requests a second counts as 16 of the others.
        let lied = tell(&mut demand, &[10, 10, 10, 10, 1_000_000]);
        assert!((lied - 2_000.0).abs() < 1.0, "{lied}");
    }
}
