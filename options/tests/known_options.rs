//! Reads a file that sets every attribute to a value other than the default. A changed name or unit of an attribute,
//! which would invalidate the files of operators, makes a test fail.

use birchreach_health::{
    AggregationRule, IdleGroupPolicy, Micros, OverloadPolicy, ProbeSettings, SharedCausePolicy,
    WeightSettings,
};
use birchreach_options::{CheckListener, parse};
use std::net::SocketAddr;
use std::time::Duration;

const MILLISECOND: Micros = 1_000;

/// Every attribute of the health options.
const HEALTH: &str = "<birchreach-options>
<health>
<http listen='127.0.0.1:1' callers='5' silent-ms='1001' idle-ms='1002'/>
<agent listen='127.0.0.1:2' callers='6' silent-ms='1003' ask-ms='104' maxconn='true'/>
<grpc listen='127.0.0.1:3' callers='7' silent-ms='1005' idle-ms='1006'/>
<claims idle='withdraw' shared='down' overload='down' sum='all' window-ms='15001' fall-ms='101' rise-ms='1007'
 rise-most-ms='30001' hold-able-ms='501' hold-unable-ms='1008' hang-ms='1701' hang-probed-ms='1009' discovery-after-ms='30002'/>
<probes every-ms='701' suspect-ms='401' timeout-ms='502' group-per-s='5' whole-per-s='21'/>
<weight knee='0.5' hot='0.9' overload-at='0.97' least='21' up-per-s='1.06' down-per-s='1.3' settle-ms='10001'/>
<stopping lead-ms='3001'/>
</health>
</birchreach-options>";

/// Returns the listener at a port of the loopback address whose element is on this line.
fn listener(port: u16, line: usize, max_connections: usize, silence_ms: Micros) -> CheckListener {
    CheckListener {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        line,
        max_connections,
        silence_timeout: silence_ms * MILLISECOND,
    }
}

#[test]
fn every_attribute_of_the_health_listeners_is_read() {
    // When options with every attribute are read
    let health = parse(HEALTH).unwrap().health.unwrap();
    // Then each field has its value
    let http = health.http.unwrap();
    assert_eq!((http.listener, http.idle_timeout), (listener(1, 3, 5, 1_001), 1_002 * MILLISECOND));
    let agent = health.agent.unwrap();
    assert_eq!((agent.listener, agent.query_timeout), (listener(2, 4, 6, 1_003), 104 * MILLISECOND));
    assert!(agent.reports_maxconn);
    let grpc = health.grpc.unwrap();
    assert_eq!((grpc.listener, grpc.idle_timeout), (listener(3, 5, 7, 1_005), 1_006 * MILLISECOND));
    assert_eq!(health.shutdown_notice, 3_001 * MILLISECOND);
}

#[test]
fn every_attribute_of_the_health_claims_is_read() {
    // When options with every attribute are read
    let settings = parse(HEALTH).unwrap().health.unwrap().settings;
    // Then each field has its value
    assert_eq!(settings.idle_groups, IdleGroupPolicy::Withdraw);
    assert_eq!(settings.shared_causes, SharedCausePolicy::ReportDown);
    assert_eq!(settings.overload, OverloadPolicy::ReportDown);
    assert_eq!(settings.aggregation, AggregationRule::AllGroups);
    assert_eq!(settings.proof_window, 15_001 * MILLISECOND);
    assert_eq!(settings.withdraw_after, 101 * MILLISECOND);
    assert_eq!(settings.restore_after, 1_007 * MILLISECOND);
    assert_eq!(settings.restore_after_max, 30_001 * MILLISECOND);
    assert_eq!(settings.min_time_available, 501 * MILLISECOND);
    assert_eq!(settings.min_time_unavailable, 1_008 * MILLISECOND);
    assert_eq!(settings.silence_limit_unprobed, 1_701 * MILLISECOND);
    assert_eq!(settings.silence_limit_probed, 1_009 * MILLISECOND);
    assert_eq!(settings.discovery_timeout, 30_002 * MILLISECOND);
    assert_eq!(settings.overload_pressure, 0.97);
}

#[test]
fn every_attribute_of_probes_and_weight_is_read() {
    // When options with every attribute are read
    let settings = parse(HEALTH).unwrap().health.unwrap().settings;
    // Then each field has its value
    let probes = ProbeSettings {
        interval: 701 * MILLISECOND,
        suspect_after: 401 * MILLISECOND,
        timeout: 502 * MILLISECOND,
        group_rate_per_s: 5.0,
        total_rate_per_s: 21.0,
    };
    assert_eq!(settings.probes, Some(probes));
    let weight = WeightSettings {
        reduce_above: 0.5,
        percent_at_full_pressure: 21.0,
        max_rise_factor_per_s: 1.06,
        max_fall_factor_per_s: 1.3,
        settling_time: 10_001 * MILLISECOND,
        trim_above: 0.9,
    };
    assert_eq!(settings.weight, weight);
}

/// Every attribute of the options that concern other proxies and background work.
const LINKS: &str = "<birchreach-options>
<knowledge listen='127.0.0.1:1' key-file='a' donors='127.0.0.1:2 127.0.0.1:3' patience-ms='701' refresh-ms='60001' at-once='5'
 bytes-per-s='100001'/>
<fleet listen='127.0.0.1:4' advertise='127.0.0.2:4' key-file='b' peers='127.0.0.1:5 127.0.0.1:6' named='9'/>
<hot bears='401.5' copy-cost='2.5' guests='4' copies-per-s='11' reads-per-s='12' all-per-s='101' window-ms='10001'/>
<split from='1' below='2' above='3' at='2147483648' least='4' within-ms='600001' processes='5' confirm-ms='10002' reads-per-s='6'
 all-per-s='51' window-ms='10003'/>
</birchreach-options>";

#[test]
fn every_attribute_of_hot_keys_is_read() {
    // When options with every attribute are read
    let hot = parse(LINKS).unwrap().hot.unwrap();
    // Then each field has its value
    assert_eq!((hot.line, hot.database_reads_per_s, hot.copy_cost_reads, hot.max_copies), (5, 401.5, 2.5, 4));
    assert_eq!(
        (hot.database_copies_per_s, hot.database_copy_reads_per_s, hot.total_rate_per_s),
        (11.0, 12.0, 101.0)
    );
    assert_eq!(hot.window, Duration::from_millis(10_001));
}

#[test]
fn every_attribute_of_a_split_is_read() {
    // When options with every attribute are read
    let split = parse(LINKS).unwrap().split.unwrap();
    // Then each field has its value
    assert_eq!(
        (split.line, split.parent, split.lower_child, split.upper_child, split.split_at),
        (6, 1, 2, 3, 2_147_483_648)
    );
    assert_eq!((split.min_comparisons, split.min_processes), (4, 5));
    assert_eq!(split.coverage_window, Duration::from_millis(600_001));
    assert_eq!(split.confirmation_delay, Duration::from_millis(10_002));
    assert_eq!((split.database_reads_per_s, split.total_rate_per_s), (6.0, 51.0));
    assert_eq!(split.window, Duration::from_millis(10_003));
}
