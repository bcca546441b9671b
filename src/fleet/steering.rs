//! Steering: tenants with contracts are moved toward sites that meet their targets, on top of what placement gives.
//!
//! A tenant's shares are those of placement plus an offset by site, so that what placement changes (a lost site before
//! all) comes through at once, and only the offsets move in bounded steps. The order within a step: placement; the
//! room of sites; then tenant by tenant, who has burnt most of its error budget first.

use super::config::FleetConfig;
use super::estimates::Estimates;
use super::plan::{Plan, Shares};
use super::rider::{Lane, NIL, Rider, share};
use super::targets::{self, Verdict};
use std::collections::BTreeMap;

/// The most of a tenant's share that moves in a second.
const PER_SECOND: f64 = 0.1;
/// The longest time that one step makes up for, in ms: after a pause there is no jump.
const STEP_MS: u64 = 1_000;
/// The part of the usual rate at which traffic goes back to placement's shares.
const BACK: f64 = 0.1;
/// How long a tenant's steering is frozen without estimates before it goes back to placement's shares, in ms.
const FROZEN_MS: u64 = 30_000;
/// A site that misses a target so soon after traffic moved in, in ms, is held to be slow by that traffic: the steps
/// are seconds long, and so is the way of their answers into the estimates.
const LATELY_MS: u64 = 10_000;
/// How long nothing moves into such a site, in ms: at first, and at most, doubled each time.
const PAUSE_MS: u64 = 10_000;
const PAUSE_MOST_MS: u64 = 640_000;
/// With each doubling traffic moves in at half of the rate, down to this part.
const SLOWEST: f64 = 1.0 / 16.0;
/// A tenant takes room from another that has burnt so much less of its budget (1 is the whole budget): with less
/// between them they would change places for nothing.
const GIVES_WAY: f64 = 0.5;
/// Who gave way goes on giving way to the same tenant and takes nothing from it for so long, in ms, doubled each
/// time: shared out evenly, the room would mend neither.
const YIELD_MS: u64 = 60_000;
/// What a step is decided by.
pub struct SteerInput<'a, F: Fn(&str) -> bool> {
    /// The time, in ms.
    pub now_ms: u64,
    /// Sites, tenants and contracts.
    pub config: &'a FleetConfig,
    /// Placement's shares for everybody, by the site that the traffic starts from.
    pub base: &'a BTreeMap<String, Shares>,
    /// Work asked for, in ms a second, by the site that it starts from and tenant.
    pub load: &'a BTreeMap<(String, String), f64>,
    /// The work that each site may be given in all, in ms a second. A site that is not named may be given none.
    pub rooms: &'a BTreeMap<String, f64>,
    /// The work that placement gives to each site, all tenants, in ms a second.
    pub placed: &'a BTreeMap<String, f64>,
    /// Whether a site may be steered to and from: those that serve. Others keep placement's share exactly.
    pub open: F,
    /// The latencies.
    pub estimates: &'a Estimates,
}

/// What a step decides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Steered {
    /// Shares that add up to 1, by the site that the traffic starts from and by tenant: for tenants with a contract.
    pub shares: BTreeMap<String, BTreeMap<String, Shares>>,
    /// Contracts that are breached and that no site can mend, as `tenant:p95`.
    pub breaches: Vec<String>,
    /// The part of its error budget that each contract has burnt over its window, by the same names; over 1 is a
    /// breach.
    pub burnt: BTreeMap<String, f64>,
}

/// What is remembered of a tenant at a site.
#[derive(Clone, Copy, Debug, Default)]
struct Memory {
    /// When traffic was last moved in.
    moved_in: Option<u64>,
    /// Nothing moves in before this.
    until: u64,
    /// The length of the latest pause.
    pause: u64,
}

impl Memory {
    fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.until
    }

    /// Begins a pause, twice as long as the latest unless that one is long past.
    fn begin(&mut self, now_ms: u64) {
        let forgotten = now_ms >= self.until + 4 * self.pause;
        self.pause = if forgotten { PAUSE_MS } else { (2 * self.pause).min(PAUSE_MOST_MS) };
        self.until = now_ms + self.pause;
        self.moved_in = None;
    }

    /// The part of the usual rate at which traffic moves in.
    fn rate(&self) -> f64 {
        if self.pause == 0 { 1.0 } else { (PAUSE_MS as f64 / (2 * self.pause) as f64).max(SLOWEST) }
    }
}

/// What is kept of a tenant from step to step.
#[derive(Debug, Default)]
struct Course {
    /// The shares over placement's, by origin.
    offsets: BTreeMap<String, Shares>,
    /// Whether a target is missed: from the first miss until all are met with the margin.
    is_missing: bool,
    frozen_since: Option<u64>,
    sites: BTreeMap<String, Memory>,
    /// Sites that missed a target: as little goes there until the pause ends, though the estimate should get too thin
    /// for a verdict.
    missed: BTreeMap<String, Memory>,
    yields: BTreeMap<String, Yield>,
}

/// That a tenant gives way to another at a site.
#[derive(Debug)]
struct Yield {
    to: String,
    until: u64,
    length: u64,
}

/// Where the tenants with contracts are steered to, and what is remembered for it.
#[derive(Debug, Default)]
pub struct Steering {
    courses: BTreeMap<String, Course>,
    /// Shares that an earlier planner published, by origin and tenant, until they are gone on from.
    published: BTreeMap<String, BTreeMap<String, Shares>>,
    last_ms: Option<u64>,
}

/// What the parts of a step share.
struct Now<'a> {
    now_ms: u64,
    /// The sites that may be steered to and from.
    open: Vec<&'a str>,
    rooms: &'a BTreeMap<String, f64>,
    /// The work that goes to each site as the step proceeds, in ms a second.
    work: Shares,
    /// The most of a tenant's share that moves in this step.
    step: f64,
}

impl Now<'_> {
    fn headroom(&self, site: &str) -> f64 {
        (share(self.rooms, site) - share(&self.work, site)).max(0.0)
    }
}

impl Steering {
    /// Begins at placement's shares.
    pub fn new() -> Steering {
        Steering::default()
    }

    /// Goes on from the shares that another planner published, so that a change of planners is no jump; an origin's
    /// are kept until placement first names it.
    pub fn resume(plan: &Plan) -> Steering {
        Steering { published: plan.shares.clone(), ..Steering::default() }
    }

    /// Moves every tenant with a contract on by the time since the last step, at most 10 points of its share a second.
    /// The first step only takes stock. Beside that, placement's changes and the rooms of sites act at once.
    pub fn step<F: Fn(&str) -> bool>(&mut self, input: &SteerInput<F>) -> Steered {
        let passed = self.last_ms.map_or(0, |last| input.now_ms.saturating_sub(last).min(STEP_MS));
        self.last_ms = Some(input.now_ms);
        let mut now = Now {
            now_ms: input.now_ms,
            open: input.config.sites.keys().map(String::as_str).filter(|site| (input.open)(site)).collect(),
            rooms: input.rooms,
            work: input.placed.clone(),
            step: PER_SECOND * passed as f64 / 1e3,
        };
        let mut steered = Steered::default();
        let mut riders = self.riders(input, &mut now, &mut steered.burnt);
        self.courses.retain(|tenant, _| riders.iter().any(|rider| rider.tenant == tenant));
        keep_rooms(&mut riders, &mut now);
        for at in 0..riders.len() {
            let mut rider = riders.remove(at);
            keep_fresh(&mut rider, &mut now);
            if !self.steer(&mut rider, &mut riders, &mut now) {
                let names = rider.contracts.iter().map(|contract| targets::name(contract));
                let breached = |name: &String| steered.burnt.get(name).is_some_and(|burn| *burn > 1.0);
                steered.breaches.extend(names.filter(breached));
            }
            riders.insert(at, rider);
        }
        for rider in riders {
            let course = self.courses.entry(rider.tenant.to_owned()).or_default();
            for mut lane in rider.lanes {
                let over = now.open.iter().map(|site| ((*site).to_owned(), lane.over(site)));
                course.offsets.insert(lane.origin.clone(), over.collect());
                if let Some(tenants) = self.published.get_mut(&lane.origin) {
                    tenants.remove(rider.tenant);
                }
                for site in input.config.sites.keys() {
                    lane.now.entry(site.clone()).or_default();
                }
                steered.shares.entry(lane.origin).or_default().insert(rider.tenant.to_owned(), lane.now);
            }
        }
        steered
    }

    /// The tenants with contracts, who has burnt most first, each with its shares so far; their work is counted.
    fn riders<'a, F: Fn(&str) -> bool>(
        &self, input: &SteerInput<'a, F>, now: &mut Now, burnt: &mut BTreeMap<String, f64>,
    ) -> Vec<Rider<'a>> {
        let mut riders = Vec::new();
        for tenant in input.config.tenants.keys() {
            let contracts: Vec<_> = targets::of(input.config, tenant).collect();
            let mut most = 0.0_f64;
            for contract in &contracts {
                if let Some(burn) = targets::burn(input.estimates, contract, now.now_ms) {
                    burnt.insert(targets::name(contract), burn);
                    most = most.max(burn);
                }
            }
            if contracts.is_empty() {
                continue;
            }
            let seen = now.open.iter().map(|site| {
                let latest = |contract: &&_| targets::latest(input.estimates, contract, site, now.now_ms);
                ((*site).to_owned(), contracts.iter().map(latest).collect())
            });
            let seen = seen.collect();
            let lanes = input.base.iter().filter_map(|(origin, base)| {
                let load = input.load.get(&(origin.clone(), tenant.clone())).copied().unwrap_or(0.0);
                let offsets = self.courses.get(tenant).and_then(|course| course.offsets.get(origin));
                let published = self.published.get(origin).and_then(|tenants| tenants.get(tenant));
                let lane = Lane::new(origin, load, base, &now.open)?;
                Some(match (offsets, published) {
                    (Some(offsets), _) => lane.offset(offsets, &now.open),
                    (None, Some(published)) => lane.go_on(published, &now.open),
                    (None, None) => lane,
                })
            });
            let lanes: Vec<Lane> = lanes.collect();
            for lane in &lanes {
                for site in &now.open {
                    *now.work.entry((*site).to_owned()).or_default() += lane.over(site) * lane.load;
                }
            }
            let missed = self.courses.get(tenant).into_iter().flat_map(|course| &course.missed);
            let missed = missed.filter(|(_, memory)| memory.is_paused(now.now_ms));
            let missed = missed.map(|(site, _)| site.clone()).collect();
            riders.push(Rider { tenant, contracts, burn: most, lanes, seen, missed, left: now.step });
        }
        riders.sort_by(|a, b| b.burn.total_cmp(&a.burn).then_with(|| a.tenant.cmp(b.tenant)));
        riders
    }

    /// Moves one tenant, `others` giving way. Whether its targets are met, or some site still can mend it.
    fn steer(&mut self, rider: &mut Rider, others: &mut [Rider], now: &mut Now) -> bool {
        let overall = rider.overall();
        let course = self.courses.entry(rider.tenant.to_owned()).or_default();
        let Some(overall) = overall else {
            let since = *course.frozen_since.get_or_insert(now.now_ms);
            if now.now_ms >= since + FROZEN_MS {
                course.is_missing = false;
                go_back(rider, course, now, |_| true);
            }
            return true;
        };
        course.frozen_since = None;
        for site in now.open.clone() {
            let is_harmed = others.iter().any(|other| {
                let is_at_home = other.lanes.iter().any(|lane| share(&lane.base, site) * lane.load > NIL);
                is_at_home
                    && other.burn >= rider.burn + GIVES_WAY
                    && other.verdict(site) == Some(Verdict::Misses)
            });
            let missed = course.missed.entry(site.to_owned()).or_default();
            if rider.verdict(site) == Some(Verdict::Misses) && !missed.is_paused(now.now_ms) {
                missed.begin(now.now_ms);
            }
            let memory = course.sites.entry(site.to_owned()).or_default();
            let lately = memory.moved_in.is_some_and(|at| now.now_ms < at + LATELY_MS);
            let is_slow = is_harmed || rider.verdict(site) == Some(Verdict::Misses);
            if is_slow && lately && !memory.is_paused(now.now_ms) {
                memory.begin(now.now_ms);
            }
            if is_harmed && memory.is_paused(now.now_ms) {
                step_back(rider, site, memory.rate(), |_| true, now);
            }
        }
        match overall {
            Verdict::Misses => course.is_missing = true,
            Verdict::Barely => {}
            Verdict::Meets => course.is_missing = false,
        }
        if course.is_missing {
            return self.move_in(rider, others, now) || overall != Verdict::Misses;
        }
        if overall == Verdict::Meets {
            let paused: Vec<&str> =
                now.open.iter().copied().filter(|s| course.is_paused(s, now.now_ms)).collect();
            let meets = rider.seen.keys().filter(|site| rider.verdict(site) == Some(Verdict::Meets));
            let may: Vec<String> = meets.filter(|site| !paused.contains(&site.as_str())).cloned().collect();
            go_back(rider, course, now, |site| may.iter().any(|held| held == site));
        }
        true
    }

    /// Moves a tenant from sites that miss a target to those that meet all with the margin, the worst first; where
    /// there are none, back from sites that its own traffic made slow. Whether there is a site to move to.
    fn move_in(&mut self, rider: &mut Rider, others: &mut [Rider], now: &mut Now) -> bool {
        let is = |site: &str, verdict| rider.verdict(site) == Some(verdict);
        let mut from: Vec<&str> = now.open.iter().copied().filter(|s| is(s, Verdict::Misses)).collect();
        from.sort_by(|a, b| rider.shortfall(b).total_cmp(&rider.shortfall(a)));
        let to: Vec<&str> = now.open.iter().copied().filter(|s| is(s, Verdict::Meets)).collect();
        let course = self.courses.entry(rider.tenant.to_owned()).or_default();
        let to: Vec<(&str, f64)> = to
            .into_iter()
            .filter(|site| !course.is_paused(site, now.now_ms))
            .map(|site| (site, now.step * course.rate(site) * rider.work()))
            .collect();
        // What each lane would move, by the site that it leaves.
        let mut leaving: Vec<Vec<(&str, f64)>> = Vec::new();
        for lane in &rider.lanes {
            let mut left = rider.left;
            let leave = from.iter().map(|site| {
                let part = (share(&lane.now, site) - rider.fresh(lane, site)).clamp(0.0, left);
                left -= part;
                (*site, part)
            });
            leaving.push(leave.collect());
        }
        let wanted: f64 = (rider.lanes.iter().zip(&leaving))
            .map(|(lane, leave)| lane.load * leave.iter().map(|(_, part)| part).sum::<f64>())
            .sum();
        let free: f64 = to.iter().map(|(site, most)| most.min(now.headroom(site))).sum();
        let mut lacking = wanted - free;
        for &(site, most) in &to {
            let asked = lacking.min(most - now.headroom(site));
            if asked > NIL {
                lacking -= self.make_room(rider, others, site, asked, now);
            }
        }
        let to: Vec<(&str, f64)> =
            to.into_iter().map(|(site, most)| (site, most.min(now.headroom(site)))).collect();
        let room: f64 = to.iter().map(|(_, room)| room).sum();
        let course = self.courses.entry(rider.tenant.to_owned()).or_default();
        if room <= NIL {
            for site in from {
                let is_ours = course.is_paused(site, now.now_ms);
                // A site that is slow of itself is left only for one that falls less short.
                let better = |to: &&str| is_ours || rider.shortfall(to) < rider.shortfall(site);
                let to: Vec<&str> = now.open.iter().copied().filter(better).collect();
                step_back(rider, site, course.rate(site), |site| to.contains(&site), now);
            }
            return now.step <= 0.0;
        }
        if wanted <= NIL {
            return true;
        }
        let scale = (room / wanted).min(1.0);
        let mut most = 0.0_f64;
        for (lane, leave) in rider.lanes.iter_mut().zip(leaving) {
            most = most.max(leave.iter().map(|(_, part)| part * scale).sum());
            for (site, part) in leave {
                for (to, held) in &to {
                    lane.shift(site, to, part * scale * held / room, &mut now.work);
                }
            }
        }
        rider.left -= most;
        for (site, held) in to {
            if held > NIL {
                course.sites.entry(site.to_owned()).or_default().moved_in = Some(now.now_ms);
            }
        }
        true
    }

    /// Takes work out of a site that others were steered into and who have burnt less, who has burnt least first. How
    /// much of what was asked for.
    fn make_room(
        &mut self, rider: &Rider, others: &mut [Rider], site: &str, asked: f64, now: &mut Now,
    ) -> f64 {
        let before = share(&now.work, site);
        let yields = |courses: &BTreeMap<String, Course>, tenant: &str, to: &str| {
            let held = courses.get(tenant).and_then(|course| course.yields.get(site));
            held.is_some_and(|held| held.to == to && now.now_ms < held.until)
        };
        for guest in others.iter_mut().rev() {
            let is_given = yields(&self.courses, guest.tenant, rider.tenant);
            let is_taken =
                rider.burn >= guest.burn + GIVES_WAY && !yields(&self.courses, rider.tenant, guest.tenant);
            let lacking = asked - (before - share(&now.work, site));
            let spare: Vec<f64> = guest.lanes.iter().map(|lane| guest.spare(lane, site)).collect();
            let steered: f64 = guest.lanes.iter().zip(&spare).map(|(lane, spare)| lane.load * spare).sum();
            if steered <= NIL || lacking <= NIL || !(is_given || is_taken) {
                continue;
            }
            let mut most = 0.0_f64;
            for (lane, spare) in guest.lanes.iter_mut().zip(spare) {
                let part = (spare * (lacking / steered).min(1.0)).min(guest.left);
                lane.give_back(site, part, |_| true, &mut now.work);
                most = most.max(part);
            }
            guest.left -= most;
            if !is_given {
                let course = self.courses.entry(guest.tenant.to_owned()).or_default();
                let held = course.yields.get(site).map_or(0, |held| held.length);
                let length = (2 * held).clamp(YIELD_MS, PAUSE_MOST_MS);
                let (to, until) = (rider.tenant.to_owned(), now.now_ms + length);
                course.yields.insert(site.to_owned(), Yield { to, until, length });
            }
        }
        before - share(&now.work, site)
    }
}

impl Course {
    fn is_paused(&self, site: &str, now_ms: u64) -> bool {
        self.sites.get(site).is_some_and(|memory| memory.is_paused(now_ms))
    }

    fn rate(&self, site: &str) -> f64 {
        self.sites.get(site).map_or(1.0, Memory::rate)
    }
}

/// Takes what was steered past a site's room back at once, from who has burnt least first. What is given back may fill
/// another site, hence the rounds.
fn keep_rooms(riders: &mut [Rider], now: &mut Now) {
    for _ in 0..now.open.len() {
        let mut is_moved = false;
        for site in now.open.clone() {
            for rider in riders.iter_mut().rev() {
                let past = share(&now.work, site) - share(now.rooms, site);
                let steered = rider.guest_work(site);
                if past > NIL && steered > NIL {
                    let part = (past / steered).min(1.0);
                    for lane in &mut rider.lanes {
                        lane.give_back(site, lane.over(site).max(0.0) * part, |_| true, &mut now.work);
                    }
                    is_moved = true;
                }
            }
        }
        if !is_moved {
            break;
        }
    }
}

/// Keeps some traffic on every open site, as far as its room allows.
fn keep_fresh(rider: &mut Rider, now: &mut Now) {
    for site in now.open.clone() {
        for at in 0..rider.lanes.len() {
            let lane = &rider.lanes[at];
            let lacks = rider.fresh(lane, site) - share(&lane.now, site);
            let spare = |site: &&&str| share(&lane.now, site) - rider.fresh(lane, site);
            let from = now.open.iter().max_by(|a, b| spare(a).total_cmp(&spare(b)));
            let Some((from, spare)) = from.map(|from| (*from, spare(&from))) else { continue };
            let room = if lane.load > 0.0 { now.headroom(site) / lane.load } else { f64::INFINITY };
            let part = lacks.min(spare).min(room).min(rider.left);
            if part > NIL {
                rider.lanes[at].shift(from, site, part, &mut now.work);
                rider.left -= part;
            }
        }
    }
}

/// Goes slowly back toward placement's shares, into sites that may have the traffic and have room.
fn go_back(rider: &mut Rider, course: &mut Course, now: &mut Now, may: impl Fn(&str) -> bool) {
    let mut left = rider.left.min(now.step * BACK);
    for site in now.open.clone() {
        let mut most = 0.0_f64;
        for at in 0..rider.lanes.len() {
            let lane = &rider.lanes[at];
            let part = rider.spare(lane, site).min(left);
            if part <= NIL {
                continue;
            }
            let open: Vec<&str> = now.open.iter().copied().filter(|to| may(to)).collect();
            let with_room = |to: &str| open.contains(&to) && now.headroom(to) >= part * lane.load;
            let to: Vec<&str> = open.iter().copied().filter(|to| with_room(to)).collect();
            rider.lanes[at].give_back(site, part, |site| to.contains(&site), &mut now.work);
            for to in to {
                course.sites.entry(to.to_owned()).or_default().moved_in = Some(now.now_ms);
            }
            most = most.max(part);
        }
        left -= most;
    }
}

/// Gives back some of what was steered into a site, to sites that may have it.
fn step_back(rider: &mut Rider, site: &str, rate: f64, may: impl Fn(&str) -> bool, now: &mut Now) {
    let step = rider.left.min(now.step * rate);
    let mut most = 0.0_f64;
    for at in 0..rider.lanes.len() {
        let part = rider.spare(&rider.lanes[at], site).min(step);
        rider.lanes[at].give_back(site, part, &may, &mut now.work);
        most = most.max(part);
    }
    rider.left -= most;
}
