//! Decisions by the fleet's plan, where the balancer is told one: which requests are taken, which zone each
//! goes to, and how much a cold server gets. All else is decided as without a plan.

use crate::api::*;
use crate::balance::DRAWS;
use crate::fleet::route::Route;
use crate::state::*;

impl Balancer {
    /// Requests refused by plans so far.
    pub fn turned_away(&self) -> u64 {
        self.turned_away
    }

    /// Is this request beyond the part that the plan takes? By lot, since no sidecar sees what the others
    /// take.
    pub(crate) fn turns_away(&mut self, job: &Job) -> bool {
        let part = self.plan.as_ref().map_or(1.0, |plan| plan.admitted(job.tenant, job.class));
        let refused = part < 1.0 && self.rng.f64() >= part;
        self.turned_away += u64::from(refused);
        refused
    }

    /// Does the plan let the request's next attempt go to this zone?
    pub(crate) fn is_let(&self, request: &Request, group: Option<u16>, zone: u16) -> bool {
        let Some(plan) = &self.plan else { return true };
        // Guards against work done twice: what may have run is dropped in its group alone, lost or not.
        if group.is_some() {
            return !plan.is_shut(zone);
        }
        let safe = self.settings.classes[request.job.class].idempotency == Idempotency::Idempotent;
        plan.is_open(zone) && (safe && request.attempts.is_empty() || !plan.is_on_trial(zone))
    }

    /// Draws a zone by the plan's shares, and two distinct random servers there. What it lacks of two is
    /// looked for in the other zones of the plan, and only if they all have none, in all that are open.
    pub(crate) fn draw_by(
        &mut self, plan: &Route, id: RequestId, group: Option<u16>, draws: [usize; DRAWS],
    ) -> Vec<ServerId> {
        let order = self.order(plan, id, group);
        let request = &self.requests[&id];
        let all_warm =
            plan.cold_share().is_none() || self.cold.iter().all(|&(_, at)| self.warmth_from(at) >= 1.0);
        let pick = |of: &[ServerId], chance: f64| {
            // Mostly nearly all servers fit. Then two are soon drawn, and the pool need not be gathered.
            if all_warm && let Some(pair) = self.first_two(request, group, of, draws) {
                return pair.to_vec();
            }
            let pool = self.pool(plan, request, group, of, chance);
            // What is left of a draw: by what it was used for it has failed, and is not by chance any more.
            let part = self.subset().clamp(1, of.len().max(1));
            self.pair(&pool, usize::MAX, draws.map(|draw| draw / part), |_| true)
        };
        let mut found: Vec<ServerId> = Vec::new();
        for (zone, chance) in &order {
            if let Some(of) = self.sites.get(zone).filter(|_| found.len() < 2) {
                // Only the first zone is drawn by the shares, which the chance of a cold server rests on.
                let chance = if order[0].0 == *zone { *chance } else { f64::INFINITY };
                found.extend(pick(of, chance));
                found.truncate(2);
            }
        }
        if found.is_empty() {
            found = pick(&self.ready, if order.is_empty() { 1.0 } else { f64::INFINITY });
        }
        // If all look bad, all are used.
        if found.is_empty() {
            let warm = |s: &Server| plan.cold_share().is_none() || self.warmth(s) >= 1.0;
            let may = |s: &Server| self.may_by(request, group, s) && warm(s);
            found = self.pair(&self.ready, usize::MAX, draws, may);
        }
        found
    }

    /// The first two of the draws from the subset of these that the request may go to, if two are drawn:
    /// any two as likely as if they were drawn from those alone.
    fn first_two(
        &self, request: &Request, group: Option<u16>, of: &[ServerId], draws: [usize; DRAWS],
    ) -> Option<[ServerId; 2]> {
        let idempotency = self.settings.classes[request.job.class].idempotency;
        let (own, part) = (self.own_start(of), self.subset().min(of.len()));
        let drawn = draws.into_iter().filter(|_| part > 0).map(|draw| of[(own + draw % part) % of.len()]);
        let fits = |s: &Server| self.may_by(request, group, s) && self.is_healthy(idempotency, s);
        let mut fitting = drawn.filter(|id| self.servers.get(id).is_some_and(fits));
        let first = fitting.next()?;
        Some([first, fitting.find(|id| *id != first)?])
    }

    fn may_by(&self, request: &Request, group: Option<u16>, server: &Server) -> bool {
        // At most twice its even share is drawn to a cold server, and it falls at so many times its capacity.
        let open = self.settings.slow_start.fall_multiple / 2.0;
        self.may(request, group, server)
            && request.lot < self.warmth(server) * open
            && self.is_let(request, group, server.line.zone)
    }

    /// The plan's zones that the request may go to and that have servers in use, in an order drawn by their
    /// shares, with their parts of all. The first is drawn once for each attempt: were it drawn anew while
    /// the request is held, zones that have room would get more than their shares.
    fn order(&mut self, plan: &Route, id: RequestId, group: Option<u16>) -> Vec<(u16, f64)> {
        let request = &self.requests[&id];
        let shares = plan.shares(request.job.tenant);
        // Without any the price of crossing zones keeps requests at home, as without a plan.
        let home = [(self.settings.zone, 1.0)];
        let stays = shares.is_empty() && self.settings.cross_zone_price > 0.0;
        let usable =
            |&(zone, _): &(u16, f64)| self.sites.contains_key(&zone) && self.is_let(request, group, zone);
        let mut left: Vec<(u16, f64)> =
            if stays { &home[..] } else { shares }.iter().copied().filter(usable).collect();
        let all: f64 = left.iter().map(|(_, share)| share).sum();
        let attempt = request.attempts.len();
        let mut kept = request.site.filter(|(of, _)| *of == attempt).map(|(_, zone)| zone);
        let mut order = Vec::with_capacity(left.len());
        while let Some(last) = left.len().checked_sub(1) {
            let kept = kept.take().and_then(|kept| left.iter().position(|(zone, _)| *zone == kept));
            let at = kept.unwrap_or_else(|| {
                let mut lot = self.rng.f64() * left.iter().map(|(_, share)| share).sum::<f64>();
                let below = |(_, share): &(u16, f64)| {
                    lot -= share;
                    lot < 0.0
                };
                left.iter().position(below).unwrap_or(last)
            });
            let (zone, share) = left.remove(at);
            order.push((zone, share / all));
        }
        let first = order.first().map(|&(zone, _)| (attempt, zone));
        if let Some(request) = self.requests.get_mut(&id) {
            request.site = first;
        }
        order
    }

    /// The servers of these that the request may go to. `chance` is the one at which these are looked at.
    ///
    /// Cold budget. Guards against pushing over a server that many sidecars, each within its own rule, send
    /// to: where the plan bounds it, a cold server gets no more of this sidecar's requests than its size by
    /// its warmth times the plan's share. Each sidecar keeps to it of its own traffic, so the sum keeps to
    /// it of all. It may be drawn once: with the first attempt, at the first look, in the zone drawn by
    /// the shares.
    fn pool(
        &self, plan: &Route, request: &Request, group: Option<u16>, of: &[ServerId], chance: f64,
    ) -> Vec<ServerId> {
        let idempotency = self.settings.classes[request.job.class].idempotency;
        let fits = |s: &Server| self.may_by(request, group, s) && self.is_healthy(idempotency, s);
        let budget = |s: &Server| {
            let warmth = self.warmth(s);
            plan.cold_share().filter(|_| warmth < 1.0).map(|share| share * size(s) * warmth)
        };
        let own = self.own_start(of);
        let in_turn = (0..of.len()).map(|step| &self.servers[&of[(own + step) % of.len()]]);
        let (mut pool, mut cold, part) = (Vec::new(), Vec::new(), self.subset());
        for server in in_turn.clone().take(part).filter(|s| fits(s)) {
            match budget(server) {
                None => pool.push(server.line.server),
                Some(budget) => cold.push((budget, server.line.server)),
            }
        }
        if request.attempts.is_empty() && request.looks == 0 {
            let rivals = pool.len() + cold.len();
            pool.extend(Self::within(request.lot, cold, rivals, chance));
        }
        // Guards against no choice: what the subset lacks is looked for in all of them.
        if pool.len() < 2 {
            let warm = in_turn.skip(part).filter(|s| fits(s) && budget(s).is_none());
            pool.extend(warm.map(|server| server.line.server));
        }
        pool
    }
}
