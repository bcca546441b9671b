//! How long a connection may stand idle and still be good, learned from those that broke under a request.
//!
//! What the settings name is when an upstream closes at the latest. One that closes sooner, or something on the
//! way that forgets a quiet connection without a word, shows only in requests that end as resets.

use std::time::Duration;
use tokio::time::Instant;

/// Steps of idle time: half an octave each, from a millisecond to some 16 s.
const STEPS: usize = 28;
/// What is known of a step halves in this time, so that one held to be bad is tried again.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// So many have to have broken lately, in a share so much larger than of connections idle for less: some break
/// however fresh they are, and a shorter limit would only cost handshakes.
const LEAST: f64 = 2.5;
const EXCESS: f64 = 0.2;

/// Decayed counts of requests on connections idle for about as long, and of those that ended as a reset.
#[derive(Clone, Copy)]
struct Tally {
    used: f64,
    broke: f64,
    at: Instant,
}

impl Tally {
    fn as_of(&self, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let left = (-age).exp2();
        (self.used * left, self.broke * left)
    }
}

/// What has become of requests, by how long their connections had stood idle.
pub struct IdleLimit([Tally; STEPS]);

impl IdleLimit {
    pub fn new(now: Instant) -> IdleLimit {
        IdleLimit([Tally { used: 0.0, broke: 0.0, at: now }; STEPS])
    }

    /// A request on a connection idle for so long (a new one: not at all) has ended.
    pub fn note(&mut self, idle: Duration, broke: bool, now: Instant) {
        let ms = idle.as_secs_f64() * 1e3;
        let step = if ms >= 1.0 { 1 + (2.0 * ms.log2()) as usize } else { 0 };
        let tally = &mut self.0[step.min(STEPS - 1)];
        let (used, broken) = tally.as_of(now);
        *tally = Tally { used: used + 1.0, broke: broken + f64::from(u8::from(broke)), at: now };
    }

    /// Connections idle for longer break far more often than the younger; `None` if there is no such time.
    pub fn limit(&self, now: Instant) -> Option<Duration> {
        let (mut used, mut broke) = (0.0, 0.0);
        for (step, tally) in self.0.iter().enumerate() {
            let (here, broken) = tally.as_of(now);
            let younger = if used > 0.0 { broke / used } else { 0.0 };
            if step > 0 && broken >= LEAST && broken > here * (younger + EXCESS) {
                return Some(Duration::from_secs_f64(((step - 1) as f64 / 2.0).exp2() / 1e3));
            }
            (used, broke) = (used + here, broke + broken);
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BROKEN_AFTER: Duration = Duration::from_millis(110);

    /// Requests on connections of all ages for 5 s: one in ten breaks anyhow, and this share of the old.
    fn noted(old: f64) -> (IdleLimit, Instant) {
        let start = Instant::now();
        let mut limit = IdleLimit::new(start);
        for i in 0..1_000_u64 {
            let idle = Duration::from_millis([0, 3, 9, 40, 70, 85, 130, 200, 400, 900][i as usize % 10]);
            let lost = if idle > BROKEN_AFTER { old } else { 0.1 };
            let broke = (i / 10) as f64 % 10.0 < lost * 10.0;
            limit.note(idle, broke, start + Duration::from_millis(5 * i));
        }
        (limit, start + Duration::from_secs(5))
    }

    #[test]
    fn the_time_after_which_connections_break_is_learned() {
        let (limit, now) = noted(0.4);
        let learned = limit.limit(now).expect("a limit");
        assert!(learned > Duration::from_millis(85) && learned < Duration::from_millis(130), "{learned:?}");
        assert_eq!(limit.limit(now + 6 * HALF_LIFE), None, "and tried again in time");
    }

    #[test]
    fn what_breaks_at_any_age_sets_no_limit() {
        let (limit, now) = noted(0.1);
        assert_eq!(limit.limit(now), None);
    }
}
