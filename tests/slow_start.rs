//! What cold servers get of thirty sidecars and more that share nothing, on the module's clock.

mod common;
use common::*;
use micapier::{Balancer, api::*};
use std::collections::{BTreeMap, BTreeSet};

/// Requests of all sidecars for each server in a ms.
const RATE: f64 = 0.015;
const BEGIN: u64 = 3_000;
/// The share of its capacity that a server starts with, and the ramp in ms. While cold it falls at so many times
/// its capacity of the moment, in a window of so many ms.
const COLD_FROM: f64 = 0.19;
const RAMP: u64 = 24_000;
const MULTIPLE: f64 = 4.0;
const FALL: f64 = 3_000.0;

/// From `BEGIN` on so many servers are replaced one after the other, or brought back by hand. Half of the sidecars
/// are in the first zone, with the share `home` of the traffic. Where cold servers are fast they answer at once, and
/// win what they are drawn for.
#[derive(Clone, Copy)]
struct Day {
    load: f64,
    replaced: u64,
    by_hand: bool,
    zones: u64,
    home: f64,
    fast: bool,
    sidecars: usize,
    servers: u64,
    end: u64,
    also: Also,
}

/// What else a day may have.
#[derive(Clone, Copy, PartialEq)]
enum Also {
    Nothing,
    /// One sidecar in six gets fifty times what the others do.
    Uneven,
    /// Half as much again, for 3 s from `BEGIN` on.
    Burst,
    /// One request in four costs 20 times what the others do, and says so.
    Costs,
    /// One answer in five is an error, and clients that are refused come again when they are told to.
    Again,
    /// Each sidecar restarts during the ramp: the new one knows the list, and nothing else.
    Restarts,
    /// The first new server falls after 1 s, and is back 2 s later, cold again.
    Falls,
    /// Sizes are alike and not told.
    Sizeless,
    /// A third of the sidecars finds no connection to half of the warm servers.
    Ejected,
    /// The warm servers leave when all the new ones have come.
    Alone,
    /// The first zone is lost for 2 s and comes back cold, all at once; the zones stay cut off for 3 s more.
    Zone,
}

struct Machine {
    start: f64,
    /// When each core is free.
    free: Vec<f64>,
    /// The time, work and sidecar of each attempt since the start, and whether that had been told of it.
    sent: Vec<(f64, f64, usize, bool)>,
}

impl Machine {
    fn warmth(&self, now: f64) -> f64 {
        (COLD_FROM + (1.0 - COLD_FROM) * (now - self.start) / RAMP as f64).min(1.0)
    }

    /// The most that a window got, of what makes it fall and what is put down to chance, among those of which over two
    /// thirds came from sidecars that had been told of the start.
    fn worst(&self, work: f64) -> f64 {
        let at = |time: f64| self.sent.partition_point(|s| s.0 < time);
        let used = |from: f64| {
            let n = MULTIPLE * self.free.len() as f64 * self.warmth(from + FALL / 2.0) * FALL / work;
            let inside = &self.sent[at(from)..at(from + FALL)];
            let sum = |of: bool| inside.iter().filter(|s| s.3 || of).map(|s| s.1 / work).sum::<f64>();
            let (told, all) = (sum(false), sum(true));
            if told * 3.0 > all * 2.0 { all / (n + 2.0 * n.sqrt() + 2.0) } else { 0.0 }
        };
        self.sent.iter().map(|s| used(s.0)).fold(used(self.start), f64::max)
    }
}

/// The cold servers of a day, what a mean request is in ms of a core, and the share of fresh ones served in time.
fn play(day: Day, seed: u64) -> (Vec<Machine>, f64, f64) {
    let (mut rng, also, sidecars) = (fastrand::Rng::with_seed(seed), day.also, day.sidecars);
    let size = |n: u64| if also == Also::Sizeless { 2.0 } else { [1.0, 2.0, 4.0][n as usize % 3] };
    let rate = RATE * day.servers as f64;
    let work = day.load * (0..day.servers).map(size).sum::<f64>() / rate;
    let (aim, deadline) = (ms((6.0 * work) as u64), ms((18.0 * work) as u64));
    let listed = |n: u64, id: u64, at: Option<u64>| {
        let (started, weight) = (at.map(ms), if also == Also::Sizeless { f64::NAN } else { size(n) });
        Listed { zone: (n % day.zones) as u16, kind: (n % 3) as u8, weight, started, ..line(id) }
    };
    let mut list: Vec<Listed> = (0..day.servers).map(|n| listed(n, n, None)).collect();
    let machine = |n: u64, start: f64| Machine { start, free: vec![0.0; size(n) as usize], sent: vec![] };
    let mut machines: BTreeMap<u64, Machine> = (0..day.servers).map(|n| (n, machine(n, -1e9))).collect();
    // What happens when and to which sidecar; a number keeps those of a moment apart. None is a restart.
    let (mut queue, mut count) = (BTreeMap::new(), 0_u32);
    let mut push = |queue: &mut BTreeMap<_, _>, at: u64, to: usize, event: Option<Event>| {
        count += 1;
        queue.insert((at, count), (to, event));
    };
    (0..sidecars).for_each(|to| push(&mut queue, 0, to, Some(Event::List(ListNews::Cached(list.clone())))));
    // Who starts anew under its old id: when it goes, and when it is back. Lists come in order.
    let falls = (also == Also::Falls).then_some((100, (BEGIN + 1_000, BEGIN + 3_000)));
    let zone = (0..day.servers).filter(|n| also == Also::Zone && n % day.zones == 0);
    let anew: BTreeMap<u64, (u64, u64)> = zone.map(|id| (id, (BEGIN - 2_000, BEGIN))).chain(falls).collect();
    let (mut last, mut told) = (vec![0; sidecars], BTreeMap::new());
    let replaced = (0..day.replaced)
        .map(|n| (BEGIN + 5_000 * n / day.replaced, n, if day.by_hand { n } else { 100 + n }));
    let back = anew.iter().map(|(&id, &(_, at))| (at, id % 100, 1_000 + id));
    for (at, n, id) in replaced.chain(back) {
        machines.insert(id, machine(n, at as f64));
        list[n as usize] = listed(n, id % 1_000, Some(at));
        if also == Also::Alone && n + 1 == day.replaced {
            list.truncate(day.replaced as usize);
        }
        for (to, last) in last.iter_mut().enumerate() {
            let banned = |from: u64| Event::Banned((from..day.replaced).map(ServerId).collect());
            if day.by_hand && n == 0 {
                push(&mut queue, 1, to, Some(banned(0)));
            }
            let event = if day.by_hand { banned(n + 1) } else { Event::List(ListNews::Full(list.clone())) };
            let delay = if day.by_hand { 0 } else { rng.u64(0..1_500) };
            *last = (at + delay).max(*last);
            told.insert((id, to), *last);
            push(&mut queue, *last, to, Some(event));
        }
    }
    let few = |n: usize| if also == Also::Uneven && !n.is_multiple_of(6) { 0.02 } else { 1.0 };
    let part = |n: usize| few(n) * if n.is_multiple_of(2) { day.home } else { 1.0 - day.home };
    let parts: f64 = (0..sidecars).map(part).sum();
    let mut next = 0;
    for n in 0..sidecars {
        let mut at = 1.0;
        while at < day.end as f64 {
            next += 1;
            let event = Event::Request(Arrival { patience: deadline, ..arrival(next) });
            push(&mut queue, at as u64 + 1, n, Some(event));
            let burst = also == Also::Burst && (BEGIN..BEGIN + 3_000).contains(&(at as u64));
            at -= rng.f64().max(1e-9).ln() / (rate * part(n) / parts * if burst { 1.5 } else { 1.0 });
        }
        if also == Also::Restarts {
            push(&mut queue, BEGIN + 500 + 4_000 * n as u64 / sidecars as u64, n, None);
        }
    }
    let slow_start = SlowStart { cold_from: COLD_FROM, ramp_time: ms(RAMP), fall_multiple: MULTIPLE };
    let start = |n: usize, seed: u64| {
        let (zone, number, instances) = ((n % 2) as u16 % day.zones as u16, n as u32, sidecars as u32);
        let (slow_start, keep_alive) = (slow_start.clone(), ms(5_000));
        let all = settings(vec![Class { aim, deadline, ..class(Idempotency::Idempotent) }]);
        let settings =
            Settings { zone, number, instances, cross_zone_price: 0.01, slow_start, keep_alive, ..all };
        Balancer::new(settings, seed * 1_000 + n as u64)
    };
    let mut balancers: Vec<Balancer> = (0..sidecars).map(|n| start(n, seed)).collect();
    let mut known = vec![vec![]; sidecars];
    let (mut out, mut attempts, mut due) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
    let (mut fresh, mut served) = (0.0, 0.0);
    while let Some(((now, _), (n, event))) = queue.pop_first().filter(|next| next.0.0 < day.end) {
        let mut event = event.unwrap_or_else(|| {
            balancers[n] = start(n, seed + 500);
            Event::List(ListNews::Cached(std::mem::take(&mut known[n])))
        });
        match &mut event {
            Event::List(ListNews::Cached(list) | ListNews::Full(list)) => known[n].clone_from(list),
            Event::Request(arrival) => {
                let heavy = if arrival.id.0.is_multiple_of(4) { 20.0 } else { 1.0 };
                arrival.cost = (also == Also::Costs).then(|| ms((heavy * work / 5.75) as u64));
                due.insert(arrival.id, (now + arrival.patience.as_millis() as u64, arrival.cost));
                fresh += f64::from(now >= BEGIN && arrival.origin == Origin::Fresh);
            }
            _ => {}
        }
        balancers[n].handle(ms(now), event, &mut out);
        for action in out.drain(..) {
            match action {
                Action::SetTimer { timer, after } => {
                    push(&mut queue, now + after.as_millis() as u64, n, Some(Event::Timer(timer)));
                }
                Action::Refuse { id, retry_after: Some(after) } if also == Also::Again => {
                    let (at, origin) = (now + after.as_millis().max(1) as u64, Origin::ClientRetry);
                    let patience = ms(due[&id].0.saturating_sub(at));
                    if !patience.is_zero() {
                        next += 1;
                        let again = Arrival { patience, origin, ..arrival(next) };
                        push(&mut queue, at, n, Some(Event::Request(again)));
                    }
                }
                _ => {}
            }
            let Action::Send { id, server, .. } = action else { continue };
            let attempt = attempts.entry(id).and_modify(|no| *no += 1).or_insert(0_usize);
            let of = server.0;
            let (gone, back) = anew.get(&of).copied().unwrap_or((u64::MAX, u64::MAX));
            let cut =
                also == Also::Zone && (BEGIN - 2_000..BEGIN + 3_000).contains(&now) && of % 2 != n as u64 % 2;
            let shut = also == Also::Ejected && n.is_multiple_of(3) && of.is_multiple_of(2) && of < 100;
            let key = if now >= back { 1_000 + of } else { of };
            let machine = machines.get_mut(&key).unwrap();
            let at = now as f64;
            let own = due[&id].1.map_or(work, |cost| cost.as_secs_f64() * 1e3) * (0.5 + rng.f64());
            let warmth = machine.warmth(at);
            let unreachable = cut || shut || (gone..back).contains(&now);
            if !unreachable {
                let told = told.get(&(key, n)).is_some_and(|&told| told <= now);
                machine.sent.push((at, own, n, told));
            }
            let core = machine.free.iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
            let end = core.max(at) + own / warmth;
            // A queue that is full turns away at once.
            let (took, outcome) = match end - at {
                _ if unreachable => (200, Outcome::ConnectFailed),
                _ if also == Also::Again && rng.u32(0..5) == 0 => (5, Outcome::Error),
                _ if day.fast && warmth < 1.0 => (5, Outcome::Ok),
                took if took > 18.0 * work => (2, Outcome::Full),
                took => {
                    *core = end;
                    (took as u64 + 1, Outcome::Ok)
                }
            };
            served += f64::from(now >= BEGIN && outcome == Outcome::Ok && ms(took) <= aim);
            let progress = if outcome == Outcome::Ok { Progress::Ended } else { Progress::Owed };
            let event = Event::Outcome { id, attempt: *attempt, outcome, took: ms(took), progress };
            push(&mut queue, now + took, n, Some(event));
        }
    }
    let cold = machines.into_values().filter(|m| m.start > 0.0);
    (cold.collect(), work, served / fresh)
}

/// All days, each with so many seeds, side by side.
fn bears(seeds: u64, days: &[(&str, Day)]) {
    std::thread::scope(|scope| {
        for &(name, day) in days {
            scope.spawn(move || {
                let (mut worst, mut parts, mut senders) = (0.0_f64, Vec::new(), BTreeSet::new());
                let mut all_served = 0.0;
                for seed in 1..=seeds {
                    let (machines, work, served) = play(day, seed);
                    all_served += served / seeds as f64;
                    for machine in machines.iter().filter(|m| m.start <= 6_000.0) {
                        worst = worst.max(machine.worst(work));
                        if day.also == Also::Falls && machine.start <= BEGIN as f64 {
                            continue;
                        }
                        let can = machine.free.len() as f64 * (day.end as f64 - machine.start);
                        parts.push(machine.sent.iter().map(|s| s.1).sum::<f64>() / can);
                        senders.extend(machine.sent.iter().map(|s| s.2));
                    }
                }
                let part = parts.iter().sum::<f64>() / parts.len() as f64;
                let senders = senders.len();
                let carry = if day.also == Also::Uneven { day.sidecars / 6 } else { day.sidecars };
                assert!(worst < 1.0, "{name}: {worst:.2} of what makes one fall");
                assert!(part > 0.05 && senders >= carry / 4, "{name}: used to {part:.2} by {senders}");
                assert!(all_served > 0.4, "{name}: {all_served:.2} served in time");
            });
        }
    });
}

const ONE: Day = Day {
    load: 0.7,
    replaced: 1,
    by_hand: false,
    zones: 1,
    home: 0.5,
    fast: true,
    sidecars: 30,
    servers: 20,
    end: 12_000,
    also: Also::Nothing,
};

#[test]
fn cold_servers_get_no_more_of_all_sidecars_than_they_bear_and_none_is_left_out() {
    let many = Day { replaced: 12, ..ONE };
    bears(
        4,
        &[
            ("one", ONE),
            ("one, under more than all can do", Day { load: 1.2, ..ONE }),
            ("one by hand", Day { by_hand: true, ..ONE }),
            ("one by hand that is slow", Day { by_hand: true, fast: false, ..ONE }),
            ("six in ten", many),
            ("six in ten, under more than all can do", Day { load: 1.1, ..many }),
            ("six in ten that are slow", Day { fast: false, ..many }),
            ("four, and most comes in at their zone", Day { replaced: 4, zones: 2, home: 0.8, ..many }),
        ],
    );
}

#[test]
fn whatever_else_a_day_brings_cold_servers_get_no_more_than_they_bear_and_none_is_left_out() {
    let one = Day { servers: 10, end: 9_000, ..ONE };
    let many = Day { replaced: 6, ..one };
    let also = |also: Also, day: Day| Day { also, ..day };
    let zone = Day { replaced: 0, zones: 2, ..one };
    bears(
        20,
        &[
            ("uneven", also(Also::Uneven, one)),
            ("uneven, six in ten", also(Also::Uneven, many)),
            ("three hundred sidecars, six in ten", Day { sidecars: 300, ..many }),
            ("three hundred sidecars, uneven", also(Also::Uneven, Day { sidecars: 300, ..many })),
            ("a burst", also(Also::Burst, many)),
            ("costs that differ", also(Also::Costs, many)),
            ("errors and clients that come again", also(Also::Again, many)),
            (
                "more than all can do, and clients that come again",
                also(Also::Again, Day { load: 1.2, ..one }),
            ),
            ("sidecars that restart", also(Also::Restarts, many)),
            ("one that falls and is back", also(Also::Falls, Day { end: 12_000, ..one })),
            ("sizes not told", also(Also::Sizeless, many)),
            ("ejected by some", also(Also::Ejected, one)),
            ("ejected by some, six in ten", also(Also::Ejected, many)),
            ("the only ones", also(Also::Alone, many)),
            ("a zone that comes back", also(Also::Zone, zone)),
            ("a zone that comes back, and most comes in there", also(Also::Zone, Day { home: 0.7, ..zone })),
        ],
    );
}
