//! A sidecar that is part of a fleet, beside a stand-in for the two calls of the control plane.

mod world;
use micapier::fleet::plan::{ANY, Plan, PlanMark};
use micapier::fleet::report::Report;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use world::*;

/// What the control plane does next.
#[derive(Default)]
struct Said {
    plan: Option<Plan>,
    /// Say the plan whatever the watch asks for.
    again: bool,
    hangs: bool,
    /// Reports are older than those held.
    holds_newer: bool,
}

#[derive(Clone)]
struct Planner {
    said: Arc<(Mutex<Said>, Condvar)>,
    service: Arc<Upstream>,
}

impl Planner {
    fn start() -> Planner {
        let said = Arc::new((Mutex::new(Said::default()), Condvar::new()));
        let of = said.clone();
        let service = Upstream::start(move |seen| {
            let said = of.0.lock().expect("no panic");
            let Some((_, rest)) = seen.line.split_once("index=") else {
                let status = if said.holds_newer { 409 } else { 200 };
                return if said.hangs { Reply::Silence } else { Reply::text(status, "", "") };
            };
            let index: u64 = rest.split('&').next().and_then(|text| text.parse().ok()).expect("an index");
            let newer = |said: &Said| said.plan.as_ref().is_some_and(|plan| plan.mark.version > index);
            let waits = |said: &mut Said| !said.hangs && !said.again && !newer(said);
            let (mut said, _) =
                of.1.wait_timeout_while(said, Duration::from_secs(2), waits).expect("no panic");
            said.again = false;
            match &said.plan {
                _ if said.hangs => Reply::Silence,
                None => Reply::text(404, "", ""),
                Some(plan) => Reply::text(200, "", &serde_json::to_string(plan).expect("JSON")),
            }
        });
        Planner { said, service: Arc::new(service) }
    }

    fn say(&self, change: impl FnOnce(&mut Said)) {
        change(&mut self.said.0.lock().expect("no panic"));
        self.said.1.notify_all();
    }

    fn reports(&self) -> Vec<Report> {
        let requests = self.service.requests();
        let posts = requests.iter().filter(|seen| seen.line.starts_with("POST /fleet/reports "));
        let reports = posts.map(|seen| serde_json::from_str(&seen.body).expect("a report"));
        reports.inspect(|report: &Report| assert_eq!(report.check(), Ok(()))).collect()
    }

    /// Waits until a report says that it goes by this plan, or by none; reports before are not looked at.
    fn wait_for(&self, mark: Option<PlanMark>) {
        let before = self.reports().len();
        let goes_by = |report: &Report| report.plan.map(|(mark, _)| mark) == mark;
        wait(&format!("{mark:?}"), || self.reports()[before..].iter().any(goes_by));
    }

    fn watches(&self) -> usize {
        self.service.requests().iter().filter(|seen| seen.line.starts_with("GET /fleet/plan")).count()
    }
}

fn map<T: Clone>(key: &str, value: T) -> BTreeMap<String, T> {
    BTreeMap::from([(key.to_owned(), value)])
}

/// All to one site, for as long as nothing else is said.
fn all_to(site: &str, version: u64) -> Plan {
    let mark = PlanMark { token: 4, version };
    Plan { mark, valid_ms: 30_000, shares: map("a", map(ANY, map(site, 1.0))), ..Plan::default() }
}

/// One upstream at home in `a`, three in `b`, and a sidecar whose control plane is this.
fn world(planner: &Planner, report_ms: u64) -> (Upstream, [Upstream; 3], Sidecar) {
    let upstream = |_| Upstream::start(|_| Reply::text(200, "", "ok"));
    let (home, away) = (upstream(0), [1, 2, 3].map(upstream));
    let sidecar = Sidecar::with(&[&home], |config| {
        config["fleet"] = json!({"peers": [planner.service.addr.to_string()], "report_ms": report_ms});
        config["settings"]["areas"] = json!(["a", "b"]);
        config["settings"]["orgs"] = json!([{"name": "mesto horni"}, {"name": "obec"}]);
    });
    let mut lines = vec![home.line("Ready")];
    lines.extend(away.iter().map(|upstream| upstream.line("Ready")));
    lines[1..].iter_mut().for_each(|line| line["locality"] = json!("b"));
    sidecar.discovery.tell(2, true, &lines);
    (home, away, sidecar)
}

/// Whether a request for this tenant is served, and by the upstream at home.
fn ask(sidecar: &Sidecar, home: &Upstream, tenant: &str) -> (Answer, bool) {
    let before = home.requests().len();
    let answer = sidecar.ask(&call("look", 10.0).method("GET").header("X-Caller", tenant));
    (answer, home.requests().len() > before)
}

#[test]
fn a_sidecar_goes_by_the_newest_plan_for_as_long_as_it_acts_and_then_by_itself() {
    let planner = Planner::start();
    let (home, _away, sidecar) = world(&planner, 100);
    planner.wait_for(None);
    let mut plan = all_to("b", 1);
    planner.say(|said| said.plan = Some(plan.clone()));
    planner.wait_for(Some(plan.mark));
    for _ in 0..20 {
        let (answer, at_home) = ask(&sidecar, &home, "obec");
        assert!(answer.status == 200 && !at_home);
    }
    // One tenant is refused, at once.
    plan.mark.version = 2;
    plan.admit = map("mesto_horni", map("look", 0.0));
    planner.say(|said| said.plan = Some(plan.clone()));
    planner.wait_for(Some(plan.mark));
    let (refused, _) = ask(&sidecar, &home, "mesto horni");
    assert!(refused.status == 503 && refused.header("retry-after").is_some(), "{}", refused.status);
    assert_eq!(ask(&sidecar, &home, "nikdo").0.status, 200);
    // An older plan, of a planner that has lost its duty, changes nothing. Two watches later it has been read.
    let older = Plan { mark: PlanMark { token: 3, version: 9 }, ..all_to("a", 0) };
    let watches = planner.watches();
    planner.say(|said| (said.plan, said.again) = (Some(older), true));
    sidecar.wait_until("the next watch", |_| planner.watches() > watches + 1);
    planner.wait_for(Some(plan.mark));
    assert!((0..10).all(|_| !ask(&sidecar, &home, "obec").1));
    // The last one before the control plane hangs. It acts to its end, and not after it.
    plan = Plan { valid_ms: 1_500, ..all_to("b", 10) };
    let published = Instant::now();
    planner.say(|said| said.plan = Some(plan.clone()));
    planner.wait_for(Some(plan.mark));
    planner.say(|said| said.hangs = true);
    sidecar.wait_until("its own judgement", |sidecar| {
        let (answer, at_home) = ask(sidecar, &home, "obec");
        assert_eq!(answer.status, 200, "requests don't wait for the control plane");
        assert!(!at_home || published.elapsed() >= Duration::from_millis(1_500), "before its end");
        at_home
    });
    // What was counted.
    let (mut refused, mut served) = (0, 0);
    for report in planner.reports() {
        assert_eq!((report.origin.as_str(), report.site.as_str()), ("n0", "a"));
        refused += report.demand.iter().filter(|d| d.tenant == "mesto_horni").map(|d| d.refused).sum::<u64>();
        served += report.traffic.iter().filter(|t| t.tenant == "obec").map(|t| t.served).sum::<u64>();
    }
    assert!(refused == 1 && served >= 30, "{refused} {served}");
}

#[test]
fn a_site_that_goes_dark_is_reported_early_and_who_is_no_part_of_a_fleet_has_no_thread_for_it() {
    let planner = Planner::start();
    let (home, away, sidecar) = world(&planner, 1_500);
    // A thread gives itself its name, once it runs.
    sidecar.wait_until("its thread", |sidecar| sidecar.has_thread("fleet"));
    let alone = Sidecar::start(&[&home]);
    alone.serves(1, 5.0);
    assert!(!alone.has_thread("fleet"));
    planner.say(|said| said.plan = Some(all_to("b", 1)));
    planner.wait_for(Some(all_to("b", 1).mark));
    // From the start of a report's time on, so that the next one in turn is far.
    let reports = planner.reports().len();
    sidecar.wait_until("a report", |_| planner.reports().len() > reports);
    away.iter().for_each(Upstream::stop);
    let dark = |report: &Report| report.traffic.iter().any(|line| line.site == "b" && line.dark >= 3);
    sidecar.wait_until("a report of it", |sidecar| {
        assert_eq!(ask(sidecar, &home, "obec").0.status, 200);
        planner.reports().iter().any(dark)
    });
    let report = planner.reports().into_iter().find(dark).expect("seen");
    assert!((250..1_400).contains(&report.span_ms), "{report:?}");
}

#[test]
fn a_process_that_may_have_another_beside_it_reports_for_itself_and_stays_with_who_holds_a_newer_one() {
    let planners = [Planner::start(), Planner::start()];
    planners.iter().for_each(|planner| planner.say(|said| said.holds_newer = true));
    let (home, socket) = (Upstream::start(|_| ok("")), TcpListener::bind("127.0.0.1:0").expect("a port"));
    let old = Sidecar::inheriting(&socket, &[&home], |config| {
        let peers = planners.each_ref().map(|planner| planner.service.addr.to_string());
        config["fleet"] = json!({"peers": peers, "report_ms": 100});
    });
    let both = || planners.each_ref().map(Planner::reports);
    old.wait_until("reports", |_| both().iter().any(|reports| reports.len() >= 5));
    assert!(both().iter().any(Vec::is_empty), "none goes on to the other instance");
    let new = old.successor(&socket);
    let origins = || both().iter().flatten().map(|report| report.origin.clone()).collect::<BTreeSet<_>>();
    new.wait_until("reports of both", |_| origins().len() == 2);
    assert!(origins().iter().all(|origin| origin.starts_with("n0+")), "{:?}", origins());
}
