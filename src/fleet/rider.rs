//! A tenant's traffic within one step of steering: where it goes, where placement would send it, and what the latest
//! answers say of both.

use super::config::Contract;
use super::plan::Shares;
use super::targets::{Latest, Verdict};
use std::collections::BTreeMap;

/// Kept on every open site, so that its estimate stays fresh; where the site is known to miss a target, no more than
/// half of the contract's error budget goes to such sites in all.
const FRESH: f64 = 0.02;
/// The part of the traffic that a verdict on all of it needs evidence of.
const KNOWN: f64 = 0.5;
/// Shares and parts of work under this are nothing.
pub const NIL: f64 = 1e-9;

/// A tenant's traffic from one origin, in a step.
pub struct Lane {
    /// The site that the traffic starts from.
    pub origin: String,
    /// Its work, in ms a second.
    pub load: f64,
    /// Placement's shares, which add up to 1.
    pub base: Shares,
    /// Its shares now.
    pub now: Shares,
    /// The part of it that goes to open sites.
    pub open_part: f64,
}

impl Lane {
    /// A lane at placement's shares; `None` where these are none.
    pub fn new(origin: &str, load: f64, base: &Shares, open: &[&str]) -> Option<Lane> {
        let all: f64 = base.values().sum();
        let base: Shares = base.iter().map(|(site, share)| (site.clone(), share / all)).collect();
        let open_part = open.iter().map(|site| share(&base, site)).sum();
        let now = base.clone();
        (all > NIL).then(|| Lane { origin: origin.to_owned(), load, base, now, open_part })
    }

    /// The lane with offsets to placement's shares of open sites. Closed sites keep placement's exactly.
    pub fn offset(mut self, offsets: &Shares, open: &[&str]) -> Lane {
        let wanted = |site: &&str| (share(&self.base, site) + share(offsets, site)).max(0.0);
        let all: f64 = open.iter().map(wanted).sum();
        if all > NIL {
            let scaled = |site: &&str| ((*site).to_owned(), wanted(site) / all * self.open_part);
            let shares: Shares = open.iter().map(scaled).collect();
            self.now.extend(shares);
        }
        self
    }

    /// The lane at published shares, as far as they are of open sites.
    pub fn go_on(self, published: &Shares, open: &[&str]) -> Lane {
        let all: f64 = published.values().sum();
        if all <= NIL {
            return self;
        }
        let over = |site: &&str| share(published, site) / all - share(&self.base, site);
        let offsets = open.iter().map(|site| ((*site).to_owned(), over(site))).collect();
        self.offset(&offsets, open)
    }

    /// The share of a site over placement's.
    pub fn over(&self, site: &str) -> f64 {
        share(&self.now, site) - share(&self.base, site)
    }

    /// Moves a part of the traffic.
    pub fn shift(&mut self, from: &str, to: &str, part: f64, work: &mut Shares) {
        for (site, part) in [(from, -part), (to, part)] {
            let held = self.now.entry(site.to_owned()).or_default();
            *held = (*held + part).max(0.0);
            *work.entry(site.to_owned()).or_default() += part * self.load;
        }
    }

    /// Gives a part of the traffic back to the sites that it was taken from, among those that may have it.
    pub fn give_back(&mut self, from: &str, part: f64, may: impl Fn(&str) -> bool, work: &mut Shares) {
        let owed = |(site, _): (&String, &f64)| {
            let owed = -self.over(site);
            (site != from && owed > NIL && may(site)).then(|| (site.clone(), owed))
        };
        let owed: Vec<(String, f64)> = self.now.iter().filter_map(owed).collect();
        let all: f64 = owed.iter().map(|(_, owed)| owed).sum();
        let part = part.min(all).min(share(&self.now, from));
        for (site, owed) in owed {
            self.shift(from, &site, part * owed / all, work);
        }
    }
}

/// A tenant in a step.
pub struct Rider<'a> {
    /// Its name.
    pub tenant: &'a str,
    /// Its contracts.
    pub contracts: Vec<&'a Contract>,
    /// The part of its error budget that is burnt, at its worst contract.
    pub burn: f64,
    /// Its traffic, by origin.
    pub lanes: Vec<Lane>,
    /// The latest shares of each contract, by open site, as far as there is enough evidence.
    pub seen: BTreeMap<String, Vec<Option<Latest>>>,
    /// Sites that have missed a target not long ago.
    pub missed: Vec<String>,
    /// How much of its share may still move in this step.
    pub left: f64,
}

/// A site's share; 0 where none is named.
pub fn share(shares: &Shares, site: &str) -> f64 {
    shares.get(site).copied().unwrap_or(0.0)
}

impl Rider<'_> {
    /// Its work, in ms a second.
    pub fn work(&self) -> f64 {
        self.lanes.iter().map(|lane| lane.load).sum()
    }

    /// The part of its traffic that goes to a site.
    pub fn part(&self, site: &str) -> f64 {
        let all = self.work();
        let even = 1.0 / self.lanes.len().max(1) as f64;
        self.lanes
            .iter()
            .map(|lane| share(&lane.now, site) * if all > 0.0 { lane.load / all } else { even })
            .sum()
    }

    /// The work that was steered into a site over placement's.
    pub fn guest_work(&self, site: &str) -> f64 {
        self.lanes.iter().map(|lane| lane.over(site).max(0.0) * lane.load).sum()
    }

    /// The worst verdict of a site's contracts.
    pub fn verdict(&self, site: &str) -> Option<Verdict> {
        let verdicts = self.seen.get(site)?.iter().flatten().map(Latest::verdict);
        verdicts.max()
    }

    /// How far the site falls short of what is promised, at its worst contract.
    pub fn shortfall(&self, site: &str) -> f64 {
        let short = |latest: &Latest| (latest.promised - latest.within) / (1.0 - latest.promised);
        self.seen.get(site).into_iter().flatten().flatten().map(short).fold(0.0, f64::max)
    }

    /// What all of its traffic together is, at its worst contract: each site's latest shares by where the traffic goes
    /// now. `None` where most of the traffic goes to sites without evidence.
    pub fn overall(&self) -> Option<Verdict> {
        let contract = |at: usize| {
            let (mut weight, mut sum) = (0.0, Latest { promised: 0.0, within: 0.0, well_within: 0.0 });
            for (site, latest) in &self.seen {
                let Some(latest) = latest.get(at).copied().flatten() else { continue };
                let part = self.part(site);
                weight += part;
                sum.promised += part * latest.promised;
                sum.within += part * latest.within;
                sum.well_within += part * latest.well_within;
            }
            (weight >= KNOWN).then(|| sum.verdict())
        };
        (0..self.contracts.len()).filter_map(contract).max()
    }

    /// The part of the traffic from a lane that a site has at least, for fresh estimates.
    pub fn fresh(&self, lane: &Lane, site: &str) -> f64 {
        let is_shy = |site: &str| match self.verdict(site) {
            Some(verdict) => verdict == Verdict::Misses,
            None => self.missed.iter().any(|missed| missed == site),
        };
        let mut part = FRESH;
        if is_shy(site) {
            let shy = self.seen.keys().filter(|site| is_shy(site)).count();
            let budgets = self.contracts.iter().map(|contract| 1.0 - contract.percentile / 100.0);
            part = part.min(budgets.fold(1.0, f64::min) / 2.0 / shy as f64);
        }
        part * lane.open_part
    }

    /// The part of a lane that a site has over placement's share and over what keeps its estimate fresh.
    pub fn spare(&self, lane: &Lane, site: &str) -> f64 {
        (share(&lane.now, site) - share(&lane.base, site).max(self.fresh(lane, site))).max(0.0)
    }
}
