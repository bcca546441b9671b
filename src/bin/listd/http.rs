//! The service over HTTP/1.1 and JSON: discovery's list and watch, registrations, heartbeats and deletes.

use crate::fleet::FleetError;
use crate::fleet_http;
use crate::metrics;
use crate::node::{Node, ReadError, WriteError};
use crate::peers::MAX_RAFT_BODY;
use crate::store::{Command, Member, Outcome, StoreError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use micapier::fleet::duty::DutyError;
use micapier::fleet::window::Refusal;
use openraft::raft::AppendEntriesResponse;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// A body holds at most 64 KiB, as everywhere on the platform.
const MAX_BODY: usize = 64 * 1024;
/// The longest watch, as discovery's page has it.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A registration: the entry, and a lease's TTL where it has one.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Registration {
    #[serde(flatten)]
    member: Member,
    ttl_ms: Option<u64>,
}

/// Answers one call.
pub async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let most = match segments.as_slice() {
        ["raft", ..] => MAX_RAFT_BODY,
        ["fleet", "reports"] => fleet_http::MAX_REPORT,
        ["fleet", "propose"] => fleet_http::MAX_REQUEST,
        _ => MAX_BODY,
    };
    let body = match Limited::new(body, most).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        }
        Err(_) => return plain(StatusCode::BAD_REQUEST, "the body broke"),
    };
    match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["registry", "instances"]) => list(&node, &query).await,
        (&Method::PUT, ["registry", "instances", id]) => register(&node, id, &body).await,
        (&Method::DELETE, ["registry", "instances", id]) => {
            written(node.write(Command::Delete { id: (*id).to_owned() }).await)
        }
        (&Method::PUT, ["registry", "leases", id]) => {
            written(node.write(Command::Beat { id: (*id).to_owned(), now_ms: node.now_ms() }).await)
        }
        (&Method::POST, ["raft", "append"]) => {
            let append = async |rpc| {
                let taken = node.raft.append_entries(rpc).await;
                // A conflict in the log is the leader's too: only a higher vote makes its call another's.
                if taken.as_ref().is_ok_and(|answer| !matches!(answer, AppendEntriesResponse::HigherVote(_)))
                {
                    node.heard_leader();
                }
                taken
            };
            rpc(&body, append).await
        }
        (&Method::POST, ["raft", "vote"]) => rpc(&body, |rpc| node.raft.vote(rpc)).await,
        (&Method::POST, ["raft", "snapshot"]) => rpc(&body, |rpc| node.raft.install_snapshot(rpc)).await,
        (method, ["duties" | "fleet", ..]) => {
            fleet_http::serve(&node, method, &segments, &query, &body).await
        }
        (&Method::GET, ["metrics"]) => typed(metrics::CONTENT_TYPE, node.figures().into_bytes()),
        (_, ["registry" | "metrics", ..]) => plain(StatusCode::METHOD_NOT_ALLOWED, "no such call"),
        _ => plain(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// A call of raft from a peer: its request in JSON, raft's result in JSON.
async fn rpc<Q: DeserializeOwned, A: Serialize, F: Future<Output = A>>(
    body: &[u8], call: impl FnOnce(Q) -> F,
) -> Response<Full<Bytes>> {
    match serde_json::from_slice(body) {
        Ok(request) => json(serde_json::to_vec(&call(request).await).unwrap_or_default()),
        Err(error) => plain(StatusCode::BAD_REQUEST, &format!("no call of raft: {error}")),
    }
}

/// The index and wait of a query, where it has them; `None` where it has anything else.
pub fn index_and_wait(query: &str) -> Option<(Option<u64>, Option<Duration>)> {
    let (mut index, mut wait) = (None, None);
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=')?;
        let number = value.parse::<u64>().ok()?;
        match key {
            "index" => index = Some(number),
            "wait" => wait = Some(Duration::from_millis(number).min(MAX_WAIT)),
            _ => return None,
        }
    }
    Some((index, wait))
}

async fn list(node: &Node, query: &str) -> Response<Full<Bytes>> {
    let Some((index, wait)) = index_and_wait(query) else {
        return plain(StatusCode::BAD_REQUEST, "the query takes index and wait in numbers");
    };
    let answer = match (index, wait) {
        (Some(index), Some(wait)) => node.watch(index, wait).await,
        (index, _) => node.read(index),
    };
    match answer {
        Ok(list) => json(list),
        Err(ReadError::Refused(error)) => refused(&error),
        // Guards against a list that can't change any more being served as current by a cut-off minority.
        Err(error @ ReadError::OutOfTouch) => plain(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

fn json(body: Vec<u8>) -> Response<Full<Bytes>> {
    typed("application/json", body)
}

fn typed(form: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(form));
    response
}

/// Answers by a value read from the body, or that it can't be read.
pub async fn with<T: DeserializeOwned>(
    body: &[u8], answer: impl AsyncFnOnce(T) -> Response<Full<Bytes>>,
) -> Response<Full<Bytes>> {
    match serde_json::from_slice(body) {
        Ok(value) => answer(value).await,
        Err(error) => plain(StatusCode::BAD_REQUEST, &format!("the body can't be read: {error}")),
    }
}

pub fn to_json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    json(serde_json::to_vec(value).unwrap_or_default())
}

async fn register(node: &Node, id: &str, body: &[u8]) -> Response<Full<Bytes>> {
    let registration: Registration = match serde_json::from_slice(body) {
        Ok(registration) => registration,
        Err(error) => return plain(StatusCode::BAD_REQUEST, &format!("no registration: {error}")),
    };
    if registration.member.id != id {
        return plain(StatusCode::BAD_REQUEST, "the id of the path and of the body differ");
    }
    let command =
        Command::Put { member: registration.member, ttl_ms: registration.ttl_ms, now_ms: node.now_ms() };
    written(node.write(command).await)
}

fn written(outcome: Result<Outcome, WriteError>) -> Response<Full<Bytes>> {
    match outcome {
        Ok(outcome) => plain(StatusCode::OK, &format!("{{\"revision\":{}}}", outcome.revision)),
        Err(error) => refused_write(&error),
    }
}

/// The answer to a write that was not made.
pub fn refused_write(error: &WriteError) -> Response<Full<Bytes>> {
    match error {
        WriteError::Refused(error) => refused(error),
        WriteError::NotLeader(leader) => {
            let mut response = plain(StatusCode::MISDIRECTED_REQUEST, "writes go to the leader");
            if let Some(value) =
                leader.and_then(|addr| hyper::header::HeaderValue::from_str(&addr.to_string()).ok())
            {
                response.headers_mut().insert("X-Leader", value);
            }
            response
        }
        WriteError::Raft(_) | WriteError::Late => {
            tracing::warn!(%error, "a write was not committed");
            plain(StatusCode::SERVICE_UNAVAILABLE, "the write was not committed; it may be later")
        }
    }
}

fn refused(error: &StoreError) -> Response<Full<Bytes>> {
    let status = match error {
        StoreError::Malformed(_) | StoreError::Future { .. } => StatusCode::BAD_REQUEST,
        StoreError::Unknown => StatusCode::NOT_FOUND,
        StoreError::Full(_) | StoreError::Fleet(FleetError::Duty(DutyError::Full)) => {
            StatusCode::INSUFFICIENT_STORAGE
        }
        StoreError::Fleet(FleetError::Duty(DutyError::Held { .. } | DutyError::Stale { .. })) => {
            StatusCode::CONFLICT
        }
        StoreError::Fleet(FleetError::Duty(DutyError::Malformed(_)) | FleetError::UnsoundPlan) => {
            StatusCode::BAD_REQUEST
        }
        StoreError::Fleet(FleetError::Window(why)) => match why {
            Refusal::Malformed(_) => StatusCode::BAD_REQUEST,
            Refusal::UnknownSite | Refusal::UnknownWindow => StatusCode::NOT_FOUND,
            _ => StatusCode::CONFLICT,
        },
        StoreError::Fleet(FleetError::Soon) => StatusCode::SERVICE_UNAVAILABLE,
    };
    plain(status, &error.to_string())
}

/// The answer to a client for whom there is no place: it may find one at another instance.
pub fn no_place() -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "no place for another connection");
    response.headers_mut().insert(CONNECTION, hyper::header::HeaderValue::from_static("close"));
    response
}

pub fn plain(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text.to_owned())));
    *response.status_mut() = status;
    response
}
