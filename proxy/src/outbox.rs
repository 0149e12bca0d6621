//! The output buffer of a connection, for every protocol.

/// The capacity that an empty buffer keeps.
pub(crate) const IDLE_BUFFER_BYTES: usize = 4096;

/// Output that waits to be written.
#[derive(Default)]
pub(crate) struct Outbox {
    bytes: Vec<u8>,
    /// How many of the bytes are written.
    written: usize,
}

impl Outbox {
    /// What is not written yet.
    pub(crate) fn pending(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// This number of pending bytes has been written.
    pub(crate) fn advance(&mut self, count: usize) {
        self.written = (self.written + count).min(self.bytes.len());
        if self.written == self.bytes.len() {
            self.written = 0;
            self.bytes.clear();
            self.bytes.shrink_to(IDLE_BUFFER_BYTES);
        }
    }

    /// Adds output.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The buffer, for an encoder that appends to it. The bytes in it must not be changed.
    pub(crate) fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }
}
