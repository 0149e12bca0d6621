//! What load must not displace: writes, and queued requests with the highest priority weight.

mod common;
use birchreach::*;
use common::*;

#[test]
fn reads_that_fall_back_reserve_a_part_of_the_primary_for_writes() {
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(PRIMARY, Role::Primary, 0);

    // Nothing is known of the replicas: bounded reads fall back, up to half of the initial limit of four.
    let reads: Vec<u32> = (0..6).flat_map(|_| fixture.request(BOUNDED).servers()).collect();
    assert_eq!(reads, [PRIMARY, PRIMARY]);

    let writes: Vec<u32> = (0..6).flat_map(|_| fixture.request(WRITE).servers()).collect();
    assert_eq!(writes, [PRIMARY, PRIMARY], "the other half is for writes");
}

#[test]
fn the_queued_write_with_the_highest_priority_weight_goes_first() {
    let mut settings = settings();
    let high_priority_class = settings.classes.len() as u16;
    settings.classes.push(RequestClass { priority_weight: 9.0, ..settings.classes[0].clone() });
    let mut fixture = RouterFixture::new(settings);
    fixture.report_position(PRIMARY, Role::Primary, 0);
    let in_flight: Vec<u64> = (0..4).map(|_| fixture.request(WRITE).id).collect();

    assert!(fixture.request(WRITE).servers().is_empty(), "at the concurrency limit: queued");
    let ClientRequest { id: high_priority, actions } = fixture.request(high_priority_class);
    assert!(servers_sent_to(&actions).is_empty(), "queued too");
    assert!(fixture.request(WRITE).servers().is_empty(), "and the one that came last");

    let actions = fixture.complete_attempt(in_flight[0], 0, PRIMARY, AttemptOutcome::Ok);
    assert_eq!(first_request_sent(&actions), Some(high_priority));
}

#[test]
fn among_queued_writes_of_equal_priority_the_newest_goes_first() {
    // Given a primary at its concurrency limit and two queued writes of one class
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(PRIMARY, Role::Primary, 0);
    let in_flight: Vec<u64> = (0..4).map(|_| fixture.request(WRITE).id).collect();
    let ClientRequest { actions: older_actions, .. } = fixture.request(WRITE);
    let ClientRequest { id: newer, actions: newer_actions } = fixture.request(WRITE);
    assert!(servers_sent_to(&older_actions).is_empty() && servers_sent_to(&newer_actions).is_empty());
    // When an attempt ends
    let actions = fixture.complete_attempt(in_flight[0], 0, PRIMARY, AttemptOutcome::Ok);
    // Then the write that came last is sent first
    assert_eq!(first_request_sent(&actions), Some(newer));
}

/// The request of the first attempt among these actions.
fn first_request_sent(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Send { request, .. } => Some(request.0),
        _ => None,
    })
}
