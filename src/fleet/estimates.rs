//! What reports say of the latency that a tenant has at a site: counts by time that add up, and are forgotten.

use super::config::FleetConfig;
use super::report::{COUNTS_MS, Report, Traffic};
use std::collections::{BTreeMap, VecDeque};

/// The fewest answers that a share is told from.
pub const SAMPLES: u64 = 100;
/// The time that the latest share is of at least, in ms: two of the sidecars' reports, as their seconds differ.
const RECENT_MS: u64 = 2_000;
/// Buckets by width in ms and number: a minute finely, a quarter of an hour, and a day. What grows too old for one row
/// is added to the next, so that any window is read to half of its length at least, and memory is bounded.
const ROWS: [(u64, usize); 3] = [(500, 120), (10_000, 90), (900_000, 96)];
/// The most sidecars whose reports are told apart: some thirty times the largest fleet measured.
const MOST_ORIGINS: usize = 10_000;

/// A share of answers within a time, and what it is told from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// From 0 to 1. Failed attempts count as not within.
    pub share: f64,
    /// The answers and failures it is told from.
    pub count: u64,
    /// The age of the newest of them, in ms.
    pub newest_age_ms: u64,
}

/// Answers by latency in µs, in growing order: a histogram's sparse form, a twentieth of its size here.
#[derive(Debug, Default)]
struct Bucket {
    start: u64,
    served: Vec<(u64, u64)>,
    failed: u64,
}

impl Bucket {
    fn add(&mut self, served: Vec<(u64, u64)>, failed: u64) {
        self.failed = self.failed.saturating_add(failed);
        if self.served.is_empty() {
            self.served = served;
            return;
        }
        for (us, count) in served {
            match self.served.binary_search_by_key(&us, |&(us, _)| us) {
                Ok(at) => self.served[at].1 = self.served[at].1.saturating_add(count),
                Err(at) => self.served.insert(at, (us, count)),
            }
        }
    }
}

/// Counts of one tenant at one site, by time.
#[derive(Debug, Default)]
struct Series {
    rows: [VecDeque<Bucket>; ROWS.len()],
    newest: u64,
}

impl Series {
    fn add(&mut self, at_ms: u64, served: Vec<(u64, u64)>, failed: u64) {
        self.newest = self.newest.max(at_ms);
        self.add_to(0, at_ms, served, failed);
    }

    fn add_to(&mut self, row: usize, at_ms: u64, served: Vec<(u64, u64)>, failed: u64) {
        let start = at_ms - at_ms % ROWS[row].0;
        let buckets = &mut self.rows[row];
        let at = buckets.partition_point(|bucket| bucket.start < start);
        if buckets.get(at).is_none_or(|bucket| bucket.start != start) {
            buckets.insert(at, Bucket { start, ..Bucket::default() });
        }
        buckets[at].add(served, failed);
    }

    /// Hands on what is too old for its row, and drops what is older than the longest window.
    fn roll(&mut self, longest_ms: u64, now_ms: u64) {
        for (row, (width, most)) in ROWS.into_iter().enumerate() {
            let kept = now_ms.saturating_sub(width * most as u64);
            while self.rows[row].front().is_some_and(|b| b.start < kept || self.rows[row].len() > most) {
                let Some(old) = self.rows[row].pop_front() else { break };
                if row + 1 < ROWS.len() && longest_ms > width * most as u64 {
                    self.add_to(row + 1, old.start, old.served, old.failed);
                }
            }
        }
        let past = now_ms.saturating_sub(longest_ms);
        for row in &mut self.rows {
            row.retain(|bucket| bucket.start >= past);
        }
    }

    fn newest_first(&self) -> impl Iterator<Item = &Bucket> {
        self.rows.iter().flat_map(|row| row.iter().rev())
    }
}

/// Counts within each of some times, and in all.
struct Tally<const N: usize> {
    most_us: [u64; N],
    within: [u64; N],
    count: u64,
}

impl<const N: usize> Tally<N> {
    fn new(targets_ms: [f64; N]) -> Tally<N> {
        Tally { most_us: targets_ms.map(|ms| (ms * 1e3) as u64), within: [0; N], count: 0 }
    }

    fn add(&mut self, bucket: &Bucket) {
        for &(us, count) in &bucket.served {
            self.count += count;
            for (within, most) in self.within.iter_mut().zip(self.most_us) {
                *within += if us <= most { count } else { 0 };
            }
        }
        self.count += bucket.failed;
    }

    fn shares(&self) -> Option<[f64; N]> {
        (self.count >= SAMPLES).then(|| self.within.map(|within| within as f64 / self.count as f64))
    }
}

/// Latencies by tenant and site over time. Only tenants with a contract, and only sites that are configured, are held.
#[derive(Debug, Default)]
pub struct Estimates {
    series: BTreeMap<String, BTreeMap<String, Series>>,
    /// The newest report of each sidecar: incarnation and sequence, and when it came.
    marks: BTreeMap<String, ((u64, u64), u64)>,
}

impl Estimates {
    /// Counts a checked report that is `age_ms` old at `now_ms`. One that was counted, or an older one, adds nothing,
    /// so that all live reports can be handed in at each tick.
    pub fn take(&mut self, config: &FleetConfig, report: &Report, age_ms: u64, now_ms: u64) {
        let mark = (report.incarnation, report.sequence);
        let held = self.marks.get(&report.origin);
        if held.is_some_and(|&(held, _)| held >= mark) || (held.is_none() && self.marks.len() >= MOST_ORIGINS)
        {
            return;
        }
        self.marks.insert(report.origin.clone(), (mark, now_ms));
        let at_ms = now_ms.saturating_sub(age_ms);
        for line in &report.traffic {
            let held = config.contracts.iter().any(|contract| contract.tenant == line.tenant);
            let Traffic { answered, served, dark, .. } = *line;
            let failed = answered.saturating_sub(served).saturating_add(dark);
            if held && config.sites.contains_key(&line.site) && line.latencies.count() + failed > 0 {
                let sites = self.series.entry(line.tenant.clone()).or_default();
                let series = sites.entry(line.site.clone()).or_default();
                series.add(at_ms, line.latencies.clone().into(), failed);
            }
        }
    }

    /// Forgets what is past the longest window of its tenant, or is no longer configured. To be called each tick.
    pub fn sweep(&mut self, config: &FleetConfig, now_ms: u64) {
        self.marks.retain(|_, (_, since)| now_ms < *since + 10 * COUNTS_MS);
        self.series.retain(|tenant, sites| {
            let windows = config.contracts.iter().filter(|contract| contract.tenant == *tenant);
            let longest = windows.map(|contract| contract.window_ms).max().unwrap_or(0);
            sites.retain(|site, series| {
                series.roll(longest, now_ms);
                config.sites.contains_key(site) && series.newest_first().next().is_some()
            });
            !sites.is_empty()
        });
    }

    /// The share of a tenant's answers at a site within the target, over the window. `None` under [`SAMPLES`]
    /// answers, or where the newest is older than the window. Answers past the window are not counted.
    pub fn share_within(
        &self, tenant: &str, site: &str, target_ms: f64, window_ms: u64, now_ms: u64,
    ) -> Option<Estimate> {
        let series = self.series.get(tenant)?.get(site)?;
        estimate([series].into_iter(), target_ms, window_ms, now_ms)
    }

    /// The same over all sites.
    pub fn share_in_all(
        &self, tenant: &str, target_ms: f64, window_ms: u64, now_ms: u64,
    ) -> Option<Estimate> {
        estimate(self.series.get(tenant)?.values(), target_ms, window_ms, now_ms)
    }

    /// The latest shares within each of the targets: over 2 s, or as long as it takes back to `enough` answers, but
    /// never past the window. `None` as for [`Estimates::share_within`].
    pub fn latest<const N: usize>(
        &self, tenant: &str, site: &str, targets_ms: [f64; N], enough: u64, window_ms: u64, now_ms: u64,
    ) -> Option<[f64; N]> {
        let series = self.series.get(tenant)?.get(site)?;
        let mut tally = Tally::new(targets_ms);
        let inside = |bucket: &&Bucket| bucket.start + window_ms >= now_ms;
        for bucket in series.newest_first().take_while(inside) {
            if bucket.start + RECENT_MS < now_ms && tally.count >= enough {
                break;
            }
            tally.add(bucket);
        }
        tally.shares()
    }
}

fn estimate<'a>(
    series: impl Iterator<Item = &'a Series>, target_ms: f64, window_ms: u64, now_ms: u64,
) -> Option<Estimate> {
    let (mut tally, mut newest) = (Tally::new([target_ms]), 0);
    for series in series {
        newest = newest.max(series.newest);
        let inside = |bucket: &&Bucket| bucket.start + window_ms >= now_ms;
        series.newest_first().take_while(inside).for_each(|bucket| tally.add(bucket));
    }
    let [share] = tally.shares()?;
    Some(Estimate { share, count: tally.count, newest_age_ms: now_ms.saturating_sub(newest) })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::config::{Contract, SiteConfig};
    use crate::fleet::latency::Latencies;

    fn config(window_ms: u64) -> FleetConfig {
        let site = SiteConfig { region: "west".to_owned(), rate: 1.0 };
        let contract = Contract { tenant: "t".to_owned(), percentile: 95.0, target_ms: 100.0, window_ms };
        FleetConfig {
            sites: BTreeMap::from([("a".to_owned(), site)]),
            contracts: vec![contract],
            ..FleetConfig::default()
        }
    }

    fn report(sequence: u64, ms: f64, served: u64, dark: u64) -> Report {
        let latencies = Latencies::try_from(vec![((ms * 1e3) as u64, served)]).expect("in bounds");
        let (site, tenant) = ("a".to_owned(), "t".to_owned());
        let line = Traffic { site, tenant, answered: served, served, dark, sent: served + dark, latencies };
        Report {
            origin: "n1".to_owned(),
            incarnation: 1,
            sequence,
            site: "a".to_owned(),
            span_ms: 1_000,
            demand: Vec::new(),
            traffic: vec![line],
            sights: BTreeMap::new(),
            plan: None,
        }
    }

    #[test]
    fn each_report_counts_once_for_the_window_and_failures_are_not_within() {
        let (config, mut held) = (config(10_000), Estimates::default());
        let read = |held: &Estimates, now| held.share_within("t", "a", 100.0, 10_000, now);
        held.take(&config, &report(1, 20.0, 99, 0), 0, 5_000);
        assert_eq!(read(&held, 5_000), None, "too few");
        for _ in 0..3 {
            held.take(&config, &report(2, 20.0, 51, 50), 2_000, 8_000);
        }
        let some = Estimate { share: 0.75, count: 200, newest_age_ms: 2_000 };
        assert_eq!((read(&held, 8_000), read(&held, 15_000).map(|e| e.count)), (Some(some), Some(200)));
        assert_eq!(read(&held, 15_001).map(|e| e.count), Some(101), "the first is past the window");
        assert_eq!(read(&held, 16_001), None, "all are");
        assert_eq!(held.latest("t", "a", [100.0], 100, 10_000, 8_000), Some([51.0 / 101.0]));
        held.sweep(&config, 16_001);
        assert!(held.series.is_empty());
    }

    #[test]
    fn a_day_is_held_in_bounded_memory_and_read_over_its_windows() {
        let (config, mut held) = (config(86_400_000), Estimates::default());
        let mut four = report(0, 20.0, 4, 0);
        for at in 1..10_000 {
            four.sequence = at;
            held.take(&config, &four, 0, at * 10_000);
            held.sweep(&config, at * 10_000);
        }
        let now = 99_990_000;
        let buckets = held.series["t"]["a"].newest_first().count();
        assert!(buckets <= 120 + 90 + 96 + 30, "{buckets}");
        for (window, least) in [(300_000, 114), (3_600_000, 1_080), (86_400_000, 34_000)] {
            let count = held.share_within("t", "a", 100.0, window, now).expect("enough").count;
            assert!((least..=window / 2_500 + 4).contains(&count), "{window}: {count}");
        }
    }
}
