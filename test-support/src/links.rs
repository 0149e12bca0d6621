//! Relays for links (TCP connections) between processes. They apply the blocked directions of the same faults as the
//! datagram relays. A blocked link stays open and transfers nothing, as in a network partition. A relay identifies the
//! sender by the source address of its connection.

use crate::relay::RelayContext;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Interval at which a blocked or idle link checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Size of a copying thread's buffer in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// The sender and receiver of the bytes that one thread copies. Faults block the two directions of a link separately.
#[derive(Clone)]
struct LinkDirection {
    /// The sending process; `None` if it does not belong to the fleet.
    from: Option<usize>,
    /// The receiving process; `None` if it does not belong to the fleet.
    to: Option<usize>,
    context: RelayContext,
}

impl LinkDirection {
    fn reversed(&self) -> LinkDirection {
        LinkDirection { from: self.to, to: self.from, context: self.context.clone() }
    }

    fn is_blocked(&self) -> bool {
        match (self.from, self.to) {
            (Some(from), Some(to)) => self.context.is_blocked(from, to),
            _ => false,
        }
    }

    fn is_stopped(&self) -> bool {
        self.context.is_stopped()
    }
}

/// Relays links to a process until the relays are stopped.
pub(crate) fn relay_links(to: usize, listener: TcpListener, context: RelayContext) {
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while !context.is_stopped() {
            let Ok((client, peer)) = listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let from = context.process_addresses.iter().position(|address| address.ip() == peer.ip());
            let direction = LinkDirection { from, to: Some(to), context: context.clone() };
            let address = context.process_addresses[to];
            thread::spawn(move || connect_link(client, address, &direction));
        }
    });
}

/// Waits until neither direction is blocked, connects an accepted link to the process, and copies both ways. `None`
/// means that the relays were stopped or a socket operation failed.
fn connect_link(client: TcpStream, address: SocketAddr, direction: &LinkDirection) -> Option<()> {
    client.set_nonblocking(false).ok()?;
    while direction.is_blocked() || direction.reversed().is_blocked() {
        if direction.is_stopped() {
            return None;
        }
        thread::sleep(POLL_INTERVAL);
    }
    let server = TcpStream::connect(address).ok()?;
    let reversed = direction.reversed();
    let server_reader = server.try_clone().ok()?;
    let client_writer = client.try_clone().ok()?;
    thread::spawn(move || copy_bytes(server_reader, client_writer, &reversed));
    copy_bytes(client, server, direction);
    Some(())
}

/// Copies bytes until either end closes or the relays are stopped. Waits while the direction is blocked.
fn copy_bytes(mut from: TcpStream, mut to: TcpStream, direction: &LinkDirection) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = [0; BUFFER_BYTES];
    while !direction.is_stopped() {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => {
                while direction.is_blocked() && !direction.is_stopped() {
                    thread::sleep(POLL_INTERVAL);
                }
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    if direction.is_stopped() {
        let _ = from.shutdown(Shutdown::Both);
    }
}
