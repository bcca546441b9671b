//! The plan: what the planner tells every sidecar, and which one a sidecar goes by.

use super::state::SiteState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a plan acts from its receipt, in ms, if it names no other bound: longer than it takes until a planner that
/// died is followed by another, which is its duty's TTL of 3 s and a grant, with as much again for a loaded machine.
pub const VALID_MS: u64 = 6_000;
/// The longest that a plan may ask to act.
const VALID_MOST_MS: u64 = 30_000;
/// The tenant of shares and admissions that count for whoever is not named.
pub const ANY: &str = "*";

/// Which plan is the newer: first by the fencing token of its planner, then by the store's count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlanMark {
    /// The fencing token of the duty that published it.
    pub token: u64,
    /// Plans published so far, this one included, counted by the store.
    pub version: u64,
}

/// Shares of traffic by site. They need not add up to 1: what matters is their proportion.
pub type Shares = BTreeMap<String, f64>;

/// What is told to every sidecar.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Plan {
    /// Which one it is.
    pub mark: PlanMark,
    /// How long a sidecar goes by it from its receipt, in ms.
    pub valid_ms: u64,
    /// The state of every site.
    pub sites: BTreeMap<String, SiteState>,
    /// Where traffic goes: by the site that the sidecar is in, by tenant ([`ANY`] for whoever is not named).
    pub shares: BTreeMap<String, BTreeMap<String, Shares>>,
    /// The part of the requests that is taken, from 0 to 1, by tenant ([`ANY`]) and class. 1 where none is named.
    pub admit: BTreeMap<String, BTreeMap<String, f64>>,
    /// The share of the whole fleet's traffic that one unit of capacity (a server's size, as warm as it is) of
    /// a cold server may draw. `None` where the sidecars' own rule is enough.
    pub cold_share: Option<f64>,
    /// The part of its load that each site takes which is on its way back or draining, from 0 to 1.
    pub ramp: BTreeMap<String, f64>,
    /// Sites on the first steps of their return: only classes that are safe to repeat go there.
    pub trial: Vec<String>,
    /// Contracts that are breached and that no site can mend, as `tenant:percentile`.
    pub breaches: Vec<String>,
}

impl Plan {
    /// The shares for a sidecar's own site and a tenant, if the plan has any.
    pub fn shares_for(&self, own: &str, tenant: &str) -> Option<&Shares> {
        let here = self.shares.get(own)?;
        here.get(tenant).or_else(|| here.get(ANY))
    }

    /// The part of a tenant's requests of a class that is taken.
    pub fn admitted(&self, tenant: &str, class: &str) -> f64 {
        let of = |tenant| self.admit.get(tenant).and_then(|classes| classes.get(class));
        of(tenant).or_else(|| of(ANY)).copied().unwrap_or(1.0)
    }

    /// What a sidecar may send to a site, by its state and the sidecar's own site. A site that the plan does not
    /// name is nobody's business.
    pub fn is_open(&self, site: &str, own: &str) -> bool {
        let state = self.sites.get(site).copied().unwrap_or_default();
        if site == own { state.open_to_own() } else { state.open_to_others() }
    }

    /// Whether every number in it can be gone by.
    pub fn is_sound(&self) -> bool {
        let share = |value: &f64| value.is_finite() && *value >= 0.0;
        let part = |value: &f64| (0.0..=1.0).contains(value);
        self.shares.values().flat_map(BTreeMap::values).flat_map(BTreeMap::values).all(share)
            && self.admit.values().flat_map(BTreeMap::values).all(part)
            && self.ramp.values().all(part)
            && self.cold_share.as_ref().is_none_or(share)
            && (1..=VALID_MOST_MS).contains(&self.valid_ms)
    }
}

/// Why a plan is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// An older one, or the same again.
    #[error("plan {0:?} where {1:?} was taken")]
    Older(PlanMark, PlanMark),
    /// A number that none can go by.
    #[error("a share, part or bound that is none")]
    Unsound,
}

/// The plan that a sidecar holds: never an older one than it had, and none past its bound.
#[derive(Debug, Default)]
pub struct Held {
    plan: Option<(Plan, u64)>,
    highest: PlanMark,
}

impl Held {
    /// Takes a plan that came at `now_ms`.
    ///
    /// # Errors
    /// [`PlanError::Older`] where one as new was taken before, if it still acts or not; [`PlanError::Unsound`].
    pub fn take(&mut self, plan: Plan, now_ms: u64) -> Result<(), PlanError> {
        if !plan.is_sound() {
            return Err(PlanError::Unsound);
        }
        if plan.mark <= self.highest {
            return Err(PlanError::Older(plan.mark, self.highest));
        }
        self.highest = plan.mark;
        self.plan = Some((plan, now_ms));
        Ok(())
    }

    /// The mark of the newest taken so far, acting or not.
    pub fn highest(&self) -> PlanMark {
        self.highest
    }

    /// The plan to go by at `now_ms`, if one still acts.
    pub fn acting(&self, now_ms: u64) -> Option<&Plan> {
        let (plan, since) = self.plan.as_ref()?;
        (now_ms < since + plan.valid_ms).then_some(plan)
    }

    /// The mark of the plan to go by at `now_ms` and for how long in ms it has been gone by, if one still acts.
    pub fn acting_since(&self, now_ms: u64) -> Option<(PlanMark, u64)> {
        let (plan, since) = self.plan.as_ref()?;
        self.acting(now_ms).map(|_| (plan.mark, now_ms.saturating_sub(*since)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(token: u64, version: u64) -> Plan {
        Plan { mark: PlanMark { token, version }, valid_ms: VALID_MS, ..Plan::default() }
    }

    #[test]
    fn no_plan_acts_past_its_bound_and_no_older_one_is_ever_taken() {
        let mut held = Held::default();
        assert_eq!(held.take(plan(2, 7), 100), Ok(()));
        assert!(held.acting(6_099).is_some() && held.acting(6_100).is_none());
        assert_eq!(held.acting_since(6_099), Some((PlanMark { token: 2, version: 7 }, 5_999)));
        assert_eq!(held.acting_since(6_100), None);
        for (token, version) in [(2, 7), (2, 6), (1, 99)] {
            assert!(matches!(held.take(plan(token, version), 200), Err(PlanError::Older(..))));
        }
        // Also not once the newer one has ended.
        assert!(held.take(plan(1, 8), 9_000).is_err() && held.acting(9_000).is_none());
        assert_eq!(held.take(plan(3, 8), 9_000), Ok(()));
        assert_eq!(held.highest(), PlanMark { token: 3, version: 8 });
    }

    #[test]
    fn a_plan_with_a_number_that_is_none_changes_nothing() {
        let mut held = Held::default();
        let shares = |share| BTreeMap::from([("a".to_owned(), share)]);
        let shared =
            |share| BTreeMap::from([("a".to_owned(), BTreeMap::from([(ANY.to_owned(), shares(share))]))]);
        for bad in [
            Plan { shares: shared(f64::NAN), ..plan(1, 1) },
            Plan { shares: shared(-0.1), ..plan(1, 1) },
            Plan { admit: BTreeMap::from([("t".to_owned(), shares(1.5))]), ..plan(1, 1) },
            Plan { cold_share: Some(f64::INFINITY), ..plan(1, 1) },
            Plan { valid_ms: 0, ..plan(1, 1) },
        ] {
            assert_eq!(held.take(bad, 0), Err(PlanError::Unsound));
        }
        assert_eq!(held.highest(), PlanMark::default());
    }

    #[test]
    fn who_is_not_named_goes_by_any_and_a_lost_site_is_open_to_its_own_alone() {
        let any = |value| BTreeMap::from([("c".to_owned(), value)]);
        let mut plan = plan(1, 1);
        plan.admit = BTreeMap::from([(ANY.to_owned(), any(0.5)), ("t".to_owned(), any(0.9))]);
        let admitted = |tenant, class| plan.admitted(tenant, class);
        assert_eq!((admitted("t", "c"), admitted("u", "c"), admitted("u", "d")), (0.9, 0.5, 1.0));
        plan.sites =
            BTreeMap::from([("a".to_owned(), SiteState::Lost), ("b".to_owned(), SiteState::Maintenance)]);
        let open = |site, own| plan.is_open(site, own);
        assert!(open("a", "a") && !open("a", "b") && !open("b", "b") && !open("b", "a") && open("c", "a"));
    }
}
