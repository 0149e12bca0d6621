//! Odd news that a router may hear: disregarded, never a panic, never a wrong proof.

mod common;
use birchreach::*;
use common::*;

#[test]
fn a_list_that_names_no_server_leaves_requests_held_and_answered_in_time() {
    let mut rig = Rig::bare(settings());
    rig.list(&[]);
    let (id, got) = rig.ask(WRITE);
    assert!(sends(&got).is_empty());
    let got = rig.pass(2_000 * MS);
    assert!(refused(&got), "request {id}");
    assert_eq!(rig.router.open_request_count(), 0);
}

#[test]
fn a_server_named_in_two_groups_belongs_to_the_last() {
    let mut rig = Rig::bare(settings());
    let elsewhere = Endpoint { group: GroupId(1), ..member(R1, EndpointState::Ready) };
    rig.list(&[member(P, EndpointState::Ready), member(R1, EndpointState::Ready), elsewhere]);
    for _ in 0..10 {
        let (id, got) = rig.ask(ANY);
        assert_eq!(sends(&got), [P], "never a server of another group");
        rig.end(id, 0, P, AttemptOutcome::Ok);
    }
    assert_eq!(sends(&rig.ask_for(ANY, |r| r.group = GroupId(1)).1), [R1]);
}

#[test]
fn a_position_from_the_far_future_proves_nothing_beyond_the_present() {
    let mut rig = Rig::new(settings());
    rig.stands(R1, Role::Replica, -3_600_000 * MS);
    rig.pass(400 * MS);
    assert_eq!(sends(&rig.ask(BOUNDED).1), [P], "400 ms later it is too old for 300 ms");
}

#[test]
fn zero_routers_count_as_one_and_absurd_settings_do_not_panic() {
    let mut s = settings();
    (s.proxy_count, s.slow_start_window, s.overload_window, s.max_attempts) = (0, 0, 0, 0);
    s.classes.iter_mut().for_each(|c| (c.latency_objective, c.priority_weight) = (0, f64::NAN));
    let mut rig = Rig::new(s);
    for class in 0..9 {
        let (id, _) = rig.ask(class);
        rig.end(id, 0, P, AttemptOutcome::Ok);
    }
    rig.pass(5_000 * MS);
    assert_eq!(rig.router.open_request_count(), 0);
}

#[test]
fn a_clock_that_stands_below_zero_holds_as_any_other() {
    // Found on a second reading: a bare 0 stood for "waits for no probe", and lay in the future.
    let mut out = Vec::new();
    let mut router = Router::new(settings(), 1, -1_000_000 * MS, &mut out);
    let members = [P, R1, R2].map(|id| member(id, EndpointState::Draining)).to_vec();
    router.handle(
        -1_000_000 * MS,
        Event::EndpointsChanged(EndpointList { complete: true, endpoints: members }),
        &mut out,
    );
    let (id, class, group, tenant) = (RequestId(1), ClassId(WRITE), GroupId(0), TenantId(0));
    let request = Request {
        id,
        class,
        group,
        tenant,
        timeout: 2_000 * MS,
        session: None,
        last_write_position: None,
        copy_candidates: vec![],
    };
    router.handle(-1_000_000 * MS, Event::Request(request), &mut out);
    let after = |a: &Action| if let Action::Timer { delay: after, .. } = a { Some(*after) } else { None };
    let wake = out.iter().find_map(after).expect("a timer");
    assert!(wake <= 200 * MS, "it is tried again soon, not after {wake} us");
}

#[test]
fn a_cold_time_shorter_than_the_fall_time_does_not_panic() {
    let mut s = settings();
    (s.slow_start_window, s.overload_window) = (1_000 * MS, 1_500 * MS);
    let mut rig = Rig::bare(s);
    let started = Some(rig.now);
    rig.list(&[P, R1].map(|id| Endpoint { started_at: started, ..member(id, EndpointState::Ready) }));
    let sent: usize = (0..20).map(|_| sends(&rig.ask(ANY).1).len() + sends(&rig.pass(100 * MS)).len()).sum();
    assert!(sent > 0, "a cold server of its group's only ones gets its part");
}

#[test]
fn a_report_that_goes_back_counts_as_none() {
    // By the lag that it would tell, the replica would draw the reads that any may answer, two at a time.
    let mut rig = Rig::new(settings());
    rig.stands(R1, Role::Replica, 0);
    rig.stands(R2, Role::Replica, 0);
    rig.stands(R2, Role::Replica, 90_000 * MS);
    let mut went = [ANY, ANY, ANY].map(|class| sends(&rig.ask(class).1)[0]);
    went[..2].sort();
    assert_eq!(went[..2], [R1, R2], "one each");
    assert_eq!(sends(&rig.ask(BOUNDED).1).len(), 1, "and what was proven stands");
}
