//! Model check of the rule that compares two samples. The model has a writer whose values recur, a parent that may lag
//! (because it is a replica or a deposed primary), two lagging children, and a comparer that may pause between the read
//! of a position and the read of a row. The transitions call the function of the crate itself.

use birchreach_shard_split::faults::{self, Fault};
use birchreach_shard_split::sample_comparison::{
    ComparisonOutcome, ParentSample, PositionSample, compare_samples,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const COMMITS: usize = 4;
const CHILDREN: usize = 2;
/// The child with wrong rows in the model with a faulty child.
const FAULTY_CHILD: usize = 1;

// The properties that are checked. The checker reports a discovery under the text of its property.
const NO_FALSE_DIFFERENCE: &str = "no difference is found in a child without a fault";
const NO_MISSED_FAULT: &str = "a fault is found once all commits are applied";
const FAULT_FOUND: &str = "a difference is found in the faulty child";

/// The reads that the comparer has completed. It reads the child's position, the child's row and the child's position
/// again, then the parent's position and the parent's row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    ChildPositionKnown { child: usize, position_before: usize },
    ChildRowRead { child: usize, position_before: usize, row: u64 },
    ChildSampled { child: usize, sample: PositionSample },
    ParentPositionKnown { child: usize, sample: PositionSample, parent_position: usize },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The row's value after each commit.
    log: Vec<u64>,
    /// The last commit that each child has applied.
    applied: [usize; CHILDREN],
    /// The last commit that the queried database of the parent has applied.
    parent_applied: usize,
    stage: Stage,
    /// A difference was found in a child without a fault.
    false_difference: bool,
    /// No difference was found in the faulty child, although all commits were applied when it was sampled.
    fault_missed: bool,
    difference_found: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Commit(u64),
    /// A child applies the next commit.
    ApplyAtChild(usize),
    /// The queried database of the parent applies the next commit.
    ApplyAtParent,
    ReadChildPosition(usize),
    ReadChild,
    ReadChildPositionAgain,
    ReadParentPosition,
    ReadParent,
}

struct ComparisonModel {
    fault: Option<Fault>,
    /// Whether the rows of one child are wrong.
    has_faulty_child: bool,
}

impl ComparisonModel {
    fn is_faulty(&self, child: usize) -> bool {
        self.has_faulty_child && child == FAULTY_CHILD
    }

    fn row(&self, state: &State, child: usize) -> u64 {
        let row = state.log[state.applied[child]];
        if self.is_faulty(child) { row + 100 } else { row }
    }

    /// Reads the parent's row and compares the samples.
    fn read_parent_row(
        &self,
        state: &mut State,
        child: usize,
        sample: PositionSample,
        parent_position: usize,
    ) {
        let parent = ParentSample {
            row: state.log.get(state.parent_applied).copied(),
            committed_at: state.parent_applied as i64,
            position: parent_position as i64,
        };
        let differs = compare_samples(parent, sample) == ComparisonOutcome::Differs;
        let last_commit = state.log.len() - 1;
        let all_applied = sample.position_before as usize == last_commit && parent_position == last_commit;
        state.false_difference |= differs && !self.is_faulty(child);
        state.fault_missed |= self.is_faulty(child) && all_applied && !differs;
        state.difference_found |= differs;
        state.stage = Stage::Idle;
    }
}

impl Model for ComparisonModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            log: vec![0],
            applied: [0; CHILDREN],
            parent_applied: 0,
            stage: Stage::Idle,
            false_difference: false,
            fault_missed: false,
            difference_found: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.log.len() < COMMITS {
            actions.extend([Step::Commit(0), Step::Commit(1)]);
        }
        let lags = |child: &usize| state.applied[*child] + 1 < state.log.len();
        actions.extend((0..CHILDREN).filter(lags).map(Step::ApplyAtChild));
        if state.parent_applied + 1 < state.log.len() {
            actions.push(Step::ApplyAtParent);
        }
        match state.stage {
            Stage::Idle => actions.extend((0..CHILDREN).map(Step::ReadChildPosition)),
            Stage::ChildPositionKnown { .. } => actions.push(Step::ReadChild),
            Stage::ChildRowRead { .. } => actions.push(Step::ReadChildPositionAgain),
            Stage::ChildSampled { .. } => actions.push(Step::ReadParentPosition),
            Stage::ParentPositionKnown { .. } => actions.push(Step::ReadParent),
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        faults::set_fault(self.fault);
        let mut state = state.clone();
        match (step, state.stage.clone()) {
            (Step::Commit(value), _) => state.log.push(value),
            (Step::ApplyAtChild(child), _) => state.applied[child] += 1,
            (Step::ApplyAtParent, _) => state.parent_applied += 1,
            (Step::ReadChildPosition(child), _) => {
                let position_before = state.applied[child];
                state.stage = Stage::ChildPositionKnown { child, position_before };
            }
            (Step::ReadChild, Stage::ChildPositionKnown { child, position_before }) => {
                let row = self.row(&state, child);
                state.stage = Stage::ChildRowRead { child, position_before, row };
            }
            (Step::ReadChildPositionAgain, Stage::ChildRowRead { child, position_before, row }) => {
                let sample = PositionSample {
                    row: Some(row),
                    position_before: position_before as i64,
                    position_after: state.applied[child] as i64,
                };
                state.stage = Stage::ChildSampled { child, sample };
            }
            (Step::ReadParentPosition, Stage::ChildSampled { child, sample }) => {
                let parent_position = state.parent_applied;
                state.stage = Stage::ParentPositionKnown { child, sample, parent_position };
            }
            (Step::ReadParent, Stage::ParentPositionKnown { child, sample, parent_position }) => {
                self.read_parent_row(&mut state, child, sample, parent_position);
            }
            _ => return None,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_FALSE_DIFFERENCE, |_, state: &State| !state.false_difference),
            Property::always(NO_MISSED_FAULT, |_, state: &State| !state.fault_missed),
            Property::sometimes(FAULT_FOUND, |model: &ComparisonModel, state: &State| {
                state.difference_found || !model.has_faulty_child
            }),
        ]
    }
}

/// Returns the safety properties that the model violates while the fault is injected.
fn violated_properties(fault: Option<Fault>, has_faulty_child: bool) -> Vec<&'static str> {
    let model = ComparisonModel { fault, has_faulty_child };
    let checker = model.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let found = checker.discoveries();
    let state_count = checker.unique_state_count();
    assert!(fault.is_some() || state_count > 1_000, "the model reached only {state_count} states");
    assert!(fault.is_some() || found.contains_key(FAULT_FOUND), "no state with a found fault was reached");
    let safety_properties = [NO_FALSE_DIFFERENCE, NO_MISSED_FAULT];
    safety_properties.into_iter().filter(|name| found.contains_key(name)).collect()
}

#[test]
fn samples_differ_only_in_faulty_children_and_a_persistent_fault_is_found() {
    assert_eq!(violated_properties(None, false), Vec::<&str>::new());
    assert_eq!(violated_properties(None, true), Vec::<&str>::new());
}

#[test]
fn the_model_detects_each_injected_fault() {
    assert_eq!(violated_properties(Some(Fault::IgnoresCommitTime), false), [NO_FALSE_DIFFERENCE]);
    assert_eq!(violated_properties(Some(Fault::IgnoresLaterCommits), false), [NO_FALSE_DIFFERENCE]);
}
