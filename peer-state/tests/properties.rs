//! The crate's invariants over seeded knowledge. A seed that fails is printed, and fails again.

use birchreach_peer_state::{
    Micros, Observation, ObservationSource, PeerState, Role, ServerFacts, ServerIncarnation, TransferPart,
    advice,
};
use std::collections::BTreeMap;

const S: Micros = 1_000_000;
const SERVERS: u32 = 6;

fn name(n: u32) -> String {
    format!("s-{n}")
}

/// One who knows the list: two groups of three.
fn fresh(observer: u64) -> PeerState {
    let mut k = PeerState::new(observer);
    (0..SERVERS)
        .for_each(|n| k.add_listed_server(&name(n), ServerIncarnation { started_ms: 0, group: n % 2 }));
    k
}

fn seen<T>(rng: &mut fastrand::Rng, value: T) -> Option<Observation<T>> {
    let sources = [
        ObservationSource::EndpointList,
        ObservationSource::LoadReport,
        ObservationSource::ServerStatus,
        ObservationSource::ServedWrite,
    ];
    rng.bool().then(|| Observation {
        value,
        // Few values: ties are what an order must not stumble over.
        observed_at: rng.i64(0..4),
        hop_count: rng.u8(0..3),
        source: sources[rng.usize(0..4)],
        observer: rng.u64(0..3),
    })
}

fn facts(rng: &mut fastrand::Rng) -> ServerFacts {
    let mut f = ServerFacts::new(rng.u64(0..2), rng.u32(0..2));
    let small = |rng: &mut fastrand::Rng| rng.i64(0..3);
    let (position, lag, latency) = (small(rng), small(rng), small(rng));
    (f.position, f.lag, f.latency) = (seen(rng, position), seen(rng, lag), seen(rng, latency));
    (f.primary, f.replica) = (seen(rng, ()), seen(rng, ()));
    let (suspect, cold) = (rng.bool(), rng.u16(0..3));
    (f.suspect, f.slow_start_permille) = (seen(rng, suspect), seen(rng, cold));
    f
}

#[test]
fn joins_are_a_semilattice() {
    for seed in 0..20_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (a, b, c) = (facts(&mut rng), facts(&mut rng), facts(&mut rng));
        assert_eq!(a.merge(&b), b.merge(&a), "seed {seed}: commutative");
        assert_eq!(a.merge(&b).merge(&c), a.merge(&b.merge(&c)), "seed {seed}: associative");
        assert_eq!(a.merge(&a), a, "seed {seed}: idempotent");
        assert_eq!(a.merge(&b).merge(&b), a.merge(&b), "seed {seed}: told twice");
    }
}

/// Proxies that see things and tell one another, over ways that take time, on clocks that differ.
struct World {
    rng: fastrand::Rng,
    now: Micros,
    /// Each holder, how its clock differs, and what is true of what it may know: for each server the instants at which
    /// something was seen by anybody, on the true clock.
    holders: Vec<(PeerState, Micros)>,
    positions: BTreeMap<u32, Vec<Micros>>,
    primaries: BTreeMap<u32, Vec<Micros>>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Ten seconds apart and more.
        let holders = (0..4).map(|n| (fresh(n + 1), rng.i64(-15 * S..15 * S))).collect();
        World { rng, now: 1_000 * S, holders, positions: BTreeMap::new(), primaries: BTreeMap::new() }
    }

    fn go(&mut self) {
        self.now += self.rng.i64(0..2 * S);
        let n = self.rng.u32(0..SERVERS);
        let who = self.rng.usize(0..self.holders.len());
        let (now, offset) = (self.now, self.holders[who].1);
        let local = now + offset;
        match self.rng.u8(0..6) {
            0 => {
                let position = now - self.rng.i64(0..3 * S);
                self.positions.entry(n).or_default().push(position);
                self.holders[who].0.record_position(
                    local,
                    &name(n),
                    position,
                    now - position,
                    ObservationSource::ServerStatus,
                );
            }
            1 => {
                let role = if self.rng.bool() { Role::Primary } else { Role::Replica };
                if role == Role::Primary {
                    self.primaries.entry(n).or_default().push(now);
                }
                self.holders[who].0.record_role(local, &name(n), role, ObservationSource::ServerStatus);
            }
            2 => {
                let suspect = self.rng.bool();
                self.holders[who].0.record_health(local, &name(n), suspect);
            }
            _ => {
                // One asks another; the way there and back takes time.
                let to = self.rng.usize(0..self.holders.len());
                let asked = local;
                self.now += self.rng.i64(0..S);
                let told_at = self.now + self.holders[to].1;
                let told = TransferPart { servers: self.holders[to].0.export_facts(told_at).collect() };
                self.now += self.rng.i64(0..S);
                if to != who {
                    self.holders[who].0.apply_transfer(asked, &told);
                }
            }
        }
    }
}

#[test]
fn ages_only_add_up_and_positions_were_seen() {
    let mut heard = 0;
    for seed in 0..600 {
        let mut world = World::new(seed);
        for _ in 0..120 {
            world.go();
            for (holder, offset) in &world.holders {
                for n in 0..SERVERS {
                    let Some(f) = holder.facts(&name(n)) else { continue };
                    if let Some(primary) = f.primary {
                        // On the true clock it was there by then, or before: never later.
                        let at = primary.observed_at - offset;
                        let true_times = &world.primaries[&n];
                        assert!(true_times.iter().any(|t| *t >= at), "seed {seed}: younger than it was");
                        heard += usize::from(primary.hop_count > 0);
                        assert!(
                            primary.hop_count == 0 || primary.observer != holder.observer,
                            "seed {seed}: own words"
                        );
                    }
                    if let Some(position) = advice::position(holder, &name(n)) {
                        assert!(
                            world.positions[&n].contains(&position.value),
                            "seed {seed}: nobody saw that"
                        );
                    }
                }
            }
        }
    }
    assert!(heard > 1000, "histories in which nobody hears show nothing");
}

/// However the words of one world arrive, and however often, all end with the same.
#[test]
fn the_order_of_answers_does_not_matter() {
    for seed in 0..500 {
        let mut world = World::new(seed);
        (0..80).for_each(|_| world.go());
        let now = world.now;
        let words: Vec<TransferPart> = world
            .holders
            .iter()
            .map(|(k, offset)| TransferPart { servers: k.export_facts(now + offset).collect() })
            .collect();
        let hear = |order: &[usize]| {
            let mut newcomer = fresh(99);
            order.iter().for_each(|n| newcomer.apply_transfer(now, &words[*n]));
            newcomer.dropped = 0;
            newcomer
        };
        let first = hear(&[0, 1, 2, 3]);
        for order in [&[3, 2, 1, 0][..], &[2, 0, 3, 1, 1, 0], &[0, 0, 1, 1, 2, 3]] {
            assert_eq!(hear(order), first, "seed {seed}");
        }
    }
}

#[test]
fn another_boot_is_another_server() {
    let mut donor = fresh(1);
    donor.add_listed_server("s-0", ServerIncarnation { started_ms: 5, group: 0 });
    donor.record_position(10 * S, "s-0", 9 * S, S, ObservationSource::ServerStatus);
    donor.record_role(10 * S, "s-0", Role::Primary, ObservationSource::ServedWrite);
    let told = |donor: &PeerState| TransferPart { servers: donor.export_facts(11 * S).collect() };
    // The newcomer's list has a later boot, or an earlier one, or another group.
    for listed in [
        ServerIncarnation { started_ms: 6, group: 0 },
        ServerIncarnation { started_ms: 0, group: 0 },
        ServerIncarnation { started_ms: 5, group: 1 },
    ] {
        let mut newcomer = fresh(2);
        newcomer.add_listed_server("s-0", listed.clone());
        newcomer.apply_transfer(11 * S, &told(&donor));
        assert_eq!((newcomer.facts("s-0"), newcomer.dropped), (None, 1), "{listed:?}");
    }
    // And what is there goes with the boot.
    let mut newcomer = fresh(2);
    newcomer.add_listed_server("s-0", ServerIncarnation { started_ms: 5, group: 0 });
    newcomer.apply_transfer(11 * S, &told(&donor));
    assert!(advice::position(&newcomer, "s-0").is_some());
    newcomer.add_listed_server("s-0", ServerIncarnation { started_ms: 7, group: 0 });
    assert_eq!(newcomer.facts("s-0"), None);
    newcomer.add_listed_server("s-0", ServerIncarnation { started_ms: 5, group: 0 });
    assert_eq!(newcomer.facts("s-0"), None, "it does not come back");
}

#[test]
fn former_primaries_are_not_asked_first() {
    // The donor saw s-0 as the primary before the failover; somebody else saw s-2 after it.
    let mut old = fresh(1);
    old.record_role(10 * S, "s-0", Role::Primary, ObservationSource::ServedWrite);
    let mut new = fresh(2);
    new.record_role(15 * S, "s-2", Role::Primary, ObservationSource::ServerStatus);
    let mut newcomer = fresh(3);
    newcomer.apply_transfer(20 * S, &TransferPart { servers: old.export_facts(20 * S).collect() });
    let first = |k: &PeerState, now| {
        advice::primary_candidates(k, 0, now).into_iter().map(|c| c.uid).collect::<Vec<_>>()
    };
    assert_eq!(first(&newcomer, 20 * S), ["s-0"], "that is all it has heard");
    let trust = advice::primary_candidates(&newcomer, 0, 20 * S)[0].trust;
    assert!(trust < 0.3 && advice::primary_candidates(&newcomer, 0, 60 * S)[0].trust < trust / 10.0);
    newcomer.apply_transfer(20 * S, &TransferPart { servers: new.export_facts(20 * S).collect() });
    assert_eq!(first(&newcomer, 20 * S), ["s-2"]);
    assert!(advice::is_former_primary(&newcomer, "s-0") && !advice::is_former_primary(&newcomer, "s-2"));
    // Alive again as a replica: seen so, it is not there even alone.
    let mut other = fresh(4);
    other.apply_transfer(20 * S, &TransferPart { servers: old.export_facts(20 * S).collect() });
    other.record_role(21 * S, "s-0", Role::Replica, ObservationSource::ServerStatus);
    assert!(first(&other, 22 * S).is_empty() && advice::is_former_primary(&other, "s-0"));
    // Two that are seen within a moment contradict: both are asked, neither is trusted as before.
    let mut cut_off = fresh(5);
    cut_off.record_role(15 * S, "s-4", Role::Primary, ObservationSource::ServerStatus);
    newcomer.apply_transfer(20 * S, &TransferPart { servers: cut_off.export_facts(20 * S).collect() });
    let candidates = advice::primary_candidates(&newcomer, 0, 20 * S);
    assert_eq!(candidates.len(), 2);
    assert!(candidates.iter().all(|c| c.trust < 0.2));
}

#[test]
fn heard_suspicion_fades_sooner_than_own() {
    let mut donor = fresh(1);
    donor.record_health(10 * S, "s-0", true);
    let mut newcomer = fresh(2);
    newcomer.apply_transfer(10 * S, &TransferPart { servers: donor.export_facts(10 * S).collect() });
    let (own, heard) =
        (advice::suspicion(&donor, "s-0", 14 * S), advice::suspicion(&newcomer, "s-0", 14 * S));
    assert!(own > 0.45 && heard < own / 3.0, "{own} {heard}");
    newcomer.record_health(14 * S, "s-0", false);
    assert_eq!(advice::suspicion(&newcomer, "s-0", 14 * S), 0.0);
}

#[test]
fn own_words_do_not_come_back() {
    let mut a = fresh(1);
    a.record_role(10 * S, "s-0", Role::Primary, ObservationSource::ServerStatus);
    let mut b = fresh(2);
    b.apply_transfer(11 * S, &TransferPart { servers: a.export_facts(11 * S).collect() });
    let mut again = fresh(1);
    again.apply_transfer(12 * S, &TransferPart { servers: b.export_facts(12 * S).collect() });
    assert_eq!(again.facts("s-0"), None);
    // And nothing goes on for ever.
    let mut last = b;
    for hop in 3..8 {
        let mut next = fresh(hop);
        next.apply_transfer(12 * S, &TransferPart { servers: last.export_facts(12 * S).collect() });
        last = next;
    }
    assert_eq!(last.facts("s-0"), None);
}

#[test]
fn tables_are_bounded() {
    let mut k = PeerState::new(1);
    for n in 0..10_000 {
        k.add_listed_server(&name(n), ServerIncarnation { started_ms: 0, group: 0 });
        k.record_role(S, &name(n), Role::Replica, ObservationSource::ServerStatus);
    }
    k.add_listed_server(&"x".repeat(1000), ServerIncarnation { started_ms: 0, group: 0 });
    assert_eq!((k.listed_servers().count(), k.servers().count()), (4096, 4096));
    let mut newcomer = fresh(2);
    newcomer.apply_transfer(S, &TransferPart { servers: k.export_facts(S).collect() });
    assert!(newcomer.servers().count() <= SERVERS as usize);
}
