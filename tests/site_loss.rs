//! Sites of a small fleet are lost, cut off and return, with processes of the control plane killed beside them: three
//! instances of the list service behind proxies, twelve sidecars in three sites, stand-in upstreams and a load. What
//! reaches a site is counted by its stand-ins.

mod cluster;
mod site;
mod world;

use micapier::fleet::plan::{ANY, Plan};
use micapier::fleet::report::{Report, Traffic};
use micapier::fleet::state::SiteState;
use site::*;
use std::collections::{BTreeMap, HashSet};
use std::thread;
use std::time::Duration;

/// No load of a test runs longer.
const MOST: Duration = Duration::from_secs(150);
/// Requests a second that each sidecar is asked: 216 for the fleet, 30 % of what its sites do at 25 ms of work each and
/// 60 % at 50 ms, when two sites within their limit can't do it all.
const RATE: f64 = 18.0;

fn from_outside(begun: &[Begun], site: usize) -> usize {
    begun.iter().filter(|b| b.site == site && b.from != SITES[site].0).count()
}

/// Waits until the site is lost at every instance, and every sidecar goes by a plan that says so.
fn until_lost(fleet: &Fleet, site: usize) {
    let mark = fleet.until_state(site, &[SiteState::Lost]);
    fleet.until_followed(mark);
}

/// Nothing new reaches a lost site from outside over many requests of the load. A site that is lost is tried again
/// after its hold-down, which may fall into the count: then it is made anew.
fn assert_left(fleet: &Fleet, load: &Load, site: usize) {
    for _ in 0..20 {
        until_lost(fleet, site);
        let (seen, mark, mut stayed) = (fleet.stand.mark(), load.mark(), true);
        fleet.until("200 requests", Duration::from_secs(60), |fleet| {
            let done = load.mark() >= mark + 200;
            let lost = |plan: &Plan| plan.sites.get(SITES[site].0) == Some(&SiteState::Lost);
            stayed &= fleet.newest().is_some_and(|plan| lost(&plan));
            done || !stayed
        });
        if stayed {
            assert_eq!(from_outside(&fleet.stand.since(seen), site), 0, "nothing new from outside");
            return;
        }
    }
    panic!("it was never lost for long enough to count");
}

/// No request of the class that may not be repeated ran twice, whatever befell its server.
fn assert_ran_once(fleet: &Fleet) {
    let mut ids = HashSet::new();
    let ran = fleet.stand.since(0).into_iter().filter(|b| b.ran && b.class == CLASSES[UNSAFE].0);
    for begun in ran {
        assert!(ids.insert(begun.id.clone()), "{begun:?} ran before");
    }
    assert!(ids.len() > 50, "enough to tell");
}

fn share(plan: &Plan, from: usize, to: usize) -> f64 {
    let shares = plan.shares_for(SITES[from].0, ANY);
    let of = |to: usize| shares.and_then(|shares| shares.get(SITES[to].0)).copied().unwrap_or(0.0);
    of(to) / (0..SITES.len()).map(of).sum::<f64>().max(1e-9)
}

#[test]
fn a_silent_site_is_left_for_its_region_and_comes_back_cold_by_the_ramp() {
    let fleet = Fleet::start("silent", Size::LEAN);
    let load = Load::start(&fleet, RATE, MOST, |n| Ask::usual(n, 25.0));
    load.more(200);
    fleet.until_followed(fleet.until_state(PRAHA, &[SiteState::Serving]));
    fleet.stand.set(PRAHA, SiteFault::Silent);
    assert_left(&fleet, &load, PRAHA);
    let seen = fleet.stand.mark();
    load.more(200);
    // The other site of the region has room for all of it.
    let moved = fleet.stand.since(seen).into_iter().filter(|b| b.from == SITES[PRAHA].0);
    let (near, far): (Vec<_>, Vec<_>) = moved.partition(|b| b.site == PLZEN);
    let far = far.iter().filter(|b| b.site == BRNO).count();
    assert!(near.len() > 50 && far * 5 < near.len(), "{} to the region, {far} beyond", near.len());

    fleet.restart_cold(PRAHA);
    let seen = fleet.stand.mark();
    let mut highest = 0.0_f64;
    fleet.until("the return", Duration::from_secs(90), |fleet| {
        let Some(plan) = fleet.newest() else { return false };
        highest = highest.max(share(&plan, BRNO, PRAHA).max(share(&plan, PLZEN, PRAHA)));
        plan.sites.get(SITES[PRAHA].0) == Some(&SiteState::Serving)
    });
    let used = fleet.stand.since(seen).iter().filter_map(|b| b.cold_use).fold(0.0, f64::max);
    assert!(fleet.stand.falls() == 0 && used <= 1.0, "{} fell, {used:.2}", fleet.stand.falls());
    assert!(fleet.stand.since(seen).iter().filter(|b| b.site == PRAHA).count() > 100, "it serves again");
    load.finish();
    assert_ran_once(&fleet);
}

#[test]
fn a_loud_site_goes_with_the_planner_and_what_does_not_fit_is_refused_by_worth() {
    let mut fleet = Fleet::start("loud", Size::LEAN);
    let load = Load::start(&fleet, RATE, MOST, |n| Ask::usual(n, 50.0));
    load.more(200);
    fleet.until_followed(fleet.until_state(PRAHA, &[SiteState::Serving]));
    let before = fleet.newest().expect("a plan").mark;
    fleet.stand.set(PRAHA, SiteFault::Loud);
    let planner = cluster::planner(&fleet.cluster).0;
    fleet.cluster.nodes[planner].take().expect("running").kill();
    until_lost(&fleet, PRAHA);
    let lost = fleet.newest().expect("a plan");
    assert!(lost.mark.token > before.token, "another planner's: {before:?}, then {:?}", lost.mark);
    assert_left(&fleet, &load, PRAHA);

    // Half of the sidecars go, and come back knowing nothing.
    let half: Vec<usize> = (0..fleet.size.sidecars / 2).collect();
    fleet.kill_sidecars(&half);
    fleet.start_sidecars(&half);
    assert_left(&fleet, &load, PRAHA);

    let mark = load.mark();
    load.more(600);
    let done = load.since(mark);
    let refused = |class: usize| {
        let of: Vec<&Done> = done.iter().filter(|d| d.ask.class == class).collect();
        of.iter().filter(|d| d.status == 503).count() as f64 / of.len() as f64
    };
    assert!((0.02..0.5).contains(&refused(SAFE)), "{} of the least worth", refused(SAFE));
    assert!(refused(UNSAFE) <= refused(SAFE) / 4.0, "{} of what may not be repeated", refused(UNSAFE));
    assert!(done.iter().filter(|d| d.status == 503).all(|d| d.retry_after), "each is told when to come back");

    // The next planner goes on from the published plan, and so does the next leader of the log.
    fleet.cluster.start(planner);
    fleet.cluster.serving("the instance is back");
    let (old, planner) = (fleet.newest().expect("a plan"), cluster::planner(&fleet.cluster).0);
    fleet.cluster.nodes[planner].take().expect("running").kill();
    let new = goes_on(&fleet, &old, |new| new.mark.token > old.mark.token);
    fleet.cluster.start(planner);
    fleet.cluster.serving("the instance is back");
    let leader = fleet.leader();
    fleet.cluster.cut(leader, true);
    goes_on(&fleet, &new, |plan| plan.mark.version > new.mark.version + 3);
    fleet.cluster.cut(leader, false);
    load.finish();
    assert_ran_once(&fleet);
}

/// Waits for a plan that is newer, and checks that it goes on from the old one.
fn goes_on(fleet: &Fleet, old: &Plan, newer: impl Fn(&Plan) -> bool) -> Plan {
    let mut new = None;
    fleet.until("a newer plan", Duration::from_secs(40), |fleet| {
        new = fleet.newest().filter(&newer);
        new.is_some()
    });
    let new = new.expect("it came");
    assert_ne!(new.sites.get(SITES[PRAHA].0), Some(&SiteState::Serving), "it is not back");
    for (from, to) in [(PRAHA, PLZEN), (PLZEN, PLZEN), (BRNO, BRNO), (PLZEN, PRAHA), (BRNO, PRAHA)] {
        let (old, new) = (share(old, from, to), share(&new, from, to));
        assert!((old - new).abs() < 0.25, "from {from} to {to}: {old:.2}, then {new:.2}");
    }
    new
}

/// A report that all sites but its own are dark.
fn lie(origin: &str, site: usize, sequence: u64) -> Report {
    let dark = |to: usize| Traffic {
        site: SITES[to].0.to_owned(),
        tenant: TENANTS[0].0.to_owned(),
        sent: 5_000,
        dark: if to == site { 0 } else { 5_000 },
        answered: if to == site { 5_000 } else { 0 },
        ..Traffic::default()
    };
    Report {
        origin: origin.to_owned(),
        incarnation: 1,
        sequence,
        site: SITES[site].0.to_owned(),
        span_ms: 250,
        demand: Vec::new(),
        traffic: (0..SITES.len()).map(dark).collect(),
        sights: BTreeMap::new(),
        plan: None,
    }
}

#[test]
fn a_site_cut_off_serves_its_own_clients_and_neither_liar_nor_late_report_moves_a_site() {
    let fleet = Fleet::start("cut", Size::LEAN);
    let load = Load::start(&fleet, RATE, MOST, |n| Ask::usual(n, 25.0));
    load.more(200);
    fleet.until_followed(fleet.until_state(PRAHA, &[SiteState::Serving]));
    let began = fleet.newest().expect("a plan").mark.version;
    let mut sequence = 0;
    fleet.until("five plans under lies", Duration::from_secs(40), |fleet| {
        sequence += 1;
        assert_eq!(fleet.report(0, &lie("liar", BRNO, sequence)) / 100, 2, "it is well formed");
        let plan = fleet.newest().expect("a plan");
        assert!(plan.sites.values().all(|state| *state == SiteState::Serving), "{:?}", plan.sites);
        plan.mark.version >= began + 5
    });
    // One that is overtaken on its way is not taken, and the last one counts for its time and no longer.
    let late = serde_json::to_string(&lie("liar", BRNO, sequence + 1)).expect("JSON");
    fleet.fronts[0].delay(Duration::from_secs(1));
    let status = thread::scope(|scope| {
        let way = fleet.fronts[0].addr;
        let late =
            scope.spawn(move || cluster::call_at(way, "POST", "/fleet/reports", &late, cluster::PATIENCE));
        assert_eq!(fleet.report(0, &lie("liar", BRNO, sequence + 2)) / 100, 2);
        late.join().expect("no panic").expect("an answer").0
    });
    fleet.fronts[0].delay(Duration::ZERO);
    assert_eq!(status, 409, "a late report is refused");
    fleet.until("the lies cease to count", Duration::from_secs(20), |fleet| {
        fleet.reports().iter().all(|aged| aged.report.origin != "liar")
    });

    fleet.stand.set(PRAHA, SiteFault::CutFromOthers);
    assert_left(&fleet, &load, PRAHA);
    let (seen, mark) = (fleet.stand.mark(), load.mark());
    load.more(400);
    let own = fleet.stand.since(seen).into_iter().filter(|b| b.from == SITES[PRAHA].0);
    let (at_home, away): (Vec<_>, Vec<_>) = own.partition(|b| b.site == PRAHA);
    assert!(at_home.len() > away.len(), "{} at home, {} away", at_home.len(), away.len());
    let own: Vec<Done> = load.since(mark).into_iter().filter(|d| d.from == PRAHA).collect();
    let served = own.iter().filter(|d| d.status == 200).count();
    assert!(served * 100 >= own.len() * 95, "{served} of {} served", own.len());
    load.finish();
    assert_ran_once(&fleet);
}
