//! Hot keys on several proxy processes in front of groups of databases, with injected faults. All processes detect the hot key and
//! serve it from copies. No read is stale, and the copies stay within their budget.

mod records;
mod rig;

use birchreach_test_support::fleet::check_settled;
use birchreach_test_support::groups::{Group, now_ms};
use birchreach_test_support::relay::NetworkFaults;
use rig::{GROUP_COUNT, HOME_GROUP, HOT_OPTIONS, HotRig, LAG_MS, MEMBER_COUNT};
use std::thread::sleep;
use std::time::Duration;

fn primary(group: &Group) -> usize {
    group.with_state(|state| state.primary)
}

/// Sets the replication lag of the groups that hold copies.
fn set_lag_of_copies(rig: &HotRig, lag_ms: i64) {
    for group in &rig.cluster.groups[HOME_GROUP + 1..] {
        group.with_state(|state| state.members.iter_mut().for_each(|member| member.lag_ms = lag_ms));
    }
}

/// Makes the replicas of the groups with copies lag for 3 s, so that their copies are older than expected.
fn delay_copies(rig: &HotRig) {
    set_lag_of_copies(rig, 4_000);
    sleep(Duration::from_secs(3));
    set_lag_of_copies(rig, LAG_MS);
}

/// Fails over the hot key's group, which loses its last writes, and a group with copies, whose deposed primary learns of the failover
/// 1 s later.
fn fail_over_home_and_copies(rig: &HotRig) {
    rig.cluster.groups[HOME_GROUP]
        .with_state(|state| state.fail_over((state.primary + 1) % MEMBER_COUNT, now_ms(), true));
    let copies = &rig.cluster.groups[1];
    let deposed = primary(copies);
    copies.with_state(|state| state.fail_over((deposed + 1) % MEMBER_COUNT, now_ms(), false));
    sleep(Duration::from_secs(1));
    copies.with_state(|state| state.notify_former_primary(deposed));
    rig.cluster.update_discovery();
}

/// Partitions the fleet on a network that duplicates and delays datagrams, and suspends one process for 3 s meanwhile.
fn partition_and_suspend(rig: &HotRig) {
    rig.cluster.fleet.relays.set_faults(NetworkFaults {
        duplicate_fraction: 0.1,
        max_delay: Duration::from_millis(40),
        ..NetworkFaults::partition(2, 5)
    });
    let suspended = rig.processes[4].as_ref().unwrap();
    suspended.signal("STOP");
    sleep(Duration::from_secs(3));
    suspended.signal("CONT");
    rig.cluster.fleet.relays.set_faults(NetworkFaults::default());
}

/// Restarts a replica of each group with copies. The replica starts with a cold cache and without its copies.
fn restart_replicas_with_copies(rig: &HotRig) {
    for group in HOME_GROUP + 1..GROUP_COUNT {
        let replica = (primary(&rig.cluster.groups[group]) + 1) % MEMBER_COUNT;
        rig.cluster.restart(group, replica, 500);
    }
}

#[test]
fn a_hot_key_is_served_from_copies_without_stale_reads_despite_faults() {
    // Given five processes with a hot key that is served from copies
    let mut rig = HotRig::start(1, 5);
    let traffic = rig.start_traffic(20.0);
    rig.wait_until("hot", || rig.all_have_hot_keys(1) && rig.served_from_copies() > 100);
    // When copies lag, primaries fail over, the fleet is partitioned, a process is killed, and replicas restart
    delay_copies(&rig);
    fail_over_home_and_copies(&rig);
    partition_and_suspend(&rig);
    rig.restart(1);
    restart_replicas_with_copies(&rig);
    // Then the fleet settles and serves from copies again
    rig.wait_until("settled", || check_settled(5, &rig.running_processes()).is_ok());
    let served_before = rig.served_from_copies();
    rig.wait_until("hot again", || {
        rig.all_have_hot_keys(1) && rig.served_from_copies() > served_before + 100
    });
    // And the records of databases and clients pass all checks
    let result = traffic.stop();
    rig.check_records(&result);
    assert!(
        result.served_fraction() > 0.5,
        "{} of {}",
        result.served,
        result.served + result.rejected + result.failed + result.disconnected
    );
    // When no client reads, then the key is no longer hot
    rig.wait_until("cold", || rig.all_have_hot_keys(0));
}

/// Requests and copies that are in flight when a reload disables hot keys have to complete normally.
#[test]
fn a_reload_disables_and_enables_hot_keys_under_load() {
    // Given three processes with a hot key that is served from copies
    let rig = HotRig::start(2, 3);
    let traffic = rig.start_traffic(30.0);
    rig.wait_until("hot", || rig.all_have_hot_keys(1) && rig.served_from_copies() > 20);
    // When a reload disables hot keys
    rig.reload_all("");
    rig.wait_until("off", || rig.all_hot_statuses_start_with("NO "));
    // Then clients are still served
    let result_until_disabled = traffic.take_result();
    sleep(Duration::from_secs(1));
    let result_while_disabled = traffic.take_result();
    assert!(
        result_while_disabled.served_fraction() > 0.5 && result_while_disabled.served > 0,
        "{result_while_disabled:?}"
    );
    // When a reload enables them, then the key is served from copies again
    rig.reload_all(HOT_OPTIONS);
    rig.wait_until("hot again", || rig.all_have_hot_keys(1) && rig.served_from_copies() > 20);
    // And no read was stale before, during or after that time
    let mut result = traffic.stop();
    result.reads.extend(result_until_disabled.reads);
    result.reads.extend(result_while_disabled.reads);
    rig.check_records(&result);
}

/// The new incarnations find copies of the old ones. Each of these copies either has the required log position or is a miss. The new
/// incarnations start no background task until the budget window ends in which the old ones can have used the budget.
#[test]
fn copies_remain_usable_after_a_restart_of_all_proxies() {
    // Given three processes with a hot key that is served from copies
    let mut rig = HotRig::start(3, 3);
    let traffic = rig.start_traffic(30.0);
    rig.wait_until("hot", || rig.all_have_hot_keys(1) && rig.served_from_copies() > 50);
    // When all of them are killed and restarted
    rig.processes.iter_mut().for_each(|process| *process = None);
    (0..3).for_each(|process| rig.restart(process));
    // Then the fleet settles, and the key is served from copies
    rig.wait_until("join", || check_settled(3, &rig.running_processes()).is_ok());
    rig.wait_until("hot again", || rig.all_have_hot_keys(1) && rig.served_from_copies() > 50);
    rig.check_records(&traffic.stop());
}
