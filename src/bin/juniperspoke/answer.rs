//! Answers of upstreams on their way to clients: what is small is held whole, the rest passed on as it comes.

use crate::bodies::LONGEST;
use crate::budget::Budget;
use crate::metrics::{Ending, Ticket};
use crate::peer::Limit;
use crate::pieces::{HeldBody, compact};
use crate::system::wait_until;
use crate::turns::Turns;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;
use micapier::api::Outcome;
use micapier::streaming::{HELD, RATE, StreamProgress};
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Instant;

/// An answer of unknown length is held for so long at most: one over [`HELD`] is timed by its first bytes, and
/// those of a short one are here by then.
const UNKNOWN_LENGTH_HOLD: Duration = Duration::from_millis(20);

/// The longest answer takes so long at most.
const LONGEST_TIME: Duration = Duration::from_millis((LONGEST as f64 / RATE * 1e3) as u64);

/// An upstream's answer, read as far as it is held.
pub enum AnswerBody {
    Whole(Bytes),
    Begun(Begun),
}

/// An answer of which there is more than is held, or than there is room for.
pub struct Begun {
    /// What has been read.
    first: Bytes,
    body: Incoming,
    /// Charged for the pieces that go on.
    budget: Budget,
}

/// The next piece; `None` at the end.
async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    loop {
        let Some(frame) = poll_fn(|context| Pin::new(&mut *body).poll_frame(context)).await else {
            return Ok(None);
        };
        // Trailers say nothing that goes on to a client.
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Reads an answer that is small to its end, if the budget has room for it; `None` if it breaks.
pub async fn read_answer(mut body: Incoming, budget: &Budget) -> Option<AnswerBody> {
    let length = body.size_hint().exact();
    let size = length.map_or(HELD, |length| usize::try_from(length).unwrap_or(usize::MAX));
    let budget = budget.clone();
    let Some(mut share) = (if size <= HELD { budget.take(size) } else { None }) else {
        return Some(AnswerBody::Begun(Begun { first: Bytes::new(), body, budget }));
    };
    let (mut held, until) = (HeldBody::new(size), Instant::now() + UNKNOWN_LENGTH_HOLD);
    while held.len() <= HELD {
        let next = next_piece(&mut body);
        let piece = match length {
            Some(_) => Some(next.await),
            None => wait_until(until, pin!(next)).await,
        };
        let Some(piece) = piece else { break };
        let Some(piece) = piece.ok()? else {
            share.shrink_to(held.len());
            return Some(AnswerBody::Whole(share.hold(held.into_bytes())));
        };
        held.push(&piece);
    }
    Some(AnswerBody::Begun(Begun { first: share.hold(held.into_bytes()), body, budget }))
}

/// Why an answer that is passed on ended before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cut {
    #[error("its upstream broke it off")]
    Broken,
    #[error("its upstream gave nothing for too long")]
    Silent,
    #[error("it is too long")]
    TooLong,
}

/// How an answer that is passed on ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Whole,
    Cut(Cut),
    ClientLeft,
}

impl StreamEnd {
    /// What that says of the attempt.
    pub fn outcome(self) -> Outcome {
        match self {
            StreamEnd::Whole => Outcome::Ok,
            StreamEnd::Cut(_) => Outcome::Reset,
            StreamEnd::ClientLeft => Outcome::Cancelled,
        }
    }
}

/// An answer on its way to its client.
pub struct AnswerStream {
    begun: Begun,
    silence: Limit,
    turns: Turns,
    /// Bytes passed on.
    passed: u64,
    /// When its head came, its first piece, and its last one.
    started: Instant,
    first_piece: Option<Instant>,
    last_piece: Instant,
    /// When its client's time ends.
    by: Instant,
    pub content_type: Option<HeaderValue>,
    /// The request's id, as its client gave it.
    call: Option<HeaderValue>,
    /// Told once how it ended.
    ended: Option<Box<dyn FnOnce(StreamEnd) + Send>>,
    /// The request's, from when the answer is taken over by its client's connection.
    pub ticket: Option<Ticket>,
}

impl AnswerStream {
    pub fn new(
        begun: Begun, content_type: Option<HeaderValue>, call: Option<HeaderValue>, by: Instant,
        ended: impl FnOnce(StreamEnd) + Send + 'static,
    ) -> AnswerStream {
        let started = Instant::now();
        AnswerStream {
            begun,
            silence: Limit::default(),
            turns: Turns::default(),
            passed: 0,
            started,
            first_piece: None,
            last_piece: started,
            by,
            content_type,
            call,
            ended: Some(Box::new(ended)),
            ticket: None,
        }
    }

    /// Until when its upstream may let us wait from now on.
    fn until(&self) -> Instant {
        let since_start = |at: Instant| at.saturating_duration_since(self.started);
        let progress = StreamProgress {
            passed: self.passed,
            announced: self.size_hint().exact().unwrap_or(0),
            first_piece: since_start(self.first_piece.unwrap_or(self.started)),
            last_piece: since_start(self.last_piece),
            deadline: since_start(self.by),
            longest: LONGEST_TIME,
        };
        self.started + progress.wait_until(since_start(Instant::now()))
    }

    fn end(&mut self, end: StreamEnd) {
        let Some(ended) = self.ended.take() else { return };
        let (call, passed, late) = (&self.call, self.passed, self.by.elapsed());
        match end {
            StreamEnd::Cut(cut) => tracing::warn!(?call, %cut, passed, ?late, "an answer was cut"),
            end => tracing::debug!(?call, ?end, passed, "an answer was passed on"),
        }
        let ending = if end == StreamEnd::Whole { Ending::Success } else { Ending::Failure };
        self.ticket.take().into_iter().for_each(|ticket| ticket.end(ending));
        ended(end);
    }

    fn cut(&mut self, cut: Cut) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.end(StreamEnd::Cut(cut));
        Poll::Ready(Some(Err(cut)))
    }
}

impl Body for AnswerStream {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let this = &mut *self;
        loop {
            ready!(this.turns.poll_next(context));
            let frame = if this.begun.first.is_empty() {
                let Begun { body, budget, .. } = &mut this.begun;
                match Pin::new(body).poll_frame(context) {
                    Poll::Ready(frame) => {
                        let charged = |piece| budget.charge(compact(piece));
                        frame.map(|frame| frame.map(|frame| frame.map_data(charged)))
                    }
                    Poll::Pending => {
                        let until = this.until();
                        ready!(this.silence.poll(|| until, context));
                        return this.cut(Cut::Silent);
                    }
                }
            } else {
                Some(Ok(Frame::data(std::mem::take(&mut this.begun.first))))
            };
            this.silence.over();
            this.turns.note_work();
            match frame {
                Some(Ok(frame)) if frame.is_data() => {
                    this.last_piece = Instant::now();
                    this.first_piece.get_or_insert(this.last_piece);
                    this.passed += frame.data_ref().map_or(0, |data| data.len() as u64);
                    if this.passed > LONGEST {
                        return this.cut(Cut::TooLong);
                    }
                    // With its length known, nobody asks for what comes after the last byte.
                    if this.is_end_stream() {
                        this.end(StreamEnd::Whole);
                    }
                    return Poll::Ready(Some(Ok(frame)));
                }
                Some(Ok(_)) => {}
                Some(Err(_)) => return this.cut(Cut::Broken),
                None => {
                    this.end(StreamEnd::Whole);
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.begun.first.is_empty() && self.begun.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.begun.first.len() as u64;
        let left = self.begun.body.size_hint().exact().map(|left| left + first);
        left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for AnswerStream {
    /// The client has left.
    fn drop(&mut self) {
        self.end(StreamEnd::ClientLeft);
    }
}
