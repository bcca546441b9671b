//! How descriptors and memory are divided, at all sizes that a sidecar may have.

use micapier::resources::{CONNECTION_MEMORY, Limits, PROCESS_MEMORY};
use proptest::prelude::*;

const MEGABYTE: usize = 1_000_000;
/// Descriptors for the listener, discovery, logs and an operators' door.
const RESERVED: usize = 24;

proptest! {
    /// Guards against clients within the third of the descriptors that they use for requests who find no place: the least
    /// memory left them 216 of 341, and beside an upgrade's other process there were never enough.
    #[test]
    fn clients_have_places_for_a_third_of_all_descriptors(
        descriptors in 256_usize..=1_024, memory_mb in 32_usize..=192, processes in 1_usize..=2
    ) {
        let limits = Limits { descriptors, memory: memory_mb * MEGABYTE, reserved: RESERVED, processes };
        let division = limits.divide();
        prop_assert!(division.clients >= descriptors / 3, "{division:?}");
        prop_assert!(division.upstreams >= descriptors / 12 / processes, "{division:?}");
    }

    /// Guards against a process that is killed: what it may take by its own account is within its limits.
    #[test]
    fn what_is_divided_is_within_the_limits(
        descriptors in 0_usize..=2_048, memory in 0_usize..=256 * MEGABYTE, reserved in 0_usize..=40,
        processes in 1_usize..=2
    ) {
        let division = Limits { descriptors, memory, reserved, processes }.divide();
        let connections = division.clients + division.upstreams;
        prop_assert!(connections <= (descriptors / processes).saturating_sub(reserved).max(2), "{division:?}");
        prop_assert!(division.clients > 0 && division.upstreams > 0);
        // All of them share the clients; each has upstreams and bodies of its own.
        let of_clients = (division.clients - 1) * CONNECTION_MEMORY;
        let of_each = PROCESS_MEMORY + (division.upstreams - 1) * CONNECTION_MEMORY + division.bodies;
        let taken = of_clients + processes * of_each;
        prop_assert!(division.clients == 1 || taken <= memory, "{division:?}: {taken}");
    }
}

#[test]
fn the_least_memory_leaves_as_much_uncounted_as_there_is_for_bodies() {
    let limits = Limits { descriptors: 1_024, memory: 32 * MEGABYTE, reserved: RESERVED, processes: 1 };
    let division = limits.divide();
    let taken =
        PROCESS_MEMORY + (division.clients + division.upstreams) * CONNECTION_MEMORY + division.bodies;
    assert!(taken + division.bodies <= limits.memory, "{division:?}: {taken}");
    // Enough for the bodies of many requests, and as many connections to upstreams as with fewer places for clients.
    assert!(division.bodies >= limits.memory / 8 && division.upstreams >= 109, "{division:?}");
}
