//! The rules of copies, model-checked: a writer, two replicas that lag, two copiers, a holder and readers. Copies arrive late, twice and
//! from several copiers, answers carry a position from after their value, and each party may pause anywhere. The transition functions
//! are the crate's own.

use birchreach_hot_keys::copy::{Copy, can_serve, copy_from_reads, newer_copy};
use birchreach_hot_keys::faults::{self, Fault};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

/// Commits. Each is a value and a position at once: a value includes all commits up to its number.
const COMMITS: i64 = 2;
const REPLICAS: usize = 2;
const COPIERS: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Copier {
    Idle,
    /// The first answer came with this position.
    FirstAnswered {
        replica: usize,
        position: i64,
    },
    /// The second read has run; its answer has not arrived yet.
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
    /// The holder's copy got an older position.
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Commit,
    /// A replica applies the next commit.
    Apply(usize),
    FirstRead {
        copier: usize,
        replica: usize,
    },
    SecondRead {
        copier: usize,
    },
    SecondAnswer {
        copier: usize,
    },
    CopyArrives(Copy<i64>),
    /// The holder restarts, fails over or is replaced: it has none, or an older one that had arrived before.
    CopyLost,
    /// A read that needs this position is sent to the holder.
    ReadCopy(i64),
}

struct Rules(Option<Fault>);

impl Model for Rules {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            committed: 0,
            applied: [0; REPLICAS],
            copiers: [Copier::Idle, Copier::Idle],
            in_transit: BTreeSet::new(),
            holder: None,
            stale_read: false,
            went_back: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.committed < COMMITS {
            actions.push(Step::Commit);
        }
        let lags = |replica: &usize| state.applied[*replica] < state.committed;
        actions.extend((0..REPLICAS).filter(lags).map(Step::Apply));
        for copier in 0..COPIERS {
            match state.copiers[copier] {
                Copier::Idle => {
                    actions.extend((0..REPLICAS).map(|replica| Step::FirstRead { copier, replica }));
                }
                Copier::FirstAnswered { .. } => actions.push(Step::SecondRead { copier }),
                Copier::Read { .. } => actions.push(Step::SecondAnswer { copier }),
            }
        }
        actions.extend(state.in_transit.iter().cloned().map(Step::CopyArrives));
        if state.holder.is_some() {
            actions.push(Step::CopyLost);
        }
        actions.extend((0..=state.committed).map(Step::ReadCopy));
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        faults::set(self.0);
        let mut state = state.clone();
        match step {
            Step::Commit => state.committed += 1,
            Step::Apply(replica) => state.applied[replica] += 1,
            Step::FirstRead { copier, replica } => {
                let position = state.applied[replica];
                state.copiers[copier] = Copier::FirstAnswered { replica, position };
            }
            Step::SecondRead { copier } => {
                let Copier::FirstAnswered { replica, position } = state.copiers[copier] else { return None };
                let value = state.applied[replica];
                state.copiers[copier] = Copier::Read { replica, position, value };
            }
            Step::SecondAnswer { copier } => {
                let Copier::Read { replica, position, value } = state.copiers[copier] else { return None };
                let position_after = state.applied[replica];
                state.in_transit.extend(copy_from_reads(Some(position), value, Some(position_after)));
                state.copiers[copier] = Copier::Idle;
            }
            Step::CopyArrives(copy) => {
                let before = state.holder.as_ref().map(|kept| kept.position);
                let after = newer_copy(state.holder.take(), copy);
                state.went_back |= before.is_some_and(|before| after.position < before);
                state.holder = Some(after);
            }
            Step::CopyLost => state.holder = None,
            Step::ReadCopy(needed) => {
                let answered = state.holder.as_ref().filter(|kept| can_serve(Some(kept), needed));
                state.stale_read |= answered.is_some_and(|kept| kept.value < needed);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no read is staler than what it needs", |_, state: &State| !state.stale_read),
            Property::always("a holder's copy never goes back", |_, state: &State| !state.went_back),
            Property::sometimes("a current copy arrives", |_, state: &State| {
                state.committed == COMMITS
                    && state.holder.as_ref().is_some_and(|kept| kept.position == COMMITS)
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
    assert_eq!(violated_properties(Some(Fault::KeepsLastArrival)), ["a holder's copy never goes back"]);
}
