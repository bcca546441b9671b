//! Final answers to clients as HTTP responses.

use crate::answer::AnswerStream;
use crate::client::ClientConnection;
use crate::handle::Answer;
use crate::metrics::{Ending, Ticket};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

/// The body of an answer to a client. It never fails: the HTTP library would drop what it has not written by then, and
/// so all of an answer that has just begun.
pub enum Reply {
    Whole(Bytes),
    Streamed(Box<AnswerStream>, Arc<ClientConnection>),
    /// Its connection is about to close.
    Cut,
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = match &mut *self {
            Reply::Whole(bytes) if bytes.is_empty() => return Poll::Ready(None),
            Reply::Whole(bytes) => return Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Reply::Streamed(stream, _) => ready!(Pin::new(stream).poll_frame(context)),
            Reply::Cut => return Poll::Pending,
        };
        match frame {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            None => Poll::Ready(None),
            Some(Err(_)) => {
                if let Reply::Streamed(_, on) = std::mem::replace(&mut *self, Reply::Cut) {
                    on.cut_answer();
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Reply::Whole(bytes) => bytes.is_empty(),
            Reply::Streamed(stream, _) => stream.is_end_stream(),
            Reply::Cut => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Reply::Streamed(stream, _) => stream.size_hint(),
            Reply::Cut => SizeHint::default(),
        }
    }
}

pub fn plain(status: StatusCode, text: &'static str) -> Response<Reply> {
    let mut response = Response::new(Reply::Whole(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The final answer in HTTP; the request ends with it.
pub fn final_response(answer: Answer, ticket: Ticket, on: &Arc<ClientConnection>) -> Response<Reply> {
    match answer {
        Answer::Served(served) => {
            ticket.end(Ending::Success);
            let mut response = Response::new(Reply::Whole(served.body));
            response.headers_mut().extend(served.content_type.map(|value| (CONTENT_TYPE, value)));
            response
        }
        Answer::Streamed(mut stream) => {
            stream.ticket = Some(ticket);
            let content_type = stream.content_type.take();
            let mut response = Response::new(Reply::Streamed(stream, on.clone()));
            response.headers_mut().extend(content_type.map(|value| (CONTENT_TYPE, value)));
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        Answer::Refused(retry_after) => {
            ticket.end(Ending::Busy);
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let text = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
            let value = text.and_then(|text| HeaderValue::from_str(&text).ok());
            response.headers_mut().extend(value.map(|value| (RETRY_AFTER, value)));
            response
        }
    }
}
