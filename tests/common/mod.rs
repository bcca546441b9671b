//! A caller for tests: keeps the clock, the timers and what was sent.
#![allow(dead_code)]

use micapier::{Balancer, api::*};
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn class(idempotency: Idempotency) -> Class {
    Class { aim: ms(400), deadline: ms(1_200), aim_stretch: 0.0, worth: 1.0, late_worth: 0.3, idempotency }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        zone: 0,
        number: 0,
        instances: 2,
        keep_alive: ms(15_000),
        classes,
        worth_by: WorthBy::Work,
        cross_zone_price: 0.0,
        goal: Goal { whole: 1.0, worst_class: 0.0 },
        max_attempts: 3,
        cancel: Permit::Granted,
        probes: Permit::Denied,
        max_retry_after: Some(ms(600)),
        discovery: Discovery::Pushed,
        slow_start: SlowStart { cold_from: 0.2, ramp_time: ms(20_000), fall_multiple: 3.0 },
        tick: ms(5),
    }
}

pub fn line(server: u64) -> Listed {
    let (server, availability) = (ServerId(server), Availability::Ready);
    Listed { server, availability, cell: 0, zone: 0, kind: 0, weight: 1.0, started: None }
}

/// A fresh request of the first class and of no tenant, with a whole patience and no hint of its cost.
pub fn arrival(id: u32) -> Arrival {
    let (id, patience, origin) = (RequestId(id), ms(1_200), Origin::Fresh);
    Arrival { id, class: 0, cost: None, patience, origin, tenant: None }
}

pub struct Rig {
    pub balancer: Balancer,
    pub now: u64,
    pub timers: Vec<(u64, TimerId)>,
    /// All actions so far but timers, with their time.
    pub log: Vec<(u64, Action)>,
    next_id: u32,
}

impl Rig {
    pub fn new(settings: Settings, servers: Vec<Listed>) -> Rig {
        Rig::seeded(settings, servers, 1)
    }

    pub fn seeded(settings: Settings, servers: Vec<Listed>, seed: u64) -> Rig {
        let balancer = Balancer::new(settings, seed);
        let mut rig = Rig { balancer, now: 0, timers: vec![], log: vec![], next_id: 0 };
        rig.tell(Event::List(ListNews::Cached(servers)));
        rig
    }

    /// Tells one event and returns the actions, timers aside.
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = vec![];
        self.balancer.handle(ms(self.now), event, &mut out);
        for set in out.extract_if(.., |action| matches!(action, Action::SetTimer { .. })) {
            let Action::SetTimer { timer, after } = set else { continue };
            self.timers.push((self.now + after.as_millis() as u64, timer));
        }
        self.log.extend(out.iter().map(|action| (self.now, action.clone())));
        out
    }

    /// Advances the clock in ticks of 5 ms and fires what falls due.
    pub fn wait(&mut self, time: u64) -> Vec<Action> {
        let mut said = vec![];
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + 5).min(end);
            let due: Vec<_> = self.timers.extract_if(.., |(at, _)| *at <= self.now).collect();
            due.into_iter().for_each(|(_, timer)| said.extend(self.tell(Event::Timer(timer))));
        }
        said
    }

    /// A request with an id of the test's own, of this class.
    pub fn arrive(&mut self, id: u32, class: usize, patience: u64, origin: Origin) -> Vec<Action> {
        self.tell(Event::Request(Arrival { class, patience: ms(patience), origin, ..arrival(id) }))
    }

    /// A fresh request of the first class with a hint of its cost in ms.
    pub fn arrive_costing(&mut self, id: u32, cost: u64) -> Vec<Action> {
        self.tell(Event::Request(Arrival { cost: Some(ms(cost)), ..arrival(id) }))
    }

    pub fn ask_as(&mut self, class: usize, patience: u64) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        (id, self.arrive(id.0, class, patience, Origin::Fresh))
    }

    pub fn ask(&mut self) -> (RequestId, Vec<Action>) {
        self.ask_as(0, 1_200)
    }

    pub fn end(&mut self, id: RequestId, attempt: usize, outcome: Outcome, took: u64) -> Vec<Action> {
        let progress = if outcome == Outcome::Ok { Progress::Ended } else { Progress::Owed };
        self.tell(Event::Outcome { id, attempt, outcome, took: ms(took), progress })
    }

    /// Waits so long, and the first attempt is answered.
    pub fn answer(&mut self, id: RequestId, took: u64) {
        self.wait(took);
        self.end(id, 0, Outcome::Ok, took);
    }

    /// One request, whose first attempt fails so at once if it goes to this server.
    pub fn serve_or_fail(&mut self, bad: ServerId, failure: Outcome, took: u64) {
        let (id, said) = self.ask();
        if sent(&said) == Some(bad) {
            self.end(id, 0, failure, 1);
            self.end(id, 1, Outcome::Ok, took);
        } else {
            self.answer(id, took);
        }
    }

    /// Of so many requests, all left out, how many were sent at once.
    pub fn sent_of(&mut self, count: usize) -> usize {
        (0..count).filter(|_| sent(&self.ask().1).is_some()).count()
    }

    /// Of so many requests served, how many went to servers like this.
    pub fn to(&mut self, which: impl Fn(u64) -> bool, count: usize, took: impl Fn(ServerId) -> u64) -> usize {
        (0..count).filter(|_| which(self.serve(&took).0)).count()
    }

    /// Whether this was noted.
    pub fn noted(&self, note: Note) -> bool {
        self.log.iter().any(|(_, a)| *a == Action::Log(note))
    }

    /// How many were refused so far.
    pub fn refusals(&self) -> usize {
        self.log.iter().filter(|(_, a)| matches!(a, Action::Refuse { .. })).count()
    }

    /// Once so many requests were answered, after `took` each.
    pub fn after(mut self, requests: usize, took: u64) -> Rig {
        self.serve_many(requests, |_| took);
        self
    }

    /// Some requests, one after the other.
    pub fn serve_many(&mut self, count: usize, took: impl Fn(ServerId) -> u64) {
        for _ in 0..count {
            self.serve(&took);
        }
    }

    /// One request of the first class, as `serve_as`.
    pub fn serve(&mut self, took: impl Fn(ServerId) -> u64) -> ServerId {
        self.serve_as(0, took)
    }

    /// One request after a time without any.
    pub fn serve_after(&mut self, quiet: u64, took: impl Fn(ServerId) -> u64) -> ServerId {
        self.wait(quiet);
        self.serve(took)
    }

    /// One request of a class, answered after `took` by whichever server it went to.
    pub fn serve_as(&mut self, class: usize, took: impl Fn(ServerId) -> u64) -> ServerId {
        let (id, said) = self.ask_as(class, 1_200);
        let server = sent(&said).expect("sent at once");
        self.answer(id, took(server));
        server
    }
}

pub fn sent(said: &[Action]) -> Option<ServerId> {
    sends(said).next().map(|(_, server)| server)
}

/// What was sent, and to whom.
pub fn sends(said: &[Action]) -> impl Iterator<Item = (RequestId, ServerId)> {
    said.iter()
        .filter_map(|a| if let Action::Send { id, server, .. } = a { Some((*id, *server)) } else { None })
}

/// Whether nothing was done but to note.
pub fn only_noted(said: &[Action]) -> bool {
    said.iter().all(|a| matches!(a, Action::Log(_)))
}

pub fn refused(said: &[Action]) -> bool {
    said.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(said: &[Action]) -> bool {
    said.iter().any(|a| matches!(a, Action::Fail(_)))
}
