//! What the sites can do: their servers by size, warmth and readiness.

use super::config::FleetConfig;
use super::plan::Shares;

/// Demand is taken this many times its highest of late: a burst is there before the report that tells of it.
const DEMAND_MARGIN: f64 = 1.5;
/// Of what makes a cold server fall over, the part that it is given: chance and the clients' own repeats need the rest.
const FALL_PART: f64 = 0.5;

/// A server of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The site that it stands in.
    pub site: String,
    /// Its size.
    pub size: f64,
    /// Whether it takes new requests.
    pub ready: bool,
    /// When it last started, Unix ms; 0 for long ago.
    pub up_since_ms: u64,
}

/// The capacity of the sites that the configuration names, in ms of work a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Of the moment: ready servers by their warmth.
    pub now: Shares,
    /// Of all servers that are listed, warm.
    pub normal: Shares,
}

/// The share of its capacity that a server has at `now_ms` (Unix ms): a line from `cold_from` at its start to all of
/// it after `ramp_ms`, as the sidecars reckon it.
pub fn warmth(config: &FleetConfig, up_since_ms: u64, now_ms: u64) -> f64 {
    if up_since_ms == 0 {
        return 1.0;
    }
    let age = now_ms.saturating_sub(up_since_ms) as f64 / config.ramp_ms.max(1) as f64;
    (config.cold_from + (1.0 - config.cold_from) * age).clamp(0.01, 1.0)
}

/// What the sites can do at `now_ms` (Unix ms). A site without servers has a capacity of 0.
pub fn capacity(config: &FleetConfig, servers: &[Server], now_ms: u64) -> Capacity {
    let none: Shares = config.sites.keys().map(|site| (site.clone(), 0.0)).collect();
    let mut capacity = Capacity { now: none.clone(), normal: none };
    for server in servers {
        let Some(site) = config.sites.get(&server.site) else { continue };
        let full = server.size.max(0.0) * site.rate;
        *capacity.normal.entry(server.site.clone()).or_default() += full;
        if server.ready {
            let warmth = warmth(config, server.up_since_ms, now_ms);
            *capacity.now.entry(server.site.clone()).or_default() += full * warmth;
        }
    }
    capacity
}

/// The share of the whole fleet's work that one unit (size by warmth) of a cold server may draw, so that each stays
/// within half of what makes it fall over. `demand` is the highest of the last seconds, in ms of work a second.
/// `None` where no server is cold or no demand is known.
pub fn cold_share(config: &FleetConfig, servers: &[Server], now_ms: u64, demand: f64) -> Option<f64> {
    let cold = |server: &&Server| server.ready && warmth(config, server.up_since_ms, now_ms) < 1.0;
    let rates = servers.iter().filter(cold).filter_map(|server| config.sites.get(&server.site));
    let rate = rates.map(|site| site.rate).reduce(f64::min)?;
    let share = config.fall_multiple * FALL_PART * rate / (demand * DEMAND_MARGIN);
    (demand > 0.0 && share.is_finite()).then(|| share.min(1.0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::config::SiteConfig;
    use std::collections::BTreeMap;

    #[test]
    fn cold_servers_count_by_their_warmth_and_draw_within_half_of_their_fall() {
        let site = |rate| SiteConfig { region: "r".to_owned(), rate };
        let sites = BTreeMap::from([("a".to_owned(), site(1_000.0)), ("b".to_owned(), site(2_000.0))]);
        let config = FleetConfig { sites, ..FleetConfig::default() };
        let server =
            |site: &str, size, ready, up_since_ms| Server { site: site.to_owned(), size, ready, up_since_ms };
        let servers = [
            server("a", 2.0, true, 0),
            server("b", 1.0, true, 1_000_000),
            server("b", 1.0, false, 0),
            server("elsewhere", 9.0, true, 0),
        ];
        // Half of the ramp: 0.1 + 0.9 / 2. A start in the future, by another clock, is one of this moment.
        let now = capacity(&config, &servers, 1_015_000);
        assert_eq!((now.now["a"], now.now["b"], now.normal["b"]), (2_000.0, 1_100.0, 4_000.0));
        assert_eq!(warmth(&config, 1_000_000, 999_000), 0.1);
        // One unit of b draws this of 10,000 with its margin: 2,000, which is its rate by 2 / 2.
        let share = cold_share(&config, &servers, 1_015_000, 10_000.0).expect("one is cold");
        assert!((share * 15_000.0 - 2_000.0).abs() < 1e-6, "{share}");
        assert_eq!(cold_share(&config, &servers, 1_030_000, 10_000.0), None, "all warm");
        assert_eq!(cold_share(&config, &servers, 1_015_000, 0.0), None);
    }
}
