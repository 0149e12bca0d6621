//! The rules of copies, model-checked: a writer, two replicas that lag, two copiers, a holder and readers. Copies arrive late, twice and
//! from several copiers, answers carry a position from after their value, and each party may pause anywhere. The transition functions
//! are the crate's own.

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
    Idle,
    /// The first answer position this position.
    FirstAnswered {
        replica: usize,
        position: i64,
    },
    /// The second read has run; its answer is not there yet.
    Read {
        replica: usize,
        position: i64,
        value: i64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    committed: i64,
    applied: [i64; REPLICAS],
    copiers: [Copier; COPIERS],
    /// Copies that were sent, and may arrive at any time and again.
    in_transit: BTreeSet<Copy<i64>>,
    holder: Option<Copy<i64>>,
    /// A read was served by a copy older than the position that it needs.
    stale_read: bool,
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Commit,
    Apply(usize),
    FirstRead(usize, usize),
    SecondRead(usize),
    SecondAnswer(usize),
    Arrives(Copy<i64>),
    /// The holder restarts, fails over or is replaced: it has none, or an older one that had arrived before.
    Loses,
    /// A read that needs this position asks the holder.
    ReadCopy(i64),
}

struct Rules(Option<Fault>);

impl Model for Rules {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let copiers = [Copier::Idle, Copier::Idle];
        let in_transit = BTreeSet::new();
        vec![State {
            committed: 0,
            applied: [0; REPLICAS],
            copiers,
            in_transit,
            holder: None,
            stale_read: false,
            went_back: false,
        }]
    }

    fn actions(&self, s: &State, all: &mut Vec<Step>) {
        if s.committed < COMMITS {
            all.push(Step::Commit);
        }
        all.extend((0..REPLICAS).filter(|r| s.applied[*r] < s.committed).map(Step::Apply));
        for c in 0..COPIERS {
            match s.copiers[c] {
                Copier::Idle => all.extend((0..REPLICAS).map(|r| Step::FirstRead(c, r))),
                Copier::FirstAnswered { .. } => all.push(Step::SecondRead(c)),
                Copier::Read { .. } => all.push(Step::SecondAnswer(c)),
            }
        }
        all.extend(s.in_transit.iter().cloned().map(Step::Arrives));
        if s.holder.is_some() {
            all.push(Step::Loses);
        }
        all.extend((0..=s.committed).map(Step::ReadCopy));
    }

    fn next_state(&self, s: &State, step: Step) -> Option<State> {
        faults::set(self.0);
        let mut s = s.clone();
        match step {
            Step::Commit => s.committed += 1,
            Step::Apply(r) => s.applied[r] += 1,
            Step::FirstRead(c, replica) => {
                s.copiers[c] = Copier::FirstAnswered { replica, position: s.applied[replica] }
            }
            Step::SecondRead(c) => {
                let Copier::FirstAnswered { replica, position } = s.copiers[c] else { return None };
                s.copiers[c] = Copier::Read { replica, position, value: s.applied[replica] };
            }
            Step::SecondAnswer(c) => {
                let Copier::Read { replica, position, value } = s.copiers[c] else { return None };
                s.in_transit.extend(copy_from_reads(Some(position), value, Some(s.applied[replica])));
                s.copiers[c] = Copier::Idle;
            }
            Step::Arrives(copy) => {
                let before = s.holder.as_ref().map(|kept| kept.position);
                let after = newer_copy(s.holder.take(), copy);
                s.went_back |= before.is_some_and(|before| after.position < before);
                s.holder = Some(after);
            }
            Step::Loses => s.holder = None,
            Step::ReadCopy(needed) => {
                let answered = s.holder.as_ref().filter(|kept| can_serve(Some(kept), needed));
                s.stale_read |= answered.is_some_and(|kept| kept.value < needed);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no read is staler than what it needs", |_, s: &State| !s.stale_read),
            Property::always("a holder's copy never goes back", |_, s: &State| !s.went_back),
            Property::sometimes("a current copy arrives", |_, s: &State| {
                s.committed == COMMITS && s.holder.as_ref().is_some_and(|kept| kept.position == COMMITS)
            }),
        ]
    }
}

fn violated_properties(fault: Option<Fault>) -> Vec<&'static str> {
    let checker =
        Rules(fault).checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    assert!(fault.is_some() || checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
    let found = checker.discoveries();
    let never = ["no read is staler than what it needs", "a holder's copy never goes back"];
    assert!(fault.is_some() || found.contains_key("a current copy arrives"), "it shows nothing");
    never.into_iter().filter(|name| found.contains_key(name)).collect()
}

#[test]
fn no_read_from_a_copy_is_staler_than_it_needs() {
    assert_eq!(violated_properties(None), Vec::<&str>::new());
}

#[test]
fn each_injected_fault_of_copies_is_found() {
    assert_eq!(violated_properties(Some(Fault::UsesLaterPosition)), ["no read is staler than what it needs"]);
    assert_eq!(violated_properties(Some(Fault::ServesAnyPosition)), ["no read is staler than what it needs"]);
    assert_eq!(violated_properties(Some(Fault::KeepsLastWrite)), ["a holder's copy never goes back"]);
}
