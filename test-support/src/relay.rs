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
pub struct Rules {
    /// Nothing passes from one to another.
    pub cut: HashSet<(usize, usize)>,
    /// Shares that are lost, come twice, or are spoilt.
    pub loss: f64,
    pub twice: f64,
    pub spoilt: f64,
    /// Each takes up to so long, so that some overtake others.
    pub delay: Duration,
}

impl Rules {
    /// Two sides, neither of which hears the other.
    pub fn halves(of: usize, count: usize) -> Rules {
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        Rules { cut: pairs.filter(|(a, b)| (*a < of) != (*b < of)).collect(), ..Rules::default() }
    }
}

/// The relays before so many processes.
pub struct Relays {
    /// Where each is reached, and where it listens.
    pub before: Vec<SocketAddr>,
    pub behind: Vec<SocketAddr>,
    pub rules: Arc<Mutex<Rules>>,
    over: Arc<AtomicBool>,
}

impl Relays {
    /// `own`: a loopback address that nobody else uses; the processes' own ones follow it by ten.
    pub fn start(count: usize, own: IpAddr, seed: u64) -> io::Result<Relays> {
        // Datagrams and links come to one number.
        let listeners = (0..count).map(|_| pair((own, 0).into())).collect::<io::Result<Vec<_>>>()?;
        let before =
            listeners.iter().map(|(datagrams, _)| datagrams.local_addr()).collect::<io::Result<Vec<_>>>()?;
        // Ports that are free now, all held until all are known.
        let place = |n: usize| SocketAddr::new(nth(own, 10 + n), 0);
        let held = (0..count).map(|n| pair(place(n))).collect::<io::Result<Vec<_>>>()?;
        let behind =
            held.iter().map(|(datagrams, _)| datagrams.local_addr()).collect::<io::Result<Vec<_>>>()?;
        let relays = Relays { before, behind, rules: Arc::default(), over: Arc::default() };
        for (n, (socket, links)) in listeners.into_iter().enumerate() {
            socket.set_read_timeout(Some(Duration::from_millis(2)))?;
            let (behind, rules, over) = (relays.behind.clone(), relays.rules.clone(), relays.over.clone());
            let rng = fastrand::Rng::with_seed(seed + n as u64);
            thread::spawn(move || pass(n, &socket, &behind, &rules, &over, rng));
            crate::links::relay(n, links, relays.behind.clone(), relays.rules.clone(), relays.over.clone());
        }
        Ok(relays)
    }

    pub fn rules(&self) -> Rules {
        lock(&self.rules).clone()
    }

    pub fn set(&self, rules: Rules) {
        *lock(&self.rules) = rules;
    }
}

/// A socket for datagrams and one for links at the same number.
fn pair(at: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
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
pub fn nth(own: IpAddr, n: usize) -> IpAddr {
    match own {
        IpAddr::V4(own) => Ipv4Addr::from(u32::from(own).wrapping_add(n as u32)).into(),
        other => other,
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn pass(
    to: usize,
    socket: &UdpSocket,
    behind: &[SocketAddr],
    rules: &Mutex<Rules>,
    over: &AtomicBool,
    mut rng: fastrand::Rng,
) {
    let mut waiting: Vec<(Instant, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 2048];
    while !over.load(Ordering::Relaxed) {
        if let Ok((length, source)) = socket.recv_from(&mut buffer) {
            let rules = lock(rules).clone();
            let from = behind.iter().position(|at| *at == source);
            let cut = from.is_some_and(|from| rules.cut.contains(&(from, to)));
            if !cut && rng.f64() >= rules.loss {
                let mut bytes = buffer[..length].to_vec();
                if rng.f64() < rules.spoilt && length > 0 {
                    bytes[rng.usize(..length)] ^= 1 << rng.u8(..8);
                }
                for _ in 0..1 + usize::from(rng.f64() < rules.twice) {
                    waiting.push((Instant::now() + rules.delay.mul_f64(rng.f64()), bytes.clone()));
                }
            }
        }
        let now = Instant::now();
        for (_, bytes) in waiting.extract_if(.., |(at, _)| *at <= now) {
            let _ = socket.send_to(&bytes, behind[to]);
        }
    }
}
