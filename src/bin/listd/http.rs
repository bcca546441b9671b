//! The service over HTTP/1.1 and JSON: discovery's list and watch, registrations, heartbeats and deletes.

use crate::node::{Node, WriteError};
use crate::store::{Command, Member, StoreError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
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
    let body = match Limited::new(body, MAX_BODY).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "over 64 KiB");
        }
        Err(_) => return plain(StatusCode::BAD_REQUEST, "the body broke"),
    };
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["registry", "instances"]) => list(&node, &query).await,
        (&Method::PUT, ["registry", "instances", id]) => register(&node, id, &body),
        (&Method::DELETE, ["registry", "instances", id]) => {
            written(node.write(&Command::Delete { id: (*id).to_owned() }))
        }
        (&Method::PUT, ["registry", "leases", id]) => {
            written(node.write(&Command::Beat { id: (*id).to_owned(), now_ms: node.now_ms() }))
        }
        (_, ["registry", ..]) => plain(StatusCode::METHOD_NOT_ALLOWED, "no such call"),
        _ => plain(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn list(node: &Node, query: &str) -> Response<Full<Bytes>> {
    let (mut index, mut wait) = (None, None);
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        let number = value.parse::<u64>();
        match (key, number) {
            ("index", Ok(number)) => index = Some(number),
            ("wait", Ok(number)) => wait = Some(Duration::from_millis(number).min(MAX_WAIT)),
            _ => return plain(StatusCode::BAD_REQUEST, "the query takes index and wait in numbers"),
        }
    }
    let answer = match (index, wait) {
        (Some(index), Some(wait)) => node.watch(index, wait).await,
        (index, _) => node.read(index),
    };
    match answer {
        Ok(json) => Response::builder()
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(json)))
            .unwrap_or_else(|_| plain(StatusCode::INTERNAL_SERVER_ERROR, "no answer")),
        Err(error) => refused(&error),
    }
}

fn register(node: &Node, id: &str, body: &[u8]) -> Response<Full<Bytes>> {
    let registration: Registration = match serde_json::from_slice(body) {
        Ok(registration) => registration,
        Err(error) => return plain(StatusCode::BAD_REQUEST, &format!("no registration: {error}")),
    };
    if registration.member.id != id {
        return plain(StatusCode::BAD_REQUEST, "the id of the path and of the body differ");
    }
    let command =
        Command::Put { member: registration.member, ttl_ms: registration.ttl_ms, now_ms: node.now_ms() };
    written(node.write(&command))
}

fn written(outcome: Result<crate::store::Outcome, WriteError>) -> Response<Full<Bytes>> {
    match outcome {
        Ok(outcome) => plain(StatusCode::OK, &format!("{{\"revision\":{}}}", outcome.revision)),
        Err(WriteError::Refused(error)) => refused(&error),
        Err(WriteError::Disk(error)) => {
            tracing::error!(%error, "a write could not be kept");
            plain(StatusCode::INTERNAL_SERVER_ERROR, "the write could not be kept")
        }
    }
}

fn refused(error: &StoreError) -> Response<Full<Bytes>> {
    let status = match error {
        StoreError::Malformed(_) | StoreError::Future { .. } => StatusCode::BAD_REQUEST,
        StoreError::Unknown => StatusCode::NOT_FOUND,
        StoreError::Full(_) => StatusCode::INSUFFICIENT_STORAGE,
    };
    plain(status, &error.to_string())
}

fn plain(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text.to_owned())));
    *response.status_mut() = status;
    response
}
