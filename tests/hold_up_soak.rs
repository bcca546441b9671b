//! Seeded hold-ups of the real program under traffic: it is stopped again and again, each time for no longer than a process
//! may be held up, whatever is under way.

mod soak;
mod world;

use fastrand::Rng;
use nix::sys::signal::Signal;
use soak::*;
use std::thread;
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_secs(3);
/// The longest time that a process may be held up, in ms.
const HOLD_UP: u64 = 150;

/// Plays one seed, and tells what broke a rule.
fn play(seed: u64) -> Vec<String> {
    let mut lot = Rng::with_seed(seed ^ 0x401d);
    let mut stage = Stage::start(seed, false);
    let from = Instant::now();
    while from.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(lot.u64(5..150)));
        stage.sidecar.pause();
        thread::sleep(Duration::from_millis(lot.u64(5..HOLD_UP)));
        stage.sidecar.signal(Signal::SIGCONT);
    }
    stage.close();
    let closes_idle = false;
    stage.play.breaks(&End { from, at: Instant::now(), was_killed: false, closes_idle })
}

/// Incident 318501, and what else a hold-up may lose.
#[test]
fn no_seeded_hold_up_loses_a_request_that_was_taken() {
    play_seeds(play);
}
