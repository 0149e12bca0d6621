//! One comparison on its way: the client's answer, the children's first answers, then, if they differ, close looks; and the same again
//! after a while, before it is a fault.

use crate::judge::{Outcome, ParentSample, PositionSample, Row, judge};
use crate::{DifferenceKind, Micros};
use birchreach_fault_injection::fault_injected;

/// Close looks at one key before it is dropped as unsure.
pub const MAX_RETRIES: u8 = 6;

/// Which child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Child {
    /// To whom the key's range falls.
    Owner,
    /// The other one, which is not to have it.
    Other,
}

/// What is to be asked for a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ComparisonQuery {
    /// A child, once.
    SingleRead(Child),
    /// A child, twice on one connection.
    Sample(Child),
    /// A replica of the parent, twice on one connection, the second time with the time of the row's commit.
    SampleParent,
}

/// What came back. `process`: a number for the database's process, the same as long as it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryResult {
    SingleRead {
        row: Row,
        position: Option<Micros>,
    },
    Sample {
        look: PositionSample,
        process: u64,
    },
    ParentSample {
        parent: ParentSample,
        process: u64,
    },
    /// No answer, or one that tells too little.
    NoAnswer,
}

/// Where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ComparisonStage {
    /// First answers: of the owner, then of the other.
    ReadOwner,
    ReadOther,
    /// A close look at a child that differed, and then at the parent.
    SampleChild(Child),
    SampleParent(Child, PositionSample, u64),
    /// A difference was found: again at this time, with the same processes.
    AwaitConfirmation(Difference),
}

/// A difference, by a child's and the parent's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Difference {
    pub child: Child,
    pub parent: ParentSample,
    pub sample: PositionSample,
    pub processes: (u64, u64),
    /// When it was found first.
    pub found_at: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Comparison {
    pub class: u16,
    pub key_hash: u32,
    pub key_bytes: Vec<u8>,
    /// A's answer.
    pub parent_row: Row,
    pub stage: ComparisonStage,
    /// What is asked is out; else it is to be asked from this time on.
    pub query_in_flight: bool,
    pub query_at: Micros,
    pub retries: u8,
    /// The first time that it differed, if it did.
    pub first_difference: Option<Difference>,
    pub started_at: Micros,
}

/// What became of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ComparisonEnd {
    Agrees,
    Lagging,
    Inconclusive,
    /// A child or the parent gave no answer that tells enough.
    Unanswered,
    Confirmed(Difference, DifferenceKind),
}

/// Pauses between looks that were late or unsure.
const RETRY_STEP_MICROS: Micros = 300_000;

impl Comparison {
    pub fn query(&self) -> ComparisonQuery {
        match self.stage {
            ComparisonStage::ReadOwner => ComparisonQuery::SingleRead(Child::Owner),
            ComparisonStage::ReadOther => ComparisonQuery::SingleRead(Child::Other),
            ComparisonStage::SampleChild(child) => ComparisonQuery::Sample(child),
            ComparisonStage::SampleParent(..) => ComparisonQuery::SampleParent,
            ComparisonStage::AwaitConfirmation(found) => ComparisonQuery::Sample(found.child),
        }
    }

    /// Takes an answer. `confirm`: after how long a difference is looked at again.
    pub fn record_result(
        &mut self,
        now: Micros,
        told: QueryResult,
        confirm: Micros,
    ) -> Option<ComparisonEnd> {
        self.query_in_flight = false;
        self.query_at = now;
        match (self.stage.clone(), told) {
            (_, QueryResult::NoAnswer) => self.retry(now, ComparisonEnd::Unanswered),
            (ComparisonStage::ReadOwner, QueryResult::SingleRead { row, position }) => {
                if row == self.parent_row {
                    self.stage = ComparisonStage::ReadOther;
                    return None;
                }
                if position.is_none() {
                    return Some(ComparisonEnd::Unanswered);
                }
                self.stage = ComparisonStage::SampleChild(Child::Owner);
                None
            }
            (ComparisonStage::ReadOther, QueryResult::SingleRead { row, .. }) => {
                if row.is_none() {
                    return Some(ComparisonEnd::Agrees);
                }
                self.stage = ComparisonStage::SampleChild(Child::Other);
                None
            }
            (ComparisonStage::SampleChild(child), QueryResult::Sample { look, process }) => {
                self.stage = ComparisonStage::SampleParent(child, look, process);
                None
            }
            (ComparisonStage::AwaitConfirmation(found), QueryResult::Sample { look, process }) => {
                self.stage = ComparisonStage::SampleParent(found.child, look, process);
                None
            }
            (
                ComparisonStage::SampleParent(child, look, process),
                QueryResult::ParentSample { parent, process: of_parent },
            ) => self.compare_samples(now, child, look, parent, (process, of_parent), confirm),
            // An answer to something else than was asked.
            _ => Some(ComparisonEnd::Unanswered),
        }
    }

    fn compare_samples(
        &mut self,
        now: Micros,
        child: Child,
        look: PositionSample,
        parent: ParentSample,
        processes: (u64, u64),
        confirm: Micros,
    ) -> Option<ComparisonEnd> {
        let found = Difference { child, parent, sample: look, processes, found_at: now };
        // Whoever is not to have the row agrees if it has none, whatever the parent has.
        let how = match child {
            Child::Owner => judge(parent, look),
            Child::Other if look.row.is_none() => Outcome::Agrees,
            // It is not to have it at any time, whatever happens to the parent's.
            Child::Other => Outcome::Differs,
        };
        match how {
            Outcome::Agrees => Some(ComparisonEnd::Agrees),
            Outcome::Lagging => self.retry(now, ComparisonEnd::Lagging),
            Outcome::Inconclusive => self.retry(now, ComparisonEnd::Inconclusive),
            Outcome::Differs if fault_injected!(NeverConfirms) => Some(ComparisonEnd::Inconclusive),
            Outcome::Differs => {
                let sort = match child {
                    Child::Other => DifferenceKind::Extra,
                    Child::Owner if look.row.is_none() => DifferenceKind::Missing,
                    Child::Owner => DifferenceKind::Differs,
                };
                match self.first_difference {
                    _ if fault_injected!(SkipsConfirmation) => Some(ComparisonEnd::Confirmed(found, sort)),
                    // Again, and nothing was another in between: it lasts.
                    Some(first)
                        if (first.processes == processes || fault_injected!(IgnoresRestarts))
                            && first.child == child
                            && now - first.found_at >= confirm =>
                    {
                        Some(ComparisonEnd::Confirmed(found, sort))
                    }
                    // Another process than the first time: a restart or a failover, and it begins anew.
                    Some(first) if first.processes != processes || first.child != child => {
                        self.first_difference = Some(found);
                        self.await_confirmation(found, now + confirm)
                    }
                    Some(first) => self.await_confirmation(first, first.found_at + confirm),
                    None => {
                        self.first_difference = Some(found);
                        self.await_confirmation(found, now + confirm)
                    }
                }
            }
        }
    }

    fn await_confirmation(&mut self, found: Difference, at: Micros) -> Option<ComparisonEnd> {
        self.retries += 1;
        (self.stage, self.query_at) = (ComparisonStage::AwaitConfirmation(found), at);
        (self.retries > MAX_RETRIES).then_some(ComparisonEnd::Inconclusive)
    }

    /// The same question again, after a pause; some times.
    fn retry(&mut self, now: Micros, end: ComparisonEnd) -> Option<ComparisonEnd> {
        self.retries += 1;
        self.query_at = now + RETRY_STEP_MICROS * Micros::from(self.retries);
        self.stage = match self.stage.clone() {
            ComparisonStage::SampleParent(child, ..) => ComparisonStage::SampleChild(child),
            ComparisonStage::AwaitConfirmation(found) => ComparisonStage::SampleChild(found.child),
            other => other,
        };
        (self.retries > MAX_RETRIES).then_some(end)
    }
}
