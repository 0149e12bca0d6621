//! A library for `LD_PRELOAD` that makes system calls fail for a moment, as Linux documents. `BIRCHREACH_FAULTS` holds the
//! faults, separated by `;`, each as `call:one call in so many:errno,errno,...`. A short transfer is written as errno 0.
//! `BIRCHREACH_FAULT_SEED` is the seed; `BIRCHREACH_FAULT_MS` the time after the start in which calls fail, forever without it.
//! `BIRCHREACH_CLOCK_STEP` is `milliseconds after the start:seconds` by which the wall clock is stepped.

use std::ffi::{CStr, c_char, c_int, c_uint, c_void};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn dlsym(handle: *mut c_void, name: *const c_char) -> *mut c_void;
    fn __errno_location() -> *mut c_int;
}

/// `RTLD_NEXT`: the next library that defines the symbol.
const NEXT_LIBRARY: *mut c_void = -1isize as *mut c_void;
/// Stands for a short transfer instead of an error.
const SHORT_TRANSFER: c_int = 0;

struct Fault {
    call: String,
    one_in: u64,
    errors: Vec<c_int>,
}

struct Faults {
    faults: Vec<Fault>,
    state: AtomicU64,
    started: Instant,
    duration: Option<Duration>,
    clock_step: Option<ClockStep>,
}

struct ClockStep {
    after: Duration,
    seconds: i64,
}

#[repr(C)]
pub struct TimeSpec {
    seconds: i64,
    nanoseconds: i64,
}

static FAULTS: OnceLock<Faults> = OnceLock::new();

fn faults() -> &'static Faults {
    FAULTS.get_or_init(|| {
        let variable = |name: &str| std::env::var(name).ok();
        let number = |name: &str| variable(name).and_then(|text| text.parse().ok());
        let text = variable("BIRCHREACH_FAULTS").unwrap_or_default();
        Faults {
            faults: text.split(';').filter_map(parse_fault).collect(),
            state: AtomicU64::new(number("BIRCHREACH_FAULT_SEED").unwrap_or(1)),
            started: Instant::now(),
            duration: number("BIRCHREACH_FAULT_MS").map(Duration::from_millis),
            clock_step: variable("BIRCHREACH_CLOCK_STEP").and_then(|text| parse_clock_step(&text)),
        }
    })
}

fn parse_fault(text: &str) -> Option<Fault> {
    let mut parts = text.split(':');
    let call = parts.next()?.into();
    let one_in = parts.next()?.parse().ok()?;
    let errors = parts.next()?.split(',').filter_map(|error| error.parse().ok()).collect();
    Some(Fault { call, one_in, errors })
}

fn parse_clock_step(text: &str) -> Option<ClockStep> {
    let (after, seconds) = text.split_once(':')?;
    Some(ClockStep { after: Duration::from_millis(after.parse().ok()?), seconds: seconds.parse().ok()? })
}

/// Returns the error with which this call is to fail; `None` lets it through.
fn drawn_error(call: &str) -> Option<c_int> {
    let faults = faults();
    if faults.duration.is_some_and(|duration| faults.started.elapsed() > duration) {
        return None;
    }
    let fault = faults.faults.iter().find(|fault| fault.call == call)?;
    // SplitMix64.
    let mut value = faults.state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^= value >> 31;
    let index = (value >> 32) as usize % fault.errors.len().max(1);
    (value % fault.one_in == 0).then(|| fault.errors.get(index).copied()).flatten()
}

fn fail(error: c_int) {
    unsafe { *__errno_location() = error };
}

/// Returns the function that this library replaces.
fn original(name: &CStr) -> *mut c_void {
    unsafe { dlsym(NEXT_LIBRARY, name.as_ptr()) }
}

/// Defines a call that returns a number below zero if it fails.
macro_rules! failing_call {
    ($name:ident, $symbol:literal, $result:ty, ($($argument:ident: $kind:ty),*)) => {
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($argument: $kind),*) -> $result {
            static ORIGINAL: OnceLock<usize> = OnceLock::new();
            let address = *ORIGINAL.get_or_init(|| original($symbol) as usize);
            if let Some(error) = drawn_error(stringify!($name)) {
                fail(error);
                return -1;
            }
            let call: unsafe extern "C" fn($($kind),*) -> $result = unsafe { std::mem::transmute(address) };
            unsafe { call($($argument),*) }
        }
    };
}

/// Defines a call that moves bytes, and may move fewer than it was asked to.
macro_rules! transfer_call {
    ($name:ident, $symbol:literal, ($descriptor:ident, $bytes:ident: $kind:ty, $count:ident $(, $flags:ident)?)) => {
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($descriptor: c_int, $bytes: $kind, $count: usize $(, $flags: c_int)?) -> isize {
            static ORIGINAL: OnceLock<usize> = OnceLock::new();
            let address = *ORIGINAL.get_or_init(|| original($symbol) as usize);
            let mut count = $count;
            match drawn_error(stringify!($name)) {
                Some(SHORT_TRANSFER) => count = count.min(1),
                // The standard streams are not part of the network.
                Some(error) if $descriptor > 2 => {
                    fail(error);
                    return -1;
                }
                _ => {}
            }
            let call: unsafe extern "C" fn(c_int, $kind, usize $(, transfer_call!(@flags $flags))?) -> isize =
                unsafe { std::mem::transmute(address) };
            unsafe { call($descriptor, $bytes, count $(, $flags)?) }
        }
    };
    (@flags $flags:ident) => { c_int };
}

failing_call!(socket, c"socket", c_int, (domain: c_int, kind: c_int, protocol: c_int));
failing_call!(socketpair, c"socketpair", c_int, (domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int));
failing_call!(bind, c"bind", c_int, (descriptor: c_int, address: *const c_void, length: c_uint));
failing_call!(listen, c"listen", c_int, (descriptor: c_int, backlog: c_int));
failing_call!(accept4, c"accept4", c_int, (descriptor: c_int, address: *mut c_void, length: *mut c_uint, flags: c_int));
failing_call!(connect, c"connect", c_int, (descriptor: c_int, address: *const c_void, length: c_uint));
failing_call!(getsockname, c"getsockname", c_int, (descriptor: c_int, address: *mut c_void, length: *mut c_uint));
failing_call!(epoll_create1, c"epoll_create1", c_int, (flags: c_int));
failing_call!(epoll_ctl, c"epoll_ctl", c_int, (poll: c_int, operation: c_int, descriptor: c_int, event: *mut c_void));
failing_call!(epoll_wait, c"epoll_wait", c_int, (poll: c_int, events: *mut c_void, count: c_int, timeout: c_int));
failing_call!(open64, c"open64", c_int, (path: *const c_char, flags: c_int, mode: c_uint));
transfer_call!(read, c"read", (descriptor, bytes: *mut c_void, count));
transfer_call!(write, c"write", (descriptor, bytes: *const c_void, count));
transfer_call!(recv, c"recv", (descriptor, bytes: *mut c_void, count, flags));
transfer_call!(send, c"send", (descriptor, bytes: *const c_void, count, flags));

/// `CLOCK_REALTIME`.
const WALL_CLOCK: c_int = 0;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut TimeSpec) -> c_int {
    static ORIGINAL: OnceLock<usize> = OnceLock::new();
    let address = *ORIGINAL.get_or_init(|| original(c"clock_gettime") as usize);
    let call: unsafe extern "C" fn(c_int, *mut TimeSpec) -> c_int = unsafe { std::mem::transmute(address) };
    let result = unsafe { call(clock, time) };
    if clock == WALL_CLOCK && result == 0 {
        let faults = faults();
        if let Some(step) = faults.clock_step.as_ref().filter(|step| faults.started.elapsed() > step.after) {
            unsafe { (*time).seconds += step.seconds };
        }
    }
    result
}
