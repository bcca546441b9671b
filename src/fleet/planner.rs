//! The planner: from the reports, the list and the calendar to the plan, one tick at a time.
//!
//! A plan follows the evidence within one tick of its holder. The order within a tick: verdicts, the states of the
//! sites, their rooms, placement and admission, the looks from site to site, and last the steering of tenants with
//! contracts, which only goes to sites that serve.

use super::capacity::{Capacity, Server, capacity, cold_share};
use super::config::FleetConfig;
use super::demand::Demand;
use super::estimates::Estimates;
use super::evidence::{Fresh, Verdict, View, judge};
use super::looks::{LOOK, look};
use super::placement::{Ask, Placement, place};
use super::plan::{ANY, Plan, Shares, VALID_MS};
use super::report::Ledger;
use super::site::{self, SiteMachine, Window};
use super::state::SiteState;
use super::steering::{SteerInput, Steering};
use std::collections::BTreeMap;

/// How long a new planner listens before it changes anything, in ms: one report of each sidecar. Until then that few
/// say anything is no evidence.
const LISTEN_MS: u64 = 1_000;
/// The longest time between two publications, in ms.
const PUBLISH_MS: u64 = 1_000;
/// A change of a share or an admission under this is published with the next second's plan.
const SMALL: f64 = 0.02;
/// The time constant in ms by which the normal capacity of a site follows a list that has fewer servers: a tenant's
/// share does not shrink because a site is lost.
const NORMAL_MS: f64 = 600_000.0;
/// How many of a site's own sidecars it takes to hold it dark where nobody outside has an answer from it.
const DARK_OWN: usize = 2;

/// What a tick is decided by.
#[derive(Debug)]
pub struct Input<'a> {
    /// The time by the holder's monotonic clock, in ms; reports are held by it.
    pub now_ms: u64,
    /// The time by which servers say when they started, Unix ms.
    pub unix_ms: u64,
    /// The reports of all sidecars.
    pub reports: &'a Ledger,
    /// The upstreams of the list.
    pub servers: &'a [Server],
    /// What the maintenance calendar says; nothing of a site that it does not name.
    pub out: &'a BTreeMap<String, Window>,
}

/// What is remembered of a site from tick to tick.
#[derive(Debug, Default)]
struct Site {
    machine: SiteMachine,
    /// Dark to the others while its own sidecars see it lit: it goes on serving its own clients.
    cut_off: bool,
    /// Seen dark by more of the others than see it lit.
    doubted: bool,
    /// What it can do when all its servers are there.
    normal: f64,
}

/// Plans for the fleet.
#[derive(Debug)]
pub struct Planner {
    config: FleetConfig,
    sites: BTreeMap<String, Site>,
    fresh: Fresh,
    demand: Demand,
    estimates: Estimates,
    steering: Steering,
    placement: Placement,
    last_ms: Option<u64>,
    listens_until: Option<u64>,
    /// The plan that the next goes on from.
    plan: Plan,
    /// What was published, and when.
    published: Option<(Plan, u64)>,
}

impl Planner {
    /// One that knows nothing yet: every site serves.
    pub fn new(config: FleetConfig) -> Planner {
        let sites: BTreeMap<String, Site> =
            config.sites.keys().map(|site| (site.clone(), Site::default())).collect();
        let states = sites.keys().map(|site| (site.clone(), SiteState::Serving)).collect();
        Planner {
            config,
            sites,
            fresh: Fresh::default(),
            demand: Demand::default(),
            estimates: Estimates::default(),
            steering: Steering::new(),
            placement: Placement::default(),
            last_ms: None,
            listens_until: None,
            plan: Plan { valid_ms: VALID_MS, sites: states, ..Plan::default() },
            published: None,
        }
    }

    /// Goes on at `now_ms` from the plan that another planner published last.
    pub fn resume(&mut self, plan: &Plan, now_ms: u64) {
        for (name, site) in &mut self.sites {
            let state = plan.sites.get(name).copied().unwrap_or_default();
            let weight = plan.ramp.get(name).copied().unwrap_or(0.0);
            site.machine = SiteMachine::resume(state, weight, now_ms);
            let home = plan.shares_for(name, ANY).and_then(|shares| shares.get(name)).copied();
            // Its own clients have more of it than a site on its way back would get.
            let own = home.is_some_and(|home| home > 0.5 && weight < 0.5);
            site.cut_off = own && matches!(state, SiteState::Lost | SiteState::Returning);
        }
        self.steering = Steering::resume(plan);
        let states = self.sites.iter().map(|(name, site)| (name.clone(), site.machine.state())).collect();
        self.plan = Plan { valid_ms: VALID_MS, sites: states, ..plan.clone() };
        self.listens_until = Some(now_ms + LISTEN_MS);
    }

    /// What is asked of the whole fleet, in ms of work a second.
    pub fn demand(&self) -> f64 {
        self.demand.total()
    }

    /// The latest placement, with what was refused.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// The plan by what is known at the time of the input, its mark unset. In the first second it is the one that was
    /// gone on from.
    pub fn tick(&mut self, input: &Input) -> Plan {
        let now_ms = input.now_ms;
        let passed = self.last_ms.map_or(0, |last| now_ms.saturating_sub(last));
        self.last_ms = Some(now_ms);
        self.demand.note(&self.config, input.reports.live(now_ms), now_ms);
        for (report, age_ms) in input.reports.live_aged(now_ms) {
            self.estimates.take(&self.config, report, age_ms, now_ms);
        }
        self.estimates.sweep(&self.config, now_ms);
        let able = capacity(&self.config, input.servers, input.unix_ms);
        for (name, site) in &mut self.sites {
            let listed = able.normal.get(name).copied().unwrap_or(0.0);
            let kept = (-(passed as f64) / NORMAL_MS).exp();
            site.normal = listed.max(listed + (site.normal - listed) * kept);
        }
        if now_ms < *self.listens_until.get_or_insert(now_ms + LISTEN_MS) {
            return Plan { mark: Default::default(), ..self.plan.clone() };
        }
        self.step_sites(input);
        self.plan = self.plan_for(input, &able);
        self.plan.clone()
    }

    /// Whether a plan has to be published at `now_ms`: at any change that matters, and each second at least.
    pub fn worth_publishing(&self, plan: &Plan, now_ms: u64) -> bool {
        let Some((last, at)) = &self.published else { return true };
        let same = plan.sites == last.sites
            && plan.ramp == last.ramp
            && plan.trial == last.trial
            && plan.breaches == last.breaches
            && plan.cold_share.is_some() == last.cold_share.is_some();
        now_ms >= at + PUBLISH_MS || !same || differ(plan, last)
    }

    /// The plan that was published last by this planner.
    pub fn last_published(&self) -> Option<&Plan> {
        self.published.as_ref().map(|(plan, _)| plan)
    }

    /// Notes that a plan was published at `now_ms`.
    pub fn published(&mut self, plan: Plan, now_ms: u64) {
        self.published = Some((plan, now_ms));
    }

    fn step_sites(&mut self, input: &Input) {
        let now_ms = input.now_ms;
        let mut verdicts = judge(input.reports.live(now_ms), &self.config);
        let mut answers = self.fresh.look(input.reports.live(now_ms), &self.config);
        for (name, site) in &mut self.sites {
            let mut verdict = verdicts.remove(name).unwrap_or_default();
            let own_see_dark = verdict.inside == View::Dark && verdict.dark_inside >= DARK_OWN;
            if verdict.witnesses == verdict.dark && own_see_dark {
                // Nobody outside has any answer from there: it is the matter of its own sidecars alone.
                verdict = Verdict { outside: View::Dark, ..verdict };
            }
            site.doubted = 2 * verdict.dark > verdict.witnesses;
            let state = site.machine.step(&site::Input {
                now_ms,
                verdict,
                answers: answers.remove(name).unwrap_or_default(),
                window: input.out.get(name).copied().unwrap_or_default(),
            });
            site.cut_off = match state {
                SiteState::Suspect => verdict.inside == View::Lit,
                SiteState::Lost | SiteState::Returning => site.cut_off && verdict.inside != View::Dark,
                SiteState::Serving | SiteState::Draining | SiteState::Maintenance => false,
            };
        }
    }

    fn plan_for(&mut self, input: &Input, able: &Capacity) -> Plan {
        let limit = |site: &str| able.now.get(site).copied().unwrap_or(0.0) * self.config.utilisation;
        let asked = self.demand.asks();
        let (kept, asks) = self.keep_home(&asked, &limit);
        let mut rooms = Shares::new();
        let mut free = Shares::new();
        for (name, site) in &self.sites {
            let (limit, weight) = (limit(name), site.machine.weight());
            let kept = kept.get(name).map_or(0.0, |(work, _)| *work);
            let room = (limit * weight).min(limit - kept).max(0.0);
            // Home comes first, and would fill a small room whole: the others have to see it answer too.
            let looks = if weight < 1.0 { (limit * LOOK).min(room / 2.0) } else { 0.0 };
            rooms.insert(name.clone(), room - looks);
            free.insert(name.clone(), looks);
        }
        let normal = self.sites.values().map(|site| site.normal).sum();
        let mut placement = place(&self.config, &rooms, normal, &asks);
        for (site, free) in &mut free {
            *free += rooms[site] - placement.load.get(site).copied().unwrap_or(0.0);
        }
        let mut going = Shares::new();
        for ((origin, _), work) in taken(&asks, &placement) {
            *going.entry(origin).or_default() += work;
        }
        let doubted =
            self.sites.iter().filter(|(_, site)| site.doubted).map(|(name, _)| name.as_str()).collect();
        let weights = rooms.keys().map(|site| (site.clone(), limit(site))).collect();
        for (site, change) in look(&mut placement.shares, &going, &weights, &free, &doubted) {
            *placement.load.entry(site).or_default() += change;
        }
        for (origin, (work, part)) in &kept {
            *placement.load.entry(origin.clone()).or_default() += work;
            let shares = placement.shares.entry(origin.clone()).or_default();
            let rest = if shares.is_empty() { 0.0 } else { 1.0 - part };
            shares.values_mut().for_each(|share| *share *= rest);
            *shares.entry(origin.clone()).or_default() += 1.0 - rest;
        }
        let steered = self.steering.step(&SteerInput {
            now_ms: input.now_ms,
            config: &self.config,
            base: &placement.shares,
            load: &taken(&asked, &placement),
            rooms: &rooms,
            placed: &placement.load,
            open: |site: &str| {
                self.sites.get(site).is_some_and(|site| site.machine.state() == SiteState::Serving)
            },
            estimates: &self.estimates,
        });
        let mut shares: BTreeMap<String, BTreeMap<String, Shares>> = BTreeMap::new();
        for (origin, all) in &placement.shares {
            shares.entry(origin.clone()).or_default().insert(ANY.to_owned(), all.clone());
        }
        for (origin, tenants) in steered.shares {
            shares.entry(origin).or_default().extend(tenants);
        }
        let of = |what: fn(&SiteMachine) -> bool| {
            self.sites
                .iter()
                .filter(move |(_, site)| what(&site.machine))
                .map(|(name, site)| (name.clone(), site))
        };
        let plan = Plan {
            mark: Default::default(),
            valid_ms: VALID_MS,
            sites: of(|_| true).map(|(name, site)| (name, site.machine.state())).collect(),
            shares,
            admit: self.admit(&placement),
            cold_share: cold_share(&self.config, input.servers, input.unix_ms, self.demand.highest()),
            ramp: of(|machine| matches!(machine.state(), SiteState::Returning | SiteState::Draining))
                .map(|(name, site)| (name, site.machine.weight()))
                .collect(),
            trial: of(SiteMachine::is_trial).map(|(name, _)| name).collect(),
            breaches: steered.breaches,
        };
        self.placement = placement;
        plan
    }

    /// Takes from the asks what the sites that are cut off serve of their own clients: by site the work and the part
    /// of all that is asked there.
    fn keep_home(
        &self, asks: &[Ask], limit: &dyn Fn(&str) -> f64,
    ) -> (BTreeMap<String, (f64, f64)>, Vec<Ask>) {
        let (mut kept, mut asks) = (BTreeMap::new(), asks.to_vec());
        for (name, _) in self.sites.iter().filter(|(name, site)| site.cut_off && limit(name) > 0.0) {
            let asked: f64 = asks.iter().filter(|ask| ask.site == *name).map(|ask| ask.work).sum();
            let part = if asked > 0.0 { (limit(name) / asked).min(1.0) } else { 1.0 };
            asks.iter_mut().filter(|ask| ask.site == *name).for_each(|ask| ask.work *= 1.0 - part);
            kept.insert(name.clone(), (asked * part, part));
        }
        (kept, asks)
    }

    /// The admissions of a placement. Whoever is named goes by its own, so that what is said of the others does not
    /// count for it.
    fn admit(&self, placement: &Placement) -> BTreeMap<String, BTreeMap<String, f64>> {
        let mut admit = placement.admit.clone();
        let others: Vec<String> = admit.get(ANY).into_iter().flat_map(|of| of.keys().cloned()).collect();
        for tenant in self.config.tenants.keys().filter(|_| !others.is_empty()) {
            let of = admit.entry(tenant.clone()).or_default();
            for class in &others {
                of.entry(class.clone()).or_insert(1.0);
            }
        }
        admit
    }
}

/// The work that is taken by origin and tenant.
fn taken(asks: &[Ask], placement: &Placement) -> BTreeMap<(String, String), f64> {
    let mut work = BTreeMap::new();
    for ask in asks {
        let part = placement.admit.get(&ask.tenant).and_then(|of| of.get(&ask.class));
        let key = (ask.site.clone(), ask.tenant.clone());
        *work.entry(key).or_default() += ask.work * part.copied().unwrap_or(1.0);
    }
    work
}

/// Whether a share or an admission of one plan is more than a small step from the other's.
fn differ(one: &Plan, other: &Plan) -> bool {
    let far = |a: f64, b: f64| (a - b).abs() > SMALL;
    let share = |plan: &Plan, origin: &str, tenant: &str, site: &str| {
        plan.shares_for(origin, tenant).and_then(|shares| shares.get(site)).copied().unwrap_or(0.0)
    };
    let moved = |a: &Plan, b: &Plan| {
        a.shares.iter().any(|(origin, tenants)| {
            tenants.iter().any(|(tenant, shares)| {
                shares.iter().any(|(site, part)| far(*part, share(b, origin, tenant, site)))
            })
        })
    };
    let admits = |a: &Plan, b: &Plan| {
        a.admit.iter().any(|(tenant, classes)| {
            classes.iter().any(|(class, part)| far(*part, b.admitted(tenant, class)))
        })
    };
    moved(one, other) || moved(other, one) || admits(one, other) || admits(other, one)
}

#[cfg(test)]
#[path = "planner_tests.rs"]
mod tests;
