//! The measured resources of one run.

use super::bounds::Resource;
use super::load::Outcomes;
use birchreach_test_support::process::Process;
use std::thread;
use std::time::{Duration, Instant};

const DESCRIPTOR_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Resources of the proxy in one run, and the outcomes of its clients' requests.
pub(super) struct Resources {
    values: Vec<(Resource, f64)>,
    /// Number of statements that reached databases, including health checks.
    pub(super) statements: u64,
    pub(super) outcomes: Outcomes,
}

impl Resources {
    /// Creates a record without any measured resource.
    pub(super) fn new(outcomes: Outcomes, statements: u64) -> Resources {
        Resources { values: Vec::new(), statements, outcomes }
    }

    pub(super) fn set(&mut self, resource: Resource, value: f64) {
        self.values.push((resource, value));
    }

    /// Records the system's statistics of the process, and the fraction served. Returns `None` if the process has exited.
    pub(super) fn measure_proxy(&mut self, proxy: &Process, peak_descriptors: usize) -> Option<()> {
        self.set(Resource::Cpu, proxy.cpu_time()?.as_secs_f64());
        self.set(Resource::PeakMemory, proxy.peak_memory_kib()? as f64);
        self.set(Resource::Descriptors, peak_descriptors as f64);
        self.set(Resource::FractionServed, self.outcomes.fraction_served());
        Some(())
    }

    /// Returns the value of a resource, or NaN if the run did not measure the resource.
    pub(super) fn get(&self, resource: Resource) -> f64 {
        let found = self.values.iter().find(|(set, _)| *set == resource);
        found.map_or(f64::NAN, |(_, value)| *value)
    }
}

/// Samples the open file descriptors of a process until the deadline, and returns the highest number seen.
pub(super) fn peak_descriptors(process: &Process, deadline: Instant) -> usize {
    let mut peak = 0;
    while Instant::now() < deadline {
        peak = peak.max(process.open_descriptors().unwrap_or_default());
        thread::sleep(DESCRIPTOR_SAMPLE_INTERVAL);
    }
    peak
}
