//! Reads that are compared while a group splits, on several real processes: faults alone are confirmed, all of them, and the verdict
//! speaks for all processes.

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

/// The parent loses its last writes in a failover, which its children have for another second.
fn fail_over_parent(rig: &SplitRig) {
    rig.cluster.groups[PARENT].with_state(|state| state.fail_over(1, now_ms(), true));
    rig.cluster.update_discovery();
    sleep(Duration::from_secs(2));
}

/// One child lags for some time, and a replica of the other restarts from an old state; then this child fails over.
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

/// One process is partitioned until it has no verdict for all; another is suspended meanwhile, in the middle of its samples.
fn partition_one_process_and_suspend_another(rig: &SplitRig) {
    rig.cluster.fleet.relays.set_faults(NetworkFaults::partition(1, 4));
    rig.processes[2].signal("STOP");
    rig.wait_until("cut off", |rig| rig.split_status(0).contains("verdict=not-yet"));
    rig.processes[2].signal("CONT");
    rig.cluster.fleet.relays.set_faults(NetworkFaults::default());
}

/// Injects a difference at every seventh key and cycles through the kinds. Returns the differences as logs report them,
/// sorted.
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
fn only_faults_are_confirmed_and_the_verdict_needs_all_processes() {
    // Given four processes whose verdict is that the children are clean
    let mut rig = SplitRig::start(1, 4);
    rig.wait_until("clean", |rig| rig.all_have_verdict("clean"));
    // When databases fail over, lag and restart, and processes are partitioned and suspended
    fail_over_parent(&rig);
    disturb_children(&rig);
    partition_one_process_and_suspend_another(&rig);
    // Then the verdict is the same again, and no difference was confirmed
    rig.wait_until("clean again", |rig| rig.all_have_verdict("clean"));
    assert_eq!(rig.confirmed_differences(), Vec::<String>::new());
    rig.stop_and_check_records();
}

#[test]
fn injected_differences_are_confirmed_while_a_third_is_partitioned() {
    // Given three processes and children with injected differences
    let mut rig = SplitRig::start(2, 3);
    let injected = inject_differences(&rig);
    // When one of the processes hears from nobody, then they are confirmed all the same, and it reports what it knows
    rig.cluster.fleet.relays.set_faults(NetworkFaults::partition(1, 3));
    rig.wait_until("found", |rig| rig.confirmed_differences() == injected);
    // When it hears from the others again, then the verdict speaks for all
    rig.cluster.fleet.relays.set_faults(NetworkFaults::default());
    rig.wait_until("dirty", |rig| rig.all_have_verdict("dirty"));
    assert_eq!(rig.confirmed_differences(), injected);
    rig.stop_and_check_records();
}

/// Two definitions in one fleet never mix, and SIGHUP ends a comparison under load.
#[test]
fn definitions_do_not_mix_and_a_reload_ends_a_comparison() {
    // Given three processes whose verdict is that the children are clean
    let mut rig = SplitRig::start(3, 3);
    rig.wait_until("clean", |rig| rig.all_have_verdict("clean"));
    // When one has another definition of the split
    rig.reload(0, &SPLIT_OPTIONS.replace("2147483648", "1073741824"));
    // Then nobody has a verdict for all, and the others ignore its samples
    rig.wait_until("apart", |rig| (0..rig.processes.len()).all(|process| rig.has_no_clean_verdict(process)));
    let metrics = admin_call(&rig.processes[1], "metrics");
    assert!(metrics.contains("kind=\"split\",end=\"other-definition\""), "{metrics}");
    // And by its own definition the children have other keys than they should, which it alone finds
    rig.wait_until("by its definition", |rig| rig.split_status(0).contains("verdict=dirty"));
    assert!((1..rig.processes.len()).all(|process| !rig.split_status(process).contains("verdict=dirty")));
    // When it has no split, then it compares nothing
    rig.reload(0, "");
    rig.wait_until("off", |rig| rig.split_status(0).starts_with("NO "));
    // When it has the others' definition again, then all agree
    rig.reload(0, SPLIT_OPTIONS);
    rig.wait_until("clean again", |rig| rig.all_have_verdict("clean"));
    rig.stop_and_check_records();
}
