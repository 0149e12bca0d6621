//! Session writes that other processes of the proxy have answered: which replicas may serve the reads of sessions.

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
    fixture.request_with(SESSION, |request| request.session = Some(SessionId(session))).servers() == [PRIMARY]
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
