//! What must hold of a fleet, as scenes that return what was violated: the tests want them to pass, and each injected fault must
//! make one fail.

use super::network::Network;
use super::{SECOND, address};
use birchreach_membership::{MAX_MEMBERS, Membership, MembershipChange, Micros, Peer, ViewState};
use foca::{Codec, Header, Member, Message, PostcardCodec};

/// Returns with an error unless the condition holds.
macro_rules! ensure {
    ($what:expr) => { ensure!($what, "{}", stringify!($what)) };
    ($what:expr, $($message:tt)+) => {
        let holds: bool = $what;
        if !holds {
            return Err(format!($($message)+));
        }
    };
}

/// Returns with an error unless both are equal.
macro_rules! ensure_eq {
    ($a:expr, $b:expr $(,)?) => { ensure_eq!($a, $b, "{}", stringify!($a)) };
    ($a:expr, $b:expr, $($message:tt)+) => {
        let (a, b) = (&$a, &$b);
        if a != b {
            return Err(format!("{}: {a:?}, not {b:?}", format!($($message)+)));
        }
    };
}

fn cut_into_halves(network: &mut Network, first: usize) {
    network.is_cut = Box::new(move |from, to| (from < first) != (to < first));
}

fn end_cut(network: &mut Network) {
    network.is_cut = Box::new(|_, _| false);
}

fn membership(network: &mut Network, n: usize) -> Result<&mut Membership, String> {
    network.processes[n].membership.as_mut().ok_or(format!("{n} is down"))
}

/// Waits until all agree on so many members, or returns what they were to agree after.
fn agreement(network: &mut Network, members: usize, limit: Micros, after: &str) -> Result<(), String> {
    let took = network.time_to_agreement(members, limit);
    took.map(drop).ok_or_else(|| format!("{after}: {members} members do not agree"))
}

/// How often a process of a place for which this holds was removed from a view.
fn removals(network: &Network, counts: impl Fn(usize) -> bool) -> usize {
    let is_counted =
        |peer: &Peer| (0..network.processes.len()).any(|n| address(n) == peer.address && counts(n));
    let changes = network.processes.iter().flat_map(|process| &process.changes);
    changes
        .filter(|(_, change)| matches!(change, MembershipChange::Removed(peer) if is_counted(peer)))
        .count()
}

pub fn the_view_settles_again() -> Result<(), String> {
    for (count, seed) in [(10, 1), (10, 2), (40, 3), (40, 4)] {
        let limit = 20 * SECOND;
        let label = |what: &str| format!("{what}, {count} members, seed {seed}");
        let network = &mut Network::started(count, seed);
        agreement(network, count, limit, &label("join"))?;
        // The seeds are down, and seven in ten with them.
        let killed = count * 7 / 10;
        (0..killed).for_each(|n| network.kill(n));
        agreement(network, count - killed, limit, &label("crash of seven in ten"))?;
        (0..killed).for_each(|n| network.start(n, 0));
        agreement(network, count, limit, &label("return of seven in ten"))?;
        // Long enough for each half to remove the other.
        cut_into_halves(network, count / 2);
        network.advance(60 * SECOND);
        end_cut(network);
        agreement(network, count, limit, &label("partition"))?;
        let last = count - 1;
        network.is_cut = Box::new(move |_, to| to == last);
        network.advance(20 * SECOND);
        let state = membership(network, last)?.view().state;
        ensure!(matches!(state, ViewState::Blind { .. }), "{state:?}");
        end_cut(network);
        agreement(network, count, limit, &label("one-way cut"))?;
        network.pause(last);
        network.advance(20 * SECOND);
        network.resume(last);
        agreement(network, count, limit, &label("pause"))?;
        leaves_and_rejoins(network, count, &label("leave"))?;
    }
    Ok(())
}

/// That the first process leaves is known to all at once, not only when its probes fail.
fn leaves_and_rejoins(network: &mut Network, count: usize, label: &str) -> Result<(), String> {
    let now = network.now;
    membership(network, 0)?.leave(now);
    network.advance(SECOND);
    let is_absent = |view: &Membership| view.members().all(|member| member.address != address(0));
    ensure!(network.live().skip(1).all(is_absent), "{label}: not known to all at once");
    let now = network.now;
    membership(network, 0)?.rejoin(now);
    agreement(network, count, 20 * SECOND, &format!("{label} and rejoin"))?;
    let now = network.now;
    membership(network, 0)?.leave(now);
    network.advance(SECOND / 10);
    network.kill(0);
    agreement(network, count - 1, 10 * SECOND, label)
}

pub fn no_live_member_is_removed() -> Result<(), String> {
    for (loss, seed) in [(0.0, 1), (0.05, 2), (0.05, 3)] {
        let mut network = Network::started(40, seed);
        network.loss = loss;
        network.advance(120 * SECOND);
        ensure_eq!(removals(&network, |_| true), 0, "loss {loss}, seed {seed}");
        network.kill(7);
        network.advance(10 * SECOND);
        ensure_eq!(removals(&network, |n| n != 7), 0, "loss {loss}, seed {seed}");
        let is_absent = |view: &&Membership| view.members().all(|member| member.address != address(7));
        ensure_eq!(network.live().filter(is_absent).count(), 39, "loss {loss}, seed {seed}");
    }
    Ok(())
}

pub fn quotas_of_partitions_never_exceed_the_whole() -> Result<(), String> {
    let mut network = Network::started(20, 5);
    agreement(&mut network, 20, 20 * SECOND, "join")?;
    cut_into_halves(&mut network, 7);
    for _ in 0..200 {
        network.advance(SECOND / 5);
        let sum: f64 = network.live().map(|member| 1.0 / f64::from(member.view().divisor())).sum();
        ensure!(sum <= 1.0 + 1e-9, "{sum} at {}", network.now);
    }
    ensure!(network.live().all(|member| member.view().members < 20), "each partition sees itself alone");
    // More members than the options name: those seen count.
    end_cut(&mut network);
    (20..25).for_each(|n| network.start(n, 0));
    agreement(&mut network, 25, 20 * SECOND, "join of five more")?;
    ensure!(network.live().all(|member| member.view().divisor() == 25));
    Ok(())
}

pub fn a_restart_replaces_the_former_incarnation() -> Result<(), String> {
    for clock_offset in [0, -3_600 * SECOND] {
        let mut network = Network::started(10, 6);
        agreement(&mut network, 10, 20 * SECOND, "join")?;
        let before = membership(&mut network, 4)?.own().incarnation;
        // At once, before any other has noticed, and perhaps with a clock that went back.
        network.kill(4);
        network.start(4, clock_offset);
        agreement(&mut network, 10, 30 * SECOND, &format!("restart, clock off by {clock_offset}"))?;
        let after = membership(&mut network, 4)?.own().incarnation;
        let seen = |view: &Membership| {
            view.members().find(|member| member.address == address(4)).map(|member| member.incarnation)
        };
        let is_replaced = network.live().all(|view| seen(view).is_none_or(|seen| seen == after));
        ensure!(is_replaced && before != after);
    }
    Ok(())
}

pub fn a_partitioned_member_reports_itself_blind() -> Result<(), String> {
    let state = |network: &mut Network| membership(network, 0).map(|member| member.view().state);
    let mut network = Network::new(3, 7);
    network.start(0, 0);
    network.advance(4 * SECOND);
    ensure_eq!(state(&mut network)?, ViewState::Blind { since: 0 });
    (1..3).for_each(|n| network.start(n, 0));
    agreement(&mut network, 3, 10 * SECOND, "join")?;
    cut_into_halves(&mut network, 1);
    let cut_at = network.now;
    network.advance(4 * SECOND);
    let near_cut = cut_at - SECOND..=cut_at + SECOND;
    let state_after = state(&mut network)?;
    ensure!(
        matches!(state_after, ViewState::Blind { since } if near_cut.contains(&since)),
        "{state_after:?}"
    );
    let mut alone = Network::started(1, 8);
    alone.advance(10 * SECOND);
    ensure_eq!(state(&mut alone)?, ViewState::Alone);
    Ok(())
}

pub fn name_conflicts_are_reported() -> Result<(), String> {
    let mut network = Network::started(4, 9);
    network.start_named(4, "p2", 0);
    network.advance(10 * SECOND);
    let reports = |member: &Membership| member.view().name_conflicts == ["p2"];
    ensure!(network.live().all(reports), "by all, those with the name too");
    network.kill(4);
    network.advance(10 * SECOND);
    ensure!(network.live().all(|member| member.view().name_conflicts.is_empty()));
    let (conflict, resolved) =
        (MembershipChange::NameConflict("p2".into()), MembershipChange::NameConflictResolved("p2".into()));
    for process in &network.processes[..4] {
        let changes = process.changes.iter().map(|(_, change)| change);
        let of_names: Vec<_> = changes.filter(|change| [&conflict, &resolved].contains(change)).collect();
        ensure_eq!(of_names, [&conflict, &resolved]);
    }
    Ok(())
}

/// An invented member.
fn invented(n: u32) -> Peer {
    Peer {
        name: format!("liar{n}"),
        address: std::net::SocketAddr::from(([11, (n >> 16) as u8, (n >> 8) as u8, n as u8], 1)),
        incarnation: u64::from(n) + 1_000,
        epoch: 1,
        renewals: 0,
    }
}

/// A payload for a member that names twenty invented ones.
fn invented_gossip(to: Peer, round: u32) -> Result<Vec<u8>, String> {
    let header = Header { src: invented(0), src_incarnation: 0, dst: to, message: Message::Gossip };
    let mut data = vec![0; 8];
    PostcardCodec.encode_header(&header, &mut data).map_err(|error| error.to_string())?;
    data.extend(20u16.to_be_bytes());
    for n in 0..20 {
        let member = Member::alive(invented(round * 20 + n + 1));
        PostcardCodec.encode_member(&member, &mut data).map_err(|error| error.to_string())?;
    }
    Ok(data)
}

/// A peer that has the key and invents thousands of members.
pub fn what_is_received_is_bounded() -> Result<(), String> {
    let mut network = Network::started(2, 10);
    agreement(&mut network, 2, 10 * SECOND, "join")?;
    for round in 0..400 {
        let to = membership(&mut network, 0)?.own().clone();
        let payload = invented_gossip(to, round)?;
        network.deliver(0, invented(0).incarnation, payload);
    }
    let member = membership(&mut network, 0)?;
    let (members, addresses) = (member.members().count(), member.known_address_count());
    ensure!(members > 100, "the scene shows nothing: {members}");
    ensure!(members <= MAX_MEMBERS, "{members} members");
    ensure!(addresses <= MAX_MEMBERS + 2, "{addresses} addresses");
    Ok(())
}

/// A process that joins a settled fleet knows all of it without a round of gossip for each member.
pub fn a_join_is_known_to_all_at_once() -> Result<(), String> {
    let mut network = Network::started(120, 11);
    agreement(&mut network, 120, 20 * SECOND, "join")?;
    network.kill(7);
    network.advance(20 * SECOND);
    network.start(7, 0);
    network.advance(SECOND / 4);
    let known = membership(&mut network, 7)?.members().count();
    ensure!(known == 119, "it knows {known} of 119 a quarter of a second after its start");
    Ok(())
}
