//! Load shedding: a proxy whose attempts miss their latency objectives sends less, also when it has so little traffic
//! that its concurrency limits never bind.

mod common;
use birchreach::*;
use common::*;
use std::collections::HashMap;

const IN_TIME: Micros = 100 * MILLISECOND;
/// Longer than the latency objective of 500 ms.
const TOO_LATE: Micros = 900 * MILLISECOND;

#[test]
fn a_fraction_of_reads_is_shed_when_they_end_too_late_until_they_end_in_time_again() {
    let mut fixture = RouterFixture::seeded(settings(), 7);
    // Nothing is in flight when the next read arrives.
    let read_is_shed = |fixture: &mut RouterFixture, latency: Micros| {
        let ClientRequest { id, actions } =
            fixture.request_with(ANY, |request| request.timeout = 60_000 * MILLISECOND);
        fixture.now += latency;
        for server in servers_sent_to(&actions) {
            fixture.complete_attempt(id, 0, server, AttemptOutcome::Ok);
        }
        is_rejected(&actions)
    };
    let shed_of_200 = |fixture: &mut RouterFixture, latency: Micros| {
        (0..200).filter(|_| read_is_shed(fixture, latency)).count()
    };
    assert_eq!(shed_of_200(&mut fixture, IN_TIME), 0);
    let shed = shed_of_200(&mut fixture, TOO_LATE);
    assert!((40..190).contains(&shed), "{shed} shed of 200 that would end too late");
    shed_of_200(&mut fixture, IN_TIME);
    assert_eq!(shed_of_200(&mut fixture, IN_TIME), 0, "recovered");
}

/// Slightly more reads are admitted than the fraction that met the latency objective, so that a group recovers.
#[test]
fn more_reads_are_admitted_than_met_their_objective() {
    const READS: usize = 4_000;
    // Given a proxy of which every second read that is sent misses its latency objective
    let mut fixture = RouterFixture::seeded(settings(), 7);
    let mut sent = 0;
    // When many reads arrive, one after the other
    for _ in 0..READS {
        let ClientRequest { actions, .. } =
            fixture.request_with(ANY, |request| request.timeout = 60_000 * MILLISECOND);
        if is_rejected(&actions) {
            continue;
        }
        sent += 1;
        fixture.now += if sent % 2 == 0 { TOO_LATE } else { IN_TIME };
        fixture.answer_sends(0, &actions);
    }
    // Then the admitted fraction is 1.4 times a half or a little more, as the miss rate decays with each check
    let admitted = sent as f64 / READS as f64;
    assert!((0.72..0.77).contains(&admitted), "{admitted} admitted");
}

/// The primary of a busy group takes far longer than the latency objective for each write. What all proxies together
/// send it must fall below what it can do, or its queue never drains.
#[test]
fn many_proxies_send_a_congested_server_less_than_one_request_each() {
    let sends_in_last_half = |proxies: u32| -> usize {
        let run_proxy = |fixture: &mut RouterFixture| {
            // Attempts in flight with the request, number and server; all are answered after a second.
            let mut in_flight: Vec<(u64, u16, u32)> = vec![];
            let mut attempt_counts = HashMap::new();
            let mut sent = 0;
            for second in 0..60 {
                let mut actions = fixture.request(WRITE).actions;
                actions.extend(fixture.advance(1_000 * MILLISECOND));
                for (id, attempt, server) in std::mem::take(&mut in_flight) {
                    actions.extend(fixture.complete_attempt(id, attempt, server, AttemptOutcome::Ok));
                }
                for action in actions {
                    let Action::Send { request, server, .. } = action else { continue };
                    let attempt = attempt_counts.entry(request).or_insert(0);
                    in_flight.push((request.0, *attempt, server.0));
                    *attempt += 1;
                    sent += usize::from(second >= 30 && server.0 == PRIMARY);
                }
            }
            sent
        };
        fleet(proxies, |_| {}).iter_mut().map(run_proxy).sum()
    };
    // 3,000 were requested. Limits of 6 in all, each attempt counted for half a second: 12 per second, for 30 seconds.
    let sent = sends_in_last_half(100);
    assert!((50..=400).contains(&sent), "{sent} sends in 30 s to a congested server");
}

#[test]
fn congestion_of_one_group_sheds_no_reads_of_another() {
    let mut fixture = RouterFixture::seeded(settings(), 7);
    let [primary, replica] = ready([11, 12]).map(|endpoint| Endpoint { group: GroupId(1), ..endpoint });
    fixture.change_endpoints(&[Endpoint { primary: true, ..primary }, replica]);

    let mut shed = [0, 0];
    for _ in 0..100 {
        for (group, latency) in [(0, TOO_LATE), (1, IN_TIME)] {
            let ClientRequest { actions, .. } = fixture.request_with(ANY, |request| {
                request.group = GroupId(group as u32);
                request.timeout = 60_000 * MILLISECOND;
            });
            shed[group] += usize::from(is_rejected(&actions));
            fixture.now += latency;
            fixture.answer_sends(0, &actions);
        }
    }
    assert!(shed[0] > 20, "{} of 100 shed in the congested group", shed[0]);
    assert_eq!(shed[1], 0, "the other group answers in time");
}

/// Each of hundreds of proxies sends a read to the same primary once in many seconds: reads that fall back must leave
/// the primaries before each proxy has seen each of them answer late.
#[test]
fn late_fallback_reads_in_some_groups_keep_reads_from_the_primary_of_another() {
    const GROUPS: u32 = 20;
    let reads_sent_to_group_0 = |latency: Micros| -> usize {
        let run_proxy = |fixture: &mut RouterFixture| {
            let endpoint_of = |id: u32| Endpoint {
                group: GroupId(id / 10),
                primary: id.is_multiple_of(10),
                ..endpoint(id, EndpointState::Ready)
            };
            let ids = (0..GROUPS).flat_map(|group| [10 * group, 10 * group + 1]);
            fixture.set_endpoints(&ids.map(endpoint_of).collect::<Vec<_>>());

            let mut read =
                |group: u32| fixture.request_with(BOUNDED, |request| request.group = GroupId(group)).actions;
            let reads_of_other_groups: Vec<Vec<Action>> = (1..GROUPS).map(&mut read).collect();
            fixture.now += latency;
            for actions in &reads_of_other_groups {
                fixture.answer_sends(0, actions);
            }
            let ClientRequest { actions, .. } =
                fixture.request_with(BOUNDED, |request| request.group = GroupId(0));
            servers_sent_to(&actions).len()
        };
        let mut proxies = fleet(300, |settings| settings.health_checks_allowed = true);
        proxies.iter_mut().take(60).map(run_proxy).sum()
    };
    let sent_while_in_time = reads_sent_to_group_0(IN_TIME);
    let sent_while_late = reads_sent_to_group_0(TOO_LATE);
    assert!(
        sent_while_in_time > 40,
        "{sent_while_in_time} of 60 reads go to a primary without a query while primaries answer in time"
    );
    assert!(
        sent_while_late < 20,
        "{sent_while_late} of 60 go to a primary that this proxy has sent nothing, while others are congested"
    );
}

/// The pause of a server with a concurrency limit below 1 belongs to its process.
#[test]
fn a_restarted_server_does_not_continue_the_pause_of_its_previous_process() {
    let mut fixture = RouterFixture::seeded(Settings { proxy_count: 100, ..settings() }, 1);
    let write_is_queued = |fixture: &mut RouterFixture| fixture.request(WRITE).servers().is_empty();
    for _ in 0..20 {
        let actions = fixture.request(WRITE).actions;
        fixture.now += TOO_LATE;
        fixture.answer_sends(0, &actions);
        fixture.now += 20_000 * MILLISECOND;
    }
    let actions = fixture.request(WRITE).actions;
    fixture.now += TOO_LATE;
    fixture.answer_sends(0, &actions);
    assert!(write_is_queued(&mut fixture), "a congested primary gets nothing for a while");

    let [primary, replica] = ready([PRIMARY, REPLICA_1]);
    let started_at = Some(fixture.now - 9_900 * MILLISECOND);
    fixture.set_endpoints(&[Endpoint { started_at, ..primary }, replica]);
    fixture.now += 200 * MILLISECOND;
    assert!(!write_is_queued(&mut fixture), "its next process has its full capacity and no pause");
}
