//! Scenarios in which all members come to one view within a limit: after joins, crashes, partitions and pauses.

use super::{agreement, end_partition, membership, partition};
use crate::common::network::Network;
use crate::common::{SECOND, address};
use birchreach_fault_injection::ensure;
use birchreach_membership::{Membership, ViewState};

/// All come to one view after a join, a mass crash, a partition, a one-way partition, a pause and a graceful shutdown.
pub(crate) fn the_view_settles_again() -> Result<(), String> {
    for (count, seed) in [(10, 1), (10, 2), (40, 3), (40, 4)] {
        let limit = 20 * SECOND;
        let label = |what: &str| format!("{what}, {count} members, seed {seed}");
        let network = &mut Network::started(count, seed);

        agreement(network, count, limit, &label("join"))?;

        // The seeds are down, and seven in ten with them.
        let killed = count * 7 / 10;
        (0..killed).for_each(|index| network.kill(index));
        agreement(network, count - killed, limit, &label("crash of seven in ten"))?;
        (0..killed).for_each(|index| network.start(index, 0));
        agreement(network, count, limit, &label("return of seven in ten"))?;

        // Long enough for each partition to remove the other.
        partition(network, count / 2);
        network.advance(60 * SECOND);
        end_partition(network);
        agreement(network, count, limit, &label("partition"))?;

        let last = count - 1;
        network.is_partitioned = Box::new(move |_, to| to == last);
        network.advance(20 * SECOND);
        let state = membership(network, last)?.view().state;
        ensure!(matches!(state, ViewState::Isolated { .. }), "{state:?}");
        end_partition(network);
        agreement(network, count, limit, &label("one-way partition"))?;

        network.pause(last);
        network.advance(20 * SECOND);
        network.resume(last);
        agreement(network, count, limit, &label("pause"))?;

        leaves_and_rejoins(network, count, &label("leave"))?;
    }
    Ok(())
}

/// All members learn at once that the first process leaves, not only when its probes fail.
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

/// A process that joins a settled fleet knows all of it without a round of gossip for each member.
pub(crate) fn a_join_is_known_to_all_at_once() -> Result<(), String> {
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
