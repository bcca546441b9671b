use super::*;
use crate::fleet::config::{ClassConfig, SiteConfig, TenantConfig};
use crate::fleet::report::{Demand as Line, Report, Traffic};

const TICK: u64 = 250;
/// What is asked of one sidecar in a second, in requests of 10 ms.
const REQUESTS: f64 = 100.0;
const WORK: f64 = 10.0;

/// Sites a and b in the west, c and d in the east, each of four sidecars and servers for 10,000 ms of work a second,
/// of which 8,000 are used. Every sidecar is asked for 1,000 at a load of 1.
struct World {
    now: u64,
    planner: Planner,
    ledger: Ledger,
    plan: Plan,
    servers: Vec<Server>,
    out: BTreeMap<String, Window>,
    load: f64,
    sequence: u64,
}

fn config() -> FleetConfig {
    let site = |(name, region): (&str, &str)| {
        (name.to_owned(), SiteConfig { region: region.to_owned(), rate: 1_000.0 })
    };
    let class =
        |(name, worth, repeatable): (&str, f64, bool)| (name.to_owned(), ClassConfig { worth, repeatable });
    FleetConfig {
        sites: [("a", "west"), ("b", "west"), ("c", "east"), ("d", "east")].map(site).into(),
        tenants: [("t".to_owned(), TenantConfig { share: 1.0 })].into(),
        classes: [("dear", 5.0, true), ("cheap", 1.0, true), ("list", 0.5, false)].map(class).into(),
        ..FleetConfig::default()
    }
}

impl World {
    fn new() -> World {
        let server = |site: &str| Server { site: site.to_owned(), size: 10.0, ready: true, up_since_ms: 0 };
        World {
            now: 0,
            planner: Planner::new(config()),
            ledger: Ledger::default(),
            plan: Plan::default(),
            servers: ["a", "b", "c", "d"].map(server).into(),
            out: BTreeMap::new(),
            load: 1.0,
            sequence: 0,
        }
    }

    /// What a sidecar sent by the plan in the last second; what is dark goes to the first lit site instead.
    fn traffic(&self, site: &str, lit: &dyn Fn(&str, &str) -> bool) -> Vec<Traffic> {
        let none = Shares::new();
        let shares = self.plan.shares_for(site, "t").unwrap_or(&none);
        let line = |to: &str, answered: u64, dark: u64| {
            let (site, tenant, sent) = (to.to_owned(), "t".to_owned(), answered + dark);
            Traffic { site, tenant, answered, served: answered, dark, sent, ..Traffic::default() }
        };
        let mut again = 0;
        let mut traffic = Vec::new();
        for (to, share) in shares {
            let sent = (REQUESTS * self.load * share).round() as u64;
            let dark = if lit(site, to) { 0 } else { sent };
            again += dark;
            traffic.push(line(to, sent - dark, dark));
        }
        let other = ["a", "b", "c", "d"].into_iter().find(|to| *to != site && lit(site, to));
        traffic.extend(other.filter(|_| again > 0).map(|to| line(to, again, 0)));
        traffic
    }

    /// One tick: a quarter of the sidecars report, the planner plans, and no site is filled past its limit.
    fn tick(&mut self, lit: &dyn Fn(&str, &str) -> bool) {
        self.now += TICK;
        self.sequence += 1;
        for at in (0..16_u64).filter(|at| at % 4 == self.now / TICK % 4) {
            let site = ["a", "b", "c", "d"][at as usize / 4];
            let line = |class: &str, part: f64| {
                let (tenant, class) = ("t".to_owned(), class.to_owned());
                let work_ms = REQUESTS * WORK * self.load * part;
                Line { tenant, class, requests: (work_ms / WORK) as u64, work_ms, refused: 0 }
            };
            let report = Report {
                origin: format!("n{at}"),
                incarnation: 1,
                sequence: self.sequence,
                site: site.to_owned(),
                span_ms: 1_000,
                demand: vec![line("dear", 0.4), line("cheap", 0.4), line("list", 0.2)],
                traffic: self.traffic(site, lit),
                sights: BTreeMap::new(),
                plan: None,
            };
            self.ledger.take(report, 0, self.now).expect("a newer one");
        }
        let input = Input {
            now_ms: self.now,
            unix_ms: self.now,
            reports: &self.ledger,
            servers: &self.servers,
            out: &self.out,
        };
        let plan = self.planner.tick(&input);
        for (site, load) in &self.planner.placement().load {
            assert!(*load <= 8_000.0 * (1.0 + 1e-9), "{site} is given {load} at {}", self.now);
        }
        if self.planner.worth_publishing(&plan, self.now) {
            self.planner.published(plan.clone(), self.now);
            self.plan = plan;
        }
    }

    /// Ticks until the plan is as wanted, within a bound; gives the time that it took.
    fn until(&mut self, most_ms: u64, lit: &dyn Fn(&str, &str) -> bool, want: &dyn Fn(&Plan) -> bool) -> u64 {
        let began = self.now;
        while !want(&self.plan) {
            assert!(self.now < began + most_ms, "not within {most_ms} ms: {:?}", self.plan);
            self.tick(lit);
        }
        self.now - began
    }

    fn run(&mut self, ms: u64, lit: &dyn Fn(&str, &str) -> bool) {
        (0..ms / TICK).for_each(|_| self.tick(lit));
    }

    fn share(&self, from: &str, to: &str) -> f64 {
        self.plan.shares_for(from, "t").and_then(|shares| shares.get(to)).copied().unwrap_or(0.0)
    }
}

fn all(_: &str, _: &str) -> bool {
    true
}

fn is(site: &'static str, state: SiteState) -> impl Fn(&Plan) -> bool {
    move |plan| plan.sites.get(site) == Some(&state)
}

#[test]
fn a_lost_site_is_closed_and_its_load_placed_and_it_returns_by_the_ramp() {
    let mut world = World::new();
    world.load = 1.5;
    world.run(5_000, &all);
    assert!(world.share("b", "b") > 0.97 && world.share("a", "b") > 0.0, "home, and a look from outside");
    let took = world.until(3_000, &|_, to| to != "b", &is("b", SiteState::Lost));
    assert!(took <= 2_500, "{took}");
    // Of b's 6,000 the 2,000 that a has left go to its region, the others east.
    assert_eq!((world.share("b", "b"), world.share("a", "b"), world.share("c", "b")), (0.0, 0.0, 0.0));
    assert!(world.share("b", "a") > 0.3 && world.share("b", "c") > 0.3 && world.plan.admit.is_empty());
    world.until(10_000, &all, &is("b", SiteState::Returning));
    assert_eq!((&world.plan.trial[..], world.share("b", "b") < 0.05), (&["b".to_owned()][..], true));
    let (mut steps, mut last) = (Vec::new(), 0.0);
    while world.plan.sites["b"] == SiteState::Returning && steps.len() < 20 {
        let step = world.plan.ramp["b"];
        if step != last {
            steps.push(step);
            last = step;
        }
        assert!(world.share("b", "b") * 6_000.0 <= 8_000.0 * step + 1.0, "{step}");
        world.tick(&all);
    }
    assert_eq!(steps, [0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0]);
    assert!(world.share("b", "b") > 0.97);
}

#[test]
fn a_second_site_lost_in_the_return_of_the_first_is_placed_beside_it() {
    let mut world = World::new();
    world.run(5_000, &all);
    world.until(4_000, &|_, to| to != "b", &is("b", SiteState::Lost));
    world.until(30_000, &all, &|plan| plan.ramp.get("b") == Some(&0.1));
    world.until(4_000, &|_, to| to != "c", &is("c", SiteState::Lost));
    assert_eq!(
        (world.plan.sites["b"], world.share("c", "c"), world.share("a", "c")),
        (SiteState::Returning, 0.0, 0.0)
    );
    world.until(60_000, &all, &|plan| is("b", SiteState::Serving)(plan) && is("c", SiteState::Serving)(plan));
}

#[test]
fn a_site_cut_off_keeps_its_own_clients_and_gets_no_others() {
    let mut world = World::new();
    // a is over its limit, so that b has traffic of others.
    world.servers[0].size = 2.0;
    world.run(5_000, &all);
    let cut = |from: &str, to: &str| (from == "b") == (to == "b");
    world.until(6_000, &cut, &is("b", SiteState::Lost));
    assert_eq!((world.share("b", "b"), world.share("a", "b")), (1.0, 0.0));
    // The next planner keeps it so.
    let plan = world.plan.clone();
    world.planner = Planner::new(config());
    world.planner.resume(&plan, world.now);
    world.run(3_000, &cut);
    assert_eq!((world.share("b", "b"), world.share("a", "b")), (1.0, 0.0));
}

#[test]
fn overload_is_refused_in_order_and_a_window_empties_its_site() {
    let mut world = World::new();
    world.run(5_000, &all);
    // 40,000 are asked for where 32,000 fit: half of the cheap goes, and nothing else.
    world.load = 2.5;
    world.run(5_000, &all);
    let admitted = |world: &World| ["dear", "cheap", "list"].map(|class| world.plan.admitted("t", class));
    let [dear, cheap, list] = admitted(&world);
    assert!(dear == 1.0 && list == 1.0 && (cheap - 0.5).abs() < 0.02, "{cheap}");
    world.out.insert("d".to_owned(), Window::Draining { left_ms: 600_000 });
    world.run(2_500, &all);
    let half = world.share("d", "d");
    assert!(world.plan.sites["d"] == SiteState::Draining && (0.2..0.8).contains(&half), "{half}");
    // A planner that takes over in the midst gives none of it back.
    let plan = world.plan.clone();
    world.planner = Planner::new(config());
    world.planner.resume(&plan, world.now);
    for _ in 0..8 {
        world.tick(&all);
        assert!(world.share("d", "d") <= half + 1e-9, "{}", world.share("d", "d"));
    }
    world.run(4_000, &all);
    assert_eq!((world.plan.sites["d"], world.share("d", "d")), (SiteState::Draining, 0.0));
    // Without d 24,000 fit.
    world.run(1_000, &all);
    let [dear, cheap, list] = admitted(&world);
    assert!(list == 1.0 && dear == 1.0 && cheap < 0.02, "{dear} {cheap}");
}

#[test]
fn the_next_planner_goes_on_without_a_jump_and_an_empty_ledger_says_nothing() {
    let mut world = World::new();
    world.load = 1.5;
    world.run(5_000, &all);
    world.until(3_000, &|_, to| to != "b", &is("b", SiteState::Lost));
    world.until(30_000, &all, &|plan| plan.ramp.get("b") == Some(&0.4));
    for ledger in [true, false] {
        let before = world.plan.clone();
        world.planner = Planner::new(config());
        world.planner.resume(&before, world.now);
        if !ledger {
            world.ledger = Ledger::default();
        }
        for _ in 0..5 {
            world.tick(&all);
            assert_eq!(world.plan.sites, before.sites);
            assert!(!differ(&world.plan, &before), "{:?}\n{before:?}", world.plan.shares);
        }
    }
}
