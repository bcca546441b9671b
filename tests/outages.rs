//! Discovery that is away and returns, that moves, and that is away while the process is restarted:
//! the real program, with lists pushed and asked for.

mod world;

use serde_json::{Value, json};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use world::*;

/// Discovery's news counts as told so long after its return, ...
const TOLD: Duration = Duration::from_secs(6);
/// ... and so long after SIGHUP.
const MOVED: Duration = Duration::from_secs(4);
/// In which a process is ready after a restart.
const READY: Duration = Duration::from_secs(10);

/// Each with waits of its own by lot.
fn by(mode: &str) -> impl FnOnce(&mut Value) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    move |config| {
        config["seed"] = json!(format!("{:x}", NUMBER.fetch_add(1, Ordering::SeqCst)));
        config["settings"]["discovery"] = json!(mode);
    }
}

/// Takes discovery away; back once the sidecar has called in vain.
fn take_down(sidecar: &Sidecar, silent: bool) {
    let calls = sidecar.discovery.calls();
    sidecar.discovery.down(silent);
    if silent { sidecar.discovery.wait_for_call(calls) } else { sidecar.wait_for_line("discovery: ") }
}

/// Many are served, none of them there.
fn serves_without(left: &Upstream, sidecar: &Sidecar, what: &str) {
    let before = left.requests().len();
    sidecar.serves(12, 5.0);
    assert_eq!(left.requests().len(), before, "{what}");
}

#[test]
fn what_drains_as_discovery_returns_gets_nothing_new() {
    each_outage(|mode, silent| {
        for right_after in [false, true] {
            let [left, kept] = twins(|_| ok("served"));
            let sidecar = Sidecar::with(&[&left, &kept], by(mode));
            sidecar.discovery.wait_for_index(1);
            take_down(&sidecar, silent);
            sidecar.serves(2, 5.0);
            let (since, without) = (Instant::now(), [kept.line("Ready")]);
            if right_after {
                // On the watch that follows the first answer, at once.
                sidecar.discovery.say(3, true, &without);
                sidecar.discovery.back(2, &[left.line("Ready"), kept.line("Ready")]);
                sidecar.discovery.wait_for_index(3);
            } else {
                sidecar.discovery.back(2, &without);
                sidecar.discovery.wait_for_index(2);
            }
            assert!(since.elapsed() < TOLD, "{mode}, {silent}, {right_after}: {:?}", since.elapsed());
            serves_without(&left, &sidecar, mode);
        }
    });
}

#[test]
fn at_sighup_a_dead_address_holds_nothing_up_whatever_is_out_there() {
    each_outage(|mode, silent| {
        let [a, b] = twins(|_| ok("served"));
        let mut sidecar = Sidecar::with(&[&a], by(mode));
        sidecar.discovery.wait_for_index(1);
        let first = sidecar.discovery.clone();
        // The old address is dead, and a call out there where it is silent.
        take_down(&sidecar, silent);
        let since = Instant::now();
        sidecar.move_discovery(0, &[b.line("Ready")]);
        sidecar.discovery.wait_for_index(0);
        assert!(since.elapsed() < MOVED, "{mode}, {silent}: {:?}", since.elapsed());
        serves_without(&a, &sidecar, mode);
        // Twice in a row: a watch is out at one address, and at the next one nobody answers.
        let dead = Discovery::of(7, &[b.line("Ready")]);
        dead.down(true);
        sidecar.move_to(&dead);
        dead.wait_for_call(0);
        let since = Instant::now();
        // The first one is back with less than it had, and tells more right after.
        first.say(1, true, &[a.line("Ready")]);
        first.back(0, &[a.line("Ready"), b.line("Ready")]);
        sidecar.move_to(&first);
        first.wait_for_index(1);
        assert!(since.elapsed() < MOVED, "{mode}, {silent}: {:?}", since.elapsed());
        serves_without(&b, &sidecar, mode);
    });
}

#[test]
fn a_process_that_starts_while_discovery_is_away_is_ready_and_follows_the_list_after_its_return() {
    each_outage(|mode, silent| {
        for knows in [true, false] {
            let [left, kept] = twins(|_| ok("served"));
            let mut old = Sidecar::with(&[&left, &kept], by(mode));
            old.discovery.down(silent);
            old.serves(1, 5.0);
            old.terminate();
            let (since, calls) = (Instant::now(), old.discovery.calls());
            let new = old.again(":", |config| {
                let known = config["known"].take();
                config["known"] = if knows { known } else { json!(null) };
            });
            assert_eq!(old.exit_code(), Some(0));
            if knows {
                new.wait_until("readiness", |new| new.ready() == 200);
                assert!(since.elapsed() < READY, "{mode}, {silent}: {:?}", since.elapsed());
                new.serves(2, 5.0);
            }
            // It has called in vain.
            if silent {
                new.discovery.wait_for_call(calls)
            } else {
                new.wait_for_line("discovery: ")
            }
            let since = Instant::now();
            new.discovery.back(2, &[left.line("Ready"), kept.line("Ready")]);
            new.discovery.wait_for_index(2);
            new.wait_until("readiness", |new| new.ready() == 200);
            assert!(since.elapsed() < TOLD, "{mode}, {silent}, {knows}: {:?}", since.elapsed());
            let since = Instant::now();
            new.discovery.tell(3, true, &[kept.line("Ready")]);
            assert!(since.elapsed() < TOLD, "{mode}, {silent}, {knows}: {:?}", since.elapsed());
            serves_without(&left, &new, mode);
        }
    });
}

#[test]
fn a_move_that_is_told_while_a_process_waits_for_its_address_is_followed() {
    for mode in ["pushed", "on_request"] {
        let [a, b] = twins(|_| ok("served"));
        let mut old = Sidecar::with(&[&a], by(mode));
        // It counts anew, from below the revision that the process knows.
        let next = Discovery::of(0, &[b.line("Ready")]);
        // Once it listens to SIGHUP, which the predecessor then makes room after.
        let told = "until grep -q 'SigCgt:.*[13579bdf]$' /proc/$$/status; do sleep 0.01; done; kill -HUP $$";
        let shell = format!("{{ {told}; kill -TERM {}; }} >/dev/null 2>&1 & true", old.pid());
        // Its environment names the old one.
        let new = old.again(&shell, |config| config["discovery"] = json!(next.addr.to_string()));
        let since = Instant::now();
        next.wait_for_index(0);
        assert!(since.elapsed() < MOVED, "{mode}: {:?}", since.elapsed());
        assert_eq!(old.exit_code(), Some(0));
        serves_without(&a, &new, mode);
    }
}
