//! Contracts: whether a site meets what a tenant was promised, and how much of its error budget is burnt.

use super::config::{Contract, FleetConfig};
use super::estimates::{Estimates, SAMPLES};

/// A site meets a target with a margin where enough answers come within this part of it.
const MARGIN: f64 = 0.9;
/// The misses that the shares of a moment are to allow for, at a contract's limit: with fewer, one more or less turns
/// the verdict.
const MISSES: f64 = 4.0;
/// The oldest answers that traffic is steered by, in ms: what a site did before is no sign of what it does.
const STEER_MS: u64 = 300_000;

/// What a site is for a tenant, by the latest answers; the worse is the higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It meets all targets with a margin: traffic may move there.
    Meets,
    /// It meets them, some without the margin: traffic stays.
    Barely,
    /// It misses one.
    Misses,
}

/// A site's latest shares for one contract of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latest {
    /// The share that is promised, from 0 to 1.
    pub promised: f64,
    /// The share within the target.
    pub within: f64,
    /// The share within the target less the margin.
    pub well_within: f64,
}

impl Latest {
    /// The verdict by this contract alone.
    pub fn verdict(&self) -> Verdict {
        if self.within < self.promised {
            Verdict::Misses
        } else if self.well_within < self.promised {
            Verdict::Barely
        } else {
            Verdict::Meets
        }
    }
}

/// The contracts of a tenant, in their order in the configuration.
pub fn of<'a>(config: &'a FleetConfig, tenant: &'a str) -> impl Iterator<Item = &'a Contract> {
    config.contracts.iter().filter(move |contract| contract.tenant == tenant)
}

/// A site's latest shares for a contract; `None` where the evidence is too thin or past its bound.
pub fn latest(estimates: &Estimates, contract: &Contract, site: &str, now_ms: u64) -> Option<Latest> {
    let promised = contract.percentile / 100.0;
    let enough = SAMPLES.max((MISSES / (1.0 - promised)).ceil() as u64);
    let targets = [contract.target_ms, contract.target_ms * MARGIN];
    let window = contract.window_ms.min(STEER_MS);
    let [within, well_within] = estimates.latest(&contract.tenant, site, targets, enough, window, now_ms)?;
    Some(Latest { promised, within, well_within })
}

/// How much of a contract's error budget its window has burnt: 1 is all of it, more is a breach. `None` without
/// enough answers.
pub fn burn(estimates: &Estimates, contract: &Contract, now_ms: u64) -> Option<f64> {
    let Contract { tenant, percentile, target_ms, window_ms } = contract;
    let all = estimates.share_in_all(tenant, *target_ms, *window_ms, now_ms)?;
    Some((1.0 - all.share) / (1.0 - percentile / 100.0))
}

/// A contract's name in reports: its tenant and percentile.
pub fn name(contract: &Contract) -> String {
    format!("{}:p{}", contract.tenant, contract.percentile)
}
