//! The simulated fleet: proxies with health monitors, and balancers that read their weights.

use birchreach_health::{GroupId, HealthEvent, HealthSettings, Micros, Monitor, ServerId};
use std::ops::Range;

const PROXIES: usize = 16;
const BALANCERS: usize = 2;
/// The proxy that loses half its core for [`DEGRADED_SECONDS`].
const DEGRADED_PROXY: usize = 5;
const DEGRADED_CAPACITY: f64 = 0.5;
const TICK_MICROS: Micros = 250_000;
pub(super) const MICROS_PER_SECOND: Micros = 1_000_000;
/// Duration of a run, in virtual time.
pub(super) const SECONDS: usize = 480;
const DEGRADED_SECONDS: Range<Micros> = 120..300;
const LOAD_PER_PROXY: f64 = 0.9;
/// Width of the range of random noise that is added to each measured pressure.
const NOISE: f64 = 0.02;
const FULL_WEIGHT_PERCENT: f64 = 100.0;
/// Pressure above which [`Policy::Step`] reduces the weight.
const STEP_PRESSURE: f64 = 0.9;
/// Weight that [`Policy::Step`] sets above [`STEP_PRESSURE`].
const STEP_WEIGHT_PERCENT: f64 = 10.0;

/// Policy that computes a proxy's weight from its pressure.
#[derive(Clone, Copy)]
pub(super) enum Policy {
    /// Full weight up to [`STEP_PRESSURE`], and a small weight above.
    Step,
    /// Weight in proportion to the free capacity.
    FreeCapacity,
    /// The health monitor of the proxy.
    Monitor,
}

impl Policy {
    /// Returns the policy's name in the table and the chart.
    pub(super) fn name(self) -> &'static str {
        match self {
            Policy::Step => "a step at 0.9",
            Policy::FreeCapacity => "free capacity at once",
            Policy::Monitor => "taken: droop and trim",
        }
    }

    fn weight(self, pressure: f64, monitor: &Monitor) -> f64 {
        match self {
            Policy::Step if pressure > STEP_PRESSURE => STEP_WEIGHT_PERCENT,
            Policy::Step => FULL_WEIGHT_PERCENT,
            Policy::FreeCapacity => (FULL_WEIGHT_PERCENT * (1.0 - pressure)).round().max(1.0),
            Policy::Monitor => f64::from(monitor.verdict().overall.weight_percent),
        }
    }
}

/// Usage and weights of a run, with one value per second.
#[derive(Default)]
pub(super) struct FleetHistory {
    /// Used fraction of the degraded proxy's capacity.
    pub degraded_usage: Vec<f64>,
    /// Mean usage of the other proxies.
    pub other_usage: Vec<f64>,
    /// Weight of the degraded proxy, in percent.
    pub degraded_weight: Vec<f64>,
}

fn new_monitor() -> Monitor {
    let mut monitor = Monitor::new(HealthSettings::default(), 0);
    let listed = HealthEvent::ServerListed {
        server: ServerId(0),
        group: GroupId(0),
        primary: Some(true),
        accepts_work: true,
    };
    monitor.handle_event(0, listed);
    monitor
}

/// Proxies, and balancers that read each proxy's weight at an interval. Each balancer reads at different times.
pub(super) struct Simulation {
    policy: Policy,
    read_interval: Micros,
    rng: fastrand::Rng,
    monitors: Vec<Monitor>,
    /// Current weight of each proxy, in percent.
    weights: [f64; PROXIES],
    /// Last weights that each balancer has read, in percent.
    read_weights: [[f64; PROXIES]; BALANCERS],
}

impl Simulation {
    /// Creates a fleet in which all proxies have full weight.
    pub(super) fn new(policy: Policy, read_interval: Micros, seed: u64) -> Simulation {
        Simulation {
            policy,
            read_interval,
            rng: fastrand::Rng::with_seed(seed),
            monitors: (0..PROXIES).map(|_| new_monitor()).collect(),
            weights: [FULL_WEIGHT_PERCENT; PROXIES],
            read_weights: [[FULL_WEIGHT_PERCENT; PROXIES]; BALANCERS],
        }
    }

    /// Simulates the complete run and returns its history.
    pub(super) fn run(mut self) -> FleetHistory {
        let mut history = FleetHistory::default();
        for tick in 1..=(SECONDS as Micros * MICROS_PER_SECOND / TICK_MICROS) {
            let now = tick * TICK_MICROS;
            let usage = self.usage(now / MICROS_PER_SECOND);
            for (proxy, usage) in usage.into_iter().enumerate() {
                self.update_weight(now, proxy, usage);
                self.read_weight(now, proxy);
            }
            if now % MICROS_PER_SECOND == 0 {
                history.record(&usage, self.weights[DEGRADED_PROXY]);
            }
        }
        history
    }

    /// Returns the used fraction of each proxy's capacity, according to the weights that the balancers last read.
    fn usage(&self, second: Micros) -> [f64; PROXIES] {
        let load_per_balancer = LOAD_PER_PROXY * PROXIES as f64 / BALANCERS as f64;
        let mut usage = [0.0; PROXIES];
        for weights in &self.read_weights {
            let sum: f64 = weights.iter().sum();
            for (proxy, usage) in usage.iter_mut().enumerate() {
                *usage += load_per_balancer * weights[proxy] / sum / capacity(proxy, second);
            }
        }
        usage
    }

    fn update_weight(&mut self, now: Micros, proxy: usize, usage: f64) {
        let pressure = (usage + NOISE * (self.rng.f64() - 0.5)).min(1.0);
        let load = HealthEvent::Load { pressure, in_progress: 0, queued: 0, client_capacity: 0 };
        self.monitors[proxy].handle_event(now, load);
        self.monitors[proxy].update(now);
        self.weights[proxy] = self.policy.weight(pressure, &self.monitors[proxy]);
    }

    /// Updates the weight known to each balancer whose read of this proxy is due.
    fn read_weight(&mut self, now: Micros, proxy: usize) {
        let interval = self.read_interval;
        for (balancer, read_weights) in self.read_weights.iter_mut().enumerate() {
            let proxy_offset = interval / PROXIES as Micros * proxy as Micros;
            let balancer_offset = balancer as Micros * interval / 2;
            if (now + proxy_offset + balancer_offset) % interval < TICK_MICROS {
                read_weights[proxy] = self.weights[proxy];
            }
        }
    }
}

fn capacity(proxy: usize, second: Micros) -> f64 {
    if proxy == DEGRADED_PROXY && DEGRADED_SECONDS.contains(&second) { DEGRADED_CAPACITY } else { 1.0 }
}

impl FleetHistory {
    fn record(&mut self, usage: &[f64; PROXIES], degraded_weight: f64) {
        self.degraded_usage.push(usage[DEGRADED_PROXY]);
        let other_usage = usage.iter().sum::<f64>() - usage[DEGRADED_PROXY];
        self.other_usage.push(other_usage / (PROXIES - 1) as f64);
        self.degraded_weight.push(degraded_weight);
    }
}
