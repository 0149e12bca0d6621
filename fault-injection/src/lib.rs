//! Faults that a crate's tests switch on in that crate, to show that its checks find them.
//!
//! A crate that uses this has a module `faults` at its root with one call of [`declare_faults!`], asks with
//! [`fault_injected!`] at the line that the fault breaks, and names the feature `enabled` among its dev-dependencies
//! only. A build without dev-dependencies, which each release is, then has neither the list of faults nor the switch:
//! [`declare_faults!`] expands to nothing and [`fault_injected!`] to `false`.
//!
//! A fault is switched on for one thread, so that tests of one process do not disturb one another. A check that must
//! fail under a fault returns an error in place of a panic; `ensure!` and `ensure_eq!`, which the feature `enabled`
//! adds, are its assertions.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(feature = "enabled")]
use std::cell::Cell;

/// The fault that is switched on in a thread, if any.
#[cfg(feature = "enabled")]
pub struct Switch<F>(Cell<Option<F>>);

#[cfg(feature = "enabled")]
impl<F: Copy + PartialEq> Switch<F> {
    /// A switch of a thread in which no fault is on.
    pub const fn off() -> Switch<F> {
        Switch(Cell::new(None))
    }

    /// Switches a fault on in place of the one before, or all off.
    #[inline]
    pub fn set(&self, fault: Option<F>) {
        self.0.set(fault);
    }

    /// Whether this fault is on.
    #[inline]
    pub fn is_on(&self, fault: F) -> bool {
        self.0.get() == Some(fault)
    }
}

/// Declares the faults of a crate as an enum named `Fault`, and the functions that switch them on.
#[cfg(feature = "enabled")]
#[macro_export]
macro_rules! declare_faults {
    ($($(#[doc = $text:literal])+ $fault:ident,)+) => {
        /// Faults of this crate that a test can switch on; each breaks one of its invariants.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Fault {
            $($(#[doc = $text])+ $fault,)+
        }

        thread_local! {
            static SWITCH: $crate::Switch<Fault> = const { $crate::Switch::off() };
        }

        /// Runs something while a fault is on in this thread.
        pub fn run_with_fault<T>(fault: Fault, run: impl FnOnce() -> T) -> T {
            set_fault(Some(fault));
            let result = run();
            set_fault(None);
            result
        }

        /// Switches a fault of this thread on, or all off; for checkers that run the crate in threads of their own.
        pub fn set_fault(fault: Option<Fault>) {
            SWITCH.with(|switch| switch.set(fault));
        }

        /// Whether this fault is on in this thread.
        pub(crate) fn is_on(fault: Fault) -> bool {
            SWITCH.with(|switch| switch.is_on(fault))
        }
    };
}

/// Declares the faults of a crate; in a build without fault injection it expands to nothing.
#[cfg(not(feature = "enabled"))]
#[macro_export]
macro_rules! declare_faults {
    ($($anything:tt)*) => {};
}

/// Whether a fault of the calling crate's module `faults`, named by its variant, is on in this thread.
#[cfg(feature = "enabled")]
#[macro_export]
#[allow(clippy::crate_in_macro_def, reason = "the faults are the calling crate's")]
macro_rules! fault_injected {
    ($fault:ident) => {
        crate::faults::is_on(crate::faults::Fault::$fault)
    };
}

/// Whether a fault of the calling crate is on: never, in a build without fault injection.
#[cfg(not(feature = "enabled"))]
#[macro_export]
macro_rules! fault_injected {
    ($fault:ident) => {
        false
    };
}

/// Returns from the calling check with an error of type `String`, unless a condition holds.
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

/// Returns from the calling check with an error of type `String`, unless two values are equal.
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
