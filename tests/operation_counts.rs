//! The work for one event does not grow with the fleet. Operations are counted, not timed: accesses of the
//! router to the state of servers, and allocations. A list update that is not complete costs what its entries
//! cost, a request what the members of its group cost, a timer what the requests cost that are due.

mod common;
use birchreach::*;
use common::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

/// Servers of the smallest fleet, and of larger ones.
const SMALL_FLEET: u32 = 100;
const LARGER_FLEETS: [u32; 3] = [480, 1_000, 3_200];
const SERVERS_PER_GROUP: u32 = 4;
/// Events of each kind, so that what only the first one costs shows less.
const ROUNDS: u32 = 50;
/// An insertion may split a node of a map in one fleet and none in another. An event inserts its request
/// twice in the map of requests, and once each an attempt and a wake.
const ALLOCATION_TOLERANCE: u64 = 4 * ROUNDS as u64;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

/// The system's allocator, with a count for each thread.
struct CountingAllocator;

// SAFETY: every call is passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// What a router does while its work is counted.
#[derive(Clone, Copy)]
enum Load {
    Idle,
    /// In each group but the first a write is in flight.
    WritesInFlight,
}

/// What the router did for some events.
#[derive(Debug)]
struct OperationCounts {
    server_accesses: u64,
    allocations: u64,
}

/// The entry of a server of a fleet whose groups have a primary and three replicas.
fn fleet_endpoint(id: u32) -> Endpoint {
    let group = GroupId(id / SERVERS_PER_GROUP);
    Endpoint { group, primary: id.is_multiple_of(SERVERS_PER_GROUP), ..endpoint(id, EndpointState::Ready) }
}

/// A router that knows a fleet of this size.
fn router_of(server_count: u32, load: Load) -> RouterFixture {
    let mut fixture = RouterFixture::without_endpoints(settings());
    let endpoints: Vec<Endpoint> = (0..server_count).map(fleet_endpoint).collect();
    fixture.set_endpoints(&endpoints);
    if let Load::WritesInFlight = load {
        (1..server_count / SERVERS_PER_GROUP).for_each(|group| send_write(&mut fixture, group));
    }
    fixture.history.reserve(10_000);
    fixture
}

/// Sends a write to this group, which is not answered.
fn send_write(fixture: &mut RouterFixture, group: u32) {
    let write = fixture.request_with(WRITE, |write| write.group = GroupId(group));
    assert_eq!(write.servers(), [group * SERVERS_PER_GROUP]);
}

/// The operations of some events in a fleet of this size.
fn count(server_count: u32, load: Load, events: impl Fn(&mut RouterFixture, u32)) -> OperationCounts {
    let mut fixture = router_of(server_count, load);
    let accesses_before = fixture.router.server_access_count();
    let allocations_before = ALLOCATIONS.get();
    (0..ROUNDS).for_each(|round| events(&mut fixture, round));
    OperationCounts {
        server_accesses: fixture.router.server_access_count() - accesses_before,
        allocations: ALLOCATIONS.get() - allocations_before,
    }
}

/// Asserts that these events cost the same in a small and in a large fleet.
fn assert_constant(name: &str, load: Load, events: impl Fn(&mut RouterFixture, u32)) {
    let small = count(SMALL_FLEET, load, &events);
    assert!(small.server_accesses > 0, "{name}: nothing was counted");
    for server_count in LARGER_FLEETS {
        let large = count(server_count, load, &events);
        println!("{name}, {server_count} servers: {large:?}; {SMALL_FLEET}: {small:?}");
        assert_eq!(small.server_accesses, large.server_accesses, "{name}, {server_count} servers");
        let difference = small.allocations.abs_diff(large.allocations);
        assert!(difference <= ALLOCATION_TOLERANCE, "{name}, {server_count} servers: {small:?}, {large:?}");
    }
}

#[test]
fn a_request_and_its_answer_cost_the_same_in_any_fleet() {
    for class in [WRITE, SESSION, BOUNDED, ANY] {
        assert_constant("a request and its answer", Load::WritesInFlight, |fixture, _| {
            let request = fixture.request(class);
            let actions = fixture.answer_sends(0, &request.actions);
            assert!(actions.len() <= 1, "{actions:?}");
        });
    }
}

#[test]
fn a_failed_attempt_costs_the_same_in_any_fleet() {
    assert_constant("a failed attempt", Load::WritesInFlight, |fixture, _| {
        let request = fixture.request(ANY);
        let server = request.servers().first().copied();
        if let Some(server) = server {
            fixture.complete_attempt(request.id, 0, server, AttemptOutcome::ConnectFailed);
        }
    });
}

#[test]
fn a_timer_costs_the_same_in_any_fleet() {
    assert_constant("overdue attempts and timers", Load::Idle, |fixture, _| {
        fixture.request(BOUNDED);
        fixture.advance(100 * MILLISECOND);
    });
}

#[test]
fn a_health_check_costs_the_same_in_any_fleet() {
    assert_constant("a health check", Load::WritesInFlight, |fixture, round| {
        fixture.report_position(1 + round % 3, Role::Replica, 20 * MILLISECOND);
    });
}

#[test]
fn a_changed_entry_costs_the_same_in_any_fleet() {
    assert_constant("a changed entry", Load::WritesInFlight, |fixture, round| {
        let state = if round % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
        fixture.change_endpoints(&[Endpoint { state, ..fleet_endpoint(round) }]);
    });
}

#[test]
fn a_removal_costs_the_same_in_any_fleet() {
    assert_constant("a removal, until the server is forgotten", Load::Idle, |fixture, round| {
        let removed = Endpoint { state: EndpointState::Removed, ..fleet_endpoint(4 + round) };
        fixture.change_endpoints(&[removed]);
        fixture.advance(1_000 * MILLISECOND);
    });
}

#[test]
fn a_complete_list_costs_what_its_lines_cost() {
    let relist = |fixture: &mut RouterFixture, lines: u32| {
        let endpoints: Vec<Endpoint> = (0..lines).map(fleet_endpoint).collect();
        fixture.set_endpoints(&endpoints);
    };
    // Given the accesses for each line in the smallest fleet
    let small = count(SMALL_FLEET, Load::WritesInFlight, |fixture, _| relist(fixture, SMALL_FLEET));
    // Then a larger list costs as many for each line
    for lines in LARGER_FLEETS {
        let large = count(lines, Load::WritesInFlight, |fixture, _| relist(fixture, lines));
        let expected = small.server_accesses / u64::from(SMALL_FLEET) * u64::from(lines);
        assert_eq!(large.server_accesses, expected, "{lines} lines");
    }
}
