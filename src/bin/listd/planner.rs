//! The planner's task: where this instance has the duty, it pulls the reports, plans and publishes.

use crate::duty::DutyKeeper;
use crate::fleet::FleetRequest;
use crate::node::{Node, WriteError};
use crate::store::{Member, Phase, StoreError};
use micapier::fleet::capacity::Server;
use micapier::fleet::plan::Plan;
use micapier::fleet::planner::{Input, Planner};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{MissedTickBehavior, interval};

/// How often the evidence is looked at. A plan follows it within this time and the pull of the reports.
const TICK: Duration = Duration::from_millis(250);

/// Plans for good while the duty is held: anew from the published plan under each token.
pub async fn run(node: &Node, duty: &DutyKeeper) {
    let mut held: Option<(u64, Planner)> = None;
    let mut pulled = BTreeMap::new();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let Some(token) = duty.may_act() else {
            held = None;
            pulled.clear();
            continue;
        };
        let planner = match &mut held {
            Some((of, planner)) if *of == token => planner,
            _ => &mut held.insert((token, begin(node))).1,
        };
        node.pull_reports(&mut pulled).await;
        let plan = tick(node, planner);
        // The pull took its time.
        if duty.may_act() != Some(token) || !planner.worth_publishing(&plan, node.now_ms()) {
            continue;
        }
        match node.propose(FleetRequest::Publish { token, plan: Box::new(plan.clone()) }).await {
            Ok(_) => {
                tell(planner, &plan);
                planner.published(plan, node.now_ms());
            }
            Err(WriteError::Refused(StoreError::Fleet(error))) => {
                tracing::warn!(%error, "the plan is refused");
            }
            // It is published again at the next tick, if this instance has the duty then.
            Err(error) => tracing::debug!(%error, "the plan is not published"),
        }
    }
}

/// Tells operators what changed since the last plan.
fn tell(planner: &Planner, plan: &Plan) {
    let before = planner.last_published();
    for (site, state) in &plan.sites {
        let was = before.and_then(|plan| plan.sites.get(site));
        if was != Some(state) {
            tracing::info!(site, ?state, was = was.map(tracing::field::debug), "site");
        }
    }
    let placement = planner.placement();
    if placement.refused_worth > 0.0 {
        let (refused, least) = (placement.refused_worth, placement.least_refused_worth);
        tracing::debug!(refused, least, "worth refused a second, and the least possible");
    }
}

/// A planner that goes on from what the last one published.
fn begin(node: &Node) -> Planner {
    let mut planner = Planner::new(node.fleet.clone());
    let published = node.shared.store().fleet().plan().cloned();
    tracing::info!(from = published.as_ref().map(|plan| plan.mark.version), "planning");
    if let Some(plan) = published {
        planner.resume(&plan, node.now_ms());
    }
    planner
}

/// One look at the evidence. It takes some ms for 300 sidecars, which raft's heartbeats can wait for.
fn tick(node: &Node, planner: &mut Planner) -> Plan {
    // A clock before 1970 only makes every server warm.
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let servers: Vec<Server> = node.shared.store().whole().members.into_iter().map(server).collect();
    let now_ms = node.now_ms();
    let out = BTreeMap::new();
    node.reports.with(now_ms, |reports| {
        planner.tick(&Input { now_ms, unix_ms, reports, servers: &servers, out: &out })
    })
}

fn server(member: &Member) -> Server {
    Server {
        site: member.locality.clone(),
        size: member.size,
        ready: member.phase == Phase::Ready,
        up_since_ms: member.up_since_ms,
    }
}
