//! Priorities under load: reads leave capacity at the primary to writes, and the queue is ordered by priority
//! weight.

mod common;
use birchreach::*;
use common::*;

/// The concurrency limit of a primary that has not served a request yet.
const INITIAL_LIMIT: usize = 4;

/// Sends writes until the primary is at its concurrency limit. Returns the ids of the writes.
fn fill_primary_with_writes(fixture: &mut RouterFixture) -> Vec<u64> {
    (0..INITIAL_LIMIT).map(|_| fixture.request(WRITE).id).collect()
}

/// The request of the first attempt that these actions send; `None` if they send none.
fn first_request_sent(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Send { request, .. } => Some(request.0),
        _ => None,
    })
}

#[test]
fn reads_that_fall_back_to_the_primary_leave_half_of_its_concurrency_limit_to_writes() {
    // Given a primary that has reported its position, and replicas that have not
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(PRIMARY, Role::Primary, 0);
    // When bounded reads arrive, then they fall back to the primary up to half of its concurrency limit
    let reads: Vec<u32> = (0..6).flat_map(|_| fixture.request(BOUNDED).servers()).collect();
    assert_eq!(reads, [PRIMARY, PRIMARY]);
    // When writes arrive, then they use the other half
    let writes: Vec<u32> = (0..6).flat_map(|_| fixture.request(WRITE).servers()).collect();
    assert_eq!(writes, [PRIMARY, PRIMARY], "the other half is reserved for writes");
}

#[test]
fn the_queued_write_with_the_highest_priority_weight_is_sent_first() {
    // Given a primary at its concurrency limit
    let mut settings = settings();
    let high_priority_class = settings.classes.len() as u16;
    settings.classes.push(RequestClass { priority_weight: 9.0, ..settings.classes[0].clone() });
    let mut fixture = RouterFixture::new(settings);
    fixture.report_position(PRIMARY, Role::Primary, 0);
    let in_flight = fill_primary_with_writes(&mut fixture);
    // When a high-priority write arrives between two others, then all three are queued
    assert!(fixture.request(WRITE).servers().is_empty(), "the first write is queued");
    let high_priority = fixture.request(high_priority_class);
    assert!(high_priority.servers().is_empty(), "the high-priority write is queued");
    assert!(fixture.request(WRITE).servers().is_empty(), "the last write is queued");
    // When an attempt ends, then the high-priority write is sent first
    let actions = fixture.complete_attempt(in_flight[0], 0, PRIMARY, AttemptOutcome::Ok);
    assert_eq!(first_request_sent(&actions), Some(high_priority.id));
}

#[test]
fn among_queued_writes_of_equal_priority_the_newest_is_sent_first() {
    // Given a primary at its concurrency limit and two queued writes of one class
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(PRIMARY, Role::Primary, 0);
    let in_flight = fill_primary_with_writes(&mut fixture);
    let older = fixture.request(WRITE);
    let newer = fixture.request(WRITE);
    assert!(older.servers().is_empty() && newer.servers().is_empty());
    // When an attempt ends
    let actions = fixture.complete_attempt(in_flight[0], 0, PRIMARY, AttemptOutcome::Ok);
    // Then the write that arrived last is sent first
    assert_eq!(first_request_sent(&actions), Some(newer.id));
}
