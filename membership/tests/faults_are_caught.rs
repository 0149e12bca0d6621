//! A check that cannot fail shows nothing: each of these injected faults must make its scenario fail.

mod common;

use birchreach_membership::faults::{Fault, with};
use common::{scenes, schedule};

type Scenario = fn() -> Result<(), String>;

#[test]
fn each_fault_is_caught() {
    let scenes: [(Fault, Scenario); 9] = [
        (Fault::NoAddressRetries, scenes::settling::the_view_settles_again),
        (Fault::NoFullExchanges, scenes::settling::a_join_is_known_to_all_at_once),
        (Fault::NoAddressRetries, schedule::some_schedules_settle),
        (Fault::SuspectsRemovedAtOnce, scenes::no_live_member_is_removed),
        (Fault::DivisorIgnoresOptions, scenes::quotas_of_partitions_never_exceed_the_whole),
        (Fault::EpochStepsOfOne, scenes::a_restart_replaces_the_former_incarnation),
        (Fault::NeverBlind, scenes::a_partitioned_member_reports_itself_blind),
        (Fault::NameConflictsIgnored, scenes::name_conflicts_are_reported),
        (Fault::NoMemberLimit, scenes::limits::what_is_received_is_bounded),
    ];
    for (fault, scene) in scenes {
        assert!(with(fault, scene).is_err(), "{fault:?} was not caught");
    }
}
