//! Copy candidates, which are servers of other groups that may hold a copy of the requested data, and the
//! selection of servers for background work.

mod common;
use birchreach::*;
use common::*;

/// A server of group 1 that may hold copies of rows of group 0.
const COPY_HOLDER: u32 = 21;
/// The primary of group 1, to which the copy holder belongs as well.
const OTHER_PRIMARY: u32 = 22;

/// Creates a router that knows the servers of group 0 and both servers of group 1.
fn fixture_with_copy_holder() -> RouterFixture {
    let mut fixture = RouterFixture::new(settings());
    let [primary, replica_1, replica_2] = ready_endpoints(ALL_SERVERS);
    let [copy_holder, other_primary] = ready_endpoints([COPY_HOLDER, OTHER_PRIMARY])
        .map(|endpoint| Endpoint { group: GroupId(1), ..endpoint });
    let other_primary = Endpoint { primary: true, ..other_primary };
    fixture.set_endpoints(&[primary, replica_1, replica_2, copy_holder, other_primary]);
    fixture
}

/// Sends a read that names the copy holder as a candidate whose copy has probably reached `likely_position`.
fn read_with_copy(fixture: &mut RouterFixture, class: u16, likely_position: Micros) -> ClientRequest {
    let candidates = vec![copy_candidate(COPY_HOLDER, likely_position)];
    fixture.request_with(class, |request| request.copy_candidates = candidates)
}

/// Sends `count` reads that name the copy holder as a candidate. Returns the servers that the reads are sent
/// to.
fn servers_for_reads(
    fixture: &mut RouterFixture,
    class: u16,
    count: usize,
    likely_position: Micros,
) -> Vec<u32> {
    (0..count).flat_map(|_| read_with_copy(fixture, class, likely_position).servers()).collect()
}

#[test]
fn a_copy_holder_gets_as_many_reads_as_each_replica() {
    // Given two replicas and a copy holder
    let mut fixture = fixture_with_copy_holder();
    // When reads without a freshness requirement arrive, then each of the three servers gets the same number
    let now = fixture.now;
    let servers = servers_for_reads(&mut fixture, ANY, 6, now);
    for id in [REPLICA_1, REPLICA_2, COPY_HOLDER] {
        assert_eq!(servers.iter().filter(|server| **server == id).count(), 2, "{servers:?}");
    }
}

#[test]
fn a_copy_holder_gets_a_bounded_read_only_if_its_copy_is_probably_fresh_enough() {
    // Given a copy holder
    let mut fixture = fixture_with_copy_holder();
    let now = fixture.now;
    // When the copy is probably older than the read's class allows, then the primary gets the read
    let too_old = servers_for_reads(&mut fixture, BOUNDED, 1, now - 301 * MILLISECOND);
    assert_eq!(too_old, [PRIMARY], "older than the class allows");
    // When the copy is probably fresh enough, then the copy holder gets the read
    let fresh_enough = servers_for_reads(&mut fixture, BOUNDED, 1, now - 299 * MILLISECOND);
    assert_eq!(fresh_enough, [COPY_HOLDER]);
}

#[test]
fn a_session_read_requires_that_the_copy_contains_the_last_write_of_its_session() {
    // Given a copy holder whose copy probably contains the last write of a session
    let mut fixture = fixture_with_copy_holder();
    let written_at = fixture.now - 50 * MILLISECOND;
    // When the session sends a read, then the copy holder gets the read
    let read = fixture.request_with(SESSION, |request| {
        request.last_write_position = Some(written_at);
        request.copy_candidates = vec![copy_candidate(COPY_HOLDER, written_at)];
    });
    assert_eq!(read.servers(), [COPY_HOLDER]);
    // Then the attempt requires the position of that write
    assert_eq!(
        fixture.router.required_copy_position(fixture.now, RequestId(read.id)),
        Some(written_at),
        "the copy has to contain the last write of the session"
    );
}

#[test]
fn the_required_position_of_a_copy_is_relative_to_the_time_at_which_the_attempt_is_written() {
    // Given a bounded read that names the copy holder
    let mut fixture = fixture_with_copy_holder();
    let likely_position = fixture.now;
    fixture.advance(30 * MILLISECOND);
    let read = read_with_copy(&mut fixture, BOUNDED, likely_position);
    // When the attempt is written some time later, then the required position is 300 ms before that time
    fixture.advance(10 * MILLISECOND);
    let required = fixture.router.required_copy_position(fixture.now, RequestId(read.id));
    assert_eq!(
        required,
        Some(fixture.now - 300 * MILLISECOND),
        "the staleness bound applies at the time at which the attempt is written"
    );
}

#[test]
fn writes_and_strong_reads_never_go_to_a_copy() {
    // Given a copy holder
    let mut fixture = fixture_with_copy_holder();
    let ahead = fixture.now + 1_000 * MILLISECOND;
    // When writes name the copy holder as a candidate, then the primary gets the writes
    assert_eq!(servers_for_reads(&mut fixture, WRITE, 4, ahead), [PRIMARY; 4]);
    // When strong reads name the copy holder as a candidate, then it gets none of them
    let mut settings = settings();
    settings.classes[BOUNDED as usize].consistency = Consistency::Strong;
    fixture.handle(Event::Settings(Box::new(settings)));
    assert!(!servers_for_reads(&mut fixture, BOUNDED, 4, ahead).contains(&COPY_HOLDER));
}

#[test]
fn a_read_whose_copy_is_missing_is_retried_at_once_and_the_copy_holder_is_not_ejected() {
    // Given a copy holder without the copy, and a fresh replica
    let mut fixture = fixture_with_copy_holder();
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    let now = fixture.now;
    // When the copy holder gets a read and responds that it has no copy
    let mut missing_copies = 0;
    for _ in 0..4 {
        let read = read_with_copy(&mut fixture, BOUNDED, now);
        if read.servers() == [COPY_HOLDER] {
            missing_copies += 1;
            assert!(
                fixture.router.may_still_send(fixture.now, RequestId(read.id), AttemptNumber(0)),
                "the position of the copy holder in its own group does not matter"
            );
            let actions = fixture.complete_attempt(read.id, 0, COPY_HOLDER, AttemptOutcome::Ineligible);
            // Then the read is retried at the replica
            assert_eq!(servers_sent_to(&actions), [REPLICA_1], "retried at once at another server");
        }
    }
    assert!(missing_copies >= 1);
    // Then the copy holder still gets reads
    assert!(
        servers_for_reads(&mut fixture, ANY, 3, 0).contains(&COPY_HOLDER),
        "a missing copy does not eject the copy holder"
    );
}

#[test]
fn a_draining_copy_candidate_gets_no_reads() {
    // Given a copy holder that is draining
    let mut fixture = fixture_with_copy_holder();
    let draining = Endpoint { group: GroupId(1), ..endpoint(COPY_HOLDER, EndpointState::Draining) };
    fixture.change_endpoints(&[draining]);
    // When reads name the copy holder as a candidate, then it gets none of them
    let now = fixture.now;
    assert!(!servers_for_reads(&mut fixture, ANY, 6, now).contains(&COPY_HOLDER));
}

#[test]
fn an_unknown_copy_candidate_gets_no_reads() {
    // Given a router that does not know server 99
    let mut fixture = fixture_with_copy_holder();
    // When a read names server 99 as a candidate, then that server does not get the read
    let candidates = vec![copy_candidate(99, fixture.now)];
    let read = fixture.request_with(ANY, |request| request.copy_candidates = candidates);
    assert_ne!(read.servers(), [99]);
}

/// The server of group 0 that the router selects for background work.
fn background_server(fixture: &RouterFixture, is_write: bool, yields_to_clients: bool) -> Option<u32> {
    let server = fixture.router.background_candidate(GroupId(0), is_write, yields_to_clients);
    server.map(|server| server.0)
}

#[test]
fn background_writes_go_to_the_primary_and_background_reads_to_a_replica() {
    // Given idle servers
    let fixture = fixture_with_copy_holder();
    // Then the router selects the primary for writes, a replica for reads, and no server of an unknown group
    assert_eq!(background_server(&fixture, true, true), Some(PRIMARY));
    assert_eq!(background_server(&fixture, false, true), Some(REPLICA_1));
    assert_eq!(fixture.router.background_candidate(GroupId(9), false, true), None);
}

#[test]
fn background_work_yields_to_clients() {
    // Given a client read in flight, then the router still selects a server for background reads
    let mut fixture = fixture_with_copy_holder();
    servers_for_reads(&mut fixture, ANY, 1, 0);
    assert_ne!(background_server(&fixture, false, true), None);
    // When client writes use more than half of the primary's concurrency limit at this proxy
    let sent: Vec<u32> = (0..40).flat_map(|_| fixture.request(WRITE).servers()).collect();
    // Then the router selects no server for background writes, unless they do not yield to clients
    assert!(
        sent.len() >= 2 && background_server(&fixture, true, true).is_none(),
        "{} client writes are in flight",
        sent.len()
    );
    assert_eq!(background_server(&fixture, true, false), Some(PRIMARY), "a write that does not yield");
}

#[test]
fn background_reads_avoid_a_replica_in_slow_start() {
    // Given a replica that the router selects for background reads
    let mut fixture = fixture_with_copy_holder();
    assert_eq!(background_server(&fixture, false, true), Some(REPLICA_1));
    // When that replica has just restarted
    let started = Endpoint { started_at: Some(fixture.now), ..endpoint(REPLICA_1, EndpointState::Ready) };
    fixture.change_endpoints(&[started]);
    // Then the router selects the other replica
    assert_eq!(background_server(&fixture, false, true), Some(REPLICA_2), "the first is in slow start");
}
