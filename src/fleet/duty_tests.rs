use super::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const DUTY: &str = "d";
const NAMES: [&str; 2] = ["a", "b"];

#[test]
fn a_token_only_grows_and_counts_while_it_is_the_present_one() {
    let mut table = DutyTable::default();
    assert_eq!(table.grant(DUTY, "a", 1_000, 0, 7), Ok(Grant { token: 7, ttl_ms: 1_000 }));
    assert_eq!(table.grant(DUTY, "a", 1_000, 500, 8), Ok(Grant { token: 7, ttl_ms: 1_000 }), "a renewal");
    let held = Err(DutyError::Held { holder: "a".to_owned() });
    assert_eq!(table.grant(DUTY, "b", 1_000, 1_499, 9), held);
    assert!(!table.due(1_499) && table.due(1_500) && table.token_holds(DUTY, 7));
    assert_eq!(table.grant(DUTY, "b", 1_000, 1_500, 10).map(|grant| grant.token), Ok(10));
    assert_eq!(table.release(DUTY, 7), Err(DutyError::Stale { token: 7 }));
    table.renew_all(100_000);
    assert!(!table.lapse(100_999) && table.lapse(101_000) && !table.token_holds(DUTY, 10));
    for (name, holder, ttl_ms, part) in [
        ("", "a", 1_000, Part::Name),
        ("a/b", "a", 1_000, Part::Name),
        (DUTY, "", 1_000, Part::Holder),
        (DUTY, "a", 499, Part::Ttl),
    ] {
        assert_eq!(table.grant(name, holder, ttl_ms, 0, 11), Err(DutyError::Malformed(part)));
    }
    for n in 0..MOST_DUTIES as u64 {
        assert!(table.grant(&format!("d{n}"), "a", 1_000, 0, 11 + n).is_ok());
    }
    assert_eq!(table.grant("more", "a", 1_000, 0, 99), Err(DutyError::Full));
}

/// A service and two candidates by a common clock, each asking at once and heard in `RTT_MS`; the first dies at
/// `dies_at`. Answers when the second may first act.
fn takes_over_at(dies_at: u64, drains: bool) -> u64 {
    const RTT_MS: u64 = 4;
    let mut table = DutyTable::default();
    let mut runners = [Runner::new(TTL_MS, 1), Runner::new(TTL_MS, 2)];
    let mut asks = 0;
    for now in 0..30_000 {
        table.lapse(now);
        for (i, runner) in runners.iter_mut().enumerate() {
            let dead = i == 0 && now > dies_at && !drains;
            if dead || (i == 1 && now < 100) {
                continue;
            }
            if i == 0 && now == dies_at && drains {
                runner.drain();
            }
            match runner.poll(now) {
                Step::Ask => {
                    asks += 1;
                    let answer = table.grant(DUTY, NAMES[i], TTL_MS, now, now + 1);
                    runner.answered(now, now + RTT_MS, answer.map_err(|_| Refusal::Held));
                }
                Step::Watch if table.lease(DUTY).is_none() => runner.freed(now),
                Step::Release { token } => table.release(DUTY, token).expect("its own"),
                Step::Watch | Step::Wait { .. } | Step::Done => {}
            }
        }
        if runners[1].may_act(now).is_some() {
            assert!(asks < 40, "{asks} requests: one each second of the holder, and the other's two");
            return now;
        }
    }
    panic!("never held again");
}

#[test]
fn a_dead_holders_duty_is_held_again_within_its_time_and_a_drained_ones_at_once() {
    let after_death = takes_over_at(9_500, false) - 9_500;
    assert!(after_death <= TTL_MS + MARGIN_MS + 2 * BACKOFF_MS.0, "after {after_death} ms");
    let after_drain = takes_over_at(9_500, true) - 9_500;
    assert!(after_drain <= 2 * BACKOFF_MS.0, "after {after_drain} ms");
}

#[test]
fn a_holder_stops_before_its_lease_can_end_and_failures_are_asked_again_under_a_growing_bound() {
    let mut runner = Runner::new(TTL_MS, 3);
    assert_eq!(runner.poll(50), Step::Ask);
    runner.answered(50, 900, Ok(Grant { token: 5, ttl_ms: TTL_MS }));
    // 2,850 less 100 from the sending.
    assert_eq!((runner.may_act(2_799), runner.may_act(2_800)), (Some(5), None));
    assert_eq!(runner.poll(1_049), Step::Wait { until: 1_050 }, "a third of its time");
    let (mut now, mut longest) = (1_050, 0);
    for _ in 0..12 {
        while let Step::Wait { until } = runner.poll(now) {
            assert!(runner.may_act(now).is_none() || until - now <= TTL_MS / 3);
            longest = longest.max(until - now);
            now = until;
        }
        runner.answered(now, now, Err(Refusal::Failed));
    }
    assert!((500..=BACKOFF_MS.1).contains(&longest), "{longest} ms");
    now += BACKOFF_MS.1;
    assert_eq!(runner.poll(now), Step::Ask);
    runner.answered(now, now, Err(Refusal::Held));
    runner.answered(now, now, Err(Refusal::Failed));
    assert_eq!(runner.poll(now + 100_000), Step::Watch, "nobody asks in turn while another has it");
}

/// The model's step of time: a lease lasts two, and at its end a slow holder's clock shows 150 ms less.
const TICK_MS: u64 = 1_500;

/// The service, two candidates whose clocks run at other speeds, and a network that loses, repeats, delays and
/// reorders: what was sent may come any number of times or never, a request and its answer within a step of time,
/// what a holder does at any time later. A candidate that does nothing for some steps is one that is paused.
struct Duties {
    /// The clocks' speeds, in thousandths of the service's.
    speeds: [u64; 2],
    /// How many steps of time there are.
    ticks: u64,
    /// How many grants: repeated requests of one that left would go on for ever.
    most_grants: u64,
    /// Whether the first candidate may leave, a step after the beginning.
    drains: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    tick: u64,
    table: DutyTable,
    index: u64,
    runners: [Runner; 2],
    sent: BTreeSet<Message>,
    /// The highest token of an accepted action, and whether a lower one was accepted after it.
    accepted: u64,
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Ask { of: usize, sent: u64 },
    Answer { to: usize, sent: u64, token: Option<u64> },
    Act { token: u64 },
    Release { token: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Move {
    Tick,
    Poll(usize),
    Freed(usize),
    Drain,
    Come(Message),
}

impl Duties {
    fn now(&self, world: &World, of: usize) -> u64 {
        world.tick * TICK_MS * self.speeds[of] / 1_000
    }

    fn comes(&self, world: &mut World, message: &Message) {
        let now_ms = world.tick * TICK_MS;
        match *message {
            Message::Ask { of, sent } => {
                let granted = world.table.grant(DUTY, NAMES[of], TTL_MS, now_ms, world.index + 1);
                let token = granted.ok().map(|grant| grant.token);
                world.index = world.index.max(token.unwrap_or(0));
                world.sent.insert(Message::Answer { to: of, sent, token });
            }
            Message::Answer { to, sent, token } => {
                let answer = token.map(|token| Grant { token, ttl_ms: TTL_MS }).ok_or(Refusal::Held);
                let now = self.now(world, to);
                world.runners[to].answered(sent, now, answer);
            }
            Message::Act { token } if world.table.token_holds(DUTY, token) => {
                world.went_back |= token < world.accepted;
                world.accepted = world.accepted.max(token);
            }
            Message::Act { .. } => {}
            Message::Release { token } => {
                let _ = world.table.release(DUTY, token);
            }
        }
    }
}

impl Model for Duties {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let runners = [Runner::new(TTL_MS, 1), Runner::new(TTL_MS, 2)];
        let (table, sent) = (DutyTable::default(), BTreeSet::new());
        vec![World { tick: 0, table, index: 0, runners, sent, accepted: 0, went_back: false }]
    }

    fn actions(&self, world: &World, moves: &mut Vec<Move>) {
        if world.tick < self.ticks {
            moves.push(Move::Tick);
        }
        // The second one comes later.
        for of in 0..=world.tick.min(1) as usize {
            moves.extend([Move::Poll(of), Move::Freed(of)]);
        }
        if self.drains && world.tick == 1 {
            moves.push(Move::Drain);
        }
        moves.extend(world.sent.iter().cloned().map(Move::Come));
    }

    fn next_state(&self, last: &World, action: Move) -> Option<World> {
        let mut world = last.clone();
        match action {
            Move::Tick => {
                world.tick += 1;
                let now_ms = world.tick * TICK_MS;
                world.table.lapse(now_ms);
                // A call ends within a step of time; what a holder does may come at any time later.
                let ended = |of: usize, sent| sent < self.now(last, of);
                world.sent.retain(|message| match *message {
                    Message::Ask { of, sent } | Message::Answer { to: of, sent, .. } => !ended(of, sent),
                    Message::Act { .. } | Message::Release { .. } => true,
                });
            }
            Move::Poll(of) => {
                let now = self.now(&world, of);
                match world.runners[of].poll(now) {
                    Step::Ask => world.sent.insert(Message::Ask { of, sent: now }),
                    Step::Release { token } => world.sent.insert(Message::Release { token }),
                    Step::Wait { .. } | Step::Watch | Step::Done => false,
                };
            }
            Move::Freed(of) => {
                let now = self.now(&world, of);
                if world.table.lease(DUTY).is_none() {
                    world.runners[of].freed(now);
                }
            }
            Move::Drain => world.runners[0].drain(),
            Move::Come(message) => self.comes(&mut world, &message),
        }
        // Whoever may act does: what it sends may come later or never.
        let acting = (0..2).filter_map(|of| world.runners[of].may_act(self.now(&world, of)));
        let acts: Vec<_> = acting.map(|token| Message::Act { token }).collect();
        world.sent.extend(acts);
        (world != *last).then_some(world)
    }

    fn within_boundary(&self, world: &World) -> bool {
        world.index <= self.most_grants
    }

    fn properties(&self) -> Vec<Property<Duties>> {
        vec![
            Property::always("no lower token is accepted after a higher", |_, world: &World| {
                !world.went_back
            }),
            Property::always("one at most may act", |model: &Duties, world: &World| {
                let may = |of: usize| world.runners[of].may_act(model.now(world, of)).is_some();
                !(may(0) && may(1))
            }),
            Property::sometimes("both acted", |_, world: &World| world.accepted > 1),
        ]
    }
}

#[test]
fn through_loss_pauses_and_drift_one_holder_acts_and_no_old_token_counts() {
    let speeds = [950, 1_050];
    for model in [
        Duties { speeds, ticks: 4, most_grants: 3, drains: false },
        Duties { speeds, ticks: 3, most_grants: 2, drains: true },
    ] {
        model.checker().spawn_bfs().join().assert_properties();
    }
}
