//! The upstreams' side: attempts and probes.

use crate::answer::{AnswerBody, AnswerStream, StreamEnd, read_answer};
use crate::bodies::{Outgoing, RequestBody, Sent};
use crate::budget::Budget;
use crate::leaving::RequestEnd;
use crate::metrics::{Count, Metrics};
use crate::pieces::compact_value;
use crate::pool::{ConnectionPool, Pooled};
use crate::system::{is_late, ready_by_what_has_come, wait_until};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use micapier::api::Outcome;
use micapier::staleness::DECISION_HOLDS;
use micapier::streaming::HELD;
use serde_json::Value;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Where an attempt goes; the driver closes it when the list takes the upstream or its address back.
pub struct Target {
    pub addr: SocketAddr,
    pub open: AtomicBool,
}

/// What binds an attempt.
pub struct Terms {
    /// When it was decided on, which may be long before it can begin.
    pub since: Instant,
    /// It is given up after this time, and may not begin any more then.
    pub timeout: Duration,
    /// From then on it may not begin.
    pub begin_by: Option<Instant>,
}

/// What goes on to an upstream of a client's request.
pub struct Outbound {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
    /// Whether its client has gone, or has its answer.
    pub end: RequestEnd,
}

/// A whole answer: the body of an upstream's 200, and what it says of its type.
#[derive(Default)]
pub struct Served {
    pub body: Bytes,
    pub content_type: Option<HeaderValue>,
}

/// What becomes of an attempt, in this order; the last ends it.
pub enum Step {
    /// More of the request's body goes out than is held.
    Uploading,
    /// All of it has gone out.
    Uploaded,
    /// An answer has begun that is passed on as it comes.
    Started(Box<AnswerStream>),
    Ended(Outcome, Served),
}

/// Told of each step.
pub type Report = Arc<dyn Fn(Step) + Send + Sync>;

/// Guards against an answer that another reader ends elsewhere, and against a coding taken for the body: the HTTP library
/// drops a length beside a coding, and reads one that it doesn't know to the connection's end.
fn is_framed_once(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(only), None) => {
            only.as_bytes().eq_ignore_ascii_case(b"chunked") && !headers.contains_key(CONTENT_LENGTH)
        }
        _ => false,
    }
}

/// Whether what was decided now about an attempt holds when it is written: the time that it tells its upstream, that its
/// client is there, and that its upstream takes new ones.
fn still_holds(
    target: &Arc<Target>, outbound: &Outbound, begin_by: Instant, decided_at: Instant,
) -> impl Fn() -> bool + Send + 'static {
    let (target, end, by) = (target.clone(), outbound.end.clone(), begin_by.min(decided_at + DECISION_HOLDS));
    move || Instant::now() < by && target.open.load(Ordering::Relaxed) && end.lets_begin()
}

/// Waits for news of how much has been sent; for ever where a body is held.
async fn sent(of: &mut Option<watch::Receiver<Sent>>) -> Sent {
    if let Some(of) = of
        && of.changed().await.is_ok()
    {
        return *of.borrow_and_update();
    }
    std::future::pending().await
}

/// Makes attempts and probes.
#[derive(Clone)]
pub struct Upstreams {
    pool: ConnectionPool,
    metrics: Arc<Metrics>,
    budget: Budget,
}

impl Upstreams {
    pub fn new(pool: ConnectionPool, metrics: Arc<Metrics>, budget: Budget) -> Self {
        Upstreams { pool, metrics, budget }
    }

    /// Closes what is kept to upstreams that have left, and what was opened at a time that is not kept.
    pub fn retain(&self, keep: impl Fn(&SocketAddr, Instant) -> bool) {
        self.pool.retain(keep);
    }

    /// One attempt, from choosing a connection to the end of the answer, or until it is passed on. Each step is
    /// reported first, then the connection is made ready for the next.
    pub async fn attempt(self, target: Arc<Target>, outbound: Arc<Outbound>, terms: Terms, report: Report) {
        let ended = |outcome| report(Step::Ended(outcome, Served::default()));
        let Terms { since, timeout, begin_by } = terms;
        // The time of a client that still writes has not begun.
        let due = || match &outbound.body {
            RequestBody::Held(_) => since + timeout,
            RequestBody::Open(upload) => upload.writing_at().max(since) + timeout,
        };
        let mut by = due();
        let connect_by = begin_by.map_or(by, |begin_by| begin_by.min(by));
        let mut news = match &outbound.body {
            RequestBody::Held(_) => None,
            RequestBody::Open(upload) => Some(upload.sent()),
        };
        let mut uploading = false;
        let (pooled, (outcome, had, content_type)) = loop {
            let mut pooled = match self.connection_to(&target, connect_by).await {
                Ok(pooled) => pooled,
                Err(outcome) => return ended(outcome),
            };
            // Guards against sending what is left of a body for all of it.
            if news.as_ref().is_some_and(|news| *news.borrow() != Sent::Nothing) {
                return ended(Outcome::Moot);
            }
            // A connection may come up long after the attempt was decided on, and after its client has left. It is as
            // good as any for another.
            by = due();
            let now = Instant::now();
            if !outbound.end.lets_begin() || begin_by.unwrap_or(by).min(by) <= now {
                ended(Outcome::Moot);
                // Unused, it goes on ageing: its upstream counts from its last request.
                let idle_since = now.checked_sub(pooled.idle_for).unwrap_or(now);
                return self.pool.keep(target.addr, pooled, idle_since);
            }
            let may_be_written = still_holds(&target, &outbound, begin_by.unwrap_or(by).min(by), now);
            pooled.connection.gate.begin_while(may_be_written);
            let answer = {
                let answer = self.answer(&mut pooled, self.request(&outbound, by - now));
                tokio::pin!(answer);
                loop {
                    tokio::select! {
                        biased;
                        answer = &mut answer => break answer,
                        sent = sent(&mut news) => match sent {
                            Sent::Nothing => {}
                            Sent::Begun => {
                                uploading = true;
                                report(Step::Uploading);
                            }
                            Sent::Whole => {
                                if !std::mem::replace(&mut uploading, false) {
                                    report(Step::Uploading);
                                }
                                by = due();
                                report(Step::Uploaded);
                            }
                            Sent::Broken(_) => break (Outcome::Reset, None, None),
                        },
                        () = sleep_until(by) => {
                            by = due();
                            // Guards against blaming an upstream for an answer that is here and has not been read.
                            if is_late(by) && let Some(answer) = ready_by_what_has_come(answer.as_mut()).await {
                                break answer;
                            }
                            if by <= Instant::now() {
                                break (Outcome::Timeout, None, None);
                            }
                        }
                    }
                }
            };
            // Guards against blaming an upstream that has closed what it may close: another connection may be good.
            if answer.0 != Outcome::Moot {
                break (pooled, answer);
            }
        };
        // Guards against sending again what has begun to go out unnoticed, and against blaming an upstream for a
        // client, or for an attempt whose last byte was never written.
        let state = news.map_or(Sent::Whole, |news| *news.borrow());
        if state == Sent::Begun && !uploading {
            report(Step::Uploading);
        }
        let outcome = match (outcome, state) {
            (_, Sent::Broken(_)) => Outcome::Moot,
            (Outcome::Reset | Outcome::Timeout, Sent::Begun | Sent::Nothing) => Outcome::ConnectFailed,
            _ => outcome,
        };
        self.pool.note_use(&pooled, outcome == Outcome::Reset);
        match had {
            Some(AnswerBody::Begun(begun)) if outcome == Outcome::Ok => {
                let end = report.clone();
                let call = outbound.headers.get("x-call-id").cloned();
                let stream = AnswerStream::new(begun, content_type, call, by, move |stream_end| {
                    end(Step::Ended(stream_end.outcome(), Served::default()));
                    match stream_end {
                        StreamEnd::Cut(cut) => self.metrics.count_cut(cut),
                        // As below: it may have answered before it had all of the request.
                        StreamEnd::Whole if state == Sent::Whole => {
                            tokio::spawn(self.keep_ready(target, pooled));
                        }
                        StreamEnd::Whole | StreamEnd::ClientLeft => {}
                    }
                });
                report(Step::Started(Box::new(stream)));
            }
            Some(AnswerBody::Whole(body)) => {
                report(Step::Ended(outcome, Served { body, content_type }));
                // Guards against giving the rest to an upstream that has answered already: it would run what is
                // held to be over, or wait for it for ever where the rest is dropped.
                if state == Sent::Whole && matches!(outcome, Outcome::Ok | Outcome::Full | Outcome::Error) {
                    self.keep_ready(target, pooled).await;
                }
            }
            _ => ended(outcome),
        }
    }

    /// What is written to an upstream, which is told the time that is left.
    fn request(&self, outbound: &Outbound, left: Duration) -> Request<Outgoing> {
        let metrics = self.metrics.clone();
        let body = Outgoing::new(outbound.body.clone(), move || metrics.count(Count::Attempt));
        let mut request = Request::new(body);
        *request.method_mut() = outbound.method.clone();
        *request.uri_mut() = outbound.uri.clone();
        *request.headers_mut() = outbound.headers.clone();
        if let Ok(budget) = format!("{:.4}", left.as_secs_f64()).parse() {
            request.headers_mut().insert("X-Budget", budget);
        }
        request
    }

    /// Writes a request and reads its answer as far as it is held. Moot: a kept connection was closed before that.
    async fn answer(
        &self, pooled: &mut Pooled, request: Request<Outgoing>,
    ) -> (Outcome, Option<AnswerBody>, Option<HeaderValue>) {
        let answer = match pooled.connection.sender.try_send_request(request).await {
            Ok(answer) => answer,
            Err(mut error) => {
                // Given back unwritten: it never left. Else it may have.
                let unsent = error.take_message().map(|message| message.into_body().forget()).is_some();
                let outcome = match pooled.idle_for {
                    _ if pooled.connection.gate.has_stopped() => Outcome::Moot,
                    _ if !unsent => Outcome::Reset,
                    Duration::ZERO => Outcome::ConnectFailed,
                    _ => Outcome::Moot,
                };
                return (outcome, None, None);
            }
        };
        let (head, body) = answer.into_parts();
        if !is_framed_once(&head.headers) {
            return (Outcome::Reset, None, None);
        }
        let rejected = head.headers.get("X-Rejected").is_some_and(|value| value == "1");
        // Guards against an answer that is not whole: what is small is passed on only when all of it is here.
        let Some(had) = read_answer(body, &self.budget).await else {
            return (Outcome::Reset, None, None);
        };
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Full,
            _ => Outcome::Error,
        };
        (outcome, Some(had), head.headers.get(CONTENT_TYPE).map(compact_value))
    }

    /// Keeps a connection whose answer is over, unless it closes.
    async fn keep_ready(self, target: Arc<Target>, mut pooled: Pooled) {
        if pooled.connection.sender.ready().await.is_ok() && target.open.load(Ordering::Relaxed) {
            self.pool.keep(target.addr, pooled, Instant::now());
        }
    }

    /// A connection to an upstream, unless it has begun to drain while that came up.
    async fn connection_to(&self, target: &Target, by: Instant) -> Result<Pooled, Outcome> {
        let pooled = self.pool.connection(target.addr, by).await?;
        if target.open.load(Ordering::Relaxed) { Ok(pooled) } else { Err(Outcome::Moot) }
    }

    /// Asks an upstream how it is, and for its load where it reports any: the value of that name.
    pub async fn probe(
        self, target: Arc<Target>, by: Instant, held_name: Option<&str>,
    ) -> (Outcome, Option<f64>) {
        let mut pooled = match self.connection_to(&target, by).await {
            Ok(pooled) => pooled,
            Err(outcome) => return (outcome, None),
        };
        let path = if held_name.is_some() { "/stats" } else { "/health/live" };
        let mut request = Request::new(Outgoing::empty());
        *request.uri_mut() = Uri::from_static(path);
        let host = HeaderValue::from_str(&target.addr.to_string());
        request.headers_mut().extend(host.ok().map(|host| (HOST, host)));
        let answer = async {
            let answer = loop {
                let mut error = match pooled.connection.sender.try_send_request(request).await {
                    Ok(answer) => break answer,
                    Err(error) => error,
                };
                // As with an attempt: what a kept connection gives back unwritten goes out on another.
                request = error.take_message().filter(|_| !pooled.idle_for.is_zero())?;
                pooled = self.connection_to(&target, by).await.ok()?;
            };
            let status = answer.status();
            let body = Limited::new(answer.into_body(), HELD).collect().await.ok()?;
            Some((status, body.to_bytes()))
        };
        let (status, body) = match wait_until(by, pin!(answer)).await {
            Some(Some(answer)) => answer,
            Some(None) => return (Outcome::Reset, None),
            None => return (Outcome::Timeout, None),
        };
        let report: Option<Value> = serde_json::from_slice(&body).ok();
        let held = report.and_then(|report| report[held_name?].as_f64()).filter(|held| held.is_finite());
        self.keep_ready(target, pooled).await;
        (if status == StatusCode::OK { Outcome::Ok } else { Outcome::Full }, held)
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use crate::bodies::tests::open_body;
    use crate::leaving::End;
    use crate::pool::REST;
    use std::future::poll_fn;
    use std::io;
    use std::sync::atomic::AtomicUsize;
    use std::task::Poll;
    use tokio::net::{TcpListener, TcpSocket, TcpStream};
    use tokio::sync::mpsc::{self, UnboundedReceiver};
    use tokio::task::yield_now;
    use tokio::time::advance;

    const LONG: Duration = Duration::from_secs(30);

    fn upstreams(most: usize, connect_timeout: Duration) -> Upstreams {
        Upstreams::new(ConnectionPool::new(most, LONG, connect_timeout), Metrics::new(&[]), Budget::new(HELD))
    }

    /// From now on.
    fn terms(timeout: Duration) -> Terms {
        Terms { since: Instant::now(), timeout, begin_by: None }
    }

    fn target(addr: SocketAddr, open: bool) -> Arc<Target> {
        Arc::new(Target { addr, open: AtomicBool::new(open) })
    }

    async fn begin(
        upstreams: &Upstreams, addr: SocketAddr, open: bool, terms: Terms, wanted: bool,
    ) -> UnboundedReceiver<Step> {
        let outbound = outbound(RequestBody::Held(Bytes::new()), RequestEnd::never());
        if !wanted {
            outbound.end.settle();
        }
        let (told, steps) = mpsc::unbounded_channel();
        let report = move |step| assert!(told.send(step).is_ok());
        upstreams.clone().attempt(target(addr, open), outbound, terms, Arc::new(report)).await;
        steps
    }

    fn outbound(body: RequestBody, end: RequestEnd) -> Arc<Outbound> {
        Arc::new(Outbound {
            method: Method::POST,
            uri: Uri::from_static("/api"),
            headers: HeaderMap::new(),
            body,
            end,
        })
    }

    async fn attempt(
        upstreams: &Upstreams, addr: SocketAddr, open: bool, begin_by: Option<Instant>, wanted: bool,
    ) -> Outcome {
        let mut steps = begin(upstreams, addr, open, Terms { begin_by, ..terms(LONG) }, wanted).await;
        let Some(Step::Ended(outcome, _)) = steps.recv().await else { panic!("one outcome") };
        outcome
    }

    /// What comes next; nothing at the end.
    pub async fn read(stream: &TcpStream) -> String {
        let mut bytes = [0; 1_024];
        loop {
            stream.readable().await.expect("an end");
            match stream.try_read(&mut bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => break String::from_utf8_lossy(&bytes[..read.expect("an end")]).into_owned(),
            }
        }
    }

    #[tokio::test]
    async fn nothing_is_sent_to_an_upstream_that_drains_while_its_connection_comes_up() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let to = upstreams(4, LONG);
        let (outcome, accepted) = tokio::join!(attempt(&to, addr, false, None, true), listener.accept());
        assert_eq!(outcome, Outcome::Moot);
        assert_eq!(read(&accepted.expect("a connection").0).await, "");
        // Nor does a look at it go out.
        let look = to.probe(target(addr, false), Instant::now() + LONG, None);
        let (look, accepted) = tokio::join!(look, listener.accept());
        assert_eq!(look, (Outcome::Moot, None));
        assert_eq!(read(&accepted.expect("a connection").0).await, "");
    }

    #[tokio::test]
    async fn an_attempt_that_is_late_or_not_wanted_any_more_is_not_written_and_its_connection_stays() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (upstreams, addr) = (upstreams(4, LONG), listener.local_addr().expect("an address"));
        let pooled = upstreams.pool.connection(addr, Instant::now() + LONG).await.expect("a connection");
        let (second, now) = (Duration::from_secs(1), Instant::now());
        let since = now.checked_sub(10 * second).expect("the machine has run for longer");
        upstreams.pool.keep(addr, pooled, since);
        for (begin_by, wanted) in [(Some(now), true), (None, false)] {
            assert_eq!(attempt(&upstreams, addr, true, begin_by, wanted).await, Outcome::Moot);
            let idle_since = upstreams.pool.idle_since(addr);
            assert!(idle_since.len() == 1 && idle_since[0] < since + second, "kept for another, as old");
        }
        drop(upstreams);
        assert_eq!(read(&listener.accept().await.expect("a connection").0).await, "");
    }

    /// Guards against a request that goes out long after it was decided on, since the process was held up in between: its
    /// client may have left, its time be over, its upstream drain.
    #[tokio::test(start_paused = true)]
    async fn what_was_decided_before_a_hold_up_is_not_written_after_it() {
        for is_held in [true, false] {
            let (_client, body) = match is_held {
                true => (None, RequestBody::Held(Bytes::new())),
                false => {
                    let (client, body) = open_body().await;
                    (Some(client), body)
                }
            };
            assert_eq!(written_after_a_hold_up(body).await, "", "{is_held}");
        }
    }

    /// What an upstream reads of a request with this body, whose client leaves in a hold-up after it was decided on.
    async fn written_after_a_hold_up(body: RequestBody) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (to, addr) = (upstreams(4, LONG), listener.local_addr().expect("an address"));
        let pooled = to.pool.connection(addr, Instant::now() + LONG).await.expect("a connection");
        let rested = Instant::now().checked_sub(REST).expect("the machine has run for longer");
        to.pool.keep(addr, pooled, rested);
        let accepted = listener.accept().await.expect("a connection").0;
        let (told, mut steps) = mpsc::unbounded_channel();
        let report = move |step| assert!(told.send(step).is_ok());
        // In the turn in which its client's end is asked about, a request is handed to its connection.
        let asked = Arc::new(AtomicUsize::new(0));
        let asking = asked.clone();
        let ask = move || {
            asking.fetch_add(1, Ordering::Relaxed);
            None
        };
        let outbound = outbound(body, Arc::new(End::new(ask)).of_request(false));
        let attempt = to.clone().attempt(target(addr, true), outbound.clone(), terms(LONG), Arc::new(report));
        let mut attempt = Box::pin(attempt);
        loop {
            assert!(poll_fn(|context| Poll::Ready(attempt.as_mut().poll(context))).await.is_pending());
            if asked.load(Ordering::Relaxed) > 0 {
                break;
            }
            yield_now().await;
        }
        outbound.end.settle();
        advance(Duration::from_millis(460)).await;
        attempt.await;
        assert!(matches!(steps.recv().await, Some(Step::Ended(Outcome::Moot, _))));
        drop(to);
        read(&accepted).await
    }

    /// Nobody accepts there: since the backlog is full, no further connection comes up.
    async fn deaf() -> (TcpListener, Vec<TcpStream>, SocketAddr) {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
        let listener = socket.listen(1).expect("listening");
        let addr = listener.local_addr().expect("an address");
        let (mut waiting, by) = (Vec::new(), Duration::from_millis(200));
        while let Ok(Ok(stream)) = tokio::time::timeout(by, TcpStream::connect(addr)).await {
            waiting.push(stream);
        }
        (listener, waiting, addr)
    }

    #[tokio::test(start_paused = true)]
    async fn an_answer_without_a_length_that_is_held_is_whole_at_a_close_and_none_at_a_reset() {
        for (reset, whole) in [(false, Outcome::Ok), (true, Outcome::Reset)] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let (to, addr) = (upstreams(4, LONG), listener.local_addr().expect("an address"));
            let serve = async {
                let (stream, _) = listener.accept().await.expect("a connection");
                read(&stream).await;
                stream.try_write(b"HTTP/1.0 200 OK\r\n\r\nbegun").expect("written");
                socket2::SockRef::from(&stream).set_linger(reset.then_some(Duration::ZERO)).expect("set");
            };
            let (outcome, ()) = tokio::join!(attempt(&to, addr, true, None, true), serve);
            assert_eq!(outcome, whole);
        }
    }

    #[tokio::test(start_paused = true)]
    async fn an_attempt_that_waits_for_its_connection_tells_what_is_left_and_does_not_begin_after_its_time() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (to, addr) = (upstreams(4, LONG), listener.local_addr().expect("an address"));
        let ms = Duration::from_millis;
        let early = terms(ms(1_000));
        advance(ms(990)).await;
        let (pooled, accepted) =
            tokio::join!(to.pool.connection(addr, Instant::now() + LONG), listener.accept());
        to.pool.keep(addr, pooled.unwrap_or_else(|_| panic!("a connection")), Instant::now());
        // It rests until the time of the first is just over.
        let mut steps = begin(&to, addr, true, early, true).await;
        assert!(matches!(steps.recv().await, Some(Step::Ended(Outcome::Moot, _))));
        let late = terms(ms(1_250));
        advance(ms(1_000)).await;
        let stream = accepted.expect("a connection").0;
        let (_, request) = tokio::join!(begin(&to, addr, true, late, true), read(&stream));
        assert!(request.contains("x-budget: 0.2500"), "{request}");
    }

    #[tokio::test(start_paused = true)]
    async fn waits_for_a_connection_that_were_cut_short_are_evidence_only_once_they_add_up() {
        let ms = Duration::from_millis;
        let (listener, _waiting, addr) = deaf().await;
        let to = upstreams(4, ms(200));
        let asked = async |timeout: u64| {
            let mut steps = begin(&to, addr, true, terms(ms(timeout)), true).await;
            let Some(Step::Ended(outcome, _)) = steps.recv().await else { panic!("one outcome") };
            outcome
        };
        let (moot, failed) = (Outcome::Moot, Outcome::ConnectFailed);
        assert_eq!([asked(80).await, asked(80).await, asked(80).await], [moot, moot, failed]);
        assert_eq!([asked(80).await, asked(300).await, asked(80).await], [moot, failed, moot]);
        // A new start of the upstream ends the row.
        assert_eq!(asked(80).await, moot);
        advance(ms(1)).await;
        let start = Instant::now();
        to.retain(|_, at| at >= start);
        assert_eq!(asked(80).await, moot);
        assert_eq!(tokio::join!(asked(80), asked(80), asked(30)), (moot, moot, moot), "one wait of 80 ms");
        // So does one that comes up in between.
        listener.accept().await.expect("room for one more");
        assert_eq!(asked(80).await, Outcome::Timeout);
        assert_eq!([asked(80).await, asked(80).await, asked(80).await], [moot, moot, failed]);
    }

    #[tokio::test]
    async fn a_connection_that_never_comes_up_proves_that_nothing_ran() {
        let (_listener, _waiting, addr) = deaf().await;
        let soon = Duration::from_millis(50);
        assert_eq!(attempt(&upstreams(4, soon), addr, true, None, true).await, Outcome::ConnectFailed);
        // What may not begin any more says nothing of the upstream.
        let begin_by = Some(Instant::now() + soon);
        let to = upstreams(4, LONG);
        assert_eq!(attempt(&to, addr, true, begin_by, true).await, Outcome::Moot);
        assert_eq!(to.pool.open_count(), 0, "its place is free again");
    }

    /// Answers the first request with this, and then drips more of it; what becomes of the answer, and when.
    async fn answered(
        answer: String, more: &'static str, drip: Duration, room: usize, timeout: Duration,
    ) -> (Option<Outcome>, usize, Duration) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let to = Upstreams::new(ConnectionPool::new(4, LONG, LONG), Metrics::new(&[]), Budget::new(room));
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            read(&stream).await;
            let mut rest = answer.as_bytes();
            while stream.writable().await.is_ok() {
                match stream.try_write(rest) {
                    Ok(written) => rest = &rest[written..],
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                    Err(_) => return,
                }
                if rest.is_empty() {
                    tokio::time::sleep(drip).await;
                    rest = if drip.is_zero() { answer.as_bytes() } else { more.as_bytes() };
                }
            }
        });
        let (since, mut steps) = (Instant::now(), begin(&to, addr, true, terms(timeout), true).await);
        let mut passing = match steps.recv().await.expect("a step") {
            Step::Started(passing) => passing,
            Step::Ended(outcome, _) => return (Some(outcome), 0, since.elapsed()),
            Step::Uploading | Step::Uploaded => panic!("nothing goes up"),
        };
        let mut passed = 0;
        loop {
            match passing.frame().await {
                Some(Ok(frame)) => passed += frame.data_ref().map_or(0, Bytes::len),
                end => break (end.is_none().then_some(Outcome::Ok), passed, since.elapsed()),
            }
        }
    }

    #[tokio::test(start_paused = true)]
    async fn an_answer_that_does_not_end_is_cut_while_it_counts_by_its_last_byte_in_the_clients_time() {
        let known = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\nbegun");
        let open = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n".to_owned();
        let (time, drip, none) = (Duration::from_secs(1), Duration::from_secs(4), Duration::ZERO);
        let longest = Duration::from_secs(1_048);
        // What has no room, what has no length, what drips for ever, and what never ends.
        for (answer, drip, room, cut) in [
            (known(9), drip, 0, time),
            (open, drip, HELD, time),
            (known(HELD + 1), drip, HELD, longest),
            (known(1 << 40), none, HELD, none),
        ] {
            let (whole, passed, after) = answered(answer.clone(), "x", drip, room, time).await;
            assert!(whole.is_none() && passed as u64 <= crate::bodies::LONGEST, "{answer}: {passed}");
            assert!(after >= cut && after < cut + drip.max(time), "{answer}: {after:?}");
        }
        // A head that never ends, and others before it without end.
        let drip = Duration::from_millis(30);
        for (answer, more) in [("HTTP/1.1 200 OK\r\nX: x", "x"), ("HTTP/1.1 1", "02 X\r\n\r\nHTTP/1.1 1")] {
            let (outcome, _, after) = answered(answer.to_owned(), more, drip, HELD, time).await;
            assert!(
                outcome == Some(Outcome::Timeout) && after < 2 * time,
                "{answer}: {outcome:?}, {after:?}"
            );
        }
    }

    #[tokio::test]
    async fn what_a_kept_connection_gives_back_unwritten_goes_out_on_another() {
        for probe in [false, true] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let (upstreams, addr) = (upstreams(4, LONG), listener.local_addr().expect("an address"));
            let by = Instant::now() + LONG;
            let (pooled, accepted) = tokio::join!(upstreams.pool.connection(addr, by), listener.accept());
            upstreams.pool.keep(addr, pooled.unwrap_or_else(|_| panic!("a connection")), Instant::now());
            sleep_until(Instant::now() + 2 * REST).await;
            let serve = async {
                // It closes between the last look at it and the write.
                yield_now().await;
                drop(accepted);
                let (stream, _) = listener.accept().await.expect("another");
                let request = read(&stream).await;
                stream.try_write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("written");
                request
            };
            let asked = async { tokio::time::timeout(LONG, serve).await.expect("a request") };
            let ask = async {
                match probe {
                    true => upstreams.clone().probe(target(addr, true), by, None).await.0,
                    false => attempt(&upstreams, addr, true, None, true).await,
                }
            };
            let (outcome, request) = tokio::join!(ask, asked);
            let path = if probe { "GET /health/live" } else { "POST /api" };
            assert!(outcome == Outcome::Ok && request.starts_with(path), "{outcome:?}, {request}");
        }
    }
}
