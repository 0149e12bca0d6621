//! What load must not displace: writes, and queued requests with the highest priority weight.

mod common;
use birchreach::*;
use common::*;

/// The concurrency limit of a primary that has served nothing yet.
const INITIAL_LIMIT: usize = 4;

/// Sends writes up to the concurrency limit of the primary. Returns their ids.
fn fill_primary_with_writes(fixture: &mut RouterFixture) -> Vec<u64> {
    (0..INITIAL_LIMIT).map(|_| fixture.request(WRITE).id).collect()
}

/// The request of the first attempt among these actions.
fn first_request_sent(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Send { request, .. } => Some(request.0),
        _ => None,
    })
}

#[test]
fn reads_that_fall_back_reserve_a_part_of_the_primary_for_writes() {
    // Given a primary that is known, and replicas of which nothing is
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(PRIMARY, Role::Primary, 0);
    // When bounded reads arrive, then they fall back, up to half of the concurrency limit
    let reads: Vec<u32> = (0..6).flat_map(|_| fixture.request(BOUNDED).servers()).collect();
    assert_eq!(reads, [PRIMARY, PRIMARY]);
    // When writes arrive, then they get the other half
    let writes: Vec<u32> = (0..6).flat_map(|_| fixture.request(WRITE).servers()).collect();
    assert_eq!(writes, [PRIMARY, PRIMARY], "the other half is for writes");
}

#[test]
fn the_queued_write_with_the_highest_priority_weight_goes_first() {
    // Given a primary at its concurrency limit
    let mut settings = settings();
    let high_priority_class = settings.classes.len() as u16;
    settings.classes.push(RequestClass { priority_weight: 9.0, ..settings.classes[0].clone() });
    let mut fixture = RouterFixture::new(settings);
    fixture.report_position(PRIMARY, Role::Primary, 0);
    let in_flight = fill_primary_with_writes(&mut fixture);
    // When a write of high priority comes between two others, then all three are queued
    assert!(fixture.request(WRITE).servers().is_empty(), "at the concurrency limit: queued");
    let high_priority = fixture.request(high_priority_class);
    assert!(high_priority.servers().is_empty(), "queued too");
    assert!(fixture.request(WRITE).servers().is_empty(), "and the one that came last");
    // When an attempt ends, then it goes first
    let actions = fixture.complete_attempt(in_flight[0], 0, PRIMARY, AttemptOutcome::Ok);
    assert_eq!(first_request_sent(&actions), Some(high_priority.id));
}

#[test]
fn among_queued_writes_of_equal_priority_the_newest_goes_first() {
    // Given a primary at its concurrency limit and two queued writes of one class
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(PRIMARY, Role::Primary, 0);
    let in_flight = fill_primary_with_writes(&mut fixture);
    let older = fixture.request(WRITE);
    let newer = fixture.request(WRITE);
    assert!(older.servers().is_empty() && newer.servers().is_empty());
    // When an attempt ends
    let actions = fixture.complete_attempt(in_flight[0], 0, PRIMARY, AttemptOutcome::Ok);
    // Then the write that came last is sent first
    assert_eq!(first_request_sent(&actions), Some(newer.id));
}
