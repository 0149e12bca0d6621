//! `birchreach-simulator-adapter` connects routers to the simulator. The adapter and the simulator exchange binary
//! frames over standard input and output.
//!
//! One process hosts many routers. The adapter translates events and actions between the wire format and the decision
//! crate, and makes no decisions itself.
#![forbid(unsafe_code)]

mod host;
mod wire;

use host::Host;
use std::io::{self, BufReader, BufWriter, Read, Write};
use wire::{FrameError, read_batch};

const BUFFER_BYTES: usize = 64 * 1024;

fn main() {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    if let Err(error) = run(input, output) {
        eprintln!("birchreach-simulator-adapter: {error}");
        std::process::exit(1);
    }
}

/// Replies to each batch of the input until the input ends.
fn run(mut input: impl Read, mut output: impl Write) -> Result<(), FrameError> {
    let mut host = Host::default();
    while let Some(batch) = read_batch(&mut input)? {
        let reply = host.handle(&batch)?;
        let written = output.write_all(&reply.encode()).and_then(|()| output.flush());
        written.map_err(FrameError::WriteReply)?;
    }
    Ok(())
}
