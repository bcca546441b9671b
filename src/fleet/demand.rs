//! What is asked of the fleet, by site, tenant and class, from live reports. It rises at once and falls slowly: a
//! report that is late or lost must not look like clients that went home.

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

/// A value that is followed down slowly.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Falling {
    latest: f64,
    mean: f64,
}

impl Falling {
    /// Takes the value of now, `passed_ms` after the last.
    fn note(&mut self, value: f64, passed_ms: u64) {
        self.mean += (value - self.mean) * (1.0 - (-(passed_ms as f64) / FALL_MS).exp());
        self.latest = value;
    }

    /// The higher of the latest value and its mean.
    fn value(&self) -> f64 {
        self.latest.max(self.mean)
    }
}

/// The demand as it is known.
#[derive(Debug, Default)]
pub struct Demand {
    /// By site, tenant and class.
    held: BTreeMap<(String, String, String), Falling>,
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
        for report in reports {
            for line in &report.demand {
                let named = config.tenants.contains_key(&line.tenant);
                let tenant = if named { line.tenant.as_str() } else { ANY };
                let work = line.work_ms * 1e3 / report.span_ms as f64;
                *asked.entry((&report.site, tenant, &line.class)).or_default() += work;
            }
        }
        for ((site, tenant, class), held) in &mut self.held {
            let work = asked.get(&(site.as_str(), tenant.as_str(), class.as_str()));
            held.note(work.copied().unwrap_or(0.0), passed);
        }
        for ((site, tenant, class), work) in asked {
            let key = (site.to_owned(), tenant.to_owned(), class.to_owned());
            self.held.entry(key).or_insert(Falling { latest: work, mean: work });
        }
        self.held.retain(|_, held| held.value() > NOTHING);
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
        let ask = |((site, tenant, class), held): (&(String, String, String), &Falling)| Ask {
            site: site.clone(),
            tenant: tenant.clone(),
            class: class.clone(),
            work: held.value(),
        };
        self.held.iter().map(ask).collect()
    }

    /// All of it, in ms of work a second.
    pub fn total(&self) -> f64 {
        self.held.values().map(Falling::value).sum()
    }

    /// The highest total of the last ten seconds.
    pub fn highest(&self) -> f64 {
        self.highest.iter().map(|(_, total)| *total).fold(0.0, f64::max)
    }
}
