//! Sockets of peers that have to make progress: who takes nothing, or never ends a head, is cut.

use crate::framing::Framing;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// A peer that takes, or gives, nothing for so long has stopped: several times what a slow one pauses.
pub const STALL: Duration = Duration::from_secs(5);
/// A legal head takes up to 2 s.
const HEAD_PATIENCE: Duration = Duration::from_millis(2_300);

/// A limit on one wait after another.
#[derive(Default)]
pub struct Limit(Option<Pin<Box<Sleep>>>);

impl Limit {
    /// Ready once the wait that began with the first poll has lasted until the end that was given then.
    pub fn poll(&mut self, end: impl FnOnce() -> Instant, context: &mut Context<'_>) -> Poll<()> {
        self.0.get_or_insert_with(|| Box::pin(sleep_until(end()))).as_mut().poll(context)
    }

    /// The wait is over; the next poll begins another.
    pub fn over(&mut self) {
        self.0 = None;
    }
}

fn too_long(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, what)
}

/// What is known of the heads on a client's connection.
#[derive(Clone)]
pub struct Heads(Arc<Mutex<Framing>>);

impl Heads {
    fn framing(&self) -> MutexGuard<'_, Framing> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does the next head, in the order in which they came, name two framings?
    pub fn next_is_twofold(&self) -> bool {
        self.framing().next_is_twofold()
    }
}

/// Limits the time for a head, and the first also for the silence before it.
struct Patience {
    heads: Heads,
    limit: Limit,
    /// When the first has to be whole; gone once it is.
    first_by: Option<Instant>,
}

/// A socket whose other side has to take what is written, and if it is a client's has to end its heads.
pub struct Peer {
    stream: TcpStream,
    writing: Limit,
    reading: Option<Patience>,
}

impl Peer {
    pub fn upstream(stream: TcpStream) -> Peer {
        Peer { stream, writing: Limit::default(), reading: None }
    }

    pub fn client(stream: TcpStream) -> (Peer, Heads) {
        let heads = Heads(Arc::new(Mutex::new(Framing::new())));
        let first_by = Some(Instant::now() + HEAD_PATIENCE);
        let reading = Some(Patience { heads: heads.clone(), limit: Limit::default(), first_by });
        (Peer { stream, writing: Limit::default(), reading }, heads)
    }

    /// Guards against a peer that takes nothing: it would hold its connection, and what waits behind it, for ever.
    fn written(
        &mut self, done: Poll<io::Result<usize>>, context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if done.is_ready() {
            self.writing.over();
            return done;
        }
        ready!(self.writing.poll(|| Instant::now() + STALL, context));
        Poll::Ready(Err(too_long("nothing was taken")))
    }
}

impl AsyncRead for Peer {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let peer = self.get_mut();
        let before = buffer.filled().len();
        let done = Pin::new(&mut peer.stream).poll_read(context, buffer);
        let Some(Patience { heads, limit, first_by }) = &mut peer.reading else { return done };
        let mut framing = heads.framing();
        if done.is_ready() {
            framing.read(&buffer.filled()[before..]);
            if framing.has_read_one() {
                *first_by = None;
            }
            if !framing.in_head() {
                limit.over();
            }
            return done;
        }
        if framing.in_head() || first_by.is_some() {
            ready!(limit.poll(|| first_by.unwrap_or_else(|| Instant::now() + HEAD_PATIENCE), context));
            return Poll::Ready(Err(too_long("a head that does not end")));
        }
        Poll::Pending
    }
}

impl AsyncWrite for Peer {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.written(done, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.written(done, context)
    }
}
