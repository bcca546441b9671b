//! Maintenance windows over HTTP: operators ask for one, look at it, extend it and take it back.

use crate::fleet::{FleetError, FleetState};
use crate::http::{plain, refused_write, to_json, with};
use crate::maintenance::MaintenanceRequest;
use crate::node::{Node, WriteError};
use crate::store::StoreError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};
use micapier::fleet::window::{Window, WindowRequest};
use serde::Deserialize;
use std::time::Duration;

type Answer = Response<Full<Bytes>>;

/// What is asked for; the id is the path's.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Asked {
    site: String,
    duration_ms: u64,
    not_before: u64,
    not_after: u64,
    lead_ms: u64,
}

/// How much longer; with `end_ms` only a window that ends then.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Longer {
    by_ms: u64,
    end_ms: Option<u64>,
}

/// Answers a call; `path` is what follows `/fleet/windows`.
pub async fn serve(node: &Node, method: &Method, path: &[&str], body: &[u8]) -> Answer {
    match (method, path) {
        (&Method::GET, []) => {
            read(node, |fleet| {
                let windows: Vec<&Window> = fleet.maintenance().calendar().windows().collect();
                to_json(&serde_json::json!({ "windows": windows }))
            })
            .await
        }
        (&Method::GET, [id]) => read(node, |fleet| told(fleet, id)).await,
        (&Method::PUT, [id]) => {
            let ask = async |Asked { site, duration_ms, not_before, not_after, lead_ms }| {
                let id = (*id).to_owned();
                let request = WindowRequest { id, site, duration_ms, not_before, not_after, lead_ms };
                written(node, &request.id, node.request_window(&request).await)
            };
            with(body, ask).await
        }
        (&Method::POST, [id, "extend"]) => {
            let extend = async |Longer { by_ms, end_ms }| {
                let (id, limits) = ((*id).to_owned(), node.window_limits());
                let extend = MaintenanceRequest::Extend { id, by_ms, end_ms, limits };
                written(node, path[0], node.maintain_here(extend).await)
            };
            with(body, extend).await
        }
        (&Method::DELETE, [id]) => {
            let cancel = MaintenanceRequest::Cancel { id: (*id).to_owned() };
            written(node, id, node.maintain_here(cancel).await)
        }
        _ => plain(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn read(node: &Node, answer: impl FnOnce(&FleetState) -> Answer) -> Answer {
    let read = node.watch_fleet(Duration::ZERO, |_| true, answer).await;
    read.unwrap_or_else(|error| plain(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()))
}

fn told(fleet: &FleetState, id: &str) -> Answer {
    match fleet.maintenance().calendar().get(id) {
        Some(window) => to_json(window),
        None => plain(StatusCode::NOT_FOUND, "no such window"),
    }
}

/// The window as it is after a write, or why it was not made, also in a form for programs.
fn written(node: &Node, id: &str, written: Result<(), WriteError>) -> Answer {
    let error = match written {
        Ok(()) => return told(node.shared.store().fleet(), id),
        Err(error) => error,
    };
    let answer = refused_write(&error);
    let WriteError::Refused(StoreError::Fleet(FleetError::Window(why))) = &error else { return answer };
    let mut refusal = to_json(&serde_json::json!({ "error": why.to_string(), "why": why }));
    *refusal.status_mut() = answer.status();
    refusal
}
