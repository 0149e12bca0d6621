//! Scenarios in which the views of all members converge within a limit after joins, crashes, partitions and pauses.

use super::{await_convergence, end_partition, membership, partition};
use crate::common::network::Network;
use crate::common::{SECOND, address};
use birchreach_fault_injection::ensure;
use birchreach_membership::{Membership, ViewState};

/// The views converge after a join, a mass crash, a partition, a one-way partition, a pause and a graceful shutdown.
pub(crate) fn views_converge_after_each_fault() -> Result<(), String> {
    for (count, seed) in [(10, 1), (10, 2), (40, 3), (40, 4)] {
        let limit = 20 * SECOND;
        let label = |what: &str| format!("{what}, {count} members, seed {seed}");
        let network = &mut Network::started(count, seed);

        await_convergence(network, count, limit, &label("join"))?;

        // 70% of the processes crash, including the seeds.
        let killed = count * 7 / 10;
        (0..killed).for_each(|index| network.kill(index));
        await_convergence(network, count - killed, limit, &label("crash of 70%"))?;
        (0..killed).for_each(|index| network.start(index, 0));
        await_convergence(network, count, limit, &label("restart of 70%"))?;

        // The partition lasts long enough for each side to remove the members of the other.
        partition(network, count / 2);
        network.advance(60 * SECOND);
        end_partition(network);
        await_convergence(network, count, limit, &label("partition"))?;

        let last = count - 1;
        network.is_blocked = Box::new(move |_, to| to == last);
        network.advance(20 * SECOND);
        let state = membership(network, last)?.view().state;
        ensure!(matches!(state, ViewState::Isolated { .. }), "{state:?}");
        end_partition(network);
        await_convergence(network, count, limit, &label("one-way partition"))?;

        network.pause(last);
        network.advance(20 * SECOND);
        network.resume(last);
        await_convergence(network, count, limit, &label("pause"))?;

        leaves_and_rejoins(network, count, &label("leave"))?;
    }
    Ok(())
}

/// All members learn within a second that the first process leaves, before its probes could fail.
fn leaves_and_rejoins(network: &mut Network, count: usize, label: &str) -> Result<(), String> {
    let now = network.now;
    membership(network, 0)?.leave(now);
    network.advance(SECOND);

    let is_absent = |view: &Membership| view.members().all(|member| member.address != address(0));
    ensure!(
        network.live().skip(1).all(is_absent),
        "{label}: a member still lists the process one second later"
    );

    let now = network.now;
    membership(network, 0)?.rejoin(now);
    await_convergence(network, count, 20 * SECOND, &format!("{label} and rejoin"))?;

    let now = network.now;
    membership(network, 0)?.leave(now);
    network.advance(SECOND / 10);
    network.kill(0);
    await_convergence(network, count - 1, 10 * SECOND, label)
}

/// A process that joins a settled fleet receives all members in one exchange. Gossip would take many rounds.
pub(crate) fn a_joining_process_learns_all_members_at_once() -> Result<(), String> {
    let mut network = Network::started(120, 11);
    await_convergence(&mut network, 120, 20 * SECOND, "join")?;
    network.kill(7);
    network.advance(20 * SECOND);

    network.start(7, 0);
    network.advance(SECOND / 4);

    let known = membership(&mut network, 7)?.members().count();
    ensure!(known == 119, "the process knows {known} of 119 members 250 ms after its start");
    Ok(())
}
