//! Relays for links (TCP) among processes, under the rules of the relays for datagrams: what is cut stays open and silent, as when a
//! network is cut; who speaks is told by the address that the connection comes from.

use crate::lock;
use crate::relay::Rules;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LOOK: Duration = Duration::from_millis(5);

/// What each copying thread needs to know.
#[derive(Clone)]
struct Way {
    from: Option<usize>,
    to: usize,
    rules: Arc<Mutex<Rules>>,
    over: Arc<AtomicBool>,
}

impl Way {
    fn back(&self) -> Way {
        Way { from: Some(self.to), to: self.from.unwrap_or(usize::MAX), ..self.clone() }
    }

    fn cut(&self) -> bool {
        let rules = lock(&self.rules);
        self.from.is_some_and(|from| rules.cut.contains(&(from, self.to)))
    }
}

/// Passes links on to the process of a place.
pub(crate) fn relay(
    to: usize,
    listener: TcpListener,
    behind: Vec<SocketAddr>,
    rules: Arc<Mutex<Rules>>,
    over: Arc<AtomicBool>,
) {
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while !over.load(Ordering::Relaxed) {
            let Ok((asker, peer)) = listener.accept() else {
                thread::sleep(LOOK);
                continue;
            };
            let from = behind.iter().position(|at| at.ip() == peer.ip());
            let way = Way { from, to, rules: rules.clone(), over: over.clone() };
            let at = behind[to];
            thread::spawn(move || join(asker, at, &way));
        }
    });
}

fn join(asker: TcpStream, at: SocketAddr, way: &Way) -> Option<()> {
    asker.set_nonblocking(false).ok()?;
    // Nobody answers a call that does not arrive.
    while way.cut() || way.back().cut() {
        if way.over.load(Ordering::Relaxed) {
            return None;
        }
        thread::sleep(LOOK);
    }
    let donor = TcpStream::connect(at).ok()?;
    let (back, ends) = (way.back(), (donor.try_clone().ok()?, asker.try_clone().ok()?));
    thread::spawn(move || copy(ends.0, ends.1, &back));
    copy(asker, donor, way);
    Some(())
}

/// Until either end is over; while the way is cut nothing passes.
fn copy(mut from: TcpStream, mut to: TcpStream, way: &Way) {
    let _ = from.set_read_timeout(Some(LOOK));
    let mut buffer = [0; 16 << 10];
    while !way.over.load(Ordering::Relaxed) {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => {
                while way.cut() && !way.over.load(Ordering::Relaxed) {
                    thread::sleep(LOOK);
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
    if way.over.load(Ordering::Relaxed) {
        let _ = from.shutdown(Shutdown::Both);
    }
}
