//! Comparison of reads during a shard split, by several proxy processes: all differences that faults cause are confirmed, no others
//! are, and a verdict covers all processes.

mod rig;

use birchreach_test_support::fleet::admin_call;
use birchreach_test_support::groups::split_groups::{LOWER_CHILD, PARENT, UPPER_CHILD, inject_difference};
use birchreach_test_support::groups::{GroupState, InjectedDifference, now_ms};
use birchreach_test_support::relay::NetworkFaults;
use rig::{CHILD_LAG_MS, SPLIT_OPTIONS, SplitRig};
use std::thread::sleep;
use std::time::Duration;

fn set_lag(state: &mut GroupState, lag_ms: i64) {
    state.members.iter_mut().for_each(|member| member.lag_ms = lag_ms);
}

/// Fails the parent over. The parent loses its last writes, which its children keep for another second.
fn fail_over_parent(rig: &SplitRig) {
    rig.cluster.groups[PARENT].with_state(|state| state.fail_over(1, now_ms(), true));
    rig.cluster.update_discovery();
    sleep(Duration::from_secs(2));
}

/// Makes one child lag for 3 s and restarts a replica of the other child from an old state. Then fails the other child over.
fn disturb_children(rig: &SplitRig) {
    let [lower, upper] = [LOWER_CHILD, UPPER_CHILD].map(|child| &rig.cluster.groups[child]);
    lower.with_state(|state| set_lag(state, 2_500));
    let replica = (upper.with_state(|state| state.primary) + 1) % 2;
    rig.cluster.restart(UPPER_CHILD, replica, 8_000);
    sleep(Duration::from_secs(3));
    lower.with_state(|state| set_lag(state, CHILD_LAG_MS));
    upper.with_state(|state| state.fail_over(1 - state.primary, now_ms(), true));
    rig.cluster.update_discovery();
}

/// Partitions one process until it has no verdict for all processes, and suspends another meanwhile while it takes samples.
fn partition_one_process_and_suspend_another(rig: &SplitRig) {
    rig.cluster.fleet.relays.set_faults(NetworkFaults::partition(1, 4));
    rig.processes[2].signal("STOP");
    rig.wait_until("partitioned", |rig| rig.split_status(0).contains("verdict=not-yet"));
    rig.processes[2].signal("CONT");
    rig.cluster.fleet.relays.set_faults(NetworkFaults::default());
}

/// Injects a difference at every seventh key, alternating between the kinds. Returns the differences as logs report them, sorted.
fn inject_differences(rig: &SplitRig) -> Vec<String> {
    let mut injected = Vec::new();
    for (index, key) in rig.keys.iter().enumerate().skip(20).step_by(7) {
        let difference = match index % 3 {
            0 => InjectedDifference::Missing,
            1 => InjectedDifference::Extra,
            _ => InjectedDifference::OtherValue("ffff".into()),
        };
        injected.push(inject_difference(&rig.cluster.groups, key, difference));
    }
    injected.sort();
    injected
}

#[test]
fn disturbances_confirm_no_difference_and_the_verdict_needs_all_processes() {
    // Given four processes whose verdict is that the children are clean
    let mut rig = SplitRig::start(1, 4);
    rig.wait_until("clean", |rig| rig.all_have_verdict("clean"));
    // When databases fail over, lag and restart, one process is partitioned, and another is suspended
    fail_over_parent(&rig);
    disturb_children(&rig);
    partition_one_process_and_suspend_another(&rig);
    // Then the verdict becomes clean again, and no difference was confirmed
    rig.wait_until("clean again", |rig| rig.all_have_verdict("clean"));
    assert_eq!(rig.confirmed_differences(), Vec::<String>::new());
    rig.stop_and_check_records();
}

#[test]
fn injected_differences_are_confirmed_while_one_of_three_processes_is_partitioned() {
    // Given three processes and children with differences
    let mut rig = SplitRig::start(2, 3);
    let injected = inject_differences(&rig);
    // When one of the processes is partitioned, then the processes still confirm all injected differences, and the partitioned
    // process reports the ones that it finds
    rig.cluster.fleet.relays.set_faults(NetworkFaults::partition(1, 3));
    rig.wait_until("found", |rig| rig.confirmed_differences() == injected);
    // When the partition heals, then the verdict of all processes is that the children differ
    rig.cluster.fleet.relays.set_faults(NetworkFaults::default());
    rig.wait_until("dirty", |rig| rig.all_have_verdict("dirty"));
    assert_eq!(rig.confirmed_differences(), injected);
    rig.stop_and_check_records();
}

/// Processes must not combine samples of different definitions of the split. A reload has to stop a comparison under load.
#[test]
fn samples_of_different_definitions_are_not_combined_and_a_reload_stops_a_comparison() {
    // Given three processes whose verdict is that the children are clean
    let mut rig = SplitRig::start(3, 3);
    rig.wait_until("clean", |rig| rig.all_have_verdict("clean"));
    // When one of them gets another definition of the split
    rig.reload(0, &SPLIT_OPTIONS.replace("2147483648", "1073741824"));
    // Then no process has a clean verdict for all processes, and the others ignore the samples of this process
    rig.wait_until("no clean verdict", |rig| {
        (0..rig.processes.len()).all(|process| rig.has_no_clean_verdict(process))
    });
    let metrics = admin_call(&rig.processes[1], "metrics");
    assert!(metrics.contains("kind=\"split\",end=\"other-definition\""), "{metrics}");
    // And only this process finds that the children have wrong keys according to its own definition
    rig.wait_until("dirty by its own definition", |rig| rig.split_status(0).contains("verdict=dirty"));
    assert!((1..rig.processes.len()).all(|process| !rig.split_status(process).contains("verdict=dirty")));
    // When its options have no split, then it compares nothing
    rig.reload(0, "");
    rig.wait_until("comparison stopped", |rig| rig.split_status(0).starts_with("NO "));
    // When it has the same definition as the others again, then all verdicts are clean
    rig.reload(0, SPLIT_OPTIONS);
    rig.wait_until("clean again", |rig| rig.all_have_verdict("clean"));
    rig.stop_and_check_records();
}
