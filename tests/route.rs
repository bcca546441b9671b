//! What a plan changes in the module's actions, and that nothing changes without one.

mod common;
use common::*;
use micapier::fleet::plan::{ANY, Plan};
use micapier::fleet::route::{Names, Route};
use micapier::fleet::state::SiteState;
use micapier::{Balancer, api::*};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A line of a list over three zones, some of them cold, in cells of four.
fn mixed(id: u64, now: u64) -> Listed {
    let started = (id.is_multiple_of(5)).then(|| ms(now.saturating_sub(id * 700)));
    let (zone, cell, kind) = ((id % 3) as u16, (id / 4) as u16, (id % 2) as u8);
    Listed { zone, cell, kind, weight: 1.0 + (id % 4) as f64, started, ..line(id) }
}

/// All actions of 6,000 events by chance, as a number: lists, bans, requests, streams, uploads, probes, timers and
/// every outcome. `plans` are told `Event::Plan(None)` now and then. Without `starts` no server is cold, nor banned.
fn fingerprint(seed: u64, probes: Permit, cancel: Permit, plans: bool, starts: bool) -> u64 {
    let window = ms(800);
    let keyed = |group| class(Idempotency::Keyed { group, window });
    let mixed = |id, now| Listed { started: mixed(id, now).started.filter(|_| starts), ..mixed(id, now) };
    let classes = vec![
        class(Idempotency::Idempotent),
        keyed(Group::Zone),
        keyed(Group::Cell),
        class(Idempotency::NonIdempotent),
    ];
    let price = if seed.is_multiple_of(2) { 0.02 } else { 0.0 };
    let settings = Settings { probes, cancel, cross_zone_price: price, zone: 1, ..settings(classes) };
    let (mut balancer, mut rng) = (Balancer::new(settings, seed), fastrand::Rng::with_seed(seed));
    let (mut out, mut hash) = (Vec::new(), 0xcbf2_9ce4_8422_2325_u64);
    let (mut now, mut timers, mut flying) = (0_u64, Vec::new(), Vec::new());
    let (mut sends, mut asked) = (BTreeMap::<RequestId, usize>::new(), Vec::new());
    for step in 0..6_000_u32 {
        now += rng.u64(0..30);
        let event = match rng.u32(0..100) {
            _ if step == 0 => Event::List(ListNews::Cached((1..30).map(|id| mixed(id, now)).collect())),
            0 => Event::List(ListNews::Full((1..rng.u64(20..40)).map(|id| mixed(id, now)).collect())),
            1 => Event::Banned((1..40).filter(|_| rng.u32(0..10) == 0 && starts).map(ServerId).collect()),
            2 => Event::HungUp(RequestId(step - rng.u32(0..20).min(step))),
            3..=40 => {
                let (id, class) = (RequestId(step), rng.usize(0..4));
                let cost = rng.bool().then(|| ms(rng.u64(1..200)));
                let origin = if rng.u32(0..8) == 0 { Origin::ClientRetry } else { Origin::Fresh };
                let patience = ms(rng.u64(0..1_500));
                Event::Request(Arrival { id, class, cost, patience, origin, tenant: None })
            }
            41..=55 if !asked.is_empty() => {
                let (server, held) = (asked.swap_remove(rng.usize(..asked.len())), Some(rng.f64() * 4.0));
                Event::Probed { server, outcome: if rng.bool() { Outcome::Ok } else { Outcome::Full }, held }
            }
            56..=85 if !flying.is_empty() => {
                let (id, attempt, sent) = flying.swap_remove(rng.usize(..flying.len()));
                let all = [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Full];
                let dark = [Outcome::Timeout, Outcome::ConnectFailed, Outcome::Reset, Outcome::Cancelled];
                let outcome = if rng.u32(0..6) > 0 { all[rng.usize(..5)] } else { dark[rng.usize(..4)] };
                let (took, kept) = (ms(now - sent), (id, attempt, sent));
                let again = rng.u32(0..20);
                flying.extend((again < 3).then_some(kept));
                match again {
                    0 => Event::Uploading { id, attempt },
                    1 => Event::Uploaded { id, attempt },
                    2 => Event::StreamStarted { id, attempt, took },
                    _ => Event::Outcome { id, attempt, outcome, took, progress: Progress::Owed },
                }
            }
            _ => {
                timers.sort();
                let Some((at, timer)) = timers.first().copied() else { continue };
                timers.remove(0);
                now = now.max(at);
                Event::Timer(timer)
            }
        };
        if plans && step % 50 == 7 {
            balancer.handle(ms(now), Event::Plan(None), &mut out);
        }
        balancer.handle(ms(now), event, &mut out);
        for action in out.drain(..) {
            for byte in format!("{now} {action:?}").bytes() {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
            match action {
                Action::Send { id, .. } => {
                    let attempt = sends.entry(id).or_default();
                    flying.push((id, *attempt, now));
                    *attempt += 1;
                }
                Action::Probe(server) => asked.push(server),
                Action::SetTimer { timer, after } => timers.push((now + after.as_millis() as u64, timer)),
                _ => {}
            }
        }
    }
    hash
}

const MAY: Permit = Permit::Granted;
const MAY_NOT: Permit = Permit::Denied;

/// What the module does by seed, whether it may probe, and whether it may cancel: with cold servers, and where there
/// are none.
const BEFORE: [(u64, Permit, Permit, u64, u64); 8] = [
    (1, MAY_NOT, MAY, 0xd981_74f6_ffa5_5d67, 0x3a8c_00bc_a2fb_499b),
    (2, MAY_NOT, MAY, 0x5154_085b_3564_486f, 0x5c24_25ce_a7a2_63e9),
    (3, MAY, MAY, 0x4af7_0f1e_835e_d9af, 0x0859_8d2f_f1b5_0e52),
    (4, MAY, MAY, 0x9c46_d0cb_31d9_fbf0, 0x4e29_8960_1ab0_2c0f),
    (1, MAY_NOT, MAY_NOT, 0x1c64_8dd4_6c76_1e4c, 0xdf29_bff6_dda8_ac69),
    (2, MAY_NOT, MAY_NOT, 0x4f4b_e86c_79c6_d3e4, 0x7021_a9fc_ffa2_772e),
    (3, MAY, MAY_NOT, 0x4af7_0f1e_835e_d9af, 0x0859_8d2f_f1b5_0e52),
    (4, MAY, MAY_NOT, 0x9c46_d0cb_31d9_fbf0, 0x4e29_8960_1ab0_2c0f),
];

#[test]
fn without_a_plan_each_action_is_the_one_of_before() {
    for (seed, probes, cancel, cold, warm) in BEFORE {
        for (starts, before) in [(true, cold), (false, warm)] {
            let day = format!("seed {seed}, probes {probes:?}, cancel {cancel:?}, {starts}");
            let told = |plans| fingerprint(seed, probes, cancel, plans, starts);
            assert_eq!(told(false), before, "{day}");
            assert_eq!(told(true), before, "told that there is none: {day}");
        }
    }
}

const ZONES: [&str; 3] = ["a", "b", "c"];

fn map<T: Clone>(pairs: &[(&str, T)]) -> BTreeMap<String, T> {
    pairs.iter().map(|(name, value)| ((*name).to_owned(), value.clone())).collect()
}

/// Shares for a sidecar in `a`, whoever asks.
fn shared(shares: &[(&str, f64)]) -> Plan {
    Plan { shares: map(&[("a", map(&[(ANY, map(shares))]))]), ..Plan::default() }
}

fn told(plan: &Plan) -> Event {
    let list = |names: &[&str]| names.iter().map(|&name| name.to_owned()).collect::<Vec<String>>();
    let (zones, tenants, classes) = (list(&ZONES), list(&["s", "t"]), list(&["safe", "keyed", "once"]));
    let names = Names { zones: &zones, tenants: &tenants, classes: &classes };
    Event::Plan(Some(Arc::new(Route::resolve(plan, 0, names))))
}

/// `each` servers in each of three zones; the sidecar is in the first. A server's zone is its id by 100.
fn rig(each: u64, plan: &Plan) -> Rig {
    let keyed = Idempotency::Keyed { group: Group::Zone, window: ms(800) };
    let settings = settings([Idempotency::Idempotent, keyed, Idempotency::NonIdempotent].map(class).to_vec());
    let of = |zone: u64| (0..each).map(move |n| Listed { zone: zone as u16, ..line(zone * 100 + n) });
    let mut rig = Rig::new(settings, (0..3).flat_map(of).collect());
    rig.tell(told(plan));
    rig
}

/// The zone that a request of a class goes to; answered at once, unless that is for later.
fn zone(rig: &mut Rig, id: u32, class: usize, tenant: Option<u16>, outcome: Option<Outcome>) -> Option<u64> {
    let said = rig.tell(Event::Request(Arrival { class, tenant, ..arrival(id) }));
    if let Some(outcome) = outcome.filter(|_| sent(&said).is_some()) {
        rig.wait(10);
        rig.end(RequestId(id), 0, outcome, 10);
    }
    sent(&said).map(|server| server.0 / 100)
}

#[test]
fn requests_go_where_the_tenants_shares_say_and_nowhere_that_is_closed() {
    let mut plan = shared(&[("a", 6.0), ("b", 4.0), ("c", 0.0)]);
    plan.shares.get_mut("a").expect("shares").insert("t".to_owned(), map(&[("c", 1.0)]));
    let mut rig = rig(8, &plan);
    let mut counts = [0; 3];
    let mut go = |rig: &mut Rig, ids: std::ops::Range<u32>, tenant| {
        for id in ids {
            counts[zone(rig, id, 0, tenant, Some(Outcome::Ok)).expect("sent") as usize] += 1;
        }
        std::mem::take(&mut counts)
    };
    let [home, away, none] = go(&mut rig, 0..1_000, Some(0));
    assert!((540..=660).contains(&home) && (340..=460).contains(&away) && none == 0, "{home} {away} {none}");
    assert_eq!(go(&mut rig, 1_000..1_100, Some(1)), [0, 0, 100]);
    // Lost: the rest takes all. With all of it lost, what no share names is used before what is closed.
    plan.sites = map(&[("b", SiteState::Lost)]);
    rig.tell(told(&plan));
    assert_eq!(go(&mut rig, 2_000..2_100, None), [100, 0, 0]);
    plan.sites = map(&[("a", SiteState::Maintenance), ("b", SiteState::Lost)]);
    rig.tell(told(&plan));
    assert_eq!(go(&mut rig, 3_000..3_100, None), [0, 0, 100]);
    plan.sites.insert("c".to_owned(), SiteState::Lost);
    rig.tell(told(&plan));
    assert_eq!(zone(&mut rig, 4_000, 0, None, None), None);
    assert!(refused(&rig.wait(1_200)), "and never to what is closed");
    // One's own zone that is lost to the others is not to oneself.
    plan.sites.insert("a".to_owned(), SiteState::Lost);
    rig.tell(told(&plan));
    assert_eq!(go(&mut rig, 5_000..5_010, None), [10, 0, 0]);
    // Past its bound the sidecar judges alone.
    rig.tell(Event::Plan(None));
    let alone = go(&mut rig, 6_000..6_300, None);
    assert!(alone.iter().all(|&count| count > 50), "{alone:?}");
}

#[test]
fn a_zone_that_lacks_servers_is_topped_up_and_dark_ones_are_left_by_own_judgement() {
    // One server of nearly all shares, and slow: the better of two is elsewhere.
    let mut one = rig(1, &shared(&[("a", 1.0), ("b", 1e-9)]));
    let took = |server: ServerId| if server.0 == 0 { 300 } else { 20 };
    one.serve_many(50, took);
    assert_eq!(one.serve(took), ServerId(100));
    let mut rig = rig(4, &shared(&[("a", 1.0), ("b", 1.0)]));
    let dark = |zone| if zone == 0 { Outcome::ConnectFailed } else { Outcome::Ok };
    for id in 0..40 {
        let (id, said) = (RequestId(id), rig.arrive(id, 0, 1_200, Origin::Fresh));
        if let Some(server) = sent(&said) {
            rig.wait(5);
            rig.end(id, 0, dark(server.0 / 100), 5);
            rig.tell(Event::HungUp(id));
        }
    }
    let to_dark = (100..200).filter(|&id| zone(&mut rig, id, 2, None, Some(Outcome::Ok)) == Some(0)).count();
    assert_eq!(to_dark, 0, "ejected, and no trial with what may not be repeated");
}

#[test]
fn what_is_out_in_a_zone_that_is_lost_holds_nothing_up() {
    let mut rig = rig(2, &shared(&[("b", 1.0)]));
    let out = (0..40).take_while(|&id| zone(&mut rig, id, 0, None, None).is_some()).count();
    assert!((5..40).contains(&out), "{out} fill the window");
    let said = rig.tell(told(&Plan { sites: map(&[("b", SiteState::Lost)]), ..shared(&[("a", 1.0)]) }));
    assert!(sent(&said).is_some_and(|server| server.0 < 100), "{said:?}");
    // Nor does their silence tell of a crowd: as many as may be out at what is left go out at once.
    rig.wait(600);
    let more = (100..140).take_while(|&id| zone(&mut rig, id, 0, None, None).is_some()).count();
    assert!(more >= 4, "{more}");
}

#[test]
fn a_request_beyond_the_admitted_part_is_refused_at_once_and_one_within_it_by_no_lot() {
    let mut plan = shared(&[("a", 1.0), ("b", 1.0)]);
    let run = |plan: &Plan| {
        let mut rig = rig(4, plan);
        let to = (0..400).map(|id| zone(&mut rig, id, 0, Some(1), Some(Outcome::Ok))).collect::<Vec<_>>();
        (to, rig)
    };
    let (all, _) = run(&plan);
    plan.admit = map(&[("t", map(&[("safe", 1.0), ("once", 0.0)])), (ANY, map(&[("safe", 0.5)]))]);
    let (same, mut rig) = run(&plan);
    assert!(all == same && rig.balancer.turned_away() == 0, "who is taken in whole draws no lot");
    let (patience, tenant) = (ms(1_000), Some(1));
    for (id, origin) in [(1_000, Origin::Fresh), (1_001, Origin::ClientRetry)] {
        let said = rig.tell(Event::Request(Arrival { class: 2, patience, origin, tenant, ..arrival(id) }));
        let [Action::Refuse { retry_after: Some(after), .. }] = said[..] else { panic!("{said:?}") };
        assert!(!after.is_zero() && after <= ms(600));
    }
    let taken = (2_000..3_000).filter(|&id| zone(&mut rig, id, 0, None, Some(Outcome::Ok)).is_some()).count();
    assert!((430..=570).contains(&taken), "{taken} of 1,000");
    assert_eq!(rig.balancer.turned_away(), 2 + 1_000 - taken as u64);
    // One that was taken is not refused by a later plan.
    let (id, said) = (RequestId(4_000), rig.arrive(4_000, 0, 1_200, Origin::Fresh));
    plan.admit = map(&[(ANY, map(&[("safe", 0.0)]))]);
    rig.tell(told(&plan));
    let said = if sent(&said).is_some() { rig.end(id, 0, Outcome::ConnectFailed, 1) } else { said };
    assert!(sent(&said).is_some() || rig.balancer.turned_away() == 1_003 - taken as u64, "{said:?}");
}

#[test]
fn a_trial_zone_gets_only_first_attempts_that_are_safe_and_a_keyed_repeat_stays_in_its_zone() {
    let mut plan = shared(&[("b", 1.0)]);
    plan.trial = vec!["b".to_owned()];
    let mut rig = rig(4, &plan);
    // They earn the repeats.
    assert!((1_000..1_100).all(|id| zone(&mut rig, id, 0, None, Some(Outcome::Ok)) == Some(1)));
    assert_eq!(zone(&mut rig, 1, 0, None, None), Some(1));
    let again = sent(&rig.end(RequestId(1), 0, Outcome::Error, 5)).map(|server| server.0 / 100);
    assert!(again.is_some_and(|zone| zone != 1), "{again:?}");
    assert!((2..12).all(|id| zone(&mut rig, id, 2, None, Some(Outcome::Ok)) != Some(1)));
    // The first copy was in `b`; the plan has since moved all to `a`, and then lost `b`, and then closed it.
    for (state, stays) in
        [(SiteState::Draining, true), (SiteState::Lost, true), (SiteState::Maintenance, false)]
    {
        rig.tell(told(&shared(&[("b", 1.0)])));
        let id = 100 + state as u32;
        assert_eq!(zone(&mut rig, id, 1, None, None), Some(1));
        rig.tell(told(&Plan { sites: map(&[("b", state)]), ..shared(&[("a", 1.0)]) }));
        let said = rig.end(RequestId(id), 0, Outcome::Error, 5);
        assert_eq!(sent(&said).map(|server| server.0 / 100), stays.then_some(1), "{state:?}");
        assert!(stays || failed(&rig.wait(1_200)), "given up, as where the group is gone");
        rig.tell(Event::HungUp(RequestId(id)));
    }
}

/// Five sidecars with a traffic of 1 to 16 each and a site with cold servers, one of them of twice the size: all of
/// it, the rest of it warm, and where nearly all is another's that has one server. The cold ones answer so fast that
/// they win each draw.
#[test]
fn cold_servers_get_no_more_of_all_requests_than_their_budget_whoever_sends_them() {
    const COLD_SHARE: f64 = 0.06;
    for (warm_there, servers_of_a, share_of_b) in [(0_u64, 10, 0.25), (6, 10, 0.25), (0, 1, 0.01)] {
        let (mut to, mut all) = (BTreeMap::<u64, f64>::new(), 0.0);
        let started = |n: u64| (n >= warm_there).then(|| ms(20_000 - 2_000 * (n % 4)));
        let weight = |n: u64| if n == 9 { 2.0 } else { 1.0 };
        for sidecar in 0..5_u32 {
            let settings =
                Settings { instances: 5, number: sidecar, ..settings(vec![class(Idempotency::Idempotent)]) };
            let mut plan = shared(&[("a", 1.0 - share_of_b), ("b", share_of_b)]);
            plan.cold_share = Some(COLD_SHARE);
            let of_b = |n| Listed { zone: 1, started: started(n), weight: weight(n), ..line(100 + n) };
            let lines = (0..servers_of_a).map(line).chain((0..10).map(of_b)).collect();
            let mut rig = Rig::seeded(settings, vec![], u64::from(sidecar));
            rig.now = 20_000;
            rig.tell(Event::List(ListNews::Full(lines)));
            rig.tell(told(&plan));
            // The clock stands, so that none gets any warmer.
            for id in 0..(500_u32 << sidecar) {
                let (id, said) = (RequestId(id), rig.arrive(id, 0, 1_200, Origin::Fresh));
                let server = sent(&said).expect("sent, if to a warm one");
                rig.end(id, 0, Outcome::Ok, if server.0 >= 100 + warm_there { 5 } else { 300 });
                *to.entry(server.0).or_default() += 1.0;
                all += 1.0;
            }
        }
        let mut used = 0.0;
        for n in warm_there..10 {
            let warmth =
                started(n).map_or(1.0, |at| 0.2 + 0.8 * (20_000.0 - at.as_millis() as f64) / 20_000.0);
            let budget = COLD_SHARE * weight(n) * warmth * all;
            let got = to.get(&(100 + n)).copied().unwrap_or(0.0);
            assert!(got <= budget + 4.0 * budget.sqrt(), "server {n}: {got} of {budget}");
            used += got / budget;
        }
        let part = used / (10 - warm_there) as f64;
        assert!(share_of_b < 0.1 || part > 0.25, "and where they are drawn they are used: {part}");
    }
}

/// What a request and its answer cost, by the plan: `cargo test --release --test route -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement, to be run in release"]
fn what_a_request_costs_with_and_without_a_plan() {
    const REQUESTS: u32 = 200_000;
    let shares = shared(&[("a", 0.9), ("b", 0.06), ("c", 0.04)]);
    let bounded = Plan { cold_share: Some(0.01), ..shares.clone() };
    for (name, plan, cold) in [
        ("no plan", None, 0),
        ("no plan, cold", None, 5),
        ("plan", Some(&shares), 0),
        ("bounded", Some(&bounded), 0),
        ("cold", Some(&bounded), 5),
    ] {
        let started = |n: u64| (n < cold).then(|| ms(590_000));
        let line = |n: u64| Listed { zone: (n % 3) as u16, started: started(n), ..line(n) };
        let mut balancer = Balancer::new(settings(vec![class(Idempotency::Idempotent)]), 1);
        let mut out = Vec::new();
        balancer.handle(ms(0), Event::List(ListNews::Cached((0..200).map(line).collect())), &mut out);
        balancer.handle(ms(0), plan.map_or(Event::Plan(None), told), &mut out);
        let (mut spent, mut sends) = (std::time::Duration::ZERO, 0);
        for id in 0..REQUESTS {
            // 600 s on, so that it is warm itself; twenty requests a ms, each answered at once.
            let (now, arrival) = (ms(600_000 + u64::from(id) / 20), arrival(id));
            let begun = std::time::Instant::now();
            balancer.handle(now, Event::Request(arrival), &mut out);
            sends += u32::from(sent(&out).is_some());
            let (id, outcome, took, progress) = (RequestId(id), Outcome::Ok, ms(20), Progress::Ended);
            balancer.handle(now, Event::Outcome { id, attempt: 0, outcome, took, progress }, &mut out);
            spent += begun.elapsed();
            out.clear();
        }
        assert_eq!(sends, REQUESTS);
        println!("{name}: {} ns", spent.as_nanos() / u128::from(REQUESTS));
    }
}
