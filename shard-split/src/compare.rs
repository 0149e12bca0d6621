//! One comparison: the answer that a client got from the parent against both children's. If a child differs, it and the parent are
//! sampled, and again after a delay, before the difference is confirmed.

use crate::query::{Child, ComparisonQuery, QueryResult};
use crate::sample_comparison::{Outcome, ParentSample, PositionSample, RowDigest, compare_samples};
use crate::{DifferenceKind, Micros};
use birchreach_fault_injection::fault_injected;

/// Retries of a comparison until it ends without a result.
const MAX_RETRIES: u8 = 6;
/// The delay before a retry grows by this with each of them.
const RETRY_STEP_MICROS: Micros = 300_000;

/// The processes of the two databases that were sampled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SampledProcesses {
    child: u64,
    parent: u64,
}

/// A child that was sampled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SampledChild {
    child: Child,
    sample: PositionSample,
    process: u64,
}

/// Which result the comparison waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ComparisonStage {
    /// The owner's first answer.
    ReadOwner,
    /// The other child's first answer.
    ReadNonOwner,
    /// The sample of a child that differed.
    SampleChild(Child),
    /// The parent's sample, which follows the child's.
    SampleParent(SampledChild),
    /// A second sample of a child in which a difference was found.
    AwaitConfirmation(Child),
}

/// A difference between two samples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Difference {
    pub(crate) child: Child,
    pub(crate) parent: ParentSample,
    pub(crate) sample: PositionSample,
    processes: SampledProcesses,
    found_at: Micros,
}

impl Difference {
    /// How the child differs.
    pub(crate) fn kind(&self) -> DifferenceKind {
        match self.child {
            Child::NonOwner => DifferenceKind::Extra,
            Child::Owner if self.sample.row.is_none() => DifferenceKind::Missing,
            Child::Owner => DifferenceKind::Differs,
        }
    }

    /// What the samples prove. The other child agrees if it has no row, whatever the parent has; it may have one at no time.
    fn outcome(&self) -> Outcome {
        match self.child {
            Child::Owner => compare_samples(self.parent, self.sample),
            Child::NonOwner if self.sample.row.is_none() => Outcome::Agrees,
            Child::NonOwner => Outcome::Differs,
        }
    }
}

/// How a comparison ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ComparisonEnd {
    /// No child differs.
    Agrees,
    /// The child was behind the parent's row each time.
    Lagging,
    /// The row changed each time, or may have.
    Inconclusive,
    /// A database gave no answer that suffices.
    Unanswered,
    /// A difference persisted.
    Confirmed(Difference),
}

/// A comparison in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Comparison {
    /// The class of the read, by the caller's number.
    pub(crate) class: u16,
    pub(crate) key_hash: u32,
    pub(crate) key_bytes: Vec<u8>,
    /// The answer that the client got from the parent.
    parent_row: RowDigest,
    stage: ComparisonStage,
    /// The query is sent and has no result yet.
    pub(crate) query_in_flight: bool,
    /// From when on the next query may be sent.
    pub(crate) query_at: Micros,
    retries: u8,
    /// The difference that has to persist.
    first_difference: Option<Difference>,
    pub(crate) started_at: Micros,
}

impl Comparison {
    /// A comparison of a row that a client got from the parent.
    pub(crate) fn new(
        now: Micros,
        class: u16,
        key_hash: u32,
        key_bytes: &[u8],
        parent_row: RowDigest,
    ) -> Comparison {
        Comparison {
            class,
            key_hash,
            key_bytes: key_bytes.to_vec(),
            parent_row,
            stage: ComparisonStage::ReadOwner,
            query_in_flight: false,
            query_at: now,
            retries: 0,
            first_difference: None,
            started_at: now,
        }
    }

    /// The query whose result the comparison waits for.
    pub(crate) fn query(&self) -> ComparisonQuery {
        match self.stage {
            ComparisonStage::ReadOwner => ComparisonQuery::SingleRead(Child::Owner),
            ComparisonStage::ReadNonOwner => ComparisonQuery::SingleRead(Child::NonOwner),
            ComparisonStage::SampleChild(child) => ComparisonQuery::Sample(child),
            ComparisonStage::SampleParent(_) => ComparisonQuery::SampleParent,
            ComparisonStage::AwaitConfirmation(child) => ComparisonQuery::Sample(child),
        }
    }

    /// Takes the result of the query; how the comparison ended, if it did. `confirmation_delay` is how long a difference has to
    /// persist.
    pub(crate) fn record_result(
        &mut self,
        now: Micros,
        result: QueryResult,
        confirmation_delay: Micros,
    ) -> Option<ComparisonEnd> {
        use ComparisonStage::{AwaitConfirmation, ReadNonOwner, ReadOwner, SampleChild, SampleParent};
        self.query_in_flight = false;
        self.query_at = now;
        match (self.stage, result) {
            (_, QueryResult::NoAnswer) => self.retry(now, ComparisonEnd::Unanswered),
            (ReadOwner, QueryResult::SingleRead { row, .. }) if row == self.parent_row => {
                self.proceed(ReadNonOwner)
            }
            // Without positions the child cannot be sampled.
            (ReadOwner, QueryResult::SingleRead { position: None, .. }) => Some(ComparisonEnd::Unanswered),
            (ReadOwner, QueryResult::SingleRead { .. }) => self.proceed(SampleChild(Child::Owner)),
            (ReadNonOwner, QueryResult::SingleRead { row: None, .. }) => Some(ComparisonEnd::Agrees),
            (ReadNonOwner, QueryResult::SingleRead { .. }) => self.proceed(SampleChild(Child::NonOwner)),
            (SampleChild(child) | AwaitConfirmation(child), QueryResult::Sample { sample, process }) => {
                self.proceed(SampleParent(SampledChild { child, sample, process }))
            }
            (SampleParent(sampled), QueryResult::ParentSample { sample, process }) => {
                let processes = SampledProcesses { child: sampled.process, parent: process };
                let SampledChild { child, sample: child_sample, .. } = sampled;
                let found =
                    Difference { child, parent: sample, sample: child_sample, processes, found_at: now };
                self.apply_outcome(now, found, confirmation_delay)
            }
            // A result of another query.
            _ => Some(ComparisonEnd::Unanswered),
        }
    }

    /// Goes on with another stage, whose query is due at once.
    fn proceed(&mut self, stage: ComparisonStage) -> Option<ComparisonEnd> {
        self.stage = stage;
        None
    }

    /// Decides by what two samples prove.
    fn apply_outcome(
        &mut self,
        now: Micros,
        found: Difference,
        confirmation_delay: Micros,
    ) -> Option<ComparisonEnd> {
        match found.outcome() {
            Outcome::Agrees => Some(ComparisonEnd::Agrees),
            Outcome::Lagging => self.retry(now, ComparisonEnd::Lagging),
            Outcome::Inconclusive => self.retry(now, ComparisonEnd::Inconclusive),
            Outcome::Differs if fault_injected!(NeverConfirms) => Some(ComparisonEnd::Inconclusive),
            Outcome::Differs if fault_injected!(SkipsConfirmation) => Some(ComparisonEnd::Confirmed(found)),
            Outcome::Differs => self.confirm(found, confirmation_delay),
        }
    }

    /// A difference is confirmed if it was found before, long enough ago, in the same child and by the same processes: after a
    /// restart or a failover the database may have another state.
    fn confirm(&mut self, found: Difference, confirmation_delay: Micros) -> Option<ComparisonEnd> {
        let is_same_child = |first: &Difference| first.child == found.child;
        let is_same_process = |first: &Difference| first.processes == found.processes;
        if let Some(first) = self.first_difference.filter(is_same_child) {
            let is_comparable = is_same_process(&first) || fault_injected!(IgnoresRestarts);
            if is_comparable && found.found_at - first.found_at >= confirmation_delay {
                return Some(ComparisonEnd::Confirmed(found));
            }
            if is_same_process(&first) {
                return self.await_confirmation(first, confirmation_delay);
            }
        }
        self.first_difference = Some(found);
        self.await_confirmation(found, confirmation_delay)
    }

    /// Samples the child again once the difference has had the time to persist; ends after the last retry.
    fn await_confirmation(&mut self, first: Difference, confirmation_delay: Micros) -> Option<ComparisonEnd> {
        self.retries += 1;
        self.stage = ComparisonStage::AwaitConfirmation(first.child);
        self.query_at = first.found_at + confirmation_delay;
        (self.retries > MAX_RETRIES).then_some(ComparisonEnd::Inconclusive)
    }

    /// Repeats the query after a delay, from the child's sample on if it was one of the samples; ends after the last retry.
    fn retry(&mut self, now: Micros, end: ComparisonEnd) -> Option<ComparisonEnd> {
        self.retries += 1;
        self.query_at = now + RETRY_STEP_MICROS * Micros::from(self.retries);
        self.stage = match self.stage {
            ComparisonStage::SampleParent(sampled) => ComparisonStage::SampleChild(sampled.child),
            ComparisonStage::AwaitConfirmation(child) => ComparisonStage::SampleChild(child),
            stage => stage,
        };
        (self.retries > MAX_RETRIES).then_some(end)
    }
}
