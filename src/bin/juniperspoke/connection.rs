//! Connections that the sidecar makes: to upstreams, to discovery and to the control plane.

use crate::peer::Peer;
use crate::read_sizes::ReadSizes;
use crate::system::is_local;
use crate::write_gate::WriteGate;
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpSocket;
use tokio::task::{AbortHandle, yield_now};
use tokio::time::Instant;

/// The most that is read ahead on a connection, and so the longest head of an answer, and the most that waits to
/// be written: little enough that bodies on every connection cannot fill the memory.
pub const BUFFER: usize = 16 * 1024;

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// There was no socket to be had, which says nothing of the other side.
    #[error("no socket: {0}")]
    Ours(io::Error),
    #[error(transparent)]
    Theirs(io::Error),
}

impl OpenError {
    fn of_connect(error: io::Error) -> OpenError {
        if is_local(&error) { OpenError::Ours(error) } else { OpenError::Theirs(error) }
    }
}

/// A connection whose socket closes with it, in one of the next turns.
pub struct TcpConnection<B> {
    pub sender: SendRequest<B>,
    pub opened: Instant,
    task: AbortHandle,
    pub gate: Arc<WriteGate>,
}

impl<B> TcpConnection<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// `place` is kept until the socket has closed.
    pub async fn open(
        addr: SocketAddr, place: impl Send + 'static, read_sizes: ReadSizes,
    ) -> Result<Self, OpenError> {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
        let connected = socket.map_err(OpenError::Ours)?.connect(addr).await;
        let stream = connected.map_err(OpenError::of_connect)?;
        stream.set_nodelay(true).map_err(OpenError::Theirs)?;
        let (mut http, gate) = (http1::Builder::new(), Arc::<WriteGate>::default());
        let peer = Peer::server(stream, gate.clone(), read_sizes);
        let handshake = http.max_buf_size(BUFFER).handshake(TokioIo::new(peer));
        let (sender, connection) =
            handshake.await.map_err(|error| OpenError::Theirs(io::Error::other(error)))?;
        let task = tokio::spawn(async move {
            // What breaks it is told to the request on it.
            drop(connection.await);
            drop(place);
        });
        let (opened, task) = (Instant::now(), task.abort_handle());
        Ok(TcpConnection { sender, opened, task, gate })
    }

    /// Back once its socket has closed.
    pub async fn close(self) {
        self.task.abort();
        while !self.task.is_finished() {
            yield_now().await;
        }
    }
}

impl<B> Drop for TcpConnection<B> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
