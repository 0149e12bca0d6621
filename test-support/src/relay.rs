//! The network between processes: a relay in front of each process, for datagrams (this module) and for links (TCP,
//! `links.rs`). The faults that a test sets determine what the relays block, drop, delay, duplicate and corrupt. A seed
//! determines the random choices.

use crate::links::relay_links;
use crate::lock;
use std::collections::HashSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Offset of the first process's loopback address from the address of the relays.
const PROCESS_ADDRESS_OFFSET: usize = 10;

/// How long a relay waits for a datagram before it checks which delayed datagrams are due.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How often another port is tried if the TCP port with the same number is in use.
const MAX_BIND_RETRIES: u32 = 50;

/// Longest datagram that is relayed without truncation.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// A direction of traffic between two processes, which are given by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Direction {
    /// The process that sends the data. On a link, it need not be the process that opened the connection.
    pub from: usize,
    /// The process that receives the data.
    pub to: usize,
}

/// The network faults that relays apply to traffic. The default has no faults.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// Directions in which the relays forward nothing.
    pub blocked: HashSet<Direction>,
    /// The fraction of datagrams that are dropped, from 0 to 1.
    pub loss_fraction: f64,
    /// The fraction of datagrams that are delivered twice, from 0 to 1.
    pub duplicate_fraction: f64,
    /// The fraction of datagrams in which one bit is flipped, from 0 to 1.
    pub corrupt_fraction: f64,
    /// The longest delay of a datagram. Each datagram has its own random delay, so some arrive out of order.
    pub max_delay: Duration,
}

impl NetworkFaults {
    /// Blocks all traffic between the processes with an index below `first` and the others.
    pub fn partition(first: usize, process_count: usize) -> NetworkFaults {
        let blocked = blocked_directions(process_count, |from, to| (from < first) != (to < first));
        NetworkFaults { blocked, ..NetworkFaults::default() }
    }
}

/// The directions between `process_count` processes for which `is_blocked(from, to)` holds.
pub(crate) fn blocked_directions(
    process_count: usize,
    is_blocked: impl Fn(usize, usize) -> bool,
) -> HashSet<Direction> {
    let directions_from = |from| (0..process_count).map(move |to| Direction { from, to });
    let all = (0..process_count).flat_map(directions_from);
    all.filter(|direction| is_blocked(direction.from, direction.to)).collect()
}

/// The state that a relay's threads share with the test.
#[derive(Clone)]
pub(crate) struct RelayContext {
    pub(crate) process_addresses: Vec<SocketAddr>,
    pub(crate) faults: Arc<Mutex<NetworkFaults>>,
    pub(crate) stopped: Arc<AtomicBool>,
}

impl RelayContext {
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Whether the faults block traffic from one process to another.
    pub(crate) fn is_blocked(&self, from: usize, to: usize) -> bool {
        lock(&self.faults).blocked.contains(&Direction { from, to })
    }
}

/// The relays in front of a fleet's processes. Dropping this value stops them.
pub struct Relays {
    /// The address of each process's relay, to which the other processes send.
    pub relay_addresses: Vec<SocketAddr>,
    /// The address on which each process listens.
    pub process_addresses: Vec<SocketAddr>,
    /// The faults that all relays apply, as set by [`Relays::set_faults`]. Datagrams that were queued before a change are
    /// still delivered.
    pub faults: Arc<Mutex<NetworkFaults>>,
    stopped: Arc<AtomicBool>,
}

impl Relays {
    /// Starts a relay for each process. `loopback_address` and the addresses after it must not be in use elsewhere: the
    /// relays listen on the address itself, the processes on the addresses from the tenth after it.
    pub fn start(process_count: usize, loopback_address: IpAddr, seed: u64) -> io::Result<Relays> {
        let bind_relay = |_| PortPair::bind((loopback_address, 0).into());
        let relay_ports = (0..process_count).map(bind_relay).collect::<io::Result<Vec<_>>>()?;
        let relay_addresses = relay_ports.iter().map(PortPair::address).collect::<io::Result<Vec<_>>>()?;
        // Find a free port for each process. All stay bound until the last one is known, so that they differ.
        let reserve = |process| {
            let address = nth_address(loopback_address, PROCESS_ADDRESS_OFFSET + process);
            PortPair::bind(SocketAddr::new(address, 0))
        };
        let reserved_ports = (0..process_count).map(reserve).collect::<io::Result<Vec<_>>>()?;
        let process_addresses =
            reserved_ports.iter().map(PortPair::address).collect::<io::Result<Vec<_>>>()?;
        let relays =
            Relays { relay_addresses, process_addresses, faults: Arc::default(), stopped: Arc::default() };
        for (process, ports) in relay_ports.into_iter().enumerate() {
            ports.datagrams.set_read_timeout(Some(POLL_INTERVAL))?;
            let rng = fastrand::Rng::with_seed(seed + process as u64);
            let context = relays.context();
            thread::spawn(move || relay_datagrams(process, &ports.datagrams, &context, rng));
            relay_links(process, ports.links, relays.context());
        }
        Ok(relays)
    }

    fn context(&self) -> RelayContext {
        RelayContext {
            process_addresses: self.process_addresses.clone(),
            faults: self.faults.clone(),
            stopped: self.stopped.clone(),
        }
    }

    /// A copy of the current faults.
    pub fn faults(&self) -> NetworkFaults {
        lock(&self.faults).clone()
    }

    /// Replaces the current faults.
    pub fn set_faults(&self, faults: NetworkFaults) {
        *lock(&self.faults) = faults;
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// A UDP and a TCP socket with the same port number.
struct PortPair {
    datagrams: UdpSocket,
    links: TcpListener,
}

impl PortPair {
    /// Binds both sockets. Port 0 selects a number that is free for both.
    fn bind(address: SocketAddr) -> io::Result<PortPair> {
        let mut retries = 0;
        loop {
            let datagrams = UdpSocket::bind(address)?;
            match TcpListener::bind(datagrams.local_addr()?) {
                Ok(links) => return Ok(PortPair { datagrams, links }),
                Err(e) if retries >= MAX_BIND_RETRIES => return Err(e),
                Err(_) => retries += 1,
            }
        }
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.datagrams.local_addr()
    }
}

/// The IPv4 address that is `offset` after `first`. IPv6 addresses are returned unchanged.
fn nth_address(first: IpAddr, offset: usize) -> IpAddr {
    match first {
        IpAddr::V4(first) => Ipv4Addr::from(u32::from(first).wrapping_add(offset as u32)).into(),
        other => other,
    }
}

/// A datagram that is sent when it is due.
struct DelayedDatagram {
    due: Instant,
    bytes: Vec<u8>,
}

/// Relays datagrams to a process until the relays are stopped.
fn relay_datagrams(to: usize, socket: &UdpSocket, context: &RelayContext, mut rng: fastrand::Rng) {
    let mut delayed: Vec<DelayedDatagram> = Vec::new();
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    while !context.is_stopped() {
        if let Ok((length, source)) = socket.recv_from(&mut buffer) {
            let from = context.process_addresses.iter().position(|address| *address == source);
            let faults = lock(&context.faults).clone();
            if !from.is_some_and(|from| faults.blocked.contains(&Direction { from, to })) {
                apply_faults(&buffer[..length], &faults, &mut rng, &mut delayed);
            }
        }
        let now = Instant::now();
        for datagram in delayed.extract_if(.., |datagram| datagram.due <= now) {
            let _ = socket.send_to(&datagram.bytes, context.process_addresses[to]);
        }
    }
}

/// Applies the faults to a datagram and queues the result for delivery. A dropped datagram is not queued, and a
/// duplicated datagram is queued twice.
fn apply_faults(
    datagram: &[u8],
    faults: &NetworkFaults,
    rng: &mut fastrand::Rng,
    delayed: &mut Vec<DelayedDatagram>,
) {
    if rng.f64() < faults.loss_fraction {
        return;
    }
    let mut bytes = datagram.to_vec();
    if rng.f64() < faults.corrupt_fraction && !bytes.is_empty() {
        bytes[rng.usize(..datagram.len())] ^= 1 << rng.u8(..8);
    }
    let copies = if rng.f64() < faults.duplicate_fraction { 2 } else { 1 };
    for _ in 0..copies {
        let due = Instant::now() + faults.max_delay.mul_f64(rng.f64());
        delayed.push(DelayedDatagram { due, bytes: bytes.clone() });
    }
}
