//! A plan as one sidecar goes by it: names resolved to its own indices, once for all requests.

use super::plan::{ANY, Plan};
use crate::names::flat_name;
use std::collections::BTreeSet;

/// The names that a sidecar has indices for.
#[derive(Clone, Copy, Debug)]
pub struct Names<'a> {
    /// The zones.
    pub zones: &'a [String],
    /// The tenants.
    pub tenants: &'a [String],
    /// The classes.
    pub classes: &'a [String],
}

/// What a plan says to one sidecar. Immutable: a new plan is a new route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Zones that get nothing new from here.
    closed: BTreeSet<u16>,
    /// Of these, the ones that get not even what can go nowhere else.
    shut: BTreeSet<u16>,
    /// Zones on trial.
    trial: BTreeSet<u16>,
    /// Shares over 0 by tenant; the last line is for whoever is not named.
    shares: Vec<Vec<(u16, f64)>>,
    /// The part that is taken by tenant and class; the last line is for whoever is not named.
    admitted: Vec<Vec<f64>>,
    cold_share: Option<f64>,
}

impl Route {
    /// What a plan says to a sidecar of the zone `own`. Names are compared as in the flat settings; a site or tenant
    /// that the sidecar has no name for is nobody's business here.
    pub fn resolve(plan: &Plan, own: u16, names: Names) -> Route {
        // The plan may spell a name as it was before it was made flat.
        let spelt = |site: &str| {
            let known = plan.sites.keys().chain(plan.shares.keys()).find(|name| flat_name(name) == site);
            known.map_or_else(|| site.to_owned(), String::clone)
        };
        let tenants = || names.tenants.iter().map(String::as_str).chain([ANY]);
        let own_name = names.zones.get(usize::from(own)).map_or_else(String::new, |name| spelt(name));
        let zones = || (0u16..).zip(names.zones);
        let zone = |site: &str| {
            let site = flat_name(site);
            zones().find(|(_, name)| **name == site).map(|(zone, _)| zone)
        };
        let those = |is: &dyn Fn(&str) -> bool| -> BTreeSet<u16> {
            zones().filter(|(_, name)| is(&spelt(name))).map(|(zone, _)| zone).collect()
        };
        let shares = |tenant: &str| {
            let shares = plan.shares_for(&own_name, tenant).into_iter().flatten();
            shares
                .filter(|&(_, &share)| share > 0.0)
                .filter_map(|(site, &share)| Some((zone(site)?, share)))
                .collect()
        };
        let admitted =
            |tenant: &str| names.classes.iter().map(|class| plan.admitted(tenant, class)).collect();
        Route {
            closed: those(&|site| !plan.is_open(site, &own_name)),
            // A site whose own sidecars may send it nothing new takes nothing from anyone.
            shut: those(&|site| !plan.is_open(site, site)),
            // One's own site is left by its own judgement, as while it was lost to the others.
            trial: plan.trial.iter().filter_map(|site| zone(site)).filter(|&zone| zone != own).collect(),
            shares: tenants().map(shares).collect(),
            admitted: tenants().map(admitted).collect(),
            cold_share: plan.cold_share,
        }
    }

    /// Whether anything new may go to a zone.
    pub fn is_open(&self, zone: u16) -> bool {
        !self.closed.contains(&zone)
    }

    /// Whether not even what may have run there, and so can go nowhere else, goes to a zone.
    pub fn is_shut(&self, zone: u16) -> bool {
        self.shut.contains(&zone)
    }

    /// Whether a zone takes only first attempts that are safe to repeat.
    pub fn is_on_trial(&self, zone: u16) -> bool {
        self.trial.contains(&zone)
    }

    /// Zones that get nothing new.
    pub fn closed(&self) -> impl Iterator<Item = u16> {
        self.closed.iter().copied()
    }

    /// Where a tenant's requests go: zones with their shares, all over 0. Empty where the plan says nothing.
    pub fn shares(&self, tenant: Option<u16>) -> &[(u16, f64)] {
        Route::line(&self.shares, tenant).map_or(&[], Vec::as_slice)
    }

    /// The part of a tenant's requests of a class that is taken, from 0 to 1.
    pub fn admitted(&self, tenant: Option<u16>, class: usize) -> f64 {
        Route::line(&self.admitted, tenant).and_then(|classes| classes.get(class)).copied().unwrap_or(1.0)
    }

    /// The share of this sidecar's requests that one unit of a cold server's capacity may draw, if it is bounded.
    pub fn cold_share(&self) -> Option<f64> {
        self.cold_share
    }

    fn line<T>(lines: &[T], tenant: Option<u16>) -> Option<&T> {
        tenant.and_then(|at| lines.get(usize::from(at))).or(lines.last())
    }
}

#[cfg(test)]
mod tests {
    use super::super::state::SiteState;
    use super::*;
    use std::collections::BTreeMap;

    #[test]
    fn names_become_indices_and_who_is_not_named_goes_by_any() {
        let of =
            |pairs: &[(&str, f64)]| pairs.iter().map(|&(name, value)| (name.to_owned(), value)).collect();
        let by_tenant = BTreeMap::from([
            (ANY.to_owned(), of(&[("stara hut", 0.5), ("brno", 0.0), ("nikde", 0.5)])),
            ("t".to_owned(), of(&[("brno", 2.0)])),
        ]);
        let plan = Plan {
            sites: BTreeMap::from([
                ("stara hut".to_owned(), SiteState::Lost),
                ("brno".to_owned(), SiteState::Maintenance),
                ("opava".to_owned(), SiteState::Returning),
            ]),
            shares: BTreeMap::from([("stara hut".to_owned(), by_tenant)]),
            admit: BTreeMap::from([
                ("t".to_owned(), of(&[("c", 0.25)])),
                (ANY.to_owned(), of(&[("d", 0.5)])),
            ]),
            trial: vec!["opava".to_owned(), "stara hut".to_owned()],
            ..Plan::default()
        };
        let list = |names: &[&str]| names.iter().map(|&name| name.to_owned()).collect::<Vec<String>>();
        let (zones, tenants, classes) =
            (list(&["stara_hut", "brno", "opava"]), list(&["s", "t", "T", "t_"]), list(&["c", "d"]));
        let names = Names { zones: &zones, tenants: &tenants, classes: &classes };
        let home = Route::resolve(&plan, 0, names);
        assert_eq!((home.shares(Some(0)), home.shares(Some(1))), (&[(0, 0.5)][..], &[(1, 2.0)][..]));
        assert_eq!((home.shares(None), home.shares(Some(9))), (&[(0, 0.5)][..], &[(0, 0.5)][..]));
        let part = |tenant, class| home.admitted(tenant, class);
        // A name that is nearly another's is its own.
        for tenant in [Some(2), Some(3)] {
            assert_eq!((home.shares(tenant), part(tenant, 0)), (&[(0, 0.5)][..], 1.0));
        }
        assert_eq!(
            (part(Some(1), 0), part(Some(1), 1), part(Some(0), 1), part(None, 0)),
            (0.25, 0.5, 0.5, 1.0)
        );
        // Lost to the others, open to its own, and judged there by its own.
        assert!(home.is_open(0) && !home.is_open(1) && home.is_shut(1) && home.is_open(u16::MAX));
        assert!(home.is_on_trial(2) && !home.is_on_trial(0));
        let away = Route::resolve(&plan, 2, names);
        assert!(!away.is_open(0) && !away.is_shut(0) && away.is_on_trial(0) && !away.is_on_trial(2));
        assert!(away.shares(None).is_empty());
    }
}
