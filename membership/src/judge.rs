//! What the view comes to: its digest, twins, and whether it is settled, moving, blind or alone.

use crate::Micros;
use crate::machine::Fleet;
use crate::view::{Change, State, digest};
use std::collections::BTreeSet;

/// Hearing nobody for so long is blindness: three rounds of probes, each with its second way round.
const BLIND: Micros = 3_000_000;
/// A view that has not moved for so long is settled: what is new has been all round in that time.
const SETTLED: Micros = 2_000_000;

impl Fleet {
    /// When it may come to something else, if nothing is heard.
    pub(crate) fn next_judgement(&self) -> Micros {
        match self.state {
            State::Moving if self.members.is_empty() => self.heard + BLIND,
            State::Moving => (self.moved + SETTLED).min(self.heard + BLIND),
            State::Settled { .. } => self.heard + BLIND,
            State::Blind { .. } | State::Alone => Micros::MAX,
        }
    }

    pub(crate) fn new_digest(&self) -> u64 {
        digest(self.members.values().chain([self.foca.identity()]))
    }

    pub(crate) fn look_for_twins(&mut self) {
        let mut seen = BTreeSet::from([self.foca.identity().name.as_str()]);
        let twice = self.members.values().filter(|m| !seen.insert(m.name.as_str()));
        let twins: BTreeSet<String> =
            twice.filter(|_| !crate::faulty!(TwinsAreOne)).map(|m| m.name.clone()).collect();
        let before = std::mem::replace(&mut self.twins, twins.clone());
        for name in twins.symmetric_difference(&before) {
            self.tell(Change::Twins(name.clone(), twins.contains(name)));
        }
    }

    pub(crate) fn judge(&mut self, now: Micros) {
        let silent = now - self.heard >= BLIND && !crate::faulty!(NeverBlind);
        let state = if self.members.is_empty() {
            match self.named {
                0 | 1 => State::Alone,
                _ if silent => State::Blind { since: self.heard.max(self.started) },
                _ => State::Moving,
            }
        } else if silent {
            State::Blind { since: self.heard }
        } else if now - self.moved >= SETTLED {
            State::Settled { since: self.moved }
        } else {
            State::Moving
        };
        if std::mem::replace(&mut self.state, state) != state {
            self.tell(Change::State(state));
        }
    }
}
