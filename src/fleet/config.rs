//! What operators say of the fleet: its sites and regions, tenants, classes, contracts and limits. One TOML table,
//! `[fleet]` of the list service's configuration.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The table's form. Names are those of discovery's `locality` and of the sidecars' settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetConfig {
    /// The sites by name. Empty where the control plane is off.
    pub sites: BTreeMap<String, SiteConfig>,
    /// The tenants by name; one that is not named has no share, and all of its traffic is beyond it.
    pub tenants: BTreeMap<String, TenantConfig>,
    /// The classes by name.
    pub classes: BTreeMap<String, ClassConfig>,
    /// Contractual latency targets.
    pub contracts: Vec<Contract>,
    /// No site is filled past this share of its capacity.
    pub utilisation: f64,
    /// Sites that may be out for maintenance at a time, in all.
    pub most_out: usize,
    /// The share of capacity that a just-started server has at least.
    pub cold_from: f64,
    /// The time in ms after which it has all.
    pub ramp_ms: u64,
    /// A server sent more than this multiple of its capacity of the moment falls over.
    pub fall_multiple: f64,
    /// The worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
}

/// A site: its region, and what a server of size 1 there can do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteConfig {
    /// The region it lies in.
    pub region: String,
    /// What a warm server of size 1 does in a second, in ms of work: its cores, about, times 1,000.
    pub rate: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantConfig {
    /// Its share of the fleet's whole capacity, from 0 to 1.
    pub share: f64,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// What a ms of its work is worth.
    pub worth: f64,
    /// Whether it may run again; what may not is refused last.
    #[serde(default = "yes")]
    pub repeatable: bool,
}

fn yes() -> bool {
    true
}

/// What a tenant was promised: so many percent of its answers come within the target, over each window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The tenant it was given to.
    pub tenant: String,
    /// Over 0 and under 100.
    pub percentile: f64,
    /// The latency that they stay within, in ms.
    pub target_ms: f64,
    /// Over which time, in ms.
    pub window_ms: u64,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            sites: BTreeMap::new(),
            tenants: BTreeMap::new(),
            classes: BTreeMap::new(),
            contracts: Vec::new(),
            utilisation: 0.8,
            most_out: 1,
            cold_from: 0.1,
            ramp_ms: 30_000,
            fall_multiple: 2.0,
            over_share_worth: 0.05,
        }
    }
}

/// A configuration that can't be worked by.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("fleet.{field}: {problem}")]
pub struct FleetConfigError {
    field: String,
    problem: &'static str,
}

/// Sites of a contract's window: under a second there are too few answers, over a day a breach is history.
const WINDOW_MS: std::ops::RangeInclusive<u64> = 1_000..=86_400_000;

impl FleetConfig {
    /// Whether the control plane is on.
    pub fn is_on(&self) -> bool {
        !self.sites.is_empty()
    }

    /// The names of the regions.
    pub fn regions(&self) -> BTreeSet<&str> {
        self.sites.values().map(|site| site.region.as_str()).collect()
    }

    /// The region of a site, if it is named.
    pub fn region(&self, site: &str) -> Option<&str> {
        self.sites.get(site).map(|site| site.region.as_str())
    }

    /// Checks what a type can't say.
    ///
    /// # Errors
    /// The first field that is out of its bounds.
    pub fn check(&self) -> Result<(), FleetConfigError> {
        let error = |field: String, problem| Err(FleetConfigError { field, problem });
        let share = |value: f64| value > 0.0 && value <= 1.0;
        for (name, site) in &self.sites {
            if name.is_empty() || site.region.is_empty() {
                return error(format!("sites.{name:?}"), "a site and its region have names");
            }
            if !(site.rate.is_finite() && site.rate > 0.0) {
                return error(format!("sites.{name}.rate"), "not over 0");
            }
        }
        for (name, tenant) in &self.tenants {
            if !share(tenant.share) {
                return error(format!("tenants.{name}.share"), "not over 0 and up to 1");
            }
        }
        if self.tenants.values().map(|tenant| tenant.share).sum::<f64>() > 1.0 + 1e-9 {
            return error("tenants".to_owned(), "the shares are over 1 in all");
        }
        for (name, class) in &self.classes {
            if !(class.worth.is_finite() && class.worth >= 0.0) {
                return error(format!("classes.{name}.worth"), "under 0");
            }
        }
        for (at, contract) in self.contracts.iter().enumerate() {
            let within = |value: f64, most: f64| value > 0.0 && value < most;
            if !self.tenants.contains_key(&contract.tenant) {
                return error(format!("contracts.{at}.tenant"), "no such tenant");
            }
            if !within(contract.percentile, 100.0) || !within(contract.target_ms, 600_000.0) {
                return error(format!("contracts.{at}"), "percentile or target_ms out of bounds");
            }
            if !WINDOW_MS.contains(&contract.window_ms) {
                return error(format!("contracts.{at}.window_ms"), "under a second or over a day");
            }
        }
        if !share(self.utilisation) || !share(self.cold_from) || !(0.0..=1.0).contains(&self.over_share_worth)
        {
            return error("utilisation, cold_from, over_share_worth".to_owned(), "not from 0 to 1");
        }
        if !(self.fall_multiple.is_finite() && self.fall_multiple >= 1.0) || self.ramp_ms == 0 {
            return error("fall_multiple, ramp_ms".to_owned(), "under 1");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = r#"
        utilisation = 0.7
        [sites]
        praha = { region = "west", rate = 3000.0 }
        brno = { region = "east", rate = 3000.0 }
        [tenants]
        mesto-horni = { share = 0.6 }
        [classes]
        vydani-listu = { worth = 3.0, repeatable = false }
        [[contracts]]
        tenant = "mesto-horni"
        percentile = 95.0
        target_ms = 400.0
        window_ms = 10000
    "#;

    #[test]
    fn what_is_out_of_bounds_is_named_and_the_rest_has_defaults() {
        let read = |text: &str| toml::from_str::<FleetConfig>(text).expect("the form");
        let config = read(TEXT);
        assert_eq!((config.check(), config.is_on(), config.most_out), (Ok(()), true, 1));
        assert_eq!((config.region("brno"), config.regions().len()), (Some("east"), 2));
        assert!(!FleetConfig::default().is_on() && FleetConfig::default().check().is_ok());
        for (from, to, field) in [
            ("rate = 3000.0", "rate = 0.0", "sites.brno.rate"),
            ("share = 0.6", "share = 1.2", "tenants.mesto-horni.share"),
            ("percentile = 95.0", "percentile = 100.0", "contracts.0"),
            ("tenant = \"mesto-horni\"", "tenant = \"x\"", "contracts.0.tenant"),
            ("utilisation = 0.7", "utilisation = 0.0", "utilisation"),
        ] {
            let error = read(&TEXT.replace(from, to)).check().expect_err(to);
            assert!(error.field.starts_with(field), "{error}");
        }
        assert!(toml::from_str::<FleetConfig>("speed = 1").is_err(), "an unknown field");
    }
}
