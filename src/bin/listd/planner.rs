//! The planner's task: where this instance has the duty, it pulls the reports, plans and publishes.

use crate::duty::DutyKeeper;
use crate::fleet::FleetRequest;
use crate::node::{Node, WriteError};
use crate::store::StoreError;
use micapier::fleet::plan::Plan;
use micapier::fleet::planner::{Input, Planner};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// How often the evidence is looked at. A plan follows it within this time and the pull of the reports.
const TICK: Duration = Duration::from_millis(250);

/// Plans for good while the duty is held: anew from the published plan under each token.
pub async fn run(node: &Node, duty: &DutyKeeper) {
    let mut held: Option<(u64, Planner)> = None;
    let mut pulled = BTreeMap::new();
    let mut noted_ms = 0;
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
            _ => {
                noted_ms = node.now_ms();
                &mut held.insert((token, begin(node))).1
            }
        };
        node.pull_reports(&mut pulled).await;
        let plan = tick(node, planner);
        // The pull took its time.
        if duty.may_act() != Some(token) {
            continue;
        }
        if planner.worth_publishing(&plan, node.now_ms()) {
            publish(node, token, planner, &plan).await;
        }
        // The store refuses them where the duty has gone meanwhile.
        node.step_windows(token, &plan).await;
        node.note_demand(token, planner.demand(), &mut noted_ms).await;
    }
}

async fn publish(node: &Node, token: u64, planner: &mut Planner, plan: &Plan) {
    match node.propose(FleetRequest::Publish { token, plan: Box::new(plan.clone()) }).await {
        Ok(_) => {
            tell(planner, plan);
            planner.published(plan.clone(), node.now_ms());
        }
        Err(WriteError::Refused(StoreError::Fleet(error))) => {
            tracing::warn!(%error, "the plan is refused");
        }
        // It is published again at the next tick, if this instance has the duty then.
        Err(error) => tracing::debug!(%error, "the plan is not published"),
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
    let servers = node.servers();
    let (now_ms, unix_ms) = (node.now_ms(), node.unix_ms());
    let out = node.shared.store().fleet().maintenance().calendar().sites(unix_ms);
    node.reports.with(now_ms, |reports| {
        planner.tick(&Input { now_ms, unix_ms, reports, servers: &servers, out: &out })
    })
}
