//! Slow start: the load that all proxies of a fleet together put on a server that has just started. In each
//! overload window, the server can take the N requests that the settings allow, plus 2 sqrt(N) + 2 for random
//! variation.

mod common;
use birchreach::*;
use common::*;

const SECOND: Micros = 1_000 * MILLISECOND;
/// Requests per second that a server serves at full capacity.
const FULL_THROUGHPUT: f64 = 50.0;
const FLEET_SIZES: [u32; 5] = [5, 20, 30, 100, 300];
/// Number of proxies in the largest supported fleet.
const LARGEST_FLEET_SIZE: u32 = 900;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Conditions under which a server that started at time 0 warms up.
#[derive(Clone, Copy)]
struct Scenario {
    /// Request rate before `burst_at`, relative to the base rate.
    rate_before: f64,
    /// Request rate from `burst_at` on, relative to the base rate.
    rate_after: f64,
    /// Time after the start of the server.
    burst_at: Micros,
    /// Maximum delay after which the endpoint list reports the start to a proxy.
    endpoint_list_delay: Micros,
    /// One in this many proxies starts only 1 s before the server and has measured little throughput.
    one_restarted_in: u32,
    /// Processes per proxy. Each process counts as a proxy in the settings.
    processes: u32,
}

const STEADY: Scenario = Scenario {
    rate_before: 1.0,
    rate_after: 1.0,
    burst_at: 0,
    endpoint_list_delay: 0,
    one_restarted_in: u32::MAX,
    processes: 1,
};

fn fleet_settings(proxy_count: u32) -> Settings {
    Settings { proxy_count, overload_factor: 3.0, slow_start_initial_fraction: 0.15, ..settings() }
}

/// One proxy of the fleet and its clients.
struct ProxyRun {
    fixture: RouterFixture,
    scenario: Scenario,
    /// Mean time between two requests at the base rate, in seconds.
    mean_interval_s: f64,
    /// Start time of the server.
    started_at: Micros,
    /// Time at which the endpoint list reports the start to this proxy.
    listed_at: Micros,
    /// Whether the endpoint list has reported the start to this proxy.
    is_listed: bool,
}

impl ProxyRun {
    /// Creates a proxy that starts 20 s before the server, or 1 s before it if the scenario restarts this
    /// proxy.
    fn new(index: u32, settings: &Settings, seed: u64, scenario: Scenario, rng: &mut fastrand::Rng) -> Self {
        let relative_rate = if index.is_multiple_of(7) { 4.0 } else { 0.5 };
        let mean_interval_s = f64::from(settings.proxy_count) / (2.0 * FULL_THROUGHPUT) / relative_rate;
        let mut fixture = RouterFixture::with_seed(settings.clone(), u64::from(index) + seed * 1_000);
        let started_at = fixture.now + 20 * SECOND;
        if index % scenario.one_restarted_in == scenario.one_restarted_in - 1 {
            fixture.now = started_at - SECOND;
        }
        let listed_at = started_at + rng.i64(0..=scenario.endpoint_list_delay);
        ProxyRun { fixture, scenario, mean_interval_s, started_at, listed_at, is_listed: false }
    }

    /// Runs the proxy until `end`. Appends the times, relative to the start of the server, at which it sends
    /// requests to the server after the endpoint list has reported the start.
    fn run(&mut self, end: Micros, rng: &mut fastrand::Rng, sends: &mut Vec<Micros>) {
        loop {
            let interval = self.draw_interval(rng);
            self.fixture.advance(interval);
            if self.fixture.now >= end {
                break;
            }
            if self.fixture.now >= self.listed_at && !self.is_listed {
                self.list_started_server();
            }
            self.serve_read(sends);
        }
    }

    /// Draws the time until the next request from an exponential distribution.
    fn draw_interval(&self, rng: &mut fastrand::Rng) -> Micros {
        let is_before_burst = self.fixture.now - self.started_at < self.scenario.burst_at;
        let rate = if is_before_burst { self.scenario.rate_before } else { self.scenario.rate_after };
        (-(1.0 - rng.f64()).ln() * self.mean_interval_s / rate * 1e6) as Micros
    }

    /// Passes an endpoint list that reports the start of the server to the proxy.
    fn list_started_server(&mut self) {
        self.is_listed = true;
        let started_at = Some(self.started_at);
        let endpoints = endpoints_with_change(REPLICA_1, |replica| replica.started_at = started_at);
        self.fixture.set_endpoints(&endpoints);
    }

    /// Sends a read and answers it immediately. Appends its time to `sends` if the starting server gets it.
    fn serve_read(&mut self, sends: &mut Vec<Micros>) {
        let read = self.fixture.request(ANY);
        for server in read.servers() {
            if self.is_listed && server == REPLICA_1 {
                sends.push(self.fixture.now - self.started_at);
            }
            self.fixture.complete_attempt(read.id, 0, server, AttemptOutcome::Ok);
        }
    }
}

/// Runs all proxies of a fleet. Returns the times, relative to the start of the server, at which proxies that
/// know of the start send requests to it. The proxies share the capacity of three servers, and some proxies
/// have several times the mean request rate.
fn sends_to_starting_server(fleet_size: u32, seed: u64, scenario: Scenario) -> Vec<Micros> {
    let proxy_count = fleet_size * scenario.processes;
    let settings = fleet_settings(proxy_count);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sends = Vec::new();
    for index in 0..proxy_count {
        let mut proxy = ProxyRun::new(index, &settings, seed, scenario, &mut rng);
        let end = proxy.started_at + settings.slow_start_window;
        proxy.run(end, &mut rng, &mut sends);
    }
    sends.sort_unstable();
    sends
}

/// The load on the starting server in one overload window.
struct Window {
    /// Requests that were sent to the server.
    sent: usize,
    /// Requests that the server can take.
    allowed: f64,
}

impl Window {
    /// The window that begins at the first of the given sending times.
    fn beginning_with(sends: &[Micros], settings: &Settings) -> Self {
        let start = sends[0];
        let sent = sends.iter().take_while(|at| **at - start < settings.overload_window).count();
        let initial = settings.slow_start_initial_fraction;
        let elapsed_fraction = start as f64 / settings.slow_start_window as f64;
        let capacity_fraction = initial + (1.0 - initial) * elapsed_fraction;
        let requests_per_second = settings.overload_factor * capacity_fraction * FULL_THROUGHPUT;
        let capacity = requests_per_second * settings.overload_window as f64 / 1e6;
        Window { sent, allowed: capacity + 2.0 * capacity.sqrt() + 2.0 }
    }

    /// Requests sent as a fraction of the requests allowed.
    fn load(&self) -> f64 {
        self.sent as f64 / self.allowed
    }
}

/// The window with the highest load.
fn worst_window(sends: &[Micros]) -> Window {
    let settings = fleet_settings(1);
    let windows = (0..sends.len()).map(|index| Window::beginning_with(&sends[index..], &settings));
    let worst = windows.max_by(|left, right| left.load().total_cmp(&right.load()));
    worst.unwrap_or(Window { sent: 0, allowed: 1.0 })
}

/// Runs the scenario with fleets of all sizes and asserts that no window is overloaded.
fn assert_never_overloaded(name: &str, scenario: Scenario) {
    for fleet_size in FLEET_SIZES.into_iter().chain([LARGEST_FLEET_SIZE]) {
        for seed in SEEDS {
            assert_not_overloaded_by(fleet_size, seed, name, scenario);
        }
    }
}

/// Runs the scenario with a fleet of one size and asserts that no window is overloaded.
fn assert_not_overloaded_by(fleet_size: u32, seed: u64, name: &str, scenario: Scenario) {
    // When the server warms up
    let sends = sends_to_starting_server(fleet_size, seed, scenario);
    // Then the number of requests in each window is within the capacity of the server
    let Window { sent, allowed } = worst_window(&sends);
    let total = sends.len();
    println!("{name}, {fleet_size} proxies, seed {seed}: {sent} of {allowed:.1} allowed, {total} in total");
    assert!(
        sent as f64 <= allowed,
        "{name}, {fleet_size} proxies, seed {seed}: {sent} of {allowed:.1} allowed"
    );
}

#[test]
fn a_steady_load_from_all_proxies_does_not_overload_a_starting_server() {
    assert_never_overloaded("steady", STEADY);
}

/// Guards against proxies that accumulate tokens under a low, medium or high load and spend them all at once
/// in a burst of 2.2 times that load.
#[test]
fn tokens_accumulated_before_a_burst_do_not_overload_a_starting_server() {
    for load in [0.26, 0.5, 0.76] {
        for burst_at in [2 * SECOND, 5 * SECOND] {
            // Given a load that rises while the server warms up
            let scenario = Scenario { rate_before: load, rate_after: 2.2 * load, burst_at, ..STEADY };
            assert_never_overloaded("burst", scenario);
        }
    }
}

#[test]
fn delayed_endpoint_lists_do_not_overload_a_starting_server() {
    // Given proxies to which the endpoint list reports the start up to 4 s late
    assert_never_overloaded("late list", Scenario { endpoint_list_delay: 4 * SECOND, ..STEADY });
}

#[test]
fn restarted_proxies_do_not_overload_a_starting_server() {
    // Given a fleet of which every third proxy has just started
    assert_never_overloaded("restarts", Scenario { one_restarted_in: 3, ..STEADY });
}

#[test]
fn proxies_with_two_processes_do_not_overload_a_starting_server() {
    // Given proxies with two processes each
    assert_never_overloaded("two processes", Scenario { processes: 2, ..STEADY });
}

/// Guards against a starting server that is left idle. At full capacity, the server would get about 500
/// requests in the same time.
#[test]
fn a_starting_server_gets_requests_while_it_warms_up() {
    for fleet_size in FLEET_SIZES.into_iter().chain([LARGEST_FLEET_SIZE]) {
        // When a server warms up under steady load, then it gets more than 100 requests
        let sent = sends_to_starting_server(fleet_size, 1, STEADY).len();
        assert!(sent > 100, "{fleet_size} proxies: {sent} requests");
    }
}
