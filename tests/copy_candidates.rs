//! Copy candidates, which are servers of other groups that may hold a copy of the data that a read asks for; and
//! servers for background work.

mod common;
use birchreach::*;
use common::*;

/// A server of group 1 that may hold copies of group 0's rows.
const COPY_HOLDER: u32 = 21;
/// The primary of group 1.
const OTHER_PRIMARY: u32 = 22;

/// A router that knows group 0 and both servers of group 1.
fn fixture_with_copy_holder() -> RouterFixture {
    let mut fixture = RouterFixture::new(settings());
    let [primary, replica_1, replica_2] = ready(ALL_SERVERS);
    let [copy_holder, other_primary] =
        ready([COPY_HOLDER, OTHER_PRIMARY]).map(|endpoint| Endpoint { group: GroupId(1), ..endpoint });
    let other_primary = Endpoint { primary: true, ..other_primary };
    fixture.set_endpoints(&[primary, replica_1, replica_2, copy_holder, other_primary]);
    fixture
}

/// Sends a read that names the copy holder as a candidate, with a copy that is likely at this position.
fn read_with_copy(fixture: &mut RouterFixture, class: u16, likely_position: Micros) -> ClientRequest {
    let candidates = vec![copy_candidate(COPY_HOLDER, likely_position)];
    fixture.request_with(class, |request| request.copy_candidates = candidates)
}

/// The servers to which this many such reads are sent.
fn servers_for_reads(
    fixture: &mut RouterFixture,
    class: u16,
    count: usize,
    likely_position: Micros,
) -> Vec<u32> {
    (0..count).flat_map(|_| read_with_copy(fixture, class, likely_position).servers()).collect()
}

#[test]
fn a_copy_holder_takes_reads_like_a_replica() {
    // Given two replicas and a copy holder
    let mut fixture = fixture_with_copy_holder();
    // When reads arrive that any server may answer, then each of the three gets the same number
    let now = fixture.now;
    let servers = servers_for_reads(&mut fixture, ANY, 6, now);
    for id in [REPLICA_1, REPLICA_2, COPY_HOLDER] {
        assert_eq!(servers.iter().filter(|server| **server == id).count(), 2, "{servers:?}");
    }
}

#[test]
fn only_a_copy_that_is_likely_fresh_enough_is_tried() {
    // Given a copy holder
    let mut fixture = fixture_with_copy_holder();
    let now = fixture.now;
    // When the copy is likely older than the class of a read allows, then the primary gets the read
    let too_old = servers_for_reads(&mut fixture, BOUNDED, 1, now - 301 * MILLISECOND);
    assert_eq!(too_old, [PRIMARY], "older than the class allows");
    // When it is likely fresh enough, then the copy holder does
    let fresh_enough = servers_for_reads(&mut fixture, BOUNDED, 1, now - 299 * MILLISECOND);
    assert_eq!(fresh_enough, [COPY_HOLDER]);
}

#[test]
fn a_copy_for_a_session_read_has_to_prove_the_write_of_the_session() {
    // Given a copy holder whose copy likely has the last write of a session
    let mut fixture = fixture_with_copy_holder();
    let written_at = fixture.now - 50 * MILLISECOND;
    // When the session reads, then the copy holder gets the read
    let read = fixture.request_with(SESSION, |request| {
        request.last_write_position = Some(written_at);
        request.copy_candidates = vec![copy_candidate(COPY_HOLDER, written_at)];
    });
    assert_eq!(read.servers(), [COPY_HOLDER]);
    // Then the copy has to be at that write
    assert_eq!(
        fixture.router.required_copy_position(fixture.now, RequestId(read.id)),
        Some(written_at),
        "it has to prove the write of the session"
    );
}

#[test]
fn the_required_position_of_a_copy_counts_from_when_the_attempt_is_written() {
    // Given a bounded read that names the copy holder
    let mut fixture = fixture_with_copy_holder();
    let likely_position = fixture.now;
    fixture.advance(30 * MILLISECOND);
    let read = read_with_copy(&mut fixture, BOUNDED, likely_position);
    // When the attempt is written some time later, then the bound counts from that moment
    fixture.advance(10 * MILLISECOND);
    let required = fixture.router.required_copy_position(fixture.now, RequestId(read.id));
    assert_eq!(
        required,
        Some(fixture.now - 300 * MILLISECOND),
        "as of the moment at which the attempt is written"
    );
}

#[test]
fn writes_and_strong_reads_never_go_to_a_copy() {
    // Given a copy holder
    let mut fixture = fixture_with_copy_holder();
    let ahead = fixture.now + 1_000 * MILLISECOND;
    // When writes name it as a candidate, then the primary gets them
    assert_eq!(servers_for_reads(&mut fixture, WRITE, 4, ahead), [PRIMARY; 4]);
    // When strong reads do, then it gets none of them
    let mut settings = settings();
    settings.classes[BOUNDED as usize].consistency = Consistency::Strong;
    fixture.handle(Event::Settings(Box::new(settings)));
    assert!(!servers_for_reads(&mut fixture, BOUNDED, 4, ahead).contains(&COPY_HOLDER));
}

#[test]
fn a_missing_copy_costs_one_attempt() {
    // Given a copy holder that has no copy, and a fresh replica
    let mut fixture = fixture_with_copy_holder();
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    let now = fixture.now;
    // When the copy holder gets a read and answers that its copy is missing
    let mut missing = 0;
    for _ in 0..4 {
        let read = read_with_copy(&mut fixture, BOUNDED, now);
        if read.servers() == [COPY_HOLDER] {
            missing += 1;
            assert!(
                fixture.router.may_still_send(fixture.now, RequestId(read.id), AttemptNumber(0)),
                "its own position does not matter"
            );
            let actions = fixture.complete_attempt(read.id, 0, COPY_HOLDER, AttemptOutcome::Ineligible);
            // Then the replica gets the read
            assert_eq!(servers_sent_to(&actions), [REPLICA_1], "at once, at another server");
        }
    }
    assert!(missing >= 1);
    // Then the copy holder still gets reads
    assert!(
        servers_for_reads(&mut fixture, ANY, 3, 0).contains(&COPY_HOLDER),
        "it is not ejected for a missing copy"
    );
}

#[test]
fn a_candidate_that_is_draining_gets_no_reads() {
    // Given a copy holder that is draining
    let mut fixture = fixture_with_copy_holder();
    let draining = Endpoint { group: GroupId(1), ..endpoint(COPY_HOLDER, EndpointState::Draining) };
    fixture.change_endpoints(&[draining]);
    // When reads name it as a candidate, then it gets none of them
    let now = fixture.now;
    assert!(!servers_for_reads(&mut fixture, ANY, 6, now).contains(&COPY_HOLDER));
}

#[test]
fn a_candidate_that_is_unknown_gets_no_reads() {
    // Given a router that does not know server 99
    let mut fixture = fixture_with_copy_holder();
    // When a read names it as a candidate, then it does not get the read
    let candidates = vec![copy_candidate(99, fixture.now)];
    let read = fixture.request_with(ANY, |request| request.copy_candidates = candidates);
    assert_ne!(read.servers(), [99]);
}

/// The server of group 0 that background work would go to.
fn background_server(fixture: &RouterFixture, is_write: bool, yields_to_clients: bool) -> Option<u32> {
    let server = fixture.router.background_candidate(GroupId(0), is_write, yields_to_clients);
    server.map(|server| server.0)
}

#[test]
fn background_work_goes_to_the_servers_that_client_requests_go_to() {
    // Given idle servers
    let fixture = fixture_with_copy_holder();
    // Then writes go to the primary and reads to a replica, but nothing to a group without servers
    assert_eq!(background_server(&fixture, true, true), Some(PRIMARY));
    assert_eq!(background_server(&fixture, false, true), Some(REPLICA_1));
    assert_eq!(fixture.router.background_candidate(GroupId(9), false, true), None);
}

#[test]
fn background_work_yields_to_clients() {
    // Given a read of a client in flight, then there is still a server for background reads
    let mut fixture = fixture_with_copy_holder();
    servers_for_reads(&mut fixture, ANY, 1, 0);
    assert_ne!(background_server(&fixture, false, true), None);
    // When clients use more than half of what the primary may have in flight for this proxy
    let sent: Vec<u32> = (0..40).flat_map(|_| fixture.request(WRITE).servers()).collect();
    // Then there is none for background writes, unless they do not yield
    assert!(
        sent.len() >= 2 && background_server(&fixture, true, true).is_none(),
        "{} writes are in flight",
        sent.len()
    );
    assert_eq!(background_server(&fixture, true, false), Some(PRIMARY), "work that does not yield");
}

#[test]
fn background_work_spares_servers_in_slow_start() {
    // Given a replica that background reads go to
    let mut fixture = fixture_with_copy_holder();
    assert_eq!(background_server(&fixture, false, true), Some(REPLICA_1));
    // When it has just started again
    let started = Endpoint { started_at: Some(fixture.now), ..endpoint(REPLICA_1, EndpointState::Ready) };
    fixture.change_endpoints(&[started]);
    // Then background reads go to the other
    assert_eq!(background_server(&fixture, false, true), Some(REPLICA_2), "not one in slow start");
}
