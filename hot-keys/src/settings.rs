//! The settings of an installation, and what follows from them: when copying a key is worthwhile, how many copies it gets, and how often
//! they are refreshed.

use crate::Micros;

/// What reads of a class need of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyRequirement {
    /// The current value: a copy never serves.
    Current,
    /// A copy that is at most so old.
    MaxAge(Micros),
    /// A copy with all that the read's session wrote.
    Session,
    /// Any copy.
    Any,
}

/// The refresh interval where no class has a maximum age, but one reads what its session wrote: some such reads follow their write
/// closely.
const SESSION_REFRESH_MICROS: Micros = 1_000_000;
/// The refresh interval where every class takes any copy.
const ANY_REFRESH_MICROS: Micros = 5_000_000;
/// The shortest refresh interval: reading and writing a copy takes some tens of milliseconds.
const MIN_REFRESH_MICROS: Micros = 100_000;
/// The highest threshold that is searched for: no key is read so often.
const MAX_THRESHOLD_PER_S: f64 = 1e9;
/// Bisections of the threshold; 30 give it to a billionth.
const THRESHOLD_BISECTIONS: usize = 30;
const MICROS_PER_SECOND: f64 = 1e6;

/// The settings of an installation.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Reads a second that one database can serve.
    pub database_reads_per_s: f64,
    /// What writing a copy costs the group of its holder, in reads.
    pub copy_cost_reads: f64,
    /// Copies of one key.
    pub max_copies: usize,
    /// How many processes the options name.
    pub configured_members: u32,
    /// What reads of each class need.
    pub class_requirements: Vec<CopyRequirement>,
}

/// What copying a key costs and saves, at some rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyCost {
    /// How many copies the key gets.
    pub copies: usize,
    /// Reads a second that the key's own group no longer serves.
    pub saved_per_s: f64,
    /// What refreshing the copies costs, in reads a second.
    pub spent_per_s: f64,
}

impl Settings {
    /// How often a copy is refreshed: so often that one is always within the lowest maximum age.
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

    /// What copying a key of this rate costs and saves, in a group of so many replicas.
    pub fn cost(&self, reads_per_s: f64, replicas: usize) -> CopyCost {
        // Each database that serves the key keeps half of its capacity for other keys.
        let servers_needed = (2.0 * reads_per_s / self.database_reads_per_s).ceil() as usize;
        let copies = servers_needed.saturating_sub(replicas).clamp(1, self.max_copies.max(1));
        let refreshes_per_s = MICROS_PER_SECOND / self.refresh_interval() as f64;
        CopyCost {
            copies,
            saved_per_s: reads_per_s * copies as f64 / (copies + replicas.max(1)) as f64,
            // Two reads in the key's own group, and a write for each copy.
            spent_per_s: (2.0 + self.copy_cost_reads * copies as f64) * refreshes_per_s,
        }
    }

    /// Whether one database cannot serve the key, and copying saves more than it costs.
    pub fn is_worthwhile(&self, reads_per_s: f64, replicas: usize) -> bool {
        let CopyCost { saved_per_s, spent_per_s, .. } = self.cost(reads_per_s, replicas);
        reads_per_s > self.database_reads_per_s && saved_per_s > spent_per_s
    }

    /// The rate in reads a second from which on copying a key is worthwhile.
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
