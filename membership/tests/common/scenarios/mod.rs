//! Scenarios that check the invariants of a fleet and return the violation as an error. The tests require that each
//! scenario passes, and that it fails while the fault that it guards against is injected.

pub(crate) mod limits;
pub(crate) mod settling;

use super::network::Network;
use super::{SECOND, address};
use birchreach_fault_injection::{ensure, ensure_eq};
use birchreach_membership::{Membership, MembershipChange, Micros, Peer, ViewState};

/// Blocks all datagrams between the processes below an index and the others.
fn partition(network: &mut Network, first: usize) {
    network.is_blocked = Box::new(move |from, to| (from < first) != (to < first));
}

fn end_partition(network: &mut Network) {
    network.is_blocked = Box::new(|_, _| false);
}

fn membership(network: &mut Network, index: usize) -> Result<&mut Membership, String> {
    network.processes[index].membership.as_mut().ok_or(format!("process {index} is down"))
}

/// Advances the time until the views converge. The error names the preceding event.
fn await_convergence(
    network: &mut Network,
    members: usize,
    limit: Micros,
    event: &str,
) -> Result<(), String> {
    let took = network.time_to_convergence(members, limit);
    took.map(drop)
        .ok_or_else(|| format!("{event}: the views of {members} members did not converge within {limit} µs"))
}

/// Counts the removals of processes whose index satisfies `is_counted`, over the views of all processes.
fn removals(network: &Network, is_counted: impl Fn(usize) -> bool) -> usize {
    let is_counted_peer = |peer: &Peer| {
        (0..network.processes.len()).any(|index| address(index) == peer.address && is_counted(index))
    };
    let changes = network.processes.iter().flat_map(|process| &process.changes);
    changes
        .filter(|(_, change)| matches!(change, MembershipChange::Removed(peer) if is_counted_peer(peer)))
        .count()
}

/// While up to 5% of the datagrams are lost, only a crashed member is removed.
pub(crate) fn no_live_member_is_removed() -> Result<(), String> {
    for (loss, seed) in [(0.0, 1), (0.05, 2), (0.05, 3)] {
        let mut network = Network::started(40, seed);
        network.loss = loss;

        network.advance(120 * SECOND);
        ensure_eq!(removals(&network, |_| true), 0, "loss {loss}, seed {seed}");

        network.kill(7);
        network.advance(10 * SECOND);
        ensure_eq!(removals(&network, |index| index != 7), 0, "loss {loss}, seed {seed}");
        let is_absent = |view: &&Membership| view.members().all(|member| member.address != address(7));
        ensure_eq!(network.live().filter(is_absent).count(), 39, "loss {loss}, seed {seed}");
    }
    Ok(())
}

/// The quotas of all members never exceed the fleet's quota in total, even in a partitioned fleet.
pub(crate) fn quotas_of_partitions_never_exceed_the_fleet_quota() -> Result<(), String> {
    let mut network = Network::started(20, 5);
    await_convergence(&mut network, 20, 20 * SECOND, "join")?;

    partition(&mut network, 7);
    for _ in 0..200 {
        network.advance(SECOND / 5);
        let sum: f64 = network.live().map(|member| 1.0 / f64::from(member.view().quota_divisor())).sum();
        ensure!(sum <= 1.0 + 1e-9, "sum of quotas {sum} at {} µs", network.now);
    }
    ensure!(
        network.live().all(|member| member.view().member_count < 20),
        "a view still has the members of both partitions"
    );

    // When there are more members than configured, the divisor is the number of members in the view.
    end_partition(&mut network);
    (20..25).for_each(|index| network.start(index, 0));
    await_convergence(&mut network, 25, 20 * SECOND, "join of five more")?;
    ensure!(network.live().all(|member| member.view().quota_divisor() == 25));
    Ok(())
}

/// After a restart no view has the former incarnation, even if the clock of the process went back.
pub(crate) fn a_restart_replaces_the_former_incarnation() -> Result<(), String> {
    for clock_offset in [0, -3_600 * SECOND] {
        let mut network = Network::started(10, 6);
        await_convergence(&mut network, 10, 20 * SECOND, "join")?;
        let before = membership(&mut network, 4)?.identity().incarnation;

        // The process restarts before any other member has detected the crash.
        network.kill(4);
        network.start(4, clock_offset);
        await_convergence(
            &mut network,
            10,
            30 * SECOND,
            &format!("restart with a clock offset of {clock_offset} µs"),
        )?;

        let after = membership(&mut network, 4)?.identity().incarnation;
        let seen = |view: &Membership| {
            view.members().find(|member| member.address == address(4)).map(|member| member.incarnation)
        };
        let is_replaced = network.live().all(|view| seen(view).is_none_or(|seen| seen == after));
        ensure!(is_replaced && before != after);
    }
    Ok(())
}

/// A member that receives nothing is isolated. A member that is configured as the only one is standalone.
pub(crate) fn a_partitioned_member_reports_its_isolation() -> Result<(), String> {
    let state = |network: &mut Network| membership(network, 0).map(|member| member.view().state);

    let mut network = Network::new(3, 7);
    network.start(0, 0);
    network.advance(4 * SECOND);
    ensure_eq!(state(&mut network)?, ViewState::Isolated { since: 0 });

    (1..3).for_each(|index| network.start(index, 0));
    await_convergence(&mut network, 3, 10 * SECOND, "join")?;

    partition(&mut network, 1);
    let partitioned_at = network.now;
    network.advance(4 * SECOND);

    let expected_since = partitioned_at - SECOND..=partitioned_at + SECOND;
    let state_after = state(&mut network)?;
    ensure!(
        matches!(state_after, ViewState::Isolated { since } if expected_since.contains(&since)),
        "{state_after:?}"
    );

    let mut standalone = Network::started(1, 8);
    standalone.advance(10 * SECOND);
    ensure_eq!(state(&mut standalone)?, ViewState::Standalone);
    Ok(())
}

/// All members, including the two with the same name, report the name conflict and its resolution.
pub(crate) fn name_conflicts_are_reported() -> Result<(), String> {
    let mut network = Network::started(4, 9);

    network.start_named(4, "p2", 0);
    network.advance(10 * SECOND);
    let reports_conflict = |member: &Membership| member.view().name_conflicts == ["p2"];
    ensure!(network.live().all(reports_conflict), "a member does not report the conflict");

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
