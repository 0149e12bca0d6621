//! The view settles, keeps live members, and reports its state.

mod common;
use common::{scenarios, schedule};

#[test]
fn the_view_settles_again() {
    scenarios::settling::the_view_settles_again().unwrap();
}

#[test]
fn no_live_member_is_removed() {
    scenarios::no_live_member_is_removed().unwrap();
}

#[test]
fn quotas_of_partitions_never_exceed_the_whole() {
    scenarios::quotas_of_partitions_never_exceed_the_whole().unwrap();
}

#[test]
fn a_restart_replaces_the_former_incarnation() {
    scenarios::a_restart_replaces_the_former_incarnation().unwrap();
}

#[test]
fn a_partitioned_member_reports_itself_blind() {
    scenarios::a_partitioned_member_reports_itself_blind().unwrap();
}

#[test]
fn name_conflicts_are_reported() {
    scenarios::name_conflicts_are_reported().unwrap();
}

#[test]
fn what_is_received_is_bounded() {
    scenarios::limits::what_is_received_is_bounded().unwrap();
}

#[test]
fn a_join_is_known_to_all_at_once() {
    scenarios::settling::a_join_is_known_to_all_at_once().unwrap();
}

#[test]
fn schedules_settle() {
    schedule::some_schedules_settle().unwrap();
}
