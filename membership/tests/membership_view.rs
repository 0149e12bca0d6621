//! The view settles, keeps live members, and reports its state.

mod common;
use common::{scenes, schedule};

#[test]
fn the_view_settles_again() {
    scenes::settling::the_view_settles_again().unwrap();
}

#[test]
fn no_live_member_is_removed() {
    scenes::no_live_member_is_removed().unwrap();
}

#[test]
fn quotas_of_partitions_never_exceed_the_whole() {
    scenes::quotas_of_partitions_never_exceed_the_whole().unwrap();
}

#[test]
fn a_restart_replaces_the_former_incarnation() {
    scenes::a_restart_replaces_the_former_incarnation().unwrap();
}

#[test]
fn a_partitioned_member_reports_itself_blind() {
    scenes::a_partitioned_member_reports_itself_blind().unwrap();
}

#[test]
fn name_conflicts_are_reported() {
    scenes::name_conflicts_are_reported().unwrap();
}

#[test]
fn what_is_received_is_bounded() {
    scenes::limits::what_is_received_is_bounded().unwrap();
}

#[test]
fn a_join_is_known_to_all_at_once() {
    scenes::settling::a_join_is_known_to_all_at_once().unwrap();
}

#[test]
fn schedules_settle() {
    schedule::some_schedules_settle().unwrap();
}
