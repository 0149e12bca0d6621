//! Settings, and the decisions that follow from them: when copying a key is worthwhile, how many copies it gets, and
//! how often the copies are refreshed.

use crate::Micros;

/// The condition under which a copy may serve reads of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyRequirement {
    /// The read must return the current value, so that no copy may serve it.
    Current,
    /// The copy must not be older than this.
    MaxAge(Micros),
    /// The copy must include all writes of the read's session.
    Session,
    /// Any copy may serve the read, regardless of its age.
    Any,
}

/// The refresh interval if no class has a maximum age but some class requires the writes of its session. Some of these
/// reads follow their write closely.
const SESSION_REFRESH_MICROS: Micros = 1_000_000;
/// The refresh interval if no class has a maximum age or requires the writes of its session.
const ANY_REFRESH_MICROS: Micros = 5_000_000;
/// The minimum refresh interval. Reading a row and writing its copy takes some tens of milliseconds.
const MIN_REFRESH_MICROS: Micros = 100_000;
/// The upper limit of the search for a threshold. No key is read this often.
const MAX_THRESHOLD_PER_S: f64 = 1e9;
/// Bisection steps of the search for a threshold. 30 steps narrow the search interval by a factor of about one billion.
const THRESHOLD_BISECTIONS: usize = 30;
const MICROS_PER_SECOND: f64 = 1e6;

/// The settings of hot key detection and copying.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Reads per second that one database can serve.
    pub database_reads_per_s: f64,
    /// The cost of writing one copy to its holder's group, in units of reads.
    pub copy_cost_reads: f64,
    /// The maximum number of copies of one key.
    pub max_copies: usize,
    /// The number of processes that the options name.
    pub configured_members: u32,
    /// The requirement of each class of reads, in the order of classes.
    pub class_requirements: Vec<CopyRequirement>,
}

/// The costs and savings of copying a key that is read at a given rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyCost {
    /// The number of copies that the key gets.
    pub copies: usize,
    /// Reads per second that the copies serve instead of the key's own group.
    pub saved_per_s: f64,
    /// The cost of refreshing the copies, in units of reads per second.
    pub spent_per_s: f64,
}

impl Settings {
    /// Returns the interval at which copies are refreshed. It is half of the lowest maximum age of all classes, so that
    /// a copy within that age is always available. If no class has a maximum age, it depends on whether a class
    /// requires the writes of its session.
    pub fn refresh_interval(&self) -> Micros {
        let half_of_max_age = |requirement: &CopyRequirement| match requirement {
            CopyRequirement::MaxAge(age) => Some(age / 2),
            _ => None,
        };
        let lowest = self.class_requirements.iter().filter_map(half_of_max_age).min();
        let has_sessions = self.class_requirements.contains(&CopyRequirement::Session);
        let default = if has_sessions { SESSION_REFRESH_MICROS } else { ANY_REFRESH_MICROS };
        lowest.unwrap_or(default).max(MIN_REFRESH_MICROS)
    }

    /// Returns the costs and savings of copying a key that is read at this rate and belongs to a group with this number
    /// of replicas.
    pub fn cost(&self, reads_per_s: f64, replicas: usize) -> CopyCost {
        // Each database that serves the key reserves half of its capacity for other keys.
        let servers_needed = (2.0 * reads_per_s / self.database_reads_per_s).ceil() as usize;
        let copies = servers_needed.saturating_sub(replicas).clamp(1, self.max_copies.max(1));
        let refreshes_per_s = MICROS_PER_SECOND / self.refresh_interval() as f64;
        CopyCost {
            copies,
            saved_per_s: reads_per_s * copies as f64 / (copies + replicas.max(1)) as f64,
            // A refresh needs two reads in the key's own group, and one write per copy.
            spent_per_s: (2.0 + self.copy_cost_reads * copies as f64) * refreshes_per_s,
        }
    }

    /// Returns whether copying the key is worthwhile: one database alone cannot serve the key, and copying saves more
    /// reads than it costs.
    pub fn is_worthwhile(&self, reads_per_s: f64, replicas: usize) -> bool {
        let CopyCost { saved_per_s, spent_per_s, .. } = self.cost(reads_per_s, replicas);
        reads_per_s > self.database_reads_per_s && saved_per_s > spent_per_s
    }

    /// Returns the lowest rate, in reads per second, at which copying a key is worthwhile.
    pub fn hot_threshold(&self, replicas: usize) -> f64 {
        let (mut low, mut high) = (0.0, self.database_reads_per_s.max(1.0));
        while !self.is_worthwhile(high, replicas) && high < MAX_THRESHOLD_PER_S {
            (low, high) = (high, high * 2.0);
        }
        for _ in 0..THRESHOLD_BISECTIONS {
            let middle = (low + high) / 2.0;
            (low, high) = if self.is_worthwhile(middle, replicas) { (low, middle) } else { (middle, high) };
        }
        high
    }
}
