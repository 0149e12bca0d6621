//! Load shedding: a proxy whose attempts miss their latency objectives sends less, also when it has so little
//! traffic that its concurrency limits never bind.

mod common;
use birchreach::*;
use common::*;
use std::collections::HashMap;

const IN_TIME: Micros = 100 * MILLISECOND;
/// Longer than the latency objective of 500 ms.
const TOO_LATE: Micros = 900 * MILLISECOND;

/// Sends a read of a group with a long timeout.
fn patient_read(fixture: &mut RouterFixture, group: u32) -> ClientRequest {
    fixture.request_with(ANY, |request| {
        request.group = GroupId(group);
        request.timeout = 60_000 * MILLISECOND;
    })
}

/// Sends 200 reads, each when the one before has been answered after this time. Returns the number that were
/// shed.
fn shed_of_200(fixture: &mut RouterFixture, latency: Micros) -> usize {
    let read_is_shed = |_: &usize| {
        let read = patient_read(fixture, 0);
        fixture.now += latency;
        fixture.answer_sends(0, &read.actions);
        is_rejected(&read.actions)
    };
    (0..200).filter(read_is_shed).count()
}

#[test]
fn a_fraction_of_reads_is_shed_when_they_end_too_late_until_they_end_in_time_again() {
    // Given reads that end in time, then none is shed
    let mut fixture = RouterFixture::with_seed(settings(), 7);
    assert_eq!(shed_of_200(&mut fixture, IN_TIME), 0);
    // When they end too late, then a part of them is shed
    let shed = shed_of_200(&mut fixture, TOO_LATE);
    assert!((40..190).contains(&shed), "{shed} shed of 200 that would end too late");
    // When they end in time again, then none is shed after a while
    shed_of_200(&mut fixture, IN_TIME);
    assert_eq!(shed_of_200(&mut fixture, IN_TIME), 0, "recovered");
}

/// Slightly more reads are admitted than the fraction that met the latency objective, so that a group
/// recovers.
#[test]
fn more_reads_are_admitted_than_met_their_objective() {
    const READS: usize = 4_000;
    // Given a proxy of which every second read that is sent misses its latency objective
    let mut fixture = RouterFixture::with_seed(settings(), 7);
    let mut sent = 0;
    // When many reads arrive, one after the other
    for _ in 0..READS {
        let read = patient_read(&mut fixture, 0);
        if is_rejected(&read.actions) {
            continue;
        }
        sent += 1;
        fixture.now += if sent % 2 == 0 { TOO_LATE } else { IN_TIME };
        fixture.answer_sends(0, &read.actions);
    }
    // Then the admitted fraction is 1.4 times a half or a little more, as the miss rate decays with each
    // check
    let admitted = sent as f64 / READS as f64;
    assert!((0.72..0.77).contains(&admitted), "{admitted} admitted");
}

/// An attempt in flight.
struct InFlightAttempt {
    request: u64,
    attempt: u16,
    server: u32,
}

/// A proxy with a write per second, whose attempts are all answered after a second.
struct WritingProxy<'fixture> {
    fixture: &'fixture mut RouterFixture,
    in_flight: Vec<InFlightAttempt>,
    /// The number of attempts of each request.
    attempt_counts: HashMap<RequestId, u16>,
}

impl WritingProxy<'_> {
    /// Runs for a second. Returns the number of attempts that were sent to the primary.
    fn run_second(&mut self) -> usize {
        let mut actions = self.fixture.request(WRITE).actions;
        actions.extend(self.fixture.advance(1_000 * MILLISECOND));
        for InFlightAttempt { request, attempt, server } in std::mem::take(&mut self.in_flight) {
            actions.extend(self.fixture.complete_attempt(request, attempt, server, AttemptOutcome::Ok));
        }
        for action in &actions {
            let Action::Send { request, server, .. } = action else { continue };
            let attempt_count = self.attempt_counts.entry(*request).or_insert(0);
            let attempt = *attempt_count;
            self.in_flight.push(InFlightAttempt { request: request.0, attempt, server: server.0 });
            *attempt_count += 1;
        }
        servers_sent_to(&actions).into_iter().filter(|server| *server == PRIMARY).count()
    }
}

/// Runs a proxy with a write per second for a minute. Returns the number of attempts that were sent to the
/// primary in the second half of it.
fn sends_in_last_half_minute(fixture: &mut RouterFixture) -> usize {
    let mut proxy = WritingProxy { fixture, in_flight: vec![], attempt_counts: HashMap::new() };
    let sent_per_second: Vec<usize> = (0..60).map(|_| proxy.run_second()).collect();
    sent_per_second[30..].iter().sum()
}

/// The primary of a busy group takes far longer than the latency objective for each write. What all proxies
/// together send it must fall below what it can do, or its queue never drains.
#[test]
fn many_proxies_send_a_congested_server_less_than_one_request_each() {
    // Given 100 proxies that write to a congested primary
    let mut proxies = fleet(100, |_| {});
    // When half a minute has passed
    let sent: usize = proxies.iter_mut().map(sends_in_last_half_minute).sum();
    // Then of the 3,000 that were requested it gets what limits of 6 in all allow, each attempt counted for
    // half a second: 12 per second, for 30 seconds
    assert!((50..=400).contains(&sent), "{sent} sends in 30 s to a congested server");
}

#[test]
fn congestion_of_one_group_sheds_no_reads_of_another() {
    // Given two groups with a primary and replicas each
    let mut fixture = RouterFixture::with_seed(settings(), 7);
    let [primary, replica] =
        ready_endpoints([11, 12]).map(|endpoint| Endpoint { group: GroupId(1), ..endpoint });
    fixture.change_endpoints(&[Endpoint { primary: true, ..primary }, replica]);
    // When reads of the first end too late, and those of the second in time
    let mut shed = [0, 0];
    for _ in 0..100 {
        for (group, latency) in [(0, TOO_LATE), (1, IN_TIME)] {
            let read = patient_read(&mut fixture, group as u32);
            shed[group] += usize::from(is_rejected(&read.actions));
            fixture.now += latency;
            fixture.answer_sends(0, &read.actions);
        }
    }
    // Then reads of the first are shed, and none of the second
    assert!(shed[0] > 20, "{} of 100 shed in the congested group", shed[0]);
    assert_eq!(shed[1], 0, "the other group answers in time");
}

/// Groups of the deployment below, each with a primary and a replica.
const GROUPS: u32 = 20;

/// Entries for the servers of all groups: the primary of group g is server 10 g, its replica is 10 g + 1.
fn endpoints_of_all_groups() -> Vec<Endpoint> {
    let endpoint_of = |id: u32| Endpoint {
        group: GroupId(id / 10),
        primary: id.is_multiple_of(10),
        ..endpoint(id, EndpointState::Ready)
    };
    (0..GROUPS).flat_map(|group| [10 * group, 10 * group + 1]).map(endpoint_of).collect()
}

/// Sends a bounded read to each group but the first; all are answered after this time. Returns the number of
/// attempts that a bounded read of the first group then causes at once.
fn sends_after_reads_of_other_groups(fixture: &mut RouterFixture, latency: Micros) -> usize {
    fixture.set_endpoints(&endpoints_of_all_groups());
    let mut read = |group: u32| fixture.request_with(BOUNDED, |request| request.group = GroupId(group));
    let reads_of_other_groups: Vec<ClientRequest> = (1..GROUPS).map(&mut read).collect();
    fixture.now += latency;
    for read in &reads_of_other_groups {
        fixture.answer_sends(0, &read.actions);
    }
    fixture.request_with(BOUNDED, |request| request.group = GroupId(0)).servers().len()
}

/// The number of attempts that such reads of the first group cause at 60 proxies of a fleet of 300.
fn reads_sent_to_first_group(latency: Micros) -> usize {
    let mut proxies = fleet(300, |settings| settings.health_checks_allowed = true);
    let sampled = proxies.iter_mut().take(60);
    sampled.map(|fixture| sends_after_reads_of_other_groups(fixture, latency)).sum()
}

/// Each of hundreds of proxies sends a read to the same primary once in many seconds: reads that fall back
/// must leave the primaries before each proxy has seen each of them answer late.
#[test]
fn late_fallback_reads_in_some_groups_keep_reads_from_the_primary_of_another() {
    // When the primaries of other groups answer in time, then reads go to the primary of the first
    let sent_while_in_time = reads_sent_to_first_group(IN_TIME);
    assert!(
        sent_while_in_time > 40,
        "{sent_while_in_time} of 60 reads go to a primary without a query while primaries answer in time"
    );
    // When they answer too late, then most reads query the position of a replica instead
    let sent_while_late = reads_sent_to_first_group(TOO_LATE);
    assert!(
        sent_while_late < 20,
        "{sent_while_late} of 60 go to a primary that this proxy has sent nothing, while others are congested"
    );
}

/// Sends a write that the primary answers too late.
fn write_that_ends_too_late(fixture: &mut RouterFixture) {
    let write = fixture.request(WRITE);
    fixture.now += TOO_LATE;
    fixture.answer_sends(0, &write.actions);
}

/// The pause of a server with a concurrency limit below 1 belongs to its process.
#[test]
fn a_restarted_server_does_not_continue_the_pause_of_its_previous_process() {
    // Given a primary that is congested for several minutes, so that it gets nothing for a while
    let mut fixture = RouterFixture::with_seed(Settings { proxy_count: 100, ..settings() }, 1);
    let write_is_queued = |fixture: &mut RouterFixture| fixture.request(WRITE).servers().is_empty();
    for _ in 0..20 {
        write_that_ends_too_late(&mut fixture);
        fixture.now += 20_000 * MILLISECOND;
    }
    write_that_ends_too_late(&mut fixture);
    assert!(write_is_queued(&mut fixture), "a congested primary gets nothing for a while");
    // When the endpoint list says that it restarted, and slow start is over
    let [primary, replica] = ready_endpoints([PRIMARY, REPLICA_1]);
    let started_at = Some(fixture.now - 9_900 * MILLISECOND);
    fixture.set_endpoints(&[Endpoint { started_at, ..primary }, replica]);
    fixture.now += 200 * MILLISECOND;
    // Then it gets writes at once
    assert!(!write_is_queued(&mut fixture), "its next process has its full capacity and no pause");
}
