//! Reports of members: each counts once, the newest alone, nearly all hear it, and what comes is bounded.

use birchreach_membership::faults::{Fault, with};
use birchreach_membership::{GossipReports, LIFETIME_INTERVALS, MAX_REPORT_BYTES, Micros};
use std::net::SocketAddr;

const S: Micros = 1_000_000;

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 200) as u8, (n % 200) as u8 + 1], 7000))
}

fn told(r: &mut GossipReports, now: Micros) -> Option<Vec<u8>> {
    r.encode_gossip(now, &[at(1)]).map(|(_, bytes)| bytes)
}

#[test]
fn reports_reach_nearly_all_members() {
    for (count, seed) in [(5, 1), (40, 2), (300, 3)] {
        let mut all: Vec<GossipReports> =
            (0..count).map(|n| GossipReports::new(n as u64 + 1, seed * 1_000 + n as u64)).collect();
        let interval = GossipReports::interval(count);
        let (mut heard, mut datagrams) = (0, 0);
        for (n, r) in all.iter_mut().enumerate() {
            r.publish(0, 1, vec![n as u8; 110]);
        }
        for now in (0..interval).step_by(50_000) {
            for n in 0..count {
                let others: Vec<SocketAddr> = (0..count).filter(|o| *o != n).map(at).collect();
                let Some((to, bytes)) = all[n].encode_gossip(now, &others) else { continue };
                datagrams += 1;
                let to = (0..count).find(|o| at(*o) == to).unwrap();
                heard += all[to].apply_gossip(now, count, |_| true, &bytes).unwrap().len();
            }
        }
        let share = heard as f64 / (count * (count - 1)) as f64;
        let each = datagrams as f64 / count as f64 / (interval as f64 / 1e6);
        assert!(share > 0.98, "{count}: {share} heard in an interval");
        assert!(each <= 20.5, "{count}: {each} datagrams a second");
    }
}

fn count_once() -> Result<(), String> {
    let (mut a, mut b) = (GossipReports::new(1, 1), GossipReports::new(2, 2));
    a.publish(0, 7, b"first".to_vec());
    let first = told(&mut a, 0).ok_or("nothing told")?;
    a.publish(S, 7, b"second".to_vec());
    let second = told(&mut a, S).ok_or("nothing told")?;
    let mut hear = |now, bytes: &[u8]| b.apply_gossip(now, 2, |_| true, bytes).map_err(|e| format!("{e:?}"));
    let got = hear(S, &second)?;
    if got.len() != 1 || got[0].payload != b"second" || got[0].origin != 1 || got[0].sequence != 2 {
        return Err(format!("{got:?}"));
    }
    // Twice, and one that was overtaken.
    for bytes in [&second, &first, &second] {
        let again = hear(S + 1, bytes)?;
        if !again.is_empty() {
            return Err(format!("it counts again: {again:?}"));
        }
    }
    Ok(())
}

#[test]
fn reports_count_once() {
    count_once().unwrap();
    assert!(with(Fault::DuplicatesCounted, count_once).is_err(), "the check finds nothing");
}

#[test]
fn ages_add_up_and_reports_expire() {
    let (mut a, mut b, mut c) =
        (GossipReports::new(1, 1), GossipReports::new(2, 2), GossipReports::new(3, 3));
    a.publish(0, 7, b"word".to_vec());
    let word = told(&mut a, S / 2).unwrap();
    // A second under way, whose clock reads anything.
    let clock = 500 * S;
    let got = b.apply_gossip(clock, 3, |_| true, &word).unwrap();
    assert!((S / 2..S).contains(&got[0].age), "{got:?}");
    let life = GossipReports::interval(3) * LIFETIME_INTERVALS;
    let again = told(&mut b, clock + 2 * S).unwrap();
    let got = c.apply_gossip(0, 3, |_| true, &again).unwrap();
    assert!((5 * S / 2..3 * S).contains(&got[0].age), "{got:?}");
    assert_eq!(told(&mut c, life), None, "it has run out, and is not handed on");
    let mut late = GossipReports::new(4, 4);
    assert!(
        late.apply_gossip(0, 3, |origin| origin != 1, &word).unwrap().is_empty(),
        "its origin is no member"
    );
    assert_eq!(late.len(), 0);
}

#[test]
fn noise_changes_nothing() {
    let mut rng = fastrand::Rng::with_seed(9);
    let (mut a, mut b) = (GossipReports::new(1, 1), GossipReports::new(2, 2));
    a.publish(0, 1, vec![7; MAX_REPORT_BYTES + 1]);
    assert!(told(&mut a, 0).is_none(), "too long a report is none");
    a.publish(0, 1, vec![7; 300]);
    let good = told(&mut a, 0).unwrap();
    for _ in 0..20_000 {
        let mut bytes = good.clone();
        for _ in 0..rng.usize(1..4) {
            let n = rng.usize(..bytes.len());
            bytes[n] = rng.u8(..);
        }
        bytes.truncate(rng.usize(..=bytes.len()));
        let member = rng.bool();
        let _ = b.apply_gossip(0, 2, |_| member, &bytes);
    }
    assert!(b.len() <= 16_384);
    let mut c = GossipReports::new(3, 3);
    for cut in 1..good.len() {
        assert!(c.apply_gossip(0, 2, |_| true, &good[..cut]).is_err(), "{cut} bytes of it");
    }
    assert!(c.is_empty());
}

#[test]
fn origins_are_bounded() {
    let (mut liar, mut b) = (GossipReports::new(1, 1), GossipReports::new(9, 2));
    b.publish(0, 1, b"own".to_vec());
    for n in 0..20_000u64 {
        liar = GossipReports::new(n + 10, 1);
        liar.publish(0, 1, b"x".to_vec());
        let bytes = told(&mut liar, 0).unwrap();
        b.apply_gossip(0, 2, |_| true, &bytes).unwrap();
    }
    assert!(b.len() <= 16_384 && told(&mut b, 0).is_some(), "{}", b.len());
    drop(liar);
}
