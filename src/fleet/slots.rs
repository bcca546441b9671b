//! When a site may be out: beside which others, and with which demand to be expected. The least busy slot is picked.

use super::config::{FleetConfig, SiteConfig};
use super::profile::{Demand, Profile};
use super::window::{Refusal, WindowRequest};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Slots lie so far apart, in ms: a twelfth of the window, five minutes at most, since demand is known by the hour.
const APART_MS: std::ops::RangeInclusive<u64> = 1_000..=300_000;
/// The most slots that are looked at for one request; where there are more they lie further apart.
const MOST_SLOTS: u64 = 4_096;

/// A site as the limits see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteLimit {
    /// Its region.
    pub region: String,
    /// What it can do, in work (ms of a unit machine) a second.
    pub capacity: f64,
}

/// What windows have to leave. A command carries it, so that all who apply it decide by the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Every site.
    pub sites: BTreeMap<String, SiteLimit>,
    /// The most sites out at a time.
    pub most_out: usize,
    /// The part of a site's capacity that may be filled.
    pub utilisation: f64,
}

/// A site and a time that it is not whole in.
pub type Out<'a> = (&'a str, Range<u64>);

impl Limits {
    /// The limits of a configuration, with the capacity that each site has now; one that is not named has none. In
    /// whole numbers, which a serial form gives back exactly.
    pub fn new(config: &FleetConfig, capacity: &BTreeMap<String, f64>) -> Limits {
        let site = |(name, site): (&String, &SiteConfig)| {
            let capacity = capacity.get(name).copied().filter(|work| work.is_finite()).unwrap_or(0.0).floor();
            (name.clone(), SiteLimit { region: site.region.clone(), capacity })
        };
        let sites = config.sites.iter().map(site).collect();
        Limits { sites, most_out: config.most_out, utilisation: config.utilisation }
    }

    /// Whether `site` may be out over `span`, beside `others`; answers the demand to be expected then. A region that
    /// has more than one site keeps one.
    ///
    /// # Errors
    /// [`Refusal::UnknownSite`], [`Refusal::Overlaps`], [`Refusal::TooManyOut`], [`Refusal::LastOfRegion`],
    /// [`Refusal::Capacity`].
    pub fn check(
        &self, site: &str, span: &Range<u64>, others: &[Out<'_>], profile: &Profile,
    ) -> Result<Demand, Refusal> {
        let region = &self.sites.get(site).ok_or(Refusal::UnknownSite)?.region;
        let beside: Vec<&Out<'_>> =
            others.iter().filter(|(_, other)| other.start < span.end && span.start < other.end).collect();
        if beside.iter().any(|(other, _)| *other == site) {
            return Err(Refusal::Overlaps);
        }
        let in_region = || self.sites.iter().filter(|(_, site)| site.region == *region).map(|(name, _)| name);
        let mut left = f64::INFINITY;
        // Only where another begins are more out than just before.
        for moment in beside.iter().map(|(_, other)| other.start.max(span.start)).chain([span.start]) {
            let at = beside.iter().filter(|(_, other)| other.contains(&moment)).map(|(other, _)| *other);
            let out: BTreeSet<&str> = at.chain([site]).collect();
            if out.len() > self.most_out {
                return Err(Refusal::TooManyOut(self.most_out));
            }
            if in_region().count() > 1 && in_region().all(|name| out.contains(name.as_str())) {
                return Err(Refusal::LastOfRegion(region.clone()));
            }
            let stays = self.sites.iter().filter(|(name, _)| !out.contains(name.as_str()));
            left = left.min(stays.map(|(_, site)| site.capacity).sum::<f64>() * self.utilisation);
        }
        let expected = profile.forecast(span.start, span.end - span.start);
        if expected.peak > left {
            let (peak, left) = (expected.peak.ceil() as u64, left.floor() as u64);
            return Err(Refusal::Capacity { peak, left });
        }
        Ok(expected)
    }

    /// The start with the least demand to be expected, the earliest of those.
    ///
    /// # Errors
    /// Those of [`WindowRequest::check`], [`WindowRequest::starts`] and [`Limits::check`]; where no slot does, that
    /// of the slot that came nearest.
    pub fn pick(
        &self, request: &WindowRequest, others: &[Out<'_>], profile: &Profile, now: u64,
    ) -> Result<u64, Refusal> {
        request.check(now)?;
        if !self.sites.contains_key(&request.site) {
            return Err(Refusal::UnknownSite);
        }
        let (earliest, latest) = request.starts(now)?.into_inner();
        let apart = (request.duration_ms / 12).clamp(*APART_MS.start(), *APART_MS.end());
        let apart = apart.max((latest - earliest) / MOST_SLOTS + 1);
        let mut best: Option<(u64, f64)> = None;
        let mut refusal = Refusal::NoTime;
        for start in (earliest..latest).step_by(apart as usize).chain([latest]) {
            match self.check(&request.site, &request.span(start), others, profile) {
                // A part in a billion is the sum's rounding, not less demand.
                Ok(expected) if best.is_none_or(|(_, least)| expected.mean < least * (1.0 - 1e-9)) => {
                    best = Some((start, expected.mean));
                }
                Ok(_) => {}
                Err(why) if nearness(&why) > nearness(&refusal) => refusal = why,
                Err(_) => {}
            }
        }
        best.map(|(start, _)| start).ok_or(refusal)
    }
}

/// How far through the checks of a slot a refusal is.
fn nearness(refusal: &Refusal) -> u8 {
    match refusal {
        Refusal::Overlaps => 1,
        Refusal::TooManyOut(_) => 2,
        Refusal::LastOfRegion(_) => 3,
        Refusal::Capacity { .. } => 4,
        _ => 0,
    }
}
