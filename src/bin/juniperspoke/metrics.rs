//! The figures: counts since the start of the process, and their text form.

use crate::answer::Cut;
use micapier::api::Hosts;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

const PREFIX: &str = "edge_balancer";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Success,
    Busy,
    Failure,
}

const ENDINGS: [(Ending, &str); 3] =
    [(Ending::Success, "success"), (Ending::Busy, "busy"), (Ending::Failure, "failure")];

/// Counts of one class, by [`Ending`].
#[derive(Default)]
struct Calls([AtomicU64; ENDINGS.len()]);

const CUTS: [(Cut, &str); 3] = [(Cut::Broken, "broken"), (Cut::Silent, "silent"), (Cut::TooLong, "too_long")];

/// What is counted beside the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// An attempt has been written whole to an upstream.
    Attempt,
    /// The event loop has looked at its sockets much later than it had to.
    HeldUp,
    /// A request has been refused, since its client had ended before it was read.
    LeftUnread,
    /// A call of `accept` has failed.
    AcceptError,
}

const COUNTS: [(Count, &str); 4] = [
    (Count::Attempt, "backend_calls"),
    (Count::HeldUp, "held_up"),
    (Count::LeftUnread, "left_unread"),
    (Count::AcceptError, "accept_errors"),
];

/// All that is counted. Each count is raised in one place, where the thing happens.
pub struct Metrics {
    classes: Vec<(String, Calls)>,
    /// Answers that were passed on and not to their end, by [`Cut`].
    cuts: [AtomicU64; CUTS.len()],
    /// By [`Count`].
    counts: [AtomicU64; COUNTS.len()],
    inflight: AtomicU64,
}

impl Metrics {
    pub fn new(classes: &[String]) -> Arc<Metrics> {
        let classes = classes.iter().map(|name| (name.clone(), Calls::default())).collect();
        let (cuts, counts, inflight) = Default::default();
        Arc::new(Metrics { classes, cuts, counts, inflight })
    }

    /// A request of this class has been taken.
    pub fn take(self: &Arc<Self>, class: usize) -> Ticket {
        self.inflight.fetch_add(1, Ordering::Relaxed);
        Ticket { metrics: self.clone(), class, ending: Ending::Failure }
    }

    pub fn count(&self, what: Count) {
        self.counts[what as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// An answer has been cut while it was passed on.
    pub fn count_cut(&self, cut: Cut) {
        self.cuts[cut as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The figures as operators read them: `name:value|c` for a count, `|g` for what is now.
    pub fn text(&self, hosts: Hosts) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{PREFIX}.{name}:{value}|{kind}");
        };
        for (class, calls) in &self.classes {
            for ((_, name), count) in ENDINGS.iter().zip(&calls.0) {
                line(&format!("calls.{class}.{name}"), count.load(Ordering::Relaxed), 'c');
            }
        }
        for ((_, name), count) in COUNTS.iter().zip(&self.counts) {
            line(name, count.load(Ordering::Relaxed), 'c');
        }
        for ((_, name), count) in CUTS.iter().zip(&self.cuts) {
            line(&format!("answers_cut.{name}"), count.load(Ordering::Relaxed), 'c');
        }
        line("inflight", self.inflight.load(Ordering::Relaxed), 'g');
        line("hosts_listed", hosts.listed as u64, 'g');
        line("hosts_down", hosts.avoided as u64, 'g');
        text
    }
}

/// Held by a request from when it is taken until it has ended: it is in flight for so long, and then counted
/// under one ending. One that nobody has told of has failed.
pub struct Ticket {
    metrics: Arc<Metrics>,
    class: usize,
    ending: Ending,
}

impl Ticket {
    pub fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.metrics.inflight.fetch_sub(1, Ordering::Relaxed);
        if let Some((_, Calls(counts))) = self.metrics.classes.get(self.class) {
            counts[self.ending as usize].fetch_add(1, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_request_is_in_flight_and_then_counted_under_one_ending() {
        let metrics = Metrics::new(&["pay".into(), "look".into()]);
        let tickets = [0, 0, 1, 1].map(|class| metrics.take(class));
        let hosts = Hosts { listed: 7, avoided: 2 };
        assert!(metrics.text(hosts).contains("edge_balancer.inflight:4|g\n"));
        for (ticket, ending) in
            tickets.into_iter().zip([Some(Ending::Success), Some(Ending::Busy), Some(Ending::Success), None])
        {
            match ending {
                Some(ending) => ticket.end(ending),
                None => drop(ticket),
            }
        }
        COUNTS.iter().for_each(|(what, _)| metrics.count(*what));
        CUTS.iter().for_each(|(cut, _)| metrics.count_cut(*cut));
        metrics.count_cut(Cut::Silent);
        let expected = "edge_balancer.calls.pay.success:1|c\nedge_balancer.calls.pay.busy:1|c\n\
            edge_balancer.calls.pay.failure:0|c\nedge_balancer.calls.look.success:1|c\n\
            edge_balancer.calls.look.busy:0|c\nedge_balancer.calls.look.failure:1|c\n\
            edge_balancer.backend_calls:1|c\nedge_balancer.held_up:1|c\n\
            edge_balancer.left_unread:1|c\nedge_balancer.accept_errors:1|c\n\
            edge_balancer.answers_cut.broken:1|c\n\
            edge_balancer.answers_cut.silent:2|c\nedge_balancer.answers_cut.too_long:1|c\n\
            edge_balancer.inflight:0|g\n\
            edge_balancer.hosts_listed:7|g\nedge_balancer.hosts_down:2|g\n";
        assert_eq!(metrics.text(hosts), expected);
    }
}
