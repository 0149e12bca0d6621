//! What a proxy may need at a size, from what it needs at the smallest.

const KIB_PER_MB: f64 = 1024.0;
const BYTES_PER_KB: f64 = 1024.0;
const DATABASES_PER_THOUSAND: f64 = 1000.0;

/// A figure that has a bound.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Resource {
    /// Seconds.
    Cpu,
    /// KiB.
    PeakMemory,
    Descriptors,
    /// Connections made to databases.
    Connections,
    /// Bytes of lists and changes from discovery.
    ListBytes,
    /// Of all requests, from 0 to 1.
    ShareServed,
}

/// All figures, in the table's order.
pub(super) const RESOURCES: [Resource; 6] = [
    Resource::Cpu,
    Resource::PeakMemory,
    Resource::Descriptors,
    Resource::Connections,
    Resource::ListBytes,
    Resource::ShareServed,
];

/// A multiple of the figure at the smallest size, and what comes on top.
struct Allowance {
    factor: f64,
    fixed: f64,
    per_thousand_databases: f64,
}

impl Resource {
    /// Its name and unit in the table.
    pub(super) fn label(self) -> &'static str {
        match self {
            Resource::Cpu => "CPU, s",
            Resource::PeakMemory => "peak memory, KiB",
            Resource::Descriptors => "descriptors, most",
            Resource::Connections => "connections to databases",
            Resource::ListBytes => "bytes of lists",
            Resource::ShareServed => "share served",
        }
    }

    /// Decimals in the table.
    pub(super) fn decimals(self) -> usize {
        match self {
            Resource::Cpu | Resource::ShareServed => 3,
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
            Resource::ShareServed => (0.85, 0.0, 0.0),
        };
        Allowance { factor, fixed, per_thousand_databases }
    }

    /// The most, or of the share served the least, that is allowed at a size.
    pub(super) fn bound(self, at_smallest: f64, size: u32) -> f64 {
        let Allowance { factor, fixed, per_thousand_databases } = self.allowance();
        factor * at_smallest + fixed + per_thousand_databases * f64::from(size) / DATABASES_PER_THOUSAND
    }

    /// Whether a figure is on the wrong side of its bound.
    pub(super) fn breaks(self, figure: f64, bound: f64) -> bool {
        match self {
            Resource::ShareServed => figure < bound,
            _ => figure > bound,
        }
    }
}
