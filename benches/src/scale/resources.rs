//! The figures of one run.

use super::bounds::Resource;
use super::load::Outcomes;
use birchreach_test_support::process::Process;
use std::thread;
use std::time::{Duration, Instant};

const DESCRIPTOR_INTERVAL: Duration = Duration::from_millis(100);

/// What the proxy needed in one run, and what its clients got.
pub(super) struct Resources {
    figures: Vec<(Resource, f64)>,
    /// Statements that reached databases, health checks included.
    pub(super) statements: u64,
    pub(super) outcomes: Outcomes,
}

impl Resources {
    /// A run without figures yet.
    pub(super) fn new(outcomes: Outcomes, statements: u64) -> Resources {
        Resources { figures: Vec::new(), statements, outcomes }
    }

    pub(super) fn set(&mut self, resource: Resource, figure: f64) {
        self.figures.push((resource, figure));
    }

    /// Takes the system's account of the process, and the share served; none if the process has gone.
    pub(super) fn measure_proxy(&mut self, proxy: &Process, peak_descriptors: usize) -> Option<()> {
        self.set(Resource::Cpu, proxy.cpu_time()?.as_secs_f64());
        self.set(Resource::PeakMemory, proxy.peak_memory_kib()? as f64);
        self.set(Resource::Descriptors, peak_descriptors as f64);
        self.set(Resource::ShareServed, self.outcomes.share_served());
        Some(())
    }

    /// A figure; not a number if the run did not measure it.
    pub(super) fn get(&self, resource: Resource) -> f64 {
        let found = self.figures.iter().find(|(set, _)| *set == resource);
        found.map_or(f64::NAN, |(_, figure)| *figure)
    }
}

/// Looks again and again how many descriptors a process has open.
pub(super) struct DescriptorWatch;

impl DescriptorWatch {
    /// The most descriptors that were seen up to an instant.
    pub(super) fn until(process: &Process, until: Instant) -> usize {
        let mut peak = 0;
        while Instant::now() < until {
            peak = peak.max(process.open_descriptors().unwrap_or_default());
            thread::sleep(DESCRIPTOR_INTERVAL);
        }
        peak
    }
}
