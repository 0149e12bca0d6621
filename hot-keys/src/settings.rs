//! What an installation says of itself, and what follows: when copying pays, to how many guests, and how often it is renewed.

use crate::Micros;

/// What reads of a class need, as far as copies go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Current: never from a copy.
    Current,
    /// At most so old.
    Bounded(Micros),
    /// All that its session wrote.
    Session,
    Any,
}

/// Refresh intervals where no class has a bound: some of a session's reads come soon after its write; any data does for long.
const SESSION_REFRESH: Micros = 1_000_000;
const ANY_REFRESH: Micros = 5_000_000;
/// Nothing is refreshed more often: the reading and the writing of a copy take some tens of milliseconds.
const LEAST_REFRESH: Micros = 100_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Reads a second that one database bears.
    pub bears: f64,
    /// What an upsert costs its group, in reads.
    pub copy_cost: f64,
    /// Guests of one key, at the most.
    pub most_guests: usize,
    /// How many processes there are by the options.
    pub named: u32,
    /// What reads of each class need.
    pub needs: Vec<Need>,
}

/// What a key would cost and save, for a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    pub guests: usize,
    /// Reads a second that home is spared.
    pub saved: f64,
    /// What copying takes, in reads a second.
    pub spent: f64,
}

impl Settings {
    /// How often a copy is renewed: so that one is always within the tightest bound.
    pub fn refresh(&self) -> Micros {
        let bound = |need: &Need| if let Need::Bounded(age) = need { Some(age / 2) } else { None };
        let tightest = self.needs.iter().filter_map(bound).min();
        let sessions = self.needs.contains(&Need::Session);
        tightest.unwrap_or(if sessions { SESSION_REFRESH } else { ANY_REFRESH }).max(LEAST_REFRESH)
    }

    /// A key of so many reads a second, whose group has so many replicas.
    pub fn cost(&self, rate: f64, replicas: usize) -> Cost {
        // Each that bears it keeps half of itself for other keys.
        let bearers = (2.0 * rate / self.bears).ceil() as usize;
        let guests = bearers.saturating_sub(replicas).clamp(1, self.most_guests.max(1));
        let refreshes = 1e6 / self.refresh() as f64;
        Cost {
            guests,
            saved: rate * guests as f64 / (guests + replicas.max(1)) as f64,
            // Two reads at home, and a copy to each guest.
            spent: (2.0 + self.copy_cost * guests as f64) * refreshes,
        }
    }

    /// One database does not bear it, and copying saves more than it takes.
    pub fn pays(&self, rate: f64, replicas: usize) -> bool {
        let Cost { saved, spent, .. } = self.cost(rate, replicas);
        rate > self.bears && saved > spent
    }

    /// The least rate that pays, where it is the one that a key crosses.
    pub fn threshold(&self, replicas: usize) -> f64 {
        let (mut low, mut high) = (0.0, self.bears.max(1.0));
        while !self.pays(high, replicas) && high < 1e9 {
            (low, high) = (high, high * 2.0);
        }
        for _ in 0..30 {
            let middle = (low + high) / 2.0;
            (low, high) = if self.pays(middle, replicas) { (low, middle) } else { (middle, high) };
        }
        high
    }
}
