//! What an installation says of itself, and what follows: when copying pays, to how many guests, and how often it is renewed.

use crate::Micros;

/// What reads of a class need, as far as copies go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyRequirement {
    /// Current: never from a copy.
    Current,
    /// At most so old.
    MaxAge(Micros),
    /// All that its session wrote.
    Session,
    Any,
}

/// Refresh intervals where no class has a bound: some of a session's reads come soon after its write; any data does for long.
const SESSION_REFRESH_MICROS: Micros = 1_000_000;
const ANY_REFRESH_MICROS: Micros = 5_000_000;
/// Nothing is refreshed more often: the reading and the writing of a copy take some tens of milliseconds.
const MIN_REFRESH_MICROS: Micros = 100_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Reads a second that one database bears.
    pub database_reads_per_s: f64,
    /// What an upsert costs its group, in reads.
    pub copy_cost_reads: f64,
    /// Guests of one key, at the most.
    pub max_copies: usize,
    /// How many processes there are by the options.
    pub configured_members: u32,
    /// What reads of each class need.
    pub class_requirements: Vec<CopyRequirement>,
}

/// What a key would cost and save, for a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyCost {
    pub copies: usize,
    /// Reads a second that home is spared.
    pub saved_per_s: f64,
    /// What copying takes, in reads a second.
    pub spent_per_s: f64,
}

impl Settings {
    /// How often a copy is renewed: so that one is always within the tightest bound.
    pub fn refresh_interval(&self) -> Micros {
        let bound = |need: &CopyRequirement| {
            if let CopyRequirement::MaxAge(age) = need { Some(age / 2) } else { None }
        };
        let tightest = self.class_requirements.iter().filter_map(bound).min();
        let sessions = self.class_requirements.contains(&CopyRequirement::Session);
        tightest
            .unwrap_or(if sessions { SESSION_REFRESH_MICROS } else { ANY_REFRESH_MICROS })
            .max(MIN_REFRESH_MICROS)
    }

    /// A key of so many reads a second, whose group has so many replicas.
    pub fn cost(&self, rate: f64, replicas: usize) -> CopyCost {
        // Each that bears it keeps half of itself for other keys.
        let bearers = (2.0 * rate / self.database_reads_per_s).ceil() as usize;
        let guests = bearers.saturating_sub(replicas).clamp(1, self.max_copies.max(1));
        let refreshes = 1e6 / self.refresh_interval() as f64;
        CopyCost {
            copies: guests,
            saved_per_s: rate * guests as f64 / (guests + replicas.max(1)) as f64,
            // Two reads at home, and a copy to each guest.
            spent_per_s: (2.0 + self.copy_cost_reads * guests as f64) * refreshes,
        }
    }

    /// One database does not bear it, and copying saves more than it takes.
    pub fn is_worthwhile(&self, rate: f64, replicas: usize) -> bool {
        let CopyCost { saved_per_s: saved, spent_per_s: spent, .. } = self.cost(rate, replicas);
        rate > self.database_reads_per_s && saved > spent
    }

    /// The least rate that pays, where it is the one that a key crosses.
    pub fn hot_threshold(&self, replicas: usize) -> f64 {
        let (mut low, mut high) = (0.0, self.database_reads_per_s.max(1.0));
        while !self.is_worthwhile(high, replicas) && high < 1e9 {
            (low, high) = (high, high * 2.0);
        }
        for _ in 0..30 {
            let middle = (low + high) / 2.0;
            (low, high) = if self.is_worthwhile(middle, replicas) { (low, middle) } else { (middle, high) };
        }
        high
    }
}
