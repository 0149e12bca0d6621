//! The transport that h2 uses: two buffers in memory instead of a socket.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The limit on output that waits to be written, and the approximate limit on input that waits for h2.
pub(super) const MAX_BUFFERED_BYTES: usize = 16 << 10;

/// The buffers for both directions of a connection.
#[derive(Default)]
pub(super) struct Pipe {
    pub input: VecDeque<u8>,
    pub input_ended: bool,
    pub output: Vec<u8>,
}

/// The end of the pipe that h2 reads and writes.
pub(super) struct PipeEnd(pub Rc<RefCell<Pipe>>);

impl AsyncRead for PipeEnd {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let mut pipe = self.0.borrow_mut();
        if pipe.input.is_empty() && !pipe.input_ended {
            return Poll::Pending;
        }
        let length = pipe.input.len().min(buffer.remaining());
        pipe.input.drain(..length).for_each(|byte| buffer.put_slice(&[byte]));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PipeEnd {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut pipe = self.0.borrow_mut();
        let length = MAX_BUFFERED_BYTES.saturating_sub(pipe.output.len()).min(bytes.len());
        if length == 0 && !bytes.is_empty() {
            return Poll::Pending;
        }
        pipe.output.extend_from_slice(&bytes[..length]);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
