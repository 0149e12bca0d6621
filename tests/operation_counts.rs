//! The cost of an event does not grow with the number of servers. The tests count the router's accesses to
//! the state of servers and its allocations instead of measuring time. The cost of an incomplete endpoint
//! list is proportional to its entries, that of a request to the members of its group, and that of a timer to
//! the requests that are due.

mod common;
use birchreach::*;
use common::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

/// Number of servers in the smallest fleet.
const SMALL_FLEET: u32 = 100;
/// Numbers of servers in the larger fleets.
const LARGER_FLEETS: [u32; 3] = [480, 1_000, 3_200];
const SERVERS_PER_GROUP: u32 = 4;
/// Number of repetitions of each event. They reduce the relative weight of costs that only the first event
/// has.
const ROUNDS: u32 = 50;
/// Maximum difference between the allocations in two fleets. An insertion may split a B-tree node in one
/// fleet and not in the other. Each event makes up to four insertions: its request twice, an attempt and a
/// wakeup.
const ALLOCATION_TOLERANCE: u64 = 4 * ROUNDS as u64;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

/// The system allocator with a count of allocations per thread.
struct CountingAllocator;

// SAFETY: every call is passed unchanged to the system allocator.
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

/// Requests in flight while operations are counted.
#[derive(Clone, Copy)]
enum Load {
    /// No request is in flight.
    Idle,
    /// One write is in flight in each group except the first.
    WritesInFlight,
}

/// Operations of the router for a number of events.
#[derive(Debug)]
struct OperationCounts {
    server_accesses: u64,
    allocations: u64,
}

/// The endpoint list entry of a server in a fleet whose groups have a primary and three replicas.
fn fleet_endpoint(id: u32) -> Endpoint {
    let group = GroupId(id / SERVERS_PER_GROUP);
    Endpoint { group, primary: id.is_multiple_of(SERVERS_PER_GROUP), ..endpoint(id, EndpointState::Ready) }
}

/// Creates a router that knows a fleet of `server_count` servers.
fn fixture_with_servers(server_count: u32, load: Load) -> RouterFixture {
    let mut fixture = RouterFixture::without_endpoints(settings());
    let endpoints: Vec<Endpoint> = (0..server_count).map(fleet_endpoint).collect();
    fixture.set_endpoints(&endpoints);
    if let Load::WritesInFlight = load {
        (1..server_count / SERVERS_PER_GROUP).for_each(|group| send_write(&mut fixture, group));
    }
    fixture.history.reserve(10_000);
    fixture
}

/// Sends a write to a group. The write stays in flight.
fn send_write(fixture: &mut RouterFixture, group: u32) {
    let write = fixture.request_with(WRITE, |write| write.group = GroupId(group));
    assert_eq!(write.servers(), [group * SERVERS_PER_GROUP]);
}

/// Counts the operations for [`ROUNDS`] calls of `events` in a fleet of `server_count` servers.
fn count_operations(
    server_count: u32,
    load: Load,
    events: impl Fn(&mut RouterFixture, u32),
) -> OperationCounts {
    let mut fixture = fixture_with_servers(server_count, load);
    let accesses_before = fixture.router.server_access_count();
    let allocations_before = ALLOCATIONS.get();
    (0..ROUNDS).for_each(|round| events(&mut fixture, round));
    OperationCounts {
        server_accesses: fixture.router.server_access_count() - accesses_before,
        allocations: ALLOCATIONS.get() - allocations_before,
    }
}

/// Asserts that `events` have the same cost in the smallest fleet and in larger fleets.
fn assert_constant(name: &str, load: Load, events: impl Fn(&mut RouterFixture, u32)) {
    let small = count_operations(SMALL_FLEET, load, &events);
    assert!(small.server_accesses > 0, "{name}: no server accesses were counted");
    for server_count in LARGER_FLEETS {
        let large = count_operations(server_count, load, &events);
        println!("{name}, {server_count} servers: {large:?}; {SMALL_FLEET}: {small:?}");
        assert_eq!(small.server_accesses, large.server_accesses, "{name}, {server_count} servers");
        let difference = small.allocations.abs_diff(large.allocations);
        assert!(difference <= ALLOCATION_TOLERANCE, "{name}, {server_count} servers: {small:?}, {large:?}");
    }
}

#[test]
fn the_cost_of_a_request_and_its_response_does_not_depend_on_the_fleet_size() {
    for class in [WRITE, SESSION, BOUNDED, ANY] {
        assert_constant("a request and its response", Load::WritesInFlight, |fixture, _| {
            let request = fixture.request(class);
            let actions = fixture.answer_sends(0, &request.actions);
            assert!(actions.len() <= 1, "{actions:?}");
        });
    }
}

#[test]
fn the_cost_of_a_failed_attempt_does_not_depend_on_the_fleet_size() {
    assert_constant("a failed attempt", Load::WritesInFlight, |fixture, _| {
        let request = fixture.request(ANY);
        let server = request.servers().first().copied();
        if let Some(server) = server {
            fixture.complete_attempt(request.id, 0, server, AttemptOutcome::ConnectFailed);
        }
    });
}

#[test]
fn the_cost_of_a_timer_does_not_depend_on_the_fleet_size() {
    assert_constant("overdue attempts and timers", Load::Idle, |fixture, _| {
        fixture.request(BOUNDED);
        fixture.advance(100 * MILLISECOND);
    });
}

#[test]
fn the_cost_of_a_health_check_does_not_depend_on_the_fleet_size() {
    assert_constant("a health check", Load::WritesInFlight, |fixture, round| {
        fixture.report_position(1 + round % 3, Role::Replica, 20 * MILLISECOND);
    });
}

#[test]
fn the_cost_of_a_changed_entry_does_not_depend_on_the_fleet_size() {
    assert_constant("a changed entry", Load::WritesInFlight, |fixture, round| {
        let state = if round % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
        fixture.change_endpoints(&[Endpoint { state, ..fleet_endpoint(round) }]);
    });
}

#[test]
fn the_cost_of_a_removal_does_not_depend_on_the_fleet_size() {
    assert_constant("a removal, until the server is forgotten", Load::Idle, |fixture, round| {
        let removed = Endpoint { state: EndpointState::Removed, ..fleet_endpoint(4 + round) };
        fixture.change_endpoints(&[removed]);
        fixture.advance(1_000 * MILLISECOND);
    });
}

#[test]
fn the_cost_of_a_complete_list_is_proportional_to_its_entries() {
    let list_all = |fixture: &mut RouterFixture, entries: u32| {
        let endpoints: Vec<Endpoint> = (0..entries).map(fleet_endpoint).collect();
        fixture.set_endpoints(&endpoints);
    };
    // Given the number of accesses per entry in the smallest fleet
    let small =
        count_operations(SMALL_FLEET, Load::WritesInFlight, |fixture, _| list_all(fixture, SMALL_FLEET));
    // Then a larger list causes the same number of accesses per entry
    for entries in LARGER_FLEETS {
        let large = count_operations(entries, Load::WritesInFlight, |fixture, _| list_all(fixture, entries));
        let expected = small.server_accesses / u64::from(SMALL_FLEET) * u64::from(entries);
        assert_eq!(large.server_accesses, expected, "{entries} entries");
    }
}
