//! The instances of a service that any of them can answer for.

use std::net::SocketAddr;
use std::time::Duration;

/// Waits after failed calls, full jitter within a bound that doubles from the first to the last: 300 sidecars that
/// lost the service come back spread over seconds, not in one wave, and each is back within 5 s of its return.
const BACKOFF: Duration = Duration::from_millis(100);
const BACKOFF_MOST: Duration = Duration::from_secs(5);

/// Asked in turn: the next one after a failure. Each sidecar begins at a random one, so that the fleet's calls are
/// spread.
pub struct Peers {
    all: Vec<SocketAddr>,
    at: usize,
    rng: fastrand::Rng,
    backoff: Duration,
}

impl Peers {
    /// `None` where there are none.
    pub fn new(all: Vec<SocketAddr>, seed: u64) -> Option<Peers> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let at = rng.usize(..all.len().max(1));
        (!all.is_empty()).then_some(Peers { all, at, rng, backoff: BACKOFF })
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }

    pub fn current(&self) -> SocketAddr {
        self.all[self.at]
    }

    pub fn worked(&mut self) {
        self.backoff = BACKOFF;
    }

    /// Moves to the next instance and answers how long to wait before asking it.
    pub fn failed(&mut self) -> Duration {
        self.at = (self.at + 1) % self.all.len();
        let wait = self.backoff.mul_f64(self.rng.f64());
        self.backoff = (self.backoff * 2).min(BACKOFF_MOST);
        wait
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;

    pub fn peers(count: u16) -> Vec<SocketAddr> {
        (1..=count).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect()
    }

    /// 300 sidecars lose the service at once, and each asks the next instance after its backoff; every call
    /// fails. Their calls come spread: from the third second on, at most one for each sidecar in any second and a
    /// fifth of the fleet in any tenth of one, where without jitter all 300 would come at the same instants.
    #[test]
    fn a_fleet_that_lost_the_service_comes_back_spread_over_time() {
        const FLEET: u64 = 300;
        let mut calls_per_tenth = vec![0_u64; 200];
        for seed in 0..FLEET {
            let mut peers = Peers::new(peers(2), seed).expect("peers");
            let mut at = Duration::ZERO;
            while let Some(count) = calls_per_tenth.get_mut(at.as_millis() as usize / 100) {
                *count += 1;
                at += peers.failed();
            }
        }
        let late = &calls_per_tenth[30..];
        let most_in_a_second = late.windows(10).map(|second| second.iter().sum::<u64>()).max();
        assert!(most_in_a_second.is_some_and(|most| most <= FLEET), "{most_in_a_second:?}");
        assert!(late.iter().all(|&tenth| tenth <= FLEET / 5), "{late:?}");
    }
}
