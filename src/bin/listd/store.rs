//! The list and its revisions: entries, tombstones, leases and compaction. No I/O and no clock: each write that
//! depends on time is given it, in milliseconds of the service's own monotonic clock.

use crate::fleet::{FleetAnswer, FleetError, FleetRequest, FleetState, Place};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The longest id that an entry may have, in bytes. Ids are short names; a longer one is a client's mistake.
const MAX_ID: usize = 256;
/// The longest text of a zone or kind, in bytes, for the same reason.
const MAX_NAME: usize = 128;
/// Bounds of a lease's time to live, in ms. Under 100 ms a heartbeat can't keep up with a loaded loopback; over
/// ten minutes an entry whose owner died stays for too long.
pub const MIN_TTL_MS: u64 = 100;
pub const MAX_TTL_MS: u64 = 600_000;

/// An entry's phase, as discovery's list names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Ready,
    Terminating,
    /// Only a tombstone has it.
    Gone,
}

/// One line of discovery's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    pub id: String,
    pub host_port: String,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub cell: u16,
    pub phase: Phase,
    #[serde(default = "one")]
    pub size: f64,
    /// Unix time in ms when the upstream last started; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// A write to the store. In a replicated service these are the log's entries, so each carries the time it was
/// proposed at and every instance applies it alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts an entry; with a TTL in ms it is held by a lease.
    Put { member: Member, ttl_ms: Option<u64>, now_ms: u64 },
    /// A heartbeat of the lease of an entry.
    Beat { id: String, now_ms: u64 },
    /// Tombstones an entry at once.
    Delete { id: String },
    /// Tombstones the entries whose lease lapsed more than the grace ago, and frees the duties whose lease lapsed.
    Expire { now_ms: u64 },
    /// Every lease begins a new TTL: after a restart or a change of leader, whose clock is not the one that the
    /// deadlines were set by, and while heartbeats could not reach the service.
    RenewAll { now_ms: u64 },
    /// A write to the control plane's state, with the time of the day in Unix ms besides.
    Fleet { request: FleetRequest, now_ms: u64, unix_ms: u64 },
}

/// What a write did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The revision after the write.
    pub revision: u64,
    /// Whether the write changed anything seen by a reader (and so bumped the revision).
    pub changed: bool,
    /// What a write to the control plane's state did.
    pub fleet: Option<FleetAnswer>,
}

/// What a write did, and the entries it wrote and dropped, for the disk to follow.
#[derive(Debug, PartialEq, Eq)]
pub struct Applied {
    pub outcome: Outcome,
    pub written: Vec<String>,
    pub dropped: Vec<String>,
    /// Whether the control plane's state may have changed.
    pub fleet: bool,
}

impl Applied {
    /// A write that changed nothing.
    pub fn nothing(revision: u64) -> Applied {
        let outcome = Outcome { revision, changed: false, fleet: None };
        Applied { outcome, written: Vec::new(), dropped: Vec::new(), fleet: false }
    }
}

/// The part of an entry that can't be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Field {
    Id,
    HostPort,
    Names,
    Phase,
    Size,
    Ttl,
}

impl std::fmt::Display for Field {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = match self {
            Field::Id => "id",
            Field::HostPort => "host_port",
            Field::Names => "locality or flavor",
            Field::Phase => "phase",
            Field::Size => "size",
            Field::Ttl => "ttl_ms",
        };
        f.write_str(name)
    }
}

/// Why a write or read is refused. Replicated as a write's answer, so it has a serial form.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum StoreError {
    #[error("the entry is malformed: {0}")]
    Malformed(Field),
    #[error("no such entry or lease")]
    Unknown,
    #[error("the list is full: {0} entries")]
    Full(usize),
    #[error("revision {asked} is from the future: the store is at {current}")]
    Future { asked: u64, current: u64 },
    #[error(transparent)]
    Fleet(#[from] FleetError),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Lease {
    ttl_ms: u64,
    /// When the lease lapses without another beat.
    deadline_ms: u64,
}

/// An entry as held: the line, the revision that last changed it, and its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    member: Member,
    modified: u64,
    lease: Option<Lease>,
}

/// What a read answers: the revision it reflects and the lines, whole or changed since the revision asked for.
#[derive(Debug, PartialEq, Serialize)]
pub struct Answer<'a> {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<&'a Member>,
}

/// How the store is bounded and how long what lapsed is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Revisions of tombstones that are kept for watchers behind.
    pub retain: u64,
    /// How long an entry stays after its lease lapsed, in ms.
    pub grace_ms: u64,
    /// The most entries, tombstones included.
    pub max_entries: usize,
}

/// The whole state: what a snapshot holds and what is kept on disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Store {
    revision: u64,
    /// Changes after this revision are all known; a watcher behind it gets the whole list.
    horizon: u64,
    entries: BTreeMap<String, Held>,
    limits: Limits,
    #[serde(default)]
    fleet: FleetState,
}

impl Store {
    pub fn new(limits: Limits) -> Store {
        Store { revision: 0, horizon: 0, entries: BTreeMap::new(), limits, fleet: FleetState::default() }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The control plane's state.
    pub fn fleet(&self) -> &FleetState {
        &self.fleet
    }

    /// The whole list, without tombstones.
    pub fn whole(&self) -> Answer<'_> {
        let members = self.entries.values().filter(|held| held.member.phase != Phase::Gone);
        Answer {
            revision: self.revision,
            complete: true,
            members: members.map(|held| &held.member).collect(),
        }
    }

    /// What changed after `revision`, tombstones included; the whole list where that is behind the horizon.
    ///
    /// # Errors
    /// [`StoreError::Future`] for a revision past the store's: no reader can have seen it.
    pub fn since(&self, revision: u64) -> Result<Answer<'_>, StoreError> {
        if revision > self.revision {
            return Err(StoreError::Future { asked: revision, current: self.revision });
        }
        if revision < self.horizon {
            return Ok(self.whole());
        }
        let changed = self.entries.values().filter(|held| held.modified > revision);
        Ok(Answer {
            revision: self.revision,
            complete: false,
            members: changed.map(|held| &held.member).collect(),
        })
    }

    /// Whether some lease of an entry past its grace or of a duty has lapsed by `now_ms`, so that an [`Command::Expire`] would change
    /// something.
    pub fn due(&self, now_ms: u64) -> bool {
        self.fleet.due(now_ms) || self.entries.values().any(|held| lapsed(held, self.limits.grace_ms, now_ms))
    }

    /// Checks a command without applying it, so that what is refused never reaches a replicated log.
    ///
    /// # Errors
    /// As [`Store::apply`].
    pub fn check(&self, command: &Command) -> Result<(), StoreError> {
        match command {
            Command::Put { member, ttl_ms, .. } => {
                check_member(member)?;
                if ttl_ms.is_some_and(|ttl| !(MIN_TTL_MS..=MAX_TTL_MS).contains(&ttl)) {
                    return Err(StoreError::Malformed(Field::Ttl));
                }
                if !self.entries.contains_key(&member.id) && self.entries.len() >= self.limits.max_entries {
                    return Err(StoreError::Full(self.limits.max_entries));
                }
                Ok(())
            }
            Command::Beat { id, .. } => match self.entries.get(id) {
                Some(Held { lease: Some(_), .. }) => Ok(()),
                _ => Err(StoreError::Unknown),
            },
            Command::Delete { id } => match self.entries.get(id) {
                Some(held) if held.member.phase != Phase::Gone => Ok(()),
                _ => Err(StoreError::Unknown),
            },
            Command::Expire { .. } | Command::RenewAll { .. } => Ok(()),
            Command::Fleet { request, .. } => Ok(FleetState::check(request)?),
        }
    }

    /// Applies a command that stands at `at` in the log. Every instance of a replicated service applies the same commands in the same order, and
    /// ends with the same store.
    ///
    /// # Errors
    /// [`StoreError::Malformed`] for an entry that can't be served, [`StoreError::Full`] where the list has no
    /// room, [`StoreError::Unknown`] for a beat or a delete of what is not there, [`StoreError::Fleet`]. None of
    /// them changes anything.
    pub fn apply(&mut self, command: &Command, at: Place) -> Result<Applied, StoreError> {
        self.check(command)?;
        let next = self.revision + 1;
        let (mut written, mut answer) = (Vec::new(), None);
        let changed = match command {
            Command::Put { member, ttl_ms, now_ms } => {
                let lease = ttl_ms.map(|ttl_ms| Lease { ttl_ms, deadline_ms: now_ms + ttl_ms });
                let changed = self.entries.get(&member.id).is_none_or(|held| held.member != *member);
                let modified = if changed { next } else { self.entries[&member.id].modified };
                self.entries.insert(member.id.clone(), Held { member: member.clone(), modified, lease });
                written.push(member.id.clone());
                changed
            }
            Command::Beat { id, now_ms } => {
                if let Some(lease) = self.entries.get_mut(id).and_then(|held| held.lease.as_mut()) {
                    lease.deadline_ms = lease.deadline_ms.max(now_ms + lease.ttl_ms);
                }
                // Deadlines are not kept on disk: a restart renews them all.
                false
            }
            Command::Delete { id } => {
                if let Some(held) = self.entries.get_mut(id) {
                    tombstone(held, next);
                    written.push(id.clone());
                }
                true
            }
            Command::Expire { now_ms } => {
                self.fleet.expire(*now_ms, at);
                let grace = self.limits.grace_ms;
                for (id, held) in &mut self.entries {
                    if lapsed(held, grace, *now_ms) {
                        tombstone(held, next);
                        written.push(id.clone());
                    }
                }
                !written.is_empty()
            }
            Command::RenewAll { now_ms } => {
                self.renew_all(*now_ms);
                self.fleet.renew_all(*now_ms, at);
                false
            }
            Command::Fleet { request, now_ms, unix_ms } => {
                answer = Some(self.fleet.apply(request, *now_ms, *unix_ms, at)?);
                false
            }
        };
        let dropped = if changed {
            self.revision = next;
            self.compact()
        } else {
            Vec::new()
        };
        let fleet =
            matches!(command, Command::Fleet { .. } | Command::Expire { .. } | Command::RenewAll { .. });
        let outcome = Outcome { revision: self.revision, changed, fleet: answer };
        Ok(Applied { outcome, written, dropped, fleet })
    }

    /// Drops the tombstones that are older than the retained window, and moves the horizon past them. Answers
    /// the ids dropped.
    fn compact(&mut self) -> Vec<String> {
        let horizon = self.revision.saturating_sub(self.limits.retain);
        if horizon <= self.horizon {
            return Vec::new();
        }
        self.horizon = horizon;
        let old = |held: &Held| held.member.phase == Phase::Gone && held.modified <= horizon;
        let dropped: Vec<String> =
            self.entries.iter().filter(|(_, held)| old(held)).map(|(id, _)| id.clone()).collect();
        dropped.iter().for_each(|id| {
            self.entries.remove(id);
        });
        dropped
    }

    /// Every entry in its held form, tombstones too, for the disk.
    pub fn all(&self) -> impl Iterator<Item = (&str, &Held)> {
        self.entries.iter().map(|(id, held)| (id.as_str(), held))
    }

    /// The held form of an entry, for the disk.
    pub fn held(&self, id: &str) -> Option<&Held> {
        self.entries.get(id)
    }

    /// The revision and horizon, for the disk.
    pub fn marks(&self) -> (u64, u64) {
        (self.revision, self.horizon)
    }

    /// A store as the disk had it. Every lease of an entry begins a new TTL at `now_ms`, since their deadlines are
    /// not kept there. Those of duties are, so that every instance grants and frees them alike.
    pub fn restore(
        limits: Limits, marks: (u64, u64), entries: Vec<Held>, fleet: FleetState, now_ms: u64,
    ) -> Store {
        let mut store = Store { fleet, ..Store::new(limits) };
        (store.revision, store.horizon) = marks;
        store.entries = entries.into_iter().map(|held| (held.member.id.clone(), held)).collect();
        store.renew_all(now_ms);
        store
    }

    fn renew_all(&mut self, now_ms: u64) {
        for lease in self.entries.values_mut().filter_map(|held| held.lease.as_mut()) {
            lease.deadline_ms = now_ms + lease.ttl_ms;
        }
    }
}

/// Whether the lease of `held` lapsed more than `grace_ms` before `now_ms`. An entry without a lease never lapses.
fn lapsed(held: &Held, grace_ms: u64, now_ms: u64) -> bool {
    held.lease.as_ref().is_some_and(|lease| now_ms > lease.deadline_ms + grace_ms)
}

fn tombstone(held: &mut Held, revision: u64) {
    held.member.phase = Phase::Gone;
    held.modified = revision;
    held.lease = None;
}

fn check_member(member: &Member) -> Result<(), StoreError> {
    let id_ok = !member.id.is_empty() && member.id.len() <= MAX_ID && !member.id.contains(['/', '?', '#']);
    if !id_ok {
        return Err(StoreError::Malformed(Field::Id));
    }
    if member.host_port.parse::<SocketAddr>().is_err() {
        return Err(StoreError::Malformed(Field::HostPort));
    }
    if member.locality.len() > MAX_NAME || member.flavor.len() > MAX_NAME {
        return Err(StoreError::Malformed(Field::Names));
    }
    if member.phase == Phase::Gone {
        return Err(StoreError::Malformed(Field::Phase));
    }
    if !member.size.is_finite() || member.size < 0.0 {
        return Err(StoreError::Malformed(Field::Size));
    }
    Ok(())
}

#[cfg(test)]
#[path = "store_tests.rs"]
mod tests;
