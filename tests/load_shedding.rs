//! Load shedding: a proxy whose attempts miss their latency objectives sends fewer requests, even if its
//! traffic is too low to reach the concurrency limits.

mod common;
use birchreach::*;
use common::*;
use std::collections::HashMap;

/// A latency within the objective of 500 ms.
const IN_TIME: Micros = 100 * MILLISECOND;
/// A latency beyond the objective of 500 ms.
const TOO_LATE: Micros = 900 * MILLISECOND;

/// Sends a read with a timeout of 60 s to the given group.
fn read_with_long_timeout(fixture: &mut RouterFixture, group: u32) -> ClientRequest {
    fixture.request_with(ANY, |request| {
        request.group = GroupId(group);
        request.timeout = 60_000 * MILLISECOND;
    })
}

/// Sends 200 reads one after the other, each answered after `latency`. Returns the number of reads that were
/// shed.
fn shed_of_200(fixture: &mut RouterFixture, latency: Micros) -> usize {
    let read_is_shed = |_: &usize| {
        let read = read_with_long_timeout(fixture, 0);
        fixture.now += latency;
        fixture.answer_sends(0, &read.actions);
        is_rejected(&read.actions)
    };
    (0..200).filter(read_is_shed).count()
}

#[test]
fn a_fraction_of_reads_is_shed_while_reads_miss_their_latency_objective() {
    // When reads meet their latency objective, then none is shed
    let mut fixture = RouterFixture::with_seed(settings(), 7);
    assert_eq!(shed_of_200(&mut fixture, IN_TIME), 0);
    // When reads miss their latency objective, then some of them are shed
    let shed = shed_of_200(&mut fixture, TOO_LATE);
    assert!((40..190).contains(&shed), "{shed} of 200 reads were shed");
    // When reads meet their latency objective again, then none is shed after the next 200 reads
    shed_of_200(&mut fixture, IN_TIME);
    assert_eq!(shed_of_200(&mut fixture, IN_TIME), 0, "the group has recovered");
}

/// Guards against reads that are shed because databases take long to transfer long values.
#[test]
fn reads_whose_responses_begin_to_arrive_in_time_are_not_shed() {
    let mut fixture = RouterFixture::with_seed(settings(), 7);
    for _ in 0..200 {
        // When the response to a read begins to arrive in time and is complete too late
        let read = read_with_long_timeout(&mut fixture, 0);
        let (request, attempt) = (RequestId(read.id), AttemptNumber(0));
        // Then the read was not shed
        assert!(!is_rejected(&read.actions));
        fixture.now += IN_TIME;
        fixture.handle(Event::ResponseArriving { request, attempt });
        fixture.now += TOO_LATE;
        fixture.answer_sends(0, &read.actions);
    }
}

/// Guards against a group that does not recover: the admitted fraction has to be slightly larger than the
/// fraction of reads that met the latency objective.
#[test]
fn more_reads_are_admitted_than_met_their_latency_objective() {
    const READS: usize = 4_000;
    // Given a proxy at which every second read that is sent misses its latency objective
    let mut fixture = RouterFixture::with_seed(settings(), 7);
    let mut sent = 0;
    // When many reads arrive, one after the other
    for _ in 0..READS {
        let read = read_with_long_timeout(&mut fixture, 0);
        if is_rejected(&read.actions) {
            continue;
        }
        sent += 1;
        fixture.now += if sent % 2 == 0 { TOO_LATE } else { IN_TIME };
        fixture.answer_sends(0, &read.actions);
    }
    // Then the admitted fraction is slightly more than 1.4 times one half, because each admission check
    // reduces the miss rate
    let admitted = sent as f64 / READS as f64;
    assert!((0.72..0.77).contains(&admitted), "the admitted fraction is {admitted}");
}

struct InFlightAttempt {
    request: u64,
    attempt: u16,
    server: u32,
}

/// A proxy with one write per second. Each of its attempts is answered after one second.
struct WritingProxy<'fixture> {
    fixture: &'fixture mut RouterFixture,
    in_flight: Vec<InFlightAttempt>,
    /// Number of attempts that each request has had.
    attempt_counts: HashMap<RequestId, u16>,
}

impl WritingProxy<'_> {
    /// Runs the proxy for one second. Returns the number of attempts that it sent to the primary.
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

/// Runs a proxy with one write per second for a minute. Returns the number of attempts that it sent to the
/// primary in the second half of that minute.
fn sends_in_last_half_minute(fixture: &mut RouterFixture) -> usize {
    let mut proxy = WritingProxy { fixture, in_flight: vec![], attempt_counts: HashMap::new() };
    let sent_per_second: Vec<usize> = (0..60).map(|_| proxy.run_second()).collect();
    sent_per_second[30..].iter().sum()
}

/// Guards against a queue at a congested primary that never drains. The primary of a busy group takes far
/// longer than the latency objective for each write, so the load from all proxies together has to fall below
/// its capacity.
#[test]
fn a_congested_primary_gets_a_bounded_number_of_writes_from_100_proxies() {
    // Given 100 proxies that write to a congested primary
    let mut proxies = fleet(100, |_| {});
    // When half a minute has passed
    let sent: usize = proxies.iter_mut().map(sends_in_last_half_minute).sum();
    // Then only some of the 3,000 writes of the next half minute are sent. The limits of all proxies add up
    // to 6 and each attempt counts for half a second, which allows 12 writes per second for 30 s
    assert!((50..=400).contains(&sent), "{sent} attempts in 30 s at a congested primary");
}

#[test]
fn congestion_of_one_group_does_not_shed_reads_of_another() {
    // Given two groups, each with a primary and at least one replica
    let mut fixture = RouterFixture::with_seed(settings(), 7);
    let [primary, replica] =
        ready_endpoints([11, 12]).map(|endpoint| Endpoint { group: GroupId(1), ..endpoint });
    fixture.change_endpoints(&[Endpoint { primary: true, ..primary }, replica]);
    // When reads of the first group miss their latency objective and those of the second meet it
    let mut shed = [0, 0];
    for _ in 0..100 {
        for (group, latency) in [(0, TOO_LATE), (1, IN_TIME)] {
            let read = read_with_long_timeout(&mut fixture, group as u32);
            shed[group] += usize::from(is_rejected(&read.actions));
            fixture.now += latency;
            fixture.answer_sends(0, &read.actions);
        }
    }
    // Then reads of the first group are shed, and no reads of the second
    assert!(shed[0] > 20, "{} of 100 reads were shed in the congested group", shed[0]);
    assert_eq!(shed[1], 0, "the second group meets the latency objective");
}

/// Number of groups in [`endpoints_of_all_groups`]. Each has a primary and a replica.
const GROUPS: u32 = 20;

/// Endpoint list entries for all groups. The primary of group `g` is server `10 * g`, the replica is server
/// `10 * g + 1`.
fn endpoints_of_all_groups() -> Vec<Endpoint> {
    let endpoint_of = |id: u32| Endpoint {
        group: GroupId(id / 10),
        primary: id.is_multiple_of(10),
        ..endpoint(id, EndpointState::Ready)
    };
    (0..GROUPS).flat_map(|group| [10 * group, 10 * group + 1]).map(endpoint_of).collect()
}

/// Sends a bounded read to each group except the first and answers all of them after `latency`. Returns the
/// number of attempts sent on arrival of a subsequent bounded read of the first group.
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

/// The number of attempts that [`sends_after_reads_of_other_groups`] counts at 60 proxies of a fleet of 300.
fn reads_sent_to_first_group(latency: Micros) -> usize {
    let mut proxies = fleet(300, |settings| settings.health_checks_allowed = true);
    let sampled = proxies.iter_mut().take(60);
    sampled.map(|fixture| sends_after_reads_of_other_groups(fixture, latency)).sum()
}

/// Guards against hundreds of proxies that each send a read to the same primary once in many seconds.
/// Fallback reads have to stop before every proxy has seen a late response from every primary.
#[test]
fn late_fallback_reads_in_other_groups_stop_fallback_reads_to_a_primary() {
    // When the primaries of other groups answer in time, then most reads go to the primary of the first group
    let sent_while_in_time = reads_sent_to_first_group(IN_TIME);
    assert!(
        sent_while_in_time > 40,
        "{sent_while_in_time} of 60 reads go to the primary without a query while primaries answer in time"
    );
    // When those primaries answer too late, then most reads query the position of a replica first
    let sent_while_late = reads_sent_to_first_group(TOO_LATE);
    assert!(
        sent_while_late < 20,
        "{sent_while_late} of 60 reads go to a primary not used before while other primaries are congested"
    );
}

/// Sends a write, which the primary answers after the latency objective.
fn write_that_ends_too_late(fixture: &mut RouterFixture) {
    let write = fixture.request(WRITE);
    fixture.now += TOO_LATE;
    fixture.answer_sends(0, &write.actions);
}

/// Guards against a pause that outlasts the process that caused it. A concurrency limit below 1 is enforced
/// by a pause after each response.
#[test]
fn a_restarted_server_does_not_continue_the_pause_of_its_previous_process() {
    // Given a primary that was congested for several minutes and now gets no requests during a pause
    let mut fixture = RouterFixture::with_seed(Settings { proxy_count: 100, ..settings() }, 1);
    let write_is_queued = |fixture: &mut RouterFixture| fixture.request(WRITE).servers().is_empty();
    for _ in 0..20 {
        write_that_ends_too_late(&mut fixture);
        fixture.now += 20_000 * MILLISECOND;
    }
    write_that_ends_too_late(&mut fixture);
    assert!(write_is_queued(&mut fixture), "a congested primary gets no requests during the pause");
    // When the endpoint list reports a restart of the primary, and its slow start is over
    let [primary, replica] = ready_endpoints([PRIMARY, REPLICA_1]);
    let started_at = Some(fixture.now - 9_900 * MILLISECOND);
    fixture.set_endpoints(&[Endpoint { started_at, ..primary }, replica]);
    fixture.now += 200 * MILLISECOND;
    // Then the primary gets writes immediately
    assert!(!write_is_queued(&mut fixture), "the new process has its full capacity and no pause");
}
