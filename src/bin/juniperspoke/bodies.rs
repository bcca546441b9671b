//! Bodies of clients' requests on their way to upstreams: what is small is held whole, the rest passed on as it comes.

use crate::budget::Budget;
use crate::peer::{Heads, Limit};
use crate::pieces::{HeldBody, compact};
use crate::turns::Turns;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use micapier::streaming::{HELD, RATE};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The longest body that goes through.
pub const LONGEST: u64 = 32 * 1024 * 1024;
/// The most of a body that the system of a client may hold of what it has written: as much as it lets a send buffer grow to,
/// if nobody has told it otherwise.
const SEND_BUFFER: u64 = 4 * 1024 * 1024;
/// The most of a body that lies between a send buffer and the sockets here, and between these and who reads the body: the
/// buffer of the HTTP library, and the segment by which a send buffer may be too full.
const IN_BETWEEN: u64 = 128 * 1024;
/// How much of a body of unknown length is read between two marks of the time.
const STEP: u64 = SEND_BUFFER / 16;
/// What has come fast pays for a pause of this length at most.
const PAUSE: Duration = Duration::from_secs(2);
/// What is wrong with a client's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    #[error("a body that does not end")]
    Slow,
    #[error("a broken body")]
    Broken,
    #[error("a too long body")]
    TooLong,
}

/// A client's body as it comes, which has to be fast enough and short enough.
pub struct Intake {
    body: Incoming,
    /// Bytes that may still come.
    room: u64,
    /// How long the client may let us wait, and when it began to.
    patience: Duration,
    waits_since: Option<Instant>,
    limit: Limit,
    /// The connection that it comes on.
    on: Heads,
    /// The most that the client's system may hold of it.
    send_buffer: u64,
    /// When the client was last known to have some of it still to write.
    writing_at: Instant,
    steps: Steps,
    ended: bool,
    turns: Turns,
}

/// The most of a body that its client may have written, beyond what has been read. `unread` is in our socket, as far as the
/// system tells, and up to `send_buffer` in the client's.
fn most_ahead(unread: Option<u64>, send_buffer: u64) -> u64 {
    unread.map_or(u64::MAX, |unread| unread + send_buffer + IN_BETWEEN)
}

/// How much of a body of unknown length its client may have written at the last steps, and how many there were in all.
#[derive(Default)]
struct Steps(VecDeque<Step>, u64);

struct Step {
    at: Instant,
    /// The client had written no more than so much then.
    most_written: u64,
}

impl Steps {
    /// With so much read by now: when the client was last sure to have some of that to write. `ahead` is the most that it
    /// may have written beyond.
    fn read(&mut self, read: u64, now: Instant, ahead: impl FnOnce() -> u64) -> Option<Instant> {
        let mut writing_at = None;
        if read / STEP > self.1 {
            self.1 = read / STEP;
            self.0.push_back(Step { at: now, most_written: read.saturating_add(ahead()) });
        }
        while self.0.front().is_some_and(|step| step.most_written < read) {
            writing_at = self.0.pop_front().map(|step| step.at);
        }
        writing_at
    }
}

impl Intake {
    /// The first byte has to come within this time.
    pub fn new(body: Incoming, patience: Duration, on: Heads) -> Intake {
        let (limit, writing_at, steps) = (Limit::default(), Instant::now(), Steps::default());
        Intake {
            body,
            room: LONGEST,
            patience,
            waits_since: None,
            limit,
            on,
            send_buffer: SEND_BUFFER,
            writing_at,
            steps,
            ended: false,
            turns: Turns::default(),
        }
    }

    /// When the client was last known to have some of it still to write: now, if we wait for it or much is left.
    /// Guards against taking for the client's what is only to be read yet: its time would never end, as long as an
    /// upstream takes the body piece by piece.
    fn writing_at(&self) -> Instant {
        match self.left() {
            Some(left) if left > self.send_buffer && left > self.most_ahead() => Instant::now(),
            Some(0) => self.writing_at,
            _ if self.ended => self.writing_at,
            _ => self.writing_at.max(self.on.waited_at()),
        }
    }

    /// The most that the client may have written, beyond what has been read.
    fn most_ahead(&self) -> u64 {
        most_ahead(self.on.unread(), self.send_buffer)
    }

    /// What is left, if the client has said.
    fn left(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            ready!(self.turns.poll_next(context));
            let frame = match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Ready(frame) => frame,
                Poll::Pending => {
                    let (patience, now) = (self.patience, Instant::now());
                    self.waits_since.get_or_insert(now);
                    ready!(self.limit.poll(|| now + patience, context));
                    return Poll::Ready(Some(Err(BodyError::Slow)));
                }
            };
            self.turns.note_work();
            // Only the time that we wait for the client is the client's.
            self.writing_at = self.writing_at().max(self.on.waited_at());
            self.ended = frame.is_none();
            let waited = self.waits_since.take().map_or(Duration::ZERO, |since| since.elapsed());
            self.limit.over();
            let Some(frame) = frame else { return Poll::Ready(None) };
            let Ok(frame) = frame else { return Poll::Ready(Some(Err(BodyError::Broken))) };
            // Trailers say nothing that goes on to an upstream.
            let Ok(data) = frame.into_data() else { continue };
            let Some(room) = self.room.checked_sub(data.len() as u64) else {
                return Poll::Ready(Some(Err(BodyError::TooLong)));
            };
            self.room = room;
            if self.left().is_none() {
                let (on, send_buffer) = (&self.on, self.send_buffer);
                let ahead = || most_ahead(on.unread(), send_buffer);
                let writing_at = self.steps.read(LONGEST - room, Instant::now(), ahead);
                self.writing_at = self.writing_at.max(writing_at.unwrap_or(self.writing_at));
            }
            let earned = Duration::from_secs_f64(data.len() as f64 / RATE);
            self.patience = (self.patience.saturating_sub(waited) + earned).min(PAUSE.max(self.patience));
            return Poll::Ready(Some(Ok(data)));
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        poll_fn(|context| self.poll_chunk(context)).await
    }

    /// Reads and drops all of it. Guards against an answer that is lost with its connection: a client that still writes would
    /// be reset.
    pub async fn skip(mut self) -> Result<(), BodyError> {
        while self.next().await.transpose()?.is_some() {}
        Ok(())
    }

    /// Reads what is small to its end, if the budget has room for it.
    pub async fn read(mut self, budget: &Budget) -> Result<RequestBody, BodyError> {
        let left = self.left();
        if left.is_some_and(|left| left > LONGEST) {
            return Err(BodyError::TooLong);
        }
        let size = left.map_or(HELD, |left| left as usize);
        let share = if size <= HELD { budget.take(size) } else { None };
        let mut first = Bytes::new();
        if let Some(mut share) = share {
            let mut held = HeldBody::new(size);
            while held.len() <= HELD {
                let Some(chunk) = self.next().await.transpose()? else {
                    share.shrink_to(held.len());
                    return Ok(RequestBody::Held(share.hold(held.into_bytes())));
                };
                held.push(&chunk);
            }
            first = share.hold(held.into_bytes());
        }
        let flow = Flow { first, intake: self, ended: false, dropped: false, budget: budget.clone() };
        Ok(RequestBody::Open(Upload::new(flow)))
    }
}

/// A request's body: held whole, or on its way.
#[derive(Clone)]
pub enum RequestBody {
    Held(Bytes),
    Open(Arc<Upload>),
}

/// How much of an open body has gone out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    Nothing,
    Begun,
    Whole,
    /// The client has not kept to its part.
    Broken(BodyError),
}

struct Flow {
    /// What was read before it was known to be long.
    first: Bytes,
    intake: Intake,
    ended: bool,
    /// What is left goes nowhere.
    dropped: bool,
    /// Charged for the pieces that go on.
    budget: Budget,
}

impl Flow {
    fn left(&self) -> Option<u64> {
        self.intake.left().map(|left| left + self.first.len() as u64)
    }

    fn is_over(&self) -> bool {
        self.ended || self.left() == Some(0)
    }

    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first))));
        }
        let chunk = ready!(self.intake.poll_chunk(context));
        Poll::Ready(chunk.map(|chunk| chunk.map(|piece| self.budget.charge(compact(piece)))))
    }
}

/// A body that is passed on as it comes: to one attempt, and to another only while nothing has gone out.
pub struct Upload {
    flow: Mutex<Flow>,
    sent: watch::Sender<Sent>,
}

impl Upload {
    fn new(flow: Flow) -> Arc<Upload> {
        Arc::new(Upload { flow: Mutex::new(flow), sent: watch::Sender::new(Sent::Nothing) })
    }

    fn flow(&self) -> MutexGuard<'_, Flow> {
        self.flow.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn sent(&self) -> watch::Receiver<Sent> {
        self.sent.subscribe()
    }

    /// The client's time runs from its last byte, and so from then on at the earliest.
    pub fn writing_at(&self) -> Instant {
        self.flow().intake.writing_at()
    }

    /// Has its last byte been read?
    pub fn is_whole(&self) -> bool {
        *self.sent.borrow() == Sent::Whole
    }

    /// Waits until its last byte has been read.
    pub async fn read_whole(&self) {
        // Without an end only if this goes.
        drop(self.sent().wait_for(|sent| *sent == Sent::Whole).await);
    }

    /// What the client has done wrong, if it has.
    pub fn fault(&self) -> Option<BodyError> {
        match *self.sent.borrow() {
            Sent::Broken(error) => Some(error),
            _ => None,
        }
    }

    /// Reads and drops what is left, as long as it comes: an answer that is written while a client still sends
    /// would be lost with the connection. Whoever has answered before that gets no more of it: two readers would
    /// share it, and what one of them sees of it is no body that a client sent.
    pub async fn drain(self: Arc<Self>) {
        let over = self.is_over();
        self.flow().dropped = !over;
        while let Some(Ok(_)) = poll_fn(|context| self.flow().poll_chunk(context)).await {}
    }

    fn is_over(&self) -> bool {
        let flow = self.flow();
        flow.is_over() && !flow.dropped
    }

    fn poll_chunk(&self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut flow = self.flow();
        if flow.dropped {
            return Poll::Pending;
        }
        let chunk = ready!(flow.poll_chunk(context));
        flow.ended = chunk.is_none();
        let sent = match &chunk {
            Some(Err(error)) => Sent::Broken(*error),
            Some(Ok(_)) if flow.left() != Some(0) => Sent::Begun,
            _ => Sent::Whole,
        };
        drop(flow);
        self.sent.send_if_modified(|before| std::mem::replace(before, sent) != sent);
        Poll::Ready(chunk)
    }
}

/// The body of an attempt. An attempt counts once the connection has taken over all of it: the HTTP library takes
/// the body out of a request when it writes its head, and lets go of it after the last byte.
pub struct Outgoing {
    body: RequestBody,
    /// Called then, once.
    whole: Option<Box<dyn FnOnce() + Send>>,
}

impl Outgoing {
    pub fn new(body: RequestBody, whole: impl FnOnce() + Send + 'static) -> Outgoing {
        Outgoing { body, whole: Some(Box::new(whole)) }
    }

    pub fn empty() -> Outgoing {
        Outgoing { body: RequestBody::Held(Bytes::new()), whole: None }
    }

    /// It has not been written after all.
    pub fn forget(mut self) {
        self.whole = None;
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let chunk = match &mut self.body {
            RequestBody::Held(bytes) if bytes.is_empty() => None,
            RequestBody::Held(bytes) => Some(Ok(std::mem::take(bytes))),
            RequestBody::Open(upload) => ready!(upload.poll_chunk(context)),
        };
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            RequestBody::Held(bytes) => bytes.is_empty(),
            RequestBody::Open(upload) => upload.is_over(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            RequestBody::Held(bytes) => SizeHint::with_exact(bytes.len() as u64),
            RequestBody::Open(upload) => {
                upload.flow().left().map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        if self.is_end_stream() {
            self.whole.take().into_iter().for_each(|whole| whole());
        }
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use crate::connection::BUFFER;
    use crate::heartbeat::{Heartbeat, Looks};
    use crate::metrics::Metrics;
    use crate::peer::Peer;
    use hyper::service::service_fn;
    use hyper::{Request, Response, server::conn::http1};
    use hyper_util::rt::TokioIo;
    use std::io::Write;
    use tokio::net::TcpListener;
    use tokio::spawn;
    use tokio::sync::mpsc::unbounded_channel;
    use tokio::time::sleep;

    /// A client that has written a request's head, and how that is read. The clock is the test's, the system's is not: no
    /// look at the sockets is ever long ago.
    async fn client(head: &str) -> (std::net::TcpStream, Peer, Heads) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let mut client = std::net::TcpStream::connect(addr).expect("a connection");
        client.write_all(head.as_bytes()).expect("written");
        let heartbeat = Heartbeat::new();
        spawn(heartbeat.clone().beat(Metrics::new(&[])));
        let looks = Looks::at_accepted(heartbeat, Instant::now());
        let (peer, heads, _socket) = Peer::client(listener.accept().await.expect("a connection").0, looks);
        (client, peer, heads)
    }

    /// A body that is passed on as it comes, of which some has come, and its client.
    pub async fn open_body() -> (std::net::TcpStream, RequestBody) {
        let head = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\nbegun", HELD + 1);
        let (client, peer, heads) = client(&head).await;
        let (told, mut heard) = unbounded_channel();
        let service = service_fn(move |request: Request<Incoming>| {
            let intake = Intake::new(request.into_body(), Duration::from_secs(60), heads.clone());
            let told = told.clone();
            async move {
                told.send(intake.read(&Budget::new(0)).await.expect("a body")).expect("heard");
                std::future::pending::<Result<Response<String>, BodyError>>().await
            }
        });
        spawn(async move { http1::Builder::new().serve_connection(TokioIo::new(peer), service).await });
        (client, heard.recv().await.expect("a body"))
    }

    /// Reads two pieces a second of a body that begins so, and goes on after 10 s: how many there were, and when, in
    /// seconds from the start, its client was last known to write.
    async fn read_slowly(begins: String, goes_on: &str) -> (usize, u64) {
        let (mut client, peer, heads) = client(&format!("POST / HTTP/1.1\r\n{begins}")).await;
        let (start, (told, mut heard)) = (Instant::now(), unbounded_channel());
        let service = service_fn(|request: Request<Incoming>| {
            let mut intake = Intake::new(request.into_body(), Duration::from_secs(60), heads.clone());
            let told = told.clone();
            async move {
                let mut pieces = 0;
                while intake.next().await.transpose()?.is_some() {
                    pieces += 1;
                    if pieces % 2 == 0 {
                        sleep(Duration::from_secs(1)).await;
                    }
                }
                told.send((pieces, (intake.writing_at() - start).as_secs())).expect("heard");
                Ok::<_, BodyError>(Response::new(String::new()))
            }
        });
        let http = http1::Builder::new().half_close(true).max_buf_size(BUFFER).clone();
        let goes_on = async {
            sleep(Duration::from_secs(10)).await;
            client.write_all(goes_on.as_bytes()).expect("written");
            heard.recv().await.expect("its end")
        };
        tokio::select! {
            _ = http.serve_connection(TokioIo::new(peer), service) => panic!("a body without an end"),
            read = goes_on => read,
        }
    }

    #[tokio::test(start_paused = true)]
    async fn only_what_a_client_cannot_have_written_before_renews_its_time() {
        let body = "x".repeat(40_000);
        let chunks = format!("2710\r\n{}\r\n", &body[..10_000]).repeat(4);
        let chunked = format!("Transfer-Encoding: chunked\r\n\r\n{chunks}");
        for (what, begins, goes_on, writing) in [
            ("chunked", format!("{chunked}0\r\n\r\n"), "", 0),
            ("of known length", format!("Content-Length: 40000\r\n\r\n{body}"), "", 0),
            ("chunked, and its end later", chunked, "0\r\n\r\n", 10),
            ("of known length, and its end later", format!("Content-Length: 40001\r\n\r\n{body}"), "x", 10),
        ] {
            let (pieces, last) = read_slowly(begins, goes_on).await;
            assert!(pieces > 2 && last == writing, "{what}: {pieces} pieces, {last}");
        }
    }

    /// Reads a body of unknown length in steps, each after a second, with so much unread: when the client was last sure to
    /// write, in seconds, after each.
    fn read_in_steps(unread: Option<u64>) -> Vec<Option<u64>> {
        let (start, mut steps) = (Instant::now(), Steps::default());
        let ahead = most_ahead(unread, SEND_BUFFER);
        let mut read = |step| steps.read(step * STEP, start + Duration::from_secs(step), || ahead);
        (0..40).map(|step| read(step).map(|at| (at - start).as_secs())).collect()
    }

    #[test]
    fn much_that_comes_later_was_not_written_before_the_system_had_room_for_it() {
        let later_by =
            |steps: u64| (0..40).map(|step| (step > steps).then(|| step - steps)).collect::<Vec<_>>();
        assert_eq!(read_in_steps(Some(0)), later_by(17));
        assert_eq!(
            read_in_steps(Some(8 * STEP)),
            later_by(25),
            "what lies in the socket may have been written"
        );
        assert_eq!(read_in_steps(None), [None; 40], "all may have been");
    }

    /// Is a client taken to be writing a body of this length, a while after it has written so much of it and nothing has been
    /// read? What its system may hold is little here.
    async fn is_taken_to_be_writing(length: usize, written: usize) -> bool {
        let (mut client, peer, heads) =
            client(&format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n")).await;
        let (told, mut heard) = unbounded_channel();
        let of = heads.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let mut intake = Intake::new(request.into_body(), Duration::from_secs(60), of.clone());
            intake.send_buffer = 1_000;
            told.send(intake).expect("heard");
            std::future::pending::<Result<Response<String>, BodyError>>()
        });
        let serving = spawn(async move {
            http1::Builder::new().max_buf_size(BUFFER).serve_connection(TokioIo::new(peer), service).await
        });
        let intake = heard.recv().await.expect("a body");
        client.write_all(&vec![b'x'; written]).expect("written");
        while heads.unread().expect("known") + (BUFFER as u64) < written as u64 {
            sleep(Duration::from_millis(1)).await;
        }
        let writing_at = intake.writing_at();
        sleep(Duration::from_secs(1)).await;
        let is_writing = intake.writing_at() != writing_at;
        serving.abort();
        is_writing
    }

    /// Guards against an answer seconds after its time: a client that had written all of a long body was taken to be writing,
    /// since more was left to be read than its system holds. The rest lay in our socket.
    #[tokio::test(start_paused = true)]
    async fn a_client_that_has_written_all_is_not_taken_to_be_writing_whatever_lies_in_the_socket() {
        let written = 60_000;
        assert!(!is_taken_to_be_writing(written, written).await);
        assert!(is_taken_to_be_writing(written + 2 * IN_BETWEEN as usize, written).await, "it has some left");
    }
}
