//! Where the fleet's demand goes, and what of it is refused. Work is counted in ms of a unit machine a second.
//!
//! What is taken may go anywhere, so what must be refused depends on the sum of the rooms alone. It is decided first,
//! and the rest always fits.

use super::config::FleetConfig;
use super::plan::Shares;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// What a ms of work is worth in a class that the configuration does not name: an ordinary one's.
const UNNAMED_WORTH: f64 = 1.0;
/// What is less than this part of the whole is an error of rounding.
const ROUNDING: f64 = 1e-9;

/// What is asked for, of one tenant in one class by the sidecars of one site.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The site whose sidecars were asked.
    pub site: String,
    /// The tenant.
    pub tenant: String,
    /// The class.
    pub class: String,
    /// Work a second.
    pub work: f64,
}

/// Where it goes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// The shares by destination, adding up to 1, of each site that asks or has room.
    pub shares: BTreeMap<String, Shares>,
    /// The part that is taken, by tenant and class; only where it is under 1.
    pub admit: BTreeMap<String, BTreeMap<String, f64>>,
    /// The work placed by site.
    pub load: BTreeMap<String, f64>,
    /// What the refused work would have been worth, a second: up to a tenant's share its work counts in full, most
    /// worth first, and beyond it by `over_share_worth`.
    pub refused_worth: f64,
    /// The least that any refusal could have cost with the same rooms.
    pub least_refused_worth: f64,
}

/// Places what is asked for. `rooms` is the work a second that each site may be given: its capacity by the
/// utilisation limit and its state. `capacity` is that of the whole fleet as it normally is, which tenants have
/// their shares of. Where there is no room at all nothing is known to go by: nothing is refused and no share given,
/// and the sidecars are left to their own judgement.
pub fn place(config: &FleetConfig, rooms: &BTreeMap<String, f64>, capacity: f64, asks: &[Ask]) -> Placement {
    let rooms: Shares = rooms.iter().map(|(site, room)| (site.clone(), sound(*room))).collect();
    let room: f64 = rooms.values().sum();
    if room <= 0.0 {
        return Placement::default();
    }
    let mut asked: BTreeMap<(&str, &str), f64> = BTreeMap::new();
    for ask in asks {
        *asked.entry((&ask.tenant, &ask.class)).or_default() += sound(ask.work);
    }
    let lots = lots(config, capacity, &asked);
    let taken = take(&lots, room, Lot::by_rule);
    let most = value(config, capacity, &asked);
    let best = take(&worth_lots(config, capacity, &asked), room, Lot::by_worth);
    let mut placement = Placement {
        refused_worth: (most - value(config, capacity, &taken)).max(0.0),
        least_refused_worth: (most - value(config, capacity, &best)).max(0.0),
        ..Placement::default()
    };
    let part = |key: &(&str, &str)| {
        let (taken, asked) = (taken.get(key).copied().unwrap_or(0.0), asked[key]);
        if asked - taken > ROUNDING * asked { taken / asked } else { 1.0 }
    };
    for key in asked.keys().filter(|key| asked[*key] > 0.0) {
        if part(key) < 1.0 {
            placement.admit.entry(key.0.to_owned()).or_default().insert(key.1.to_owned(), part(key));
        }
    }
    let mut origins: BTreeMap<&str, f64> = rooms.keys().map(|site| (site.as_str(), 0.0)).collect();
    for ask in asks.iter().filter(|ask| sound(ask.work) > 0.0) {
        *origins.entry(&ask.site).or_default() += ask.work * part(&(&ask.tenant, &ask.class));
    }
    fill(config, &rooms, &origins, &mut placement);
    placement
}

/// What is no amount of work is none.
fn sound(work: f64) -> f64 {
    if work.is_finite() { work.max(0.0) } else { 0.0 }
}

/// Work of a tenant in a class that is alike in what its refusal means.
struct Lot<'a> {
    key: (&'a str, &'a str),
    work: f64,
    /// Beyond its tenant's share.
    beyond: bool,
    /// May run again.
    repeatable: bool,
    /// Of a ms of it.
    worth: f64,
}

impl Lot<'_> {
    /// The order of refusal that the fleet is run by: what goes first is the less.
    fn by_rule(&self, other: &Self) -> Ordering {
        let last = |lot: &Self| (!lot.beyond, !lot.beyond && !lot.repeatable);
        last(self).cmp(&last(other)).then(self.worth.total_cmp(&other.worth))
    }

    /// The order that costs least.
    fn by_worth(&self, other: &Self) -> Ordering {
        self.worth.total_cmp(&other.worth)
    }
}

/// The worth of a ms of a class, and whether it may run again.
fn class(config: &FleetConfig, name: &str) -> (f64, bool) {
    config.classes.get(name).map_or((UNNAMED_WORTH, true), |class| (class.worth, class.repeatable))
}

/// Each tenant's work cut into what is within its share and what is beyond: the last by `order` of its classes.
fn cut<'a>(
    config: &FleetConfig, capacity: f64, asked: &BTreeMap<(&'a str, &'a str), f64>,
    order: impl Fn((f64, bool), (f64, bool)) -> Ordering,
) -> Vec<Lot<'a>> {
    let mut sorted: Vec<_> = asked.iter().map(|(key, work)| (*key, *work, class(config, key.1))).collect();
    // The sort is stable, so that classes alike stay in the order of their names.
    sorted.sort_by(|a, b| a.0.0.cmp(b.0.0).then(order(a.2, b.2)));
    let mut lots = Vec::new();
    let (mut tenant, mut left) = (None, 0.0);
    for (key, work, (worth, repeatable)) in sorted {
        if tenant != Some(key.0) {
            tenant = Some(key.0);
            left = config.tenants.get(key.0).map_or(0.0, |tenant| tenant.share * sound(capacity));
        }
        let within = work.min(left);
        left -= within;
        let over = worth * config.over_share_worth;
        lots.push(Lot { key, work: within, beyond: false, repeatable, worth });
        lots.push(Lot { key, work: work - within, beyond: true, repeatable, worth: over });
    }
    lots.retain(|lot| lot.work > 0.0);
    lots
}

/// The lots to refuse by rule: a share is kept for what may not run again, then for what is worth most.
fn lots<'a>(config: &FleetConfig, capacity: f64, asked: &BTreeMap<(&'a str, &'a str), f64>) -> Vec<Lot<'a>> {
    cut(config, capacity, asked, |a, b| a.1.cmp(&b.1).then(b.0.total_cmp(&a.0)))
}

/// The lots by worth alone: a share counts for what is worth most.
fn worth_lots<'a>(
    config: &FleetConfig, capacity: f64, asked: &BTreeMap<(&'a str, &'a str), f64>,
) -> Vec<Lot<'a>> {
    cut(config, capacity, asked, |a, b| b.0.total_cmp(&a.0))
}

/// What work served is worth, a second.
fn value(config: &FleetConfig, capacity: f64, served: &BTreeMap<(&str, &str), f64>) -> f64 {
    worth_lots(config, capacity, served).iter().map(|lot| lot.work * lot.worth).sum()
}

/// What is taken of the lots within the room, refusing in the order given. Lots that are equal in it give way in
/// proportion, so that no tenant is refused for its name.
fn take<'a>(
    lots: &[Lot<'a>], room: f64, order: impl Fn(&Lot<'a>, &Lot<'a>) -> Ordering,
) -> BTreeMap<(&'a str, &'a str), f64> {
    let mut sorted: Vec<&Lot> = lots.iter().collect();
    sorted.sort_by(|a, b| order(b, a));
    let mut taken = BTreeMap::new();
    let mut left = room;
    for equal in sorted.chunk_by(|a, b| order(a, b).is_eq()) {
        let work: f64 = equal.iter().map(|lot| lot.work).sum();
        let part = (left / work).min(1.0);
        left = (left - work).max(0.0);
        for lot in equal {
            *taken.entry(lot.key).or_default() += lot.work * part;
        }
    }
    taken
}

/// Fills the rooms with what is taken by origin: at home, then in the region, then anywhere. Each step spreads what
/// is left over by headroom, so that it leaves either no work or no headroom among its sites.
fn fill(config: &FleetConfig, rooms: &Shares, origins: &BTreeMap<&str, f64>, placement: &mut Placement) {
    let mut headroom = rooms.clone();
    let mut left = origins.clone();
    let mut placed: BTreeMap<&str, Shares> = BTreeMap::new();
    for (origin, work) in &mut left {
        if let Some(home) = headroom.get_mut(*origin) {
            let here = work.min(*home);
            (*work, *home) = (*work - here, *home - here);
            placed.entry(origin).or_default().insert((*origin).to_owned(), here);
        }
    }
    for region in config.regions() {
        let inside = |site: &str| config.region(site) == Some(region);
        spread(&inside, &mut headroom, &mut left, &mut placed);
    }
    spread(&|_| true, &mut headroom, &mut left, &mut placed);
    for origin in origins.keys() {
        let to = placed.remove(origin).unwrap_or_default();
        let work: f64 = to.values().sum();
        for (site, work) in &to {
            *placement.load.entry(site.clone()).or_default() += work;
        }
        let shares = if work > 0.0 { scaled(&to, work) } else { quiet(config, rooms, &headroom, origin) };
        placement.shares.insert((*origin).to_owned(), shares);
    }
    placement.load.retain(|_, work| *work > 0.0);
}

/// Spreads what is left of the origins within a circle of sites over the headroom there.
fn spread<'a>(
    within: &dyn Fn(&str) -> bool, headroom: &mut Shares, left: &mut BTreeMap<&'a str, f64>,
    placed: &mut BTreeMap<&'a str, Shares>,
) {
    let room: f64 = headroom.iter().filter(|(site, _)| within(site)).map(|(_, room)| room).sum();
    let work: f64 = left.iter().filter(|(origin, _)| within(origin)).map(|(_, work)| work).sum();
    if room <= 0.0 || work <= 0.0 {
        return;
    }
    // The parts of the work and of the room that meet.
    let (going, filling) = ((room / work).min(1.0), (work / room).min(1.0));
    for (origin, work) in left.iter_mut().filter(|(origin, work)| within(origin) && **work > 0.0) {
        let to = placed.entry(origin).or_default();
        for (site, free) in headroom.iter().filter(|(site, free)| within(site) && **free > 0.0) {
            *to.entry(site.clone()).or_default() += *work * going * free / room;
        }
        *work *= 1.0 - going;
    }
    for (_, free) in headroom.iter_mut().filter(|(site, _)| within(site)) {
        *free *= 1.0 - filling;
    }
}

/// The shares of a site of which nothing is taken now: where its next request would go.
fn quiet(config: &FleetConfig, rooms: &Shares, headroom: &Shares, origin: &str) -> Shares {
    if rooms.get(origin).is_some_and(|room| *room > 0.0) {
        return BTreeMap::from([(origin.to_owned(), 1.0)]);
    }
    let region = config.region(origin);
    let near: BTreeSet<&str> = rooms.keys().map(String::as_str).collect();
    let near = near.into_iter().filter(|site| region.is_some() && config.region(site) == region);
    let near: Shares = near.filter_map(|site| Some((site.to_owned(), *headroom.get(site)?))).collect();
    [&near, headroom, rooms]
        .into_iter()
        .map(|of| scaled(of, of.values().sum()))
        .find(|shares| !shares.is_empty())
        .unwrap_or_default()
}

/// The parts of a whole; none of nothing.
fn scaled(of: &Shares, whole: f64) -> Shares {
    let some = of.iter().filter(|(_, work)| whole > 0.0 && **work > ROUNDING * whole);
    some.map(|(site, work)| (site.clone(), work / whole)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::config::{ClassConfig, SiteConfig, TenantConfig};
    use proptest::prelude::*;

    /// Sites a and b in the west, c and d in the east; tenants t and u with 0.6 and 0.4 of the fleet.
    fn config() -> FleetConfig {
        let site = |(name, region): (&str, &str)| {
            (name.to_owned(), SiteConfig { region: region.to_owned(), rate: 1_000.0 })
        };
        let tenant = |(name, share): (&str, f64)| (name.to_owned(), TenantConfig { share });
        let class = |(name, worth, repeatable): (&str, f64, bool)| {
            (name.to_owned(), ClassConfig { worth, repeatable })
        };
        FleetConfig {
            sites: [("a", "west"), ("b", "west"), ("c", "east"), ("d", "east")].map(site).into(),
            tenants: [("t", 0.6), ("u", 0.4)].map(tenant).into(),
            classes: [("dear", 5.0, true), ("cheap", 1.0, true), ("list", 0.5, false)].map(class).into(),
            ..FleetConfig::default()
        }
    }

    fn ask(site: &str, tenant: &str, class: &str, work: f64) -> Ask {
        Ask { site: site.to_owned(), tenant: tenant.to_owned(), class: class.to_owned(), work }
    }

    fn rooms(of: [f64; 4]) -> Shares {
        ["a", "b", "c", "d"].map(str::to_owned).into_iter().zip(of).collect()
    }

    fn near(a: f64, b: f64) -> bool {
        (a - b).abs() <= 1e-6 * (1.0 + a.abs().max(b.abs()))
    }

    #[test]
    fn home_comes_first_then_its_region_then_the_rest_by_headroom() {
        let asks = [ask("a", "t", "dear", 10.0), ask("b", "t", "dear", 2.0), ask("moon", "u", "dear", 1.0)];
        let to = |rooms| place(&config(), &rooms, 1e6, &asks);
        let home = to(rooms([20.0, 5.0, 20.0, 0.0]));
        assert_eq!((&home.shares["a"]["a"], home.shares["a"].len()), (&1.0, 1));
        assert_eq!(home.shares["moon"].len(), 3, "an origin that nobody knows goes by headroom");
        // Of a lost site's 10, 3 fit in its region, the other 7 go by headroom; d, which has no room, gets none.
        let lost = to(rooms([0.0, 5.0, 24.0, 8.0]));
        let shares = &lost.shares["a"];
        assert!(near(shares["b"], 0.3) && near(shares["c"], 0.7 * 0.75) && near(shares["d"], 0.7 * 0.25));
        assert_eq!((&lost.shares["b"]["b"], lost.admit.len(), lost.refused_worth), (&1.0, 0, 0.0));
        // Quiet sites are told of their home, or of who would take their next.
        assert_eq!((&lost.shares["c"]["c"], &home.shares["d"]["c"]), (&1.0, &1.0));
    }

    #[test]
    fn refusal_takes_what_is_beyond_a_share_then_the_least_worth_and_the_unrepeatable_last() {
        let asks = [
            ask("a", "t", "dear", 30.0),
            ask("a", "t", "cheap", 20.0),
            ask("b", "t", "list", 10.0),
            ask("c", "u", "dear", 60.0),
            ask("c", "x", "cheap", 5.0),
        ];
        // Of 100 u may have 40, so that 20 are beyond its share, and x nothing.
        let to = |room| place(&config(), &rooms([room, 0.0, 0.0, 0.0]), 100.0, &asks);
        let part = |at: &Placement, tenant: &str, class: &str| {
            at.admit.get(tenant).and_then(|of| of.get(class)).copied()
        };
        assert!(to(125.0).admit.is_empty());
        let at = to(110.0);
        assert_eq!((part(&at, "x", "cheap"), part(&at, "t", "cheap")), (Some(0.0), None));
        assert!(near(part(&at, "u", "dear").unwrap_or(1.0), 50.0 / 60.0));
        let at = to(90.0);
        assert!(
            near(part(&at, "t", "cheap").unwrap_or(1.0), 0.5) && near(at.refused_worth, 10.0 + 5.0 + 0.25)
        );
        assert_eq!((part(&at, "t", "list"), part(&at, "t", "dear")), (None, None));
        // Who is alike gives way alike.
        let at = to(45.0);
        let dear = (part(&at, "t", "dear").unwrap_or(1.0), part(&at, "u", "dear").unwrap_or(1.0));
        assert!(near(dear.0, 0.5) && near(dear.1, 20.0 / 60.0), "{dear:?}");
        assert_eq!(part(&at, "t", "list"), None);
        // By worth alone the list would have gone before.
        assert!(at.refused_worth > at.least_refused_worth + 1.0);
        assert!(near(part(&to(5.0), "t", "list").unwrap_or(1.0), 0.5));
    }

    #[test]
    fn without_any_room_known_nothing_is_refused() {
        let placement = place(&config(), &rooms([0.0; 4]), 100.0, &[ask("a", "t", "dear", 5.0)]);
        assert_eq!(placement, Placement::default());
    }

    fn any_asks() -> impl Strategy<Value = Vec<Ask>> {
        let site = prop::sample::select(vec!["a", "b", "c", "d", "moon"]);
        let tenant = prop::sample::select(vec!["t", "u", "x"]);
        let class = prop::sample::select(vec!["dear", "cheap", "list", "new"]);
        let one = (site, tenant, class, 0.0..100.0).prop_map(|(s, t, c, work)| ask(s, t, c, work));
        prop::collection::vec(one, 0..30)
    }

    proptest! {
        #[test]
        fn work_is_conserved_no_room_is_overfilled_and_refusal_keeps_its_order(
            asks in any_asks(), of in prop::array::uniform4(prop_oneof![Just(0.0), 0.0..300.0]),
            capacity in 1.0..1_000.0,
        ) {
            let (config, rooms) = (config(), rooms(of));
            let room: f64 = of.iter().sum();
            prop_assume!(room > 0.0);
            let placement = place(&config, &rooms, capacity, &asks);
            let part = |tenant: &str, class: &str| {
                placement.admit.get(tenant).and_then(|of| of.get(class)).copied().unwrap_or(1.0)
            };
            let asked: f64 = asks.iter().map(|ask| ask.work).sum();
            let taken: f64 = asks.iter().map(|ask| ask.work * part(&ask.tenant, &ask.class)).sum();
            let placed: f64 = placement.load.values().sum();
            // All that is asked for is placed or refused, and nothing is refused where it fits.
            prop_assert!(near(placed, taken) && near(taken, asked.min(room)), "{placed} {taken} {asked}");
            for (site, load) in &placement.load {
                prop_assert!(*load <= rooms[site] * (1.0 + 1e-9), "{site}: {load}");
            }
            for (origin, shares) in &placement.shares {
                prop_assert!(near(shares.values().sum(), 1.0), "{origin}: {shares:?}");
                prop_assert!(shares.keys().all(|site| rooms[site] > 0.0));
            }
            prop_assert!(placement.least_refused_worth <= placement.refused_worth + 1e-6);
            // Once anything within a share is refused, nothing beyond one is taken.
            let sum = |tenant: &str, of: &dyn Fn(&Ask) -> f64| -> f64 {
                asks.iter().filter(|ask| ask.tenant == tenant).map(of).sum()
            };
            let shares = [("t", 0.6 * capacity), ("u", 0.4 * capacity), ("x", 0.0)];
            let tenants = shares.map(|(tenant, share)| {
                (sum(tenant, &|ask| ask.work), sum(tenant, &|ask| ask.work * part(tenant, &ask.class)), share)
            });
            let cut = tenants.iter().any(|(asked, taken, share)| *taken < asked.min(*share) - 1e-6);
            prop_assert!(!cut || tenants.iter().all(|(_, taken, share)| *taken <= share + 1e-6));
            // Within a tenant a class is refused only once those before it are gone whole.
            let asks_for = |tenant: &str, class: &str| {
                asks.iter().any(|ask| ask.tenant == tenant && ask.class == class && ask.work > 0.0)
            };
            for (tenant, share) in shares {
                // A list beyond its tenant's share is no more than its worth.
                let list = sum(tenant, &|ask| if ask.class == "list" { ask.work } else { 0.0 });
                if list > share {
                    continue;
                }
                for (first, second) in [("cheap", "dear"), ("cheap", "list"), ("dear", "list")] {
                    if asks_for(tenant, first) && asks_for(tenant, second) {
                        prop_assert!(part(tenant, second) >= 1.0 || part(tenant, first) <= 1e-6);
                    }
                }
            }
        }
    }
}
