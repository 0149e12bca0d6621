//! Relays for links (TCP) among processes, under the rules of the relays for datagrams: what is cut stays open and silent, as when a
//! network is cut; who speaks is told by the address that the connection comes from.

use crate::lock;
use crate::relay::NetworkFaults;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What each copying thread needs to know.
#[derive(Clone)]
struct LinkDirection {
    from: Option<usize>,
    to: usize,
    faults: Arc<Mutex<NetworkFaults>>,
    stopped: Arc<AtomicBool>,
}

impl LinkDirection {
    fn reversed(&self) -> LinkDirection {
        LinkDirection { from: Some(self.to), to: self.from.unwrap_or(usize::MAX), ..self.clone() }
    }

    fn is_blocked(&self) -> bool {
        let rules = lock(&self.faults);
        self.from.is_some_and(|from| rules.blocked.contains(&(from, self.to)))
    }
}

/// Passes links on to the process of a place.
pub(crate) fn relay_links(
    to: usize,
    listener: TcpListener,
    behind: Vec<SocketAddr>,
    rules: Arc<Mutex<NetworkFaults>>,
    over: Arc<AtomicBool>,
) {
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while !over.load(Ordering::Relaxed) {
            let Ok((asker, peer)) = listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let from = behind.iter().position(|at| at.ip() == peer.ip());
            let way = LinkDirection { from, to, faults: rules.clone(), stopped: over.clone() };
            let at = behind[to];
            thread::spawn(move || connect_link(asker, at, &way));
        }
    });
}

fn connect_link(asker: TcpStream, at: SocketAddr, way: &LinkDirection) -> Option<()> {
    asker.set_nonblocking(false).ok()?;
    // Nobody answers a call that does not arrive.
    while way.is_blocked() || way.reversed().is_blocked() {
        if way.stopped.load(Ordering::Relaxed) {
            return None;
        }
        thread::sleep(POLL_INTERVAL);
    }
    let donor = TcpStream::connect(at).ok()?;
    let (back, ends) = (way.reversed(), (donor.try_clone().ok()?, asker.try_clone().ok()?));
    thread::spawn(move || copy_bytes(ends.0, ends.1, &back));
    copy_bytes(asker, donor, way);
    Some(())
}

/// Until either end is over; while the way is cut nothing passes.
fn copy_bytes(mut from: TcpStream, mut to: TcpStream, way: &LinkDirection) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = [0; 16 << 10];
    while !way.stopped.load(Ordering::Relaxed) {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => {
                while way.is_blocked() && !way.stopped.load(Ordering::Relaxed) {
                    thread::sleep(POLL_INTERVAL);
                }
                if to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    if way.stopped.load(Ordering::Relaxed) {
        let _ = from.shutdown(Shutdown::Both);
    }
}
