//! Sockets of peers that have to make progress: who takes nothing, or never ends a head, is cut. A client's is
//! closed in such a way that it has what was written.

use crate::arrivals::Arrivals;
use crate::framing::Framing;
use crate::heartbeat::Looks;
use crate::leaving::Ended;
use crate::read_sizes::ReadSizes;
use crate::shortage::Shortage;
use crate::system::{is_shortage, read_what_has_come, retry_interrupted};
use crate::tcp_info::{self, PeerEnd};
use crate::turns::Turns;
use crate::write_gate::WriteGate;
use bytes::BufMut;
use micapier::staleness::{ORDINARY_GAP, Unread};
use micapier::streaming::STALL;
use socket2::SockRef;
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::coop::has_budget_remaining;
use tokio::time::{Instant, sleep_until};

/// A legal head takes up to 2 s.
const HEAD_PATIENCE: Duration = Duration::from_millis(2_300);

/// A client that is closed on has this time to close as well. What it sends meanwhile is dropped: a close over
/// unread bytes would reset the connection, and take the last answer along.
const LINGER: Duration = Duration::from_millis(500);

/// With so much unread the system may take no more. It takes several times that of clients that write much at a time.
const HIDING: usize = 16 * 1024;

/// A socket is asked so often for what has come where the machine lacks memory for the call.
const PEEKS: usize = 3;

/// A limit on one wait after another. What is waited for has to be polled before it.
#[derive(Default)]
pub struct Limit(Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>);

impl Limit {
    /// Ready once the wait that began with the first poll has lasted until the end that was given then, and the runtime
    /// has read what had come by then. Guards against ending, as a process goes on that was held up, a wait for what is
    /// there: a stopped process hears of its timers first.
    pub fn poll(&mut self, end: impl FnOnce() -> Instant, context: &mut Context<'_>) -> Poll<()> {
        let begin = || {
            let end = end();
            Box::pin(async move {
                sleep_until(end).await;
                read_what_has_come().await;
            }) as Pin<Box<_>>
        };
        self.0.get_or_insert_with(begin).as_mut().poll(context)
    }

    /// The wait is over; the next poll begins another.
    pub fn over(&mut self) {
        self.0 = None;
    }
}

fn too_long(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, what)
}

/// What has been read on a client's connection.
struct Known {
    framing: Framing,
    arrivals: Arrivals,
    /// Bytes that have been read.
    read: u64,
}

/// What is known of the heads on a client's connection, and of when it has let us wait.
#[derive(Clone)]
pub struct Heads {
    known: Arc<Mutex<Known>>,
    stream: Arc<TcpStream>,
}

impl Heads {
    fn new(stream: Arc<TcpStream>, looks: Looks) -> Heads {
        let (framing, arrivals) = (Framing::new(), Arrivals::new(looks));
        Heads { known: Arc::new(Mutex::new(Known { framing, arrivals, read: 0 })), stream }
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes that have come and are unread, where the system tells.
    pub fn unread(&self) -> Option<u64> {
        let received = tcp_info::bytes_received(&*self.stream).ok()?;
        Some(received.saturating_sub(self.known().read))
    }

    /// Does the next head, in the order in which they came, name two framings?
    pub fn next_is_twofold(&self) -> bool {
        self.known().framing.next_is_twofold()
    }

    /// Has anything of a request been read that has not been asked for yet?
    pub fn has_next(&self) -> bool {
        self.known().framing.has_next()
    }

    /// When we last had to wait for its client: what has been read since was not there then.
    pub fn waited_at(&self) -> Instant {
        let known = self.known();
        known.arrivals.waited_until()
    }

    /// When its client was last known to be there, by what it has sent.
    pub fn client_present_at(&self) -> Instant {
        self.known().arrivals.sender_present_at()
    }

    /// When the last of what has been read came, which may be long before it was read.
    pub fn arrived_at(&self) -> Instant {
        self.known().arrivals.last()
    }

    /// The connection closes with the last answer to what has been read; nothing is read beyond that.
    pub fn close(&self) {
        self.known().framing.close();
    }

    pub fn is_closing(&self) -> bool {
        self.known().framing.is_closing()
    }
}

/// Closes a client's connection in such a way that it has what was written: ends the sending, and drops what still
/// comes until the client closes as well or has had its time.
#[derive(Default)]
struct Linger {
    shut: bool,
    limit: Limit,
    shortage: Shortage,
}

impl Linger {
    fn poll(&mut self, stream: &TcpStream, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !std::mem::replace(&mut self.shut, true) {
            SockRef::from(stream).shutdown(Shutdown::Write)?;
        }
        loop {
            // First: who sends without end is not heard without end.
            if self.limit.poll(|| Instant::now() + LINGER, context).is_ready() {
                return Poll::Ready(Ok(()));
            }
            let mut bytes = [0; 4096];
            let mut dropped = ReadBuf::new(&mut bytes);
            let read =
                Peer::poll_bytes(stream, context, &mut dropped, usize::MAX, &mut self.shortage, |_| ());
            match ready!(read) {
                Ok(()) if !dropped.filled().is_empty() => {}
                _ => return Poll::Ready(Ok(())),
            }
        }
    }
}

/// A client's socket, beside the connection that reads and writes it.
pub struct Socket {
    stream: Arc<TcpStream>,
    write_blocked: Arc<AtomicBool>,
    looks: Looks,
    /// Its client was last known not to have ended then.
    open_at: Mutex<Instant>,
}

impl Socket {
    /// How much has come that is unread, up to so much. The socket is asked: its events may not tell of it yet.
    fn peek<const MOST: usize>(&self) -> io::Result<usize> {
        let peek =
            || retry_interrupted(|| SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit(); MOST]));
        let mut peeked = peek();
        for _ in 1..PEEKS {
            if !peeked.as_ref().is_err_and(is_shortage) {
                break;
            }
            peeked = peek();
        }
        peeked
    }

    /// Has no room for what its connection has to write?
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.load(Ordering::Relaxed)
    }

    /// Makes its close a reset.
    pub fn reset(&self) {
        // Without it the client has an end that it may take for that of its answer: there is no other way to tell.
        drop(SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO)));
    }

    /// Closes it gently, whoever still has it.
    pub async fn close(&self) {
        let mut linger = Linger::default();
        // A socket that can't be shut has been closed by its client.
        drop(poll_fn(|context| linger.poll(&self.stream, context)).await);
    }

    /// Has the client ended, with nothing of it left to be read?
    pub fn has_ended(&self) -> bool {
        match self.peek::<1>() {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock && !is_shortage(&error),
        }
    }

    /// How the client has ended, if it has. The system is asked: the socket's events may not have told of it yet.
    pub fn end(&self) -> Option<Ended> {
        // Before the call: it may end right behind it.
        let now = Instant::now();
        let info = tcp_info::query(&*self.stream);
        let peer_end = match &info {
            Ok(info) => info.peer_end,
            Err(_) if self.has_ended() => PeerEnd::Sending,
            Err(_) => PeerEnd::Nothing,
        };
        match peer_end {
            PeerEnd::Nothing => {
                *self.open_at.lock().unwrap_or_else(PoisonError::into_inner) = now;
                None
            }
            PeerEnd::Sending => {
                let at_most = now.saturating_duration_since(self.known_open_at());
                let unread = Unread { at_most, told: info.ok().map(|info| info.since_segment) };
                Some(Ended::Sending(now - unread.age_of_end()))
            }
            PeerEnd::All => Some(Ended::Reset),
        }
    }

    /// The same, where the socket's events may be late.
    pub fn unseen_end(&self) -> Option<Ended> {
        if self.known_open_at().elapsed() < ORDINARY_GAP { None } else { self.end() }
    }

    fn known_open_at(&self) -> Instant {
        let open_at = *self.open_at.lock().unwrap_or_else(PoisonError::into_inner);
        open_at.max(self.looks.latest())
    }

    /// Has anything come that has not been read?
    pub fn has_more(&self) -> bool {
        self.peek::<1>().is_ok_and(|count| count > 0)
    }

    /// Is so much unread that the system may take no more of its client, and so no end either?
    pub fn may_hide_an_end(&self) -> bool {
        self.peek::<HIDING>().is_ok_and(|count| count == HIDING)
    }

    /// Waits until the client has ended its sending, whatever of it is still unread.
    pub async fn ended(&self) {
        // Of what is waited for, only the end is reported.
        if let Ok(ready) = self.stream.ready(Interest::PRIORITY).await
            && !ready.is_read_closed()
        {
            std::future::pending().await
        }
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
    stream: Arc<TcpStream>,
    writing: Limit,
    write_blocked: Arc<AtomicBool>,
    reading: Option<Patience>,
    /// Asked before each write.
    gate: Arc<WriteGate>,
    read_shortage: Shortage,
    write_shortage: Shortage,
    turns: Turns,
    read_sizes: ReadSizes,
    /// Begun once nothing more is written.
    linger: Linger,
}

impl Peer {
    /// A server that we ask.
    pub fn server(stream: TcpStream, gate: Arc<WriteGate>, read_sizes: ReadSizes) -> Peer {
        Peer::new(Arc::new(stream), None, gate, read_sizes)
    }

    pub fn client(stream: TcpStream, looks: Looks) -> (Peer, Heads, Socket) {
        let stream = Arc::new(stream);
        let heads = Heads::new(stream.clone(), looks.clone());
        let first_by = Some(Instant::now() + HEAD_PATIENCE);
        let reading = Patience { heads: heads.clone(), limit: Limit::default(), first_by };
        let peer = Peer::new(stream.clone(), Some(reading), Arc::default(), ReadSizes::small_first());
        let (write_blocked, open_at) = (peer.write_blocked.clone(), Mutex::new(looks.latest()));
        let socket = Socket { stream, write_blocked, looks, open_at };
        (peer, heads, socket)
    }

    fn new(
        stream: Arc<TcpStream>, reading: Option<Patience>, gate: Arc<WriteGate>, read_sizes: ReadSizes,
    ) -> Peer {
        let (writing, write_blocked, linger) = Default::default();
        let (read_shortage, write_shortage) = Default::default();
        let turns = Turns::default();
        Peer {
            stream,
            writing,
            write_blocked,
            reading,
            gate,
            read_shortage,
            write_shortage,
            turns,
            read_sizes,
            linger,
        }
    }

    /// Reads what there is, up to so much; nothing at the end. Tells when the socket itself says that there is nothing.
    /// The rest of the buffer is not cleared: that would take time at each read, and memory for pages that nothing is read
    /// into.
    fn poll_bytes(
        stream: &TcpStream, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>, most: usize,
        shortage: &mut Shortage, mut found_empty: impl FnMut(Instant),
    ) -> Poll<io::Result<()>> {
        let mut part = buffer.limit(most);
        loop {
            ready!(shortage.poll_pause(context));
            ready!(stream.poll_read_ready(context))?;
            // Before the call: something may come right behind it.
            let asked_at = Instant::now();
            match retry_interrupted(|| stream.try_read_buf(&mut part)) {
                Ok(_) => {
                    shortage.over();
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => found_empty(asked_at),
                Err(error) => shortage.failed(error)?,
            }
        }
    }

    /// Writes by this once there is room for it.
    fn poll_write_by(
        &mut self, context: &mut Context<'_>, write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let done = self.poll_write_once(context, write);
        self.written(done, context)
    }

    fn poll_write_once(
        &mut self, context: &mut Context<'_>, write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.write_shortage.poll_pause(context));
            ready!(self.stream.poll_write_ready(context))?;
            if !self.gate.passes() {
                return Poll::Ready(Err(io::Error::other("what was decided does not hold any more")));
            }
            match retry_interrupted(|| write(&self.stream)) {
                Ok(count) => {
                    self.gate.note_written();
                    self.read_sizes.note_written();
                    self.write_shortage.over();
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => self.write_shortage.failed(error)?,
            }
        }
    }

    /// Guards against a peer that takes nothing: it would hold its connection, and what waits behind it, for ever.
    fn written(
        &mut self, done: Poll<io::Result<usize>>, context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        self.write_blocked.store(done.is_pending(), Ordering::Relaxed);
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
        let most = peer.read_sizes.most();
        let turn = peer.turns.poll_next(context);
        let Some(Patience { heads, limit, first_by }) = &mut peer.reading else {
            ready!(turn);
            let shortage = &mut peer.read_shortage;
            let done = Peer::poll_bytes(&peer.stream, context, buffer, most, shortage, |_| ());
            peer.read_sizes.note_read(buffer.filled().len() - before);
            peer.turns.note(&done);
            return done;
        };
        let Known { framing, arrivals, read } = &mut *heads.known();
        let found_empty = |at| arrivals.found_empty(at);
        let (room, shortage) = (framing.room().min(most), &mut peer.read_shortage);
        let done = match turn {
            Poll::Ready(()) => Peer::poll_bytes(&peer.stream, context, buffer, room, shortage, found_empty),
            Poll::Pending => Poll::Pending,
        };
        if turn.is_ready() {
            peer.turns.note(&done);
        }
        if done.is_pending() {
            // A task that has had its share of a turn, or lacks memory, has to wait as well, whatever there is to be read.
            if has_budget_remaining() && !peer.read_shortage.is_pausing() && turn.is_ready() {
                arrivals.wait();
            } else {
                arrivals.could_not_read();
            }
        } else if buffer.filled().len() > before {
            arrivals.read(|| Some(tcp_info::query(&*peer.stream).ok()?.since_bytes));
        }
        if done.is_ready() {
            let heads = framing.heads();
            let count = buffer.filled().len() - before;
            *read += count as u64;
            peer.read_sizes.note_read(count);
            framing.read(&buffer.filled()[before..]);
            if framing.heads() > 0 {
                *first_by = None;
            }
            // The next head has a time of its own, also where it begins in the same piece.
            if !framing.in_head() || framing.heads() > heads {
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
        self.poll_write_by(context, |stream| stream.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Guards against a reset that takes from a client what it has not read yet.
    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Peer { stream, reading, linger, .. } = self.get_mut();
        if reading.is_none() {
            return Poll::Ready(SockRef::from(&**stream).shutdown(Shutdown::Write));
        }
        linger.poll(stream, context)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_by(context, |stream| stream.try_write_vectored(parts))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::heartbeat::Heartbeat;
    use crate::metrics::Metrics;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::time::timeout;

    /// A client's socket, and ours.
    async fn pair() -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (client, accepted) = tokio::join!(TcpStream::connect(addr), listener.accept());
        (client.expect("accepted"), accepted.expect("one").0)
    }

    /// Guards against taking for new what takes many turns to be read.
    #[tokio::test]
    async fn what_is_read_in_many_turns_after_a_hold_up_is_as_old_in_the_last_as_in_the_first() {
        const HELD_UP: Duration = Duration::from_millis(200);
        /// The system counts in ticks of its own, of 10 ms at most.
        const TICK: Duration = Duration::from_millis(10);
        let (client, accepted) = pair().await;
        let heartbeat = Heartbeat::new();
        tokio::spawn(heartbeat.clone().beat(Metrics::new(&[])));
        let (mut peer, heads, _) = Peer::client(accepted, Looks::at_accepted(heartbeat, Instant::now()));
        assert!(timeout(HELD_UP, peer.read(&mut [0])).await.is_err(), "nothing has come");
        let text = [b'x'; 2_000];
        assert_eq!(client.try_write(&text).expect("written"), text.len());
        // The event loop does not run.
        std::thread::sleep(HELD_UP);
        for _ in text {
            assert_eq!(peer.read(&mut [0]).await.expect("a byte"), 1);
        }
        assert!(heads.arrived_at().elapsed() + TICK >= HELD_UP);
    }

    /// Guards against a request that goes out late: there was no room for its first byte as it was asked about.
    #[tokio::test]
    async fn a_request_that_waits_for_room_is_asked_about_again_before_its_first_byte() {
        let (gate, holds) = (Arc::<WriteGate>::default(), Arc::new(AtomicBool::new(true)));
        let (upstream, connected) = pair().await;
        let mut peer = Peer::server(connected, gate.clone(), ReadSizes::small_first());
        let at_once = Duration::from_millis(50);
        // Of a request that was answered before all of it was read. The runtime does not know that there is no more room.
        while SockRef::from(&*peer.stream).send(&[0; 65_536]).is_ok() {}
        let asked = holds.clone();
        gate.begin_while(move || asked.load(Ordering::Relaxed));
        assert!(timeout(at_once, peer.write(b"GET")).await.is_err(), "there is no room");
        holds.store(false, Ordering::Relaxed);
        let mut read = vec![0; 1 << 20];
        let mut writing = Box::pin(peer.write(b"GET"));
        let written = loop {
            tokio::select! {
                written = &mut writing => break written,
                readable = upstream.readable() => readable.expect("open"),
            }
            drop(upstream.try_read(&mut read));
        };
        assert!(written.is_err() && gate.has_stopped(), "{written:?}");
    }

    /// Guards against a request or answer that is never read to its end: a read may stop short of what has come, and no
    /// event tells of the rest.
    #[tokio::test]
    async fn after_a_short_read_the_socket_is_asked_again_without_an_event() {
        let (client, accepted) = pair().await;
        let mut peer = Peer::server(accepted, Arc::default(), ReadSizes::small_first());
        let mut bytes = [0; 99];
        client.try_write(b"part").expect("written");
        assert_eq!(peer.read(&mut bytes).await.expect("some"), 4);
        // The runtime does not look at the socket in between.
        client.try_write(b"rest").expect("written");
        let mut read = Box::pin(peer.read(&mut bytes));
        let at_once = poll_fn(|context| Poll::Ready(read.as_mut().poll(context))).await;
        assert!(matches!(at_once, Poll::Ready(Ok(4))), "{at_once:?}");
    }

    #[tokio::test(start_paused = true)]
    async fn a_head_that_begins_behind_another_has_a_time_of_its_own() {
        let (client, accepted) = pair().await;
        let (mut peer, ..) = Peer::client(accepted, Looks::from_now());
        let (mut bytes, late) = ([0; 99], HEAD_PATIENCE - Duration::from_millis(99));
        assert!(timeout(late, peer.read(&mut bytes)).await.is_err(), "nothing has come");
        client.try_write(b"GET / HTTP/1.1\r\n\r\nGET").expect("written");
        assert_eq!(peer.read(&mut bytes).await.expect("one, and more"), 21);
        assert!(timeout(late, peer.read(&mut bytes)).await.is_err(), "it may still end");
        assert!(peer.read(&mut bytes).await.is_err(), "but not without end");
    }
}
