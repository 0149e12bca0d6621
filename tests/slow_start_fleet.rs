//! Slow start: what all proxies of a fleet together send to one server that has just started. In each overload window it
//! can take the N requests that the settings allow, plus 2 sqrt(N) + 2 for random variation.

mod common;
use birchreach::*;
use common::*;

const SECOND: Micros = 1_000 * MILLISECOND;
/// Requests per second that a server with its full capacity serves.
const FULL_THROUGHPUT: f64 = 50.0;
const FLEET_SIZES: [u32; 5] = [5, 20, 30, 100, 300];
const SEEDS: [u64; 3] = [1, 2, 3];

/// What happens to the fleet while a server that started at time 0 warms up.
#[derive(Clone, Copy)]
struct Scenario {
    /// Request rate relative to the usual one, up to `burst_at` and from then on.
    rate_before: f64,
    rate_after: f64,
    burst_at: Micros,
    /// The last proxy learns of the start this much later than the first.
    endpoint_list_delay: Micros,
    /// One of this many proxies has only just started itself and knows nothing.
    one_restarted_in: u32,
    /// Processes of each proxy, which the settings count.
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

/// Times, relative to its start, at which the starting server is sent a request by proxies that know of the start. The
/// proxies share what three servers serve; some are several times busier than the mean.
fn sends_to_starting_server(fleet_size: u32, seed: u64, scenario: Scenario) -> Vec<Micros> {
    let proxy_count = fleet_size * scenario.processes;
    let settings = fleet_settings(proxy_count);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sends = Vec::new();
    for proxy in 0..proxy_count {
        let relative_rate = if proxy % 7 == 0 { 4.0 } else { 0.5 };
        let mean_interval = f64::from(proxy_count) / (2.0 * FULL_THROUGHPUT) / relative_rate;
        let mut fixture = RouterFixture::seeded(settings.clone(), u64::from(proxy) + seed * 1_000);
        let started_at = fixture.now + 20 * SECOND;
        if proxy % scenario.one_restarted_in == scenario.one_restarted_in - 1 {
            fixture.now = started_at - SECOND;
        }
        let listed_at = started_at + rng.i64(0..=scenario.endpoint_list_delay);
        let mut is_listed = false;
        loop {
            let is_before_burst = fixture.now - started_at < scenario.burst_at;
            let rate = if is_before_burst { scenario.rate_before } else { scenario.rate_after };
            fixture.advance((-(1.0 - rng.f64()).ln() * mean_interval / rate * 1e6) as Micros);
            if fixture.now >= started_at + settings.slow_start_window {
                break;
            }
            if fixture.now >= listed_at && !is_listed {
                is_listed = true;
                let [primary, replica, other_replica] = ready(ALL_SERVERS);
                let restarted = Endpoint { started_at: Some(started_at), ..replica };
                fixture.set_endpoints(&[primary, restarted, other_replica]);
            }
            let ClientRequest { id, actions } = fixture.request(ANY);
            for server in servers_sent_to(&actions) {
                if is_listed && server == REPLICA_1 {
                    sends.push(fixture.now - started_at);
                }
                fixture.complete_attempt(id, 0, server, AttemptOutcome::Ok);
            }
        }
    }
    sends.sort_unstable();
    sends
}

/// The overload window that is worst for the server: how many requests it was sent in it, and how many it can take.
fn worst_window(sends: &[Micros]) -> (usize, f64) {
    let settings = fleet_settings(1);
    let initial = settings.slow_start_initial_fraction;
    let windows = sends.iter().enumerate().map(|(index, window_start)| {
        let in_window = sends[index..].iter().take_while(|at| **at - window_start < settings.overload_window);
        let elapsed_fraction = *window_start as f64 / settings.slow_start_window as f64;
        let capacity_fraction = initial + (1.0 - initial) * elapsed_fraction;
        let capacity =
            settings.overload_factor * capacity_fraction * FULL_THROUGHPUT * settings.overload_window as f64
                / 1e6;
        (in_window.count(), capacity + 2.0 * capacity.sqrt() + 2.0)
    });
    let load = |window: &(usize, f64)| window.0 as f64 / window.1;
    windows.max_by(|left, right| load(left).total_cmp(&load(right))).unwrap_or((0, 1.0))
}

fn assert_never_overloaded(name: &str, scenario: Scenario) {
    for fleet_size in FLEET_SIZES {
        for seed in SEEDS {
            let sends = sends_to_starting_server(fleet_size, seed, scenario);
            let (sent, allowed) = worst_window(&sends);
            let total = sends.len();
            println!("{name}, {fleet_size} proxies, seed {seed}: {sent} of {allowed:.1}, {total} in all");
            assert!(
                sent as f64 <= allowed,
                "{name}, {fleet_size} proxies, seed {seed}: {sent} of {allowed:.1}"
            );
        }
    }
}

#[test]
fn all_proxies_together_do_not_overload_a_starting_server() {
    assert_never_overloaded("steady", STEADY);
}

/// Low, usual and high load, as fractions of full throughput, followed by bursts of 2.2 times as much: tokens that the
/// proxies accumulated before must not be spent at once.
#[test]
fn accumulated_tokens_do_not_overload_it_in_a_burst() {
    for load in [0.26, 0.5, 0.76] {
        for burst_at in [2 * SECOND, 5 * SECOND] {
            let scenario = Scenario { rate_before: load, rate_after: 2.2 * load, burst_at, ..STEADY };
            assert_never_overloaded("burst", scenario);
        }
    }
}

#[test]
fn late_endpoint_lists_restarted_proxies_and_second_processes_do_not_overload_it() {
    assert_never_overloaded("late list", Scenario { endpoint_list_delay: 4 * SECOND, ..STEADY });
    assert_never_overloaded("restarts", Scenario { one_restarted_in: 3, ..STEADY });
    assert_never_overloaded("two processes", Scenario { processes: 2, ..STEADY });
}

/// With its full capacity a server would take about 500 in that time.
#[test]
fn a_starting_server_is_used_while_it_warms_up() {
    for fleet_size in FLEET_SIZES {
        let sent = sends_to_starting_server(fleet_size, 1, STEADY).len();
        assert!(sent > 100, "{fleet_size} proxies: {sent}");
    }
}
