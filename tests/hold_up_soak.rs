//! Seeded hold-ups of the real program under traffic: it is stopped again and again, each time for no longer than a process
//! may be held up, whatever is under way.

mod soak;
mod world;

use fastrand::Rng;
use soak::*;
use std::thread;
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_secs(3);

/// Plays one seed, and tells what broke a rule.
fn play(seed: u64) -> Vec<String> {
    let mut lot = Rng::with_seed(seed ^ 0x401d);
    let crowd = lot.u32(0..3) == 0;
    let mut stage = Stage::start(seed, crowd);
    let from = Instant::now();
    while from.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(lot.u64(5..150)));
        stage.hold_up(&mut lot);
    }
    stage.close();
    // In a crowd connections give way to newcomers.
    stage.play.breaks(&End { from, at: Instant::now(), was_killed: false, closes_idle: crowd })
}

/// Incident 318501, and what else a hold-up may lose.
#[test]
fn no_seeded_hold_up_loses_a_request_that_was_taken() {
    play_seeds(play);
}
