//! Raft's calls between instances: HTTP/1.1 with JSON bodies through hyper, on the same address as the clients'.
//! `POST /raft/append`, `/raft/vote` and `/raft/snapshot` each answer the JSON of raft's result.

use crate::replica::{NodeId, Types};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use openraft::BasicNode;
use openraft::error::{
    Infallible, InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable,
};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The largest answer of a peer: a batch of log entries or a chunk of a snapshot, with room.
pub const MAX_RAFT_BODY: usize = 8 * 1024 * 1024;

/// Makes a connection to each peer as raft asks for it. Each instance reaches its peers by the addresses of its
/// own configuration, where the way from it to each is; the membership's addresses count only for a peer that it
/// does not name.
pub struct Peers {
    pub routes: BTreeMap<NodeId, SocketAddr>,
}

impl RaftNetworkFactory<Types> for Peers {
    type Network = Peer;

    async fn new_client(&mut self, target: NodeId, node: &BasicNode) -> Peer {
        let addr = self.routes.get(&target).map_or_else(|| node.addr.clone(), SocketAddr::to_string);
        Peer { target, addr, sender: None }
    }
}

/// One peer, with the connection kept while it holds.
pub struct Peer {
    target: NodeId,
    addr: String,
    sender: Option<SendRequest<Full<Bytes>>>,
}

#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    #[error("the call broke: {0}")]
    Http(#[from] hyper::Error),
    #[error("no answer in time")]
    Late,
    #[error("the peer answered {0}")]
    Status(StatusCode),
    #[error("the answer broke or is too long")]
    Body,
    #[error("the answer is no JSON: {0}")]
    Json(#[from] serde_json::Error),
}

async fn connect(addr: &str) -> Result<SendRequest<Full<Bytes>>, CallError> {
    let stream = TcpStream::connect(addr).await.map_err(CallError::Connect)?;
    stream.set_nodelay(true).map_err(CallError::Connect)?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // The connection ends with its peer; its end is the next call's error.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

fn request(host: &str, method: Method, path: &str, body: Vec<u8>) -> Result<Request<Full<Bytes>>, CallError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("Host", host)
        .header("Content-Type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| CallError::Body)
}

async fn call(
    sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), CallError> {
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_RAFT_BODY).collect().await;
    Ok((status, body.map_err(|_| CallError::Body)?.to_bytes()))
}

/// One call to another instance, on a connection of its own. The caller bounds its time.
///
/// # Errors
/// [`CallError`] where there was no whole answer.
pub async fn ask(
    addr: SocketAddr, method: Method, path: &str, body: Vec<u8>,
) -> Result<(StatusCode, Bytes), CallError> {
    let host = addr.to_string();
    let request = request(&host, method, path, body)?;
    call(&mut connect(&host).await?, request).await
}

type Answer<T, E> = Result<T, RPCError<NodeId, BasicNode, RaftError<NodeId, E>>>;

impl Peer {
    async fn sender(&mut self) -> Result<&mut SendRequest<Full<Bytes>>, CallError> {
        if self.sender.as_ref().is_none_or(SendRequest::is_closed) {
            self.sender = Some(connect(&self.addr).await?);
        }
        let sender = self.sender.as_mut().ok_or(CallError::Late)?;
        sender.ready().await?;
        Ok(sender)
    }

    async fn post<Q: Serialize, T: DeserializeOwned, E: std::error::Error + DeserializeOwned>(
        &mut self, path: &str, body: &Q, option: &RPCOption,
    ) -> Answer<T, E> {
        let body = serde_json::to_vec(body).map_err(|error| RPCError::Network(NetworkError::new(&error)))?;
        let target = self.target;
        let answer = match timeout(option.hard_ttl(), self.call(path, body)).await {
            Ok(answer) => answer,
            Err(_) => Err(CallError::Late),
        };
        match answer {
            Ok(bytes) => {
                let result: Result<T, RaftError<NodeId, E>> = serde_json::from_slice(&bytes)
                    .map_err(|error| RPCError::Network(NetworkError::new(&error)))?;
                result.map_err(|error| RPCError::RemoteError(RemoteError::new(target, error)))
            }
            Err(error @ CallError::Connect(_)) => {
                self.sender = None;
                Err(RPCError::Unreachable(Unreachable::new(&error)))
            }
            Err(error) => {
                self.sender = None;
                Err(RPCError::Network(NetworkError::new(&error)))
            }
        }
    }

    async fn call(&mut self, path: &str, body: Vec<u8>) -> Result<Bytes, CallError> {
        let request = request(&self.addr, Method::POST, path, body)?;
        match call(self.sender().await?, request).await? {
            (StatusCode::OK, body) => Ok(body),
            (status, _) => Err(CallError::Status(status)),
        }
    }
}

impl RaftNetwork<Types> for Peer {
    async fn append_entries(
        &mut self, rpc: AppendEntriesRequest<Types>, option: RPCOption,
    ) -> Answer<AppendEntriesResponse<NodeId>, Infallible> {
        self.post("/raft/append", &rpc, &option).await
    }

    async fn install_snapshot(
        &mut self, rpc: InstallSnapshotRequest<Types>, option: RPCOption,
    ) -> Answer<InstallSnapshotResponse<NodeId>, InstallSnapshotError> {
        self.post("/raft/snapshot", &rpc, &option).await
    }

    async fn vote(
        &mut self, rpc: VoteRequest<NodeId>, option: RPCOption,
    ) -> Answer<VoteResponse<NodeId>, Infallible> {
        self.post("/raft/vote", &rpc, &option).await
    }
}
