//! Reports of servers whose arrival says little about their time: an answer may have been on its way for long.

mod common;
use birchreach::*;
use common::*;

/// How long an answer is on its way.
const ANSWER_DELAY: Micros = 20 * MILLISECOND;

fn role(fixture: &RouterFixture, server: u32) -> Option<Role> {
    fixture.router.confirmed_role(ServerId(server)).map(|(role, _)| role)
}

/// Completes the first attempt of a write at the primary with this role in the status.
fn complete(fixture: &mut RouterFixture, write: u64, outcome: AttemptOutcome, role: Role) {
    let status = status(role, fixture.now);
    fixture.complete_attempt_with_status(write, 0, PRIMARY, outcome, status);
}

/// The end of an answer from before a failover, which arrived after the server had reported as a replica, made it the primary again.
#[test]
fn an_answer_to_an_earlier_query_does_not_make_a_former_primary_the_primary_again() {
    // Given a write that is in flight when its server reports that it is a replica
    let mut fixture = RouterFixture::new(settings());
    let early = fixture.request(WRITE);
    assert_eq!(early.server(), PRIMARY);
    fixture.advance(ANSWER_DELAY);
    let later = fixture.request(WRITE);
    assert_eq!(later.server(), PRIMARY);
    fixture.advance(ANSWER_DELAY);
    complete(&mut fixture, later.id, AttemptOutcome::Ineligible, Role::Replica);
    assert_eq!(role(&fixture, PRIMARY), Some(Role::Replica));
    // When the answer to it arrives with the former role
    fixture.advance(ANSWER_DELAY);
    complete(&mut fixture, early.id, AttemptOutcome::Ok, Role::Primary);
    // Then the server stays a replica
    assert_eq!(role(&fixture, PRIMARY), Some(Role::Replica));
}

/// If the order of two reports is not certain, the server is a replica, until a query that was sent afterwards confirms the primary.
#[test]
fn the_answer_to_a_query_that_was_sent_after_a_report_as_replica_confirms_the_primary() {
    // Given a server whose answers overlap: the one that was sent first arrives last, and reports a replica
    let mut fixture = RouterFixture::new(settings());
    let early = fixture.request(WRITE);
    fixture.advance(ANSWER_DELAY);
    let later = fixture.request(WRITE);
    fixture.advance(ANSWER_DELAY);
    complete(&mut fixture, later.id, AttemptOutcome::Ok, Role::Primary);
    assert_eq!(role(&fixture, PRIMARY), Some(Role::Primary));
    complete(&mut fixture, early.id, AttemptOutcome::Ineligible, Role::Replica);
    assert_eq!(role(&fixture, PRIMARY), Some(Role::Replica));
    // When the next write, which is not refused, is answered by the primary
    fixture.advance(ANSWER_DELAY);
    let next = fixture.request(WRITE);
    assert_eq!(next.server(), PRIMARY, "members are tried in turn");
    fixture.advance(ANSWER_DELAY);
    complete(&mut fixture, next.id, AttemptOutcome::Ok, Role::Primary);
    // Then it is the primary
    assert_eq!(role(&fixture, PRIMARY), Some(Role::Primary));
}

/// An answer that a former process of a server gave confirms nothing about the present one.
#[test]
fn an_answer_to_a_query_from_before_a_restart_does_not_confirm_the_new_process_as_primary() {
    // Given a write that is in flight when its server restarts
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    fixture.advance(ANSWER_DELAY);
    let started_at = Some(fixture.now);
    fixture.change_endpoints(&endpoints_with_change(PRIMARY, |endpoint| endpoint.started_at = started_at));
    // When the answer arrives
    fixture.advance(ANSWER_DELAY);
    complete(&mut fixture, write.id, AttemptOutcome::Ok, Role::Primary);
    // Then the new process has confirmed no role
    assert_eq!(role(&fixture, PRIMARY), None);
}

/// A load report in an answer is as old as the answer.
#[test]
fn a_late_load_report_does_not_make_a_former_primary_the_primary_again() {
    // Given a health check that is in flight when the server reports that it is a replica
    let mut fixture = RouterFixture::new(settings());
    let early = fixture.request(WRITE);
    fixture.advance(ANSWER_DELAY);
    let later = fixture.request(WRITE);
    fixture.advance(ANSWER_DELAY);
    complete(&mut fixture, later.id, AttemptOutcome::Ineligible, Role::Replica);
    // When an answer that was requested before arrives, with a load report whose clock is ahead
    fixture.advance(ANSWER_DELAY);
    let load_report =
        Some(LoadReport { position: Some(fixture.now + MILLISECOND), role: Some(Role::Primary) });
    fixture.handle(Event::AttemptCompleted(AttemptResult {
        request: RequestId(early.id),
        attempt: AttemptNumber(0),
        server: ServerId(PRIMARY),
        outcome: AttemptOutcome::Ok,
        elapsed: 0,
        request_finished: true,
        status: None,
        load_report,
    }));
    // Then the server stays a replica
    assert_eq!(role(&fixture, PRIMARY), Some(Role::Replica));
}
