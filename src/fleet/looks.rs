//! Looks: a small part of each site's traffic that goes elsewhere though it would be served at home. Without it nobody
//! outside a site would know whether it answers: nobody could testify to its loss, or to its return.

use super::plan::Shares;
use std::collections::{BTreeMap, BTreeSet};

/// The part of a site's traffic that looks round: an eye on every site at the cost of two requests in a hundred that
/// take a longer way.
pub const LOOK: f64 = 0.02;
/// The part that goes to a site besides which some see dark and none lit, so that a quorum can tell within a report;
/// and the most for all such sites.
const INQUIRY: f64 = 0.05;
const INQUIRIES: f64 = 0.2;

/// Sends a part of the traffic of each origin to the other sites, by `weights` and within what is `free` there.
/// `taken` is the work of the origins, `doubted` the sites to look at closely. Returns the work by site that comes
/// and goes by it.
pub fn look(
    shares: &mut BTreeMap<String, Shares>, taken: &Shares, weights: &Shares, free: &Shares,
    doubted: &BTreeSet<&str>,
) -> Shares {
    let free = |site: &str| free.get(site).copied().unwrap_or(0.0).max(0.0);
    let wanted: BTreeMap<String, Shares> =
        shares.keys().map(|origin| (origin.clone(), parts(origin, weights, &free, doubted))).collect();
    let mut coming = Shares::new();
    for (origin, parts) in &wanted {
        for (site, part) in parts {
            *coming.entry(site.clone()).or_default() += part * work(taken, origin);
        }
    }
    let mut moved = Shares::new();
    for (origin, shares) in shares.iter_mut().filter(|(_, shares)| !shares.is_empty()) {
        let fits = |site: &String| if coming[site] > free(site) { free(site) / coming[site] } else { 1.0 };
        let looks: Shares =
            wanted[origin].iter().map(|(site, part)| (site.clone(), part * fits(site))).collect();
        let staying = 1.0 - looks.values().sum::<f64>();
        let before = shares.clone();
        shares.values_mut().for_each(|share| *share *= staying);
        for (site, part) in looks {
            *shares.entry(site).or_default() += part;
        }
        for (site, share) in shares.iter() {
            let change = share - before.get(site).copied().unwrap_or(0.0);
            *moved.entry(site.clone()).or_default() += change * work(taken, origin);
        }
    }
    moved
}

fn work(taken: &Shares, origin: &str) -> f64 {
    taken.get(origin).copied().unwrap_or(0.0)
}

/// The looks of one origin: to the others that have anything free, by weight.
fn parts(origin: &str, weights: &Shares, free: &dyn Fn(&str) -> f64, doubted: &BTreeSet<&str>) -> Shares {
    let others =
        weights.iter().filter(|(site, weight)| *site != origin && **weight > 0.0 && free(site) > 0.0);
    let all: f64 = others.clone().map(|(_, weight)| weight).sum();
    let inquiry = INQUIRY.min(INQUIRIES / doubted.len().max(1) as f64);
    let part =
        |site: &str, weight: f64| LOOK * weight / all + if doubted.contains(site) { inquiry } else { 0.0 };
    others.map(|(site, weight)| (site.clone(), part(site, *weight))).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_in_a_hundred_look_round_and_fill_nobody_up() {
        let of = |sites: &[(&str, f64)]| -> Shares {
            sites.iter().map(|(site, work)| ((*site).to_owned(), *work)).collect()
        };
        let home = |site: &str| (site.to_owned(), of(&[(site, 1.0)]));
        let mut shares = BTreeMap::from(["a", "b", "c", "d"].map(home));
        let taken = of(&[("a", 1_000.0), ("b", 1_000.0)]);
        // c has room for little, d for nothing.
        let free = of(&[("a", 50.0), ("b", 50.0), ("c", 5.0), ("d", 0.0)]);
        let weights = of(&[("a", 1.0), ("b", 1.0), ("c", 1.0), ("d", 1.0)]);
        let mut closer = shares.clone();
        let moved = look(&mut shares, &taken, &weights, &free, &BTreeSet::new());
        let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
        assert!(near(shares["a"]["b"], 0.01) && near(shares["a"]["c"], 0.002_5));
        assert!(
            shares.values().all(|shares| near(shares.values().sum(), 1.0)) && !shares["a"].contains_key("d")
        );
        assert!(near(moved["c"], 5.0) && near(moved.values().sum(), 0.0));
        let moved = look(&mut closer, &taken, &weights, &free, &BTreeSet::from(["b"]));
        assert!(near(closer["a"]["b"], 0.05) && near(moved["c"], 5.0), "as much as fits: {closer:?}");
    }
}
