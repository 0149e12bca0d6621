//! Relays among processes, for datagrams (here) and links (`links.rs`): one before each of them, which cuts, loses, delays, repeats and spoils what passes, by
//! rules that a test changes as it goes and a seed.

use crate::lock;
use std::collections::HashSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happens to datagrams on their way.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// Nothing passes from one to another.
    pub blocked: HashSet<(usize, usize)>,
    /// Shares that are lost, come twice, or are spoilt.
    pub loss_fraction: f64,
    pub duplicate_fraction: f64,
    pub corrupt_fraction: f64,
    /// Each takes up to so long, so that some overtake others.
    pub max_delay: Duration,
}

impl NetworkFaults {
    /// Two sides, neither of which hears the other.
    pub fn partition(of: usize, count: usize) -> NetworkFaults {
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        NetworkFaults {
            blocked: pairs.filter(|(a, b)| (*a < of) != (*b < of)).collect(),
            ..NetworkFaults::default()
        }
    }
}

/// The relays before so many processes.
pub struct Relays {
    /// Where each is reached, and where it listens.
    pub relay_addresses: Vec<SocketAddr>,
    pub process_addresses: Vec<SocketAddr>,
    pub faults: Arc<Mutex<NetworkFaults>>,
    stopped: Arc<AtomicBool>,
}

impl Relays {
    /// `own`: a loopback address that nobody else uses; the processes' own ones follow it by ten.
    pub fn start(count: usize, own: IpAddr, seed: u64) -> io::Result<Relays> {
        // Datagrams and links come to one number.
        let listeners = (0..count).map(|_| bind_pair((own, 0).into())).collect::<io::Result<Vec<_>>>()?;
        let before =
            listeners.iter().map(|(datagrams, _)| datagrams.local_addr()).collect::<io::Result<Vec<_>>>()?;
        // Ports that are free now, all held until all are known.
        let place = |n: usize| SocketAddr::new(nth_address(own, 10 + n), 0);
        let held = (0..count).map(|n| bind_pair(place(n))).collect::<io::Result<Vec<_>>>()?;
        let behind =
            held.iter().map(|(datagrams, _)| datagrams.local_addr()).collect::<io::Result<Vec<_>>>()?;
        let relays = Relays {
            relay_addresses: before,
            process_addresses: behind,
            faults: Arc::default(),
            stopped: Arc::default(),
        };
        for (n, (socket, links)) in listeners.into_iter().enumerate() {
            socket.set_read_timeout(Some(Duration::from_millis(2)))?;
            let (behind, rules, over) =
                (relays.process_addresses.clone(), relays.faults.clone(), relays.stopped.clone());
            let rng = fastrand::Rng::with_seed(seed + n as u64);
            thread::spawn(move || relay_datagrams(n, &socket, &behind, &rules, &over, rng));
            crate::links::relay_links(
                n,
                links,
                relays.process_addresses.clone(),
                relays.faults.clone(),
                relays.stopped.clone(),
            );
        }
        Ok(relays)
    }

    pub fn faults(&self) -> NetworkFaults {
        lock(&self.faults).clone()
    }

    pub fn set_faults(&self, rules: NetworkFaults) {
        *lock(&self.faults) = rules;
    }
}

/// A socket for datagrams and one for links at the same number.
fn bind_pair(at: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut tries = 0;
    loop {
        let datagrams = UdpSocket::bind(at)?;
        match TcpListener::bind(datagrams.local_addr()?) {
            Ok(links) => return Ok((datagrams, links)),
            Err(e) if tries >= 50 => return Err(e),
            Err(_) => tries += 1,
        }
    }
}

/// The address so many after this one.
pub fn nth_address(own: IpAddr, n: usize) -> IpAddr {
    match own {
        IpAddr::V4(own) => Ipv4Addr::from(u32::from(own).wrapping_add(n as u32)).into(),
        other => other,
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn relay_datagrams(
    to: usize,
    socket: &UdpSocket,
    behind: &[SocketAddr],
    rules: &Mutex<NetworkFaults>,
    over: &AtomicBool,
    mut rng: fastrand::Rng,
) {
    let mut waiting: Vec<(Instant, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 2048];
    while !over.load(Ordering::Relaxed) {
        if let Ok((length, source)) = socket.recv_from(&mut buffer) {
            let rules = lock(rules).clone();
            let from = behind.iter().position(|at| *at == source);
            let cut = from.is_some_and(|from| rules.blocked.contains(&(from, to)));
            if !cut && rng.f64() >= rules.loss_fraction {
                let mut bytes = buffer[..length].to_vec();
                if rng.f64() < rules.corrupt_fraction && length > 0 {
                    bytes[rng.usize(..length)] ^= 1 << rng.u8(..8);
                }
                for _ in 0..1 + usize::from(rng.f64() < rules.duplicate_fraction) {
                    waiting.push((Instant::now() + rules.max_delay.mul_f64(rng.f64()), bytes.clone()));
                }
            }
        }
        let now = Instant::now();
        for (_, bytes) in waiting.extract_if(.., |(at, _)| *at <= now) {
            let _ = socket.send_to(&bytes, behind[to]);
        }
    }
}
