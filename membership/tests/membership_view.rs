//! Views converge after faults, keep live members and report their state.

mod common;
use common::{scenarios, schedule};

#[test]
fn views_converge_after_each_fault() {
    scenarios::settling::views_converge_after_each_fault().unwrap();
}

#[test]
fn no_live_member_is_removed() {
    scenarios::no_live_member_is_removed().unwrap();
}

#[test]
fn quotas_of_partitions_never_exceed_the_fleet_quota() {
    scenarios::quotas_of_partitions_never_exceed_the_fleet_quota().unwrap();
}

#[test]
fn a_restart_replaces_the_former_incarnation() {
    scenarios::a_restart_replaces_the_former_incarnation().unwrap();
}

#[test]
fn a_partitioned_member_reports_its_isolation() {
    scenarios::a_partitioned_member_reports_its_isolation().unwrap();
}

#[test]
fn name_conflicts_are_reported() {
    scenarios::name_conflicts_are_reported().unwrap();
}

#[test]
fn members_and_addresses_are_bounded() {
    scenarios::limits::members_and_addresses_are_bounded().unwrap();
}

#[test]
fn a_joining_process_learns_all_members_at_once() {
    scenarios::settling::a_joining_process_learns_all_members_at_once().unwrap();
}

#[test]
fn views_converge_after_random_faults() {
    schedule::views_converge_after_random_faults().unwrap();
}
