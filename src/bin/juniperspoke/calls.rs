//! How a call of the sidecar's own, for the list, the plan or with a report, goes wrong.

use crate::connection::OpenError;
use crate::list::ListError;
use hyper::StatusCode;
use micapier::fleet::plan::PlanError;

/// Why a call has no use.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error("no answer in time")]
    Silent,
    #[error("no connection in time")]
    Unreachable,
    #[error("an answer that does not end")]
    Endless,
    #[error("no connection: {0}")]
    Connect(OpenError),
    #[error("the call broke: {0}")]
    Http(#[from] hyper::Error),
    #[error("the request can't be written: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("the answer broke or is too long: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("no JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    List(#[from] ListError),
    #[error("an instance behind: revision {0} where {1} was taken")]
    Behind(u64, u64),
    #[error(transparent)]
    Plan(#[from] PlanError),
}
