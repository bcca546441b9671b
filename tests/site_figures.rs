//! Figures of the control plane, no checks: run with
//! `cargo test --release --test site_figures -- --ignored --nocapture --test-threads 1`.

mod cluster;
mod site;
mod world;

use hdrhistogram::Histogram;
use micapier::fleet::state::SiteState;
use serde_json::json;
use site::*;
use std::thread;
use std::time::{Duration, Instant};

/// The load of the whole fleet, whatever its size: 600 requests a second of 36 ms are 60 % of what the sites do, and
/// 90 % of what is left without one, where 80 % is the limit.
const LOAD: f64 = 600.0;
const COST_MS: f64 = 36.0;
const SERVERS: usize = 6;
/// No load runs longer.
const MOST: Duration = Duration::from_secs(300);
const RAMP: Duration = Duration::from_secs(20);

fn size(sidecars: usize) -> Size {
    Size { sidecars, servers_a_site: SERVERS, ramp: RAMP, extra: "", control: true }
}

fn rate(sidecars: usize) -> f64 {
    LOAD / sidecars as f64
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("a histogram")
}

/// A quantile of what was recorded in µs, in ms.
fn ms(histogram: &Histogram<u64>, q: f64) -> f64 {
    histogram.value_at_quantile(q) as f64 / 1e3
}

/// The same at three quantiles.
fn spread(of: &Histogram<u64>) -> String {
    format!("p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms", ms(of, 0.5), ms(of, 0.99), ms(of, 0.999))
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

fn latencies(done: &[Done]) -> Histogram<u64> {
    let mut all = histogram();
    done.iter().filter(|d| d.status == 200).for_each(|d| all.record(micros(d.took)).expect("in range"));
    all
}

fn state(fleet: &Fleet, site: usize) -> Option<SiteState> {
    fleet.newest().map(|plan| state_of(&plan, site))
}

/// The busiest second of each site but one, as a part of what it can do.
fn busiest(fleet: &Fleet, begun: &[Begun], but: usize) -> f64 {
    let Some(first) = begun.first().map(|b| b.at) else { return 0.0 };
    let mut work = std::collections::HashMap::<(usize, u64), f64>::new();
    for b in begun.iter().filter(|b| b.ran && b.site != but) {
        *work.entry((b.site, b.at.duration_since(first).as_secs())).or_default() += b.cost_ms;
    }
    work.values().fold(0.0, |most, work| f64::max(most, *work)) / fleet.size.site_rate()
}

/// What was not served in a stretch of time, in worth a second, and the least that had to be: what is over the limit of
/// the two sites that are left, of the class worth least.
fn refused_worth(fleet: &Fleet, done: &[Done], from: Instant, to: Instant) -> (f64, f64, f64) {
    let time = to.duration_since(from).as_secs_f64();
    let here: Vec<&Done> = done.iter().filter(|d| (from..to).contains(&d.at)).collect();
    let worth = |of: fn(u16) -> bool| {
        let those = here.iter().filter(|d| of(d.status));
        those.map(|d| d.ask.cost_ms * CLASSES[d.ask.class].1).sum::<f64>() / time
    };
    let asked = here.iter().map(|d| d.ask.cost_ms).sum::<f64>() / time;
    let room = 0.8 * fleet.size.site_rate() * (SITES.len() - 1) as f64;
    (worth(|s| s == 503), worth(|s| ![200, 503].contains(&s)), (asked - room).max(0.0) * CLASSES[SAFE].1)
}

fn loss_and_return(sidecars: usize) {
    let fleet = Fleet::start("figures", size(sidecars));
    let load = Load::start(&fleet, rate(sidecars), MOST, |n| Ask::usual(n, COST_MS));
    fleet.until_followed(fleet.until_state(PRAHA, &[SiteState::Serving]));

    // Nothing happens.
    let (mut ages, mark, began) = (histogram(), load.mark(), Instant::now());
    let carried =
        || fleet.fronts.iter().fold((0, 0), |(n, b), front| (n + front.requests(), b + front.bytes()));
    let before = carried();
    for _ in 0..10 {
        thread::sleep(secs(1));
        let reports = fleet.reports();
        let plans = reports.iter().filter_map(|aged| aged.report.plan.map(|(_, age)| age));
        plans.for_each(|age| ages.record(age * 1_000).expect("in range"));
    }
    let (after, time) = (carried(), began.elapsed().as_secs_f64() * sidecars as f64);
    let (calls, bytes) = ((after.0 - before.0) as f64 / time, (after.1 - before.1) as f64 / time);
    let (count, ages, quiet) = (ages.len(), spread(&ages), spread(&latencies(&load.since(mark))));
    println!(
        "{sidecars} sidecars, nothing happens: calls {calls:.2} and bytes {bytes:.0} a sidecar and second; age of \
         the plan at the sidecars {ages} ({count} reports); traffic {quiet}"
    );

    // A site is lost.
    let (seen, lost_at) = (fleet.stand.mark(), Instant::now());
    fleet.stand.set(PRAHA, SiteFault::Silent);
    let mark = fleet.until_state(PRAHA, &[SiteState::Lost]);
    let said = lost_at.elapsed();
    fleet.until_followed(mark);
    let followed = Instant::now();
    // Until the site is tried again.
    while state(&fleet, PRAHA) == Some(SiteState::Lost) && lost_at.elapsed() < secs(30) {
        thread::sleep(Duration::from_millis(5));
    }
    let tried = Instant::now();
    let begun: Vec<Begun> = fleet.stand.since(seen).into_iter().filter(|b| b.at < tried).collect();
    let outside: Vec<usize> = (0..sidecars).filter(|&i| fleet.site_of(i) != PRAHA).collect();
    let mut last = histogram();
    for sidecar in &outside {
        let its = begun.iter().filter(|b| b.site == PRAHA && b.sidecar() == *sidecar);
        let latest = its.map(|b| b.at.duration_since(lost_at)).max().unwrap_or_default();
        last.record(micros(latest)).expect("in range");
    }
    let (said, count) = (said.as_secs_f64(), outside.len());
    let (most, all) = (ms(&last, 0.99) / 1e3, ms(&last, 1.0) / 1e3);
    println!(
        "{sidecars} sidecars, a silent loss: the plan says so after {said:.2} s; 99% of the {count} sidecars outside \
         send nothing new there after {most:.2} s, the last after {all:.2} s"
    );
    let steady: Vec<Begun> = begun.iter().filter(|b| b.at > followed).cloned().collect();
    let (most, steady) = (busiest(&fleet, &begun, PRAHA), busiest(&fleet, &steady, PRAHA));
    println!(
        "{sidecars} sidecars: busiest second of a site that is left {most:.2} of its capacity from the loss on, \
         {steady:.2} once all go by the plan"
    );
    // The site is still silent: what is tried there changes little.
    thread::sleep((followed + secs(14)).saturating_duration_since(Instant::now()));
    let (from, to) = (followed + secs(2), followed + secs(12));
    let (refused, failed, least) = refused_worth(&fleet, &load.since(0), from, to);
    let all = fleet.stand.since(seen);
    let used = |site: usize| {
        let begun = all.iter().filter(|b| b.ran && b.site == site && (from..to).contains(&b.at));
        begun.map(|b| b.cost_ms).sum::<f64>() / 10.0 / fleet.size.site_rate()
    };
    let (plzen, brno) = (used(PLZEN), used(BRNO));
    println!(
        "{sidecars} sidecars: worth refused {refused:.0} a second and failed {failed:.0}, where {least:.0} is the least \
         possible, over 10 s; the sites that are left are used to {plzen:.3} and {brno:.3}"
    );

    // It comes back cold.
    fleet.restart_cold(PRAHA);
    let (seen, back) = (fleet.stand.mark(), Instant::now());
    fleet.until("the return", secs(150), |fleet| state(fleet, PRAHA) == Some(SiteState::Serving));
    let used = fleet.stand.since(seen).iter().filter_map(|b| b.cold_use).fold(0.0, f64::max);
    let (took, falls) = (back.elapsed().as_secs_f64(), fleet.stand.falls());
    println!(
        "{sidecars} sidecars, the return: serving after {took:.1} s; the most of its cold budget that a server used \
         {used:.2}; {falls} fell over"
    );
    load.finish();
}

fn gaps(sidecars: usize) {
    let mut fleet = Fleet::start("gaps", size(sidecars));
    let load = Load::start(&fleet, rate(sidecars), MOST, |n| Ask::usual(n, COST_MS));
    fleet.until_followed(fleet.until_state(PRAHA, &[SiteState::Serving]));
    let mut gaps = histogram();
    for _ in 0..10 {
        let (old, planner) = (fleet.newest().expect("a plan"), cluster::planner(&fleet.cluster).0);
        let killed = Instant::now();
        fleet.cluster.nodes[planner].take().expect("running").kill();
        fleet.until("the next planner", secs(30), |fleet| {
            fleet.newest().is_some_and(|plan| plan.mark.token > old.mark.token)
        });
        gaps.record(micros(killed.elapsed())).expect("in range");
        fleet.cluster.start(planner);
        fleet.cluster.serving("the instance is back");
    }
    let (count, gaps) = (gaps.len(), spread(&gaps));
    println!("{sidecars} sidecars, the planner killed {count} times: no plan of a next one for {gaps}");
    load.finish();
}

/// The latency of traffic without the control plane, and with its ways reset ten times a second.
fn traffic(sidecars: usize) {
    for (what, control, busy) in
        [("without", false, false), ("with", true, false), ("with, ways reset", true, true)]
    {
        let fleet = Fleet::start("traffic", Size { control, ..size(sidecars) });
        let load = Load::start(&fleet, rate(sidecars), MOST, |n| Ask::usual(n, COST_MS));
        thread::sleep(secs(3));
        let (mark, began) = (load.mark(), Instant::now());
        while began.elapsed() < secs(10) {
            thread::sleep(Duration::from_millis(100));
            if busy {
                fleet.fronts.iter().for_each(|front| front.set(cluster::Fault::Reset));
                fleet.fronts.iter().for_each(|front| front.set(cluster::Fault::Pass));
            }
        }
        let all = spread(&latencies(&load.since(mark)));
        println!("{sidecars} sidecars, {what} the control plane: traffic {all}");
        load.finish();
    }
}

#[test]
#[ignore = "a measurement of minutes"]
fn measure_loss_and_return_of_a_site() {
    [12, 300].into_iter().for_each(loss_and_return);
}

#[test]
#[ignore = "a measurement of minutes"]
fn measure_the_time_without_a_planner() {
    [12, 300].into_iter().for_each(gaps);
}

#[test]
#[ignore = "a measurement of minutes"]
fn measure_traffic_with_and_without_the_control_plane() {
    [12, 300].into_iter().for_each(traffic);
}

/// A tenant whose answers are late in one site, for it alone, with its contract and without.
#[test]
#[ignore = "a measurement of minutes"]
fn measure_a_tenants_share_within_its_target() {
    const TARGET_MS: u64 = 150;
    let contract = "[[fleet.contracts]]\ntenant = \"mesto-horni\"\npercentile = 95.0\ntarget_ms = 150.0\nwindow_ms = 10000\n";
    for (what, extra) in [("without", ""), ("with", contract)] {
        let fleet = Fleet::start("targets", Size { extra, ..size(12) });
        let load = Load::start(&fleet, rate(12), MOST, |n| Ask::usual(n, COST_MS / 2.0));
        fleet.until_followed(fleet.until_state(PRAHA, &[SiteState::Serving]));
        fleet.stand.delay(PRAHA, TENANTS[0].0, Duration::from_millis(TARGET_MS));
        for at in [5, 10, 15, 20, 25, 30] {
            let mark = load.mark();
            thread::sleep(secs(5));
            let done = load.since(mark);
            let within = |tenant: usize| {
                let of: Vec<&Done> = done.iter().filter(|d| d.ask.tenant == tenant).collect();
                let good = |d: &&&Done| d.status == 200 && d.took <= Duration::from_millis(TARGET_MS);
                of.iter().filter(good).count() as f64 / of.len() as f64
            };
            println!(
                "{what} a contract of 95% within {TARGET_MS} ms, to second {at}: {} {:.3}, {} {:.3} within",
                TENANTS[0].0,
                within(0),
                TENANTS[1].0,
                within(1)
            );
        }
        load.finish();
    }
}

/// A site in its maintenance window, at half of the load, which the others have room for.
#[test]
#[ignore = "a measurement of minutes"]
fn measure_a_maintenance_window() {
    for sidecars in [12, 300] {
        let fleet = Fleet::start("window", size(sidecars));
        let load = Load::start(&fleet, rate(sidecars), MOST, |n| Ask::usual(n, COST_MS / 2.0));
        fleet.until_followed(fleet.until_state(PRAHA, &[SiteState::Serving]));
        let (seen, mark, now) = (fleet.stand.mark(), load.mark(), unix_ms());
        let asked = json!({"site": SITES[PRAHA].0, "duration_ms": 10_000, "not_before": now + 9_000,
            "not_after": now + 60_000, "lead_ms": 8_000});
        let (status, window) =
            cluster::settled(&fleet.cluster, "PUT", "/fleet/windows/w", &asked.to_string());
        assert_eq!(status, 200, "{window}");
        let start =
            Instant::now() + Duration::from_millis(window["start"].as_u64().expect("a start") - unix_ms());
        let until = |wanted: &str| {
            fleet.until(wanted, secs(60), |fleet| {
                let window = cluster::settled(&fleet.cluster, "GET", "/fleet/windows/w", "").1;
                window["state"] == wanted
            });
            Instant::now()
        };
        let (active, ended) = (until("Active"), until("Ended"));
        fleet.until("the return", secs(150), |fleet| state(fleet, PRAHA) == Some(SiteState::Serving));
        let begun = fleet.stand.since(seen);
        let there =
            |from: Instant| begun.iter().filter(|b| b.site == PRAHA && (from..ended).contains(&b.at)).count();
        let done = load.since(mark);
        let count = |status: u16| done.iter().filter(|d| d.status == status).count();
        let (late, later, all, refused) = (there(start), there(active), done.len(), count(503));
        let failed = all - count(200) - refused;
        println!(
            "{sidecars} sidecars, a window of 10 s: {late} requests to the site after its start, {later} after the \
             window was told active; of {all} requests from the lead to the return {refused} refused, {failed} failed"
        );
        load.finish();
    }
}
