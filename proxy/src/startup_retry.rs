//! Repeats the steps of the start that fail with an error of the system that passes by itself.

use crate::log::Quoted;
use crate::system_error::SystemErrorClass;
use std::fmt::Display;
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;

/// How long a start may take. The platform wants a proxy to be ready within this time.
const STARTUP_TIME: Duration = Duration::from_secs(10);
/// The pause before a step is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// An error of a step, which may come from the system.
pub(crate) trait StartupError: Display {
    /// Returns the error of the system; `None` if the step failed for another reason.
    fn system_error(&self) -> Option<&io::Error>;
}

impl StartupError for io::Error {
    fn system_error(&self) -> Option<&io::Error> {
        Some(self)
    }
}

/// The time that is left for repeating steps of the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartupRetry {
    give_up_at: Instant,
}

impl StartupRetry {
    /// Creates the state of a start that begins now.
    pub(crate) fn begin() -> StartupRetry {
        StartupRetry { give_up_at: Instant::now() + STARTUP_TIME }
    }

    /// Runs a step until it succeeds. Returns an error that does not pass by itself at once, and any other when the time for the
    /// start is over.
    pub(crate) fn run<T, E: StartupError>(
        self,
        step: &'static str,
        mut operation: impl FnMut() -> Result<T, E>,
    ) -> Result<T, E> {
        loop {
            let error = match operation() {
                Ok(value) => return Ok(value),
                Err(error) => error,
            };
            let passes = error.system_error().is_some_and(|error| SystemErrorClass::of(error).passes());
            if !passes || Instant::now() >= self.give_up_at {
                return Err(error);
            }
            warn!(event = "start-retried", step, error = %Quoted(&error));
            std::thread::sleep(RETRY_INTERVAL);
        }
    }
}
