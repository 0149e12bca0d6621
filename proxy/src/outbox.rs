//! Output buffer of a connection, used by all protocols.

/// The capacity that an empty buffer retains.
pub(crate) const IDLE_BUFFER_BYTES: usize = 4096;

/// Buffers that are longer than this grow in steps of this size, so that they hold little more than their content.
pub(crate) const BUFFER_STEP_BYTES: usize = 16 << 10;

/// Makes room for `count` further bytes. A long buffer grows in steps instead of doubling.
pub(crate) fn reserve_in_steps(buffer: &mut Vec<u8>, count: usize) {
    let needed = buffer.len() + count;
    if needed > BUFFER_STEP_BYTES && needed > buffer.capacity() {
        buffer.reserve_exact(needed.next_multiple_of(BUFFER_STEP_BYTES) - buffer.len());
    }
}

/// Output that has not been written to the socket.
#[derive(Default)]
pub(crate) struct Outbox {
    bytes: Vec<u8>,
    /// The number of bytes at the front of `bytes` that have been written to the socket.
    written: usize,
}

impl Outbox {
    /// Returns the bytes that have not been written.
    pub(crate) fn pending(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Returns the number of bytes that the buffer holds, including free capacity.
    pub(crate) fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the number of bytes in the buffer, including written ones. It is zero once all bytes have been written.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Records that `count` pending bytes have been written.
    pub(crate) fn advance(&mut self, count: usize) {
        self.written = (self.written + count).min(self.bytes.len());
        if self.written == self.bytes.len() {
            self.written = 0;
            self.bytes.clear();
            self.bytes.shrink_to(IDLE_BUFFER_BYTES);
        }
    }

    /// Appends bytes to the output.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        if bytes.len() >= BUFFER_STEP_BYTES {
            reserve_in_steps(&mut self.bytes, bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the buffer for an encoder that appends to it. The encoder must not change the bytes that are already in the
    /// buffer.
    pub(crate) fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }
}
