//! Conversion between units of time.

use birchreach::Micros;

pub(crate) const MICROS_PER_MILLI: Micros = 1_000;
