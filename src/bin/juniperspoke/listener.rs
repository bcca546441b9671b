//! Listening sockets: bound here, or held by the platform and inherited.

use socket2::{SockRef, Socket, Type};
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::time::Duration;
use std::{env, io, mem, net};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Names the descriptor of the clients' socket, where the platform holds it.
const VARIABLE: &str = "BALANCER_LISTEN_FD";
/// The first descriptor that is neither input nor output nor log.
const FIRST: RawFd = 3;
/// A predecessor that ends gives its address up within 3.6 s, and may be short of processor time; it is asked for it so
/// often.
const PREDECESSOR: Duration = Duration::from_secs(6);
const AGAIN: Duration = Duration::from_millis(20);

/// So many may wait to be accepted: all that have a place, and as many newcomers. The system drops who comes beyond that,
/// and its client tries again after a second.
const BACKLOG: i32 = 1_024;

#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    #[error("{0}: listening on {1}: {2}")]
    Bind(&'static str, SocketAddr, io::Error),
    #[error("{VARIABLE}: {0:?} is no descriptor of a socket")]
    Number(String),
    #[error("{VARIABLE}: descriptor {0} is not open or no socket: {1}")]
    NoSocket(RawFd, io::Error),
    #[error("{VARIABLE}: descriptor {0} is no listening stream socket")]
    NotListening(RawFd),
}

/// The clients' socket, if the platform holds it. To be called before the process opens a descriptor.
pub fn inherited() -> Result<Option<net::TcpListener>, ListenError> {
    let Some(text) = env::var_os(VARIABLE) else { return Ok(None) };
    let text = text.to_string_lossy();
    let fd = text.parse().ok().filter(|&fd| fd >= FIRST);
    adopt(fd.ok_or_else(|| ListenError::Number(text.into_owned()))?).map(Some)
}

fn adopt(fd: RawFd) -> Result<net::TcpListener, ListenError> {
    // SAFETY: the platform passes this number to the process for its own, and nothing has been opened here yet,
    // so nobody else owns it. If it is not open after all, the first question to it says so, and it is let go of
    // without being closed.
    #[allow(unsafe_code)]
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(fd) });
    let listens = match socket.is_listener() {
        Ok(listens) => listens,
        Err(error) => {
            mem::forget(socket);
            return Err(ListenError::NoSocket(fd, error));
        }
    };
    let stream = socket.r#type().is_ok_and(|kind| kind == Type::STREAM);
    let inet = socket.local_addr().is_ok_and(|addr| addr.as_socket().is_some());
    if !(listens && stream && inet) {
        return Err(ListenError::NotListening(fd));
    }
    Ok(socket.into())
}

/// Hands an inherited socket to the runtime.
pub fn wrap(listener: net::TcpListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    widen(&listener);
    Ok(listener)
}

/// Makes room for more that wait to be accepted.
fn widen(listener: &TcpListener) {
    // Without it many that come at once merely come later.
    drop(SockRef::from(listener).listen(BACKLOG));
}

/// Binds the address of this setting. Guards against a predecessor that still holds the address while it ends.
pub async fn bind(key: &'static str, addr: SocketAddr) -> Result<TcpListener, ListenError> {
    let since = Instant::now();
    loop {
        match TcpListener::bind(addr).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && since.elapsed() < PREDECESSOR => {
                sleep(AGAIN).await;
            }
            result => {
                return result.inspect(widen).map_err(|error| ListenError::Bind(key, addr, error));
            }
        }
    }
}
