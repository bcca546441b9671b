//! The connections to all upstreams, kept for one use after the other.
//!
//! The pool is our own, since those of client libraries send a request again by themselves when a kept
//! connection breaks under it, and so may run it twice.

use crate::bodies::Outgoing;
use crate::connection::{OpenError, TcpConnection};
use crate::idle::IdleLimit;
use crate::read_sizes::ReadSizes;
use crate::system::{read_what_has_come, wait_until};
use micapier::api::Outcome;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// A kept connection is not used in this last part of the time after which the upstream closes it.
const IDLE_MARGIN: u32 = 10;
/// A connection rests for so long after an answer: one that should not be there may come some milliseconds later,
/// and on a connection in use it would be taken for the answer to the next request.
pub const REST: Duration = Duration::from_millis(10);
/// Idle connections kept to one upstream.
const IDLE_EACH: usize = 8;

/// Counts a connection, made or being made, against the limit, until its socket has closed.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection for one use after the other.
pub struct Pooled {
    pub connection: TcpConnection<Outgoing>,
    /// How long it stood idle before this use.
    pub idle_for: Duration,
}

struct Idle {
    pooled: Pooled,
    since: Instant,
}

/// The connections to all upstreams.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
    learned: Arc<Mutex<IdleLimit>>,
    /// Waits for a connection that were cut short, by address since one last came up: how long they were in all, and
    /// until when that has been counted.
    vain: Arc<Mutex<HashMap<SocketAddr, (Duration, Instant)>>>,
    open: Arc<AtomicUsize>,
    most: usize,
    keep: Duration,
    connect_timeout: Duration,
}

impl ConnectionPool {
    /// Of so many connections at most. `keep_alive` is after which idle time upstreams close them.
    pub fn new(most: usize, keep_alive: Duration, connect_timeout: Duration) -> Self {
        let (idle, vain, open) = Default::default();
        let learned = Arc::new(Mutex::new(IdleLimit::new(Instant::now())));
        let keep = keep_alive - keep_alive / IDLE_MARGIN;
        ConnectionPool { idle, learned, vain, open, most, keep, connect_timeout }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn learned(&self) -> MutexGuard<'_, IdleLimit> {
        self.learned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn vain(&self) -> MutexGuard<'_, HashMap<SocketAddr, (Duration, Instant)>> {
        self.vain.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes what is kept to upstreams that have left, and what was opened at a time that is not kept; forgets the waits
    /// for one that were over by then.
    pub fn retain(&self, keep: impl Fn(&SocketAddr, Instant) -> bool) {
        self.vain().retain(|addr, (_, until)| keep(addr, *until));
        self.idle().retain(|addr, list| {
            list.retain(|idle| keep(addr, idle.pooled.connection.opened));
            !list.is_empty()
        });
    }

    /// The connection used last that is still good and has rested, or the one that has it next. Guards against one
    /// that its upstream has closed, or is about to, or that has broken unseen: a request on it would end as a
    /// reset, and might have run.
    fn kept(&self, addr: SocketAddr) -> Option<Idle> {
        let keep = self.learned().limit(Instant::now()).map_or(self.keep, |learned| learned.min(self.keep));
        let mut idle = self.idle();
        for list in idle.values_mut() {
            list.retain(|i| i.since.elapsed() < keep && i.pooled.connection.sender.is_ready());
        }
        let list = idle.get_mut(&addr).filter(|list| !list.is_empty())?;
        let rested = list.iter().rposition(|i| i.since.elapsed() >= REST);
        Some(list.remove(rested.unwrap_or(0)))
    }

    /// Keeps what has not been used since then.
    pub fn keep(&self, addr: SocketAddr, pooled: Pooled, since: Instant) {
        let mut idle = self.idle();
        let list = idle.entry(addr).or_default();
        if list.len() < IDLE_EACH {
            list.insert(list.partition_point(|other| other.since <= since), Idle { pooled, since });
        }
    }

    /// Room for one more connection; the one idle for longest gives way, and has closed by then.
    async fn slot(&self) -> Option<Slot> {
        while self.open.load(Ordering::Relaxed) >= self.most {
            self.idle_longest()?.pooled.connection.close().await;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(Slot(self.open.clone()))
    }

    fn idle_longest(&self) -> Option<Idle> {
        let mut idle = self.idle();
        let lists = idle.values_mut().filter(|list| !list.is_empty());
        Some(lists.min_by_key(|list| list[0].since)?.remove(0))
    }

    /// The outcome if there is none; each proves that nothing ran. Guards against blaming an upstream for our own
    /// lack of room.
    pub async fn connection(&self, addr: SocketAddr, by: Instant) -> Result<Pooled, Outcome> {
        while let Some(Idle { pooled, since }) = self.kept(addr) {
            // To wait costs less than another connection.
            sleep_until(since + REST).await;
            // What has arrived unseen, a close or bytes, ends the connection before this goes on.
            read_what_has_come().await;
            if pooled.connection.sender.is_ready() {
                return Ok(Pooled { idle_for: since.elapsed(), ..pooled });
            }
        }
        let slot = self.slot().await.ok_or(Outcome::Moot)?;
        let since = Instant::now();
        let by = by.min(since + self.connect_timeout);
        let opened = wait_until(by, pin!(TcpConnection::open(addr, slot, ReadSizes::small_first()))).await;
        let opened = opened.ok_or_else(|| self.waited_in_vain(addr, since))?;
        let mut connection = match opened {
            Err(OpenError::Ours(_)) => return Err(Outcome::Moot),
            opened => {
                self.vain().remove(&addr);
                opened.map_err(|_| Outcome::ConnectFailed)?
            }
        };
        connection.sender.ready().await.map_err(|_| Outcome::ConnectFailed)?;
        Ok(Pooled { connection, idle_for: Duration::ZERO })
    }

    /// What a connection proves that has not come up since then. Guards against blaming an upstream for a client with
    /// little time left, and against never learning of one where such clients are all that come: their waits add up
    /// to the time that a connection may take, and what waited at once counts once.
    fn waited_in_vain(&self, addr: SocketAddr, since: Instant) -> Outcome {
        let (now, mut vain) = (Instant::now(), self.vain());
        let (waited, until) = vain.remove(&addr).unwrap_or((Duration::ZERO, since));
        let waited = waited + now.saturating_duration_since(until.max(since));
        if waited.max(now - since) >= self.connect_timeout {
            return Outcome::ConnectFailed;
        }
        vain.insert(addr, (waited, now));
        Outcome::Moot
    }

    /// A connection has been used, and broke under its request or did not.
    pub fn note_use(&self, pooled: &Pooled, broke: bool) {
        self.learned().note(pooled.idle_for, broke, Instant::now());
    }
}

#[cfg(test)]
impl ConnectionPool {
    /// How many are made, or being made.
    pub fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Since when those to this address have stood idle.
    pub fn idle_since(&self, addr: SocketAddr) -> Vec<Instant> {
        self.idle().get(&addr).map_or(Vec::new(), |list| list.iter().map(|idle| idle.since).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::poll_fn;
    use std::task::Poll;
    use tokio::net::TcpListener;
    use tokio::task::yield_now;

    const LONG: Duration = Duration::from_secs(30);

    #[tokio::test]
    async fn connections_stay_within_the_limit_and_the_one_idle_longest_gives_way() {
        let pool = ConnectionPool::new(2, LONG, LONG);
        let listeners = [(); 3].map(|()| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
        let addr = |i: usize| listeners[i].local_addr().expect("an address");
        let by = Instant::now() + LONG;
        let first = pool.connection(addr(0), by).await.expect("room");
        let _second = pool.connection(addr(1), by).await.expect("room");
        let none = pool.connection(addr(2), by).await.err();
        assert_eq!(none, Some(Outcome::Moot), "both are in use, which says nothing of the third");
        pool.keep(addr(0), first, Instant::now());
        // Its socket has closed before there is another.
        let mut next = Box::pin(pool.connection(addr(2), by));
        poll_fn(|context| Poll::Ready(next.as_mut().poll(context).is_ready())).await;
        listeners[2].set_nonblocking(true).expect("set");
        assert!(listeners[2].accept().is_err(), "one too many");
        let third = next.await;
        assert!(third.is_ok(), "the idle one gave way");
        assert_eq!(pool.open_count(), 2);
        drop(third);
        yield_now().await;
        assert_eq!(pool.open_count(), 1);
    }

    #[tokio::test]
    async fn a_connection_idle_for_longer_than_they_stay_good_is_not_used_again() {
        let pool = ConnectionPool::new(4, LONG, LONG);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let now = Instant::now();
        let idle = now.checked_sub(Duration::from_secs(10)).expect("the machine has run for longer");
        for broke in [false, true].repeat(5) {
            pool.learned().note(if broke { Duration::from_secs(5) } else { Duration::ZERO }, broke, now);
        }
        for (since, good) in [(now, true), (idle, false)] {
            let pooled = pool.connection(addr, now + LONG).await.expect("a connection");
            pool.idle().entry(addr).or_default().push(Idle { pooled, since });
            assert_eq!(pool.kept(addr).is_some(), good);
        }
    }

    #[tokio::test]
    async fn what_comes_on_a_resting_connection_is_no_answer_to_the_next_request() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (pool, addr) = (ConnectionPool::new(4, LONG, LONG), listener.local_addr().expect("an address"));
        let by = Instant::now() + LONG;
        let connection = async || pool.connection(addr, by).await.expect("a connection");
        for stray in [None, Some("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2"), Some("HTTP/1."), Some("")]
        {
            let (pooled, accepted) = tokio::join!(connection(), listener.accept());
            let (stream, rests_since) = (accepted.expect("a connection").0, Instant::now());
            pool.keep(addr, pooled, rests_since);
            if stray.is_some() {
                sleep_until(rests_since + 2 * REST).await;
            }
            // In the moment of the reuse: the connection's own task has no turn between.
            match stray {
                Some("") => drop(stream),
                Some(stray) => assert_eq!(stream.try_write(stray.as_bytes()).expect("written"), stray.len()),
                None => {}
            }
            let again = connection().await;
            assert_eq!(again.idle_for.is_zero(), stray.is_some(), "{stray:?}");
            if stray.is_some() {
                drop(listener.accept().await);
            }
            assert!(stray.is_some() || rests_since.elapsed() >= REST);
        }
    }
}
