//! Preloaded into a sidecar: `accept4` fails again and again, with errors that Linux documents for it.
//!
//! `ACCEPT_ERRORS=2:103,24` makes every second call fail, with these numbers in turn.
// The functions of the C library are replaced and called, for which there is no safe way.
#![allow(unsafe_code)]

use libc::{__errno_location, SYS_accept4, c_int, sockaddr, socklen_t, syscall};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Which calls fail, and how.
struct Plan {
    every: usize,
    errors: Vec<c_int>,
}

impl Plan {
    fn read() -> Option<Plan> {
        let text = std::env::var("ACCEPT_ERRORS").ok()?;
        let (every, errors) = text.split_once(':')?;
        let errors = errors.split(',').map(str::parse).collect::<Result<Vec<_>, _>>().ok()?;
        Some(Plan { every: every.parse().ok()?, errors })
    }

    fn error_of(&self, call: usize) -> Option<c_int> {
        let fails = call.is_multiple_of(self.every);
        fails.then(|| self.errors[call / self.every % self.errors.len()])
    }
}

/// Stands in for the C library's.
///
/// # Safety
///
/// As for the system call: `address` and `length` are null, or point to room for an address and to its size.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int,
) -> c_int {
    static PLAN: OnceLock<Option<Plan>> = OnceLock::new();
    static CALLS: AtomicUsize = AtomicUsize::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    if let Some(error) = PLAN.get_or_init(Plan::read).as_ref().and_then(|plan| plan.error_of(call)) {
        // SAFETY: the C library's place for the error of this thread is always valid.
        unsafe { *__errno_location() = error };
        return -1;
    }
    // SAFETY: the arguments are passed on as they came.
    unsafe { syscall(SYS_accept4, socket, address, length, flags) as c_int }
}
