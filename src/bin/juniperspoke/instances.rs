//! The instances of a replicated service, asked in turn.

use std::net::SocketAddr;
use std::time::Duration;

/// From one failed call's begin to the next call, half of it by lot, within a bound that doubles from the first to
/// the last: sidecars that lost the service come back spread over time, not in one wave.
const BACKOFF: Duration = Duration::from_millis(100);
/// What the service has to tell counts as told 6 s after it could be reached. In that time each instance may fail, or
/// say that it counts anew, and one more call has to be answered; so the last bound is this by their number and one,
/// but no less than two calls a second allow.
const ROUND: Duration = Duration::from_millis(5_500);
const BACKOFF_LAST: std::ops::RangeInclusive<Duration> = Duration::from_millis(800)..=Duration::from_secs(2);

/// The instances of a replicated service and the one that is asked now: the next one after a failure. Each sidecar
/// begins at a random one, so that the fleet's calls are spread.
pub struct Instances {
    all: Vec<SocketAddr>,
    at: usize,
    rng: fastrand::Rng,
    backoff: Duration,
}

impl Instances {
    /// `None` where there are none.
    pub fn new(all: Vec<SocketAddr>, seed: u64) -> Option<Instances> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let at = rng.usize(..all.len().max(1));
        (!all.is_empty()).then_some(Instances { all, at, rng, backoff: BACKOFF })
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }

    pub fn current(&self) -> SocketAddr {
        self.all[self.at]
    }

    /// The current one has answered: the next failure is a first one.
    pub fn answered(&mut self) {
        self.backoff = BACKOFF;
    }

    /// Has no call been answered since one failed?
    pub fn is_failing(&self) -> bool {
        self.backoff > BACKOFF
    }

    /// Moves to the next instance and answers how long to wait before asking it, after a call that took so long. One
    /// that took its time has been a wait itself; what is left then is still by lot.
    pub fn failed(&mut self, took: Duration) -> Duration {
        self.at = (self.at + 1) % self.all.len();
        let (pace, least) = (self.backoff.mul_f64((1.0 + self.rng.f64()) / 2.0), self.rng.f64());
        let last = ROUND / (self.all.len() as u32 + 1);
        self.backoff = (self.backoff * 2).min(last.clamp(*BACKOFF_LAST.start(), *BACKOFF_LAST.end()));
        pace.saturating_sub(took).max(BACKOFF.mul_f64(least))
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;

    /// So many instances that nobody listens for.
    pub fn peers(count: u16) -> Vec<SocketAddr> {
        (1..=count).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect()
    }

    /// 300 sidecars lose the service at once, and each asks the next instance after its backoff; every call
    /// fails. Their calls come spread: from the third second on, at most one for each sidecar in any second and a
    /// fifth of the fleet in any tenth of one, where without jitter all 300 would come at the same instants. With
    /// more instances there are more calls, two for each sidecar in a second at most.
    #[test]
    fn a_fleet_that_lost_the_service_comes_back_spread_over_time() {
        const FLEET: u64 = 300;
        for (count, most) in [(1, FLEET), (2, FLEET), (3, FLEET * 2), (5, FLEET * 2), (9, FLEET * 2)] {
            let mut calls_per_tenth = vec![0_u64; 200];
            for seed in 0..FLEET {
                let mut instances = Instances::new(peers(count), seed).expect("peers");
                let mut at = Duration::ZERO;
                while let Some(count) = calls_per_tenth.get_mut(at.as_millis() as usize / 100) {
                    *count += 1;
                    at += instances.failed(Duration::ZERO);
                }
            }
            let late = &calls_per_tenth[30..];
            let most_in_a_second = late.windows(10).map(|second| second.iter().sum::<u64>()).max();
            assert!(most_in_a_second.is_some_and(|seen| seen <= most), "{count}: {most_in_a_second:?}");
            assert!(late.iter().all(|&tenth| tenth <= most / 5), "{count}: {late:?}");
        }
    }
}
