//! Frames of the simulator: a header, records of fixed size, then a tail with texts and lists that records refer to by offset.
//!
//! All numbers are little-endian. Times are in milliseconds on the wire and in microseconds inside; they are converted here.

mod batch;
mod error;
mod events;
mod fields;
mod reply;

pub use batch::{Batch, read_batch};
pub use error::FrameError;
pub use events::{EndpointRecord, Incoming, ListId, RouterId};
pub use reply::Reply;

use birchreach::Micros;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Milliseconds to microseconds, rounded down. The cast saturates and turns NaN into 0.
pub fn micros_rounded_down(milliseconds: f64) -> Micros {
    (milliseconds * MICROS_PER_MILLISECOND as f64).floor() as Micros
}

/// Milliseconds to microseconds, rounded up.
fn micros_rounded_up(milliseconds: f64) -> Micros {
    (milliseconds * MICROS_PER_MILLISECOND as f64).ceil() as Micros
}
