//! Maintenance windows on three instances: granted, refused with a reason, and each step taken once, through the end of
//! the planner in each state and a restart of all in the lead.

mod cluster;

use cluster::{Cluster, PATIENCE, json, planner, settled};
use serde_json::{Value, json};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const FLEET: &str = r#"
[fleet.sites]
praha = { region = "zapad", rate = 3000.0 }
plzen = { region = "zapad", rate = 3000.0 }
brno = { region = "vychod", rate = 3000.0 }
"#;
/// The window's times in ms: its lead begins late enough for the first planner to be killed before, and a step that
/// waits for the next planner leaves it what it needs.
const LEAD: u64 = 6_000;
const LASTS: u64 = 6_000;
const FROM: u64 = LEAD + 3_000;

fn asked(site: &str, not_before: u64, within: u64) -> String {
    let not_after = not_before + within;
    json!({"site": site, "duration_ms": LASTS, "not_before": not_before, "not_after": not_after, "lead_ms": LEAD})
        .to_string()
}

fn extend(cluster: &Cluster, end: &Value) -> (u16, Value) {
    let body = json!({"by_ms": 2_000, "end_ms": end}).to_string();
    settled(cluster, "POST", "/fleet/windows/x/extend", &body)
}

/// Waits until the window and the plan are as wanted; answers the window.
fn until(cluster: &Cluster, state: &str, site: &str) -> Value {
    let began = Instant::now();
    loop {
        let window = settled(cluster, "GET", "/fleet/windows/x", "").1;
        let plan = settled(cluster, "GET", "/fleet/plan", "").1;
        if window["state"] == state && plan["sites"]["praha"] == site {
            return window;
        }
        assert!(began.elapsed() < PATIENCE, "not {state} and {site}: {window} {plan}");
        sleep(Duration::from_millis(50));
    }
}

#[test]
fn each_step_is_taken_once_through_the_planners_ends_and_a_restart_of_all() {
    let mut cluster = Cluster::with("windows", FLEET);
    let (first, _) = planner(&cluster);

    // Granted by the leader alone, and to the same request again.
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
    let x = asked("praha", now + FROM, 600_000);
    for _ in 0..2 {
        let put = |i| cluster.node(i).try_call("PUT", "/fleet/windows/x", &x).expect("an answer");
        let mut answers: Vec<_> = (0..3).map(put).collect();
        answers.sort();
        assert_eq!(answers.iter().map(|answer| answer.0).collect::<Vec<_>>(), [200, 421, 421]);
        assert_eq!(json(&answers[0].1)["start"], now + FROM);
        assert!(answers[1].2.is_some(), "no X-Leader");
    }
    // Refused with the reason, and nothing is changed.
    for (id, body, status, why) in [
        ("y", "{}".to_owned(), 400, Value::Null),
        ("y", asked("brno", now, LASTS - 1), 400, json!({"Malformed": "Between"})),
        ("y", asked("tabor", now, 600_000), 404, json!("UnknownSite")),
        ("x", asked("praha", now, 600_000), 409, json!("Conflict")),
        ("y", asked("brno", now + FROM, LASTS), 409, json!({"TooManyOut": 1})),
    ] {
        let (answered, refusal) = settled(&cluster, "PUT", &format!("/fleet/windows/{id}"), &body);
        assert_eq!((answered, &refusal["why"]), (status, &why), "{body}: {refusal}");
    }
    assert_eq!(extend(&cluster, &Value::Null).1["why"], "NotUnderWay");
    assert_eq!(settled(&cluster, "DELETE", "/fleet/windows/y", "").0, 404);
    let all = settled(&cluster, "GET", "/fleet/windows", "").1;
    let all = all["windows"].as_array().expect("windows");
    assert_eq!((all.len(), &all[0]["state"]), (1, &json!("Planned")));
    // One for tomorrow, and taken back.
    let day = asked("brno", now + 86_400_000, 600_000);
    assert_eq!(settled(&cluster, "PUT", "/fleet/windows/y", &day).0, 200);
    assert_eq!(settled(&cluster, "DELETE", "/fleet/windows/y", "").1["state"], "Cancelled");

    // Planned: the planner is killed, and another begins the lead.
    cluster.nodes[first].take().expect("running").kill();
    until(&cluster, "Draining", "Draining");
    cluster.start(first);
    // In the lead all are killed.
    cluster.kill_all();
    cluster.start_all();
    let active = until(&cluster, "Active", "Maintenance");
    // A call to extend that is made twice counts once.
    let extended = extend(&cluster, &active["end"]).1["end"].as_u64();
    assert_eq!(extended, active["end"].as_u64().map(|end| end + 2_000));
    let again = extend(&cluster, &active["end"]);
    assert_eq!((again.0, &again.1["why"]), (409, &json!({"Moved": extended})));
    // Active: the planner is paused until another has ended the window, and wakes with its old token.
    let (paused, _) = planner(&cluster);
    cluster.node(paused).pause(true);
    until(&cluster, "Ended", "Returning");
    cluster.node(paused).pause(false);
    for i in 0..3 {
        let done = |node: &cluster::Listd| {
            let (status, window) = node.call("GET", "/fleet/windows/x", "");
            let window = json(&window);
            let told: Vec<_> = window["told"].as_array().into_iter().flatten().map(|told| &told[0]).collect();
            status == 200 && told == ["Planned", "Draining", "Active", "Ended"] && window["steps"] == 3
        };
        cluster.node(i).until("steps were lost or done twice", done);
    }
}
