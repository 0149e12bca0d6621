//! The view settles, removes nobody who is well, and says what it does not know.

mod common;
use common::{scenes, schedule};

#[test]
fn the_view_settles_again() {
    scenes::the_view_settles_again().unwrap();
}

#[test]
fn nobody_well_is_removed() {
    scenes::nobody_well_is_removed().unwrap();
}

#[test]
fn halves_never_add_up_to_more() {
    scenes::halves_never_add_up_to_more().unwrap();
}

#[test]
fn a_restart_supersedes() {
    scenes::a_restart_supersedes().unwrap();
}

#[test]
fn blind_is_said() {
    scenes::blind_is_said().unwrap();
}

#[test]
fn twins_are_told() {
    scenes::twins_are_told().unwrap();
}

#[test]
fn what_is_heard_is_bounded() {
    scenes::what_is_heard_is_bounded().unwrap();
}

#[test]
fn a_join_is_told_at_once() {
    scenes::a_join_is_told_at_once().unwrap();
}

#[test]
fn schedules_settle() {
    schedule::some_schedules_settle().unwrap();
}
