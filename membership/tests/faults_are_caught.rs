//! A check that cannot fail shows nothing: each of these injected faults must make its scenario fail.

mod common;

use birchreach_membership::faults::{Fault, run_with_fault};
use common::{scenarios, schedule};

type Scenario = fn() -> Result<(), String>;

#[test]
fn each_fault_is_caught() {
    let scenarios: [(Fault, Scenario); 9] = [
        (Fault::NoAddressRetries, scenarios::settling::the_view_settles_again),
        (Fault::NoFullExchanges, scenarios::settling::a_join_is_known_to_all_at_once),
        (Fault::NoAddressRetries, schedule::some_schedules_settle),
        (Fault::SuspectsRemovedImmediately, scenarios::no_live_member_is_removed),
        (Fault::DivisorIgnoresConfiguration, scenarios::quotas_of_partitions_never_exceed_the_whole),
        (Fault::EpochIncrementConstant, scenarios::a_restart_replaces_the_former_incarnation),
        (Fault::IsolationNotDetected, scenarios::a_partitioned_member_reports_itself_blind),
        (Fault::NameConflictsIgnored, scenarios::name_conflicts_are_reported),
        (Fault::NoMemberLimit, scenarios::limits::what_is_received_is_bounded),
    ];
    for (fault, scenario) in scenarios {
        assert!(run_with_fault(fault, scenario).is_err(), "{fault:?} was not caught");
    }
}
