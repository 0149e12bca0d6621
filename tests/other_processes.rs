//! What other processes of the proxy know: session writes that they have answered, and roles that servers have confirmed to them.

mod common;
use birchreach::*;
use common::*;

/// The time after an answer at which its write has to be known.
const PROPAGATION_DELAY: Micros = 100 * MILLISECOND;

/// A router that records the writes of sessions, with two replicas that are this far behind.
fn fixture(lag: Micros) -> RouterFixture {
    let session_positions = SessionPositionSource::FromObservedWrites;
    let mut fixture = RouterFixture::new(Settings { session_positions, ..settings() });
    fixture.report_position(REPLICA_1, Role::Replica, lag);
    fixture.report_position(REPLICA_2, Role::Replica, lag);
    fixture
}

/// Whether a read of this session goes to the primary.
fn read_goes_to_primary(fixture: &mut RouterFixture, session: u64) -> bool {
    let read = fixture.request_with(SESSION, |request| request.session = Some(SessionId(session)));
    let server = read.server();
    fixture.complete_attempt(read.id, 0, server, AttemptOutcome::Ok);
    server == PRIMARY
}

#[test]
fn a_read_sees_a_write_that_another_process_has_answered() {
    // Given replicas that are behind, when another process reports a write of a session
    let mut fixture = fixture(MILLISECOND);
    fixture.router.record_session_write(SessionId(9), fixture.now);
    // Then only reads of that session go to the primary
    assert!(read_goes_to_primary(&mut fixture, 9));
    assert!(!read_goes_to_primary(&mut fixture, 8));
    // When the replicas have reached the write, then they serve the reads of the session
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    assert!(!read_goes_to_primary(&mut fixture, 9));
}

#[test]
fn reads_of_all_sessions_see_writes_that_another_process_did_not_report_by_session() {
    // Given a session with a write that the replicas have, and a session without one
    let mut fixture = fixture(MILLISECOND);
    fixture.router.record_session_write(SessionId(9), fixture.now - 2 * MILLISECOND);
    assert!(!read_goes_to_primary(&mut fixture, 9));
    // When another process has missed to report writes up to now, then the reads of both go to the primary
    fixture.router.require_session_position(fixture.now);
    fixture.router.require_session_position(fixture.now - 5 * MILLISECOND);
    assert!(read_goes_to_primary(&mut fixture, 9) && read_goes_to_primary(&mut fixture, 8));
    // When the replicas have reached that position, then they serve the reads
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    assert!(!read_goes_to_primary(&mut fixture, 9) && !read_goes_to_primary(&mut fixture, 8));
}

#[test]
fn while_writes_of_another_process_may_be_unknown_reads_see_all_commits_before_their_arrival() {
    // Given another process whose writes are all recorded until now
    let mut fixture = fixture(0);
    let recorded_until = fixture.now;
    fixture.router.set_remote_writes_recorded_until(Some(recorded_until));
    // When the propagation delay has not passed, then replicas serve reads
    fixture.advance(PROPAGATION_DELAY);
    assert!(!read_goes_to_primary(&mut fixture, 9));
    // When it has passed, then reads go to the primary
    fixture.advance(1);
    assert!(read_goes_to_primary(&mut fixture, 9));
    // When there is no other process, or everything that it answers is recorded, then replicas serve reads again
    for all_recorded in [None, Some(Micros::MAX)] {
        fixture.router.set_remote_writes_recorded_until(all_recorded);
        assert!(!read_goes_to_primary(&mut fixture, 9));
        // And not if nothing is recorded
        fixture.router.set_remote_writes_recorded_until(Some(Micros::MIN));
        assert!(read_goes_to_primary(&mut fixture, 9));
    }
}

#[test]
fn reads_that_carry_their_position_do_not_depend_on_other_processes() {
    // Given requests that carry the position of their session's last write
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    // When writes of another process may be unknown, then replicas still serve reads
    fixture.router.set_remote_writes_recorded_until(Some(Micros::MIN));
    fixture.router.require_session_position(fixture.now + 1);
    assert!(!read_goes_to_primary(&mut fixture, 9));
}

#[test]
fn a_server_that_confirmed_to_another_process_that_it_is_a_replica_is_not_taken_for_the_primary() {
    // Given a listed primary, which a read with a recent bound goes to
    let mut fixture = RouterFixture::new(settings());
    assert_eq!(fixture.request(BOUNDED).servers(), [PRIMARY]);
    // When it has confirmed to another process that it is a replica, and another server that it is the primary
    fixture.advance(10 * MILLISECOND);
    fixture.router.record_remote_role(fixture.now, ServerId(PRIMARY), Role::Replica, fixture.now);
    fixture.router.record_remote_role(fixture.now, ServerId(REPLICA_1), Role::Primary, fixture.now);
    // Then reads and writes go to the new primary
    assert_eq!(fixture.request(BOUNDED).servers(), [REPLICA_1]);
    assert_eq!(fixture.request(WRITE).servers(), [REPLICA_1]);
    assert_eq!(fixture.router.confirmed_role(ServerId(PRIMARY)), Some((Role::Replica, fixture.now)));
    // When the former primary confirms later that it is the primary again, then the later confirmation counts
    fixture.advance(10 * MILLISECOND);
    fixture.report_position(PRIMARY, Role::Primary, 0);
    fixture.router.record_remote_role(
        fixture.now,
        ServerId(PRIMARY),
        Role::Replica,
        fixture.now - 5 * MILLISECOND,
    );
    assert_eq!(fixture.request(BOUNDED).servers(), [PRIMARY]);
}

#[test]
fn a_primary_that_was_restarted_since_it_confirmed_its_role_to_another_process_is_not_taken_for_the_primary()
{
    // Given a replica that was restarted
    let mut fixture = RouterFixture::new(settings());
    let restarted_at = fixture.now;
    fixture
        .set_endpoints(&endpoints_with_change(REPLICA_1, |replica| replica.started_at = Some(restarted_at)));
    // When another process reports that it was the primary before, then it is not taken for the primary
    fixture.router.record_remote_role(fixture.now, ServerId(REPLICA_1), Role::Primary, restarted_at - 1);
    assert_eq!(fixture.router.confirmed_role(ServerId(REPLICA_1)), None);
    // When another process reports that it has been the primary since, then it is
    fixture.router.record_remote_role(fixture.now, ServerId(REPLICA_1), Role::Primary, restarted_at);
    let confirmed = fixture.router.confirmed_role(ServerId(REPLICA_1));
    assert_eq!(confirmed, Some((Role::Primary, restarted_at)));
}
