//! Each scenario must fail while the fault that it guards against is injected. This shows that the check can fail.

mod common;

use birchreach_membership::faults::{Fault, run_with_fault};
use common::{scenarios, schedule};

type Scenario = fn() -> Result<(), String>;

#[test]
fn each_injected_fault_makes_its_scenario_fail() {
    let scenarios: [(Fault, Scenario); 9] = [
        (Fault::NoAddressRetries, scenarios::settling::views_converge_after_each_fault),
        (Fault::NoFullExchanges, scenarios::settling::a_joining_process_learns_all_members_at_once),
        (Fault::NoAddressRetries, schedule::views_converge_after_random_faults),
        (Fault::SuspectsRemovedImmediately, scenarios::no_live_member_is_removed),
        (Fault::DivisorIgnoresConfiguration, scenarios::quotas_of_partitions_never_exceed_the_fleet_quota),
        (Fault::EpochIncrementConstant, scenarios::a_restart_replaces_the_former_incarnation),
        (Fault::IsolationNotDetected, scenarios::a_partitioned_member_reports_its_isolation),
        (Fault::NameConflictsIgnored, scenarios::name_conflicts_are_reported),
        (Fault::NoMemberLimit, scenarios::limits::members_and_addresses_are_bounded),
    ];
    for (fault, scenario) in scenarios {
        assert!(
            run_with_fault(fault, scenario).is_err(),
            "the scenario passed although {fault:?} was injected"
        );
    }
}
