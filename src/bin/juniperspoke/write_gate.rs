//! Stops a request at its first byte where what was decided does not hold any more: between the decision and the write the
//! process may have been held up.

use std::sync::{Mutex, MutexGuard, PoisonError};

type Condition = Box<dyn Fn() -> bool + Send>;

/// What may be written next on a connection.
#[derive(Default)]
enum Passage {
    #[default]
    Open,
    /// The next bytes begin a request, as long as this holds.
    While(Condition),
    /// It did not hold. Nothing of that request has been written, and nothing is any more.
    Closed,
}

/// One for each connection.
#[derive(Default)]
pub struct WriteGate(Mutex<Passage>);

impl WriteGate {
    fn passage(&self) -> MutexGuard<'_, Passage> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The next bytes begin a request, and are written only if this holds then.
    pub fn begin_while(&self, holds: impl Fn() -> bool + Send + 'static) {
        *self.passage() = Passage::While(Box::new(holds));
    }

    /// May the bytes be written that come now?
    pub fn passes(&self) -> bool {
        let mut passage = self.passage();
        if let Passage::While(holds) = &*passage
            && !holds()
        {
            *passage = Passage::Closed;
        }
        !matches!(*passage, Passage::Closed)
    }

    /// Some has been written: the request has begun, and goes on to its end.
    pub fn note_written(&self) {
        let mut passage = self.passage();
        if let Passage::While(_) = *passage {
            *passage = Passage::Open;
        }
    }

    /// Has it stopped a request, of which nothing has been written then?
    pub fn has_stopped(&self) -> bool {
        matches!(*self.passage(), Passage::Closed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Arc;
    use std::sync::atomic::{AtomicBool, Ordering};

    #[test]
    fn only_the_first_bytes_of_a_request_are_asked_about() {
        let gate = WriteGate::default();
        assert!(gate.passes());
        let holds = Arc::new(AtomicBool::new(true));
        let asked = holds.clone();
        gate.begin_while(move || asked.load(Ordering::Relaxed));
        assert!(gate.passes());
        gate.note_written();
        holds.store(false, Ordering::Relaxed);
        assert!(gate.passes(), "it goes on");
        gate.begin_while(|| false);
        assert!(!gate.has_stopped(), "nobody has written yet");
        assert!(!gate.passes());
        assert!(gate.has_stopped());
        assert!(!gate.passes(), "nor what follows");
    }
}
