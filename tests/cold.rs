//! What one cold server is sent by all routers together, against what the standing test has it bear: beyond the N calls that the
//! settings allow in their time only 2 root N + 2 are put down to chance.

mod common;
use birchreach::*;
use common::*;

/// How often each server answers in a second while it is full.
const FULL: f64 = 50.0;
const SECOND: Micros = 1_000 * MS;
const FLEETS: [u32; 5] = [5, 20, 30, 100, 300];

/// What happens to the fleet while a server that started at 0 warms.
#[derive(Clone, Copy)]
struct Scene {
    /// Requests come so many times as often as usual, up to a time and after it.
    lull: f64,
    burst: f64,
    burst_at: Micros,
    /// The last router is told of the start so much later than the first.
    news: Micros,
    /// One router in so many has only just started, with an empty memory.
    restarted: u32,
    /// Processes of each proxy, which the settings count.
    processes: u32,
}

const STEADY: Scene =
    Scene { lull: 1.0, burst: 1.0, burst_at: 0, news: 0, restarted: u32::MAX, processes: 1 };

fn world(routers: u32) -> Settings {
    Settings { proxy_count: routers, overload_factor: 3.0, slow_start_initial_fraction: 0.15, ..settings() }
}

/// Times at which the server is sent something by routers that have been told of its start. They share what three servers bear;
/// some are several times busier than the mean.
fn sends_to_the_cold(routers: u32, seed: u64, scene: Scene) -> Vec<Micros> {
    let routers = routers * scene.processes;
    let settings = world(routers);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut all = Vec::new();
    for n in 0..routers {
        let busy = if n % 7 == 0 { 4.0 } else { 0.5 };
        let gap = f64::from(routers) / (2.0 * FULL) / busy;
        let mut rig = Rig::seeded(settings.clone(), u64::from(n) + seed * 1_000);
        let start = rig.now + 20 * SECOND;
        if n % scene.restarted == scene.restarted - 1 {
            rig.now = start - SECOND;
        }
        let news = start + rng.i64(0..=scene.news);
        let mut told = false;
        loop {
            let rate = if rig.now - start < scene.burst_at { scene.lull } else { scene.burst };
            rig.pass((-(1.0 - rng.f64()).ln() * gap / rate * 1e6) as Micros);
            if rig.now >= start + settings.slow_start_window {
                break;
            }
            if rig.now >= news && !std::mem::replace(&mut told, true) {
                let again = Endpoint { started_at: Some(start), ..member(R1, EndpointState::Ready) };
                rig.list(&[member(P, EndpointState::Ready), again, member(R2, EndpointState::Ready)]);
            }
            let (id, got) = rig.ask(ANY);
            for to in sends(&got) {
                all.extend((told && to == R1).then_some(rig.now - start));
                rig.end(id, 0, to, AttemptOutcome::Ok);
            }
        }
    }
    all.sort_unstable();
    all
}

/// The window that is worst for the server: what it was sent, and what it bears.
fn worst(sent: &[Micros]) -> (usize, f64) {
    let Settings {
        slow_start_window: cold_time,
        slow_start_initial_fraction: cold_share,
        overload_window: fall_time,
        overload_factor: fall_multiple,
        ..
    } = world(1);
    let windows = sent.iter().enumerate().map(|(i, from)| {
        let within = sent[i..].iter().take_while(|at| **at - from < fall_time).count();
        let warmth = cold_share + (1.0 - cold_share) * (*from as f64 / cold_time as f64);
        let n = fall_multiple * warmth * FULL * fall_time as f64 / 1e6;
        (within, n + 2.0 * n.sqrt() + 2.0)
    });
    windows.max_by(|a, b| (a.0 as f64 / a.1).total_cmp(&(b.0 as f64 / b.1))).unwrap_or((0, 1.0))
}

fn holds(name: &str, scene: Scene) {
    for routers in FLEETS {
        for seed in [1, 2, 3] {
            let sent = sends_to_the_cold(routers, seed, scene);
            let (within, bears) = worst(&sent);
            println!("{name}, {routers} routers, seed {seed}: {within} of {bears:.1}, {} in all", sent.len());
            assert!(within as f64 <= bears, "{name}, {routers} routers, seed {seed}: {within} of {bears:.1}");
        }
    }
}

#[test]
fn a_cold_server_is_sent_no_more_than_it_bears_by_all_routers_together() {
    holds("steady", STEADY);
}

/// Quiet, usual and busy loads, as shares of what a full server answers, and bursts of twice and a bit as much: what the routers
/// saved up before must not come at once.
#[test]
fn what_was_saved_up_does_not_overload_it_in_a_burst() {
    for load in [0.26, 0.5, 0.76] {
        for burst_at in [2 * SECOND, 5 * SECOND] {
            holds("burst", Scene { lull: load, burst: 2.2 * load, burst_at, ..STEADY });
        }
    }
}

#[test]
fn news_at_unequal_times_restarts_and_second_processes_do_not_overload_it() {
    holds("news", Scene { news: 4 * SECOND, ..STEADY });
    holds("restarts", Scene { restarted: 3, ..STEADY });
    holds("two processes", Scene { processes: 2, ..STEADY });
}

/// It is used while it warms, too: a full server would take some 500 in that time.
#[test]
fn a_cold_server_is_used_while_it_warms() {
    for routers in FLEETS {
        let sent = sends_to_the_cold(routers, 1, STEADY).len();
        assert!(sent > 100, "{routers} routers: {sent}");
    }
}
