//! Bounds on the resources of a proxy at each size, computed from its resources at the smallest size.

const KIB_PER_MB: f64 = 1024.0;
const BYTES_PER_KB: f64 = 1024.0;
const DATABASES_PER_THOUSAND: f64 = 1000.0;

/// A measured quantity that has a bound.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Resource {
    /// Processor time in seconds.
    Cpu,
    /// Peak resident memory in KiB.
    PeakMemory,
    /// Highest number of open file descriptors.
    Descriptors,
    /// Number of connections made to databases.
    Connections,
    /// Bytes of endpoint lists and changes sent by discovery.
    ListBytes,
    /// Fraction of all requests that were served, from 0 to 1.
    FractionServed,
}

/// All resources, in the order of the table.
pub(super) const RESOURCES: [Resource; 6] = [
    Resource::Cpu,
    Resource::PeakMemory,
    Resource::Descriptors,
    Resource::Connections,
    Resource::ListBytes,
    Resource::FractionServed,
];

/// Coefficients of a bound: a multiple of the value at the smallest size, and additions to the multiple.
struct Allowance {
    factor: f64,
    fixed: f64,
    per_thousand_databases: f64,
}

impl Resource {
    /// Returns the resource's name and unit in the table.
    pub(super) fn label(self) -> &'static str {
        match self {
            Resource::Cpu => "CPU, s",
            Resource::PeakMemory => "peak memory, KiB",
            Resource::Descriptors => "descriptors, most",
            Resource::Connections => "connections to databases",
            Resource::ListBytes => "bytes of lists",
            Resource::FractionServed => "share served",
        }
    }

    /// Returns the number of decimals in the table.
    pub(super) fn decimals(self) -> usize {
        match self {
            Resource::Cpu | Resource::FractionServed => 3,
            _ => 0,
        }
    }

    fn allowance(self) -> Allowance {
        let (factor, fixed, per_thousand_databases) = match self {
            Resource::Cpu => (1.4, 0.02, 0.03),
            Resource::PeakMemory => (1.5, 8.0 * KIB_PER_MB, 4.0 * KIB_PER_MB),
            Resource::Descriptors => (2.0, 40.0, 0.0),
            Resource::Connections => (2.5, 40.0, 0.0),
            Resource::ListBytes => (2.0, 64.0 * BYTES_PER_KB, 500.0 * BYTES_PER_KB),
            Resource::FractionServed => (0.85, 0.0, 0.0),
        };
        Allowance { factor, fixed, per_thousand_databases }
    }

    /// Returns the bound at a size: a minimum for the fraction served, a maximum for all other resources.
    ///
    /// `smallest_size_value` is the value at the smallest size.
    pub(super) fn bound(self, smallest_size_value: f64, size: u32) -> f64 {
        let Allowance { factor, fixed, per_thousand_databases } = self.allowance();
        factor * smallest_size_value
            + fixed
            + per_thousand_databases * f64::from(size) / DATABASES_PER_THOUSAND
    }

    /// Returns whether a value violates the bound.
    pub(super) fn violates(self, value: f64, bound: f64) -> bool {
        match self {
            Resource::FractionServed => value < bound,
            _ => value > bound,
        }
    }
}
