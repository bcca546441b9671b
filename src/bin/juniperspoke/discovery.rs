//! The list of upstreams: one whole list at first, then watches.

use crate::calls::CallError;
use crate::config::Config;
use crate::connection::TcpConnection;
use crate::handle::{Handle, Happening};
use crate::instances::Instances;
use crate::list::{self, ListError, News};
use crate::read_sizes::ReadSizes;
use crate::system::wait_until;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use micapier::api::{Availability, Discovery};
use micapier::settings::Surroundings;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};

/// How long a watch may wait. An agent beside the sidecar costs nothing to ask, a replicated service little, and one
/// that has gone silent is noticed sooner; a service that works through its calls in turn is asked seldom.
const WATCH_PUSHED: Duration = Duration::from_secs(2);
const WATCH_ASKED: Duration = Duration::from_secs(20);
/// A call is given up when its answer is so late. One service for all may make calls wait in turn, so what is given
/// up there is still listened to; after a move, what it has to tell counts as told after 4 s, in which one more
/// call has to have its time.
const PATIENCE_PUSHED: Duration = Duration::from_secs(1);
const PATIENCE_ASKED: Duration = Duration::from_secs(3);
const PATIENCE_MOVED: Duration = Duration::from_secs(2);
/// The same for a watch where discovery is asked, after its wait is over: 2 s after that, what a silent one has
/// missed counts as told. Watches go on in step after each change, so that the second part is by lot.
const PATIENCE_WATCH: Duration = Duration::from_millis(500);
const WATCH_SPREAD: Duration = Duration::from_secs(1);
/// The same while the instances of a replicated service are tried, so that one that is silent costs less. Not less
/// than this: the watch that follows would come in the same second, with all of a fleet that finds the service back.
const WATCH_TRYING: Duration = Duration::from_secs(1);
/// A connection that isn't made by then never comes up, and an answer that has begun and isn't whole never ends:
/// both are noticed long before the end of a watch's wait.
const CONNECT: Duration = Duration::from_millis(1_500);
const BODY: Duration = Duration::from_secs(2);
/// Waits after calls that failed. All are inside the 200 ms in which a watch goes on, since what an agent has
/// counts as told; where discovery is asked, the module says when to ask again.
const BACKOFF: Duration = Duration::from_millis(20);
const BACKOFF_MOST: Duration = Duration::from_millis(160);
/// The whole list is asked for at once where the revision held is none there; but where discovery is asked, no sooner
/// than this after the last time, and else than the longest wait above: it may refuse the next one as well.
const WHOLE_AGAIN: Duration = Duration::from_secs(2);
/// The wait after a call that failed where discovery has moved and not answered yet: what it has to tell counts
/// as told some seconds after the move, sooner than the module would ask again.
const MOVED_AGAIN: Duration = Duration::from_millis(250);
/// A list is larger than a request's body: some hundred bytes for each upstream.
const MAX_LIST: usize = 4 * 1024 * 1024;

type Connection = TcpConnection<Empty<Bytes>>;
type Answer = Result<(News, Option<Connection>), CallError>;
type Call = Pin<Box<dyn Future<Output = Answer> + Send>>;

/// What the next happening is awaited in.
enum Phase {
    TillSubscribed,
    Till(Instant),
    Calling { call: Call, since: Instant, until: Instant },
}

/// A call that was given up, or made where discovery no longer is. Whatever it still tells counts as told.
struct Earlier {
    call: Call,
    /// Does it go by the same count of revisions?
    here: bool,
}

/// What has come of it.
enum Event {
    Earlier(Answer),
    Answer(Answer),
    Due,
    Early,
    Moved,
}

/// The answer of a call; never comes where there is none.
async fn answer(call: Option<&mut Call>) -> Answer {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}

/// Waits for discovery to move, for ever where nobody is left to tell of it.
async fn moved(at: &mut watch::Receiver<SocketAddr>) {
    if at.changed().await.is_err() {
        std::future::pending().await
    }
}

/// The instances of a replicated list service and what was taken from them: an answer older than that is refused
/// as a failure is.
struct Replicated {
    instances: Instances,
    /// The revision last taken from the service; the known list of the start may count otherwise.
    floor: Option<u64>,
    /// Answers in a row that were behind the floor or called the revision asked for one from the future.
    refusals: usize,
}

impl Replicated {
    fn new(all: Vec<SocketAddr>, seed: u64) -> Option<Replicated> {
        Instances::new(all, seed).map(|instances| Replicated { instances, floor: None, refusals: 0 })
    }

    /// Whether a list of this revision may be taken: never one older than the last taken, unless each instance
    /// in turn has refused what the sidecar holds, since then the service has begun to count anew.
    fn takes(&self, revision: u64) -> bool {
        self.floor.is_none_or(|floor| revision >= floor) || self.refusals >= self.instances.count()
    }

    fn took(&mut self, revision: u64) {
        (self.floor, self.refusals) = (Some(revision), 0);
        self.instances.answered();
    }
}

/// Follows the list for good. Where discovery is asked, a watch begins when the module subscribes.
/// The first one goes on from the known list, if there is one. When discovery moves, the whole list is asked
/// for at once, since it may count anew at its new address. Where the configuration names the instances of a
/// replicated list service, they are asked instead, and a list older than the one held is never taken: they all
/// count alike, and one that is behind has not yet applied what another told.
pub async fn follow(
    config: Arc<Config>, at: watch::Receiver<SocketAddr>, known: Option<u64>, subscribe: Arc<Notify>,
    driver: Handle,
) {
    let of = config.clone();
    let open = move |kept, addr, held, wait| -> Call {
        let config = of.clone();
        Box::pin(async move { call(kept, addr, &config.surroundings, held, wait).await })
    };
    Follower::new(&config, at, known, driver, open).run(&subscribe).await;
}

/// Makes one call after the other, with `open`.
struct Follower<F> {
    open: F,
    at: watch::Receiver<SocketAddr>,
    driver: Handle,
    asked: bool,
    addr: SocketAddr,
    /// The revision that the next call names; `None` if it asks for the whole list.
    held: Option<u64>,
    backoff: Duration,
    connection: Option<Connection>,
    /// Has discovery moved, and not answered yet?
    has_moved: bool,
    replicated: Option<Replicated>,
    rng: fastrand::Rng,
    /// When the last call began, and the last one for the whole list.
    called: Instant,
    whole_called: Option<Instant>,
    phase: Phase,
    earlier: Option<Earlier>,
}

impl<F: Fn(Option<Connection>, SocketAddr, Option<u64>, Duration) -> Call> Follower<F> {
    fn new(
        config: &Config, at: watch::Receiver<SocketAddr>, known: Option<u64>, driver: Handle, open: F,
    ) -> Follower<F> {
        let asked = config.settings.discovery != Discovery::Pushed;
        let replicated = Replicated::new(config.discovery_peers.clone(), config.seed);
        // Not marked as seen: a move while the process waited for its own address is one, since `known` is of the old.
        let addr = *at.borrow();
        Follower {
            open,
            at,
            driver,
            asked,
            addr: replicated.as_ref().map_or(addr, |replicated| replicated.instances.current()),
            held: known,
            backoff: BACKOFF,
            connection: None,
            has_moved: false,
            replicated,
            rng: fastrand::Rng::with_seed(config.seed),
            called: Instant::now(),
            whole_called: None,
            phase: if asked { Phase::TillSubscribed } else { Phase::Till(Instant::now()) },
            earlier: None,
        }
    }

    async fn run(mut self, subscribe: &Notify) {
        loop {
            match self.next(subscribe).await {
                Event::Earlier(Ok((news, connection))) => {
                    let here = self.earlier.take().is_some_and(|earlier| earlier.here);
                    if here {
                        self.took(news, connection, None);
                    } else {
                        self.driver.tell(Happening::List(news));
                    }
                }
                Event::Earlier(Err(_)) => self.earlier = None,
                Event::Answer(answer) => self.answered(answer),
                Event::Early => {}
                // The instances are where they were.
                Event::Moved if self.replicated.is_some() => {}
                Event::Moved => {
                    self.addr = *self.at.borrow_and_update();
                    self.put_by(false);
                    (self.held, self.backoff, self.connection, self.has_moved) = (None, BACKOFF, None, true);
                    self.call();
                }
                Event::Due => match self.phase {
                    Phase::Calling { .. } => {
                        self.put_by(true);
                        self.failed(CallError::Silent);
                    }
                    _ => self.call(),
                },
            }
        }
    }

    /// What has come is taken before discovery's move is.
    async fn next(&mut self, subscribe: &Notify) -> Event {
        let earlier = self.earlier.as_mut().map(|earlier| &mut earlier.call);
        let (call, due) = match &mut self.phase {
            Phase::TillSubscribed => (None, None),
            Phase::Till(due) => (None, Some(*due)),
            Phase::Calling { call, until, .. } => (Some(call), Some(*until)),
        };
        let waits = call.is_none() && due.is_none();
        tokio::select! {
            biased;
            answer = answer(earlier) => Event::Earlier(answer),
            answer = answer(call) => Event::Answer(answer),
            () = moved(&mut self.at) => Event::Moved,
            // What the module said after an earlier failure is over with the call that was made all the same.
            () = subscribe.notified() => if waits { Event::Due } else { Event::Early },
            () = sleep_until(due.unwrap_or_else(Instant::now)), if !waits => Event::Due,
        }
    }

    fn call(&mut self) {
        let trying = self.replicated.as_ref().is_some_and(|replicated| replicated.instances.is_failing());
        let asked = self.asked && self.replicated.is_none();
        let wait = match asked {
            true => WATCH_ASKED,
            false if trying => WATCH_TRYING,
            false => WATCH_PUSHED,
        };
        let patience = match (asked, self.held) {
            (true, Some(_)) => wait + PATIENCE_WATCH + WATCH_SPREAD.mul_f64(self.rng.f64()),
            (true, None) if self.has_moved => PATIENCE_MOVED,
            (true, None) => PATIENCE_ASKED,
            (false, Some(_)) => wait + PATIENCE_PUSHED,
            (false, None) => PATIENCE_PUSHED,
        };
        let (call, since) = ((self.open)(self.connection.take(), self.addr, self.held, wait), Instant::now());
        self.called = since;
        self.whole_called = if self.held.is_none() { Some(since) } else { self.whole_called };
        self.phase = Phase::Calling { call, since, until: since + patience };
    }

    /// Goes on listening to the call that is out, beside the next one. Another instance of a replicated service
    /// may be behind what this one tells, so that there is none beside the next.
    fn put_by(&mut self, here: bool) {
        self.earlier.iter_mut().for_each(|earlier| earlier.here &= here);
        let phase = std::mem::replace(&mut self.phase, Phase::Till(Instant::now()));
        if let (Phase::Calling { call, .. }, None) = (phase, &self.replicated) {
            self.earlier = Some(Earlier { call, here });
        }
    }

    fn answered(&mut self, answer: Answer) {
        let since = match self.phase {
            Phase::Calling { since, .. } => Some(since),
            _ => None,
        };
        match (answer, &mut self.replicated) {
            (Ok((news, _)), Some(replicated)) if !replicated.takes(news.revision) => {
                replicated.refusals += 1;
                let floor = replicated.floor.unwrap_or_default();
                self.failed(CallError::Behind(news.revision, floor));
            }
            (Ok((news, connection)), _) => self.took(news, connection, since),
            (Err(error), _) => self.failed(error),
        }
    }

    /// An answer to a call made then, if it is the one that was waited for.
    fn took(&mut self, mut news: News, connection: Option<Connection>, since: Option<Instant>) {
        (self.connection, self.earlier) = (connection, None);
        self.phase = Phase::Till(Instant::now());
        // Guards against changes to a list other than the one held: the whole list is asked for. What they take
        // back counts as told all the same, and the next call may fail.
        if !news.complete && self.held.is_some_and(|held| news.revision < held) {
            news.members.retain(|(line, _)| line.availability != Availability::Ready);
            self.driver.tell(Happening::List(news));
            return self.call_for_all();
        }
        // A whole list counts whatever its number: discovery may have begun to count anew.
        if let Some(replicated) = &mut self.replicated {
            replicated.took(news.revision);
        }
        // Guards against asking without a pause where a watch doesn't wait, or two answer that count otherwise.
        let at_once = since.is_some_and(|since| since.elapsed() < BACKOFF_MOST);
        if at_once && self.held >= Some(news.revision) {
            self.phase = Phase::Till(Instant::now() + BACKOFF_MOST);
        }
        (self.held, self.backoff, self.has_moved) = (Some(news.revision), BACKOFF, false);
        self.driver.tell(Happening::List(news));
    }

    /// The next call asks for the whole list.
    fn call_for_all(&mut self) {
        let pause = if self.asked { WHOLE_AGAIN } else { BACKOFF_MOST };
        self.held = None;
        self.phase = Phase::Till(self.whole_called.map_or_else(Instant::now, |last| last + pause));
    }

    fn failed(&mut self, error: CallError) {
        if self.backoff == BACKOFF {
            tracing::warn!("discovery: {error}");
        }
        self.connection = None;
        let silent = matches!(error, CallError::Silent) && self.replicated.is_none();
        // A watch that has fallen silent is opened anew at once: what it missed is about to count as told.
        if self.asked && silent && self.held.is_some() {
            self.phase = Phase::Till(Instant::now());
            return;
        }
        if self.backoff == BACKOFF || self.asked {
            self.driver.tell(Happening::ListFailed);
        }
        self.phase = match (self.asked, self.has_moved) {
            // The module says when to ask again.
            (true, false) => Phase::TillSubscribed,
            (true, true) => Phase::Till(Instant::now() + MOVED_AGAIN),
            (false, _) => Phase::Till(Instant::now() + self.backoff),
        };
        self.backoff = (self.backoff * 2).min(BACKOFF_MOST);
        // The revision held is from the future there: the whole list is asked for, and at once, since what there
        // is to tell already counts as told some seconds after the failure before.
        let ahead = matches!(error, CallError::Status(StatusCode::BAD_REQUEST));
        if ahead && self.held.is_some() {
            self.call_for_all();
        }
        if let Some(replicated) = &mut self.replicated {
            replicated.refusals += usize::from(ahead);
            let wait = replicated.instances.failed(self.called.elapsed());
            self.addr = replicated.instances.current();
            self.phase = Phase::Till(Instant::now() + wait);
        }
    }
}

async fn call(
    kept: Option<Connection>, addr: SocketAddr, names: &Surroundings, held: Option<u64>, wait: Duration,
) -> Answer {
    let mut connection = match kept {
        Some(kept) if !kept.sender.is_closed() => kept,
        _ => {
            let opened =
                wait_until(Instant::now() + CONNECT, pin!(TcpConnection::open(addr, (), ReadSizes::large())))
                    .await;
            opened.ok_or(CallError::Unreachable)?.map_err(CallError::Connect)?
        }
    };
    let uri = match held {
        Some(revision) => format!("/registry/instances?index={revision}&wait={}", wait.as_millis()),
        None => "/registry/instances".to_owned(),
    };
    let request = Request::get(uri).header("Host", addr.to_string()).body(Empty::new());
    let request = request.map_err(|_| ListError("address"))?;
    connection.sender.ready().await?;
    let answer = connection.sender.send_request(request).await?;
    let status = answer.status();
    let body = pin!(Limited::new(answer.into_body(), MAX_LIST).collect());
    let body = wait_until(Instant::now() + BODY, body).await;
    let body = body.ok_or(CallError::Endless)?.map_err(CallError::Body)?;
    if status != StatusCode::OK {
        return Err(CallError::Status(status));
    }
    let news = list::read(&serde_json::from_slice(&body.to_bytes())?, names)?;
    // Guards against asking for the whole list without a pause when changes are all that comes.
    if held.is_none() && !news.complete {
        return Err(ListError("all of its lines").into());
    }
    Ok((news, Some(connection)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::instances::tests::peers;
    use socket2::{Domain, Socket, Type};
    use std::ops::RangeInclusive;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::sync::{mpsc, oneshot};
    use tokio::time::timeout;

    #[test]
    fn a_list_older_than_the_one_taken_is_refused_until_every_instance_has_said_so() {
        let mut replicated = Replicated::new(peers(3), 1).expect("peers");
        assert!(replicated.takes(5), "the known list of the start may count otherwise");
        replicated.took(5);
        assert!(replicated.takes(5) && !replicated.takes(4));
        replicated.refusals = 2;
        assert!(!replicated.takes(4), "two of three may be behind");
        replicated.refusals = 3;
        assert!(replicated.takes(4), "all three count anew");
    }

    /// A call as the test answers it; it breaks where this is dropped.
    struct Made {
        addr: u16,
        held: Option<u64>,
        answer: oneshot::Sender<Answer>,
    }

    impl Made {
        fn answer(self, revision: u64) {
            let news = News { revision, complete: self.held.is_none(), members: Vec::new() };
            drop(self.answer.send(Ok((news, None))));
        }

        fn is_dropped(&self) -> bool {
            self.answer.is_closed()
        }
    }

    fn config(mode: &str, seed: &str, peers: &[SocketAddr]) -> Config {
        let json = crate::config::tests::JSON.replacen("pushed", mode, 1);
        let json = json.replacen("8c1f30d27a5be964", seed, 1);
        let with = format!("{{\"discovery_peers\":{},\"name\"", serde_json::json!(peers));
        Config::read(&json.replacen("{\"name\"", &with, 1), |_| None).expect("readable")
    }

    /// Follows a discovery that the test plays, from revision 1 at port 1 on.
    struct Played {
        calls: mpsc::UnboundedReceiver<Made>,
        told: mpsc::UnboundedReceiver<Happening>,
        moves: watch::Sender<SocketAddr>,
        subscribe: Arc<Notify>,
        since: Instant,
    }

    impl Played {
        fn new(mode: &str, seed: &str) -> Played {
            Played::with(&config(mode, seed, &[]))
        }

        fn with(config: &Config) -> Played {
            let ((handle, told), subscribe) = (Handle::new(), Arc::new(Notify::new()));
            let ((to, calls), (moves, at)) = (mpsc::unbounded_channel(), watch::channel(peers(1)[0]));
            let open = move |_, addr: SocketAddr, held, _| -> Call {
                let (answer, answered) = oneshot::channel();
                drop(to.send(Made { addr: addr.port(), held, answer }));
                Box::pin(async { answered.await.unwrap_or(Err(CallError::Endless)) })
            };
            let (follower, of) = (Follower::new(config, at, Some(1), handle, open), subscribe.clone());
            tokio::spawn(async move { follower.run(&of).await });
            subscribe.notify_one();
            Played { calls, told, moves, subscribe, since: Instant::now() }
        }

        /// The next call has to be like this, and comes so many ms after what was waited for last.
        async fn call(&mut self, addr: u16, held: Option<u64>, after: RangeInclusive<u128>) -> Made {
            let call = timeout(WATCH_ASKED * 2, self.calls.recv()).await.ok().flatten().expect("a call");
            let took = std::mem::replace(&mut self.since, Instant::now()).elapsed().as_millis();
            assert!((call.addr, call.held) == (addr, held), "{} {:?}", call.addr, call.held);
            assert!(after.contains(&took), "{took} ms");
            call
        }

        /// The revision told next; `None` of a failure.
        async fn told(&mut self) -> Option<u64> {
            match timeout(WATCH_ASKED * 2, self.told.recv()).await.ok().flatten().expect("news") {
                Happening::List(news) => Some(news.revision),
                _ => None,
            }
        }
    }

    #[tokio::test(start_paused = true)]
    async fn a_silent_watch_is_opened_anew_before_what_it_missed_counts_as_told_and_may_still_speak() {
        for (mode, anew) in [("on_request", 20_500..=21_500), ("pushed", 3_000..=3_050)] {
            let mut played = Played::new(mode, "7");
            let silent = played.call(1, Some(1), 0..=0).await;
            let second = played.call(1, Some(1), anew.clone()).await;
            assert!(!silent.is_dropped() && !second.is_dropped(), "{mode}");
            // A late answer is taken, and the next call goes on from there.
            silent.answer(2);
            let third = played.call(1, Some(2), 0..=0).await;
            assert!(second.is_dropped() && !third.is_dropped());
            // Two silent in a row: only the last that was given up is still listened to.
            let fourth = played.call(1, Some(2), anew.clone()).await;
            let fifth = played.call(1, Some(2), anew).await;
            assert!(third.is_dropped() && !fourth.is_dropped());
            fifth.answer(3);
            played.call(1, Some(3), 0..=0).await;
            assert!(fourth.is_dropped());
        }
        let mut waits = Vec::new();
        for seed in ["1", "2"] {
            let (begin, mut played) = (Instant::now(), Played::new("on_request", seed));
            let _silent = played.call(1, Some(1), 0..=0).await;
            let _anew = played.call(1, Some(1), 0..=21_500).await;
            waits.push(begin.elapsed());
        }
        assert_ne!(waits[0], waits[1], "sidecars must not call in step");
    }

    #[tokio::test(start_paused = true)]
    async fn a_call_that_failed_is_followed_by_the_next_when_the_module_says_so() {
        let mut played = Played::new("on_request", "7");
        drop(played.call(1, Some(1), 0..=0).await);
        assert_eq!(played.told().await, None);
        sleep_until(Instant::now() + WATCH_ASKED).await;
        assert!(played.calls.is_empty());
        (played.since, _) = (Instant::now(), played.subscribe.notify_one());
        let call = played.call(1, Some(1), 0..=0).await;
        // A revision from the future there: it counts anew.
        drop(call.answer.send(Err(CallError::Status(StatusCode::BAD_REQUEST))));
        assert_eq!(played.told().await, None);
        played.subscribe.notify_one();
        played.call(1, None, 0..=0).await.answer(0);
        let watch = played.call(1, Some(0), 0..=0).await;
        assert_eq!(played.told().await, Some(0));
        // What it said then is no word on a later failure: all whose watches are reset would call in step.
        played.subscribe.notify_one();
        sleep_until(Instant::now() + BACKOFF).await;
        drop(watch);
        assert_eq!(played.told().await, None);
        sleep_until(Instant::now() + BACKOFF).await;
        assert!(played.calls.is_empty());
        played.subscribe.notify_one();
        played.call(1, Some(0), 40..=40).await;
    }

    #[tokio::test(start_paused = true)]
    async fn whatever_discovery_says_it_is_not_called_without_a_pause() {
        let list = |revision, complete| Ok((News { revision, complete, members: Vec::new() }, None));
        // What watches are answered at once, the whole list being of revision 5.
        let ways: [&dyn Fn(u64) -> Answer; 3] =
            [&|_| Err(CallError::Status(StatusCode::BAD_REQUEST)), &|held| list(held - 1, false), &|held| {
                list(if held == 5 { 4 } else { 5 }, true)
            }];
        for mode in ["pushed", "on_request"] {
            for (i, to_watch) in ways.iter().enumerate() {
                let (mut played, begin, mut calls) = (Played::new(mode, "7"), Instant::now(), 0);
                while begin.elapsed() < Duration::from_secs(5) && calls < 1_000 {
                    let call = timeout(Duration::from_millis(2_500), played.calls.recv()).await;
                    // As the module says after a failure.
                    let Ok(call) = call else {
                        played.subscribe.notify_one();
                        continue;
                    };
                    let call = call.expect("a call");
                    calls += 1;
                    drop(call.answer.send(call.held.map_or_else(|| list(5, true), to_watch)));
                }
                assert!(calls <= 70, "{mode}, {i}: {calls} calls in {:?}", begin.elapsed());
            }
        }
    }

    #[tokio::test(start_paused = true)]
    async fn a_move_loses_no_word_of_the_old_address_and_is_followed_within_4_s() {
        for mode in ["on_request", "pushed"] {
            let again = if mode == "pushed" { 1_000..=1_050 } else { 2_000..=2_250 };
            let (mut played, at) = (Played::new(mode, "7"), peers(3));
            let old = played.call(1, Some(1), 0..=0).await;
            // In the same instant: what the old address told is taken first.
            played.moves.send_replace(at[1]);
            old.answer(2);
            assert_eq!(played.told().await, Some(2), "{mode}");
            played.call(2, None, 0..=0).await.answer(1);
            assert_eq!(played.told().await, Some(1), "{mode}");
            // What it tells until it closes is taken, and the new list still asked for.
            let old = played.call(2, Some(1), 0..=0).await;
            played.moves.send_replace(at[1]);
            let slow = played.call(2, None, 0..=0).await;
            old.answer(3);
            assert_eq!(played.told().await, Some(3), "{mode}");
            let second = played.call(2, None, again).await;
            assert!(!slow.is_dropped() && played.told().await.is_none());
            // Moved again, with two calls out.
            played.moves.send_replace(at[2]);
            let third = played.call(3, None, 0..=0).await;
            assert!(slow.is_dropped() && !second.is_dropped());
            drop(third);
            played.call(3, None, 0..=250).await.answer(0);
            played.call(3, Some(0), 0..=0).await;
            assert!(second.is_dropped());
        }
    }

    #[tokio::test(start_paused = true)]
    async fn with_instances_a_move_of_the_address_that_is_not_asked_changes_nothing() {
        let mut played = Played::with(&config("pushed", "7", &peers(3)[2..]));
        let watch = played.call(3, Some(1), 0..=0).await;
        played.moves.send_replace(peers(2)[1]);
        sleep_until(Instant::now() + BACKOFF).await;
        watch.answer(2);
        played.call(3, Some(2), 20..=20).await;
    }

    #[tokio::test(start_paused = true)]
    async fn where_two_instances_are_silent_the_third_is_asked_before_what_they_miss_counts_as_told() {
        for mode in ["pushed", "on_request"] {
            for seed in 0..50 {
                let mut played = Played::with(&config(mode, &seed.to_string(), &peers(3)));
                let mut calls = Vec::new();
                while calls.len() < 3 {
                    calls.push(timeout(WATCH_ASKED * 2, played.calls.recv()).await.expect("a call"));
                }
                let took = played.since.elapsed();
                assert!(took < Duration::from_millis(5_500), "{mode}, seed {seed}: {took:?}");
            }
        }
    }

    /// Until some moment no call succeeds, whether refused, broken or silent; from then on all but two instances have
    /// news and answer, one at least, or all count anew. With the longest waits that the module may name.
    #[tokio::test(start_paused = true)]
    async fn after_any_failed_calls_news_is_had_within_6_s_of_when_discovery_can_be_reached() {
        let ends = [0, 300, 1_500, 2_000].map(Some);
        for seed in 0..400_u64 {
            let mut lot = fastrand::Rng::with_seed(seed);
            let (mode, count) = (lot.choice(["pushed", "on_request"]).expect("one"), lot.u16(0..=5));
            // A silent watch that may wait for 20 s counts 2 s after that, in a test of its own.
            let silent = (mode == "pushed" || count > 0) && lot.bool();
            let (good, anew) = (lot.u16(1..=count.max(1)), lot.bool());
            let back = Instant::now() + Duration::from_millis(lot.u64(0..30_000));
            let config = config(mode, &seed.to_string(), &peers(count));
            let ((handle, mut told), subscribe) = (Handle::new(), Arc::new(Notify::new()));
            let lot = std::sync::Mutex::new(lot);
            let open = move |_, addr: SocketAddr, held: Option<u64>, _| -> Call {
                let bad = count > 0 && (1..3).contains(&((addr.port() + count - good) % count));
                if Instant::now() >= back && (anew || !bad) {
                    // Counting anew it refuses what is held, and then tells a list of a lower revision.
                    let (revision, complete) = if anew { (0, held.is_none()) } else { (9, held.is_none()) };
                    let news = News { revision, complete, members: Vec::new() };
                    let refused = CallError::Status(StatusCode::BAD_REQUEST);
                    let answer = if anew && held.is_some() { Err(refused) } else { Ok((news, None)) };
                    return Box::pin(std::future::ready(answer));
                }
                let mut lot = lot.lock().expect("no panic");
                let end = if silent && lot.bool() { None } else { lot.choice(ends).flatten() };
                Box::pin(async move {
                    match end {
                        Some(ms) => sleep_until(Instant::now() + Duration::from_millis(ms)).await,
                        None => std::future::pending().await,
                    }
                    Err(CallError::Endless)
                })
            };
            let (_moves, at) = watch::channel(peers(1)[0]);
            let (follower, of) = (Follower::new(&config, at, Some(5), handle, open), subscribe.clone());
            let following = tokio::spawn(async move { follower.run(&of).await });
            subscribe.notify_one();
            while !matches!(told.recv().await, Some(Happening::List(_))) {
                let (of, at) = (subscribe.clone(), Instant::now() + Duration::from_millis(2_500));
                tokio::spawn(async move { (sleep_until(at).await, of.notify_one()) });
            }
            let took = Instant::now().saturating_duration_since(back);
            assert!(took <= Duration::from_millis(5_600), "seed {seed}: {mode}, {count}: {took:?}");
            following.abort();
        }
    }

    #[tokio::test]
    async fn a_host_that_never_answers_and_an_answer_that_never_ends_hold_no_watch_for_long() {
        let names = Config::read(crate::config::tests::JSON, |_| None).expect("readable").surroundings;
        let deaf = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        deaf.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .and_then(|()| deaf.listen(0))
            .expect("a port");
        let deaf_at = deaf.local_addr().ok().and_then(|addr| addr.as_socket()).expect("an address");
        let _queue = std::net::TcpStream::connect(deaf_at).expect("the one that has room");
        let endless = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let endless_at = endless.local_addr().expect("an address");
        tokio::spawn(async move {
            let (mut stream, _) = endless.accept().await.expect("a call");
            let part = b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{";
            assert!(stream.read(&mut [0; 1024]).await.expect("a request") > 0);
            stream.write_all(part).await.expect("written");
            std::future::pending::<()>().await;
        });
        for addr in [deaf_at, endless_at] {
            let limit = WATCH_ASKED / 2;
            let ended = timeout(limit, call(None, addr, &names, Some(1), WATCH_ASKED)).await;
            assert!(matches!(ended.expect("in time"), Err(CallError::Unreachable | CallError::Endless)));
        }
    }
}
