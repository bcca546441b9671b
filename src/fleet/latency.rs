//! Latencies that add up: counts by the buckets of an `hdrhistogram`. Only buckets with a count are held, since a
//! histogram itself takes 20 KB, and a planner holds one for each tenant and site of each sidecar.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::sync::LazyLock;

/// Two significant digits, of microseconds up to a little over a minute: what is slower is as bad.
const DIGITS: u8 = 2;
const MOST_US: u64 = 67_108_863;
/// The most buckets that the sparse form may have: more than the histogram has between 1 µs and a minute.
const MOST_BUCKETS: usize = 4_096;
/// Tells the buckets apart; it counts nothing. The bounds are constants that the histogram allows.
static BUCKETS: LazyLock<Histogram<u64>> = LazyLock::new(|| {
    Histogram::new_with_max(MOST_US, DIGITS).unwrap_or_else(|_| unreachable!("constant bounds"))
});

/// Counts of answers by latency. On the wire: pairs of a bucket's latency in µs and its count.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct Latencies(Vec<(u64, u64)>);

/// A sparse form that is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a latency of 0 or over a minute, a count over 2^32, or too many buckets")]
pub struct LatenciesError;

impl Latencies {
    /// Counts one answer that took so many milliseconds.
    pub fn record(&mut self, ms: f64) {
        // The cast saturates, and takes what is no number as 0.
        self.add(((ms * 1e3) as u64).clamp(1, MOST_US), 1);
    }

    /// Adds another's counts.
    pub fn merge(&mut self, other: &Latencies) {
        other.0.iter().for_each(|&(us, count)| self.add(us, count));
    }

    fn add(&mut self, us: u64, count: u64) {
        let top = BUCKETS.highest_equivalent(us);
        match self.0.binary_search_by_key(&top, |bucket| bucket.0) {
            Ok(at) => self.0[at].1 = self.0[at].1.saturating_add(count),
            Err(at) => self.0.insert(at, (top, count)),
        }
    }

    /// Answers counted.
    pub fn count(&self) -> u64 {
        self.0.iter().fold(0, |sum, bucket| sum.saturating_add(bucket.1))
    }

    /// The latency in ms that this percentage of the answers stay within; `None` without answers.
    pub fn percentile(&self, percentile: f64) -> Option<f64> {
        let rank = (self.count() as f64 * percentile / 100.0).ceil().max(1.0);
        let mut sum = 0.0;
        let reached = self.0.iter().find(|bucket| {
            sum += bucket.1 as f64;
            sum >= rank
        });
        reached.or(self.0.last()).map(|bucket| bucket.0 as f64 / 1e3)
    }

    /// The share of the answers that took at most so many ms, from 0 to 1; `None` without answers.
    pub fn share_within(&self, ms: f64) -> Option<f64> {
        let most = BUCKETS.highest_equivalent(((ms * 1e3) as u64).min(MOST_US));
        let within = self.0.iter().filter(|bucket| bucket.0 <= most).map(|bucket| bucket.1);
        let within = within.fold(0, u64::saturating_add);
        (self.count() > 0).then(|| within as f64 / self.count() as f64)
    }
}

impl From<Latencies> for Vec<(u64, u64)> {
    fn from(latencies: Latencies) -> Vec<(u64, u64)> {
        latencies.0
    }
}

impl TryFrom<Vec<(u64, u64)>> for Latencies {
    type Error = LatenciesError;

    fn try_from(buckets: Vec<(u64, u64)>) -> Result<Latencies, LatenciesError> {
        let good = |&(us, count): &(u64, u64)| (1..=MOST_US).contains(&us) && count <= u64::from(u32::MAX);
        if buckets.len() > MOST_BUCKETS || !buckets.iter().all(good) {
            return Err(LatenciesError);
        }
        let mut latencies = Latencies::default();
        // An empty bucket is none.
        buckets.into_iter().filter(|bucket| bucket.1 > 0).for_each(|(us, count)| latencies.add(us, count));
        Ok(latencies)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_survive_the_wire_and_add_up() {
        let mut all = Latencies::default();
        assert_eq!((all.percentile(50.0), all.share_within(1.0)), (None, None));
        for part in [1.0..50.0, 50.0..101.0] {
            let mut one = Latencies::default();
            let mut ms = part.start;
            while ms < part.end {
                one.record(ms);
                ms += 1.0;
            }
            let text = serde_json::to_string(&one).expect("JSON");
            let read: Latencies = serde_json::from_str(&text).expect("the same form");
            assert_eq!(read, one);
            all.merge(&read);
        }
        assert_eq!(all.count(), 100);
        let (median, within) = (all.percentile(50.0).expect("some"), all.share_within(90.0).expect("some"));
        assert!((49.0..=51.5).contains(&median) && (0.88..=0.92).contains(&within), "{median} {within}");
        all.record(f64::INFINITY);
        assert!(all.percentile(100.0).is_some_and(|most| most > 60_000.0));
    }

    #[test]
    fn a_spoilt_sparse_form_is_refused() {
        for text in ["[[0,1]]", "[[100000000,1]]", "[[5,99999999999]]", "[[5,-1]]", "{}"] {
            assert!(serde_json::from_str::<Latencies>(text).is_err(), "{text}");
        }
    }
}
