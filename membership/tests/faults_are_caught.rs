//! A checker that never failed has shown nothing: each of these one-line faults must make its scene fail.

mod common;
use birchreach_membership::faults::{Fault, with};
use common::{scenes, schedule};

type Scene = fn() -> Result<(), String>;

#[test]
fn each_fault_is_caught() {
    let scenes: [(Fault, Scene); 9] = [
        (Fault::NobodyIsTriedAgain, scenes::the_view_settles_again),
        (Fault::NobodyExchanges, scenes::a_join_is_told_at_once),
        (Fault::NobodyIsTriedAgain, schedule::some_schedules_settle),
        (Fault::SuspectsAreGone, scenes::nobody_well_is_removed),
        (Fault::DividesBySeen, scenes::halves_never_add_up_to_more),
        (Fault::StepsOfOne, scenes::a_restart_supersedes),
        (Fault::NeverBlind, scenes::blind_is_said),
        (Fault::TwinsAreOne, scenes::twins_are_told),
        (Fault::TakesAll, scenes::what_is_heard_is_bounded),
    ];
    for (fault, scene) in scenes {
        assert!(with(fault, scene).is_err(), "{fault:?} was not caught");
    }
}
