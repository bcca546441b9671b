//! The figures of an instance, in the text form of OpenMetrics.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The form's name in HTTP.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A quorum holds it.
    Committed,
    /// The store refused it, and nothing changed.
    Refused,
    /// Another instance leads.
    NotLeader,
    /// No quorum confirmed it; it may be committed later.
    Open,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Write {
    ending: &'static str,
}

/// What is so at the moment of a call.
pub struct Now {
    pub revision: u64,
    /// The lines of the list, without tombstones.
    pub entries: usize,
    pub term: u64,
    /// The id of the leader, where one is known.
    pub leader: Option<u64>,
    /// Whether the instance was in touch with a quorum lately, and serves the list.
    pub in_touch: bool,
}

/// All figures. Counts run from the start of the process, each raised in one place, where the thing happens.
pub struct Metrics {
    registry: Registry,
    writes: Family<Write, Counter>,
    watchers: Gauge,
    revision: Gauge,
    entries: Gauge,
    term: Gauge,
    leader: Gauge,
    in_touch: Gauge,
}

/// Held by a watch from its call to its answer, or until its caller has left.
pub struct Watching(Gauge);

impl Drop for Watching {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Metrics {
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("listd");
        let writes = Family::default();
        registry.register("writes", "Writes by how they ended", writes.clone());
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Metrics {
            writes,
            watchers: gauge("watchers", "Watches that wait for a change"),
            revision: gauge("revision", "The list's revision as applied here"),
            entries: gauge("entries", "Lines of the list, without tombstones"),
            term: gauge("raft_term", "Raft's term"),
            leader: gauge("raft_leader", "The id of the leader as known here, 0 for none"),
            in_touch: gauge("in_touch", "1 while in touch with a quorum, and serving the list"),
            registry,
        }
    }

    /// A write has ended so.
    pub fn count(&self, ending: Ending) {
        let ending = match ending {
            Ending::Committed => "committed",
            Ending::Refused => "refused",
            Ending::NotLeader => "not_leader",
            Ending::Open => "open",
        };
        self.writes.get_or_create(&Write { ending }).inc();
    }

    /// A watch waits.
    pub fn watch(&self) -> Watching {
        self.watchers.inc();
        Watching(self.watchers.clone())
    }

    /// The figures with those of the moment.
    pub fn text(&self, now: &Now) -> String {
        // No figure comes near the bound.
        let set = |gauge: &Gauge, value: u64| gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        set(&self.revision, now.revision);
        set(&self.entries, now.entries as u64);
        set(&self.term, now.term);
        set(&self.leader, now.leader.unwrap_or(0));
        set(&self.in_touch, now.in_touch.into());
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
