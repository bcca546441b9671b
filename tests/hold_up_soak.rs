//! Seeded hold-ups of the real program under traffic: it is stopped again and again, whatever is under way, for no longer
//! than a process may be held up or for up to a second.

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
    let mut stage = Stage::start(seed, Setting { crowd, ..Setting::default() });
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

/// The same with stops of up to a second, several of them close together, while half of the clients leave when their time
/// is over, and with calls of `accept` that fail in some.
fn play_long_stops(seed: u64) -> Vec<String> {
    let mut lot = Rng::with_seed(seed ^ 0x57095);
    let crowd = lot.u32(0..4) == 0;
    let system_faults = if lot.u32(0..3) == 0 { ACCEPT_ERRORS } else { "" };
    let mut stage = Stage::start(seed, Setting { crowd, impatient: true, system_faults });
    let from = Instant::now();
    while from.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(lot.u64(5..200)));
        for _ in 0..lot.u32(1..4) {
            stage.stop(Duration::from_millis(lot.u64(20..1_000)));
            thread::sleep(Duration::from_millis(lot.u64(0..20)));
        }
    }
    stage.close();
    stage.play.breaks(&End { from, at: Instant::now(), was_killed: false, closes_idle: crowd })
}

/// Incident 906fe8: what was read long after it came was taken for new.
#[test]
fn no_seeded_stop_makes_old_requests_new() {
    play_seeds(play_long_stops);
}

/// Errors that Linux documents for calls on sockets, and calls that are held up.
const SYSTEM_FAULTS: [&str; 7] = [
    "recv:53:4,12",
    "send:37:4,12,105 writev:41:4,12,105",
    "send:61:~120 writev:61:~120 recv:97:~140",
    "connect:5:99,11,101,110",
    "setsockopt:2:12,105",
    "getsockopt:1:92",
    "getsockopt:3:92,22",
];

/// The same with system calls that fail.
fn play_system_faults(seed: u64) -> Vec<String> {
    let mut lot = Rng::with_seed(seed ^ 0xfa17);
    let system_faults = SYSTEM_FAULTS[seed as usize % SYSTEM_FAULTS.len()];
    let mut stage = Stage::start(seed, Setting { system_faults, impatient: true, ..Setting::default() });
    let from = Instant::now();
    // A stop in a call that is held up anyway would be a hold-up longer than any that a process has to bear there.
    let is_held_up = system_faults.contains('~');
    while from.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(lot.u64(50..500)));
        if !is_held_up {
            stage.stop(Duration::from_millis(lot.u64(20..600)));
        }
    }
    stage.close();
    stage.play.breaks(&End { from, at: Instant::now(), was_killed: false, closes_idle: false })
}

/// Guards against requests that are lost for an error of one system call.
#[test]
fn no_seeded_fault_of_a_system_call_loses_a_request_that_was_taken() {
    play_seeds(play_system_faults);
}
