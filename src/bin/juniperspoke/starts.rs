//! When upstreams started, by the clock of the process. Lists tell it in Unix time, and the wall clock may step, here or
//! everywhere, while the clock that warm-up is timed by runs on evenly.

use micapier::api::ServerId;
use std::collections::HashMap;
use std::time::Duration;

/// The wall clock has stepped if it differs by more than this from the even one.
const STEP: Duration = Duration::from_secs(1);

/// A start as it was told, and as it was placed then.
struct Start {
    told: Duration,
    placed: Duration,
}

/// The starts that lists have told.
#[derive(Default)]
pub struct Starts(HashMap<ServerId, Start>);

impl Starts {
    /// Places a start that a list tells: `now` is Unix time at the start of the process and even from there, `wall` is
    /// what the wall clock says. A start that has been told before stays where it was placed.
    pub fn place(&mut self, server: ServerId, told: Duration, wall: Duration, now: Duration) -> Duration {
        if let Some(start) = self.0.get(&server).filter(|start| start.told == told) {
            return start.placed;
        }
        let placed = if wall.abs_diff(now) <= STEP { told } else { now.saturating_sub(age(told, wall, now)) };
        self.0.insert(server, Start { told, placed });
        placed
    }

    /// Forgets one.
    pub fn remove(&mut self, server: ServerId) {
        self.0.remove(&server);
    }

    /// Forgets all others.
    pub fn retain(&mut self, keep: impl Fn(ServerId) -> bool) {
        self.0.retain(|&server, _| keep(server));
    }
}

/// How long ago that was, if one of the clocks has stepped: by the one or by the other, whichever is later, since an
/// upstream held to be warm too soon may fall over. Nothing has started in the future.
fn age(told: Duration, wall: Duration, now: Duration) -> Duration {
    let ages = [wall, now].map(|clock| clock.checked_sub(told));
    ages.into_iter().flatten().min().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: Duration = Duration::from_secs(3_600);
    const SECOND: Duration = Duration::from_secs(1);
    const NOW: Duration = Duration::from_secs(1_800_000_000);
    const SERVER: ServerId = ServerId(7);

    /// Guards against cold upstreams that are held to be warm, or warm ones held back, after a step of the wall clock.
    #[test]
    fn a_start_told_after_the_wall_clock_stepped_counts_from_when_it_was() {
        let started = NOW - SECOND;
        // The clock steps everywhere, or here alone.
        for (told, wall) in [
            (started, NOW),
            (started + HOUR, NOW + HOUR),
            (started - HOUR, NOW - HOUR),
            (started, NOW + HOUR),
            (started, NOW - HOUR),
        ] {
            assert_eq!(Starts::default().place(SERVER, told, wall, NOW), started, "{told:?} at {wall:?}");
        }
        let long_ago = NOW - 30 * HOUR;
        for wall in [NOW, NOW + HOUR, NOW - HOUR] {
            let placed = Starts::default().place(SERVER, long_ago, wall, NOW);
            assert!(placed <= long_ago + HOUR, "{placed:?} at {wall:?}");
        }
    }

    #[test]
    fn a_start_stays_where_it_was_placed_until_another_is_told() {
        let mut starts = Starts::default();
        let told = NOW + HOUR;
        assert_eq!(starts.place(SERVER, told, NOW + HOUR, NOW), NOW);
        let later = NOW + 2 * HOUR;
        assert_eq!(starts.place(SERVER, told, later + HOUR, later), NOW);
        let again = later + HOUR - SECOND;
        assert_eq!(starts.place(SERVER, again, later + HOUR, later), later - SECOND);
        starts.retain(|_| false);
        assert!(starts.0.is_empty());
    }
}
