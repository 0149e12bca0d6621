//! Model check of the rules for copies. The model has a writer, two lagging replicas, two copiers, one holder and
//! readers. Copies may arrive late, twice and from several copiers, the position in an answer may be newer than its
//! value, and each participant may pause at any step. The transitions call the functions of the crate itself.

use birchreach_hot_keys::copy::{Copy, can_serve, copy_from_reads, newer_copy};
use birchreach_hot_keys::faults::{self, Fault};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

/// The number of commits. The number of a commit is both its value and its position: a value includes all commits up to
/// its own number.
const COMMITS: i64 = 2;
const REPLICAS: usize = 2;
const COPIERS: usize = 2;

// The properties that are checked. The checker reports a discovery under the text of its property.
const NO_STALE_READ: &str = "no copy serves a read that needs a newer position";
const POSITION_NEVER_DECREASES: &str = "the position of a holder's copy never decreases";
const CURRENT_COPY_ARRIVES: &str = "a copy with the last commit arrives";

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Copier {
    Idle,
    /// The first answer has arrived with this position.
    FirstAnswered {
        replica: usize,
        position: i64,
    },
    /// The second read has run, and its answer has not arrived yet.
    SecondReadRun {
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
    /// Copies that were sent. Each may arrive at any time, and more than once.
    in_transit: BTreeSet<Copy<i64>>,
    holder: Option<Copy<i64>>,
    /// A copy served a read that needs a newer position.
    stale_read: bool,
    /// The position of the holder's copy has decreased.
    position_decreased: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Commit,
    /// A replica applies the next commit.
    ApplyCommit(usize),
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
    /// The holder restarts, fails over or is replaced, and has no copy afterwards. A copy that had arrived before may
    /// arrive again.
    CopyLost,
    /// A read that needs this position is sent to the holder.
    ReadCopy(i64),
}

/// The model, with the injected fault.
struct CopyModel(Option<Fault>);

impl Model for CopyModel {
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
            position_decreased: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.committed < COMMITS {
            actions.push(Step::Commit);
        }
        let lags = |replica: &usize| state.applied[*replica] < state.committed;
        actions.extend((0..REPLICAS).filter(lags).map(Step::ApplyCommit));
        for copier in 0..COPIERS {
            match state.copiers[copier] {
                Copier::Idle => {
                    actions.extend((0..REPLICAS).map(|replica| Step::FirstRead { copier, replica }));
                }
                Copier::FirstAnswered { .. } => actions.push(Step::SecondRead { copier }),
                Copier::SecondReadRun { .. } => actions.push(Step::SecondAnswer { copier }),
            }
        }
        actions.extend(state.in_transit.iter().cloned().map(Step::CopyArrives));
        if state.holder.is_some() {
            actions.push(Step::CopyLost);
        }
        actions.extend((0..=state.committed).map(Step::ReadCopy));
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        faults::set_fault(self.0);
        let mut state = state.clone();
        match step {
            Step::Commit => state.committed += 1,
            Step::ApplyCommit(replica) => state.applied[replica] += 1,
            Step::FirstRead { copier, replica } => {
                let position = state.applied[replica];
                state.copiers[copier] = Copier::FirstAnswered { replica, position };
            }
            Step::SecondRead { copier } => {
                let Copier::FirstAnswered { replica, position } = state.copiers[copier] else { return None };
                let value = state.applied[replica];
                state.copiers[copier] = Copier::SecondReadRun { replica, position, value };
            }
            Step::SecondAnswer { copier } => {
                let Copier::SecondReadRun { replica, position, value } = state.copiers[copier] else {
                    return None;
                };
                let position_after = state.applied[replica];
                state.in_transit.extend(copy_from_reads(Some(position), value, Some(position_after)));
                state.copiers[copier] = Copier::Idle;
            }
            Step::CopyArrives(copy) => {
                let before = state.holder.as_ref().map(|kept| kept.position);
                let after = newer_copy(state.holder.take(), copy);
                state.position_decreased |= before.is_some_and(|before| after.position < before);
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
            Property::always(NO_STALE_READ, |_, state: &State| !state.stale_read),
            Property::always(POSITION_NEVER_DECREASES, |_, state: &State| !state.position_decreased),
            Property::sometimes(CURRENT_COPY_ARRIVES, |_, state: &State| {
                state.committed == COMMITS
                    && state.holder.as_ref().is_some_and(|kept| kept.position == COMMITS)
            }),
        ]
    }
}

/// Returns the safety properties that the model violates while the fault is injected.
fn violated_properties(fault: Option<Fault>) -> Vec<&'static str> {
    let checker =
        CopyModel(fault).checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let state_count = checker.unique_state_count();
    assert!(fault.is_some() || state_count > 1_000, "the model reached only {state_count} states");
    let found = checker.discoveries();
    assert!(
        fault.is_some() || found.contains_key(CURRENT_COPY_ARRIVES),
        "no copy with the last commit arrived"
    );
    let safety_properties = [NO_STALE_READ, POSITION_NEVER_DECREASES];
    safety_properties.into_iter().filter(|name| found.contains_key(name)).collect()
}

#[test]
fn no_copy_serves_a_read_that_needs_a_newer_position() {
    assert_eq!(violated_properties(None), Vec::<&str>::new());
}

#[test]
fn the_model_detects_each_injected_fault() {
    assert_eq!(violated_properties(Some(Fault::UsesLaterPosition)), [NO_STALE_READ]);
    assert_eq!(violated_properties(Some(Fault::ServesAnyPosition)), [NO_STALE_READ]);
    assert_eq!(violated_properties(Some(Fault::KeepsLastArrival)), [POSITION_NEVER_DECREASES]);
}
