//! A small fleet for tests of the control plane: three sites of stand-in upstreams that have a capacity and can be
//! lost, sidecars in each site, the list service behind proxies, and a load over all.
#![allow(dead_code)]

mod load;
mod stand;

pub use load::{Ask, Done, Load};
pub use stand::{Begun, SiteFault, Stand};

use crate::cluster::{self, Cluster, PATIENCE, Proxy};
use crate::world::Sidecar;
use micapier::fleet::plan::{Plan, PlanMark};
use micapier::fleet::report::{Aged, Report};
use micapier::fleet::state::SiteState;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The sites by their place in the sidecars' settings, with the region of each.
pub const SITES: [(&str, &str); 3] = [("praha", "cechy"), ("plzen", "cechy"), ("brno", "morava")];
pub const PRAHA: usize = 0;
pub const PLZEN: usize = 1;
pub const BRNO: usize = 2;
/// The classes: safe to repeat, repeated under a key within a site, never repeated; and what a ms is worth.
pub const CLASSES: [(&str, f64); 3] = [("vyhledani", 1.0), ("poznamka", 2.0), ("vydani-listu", 3.0)];
pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;
/// The tenants, with the share of the fleet's capacity that each is promised.
pub const TENANTS: [(&str, f64); 2] = [("mesto-horni", 0.6), ("mesto-dolni", 0.4)];
/// Cores of a server, each a second of work a second.
pub const CORES: usize = 2;
pub const COLD_FROM: f64 = 0.19;
pub const FALL_MULTIPLE: f64 = 2.0;

/// How large a fleet is, and how fast its servers warm up.
#[derive(Clone)]
pub struct Size {
    pub sidecars: usize,
    pub servers_a_site: usize,
    pub ramp: Duration,
    /// More tables under the list service's `[fleet]`, such as contracts.
    pub extra: &'static str,
    /// Whether the sidecars take part in the control plane.
    pub control: bool,
}

impl Size {
    /// Enough for each property, small enough for a debug build on a loaded machine.
    pub const LEAN: Size =
        Size { sidecars: 12, servers_a_site: 3, ramp: Duration::from_secs(30), extra: "", control: true };

    /// What the warm servers of a site do, in ms of work a second.
    pub fn site_rate(&self) -> f64 {
        (self.servers_a_site * CORES) as f64 * 1e3
    }
}

/// The processes and the stand-ins of a fleet.
pub struct Fleet {
    pub size: Size,
    pub cluster: Cluster,
    /// The ways of the sidecars to the three instances.
    pub fronts: Vec<Proxy>,
    pub stand: Stand,
    pub sidecars: Vec<Option<Sidecar>>,
    /// Where each sidecar listens now; a restart moves it.
    pub addrs: Arc<Mutex<Vec<SocketAddr>>>,
    /// When each sidecar's process was started, Unix ms: its reports of before are another's.
    since_ms: Vec<u64>,
}

/// How a plan holds a site to be.
pub fn state_of(plan: &Plan, site: usize) -> SiteState {
    plan.sites.get(SITES[site].0).copied().unwrap_or_default()
}

/// The time of day.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// The list service's part of the configuration.
fn fleet_table(size: &Size) -> String {
    let site = |(site, region)| format!("{site} = {{ region = \"{region}\", rate = {}.0 }}\n", CORES * 1_000);
    let tenant = |(tenant, share)| format!("{tenant} = {{ share = {share} }}\n");
    let class = |i: usize| {
        let (class, worth) = CLASSES[i];
        format!("{class} = {{ worth = {worth:.1}, repeatable = {} }}\n", i != UNSAFE)
    };
    let (sites, tenants) = (SITES.map(site).concat(), TENANTS.map(tenant).concat());
    let classes = [SAFE, KEYED, UNSAFE].map(class).concat();
    format!(
        "[fleet]\ncold_from = {COLD_FROM}\nramp_ms = {}\nfall_multiple = {FALL_MULTIPLE}\n[fleet.sites]\n{sites}\
         [fleet.tenants]\n{tenants}[fleet.classes]\n{classes}{}\n",
        size.ramp.as_millis(),
        size.extra
    )
}

/// What every sidecar is told of the fleet.
fn settings(number: usize, size: &Size) -> Value {
    let class = |(name, _): &(&str, f64), kind: Value| {
        let mut class = json!({"name": name, "aim": 400.0, "deadline": 3000.0});
        class.as_object_mut().expect("an object").extend(kind.as_object().expect("an object").clone());
        class
    };
    json!({
        "areas": SITES.map(|(site, _)| site), "skus": ["m"], "orgs": TENANTS.map(|(tenant, _)| json!({"name": tenant})),
        "zone": number % SITES.len(), "me": number, "instances": size.sidecars, "discovery": "pushed", "tick": 1.0,
        "policyLimits": {"cancel": true, "mostTries": 3, "retryAfter": true, "maxRetryAfter": 2000.0},
        "obligations": {"coldFrom": COLD_FROM, "rampTime": size.ramp.as_millis() as u64, "fallMultiple": FALL_MULTIPLE},
        "requestClasses": [
            class(&CLASSES[SAFE], json!({"idempotency": "retryable"})),
            class(&CLASSES[KEYED], json!({"idempotency": "dedup", "group": "zone", "dedupWindow": 7500.0})),
            class(&CLASSES[UNSAFE], json!({"idempotency": "fragile"})),
        ],
    })
}

impl Fleet {
    /// Starts all of it: the list service knows every server, each sidecar is ready.
    pub fn start(name: &str, size: Size) -> Fleet {
        let cluster = Cluster::with(name, &fleet_table(&size));
        let fronts: Vec<Proxy> = cluster.addrs.iter().map(|&addr| Proxy::new(addr)).collect();
        let stand = Stand::start(SITES.len(), size.servers_a_site, size.ramp);
        let mut fleet = Fleet {
            cluster,
            fronts,
            stand,
            sidecars: (0..size.sidecars).map(|_| None).collect(),
            addrs: Arc::new(Mutex::new(vec![SocketAddr::from(([127, 0, 0, 1], 9)); size.sidecars])),
            since_ms: vec![0; size.sidecars],
            size,
        };
        (0..SITES.len()).for_each(|site| _ = fleet.register(site));
        fleet.start_sidecars(&(0..fleet.size.sidecars).collect::<Vec<_>>());
        fleet
    }

    /// The site that a sidecar is in.
    pub fn site_of(&self, sidecar: usize) -> usize {
        sidecar % SITES.len()
    }

    /// Tells the list service of a site's servers as they are now; answers which instance leads.
    fn register(&self, site: usize) -> usize {
        let mut leader = 0;
        for line in self.stand.lines(site, SITES[site].0) {
            let path = format!("/registry/instances/{}", line["id"].as_str().expect("an id"));
            let written = self.cluster.write("PUT", &path, &line.to_string(), cluster::NEW_LEADER);
            leader = written.expect("a leader took the server").0;
        }
        leader
    }

    /// Which instance leads: the one that takes a write that changes nothing.
    pub fn leader(&self) -> usize {
        self.register(BRNO)
    }

    /// A site's servers are there again, each started just now and as cold as that makes it.
    pub fn restart_cold(&self, site: usize) {
        self.stand.restart_cold(site);
        self.register(site);
    }

    fn known(&self) -> Value {
        let members: Vec<Value> =
            SITES.iter().enumerate().flat_map(|(i, (name, _))| self.stand.lines(i, name)).collect();
        json!({"revision": 1, "complete": true, "members": members})
    }

    /// Starts these sidecars, or starts them again, some at a time.
    pub fn start_sidecars(&mut self, which: &[usize]) {
        let peers: Vec<String> = self.fronts.iter().map(|front| front.addr.to_string()).collect();
        let (known, size) = (self.known(), self.size.clone());
        let start = |&i: &usize| {
            Sidecar::with(&[], |c| {
                c["name"] = json!(format!("n{i}"));
                c["seed"] = json!(format!("{:x}", 0x5a00 + i));
                c["known"] = known.clone();
                c["discovery_peers"] = json!(peers);
                if size.control {
                    c["fleet"] = json!({"peers": peers, "report_ms": 1000});
                }
                c["settings"] = settings(i, &size);
            })
        };
        which.iter().for_each(|&i| self.since_ms[i] = unix_ms());
        for (&i, sidecar) in which.iter().zip(Sidecar::many(which, start)) {
            let addr = sidecar.connect().peer_addr().expect("its address");
            self.addrs.lock().expect("no panic")[i] = addr;
            self.sidecars[i] = Some(sidecar);
        }
    }

    /// SIGKILLs these sidecars.
    pub fn kill_sidecars(&mut self, which: &[usize]) {
        which.iter().for_each(|&i| drop(self.sidecars[i].take()));
    }

    /// The plan as an instance tells it.
    pub fn plan(&self, instance: usize) -> Option<Plan> {
        let node = self.cluster.nodes[instance].as_ref()?;
        let (status, body, _) = node.call_within("GET", "/fleet/plan", "", cluster::WRITE)?;
        (status == 200).then(|| serde_json::from_str(&body).expect("a plan"))
    }

    /// The newest plan of any instance that answers.
    pub fn newest(&self) -> Option<Plan> {
        (0..3).filter_map(|i| self.plan(i)).max_by_key(|plan| plan.mark)
    }

    /// Waits for a condition; panics with `what` after `within`.
    pub fn until(&self, what: &str, within: Duration, mut done: impl FnMut(&Fleet) -> bool) {
        let began = Instant::now();
        while !done(self) {
            let is_late = began.elapsed() >= within;
            assert!(!is_late, "{what}: {:?}\n{}", self.newest(), self.sights().join("\n"));
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until every running instance tells a plan with the site in one of these states; answers the newest mark.
    pub fn until_state(&self, site: usize, states: &[SiteState]) -> PlanMark {
        let mut mark = PlanMark::default();
        self.until(&format!("{} in {states:?}", SITES[site].0), 3 * PATIENCE, |fleet| {
            let running = || (0..3).filter(|&i| fleet.cluster.nodes[i].is_some());
            let plans: Vec<Plan> = running().filter_map(|i| fleet.plan(i)).collect();
            let is = |plan: &Plan| states.contains(&state_of(plan, site));
            mark = plans.iter().map(|plan| plan.mark).max().unwrap_or_default();
            plans.len() == running().count() && plans.iter().all(is)
        });
        mark
    }

    /// The reports that count, as the instances hold them: the newest of each sidecar, with its age.
    pub fn reports(&self) -> Vec<Aged> {
        let mut all: Vec<Aged> = Vec::new();
        for node in self.cluster.nodes.iter().flatten() {
            let answer = node.call_within("GET", "/fleet/reports", "", cluster::WRITE);
            let Some((200, body, _)) = answer else { continue };
            all.extend(serde_json::from_str::<Vec<Aged>>(&body).expect("reports"));
        }
        let mark = |aged: &Aged| (aged.report.incarnation, aged.report.sequence);
        all.sort_by(|a, b| (&a.report.origin, mark(b)).cmp(&(&b.report.origin, mark(a))));
        all.dedup_by(|a, b| a.report.origin == b.report.origin);
        all
    }

    /// What each counting report says of each site: attempts, those left dark, answers, and what it holds of the site.
    fn sights(&self) -> Vec<String> {
        let line = |aged: &Aged| {
            let report = &aged.report;
            let traffic = report.traffic.iter().map(|t| (t.site.as_str(), t.sent, t.dark, t.answered));
            let traffic: Vec<_> = traffic.collect();
            format!("{} of {}: {traffic:?}, {:?}", report.origin, report.site, report.sights)
        };
        self.reports().iter().map(line).collect()
    }

    /// Sends a report as a sidecar would, to an instance; answers the status.
    pub fn report(&self, instance: usize, report: &Report) -> u16 {
        let text = serde_json::to_string(report).expect("JSON");
        self.cluster.node(instance).call("POST", "/fleet/reports", &text).0
    }

    /// Waits until every running sidecar reports that it goes by this plan or a newer one.
    pub fn until_followed(&self, mark: PlanMark) {
        self.until("the sidecars go by the plan", 2 * PATIENCE, |fleet| {
            let running = (0..fleet.sidecars.len()).filter(|&i| fleet.sidecars[i].is_some());
            let reports = fleet.reports();
            let follows = |report: &Report, i: usize| {
                let its = report.origin == format!("n{i}") && report.incarnation >= fleet.since_ms[i];
                its && report.plan.is_some_and(|(held, _)| held >= mark)
            };
            running.into_iter().all(|i| reports.iter().any(|aged| follows(&aged.report, i)))
        });
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Before the service: they would log each call to one that is gone.
        self.sidecars.clear();
    }
}
