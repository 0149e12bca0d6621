//! Copy candidates, which are servers of other groups that may hold a copy of the data that a read asks for; and servers
//! for background work.

mod common;
use birchreach::*;
use common::*;

/// A server of group 1 that may hold copies of group 0's rows, and the primary of group 1.
const COPY_HOLDER: u32 = 21;
const OTHER_PRIMARY: u32 = 22;

fn fixture_with_copy_holder() -> RouterFixture {
    let mut fixture = RouterFixture::new(settings());
    let mut endpoints = ready([PRIMARY, REPLICA_1, REPLICA_2, COPY_HOLDER, OTHER_PRIMARY]);
    for endpoint in &mut endpoints[3..] {
        endpoint.group = GroupId(1);
    }
    endpoints[4].primary = true;
    fixture.set_endpoints(&endpoints);
    fixture
}

/// The servers to which so many reads are sent that name the copy holder as a candidate, at this position.
fn servers_for_reads(
    fixture: &mut RouterFixture,
    class: u16,
    count: usize,
    likely_position: Micros,
) -> Vec<u32> {
    let candidates = vec![copy_candidate(COPY_HOLDER, likely_position)];
    let mut servers = Vec::new();
    for _ in 0..count {
        let ClientRequest { actions, .. } =
            fixture.request_with(class, |request| request.copy_candidates = candidates.clone());
        servers.extend(servers_sent_to(&actions));
    }
    servers
}

#[test]
fn a_copy_holder_takes_reads_like_a_replica() {
    let mut fixture = fixture_with_copy_holder();
    let now = fixture.now;
    let servers = servers_for_reads(&mut fixture, ANY, 6, now);
    for id in [REPLICA_1, REPLICA_2, COPY_HOLDER] {
        assert_eq!(servers.iter().filter(|server| **server == id).count(), 2, "{servers:?}");
    }
}

#[test]
fn only_a_copy_that_is_likely_fresh_enough_is_tried() {
    let mut fixture = fixture_with_copy_holder();
    let now = fixture.now;
    let too_old = servers_for_reads(&mut fixture, BOUNDED, 1, now - 301 * MILLISECOND);
    assert_eq!(too_old, [PRIMARY], "older than the class allows");
    assert_eq!(servers_for_reads(&mut fixture, BOUNDED, 1, now - 299 * MILLISECOND), [COPY_HOLDER]);

    let written_at = now - 50 * MILLISECOND;
    let ClientRequest { id, actions } = fixture.request_with(SESSION, |request| {
        request.last_write_position = Some(written_at);
        request.copy_candidates = vec![copy_candidate(COPY_HOLDER, written_at)];
    });
    assert_eq!(servers_sent_to(&actions), [COPY_HOLDER]);
    assert_eq!(
        fixture.router.required_copy_position(fixture.now, RequestId(id)),
        Some(written_at),
        "it has to prove the write of the session"
    );

    fixture.advance(30 * MILLISECOND);
    let ClientRequest { id, .. } = fixture.request_with(BOUNDED, |request| {
        request.copy_candidates = vec![copy_candidate(COPY_HOLDER, now)];
    });
    fixture.advance(10 * MILLISECOND);
    let required = fixture.router.required_copy_position(fixture.now, RequestId(id));
    assert_eq!(
        required,
        Some(fixture.now - 300 * MILLISECOND),
        "as of the moment at which the attempt is written"
    );
}

#[test]
fn writes_and_strong_reads_never_go_to_a_copy() {
    let mut fixture = fixture_with_copy_holder();
    let now = fixture.now;
    assert_eq!(servers_for_reads(&mut fixture, WRITE, 4, now + 1_000 * MILLISECOND), [PRIMARY; 4]);

    let mut settings = settings();
    settings.classes[BOUNDED as usize].consistency = Consistency::Strong;
    fixture.handle(Event::Settings(Box::new(settings)));
    assert!(!servers_for_reads(&mut fixture, BOUNDED, 4, now + 1_000 * MILLISECOND).contains(&COPY_HOLDER));
}

#[test]
fn a_missing_copy_costs_one_attempt() {
    let mut fixture = fixture_with_copy_holder();
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    let candidates = vec![copy_candidate(COPY_HOLDER, fixture.now)];
    let mut missing = 0;
    for _ in 0..4 {
        let ClientRequest { id, actions } =
            fixture.request_with(BOUNDED, |request| request.copy_candidates = candidates.clone());
        if servers_sent_to(&actions) == [COPY_HOLDER] {
            missing += 1;
            assert!(
                fixture.router.may_still_send(fixture.now, RequestId(id), AttemptNo(0)),
                "its own position does not matter"
            );
            let actions = fixture.complete_attempt(id, 0, COPY_HOLDER, AttemptOutcome::Ineligible);
            assert_eq!(servers_sent_to(&actions), [REPLICA_1], "at once, at another server");
        }
    }
    assert!(missing >= 1);
    assert!(
        servers_for_reads(&mut fixture, ANY, 3, 0).contains(&COPY_HOLDER),
        "it is not ejected for a missing copy"
    );
}

#[test]
fn a_candidate_that_is_draining_or_unknown_gets_no_reads() {
    let mut fixture = fixture_with_copy_holder();
    let draining = Endpoint { group: GroupId(1), ..endpoint(COPY_HOLDER, EndpointState::Draining) };
    fixture.change_endpoints(&[draining]);
    let now = fixture.now;
    assert!(!servers_for_reads(&mut fixture, ANY, 6, now).contains(&COPY_HOLDER));

    let ClientRequest { actions, .. } =
        fixture.request_with(ANY, |request| request.copy_candidates = vec![copy_candidate(99, now)]);
    assert_ne!(servers_sent_to(&actions), [99]);
}

#[test]
fn background_work_yields_to_clients_and_spares_servers_in_slow_start() {
    let mut fixture = fixture_with_copy_holder();
    let candidate = |fixture: &RouterFixture, is_write, yields_to_clients| {
        let server = fixture.router.background_candidate(GroupId(0), is_write, yields_to_clients);
        server.map(|server| server.0)
    };
    assert_eq!(candidate(&fixture, true, true), Some(PRIMARY));
    assert_eq!(candidate(&fixture, false, true), Some(REPLICA_1));
    assert_eq!(fixture.router.background_candidate(GroupId(9), false, true), None);

    servers_for_reads(&mut fixture, ANY, 1, 0);
    assert_ne!(candidate(&fixture, false, true), None);

    // Clients use more than half of what the server may have in flight for this proxy.
    let sent: Vec<u32> = (0..40).flat_map(|_| fixture.request(WRITE).servers()).collect();
    assert!(
        sent.len() >= 2 && candidate(&fixture, true, true).is_none(),
        "{} writes are in flight",
        sent.len()
    );
    assert_eq!(candidate(&fixture, true, false), Some(PRIMARY), "work that does not yield");

    let started = Endpoint { started_at: Some(fixture.now), ..endpoint(REPLICA_1, EndpointState::Ready) };
    fixture.change_endpoints(&[started]);
    assert_eq!(candidate(&fixture, false, true), Some(REPLICA_2), "not one in slow start");
}
