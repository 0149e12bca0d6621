//! The figures of one run.

use super::bounds::Resource;
use super::load::Outcomes;
use birchreach_test_support::process::Process;
use std::thread;
use std::time::{Duration, Instant};

const DESCRIPTOR_INTERVAL: Duration = Duration::from_millis(100);

/// What the proxy needed in one run, and what its clients got.
#[derive(Default)]
pub(super) struct Resources {
    figures: Vec<(Resource, f64)>,
    /// Statements that reached databases, health checks included.
    pub(super) statements: u64,
    pub(super) outcomes: Outcomes,
}

impl Resources {
    pub(super) fn set(&mut self, resource: Resource, figure: f64) {
        self.figures.push((resource, figure));
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
