//! The rules of copies, model-checked: a writer, two replicas that lag, two copiers, a guest, readers; copies are late, twice and
//! from several at once, answers tell a position from after their value, and anybody pauses anywhere. The transition functions are
//! the crate's own.

use birchreach_hot_keys::copy::{Copy, can_serve, copy_from_reads, newer_copy};
use birchreach_hot_keys::faults::{self, Fault};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

/// Commits, which are values and positions at once: value n holds all up to n.
const COMMITS: i64 = 2;
const REPLICAS: usize = 2;
const COPIERS: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Copier {
    Rests,
    /// The first answer told this position.
    Looked {
        replica: usize,
        told: i64,
    },
    /// The second read has run; its answer is not there yet.
    Read {
        replica: usize,
        told: i64,
        value: i64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    committed: i64,
    applied: [i64; REPLICAS],
    copiers: [Copier; COPIERS],
    /// Copies that were sent, and may arrive at any time and again.
    wire: BTreeSet<Copy<i64>>,
    guest: Option<Copy<i64>>,
    /// A read was answered from before the position that it needs; a guest went back by itself.
    stale: bool,
    back: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Commit,
    Apply(usize),
    Look(usize, usize),
    Reads(usize),
    Answers(usize),
    Arrives(Copy<i64>),
    /// The guest restarts, fails over or is replaced: it has none, or an older one that had arrived before.
    Loses,
    /// A read that needs this position asks the guest.
    Asks(i64),
}

struct Rules(Option<Fault>);

impl Model for Rules {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let copiers = [Copier::Rests, Copier::Rests];
        let wire = BTreeSet::new();
        vec![State {
            committed: 0,
            applied: [0; REPLICAS],
            copiers,
            wire,
            guest: None,
            stale: false,
            back: false,
        }]
    }

    fn actions(&self, s: &State, all: &mut Vec<Step>) {
        if s.committed < COMMITS {
            all.push(Step::Commit);
        }
        all.extend((0..REPLICAS).filter(|r| s.applied[*r] < s.committed).map(Step::Apply));
        for c in 0..COPIERS {
            match s.copiers[c] {
                Copier::Rests => all.extend((0..REPLICAS).map(|r| Step::Look(c, r))),
                Copier::Looked { .. } => all.push(Step::Reads(c)),
                Copier::Read { .. } => all.push(Step::Answers(c)),
            }
        }
        all.extend(s.wire.iter().cloned().map(Step::Arrives));
        if s.guest.is_some() {
            all.push(Step::Loses);
        }
        all.extend((0..=s.committed).map(Step::Asks));
    }

    fn next_state(&self, s: &State, step: Step) -> Option<State> {
        faults::set(self.0);
        let mut s = s.clone();
        match step {
            Step::Commit => s.committed += 1,
            Step::Apply(r) => s.applied[r] += 1,
            Step::Look(c, replica) => s.copiers[c] = Copier::Looked { replica, told: s.applied[replica] },
            Step::Reads(c) => {
                let Copier::Looked { replica, told } = s.copiers[c] else { return None };
                s.copiers[c] = Copier::Read { replica, told, value: s.applied[replica] };
            }
            Step::Answers(c) => {
                let Copier::Read { replica, told, value } = s.copiers[c] else { return None };
                s.wire.extend(copy_from_reads(Some(told), value, Some(s.applied[replica])));
                s.copiers[c] = Copier::Rests;
            }
            Step::Arrives(copy) => {
                let before = s.guest.as_ref().map(|kept| kept.position);
                let after = newer_copy(s.guest.take(), copy);
                s.back |= before.is_some_and(|before| after.position < before);
                s.guest = Some(after);
            }
            Step::Loses => s.guest = None,
            Step::Asks(needed) => {
                let answered = s.guest.as_ref().filter(|kept| can_serve(Some(kept), needed));
                s.stale |= answered.is_some_and(|kept| kept.value < needed);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no read is staler than what it needs", |_, s: &State| !s.stale),
            Property::always("a guest's copy never goes back", |_, s: &State| !s.back),
            Property::sometimes("a current copy arrives", |_, s: &State| {
                s.committed == COMMITS && s.guest.as_ref().is_some_and(|kept| kept.position == COMMITS)
            }),
        ]
    }
}

fn broken(fault: Option<Fault>) -> Vec<&'static str> {
    let checker =
        Rules(fault).checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    assert!(fault.is_some() || checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
    let found = checker.discoveries();
    let never = ["no read is staler than what it needs", "a guest's copy never goes back"];
    assert!(fault.is_some() || found.contains_key("a current copy arrives"), "it shows nothing");
    never.into_iter().filter(|name| found.contains_key(name)).collect()
}

#[test]
fn no_read_from_a_copy_is_staler_than_it_needs() {
    assert_eq!(broken(None), Vec::<&str>::new());
}

#[test]
fn each_fault_of_copies_is_caught() {
    assert_eq!(broken(Some(Fault::UsesLaterPosition)), ["no read is staler than what it needs"]);
    assert_eq!(broken(Some(Fault::ServesAnyPosition)), ["no read is staler than what it needs"]);
    assert_eq!(broken(Some(Fault::KeepsLastWrite)), ["a guest's copy never goes back"]);
}
