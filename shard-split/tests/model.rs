//! The rule of comparison, model-checked: a writer whose values go and come back, a parent that may lag itself (deposed, or a replica), two
//! children that lag, and a comparer that pauses anywhere between a position that it got and the read behind it. The rule is the crate's own.

use birchreach_shard_split::faults::{self, Fault};
use birchreach_shard_split::judge::{Outcome, ParentSample, PositionSample, judge};
use stateright::{Checker, HasDiscoveries, Model, Property};

const COMMITS: usize = 4;
const CHILDREN: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    /// The child's position is known; then its row is read; then its position again.
    PositionKnown {
        child: usize,
        low: usize,
    },
    RowRead {
        child: usize,
        low: usize,
        row: u64,
    },
    ChildSampled(usize, PositionSample),
    /// The parent's position is known; its row is read next.
    ParentPositionKnown(usize, PositionSample, usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The row's value after each commit.
    log: Vec<u64>,
    applied: [usize; CHILDREN],
    /// What the parent's database that is asked has.
    parent: usize,
    stage: Stage,
    false_difference: bool,
    /// A child with a fault was sampled while all was at rest, and no difference was found.
    overlooked: bool,
    found: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Commit(u64),
    Apply(usize),
    ParentApplies,
    ReadChildPosition(usize),
    ReadChild,
    ReadPositionAgain,
    ReadParentPosition,
    ReadParent,
}

struct Rules {
    fault: Option<Fault>,
    /// The second child has another row than it should.
    faulty: bool,
}

impl Rules {
    fn row(&self, s: &State, child: usize) -> u64 {
        let row = s.log[s.applied[child]];
        if self.faulty && child == 1 { row + 100 } else { row }
    }
}

impl Model for Rules {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let stage = Stage::Idle;
        vec![State {
            log: vec![0],
            applied: [0; CHILDREN],
            parent: 0,
            stage,
            false_difference: false,
            overlooked: false,
            found: false,
        }]
    }

    fn actions(&self, s: &State, all: &mut Vec<Step>) {
        if s.log.len() < COMMITS {
            all.extend([Step::Commit(0), Step::Commit(1)]);
        }
        all.extend((0..CHILDREN).filter(|c| s.applied[*c] + 1 < s.log.len()).map(Step::Apply));
        if s.parent + 1 < s.log.len() {
            all.push(Step::ParentApplies);
        }
        match s.stage {
            Stage::Idle => all.extend((0..CHILDREN).map(Step::ReadChildPosition)),
            Stage::PositionKnown { .. } => all.push(Step::ReadChild),
            Stage::RowRead { .. } => all.push(Step::ReadPositionAgain),
            Stage::ChildSampled(..) => all.push(Step::ReadParentPosition),
            Stage::ParentPositionKnown(..) => all.push(Step::ReadParent),
        }
    }

    fn next_state(&self, s: &State, step: Step) -> Option<State> {
        faults::set(self.fault);
        let mut s = s.clone();
        match (step, s.stage.clone()) {
            (Step::Commit(value), _) => s.log.push(value),
            (Step::Apply(child), _) => s.applied[child] += 1,
            (Step::ParentApplies, _) => s.parent += 1,
            (Step::ReadChildPosition(child), _) => {
                s.stage = Stage::PositionKnown { child, low: s.applied[child] }
            }
            (Step::ReadChild, Stage::PositionKnown { child, low }) => {
                let row = self.row(&s, child);
                s.stage = Stage::RowRead { child, low, row };
            }
            (Step::ReadPositionAgain, Stage::RowRead { child, low, row }) => {
                let sample = PositionSample {
                    row: Some(row),
                    position_before: low as i64,
                    position_after: s.applied[child] as i64,
                };
                s.stage = Stage::ChildSampled(child, sample);
            }
            (Step::ReadParentPosition, Stage::ChildSampled(child, sample)) => {
                s.stage = Stage::ParentPositionKnown(child, sample, s.parent)
            }
            (Step::ReadParent, Stage::ParentPositionKnown(child, sample, seen)) => {
                let at = s.parent as i64;
                let parent = ParentSample {
                    row: s.log.get(s.parent).copied(),
                    committed_at: at,
                    position: seen as i64,
                };
                let how = judge(parent, sample);
                let faulty = self.faulty && child == 1;
                s.false_difference |= how == Outcome::Differs && !faulty;
                let at_rest = sample.position_before as usize == s.log.len() - 1 && seen == s.log.len() - 1;
                s.overlooked |= faulty && at_rest && how != Outcome::Differs;
                s.found |= how == Outcome::Differs;
                s.stage = Stage::Idle;
            }
            _ => return None,
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no false difference", |_, s: &State| !s.false_difference),
            Property::always("a persistent fault is found", |_, s: &State| !s.overlooked),
            Property::sometimes("a fault is found", |m: &Rules, s: &State| s.found || !m.faulty),
        ]
    }
}

fn violated_properties(fault: Option<Fault>, faulty: bool) -> Vec<&'static str> {
    let rules = Rules { fault, faulty };
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
