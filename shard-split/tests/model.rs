//! The rule of comparison, model-checked: a writer whose values change back and forth, a parent that may itself lag
//! (deposed, or a replica), two children that lag, and a comparer that pauses anywhere between a position that it got
//! and the read behind it. The rule is the crate's own.

use birchreach_shard_split::faults::{self, Fault};
use birchreach_shard_split::sample_comparison::{Outcome, ParentSample, PositionSample, compare_samples};
use stateright::{Checker, HasDiscoveries, Model, Property};

const COMMITS: usize = 4;
const CHILDREN: usize = 2;
/// The child that has another row than it should, where one has.
const FAULTY_CHILD: usize = 1;

/// What the comparer has read so far: the child's position, its row and its position again, then the parent's position
/// and its row.
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
    /// The last commit that each child has.
    applied: [usize; CHILDREN],
    /// The last commit that the queried database of the parent has.
    parent: usize,
    stage: Stage,
    false_difference: bool,
    /// A child with a fault was sampled after all commits were applied, and no difference was found.
    overlooked: bool,
    found: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Commit(u64),
    /// A child applies the next commit.
    Apply(usize),
    ParentApplies,
    ReadChildPosition(usize),
    ReadChild,
    ReadChildPositionAgain,
    ReadParentPosition,
    ReadParent,
}

struct Rules {
    fault: Option<Fault>,
    /// One child has another row than it should.
    has_faulty_child: bool,
}

impl Rules {
    fn is_faulty(&self, child: usize) -> bool {
        self.has_faulty_child && child == FAULTY_CHILD
    }

    fn row(&self, state: &State, child: usize) -> u64 {
        let row = state.log[state.applied[child]];
        if self.is_faulty(child) { row + 100 } else { row }
    }

    /// The parent's row is read, and the samples are compared.
    fn compare(&self, state: &mut State, child: usize, sample: PositionSample, parent_position: usize) {
        let parent = ParentSample {
            row: state.log.get(state.parent).copied(),
            committed_at: state.parent as i64,
            position: parent_position as i64,
        };
        let differs = compare_samples(parent, sample) == Outcome::Differs;
        let last_commit = state.log.len() - 1;
        let all_applied = sample.position_before as usize == last_commit && parent_position == last_commit;
        state.false_difference |= differs && !self.is_faulty(child);
        state.overlooked |= self.is_faulty(child) && all_applied && !differs;
        state.found |= differs;
        state.stage = Stage::Idle;
    }
}

impl Model for Rules {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            log: vec![0],
            applied: [0; CHILDREN],
            parent: 0,
            stage: Stage::Idle,
            false_difference: false,
            overlooked: false,
            found: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.log.len() < COMMITS {
            actions.extend([Step::Commit(0), Step::Commit(1)]);
        }
        let lags = |child: &usize| state.applied[*child] + 1 < state.log.len();
        actions.extend((0..CHILDREN).filter(lags).map(Step::Apply));
        if state.parent + 1 < state.log.len() {
            actions.push(Step::ParentApplies);
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
        faults::set(self.fault);
        let mut state = state.clone();
        match (step, state.stage.clone()) {
            (Step::Commit(value), _) => state.log.push(value),
            (Step::Apply(child), _) => state.applied[child] += 1,
            (Step::ParentApplies, _) => state.parent += 1,
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
                let parent_position = state.parent;
                state.stage = Stage::ParentPositionKnown { child, sample, parent_position };
            }
            (Step::ReadParent, Stage::ParentPositionKnown { child, sample, parent_position }) => {
                self.compare(&mut state, child, sample, parent_position);
            }
            _ => return None,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no false difference", |_, state: &State| !state.false_difference),
            Property::always("a persistent fault is found", |_, state: &State| !state.overlooked),
            Property::sometimes("a fault is found", |rules: &Rules, state: &State| {
                state.found || !rules.has_faulty_child
            }),
        ]
    }
}

fn violated_properties(fault: Option<Fault>, has_faulty_child: bool) -> Vec<&'static str> {
    let rules = Rules { fault, has_faulty_child };
    let checker = rules.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let found = checker.discoveries();
    assert!(fault.is_some() || checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
    assert!(fault.is_some() || found.contains_key("a fault is found"), "it shows nothing");
    ["no false difference", "a persistent fault is found"]
        .into_iter()
        .filter(|name| found.contains_key(name))
        .collect()
}

#[test]
fn only_faults_differ_and_persistent_ones_do() {
    assert_eq!(violated_properties(None, false), Vec::<&str>::new());
    assert_eq!(violated_properties(None, true), Vec::<&str>::new());
}

#[test]
fn each_injected_fault_of_the_rule_is_found() {
    assert_eq!(violated_properties(Some(Fault::IgnoresCommitTime), false), ["no false difference"]);
    assert_eq!(violated_properties(Some(Fault::IgnoresLaterCommits), false), ["no false difference"]);
}
