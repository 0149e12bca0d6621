//! Wire format of the simulator. A frame has a header, records of fixed size, and a tail with texts and lists that
//! records refer to by offset.
//!
//! All numbers are little-endian. Times are in milliseconds on the wire and in microseconds in the decision crate; this
//! module converts them.

mod batch;
mod error;
mod events;
mod fields;
mod load_report;
mod reply;

pub(crate) use batch::{Batch, read_batch};
pub(crate) use error::FrameError;
pub(crate) use events::{DecodedRecord, EndpointListId, EndpointRecord, RouterId};
pub(crate) use reply::Reply;

use birchreach::Micros;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Converts milliseconds to microseconds, rounded down. The cast saturates and turns NaN into 0.
pub(crate) fn micros_rounded_down(milliseconds: f64) -> Micros {
    (milliseconds * MICROS_PER_MILLISECOND as f64).floor() as Micros
}

/// Converts milliseconds to microseconds, rounded up. The cast saturates and turns NaN into 0.
fn micros_rounded_up(milliseconds: f64) -> Micros {
    (milliseconds * MICROS_PER_MILLISECOND as f64).ceil() as Micros
}
