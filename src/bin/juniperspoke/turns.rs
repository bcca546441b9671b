//! Keeps a connection that always has something to do from taking all turns of the event loop: it waits until the loop has
//! looked at the other sockets.

use crate::system::next_look;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::task::JoinHandle;

/// Pieces of work that a connection does before the others have their turn.
const IN_A_ROW: u32 = 4;

/// Counts one connection's pieces of work.
#[derive(Default)]
pub struct Turns {
    in_a_row: u32,
    rest: Option<JoinHandle<()>>,
}

impl Turns {
    /// Ready once the next piece of work may be done.
    pub fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.in_a_row >= IN_A_ROW {
            let rest = self.rest.get_or_insert_with(next_look);
            drop(ready!(Pin::new(rest).poll(context)));
            self.over();
        }
        Poll::Ready(())
    }

    /// A piece of work has been done.
    pub fn note_work(&mut self) {
        self.in_a_row += 1;
    }

    /// The connection waits for its peer, or has waited for the others.
    pub fn over(&mut self) {
        self.in_a_row = 0;
        self.rest = None;
    }

    /// What became of a piece of work: without any, its connection waits for its peer.
    pub fn note<T>(&mut self, done: &Poll<T>) {
        match done {
            Poll::Ready(_) => self.note_work(),
            Poll::Pending => self.over(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;
    use std::future::poll_fn;
    use tokio::task::yield_now;

    /// Guards against one task that runs for ever: what waits for a socket never gets its turn.
    #[tokio::test]
    async fn others_have_their_turn_between_much_work_of_one() {
        let (done, mut turns) = (Cell::new(0), Turns::default());
        // As the HTTP library does: polled again and again in one turn.
        let work = poll_fn(|context| {
            for _ in 0..1_000 {
                if turns.poll_next(context).is_ready() {
                    turns.note_work();
                    done.set(done.get() + 1);
                }
            }
            Poll::Pending::<()>
        });
        let other = async {
            yield_now().await;
            done.get()
        };
        let done = tokio::select! {
            biased;
            () = work => 0,
            done = other => done,
        };
        assert!((1..=2 * IN_A_ROW).contains(&done), "{done}");
    }
}
