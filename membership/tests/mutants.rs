//! A checker that never failed has shown nothing: each of these one-line faults must make its scene fail.

mod common;
use birchreach_membership::mutant::{Mutant, with};
use common::{scenes, schedule};

type Scene = fn() -> Result<(), String>;

#[test]
fn each_fault_is_caught() {
    let scenes: [(Mutant, Scene); 9] = [
        (Mutant::NobodyIsTriedAgain, scenes::the_view_settles_again),
        (Mutant::NobodyExchanges, scenes::a_join_is_told_at_once),
        (Mutant::NobodyIsTriedAgain, schedule::some_schedules_settle),
        (Mutant::SuspectsAreGone, scenes::nobody_well_is_removed),
        (Mutant::DividesBySeen, scenes::halves_never_add_up_to_more),
        (Mutant::StepsOfOne, scenes::a_restart_supersedes),
        (Mutant::NeverBlind, scenes::blind_is_said),
        (Mutant::TwinsAreOne, scenes::twins_are_told),
        (Mutant::TakesAll, scenes::what_is_heard_is_bounded),
    ];
    for (mutant, scene) in scenes {
        assert!(with(mutant, scene).is_err(), "{mutant:?} was not caught");
    }
}
