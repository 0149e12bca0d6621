//! Fault injection for tests: a crate's tests enable a fault in that crate to show that their checks detect it.
//!
//! A crate that uses fault injection calls [`declare_faults!`] once, in a module `faults` at its root. It calls
//! [`fault_injected!`] in the code that the fault breaks, and enables the feature `enabled` in its dev-dependencies
//! only. A release is built without dev-dependencies and therefore has neither the faults nor the switch:
//! [`declare_faults!`] expands to nothing and [`fault_injected!`] to `false`.
//!
//! A fault is enabled for one thread, so that tests that run in the same process do not affect each other. A check
//! that must fail under a fault returns an error instead of panicking. Its assertions are `ensure!` and `ensure_eq!`,
//! which exist only with the feature `enabled`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(feature = "enabled")]
use std::cell::Cell;

/// Holds the fault that is enabled in a thread, if any.
#[cfg(feature = "enabled")]
pub struct Switch<F>(Cell<Option<F>>);

#[cfg(feature = "enabled")]
impl<F: Copy + PartialEq> Switch<F> {
    /// Creates a switch with no fault enabled.
    pub const fn off() -> Switch<F> {
        Switch(Cell::new(None))
    }

    /// Enables `fault` instead of the fault that was enabled before; `None` disables all faults.
    #[inline]
    pub fn set(&self, fault: Option<F>) {
        self.0.set(fault);
    }

    /// Returns whether `fault` is enabled.
    #[inline]
    pub fn is_on(&self, fault: F) -> bool {
        self.0.get() == Some(fault)
    }
}

/// Declares the faults of a crate as an enum `Fault`, with functions that enable and disable them.
#[cfg(feature = "enabled")]
#[macro_export]
macro_rules! declare_faults {
    ($($(#[doc = $text:literal])+ $fault:ident,)+) => {
        /// Faults that a test can enable in this crate. Each one breaks an invariant of the crate.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Fault {
            $($(#[doc = $text])+ $fault,)+
        }

        thread_local! {
            static SWITCH: $crate::Switch<Fault> = const { $crate::Switch::off() };
        }

        /// Runs a closure with `fault` enabled in this thread, and disables all faults afterwards.
        pub fn run_with_fault<T>(fault: Fault, run: impl FnOnce() -> T) -> T {
            set_fault(Some(fault));
            let result = run();
            set_fault(None);
            result
        }

        /// Enables a fault in this thread; `None` disables all. A model checker calls this in each of its threads.
        pub fn set_fault(fault: Option<Fault>) {
            SWITCH.with(|switch| switch.set(fault));
        }

        /// Returns whether `fault` is enabled in this thread.
        pub(crate) fn is_on(fault: Fault) -> bool {
            SWITCH.with(|switch| switch.is_on(fault))
        }
    };
}

/// Declares the faults of a crate. Without the feature `enabled` it expands to nothing.
#[cfg(not(feature = "enabled"))]
#[macro_export]
macro_rules! declare_faults {
    ($($token:tt)*) => {};
}

/// Returns whether a fault of the calling crate is enabled in this thread. The argument is a variant of its `Fault`.
#[cfg(feature = "enabled")]
#[macro_export]
#[allow(clippy::crate_in_macro_def, reason = "each calling crate has its own faults")]
macro_rules! fault_injected {
    ($fault:ident) => {
        crate::faults::is_on(crate::faults::Fault::$fault)
    };
}

/// Returns whether a fault of the calling crate is enabled. Without the feature `enabled` it is always `false`.
#[cfg(not(feature = "enabled"))]
#[macro_export]
macro_rules! fault_injected {
    ($fault:ident) => {
        false
    };
}

/// Returns an error of type `String` from the calling function unless the condition holds.
#[cfg(feature = "enabled")]
#[macro_export]
macro_rules! ensure {
    ($condition:expr) => { $crate::ensure!($condition, "{}", stringify!($condition)) };
    ($condition:expr, $($message:tt)+) => {
        let holds: bool = $condition;
        if !holds {
            return Err(format!($($message)+));
        }
    };
}

/// Returns an error of type `String` from the calling function unless both values are equal.
#[cfg(feature = "enabled")]
#[macro_export]
macro_rules! ensure_eq {
    ($left:expr, $right:expr $(,)?) => { $crate::ensure_eq!($left, $right, "{}", stringify!($left)) };
    ($left:expr, $right:expr, $($message:tt)+) => {
        let (left, right) = (&$left, &$right);
        if left != right {
            return Err(format!("{}: {left:?}, not {right:?}", format!($($message)+)));
        }
    };
}
