//! The control plane over HTTP: duties, the published plan, the sidecars' reports.

use crate::fleet::{FleetAnswer, FleetError, FleetRequest, FleetState};
use crate::fleet_node::YOUNG;
use crate::http::{index_and_wait, plain, refused_write, to_json, with};
use crate::node::{Node, WriteError};
use crate::store::StoreError;
use crate::windows_http;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};
use micapier::fleet::duty::DutyError;
use micapier::fleet::report::{COUNTS_MS, Report, ReportError};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The longest body of a report: thousands of lines.
pub const MAX_REPORT: usize = 256 * 1024;
/// The longest body of a request that another instance passes on: a plan for hundreds of tenants.
pub const MAX_REQUEST: usize = 4 * 1024 * 1024;

type Answer = Response<Full<Bytes>>;

/// A request for a duty.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Ask {
    holder: String,
    ttl_ms: u64,
}

/// What a watch of a duty tells.
#[derive(Serialize)]
struct Duty<'a> {
    /// The count of the state's changes, to watch from.
    index: u64,
    /// Who has it; `None` where it is free.
    holder: Option<&'a str>,
    /// The holder's token.
    token: Option<u64>,
}

/// Answers a call of the control plane's paths.
pub async fn serve(node: &Node, method: &Method, segments: &[&str], query: &str, body: &[u8]) -> Answer {
    match (method, segments) {
        _ if !node.fleet.is_on() => plain(StatusCode::NOT_FOUND, "no fleet is configured"),
        (&Method::PUT, ["duties", name]) => {
            let grant = async |Ask { holder, ttl_ms }| {
                let name = (*name).to_owned();
                written(node.propose(FleetRequest::Grant { name, holder, ttl_ms }).await)
            };
            with(body, grant).await
        }
        (&Method::DELETE, ["duties", name]) => {
            match query.strip_prefix("token=").and_then(|token| token.parse().ok()) {
                Some(token) => {
                    let name = (*name).to_owned();
                    written(node.propose(FleetRequest::Release { name, token }).await)
                }
                None => plain(StatusCode::BAD_REQUEST, "the query takes a token"),
            }
        }
        (&Method::GET, ["duties", name]) => watch_duty(node, name, query).await,
        (&Method::GET, ["fleet", "plan"]) => watch_plan(node, query).await,
        (&Method::POST, ["fleet", "reports"]) => with(body, async |report| take(node, report)).await,
        (&Method::GET, ["fleet", "reports"]) => match query.strip_prefix(YOUNG).map(str::parse) {
            Some(Ok(most_ms)) => to_json(&node.aged_reports(most_ms)),
            None if query.is_empty() => to_json(&node.aged_reports(COUNTS_MS)),
            _ => plain(StatusCode::BAD_REQUEST, "the query takes an age in ms"),
        },
        (method, ["fleet", "windows", path @ ..]) => windows_http::serve(node, method, path, body).await,
        // Taken by the leader alone: a request is passed on once.
        (&Method::POST, ["fleet", "propose"]) => {
            with(body, async |request| proposed(node.propose_here(request).await)).await
        }
        _ => plain(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn watch_duty(node: &Node, name: &str, query: &str) -> Answer {
    let Some((index, wait)) = index_and_wait(query) else {
        return plain(StatusCode::BAD_REQUEST, "the query takes index and wait in numbers");
    };
    let there = |fleet: &FleetState| index.is_none_or(|index| fleet.changes() != index);
    let answer = |fleet: &FleetState| {
        let lease = fleet.duties().lease(name);
        let (holder, token) = (lease.map(|lease| lease.holder.as_str()), lease.map(|lease| lease.token));
        to_json(&Duty { index: fleet.changes(), holder, token })
    };
    let watched = node.watch_fleet(wait.unwrap_or(Duration::ZERO), there, answer).await;
    watched.unwrap_or_else(|error| plain(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()))
}

async fn watch_plan(node: &Node, query: &str) -> Answer {
    let Some((index, wait)) = index_and_wait(query) else {
        return plain(StatusCode::BAD_REQUEST, "the query takes index and wait in numbers");
    };
    let there = |fleet: &FleetState| fleet.version() > index.unwrap_or(0);
    let answer = |fleet: &FleetState| match fleet.plan() {
        Some(plan) => to_json(plan),
        None => plain(StatusCode::NOT_FOUND, "no plan was published yet"),
    };
    let watched = node.watch_fleet(wait.unwrap_or(Duration::ZERO), there, answer).await;
    watched.unwrap_or_else(|error| plain(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()))
}

/// A report that an instance out of touch keeps would reach no planner: its sidecar has to go to another.
fn take(node: &Node, report: Report) -> Answer {
    if !node.is_in_touch() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "out of touch with a quorum");
    }
    match node.take_report(report) {
        Ok(()) => plain(StatusCode::OK, ""),
        Err(error @ ReportError::Malformed(_)) => plain(StatusCode::BAD_REQUEST, &error.to_string()),
        Err(error @ (ReportError::Older | ReportError::Past)) => {
            plain(StatusCode::CONFLICT, &error.to_string())
        }
        Err(error @ ReportError::Full) => plain(StatusCode::INSUFFICIENT_STORAGE, &error.to_string()),
    }
}

/// The answer to a client.
fn written(answer: Result<FleetAnswer, WriteError>) -> Answer {
    match answer {
        Ok(FleetAnswer::Granted(grant)) => to_json(&grant),
        Ok(FleetAnswer::Published(mark)) => to_json(&mark),
        Ok(FleetAnswer::Released | FleetAnswer::Maintained) => to_json(&serde_json::json!({})),
        Err(WriteError::Refused(StoreError::Fleet(FleetError::Duty(DutyError::Held { holder })))) => {
            let mut answer = to_json(&serde_json::json!({ "holder": holder }));
            *answer.status_mut() = StatusCode::CONFLICT;
            answer
        }
        Err(error) => refused_write(&error),
    }
}

/// The answer to another instance: a refusal as it is, so that it can be read there.
fn proposed(answer: Result<FleetAnswer, WriteError>) -> Answer {
    match answer {
        Ok(answer) => to_json(&answer),
        Err(error) => {
            let mut answer = refused_write(&error);
            if let WriteError::Refused(refusal) = &error {
                let status = answer.status();
                answer = to_json(refusal);
                *answer.status_mut() = status;
            }
            answer
        }
    }
}
