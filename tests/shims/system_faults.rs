//! Preloaded into a sidecar: system calls on its sockets fail again and again, with errors that Linux documents for them, or
//! are held up.
//!
//! `SYSTEM_FAULTS='accept4:2:103,24 send:50:~120'` makes every second `accept4` fail, with these numbers in turn, and holds
//! up every fiftieth `send` for 120 ms before it is made.
// The functions of the C library are replaced and called, for which there is no safe way.
#![allow(unsafe_code)]

use libc::{c_int, c_void, iovec, size_t, sockaddr, socklen_t, ssize_t, syscall};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// No address is asked for, or named.
const NOBODY: *mut c_void = std::ptr::null_mut();

/// What happens to a call in place of, or before, what it asks for.
#[derive(Clone, Copy)]
enum Fault {
    Error(c_int),
    HoldUp(Duration),
}

/// Which calls of one kind fail, and how.
struct Plan {
    every: usize,
    faults: Vec<Fault>,
    calls: AtomicUsize,
}

impl Plan {
    fn read(text: &str) -> Option<Plan> {
        let (every, faults) = text.split_once(':')?;
        let fault = |text: &str| match text.strip_prefix('~') {
            Some(ms) => Some(Fault::HoldUp(Duration::from_millis(ms.parse().ok()?))),
            None => Some(Fault::Error(text.parse().ok()?)),
        };
        let faults = faults.split(',').map(fault).collect::<Option<Vec<_>>>()?;
        Some(Plan { every: every.parse().ok()?, faults, calls: AtomicUsize::new(0) })
    }

    /// Of the plan for the calls of this name.
    fn named(name: &str) -> Option<Plan> {
        let text = std::env::var("SYSTEM_FAULTS").ok()?;
        let plan = text.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix(':'))?;
        Plan::read(plan)
    }

    fn next_fault(&self) -> Option<Fault> {
        let call = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        let fails = call.is_multiple_of(self.every);
        fails.then(|| self.faults[call / self.every % self.faults.len()])
    }
}

/// Is it a socket over IP? The runtime has others of its own.
fn is_over_ip(socket: c_int) -> bool {
    let (mut domain, mut length) = (0, size_of::<c_int>() as socklen_t);
    // SAFETY: both pointers are to locals of the sizes that are named.
    let result = unsafe {
        let domain: *mut c_int = &raw mut domain;
        syscall(libc::SYS_getsockopt, socket, libc::SOL_SOCKET, libc::SO_DOMAIN, domain, &raw mut length)
    };
    result == 0 && [libc::AF_INET, libc::AF_INET6].contains(&domain)
}

/// The error of this call, if it is to fail; back after its hold-up, if it is to be held up.
fn fault(plan: Option<&Plan>, socket: c_int) -> Option<c_int> {
    let plan = plan.filter(|_| is_over_ip(socket))?;
    match plan.next_fault()? {
        Fault::Error(error) => Some(error),
        Fault::HoldUp(time) => {
            std::thread::sleep(time);
            None
        }
    }
}

/// Fails with this error.
fn fail(error: c_int) -> c_int {
    // SAFETY: the C library's place for the error of this thread is always valid.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Stands in for the C library's, for options of TCP alone: the runtime asks for others to hear of errors.
///
/// # Safety
///
/// As for the system call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn getsockopt(
    socket: c_int, level: c_int, name: c_int, value: *mut c_void, length: *mut socklen_t,
) -> c_int {
    static PLAN: OnceLock<Option<Plan>> = OnceLock::new();
    let plan = PLAN.get_or_init(|| Plan::named("getsockopt")).as_ref().filter(|_| level == libc::IPPROTO_TCP);
    if let Some(error) = fault(plan, socket) {
        return fail(error);
    }
    // SAFETY: the arguments are passed on as they came.
    unsafe { syscall(libc::SYS_getsockopt, socket, level, name, value, length) as c_int }
}

/// Stands in for a function of the C library, by the plan for its name.
macro_rules! replace {
    ($name:ident($socket:ident $(, $argument:ident: $kind:ty)*) -> $result:ty, $call:expr) => {
        /// Stands in for the C library's.
        ///
        /// # Safety
        ///
        /// As for the system call.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($socket: c_int $(, $argument: $kind)*) -> $result {
            static PLAN: OnceLock<Option<Plan>> = OnceLock::new();
            let plan = PLAN.get_or_init(|| Plan::named(stringify!($name)));
            if let Some(error) = fault(plan.as_ref(), $socket) {
                return fail(error) as $result;
            }
            // SAFETY: the arguments are passed on as they came.
            unsafe { $call as $result }
        }
    };
}

replace!(accept4(socket, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int,
    syscall(libc::SYS_accept4, socket, address, length, flags));
replace!(recv(socket, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t,
    syscall(libc::SYS_recvfrom, socket, bytes, length, flags, NOBODY, NOBODY));
replace!(send(socket, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t,
    syscall(libc::SYS_sendto, socket, bytes, length, flags, NOBODY, 0));
replace!(writev(socket, parts: *const iovec, count: c_int) -> ssize_t,
    syscall(libc::SYS_writev, socket, parts, count));
replace!(connect(socket, address: *const sockaddr, length: socklen_t) -> c_int,
    syscall(libc::SYS_connect, socket, address, length));
replace!(setsockopt(socket, level: c_int, name: c_int, value: *const c_void, length: socklen_t) -> c_int,
    syscall(libc::SYS_setsockopt, socket, level, name, value, length));
