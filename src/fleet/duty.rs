//! Duties that one process has at a time: the service's table of leases with fencing tokens, and the holder's side
//! of a lease as a state machine.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A lease's time to live, in ms, if none is asked for: two renewals can fail before its holder stops.
pub const TTL_MS: u64 = 3_000;
/// Bounds of a lease's time to live, in ms. Under half a second the margins below leave too little of it; over a
/// minute a duty whose holder died rests for too long.
const TTL_BOUNDS_MS: std::ops::RangeInclusive<u64> = 500..=60_000;
/// The longest names of a duty and a holder, in bytes, and the most duties: there are a handful.
const MOST_NAME: usize = 64;
const MOST_HOLDER: usize = 128;
const MOST_DUTIES: usize = 64;
/// The part of its time to live, in percent, that the holder counts on: two clocks may differ by 5 % in their speed.
const COUNTED_PERCENT: u64 = 95;
/// What the holder leaves for its own scheduling, in ms.
const MARGIN_MS: u64 = 100;
/// The bound of the wait after a failed call, in ms: it doubles from the first to the last.
const BACKOFF_MS: (u64, u64) = (100, 5_000);

/// A granted duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The fencing token: higher than that of any grant before it.
    pub token: u64,
    /// How long it holds from its application, in ms.
    pub ttl_ms: u64,
}

/// Why the table refuses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error, Serialize, Deserialize)]
pub enum DutyError {
    /// Another has it.
    #[error("held by {holder}")]
    Held {
        /// Who has it.
        holder: String,
    },
    /// The token is not the duty's present one.
    #[error("{token} is not the present token of the duty")]
    Stale {
        /// The token shown.
        token: u64,
    },
    /// A name or time out of bounds.
    #[error("{0} is out of bounds")]
    Malformed(Part),
    /// There are as many duties as there may be.
    #[error("{MOST_DUTIES} duties are held already")]
    Full,
}

/// The part of a request for a duty that is out of bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Part {
    /// The duty's name: 1 to 64 letters, digits, `-`, `_` and `.`.
    Name,
    /// The holder's name: 1 to 128 bytes.
    Holder,
    /// The time to live: half a second to a minute.
    Ttl,
}

impl std::fmt::Display for Part {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Part::Name => "the duty's name",
            Part::Holder => "holder",
            Part::Ttl => "ttl_ms",
        })
    }
}

/// A duty's lease as the service holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Who has the duty.
    pub holder: String,
    /// The fencing token of the grant.
    pub token: u64,
    ttl_ms: u64,
    /// When it lapses without another renewal, by the service's clock.
    deadline_ms: u64,
}

/// The duties that are held. A lease whose time is over stays present until [`DutyTable::lapse`] ends it or
/// another takes it: until then nobody else can have acted, so its token still counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DutyTable {
    leases: BTreeMap<String, Lease>,
}

impl DutyTable {
    /// Checks a request by its form alone.
    ///
    /// # Errors
    /// [`DutyError::Malformed`].
    pub fn check(name: &str, holder: &str, ttl_ms: u64) -> Result<(), DutyError> {
        let letter = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        if name.is_empty() || name.len() > MOST_NAME || !name.bytes().all(letter) {
            return Err(DutyError::Malformed(Part::Name));
        }
        if holder.is_empty() || holder.len() > MOST_HOLDER {
            return Err(DutyError::Malformed(Part::Holder));
        }
        if !TTL_BOUNDS_MS.contains(&ttl_ms) {
            return Err(DutyError::Malformed(Part::Ttl));
        }
        Ok(())
    }

    /// Grants a duty that is free or lapsed at `now_ms`, with `log_index` as its token; for its holder it begins
    /// the lease anew and keeps the token. `log_index` has to grow from call to call.
    ///
    /// # Errors
    /// [`DutyError::Held`], [`DutyError::Malformed`], [`DutyError::Full`]. None of them changes anything.
    pub fn grant(
        &mut self, name: &str, holder: &str, ttl_ms: u64, now_ms: u64, log_index: u64,
    ) -> Result<Grant, DutyError> {
        DutyTable::check(name, holder, ttl_ms)?;
        if let Some(lease) = self.leases.get_mut(name).filter(|lease| now_ms < lease.deadline_ms) {
            if lease.holder != holder {
                return Err(DutyError::Held { holder: lease.holder.clone() });
            }
            // A renewal never shortens what an earlier one promised.
            lease.deadline_ms = lease.deadline_ms.max(now_ms + ttl_ms);
            lease.ttl_ms = ttl_ms;
            return Ok(Grant { token: lease.token, ttl_ms });
        }
        if !self.leases.contains_key(name) && self.leases.len() >= MOST_DUTIES {
            return Err(DutyError::Full);
        }
        let lease =
            Lease { holder: holder.to_owned(), token: log_index, ttl_ms, deadline_ms: now_ms + ttl_ms };
        self.leases.insert(name.to_owned(), lease);
        Ok(Grant { token: log_index, ttl_ms })
    }

    /// Frees a duty for its holder.
    ///
    /// # Errors
    /// [`DutyError::Stale`] where the token is not the present one.
    pub fn release(&mut self, name: &str, token: u64) -> Result<(), DutyError> {
        self.fence(name, token)?;
        self.leases.remove(name);
        Ok(())
    }

    /// Lets what carries a token through only while it is the duty's present one.
    ///
    /// # Errors
    /// [`DutyError::Stale`].
    pub fn fence(&self, name: &str, token: u64) -> Result<(), DutyError> {
        if self.token_holds(name, token) { Ok(()) } else { Err(DutyError::Stale { token }) }
    }

    /// Whether this is the token of the duty's present lease: neither released nor lapsed and ended since.
    pub fn token_holds(&self, name: &str, token: u64) -> bool {
        self.leases.get(name).is_some_and(|lease| lease.token == token)
    }

    /// The present lease of a duty, if it is held.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// Whether some lease's time is over, so that [`DutyTable::lapse`] would end it.
    pub fn due(&self, now_ms: u64) -> bool {
        self.leases.values().any(|lease| now_ms >= lease.deadline_ms)
    }

    /// Ends the leases whose time is over. Answers whether there were any.
    pub fn lapse(&mut self, now_ms: u64) -> bool {
        let before = self.leases.len();
        self.leases.retain(|_, lease| now_ms < lease.deadline_ms);
        self.leases.len() < before
    }

    /// Begins every lease anew on another clock: a new leader can't know how much of each went by.
    pub fn renew_all(&mut self, now_ms: u64) {
        for lease in self.leases.values_mut() {
            lease.deadline_ms = now_ms + lease.ttl_ms;
        }
    }
}

/// Why a request for a duty did not end in a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Another has it.
    Held,
    /// No answer, or one that says nothing about the duty. It may be granted all the same.
    Failed,
}

/// What a [`Runner`] wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Ask for the duty, or renew it: the same request. Its end goes to [`Runner::answered`].
    Ask,
    /// Nothing before this time, in ms.
    Wait {
        /// When to poll again.
        until: u64,
    },
    /// Watch the duty, and call [`Runner::freed`] when nobody has it any more.
    Watch,
    /// Release this token. It is said once: where the call fails, the lease lapses.
    Release {
        /// The token to release.
        token: u64,
    },
    /// Nothing more, after a drain.
    Done,
}

/// A lease as its holder counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Hold {
    token: u64,
    until: u64,
}

/// The holder's side of a duty. It counts a lease from the moment that it asked, by its own clock, and stops
/// before the service can have given the duty to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Runner {
    ttl_ms: u64,
    seed: u64,
    hold: Option<Hold>,
    /// When to ask next; `None` while another has the duty and the watch is to tell when it is free.
    ask_at: Option<u64>,
    /// When the last request was sent, until it has an answer.
    asked: Option<u64>,
    bound_ms: u64,
    draining: bool,
}

impl Runner {
    /// A candidate that asks at its first poll. `ttl_ms` is what it asks for each time; `seed` is that of its jitter.
    pub fn new(ttl_ms: u64, seed: u64) -> Runner {
        let (ask_at, bound_ms) = (Some(0), BACKOFF_MS.0);
        Runner { ttl_ms, seed, hold: None, ask_at, asked: None, bound_ms, draining: false }
    }

    /// What to do at `now`. A request is to be sent at once: the lease is counted from this moment.
    pub fn poll(&mut self, now: u64) -> Step {
        if self.draining {
            return self.hold.take().map_or(Step::Done, |hold| Step::Release { token: hold.token });
        }
        if self.hold.is_some_and(|hold| now >= hold.until) {
            self.hold = None;
        }
        match self.ask_at {
            None => Step::Watch,
            Some(at) if now < at => Step::Wait { until: at },
            Some(_) => {
                // Where no answer comes, it asks again by then.
                self.ask_at = Some(now + self.ttl_ms / 3);
                self.asked = Some(now);
                Step::Ask
            }
        }
    }

    /// Takes the end of the request sent at `sent`. A grant counts from its own sending, however late or often it
    /// comes; a refusal only once and as the end of the last request, since an older one says nothing of now.
    pub fn answered(&mut self, sent: u64, now: u64, answer: Result<Grant, Refusal>) {
        let last = self.asked == Some(sent);
        if last {
            self.asked = None;
        }
        match answer {
            Ok(grant) => {
                let until = (sent + grant.ttl_ms * COUNTED_PERCENT / 100).saturating_sub(MARGIN_MS);
                if self.hold.is_none_or(|hold| (hold.token, hold.until) < (grant.token, until)) {
                    self.hold = Some(Hold { token: grant.token, until });
                }
                // A late answer does not bring the next request forward.
                self.ask_at = self.ask_at.max(Some(sent + self.ttl_ms / 3));
                self.bound_ms = BACKOFF_MS.0;
            }
            Err(Refusal::Held) if last => self.ask_at = None,
            Err(Refusal::Failed) if last => self.ask_at = Some(now + self.backoff()),
            Err(_) => {}
        }
    }

    /// Takes the watch's news at `now` that nobody has the duty. Every candidate hears it at once: each waits its
    /// own random time.
    pub fn freed(&mut self, now: u64) {
        if self.ask_at.is_none() {
            self.ask_at = Some(now + self.backoff());
        }
    }

    /// The token to act with at `now`, while it may act.
    pub fn may_act(&self, now: u64) -> Option<u64> {
        self.hold.filter(|hold| now < hold.until && !self.draining).map(|hold| hold.token)
    }

    /// Stops acting for good; the next poll releases what is held.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Full jitter under a bound that doubles. A holder comes back within a third of its time whatever the bound.
    fn backoff(&mut self) -> u64 {
        let most = if self.hold.is_some() { self.bound_ms.min(self.ttl_ms / 3) } else { self.bound_ms };
        self.bound_ms = (self.bound_ms * 2).min(BACKOFF_MS.1);
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let wait = rng.u64(0..=most);
        self.seed = rng.get_seed();
        wait
    }
}

#[cfg(test)]
#[path = "duty_tests.rs"]
mod tests;
