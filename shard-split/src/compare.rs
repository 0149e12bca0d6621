//! The comparison of one row. The answer that a client received from the parent is compared with the answers of both
//! children. If a child differs, the child and the parent are sampled, and sampled again after a delay, before the
//! difference is confirmed.

use crate::query::{Child, ComparisonQuery, QueryResult};
use crate::sample_comparison::{ComparisonOutcome, ParentSample, PositionSample, RowDigest, compare_samples};
use crate::{DifferenceKind, Micros};
use birchreach_fault_injection::fault_injected;

/// A comparison that needs more retries than this ends without a result.
const MAX_RETRIES: u8 = 6;
/// The delay before a retry grows by this with each retry.
const RETRY_STEP_MICROS: Micros = 300_000;

/// Identifies the processes of the two databases that were sampled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SampledProcesses {
    child: u64,
    parent: u64,
}

/// The sample of a child, kept until the parent is sampled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SampledChild {
    child: Child,
    sample: PositionSample,
    process: u64,
}

/// The stage of a comparison: the result that it needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ComparisonStage {
    /// The first read of the owner.
    ReadOwner,
    /// The first read of the other child.
    ReadNonOwner,
    /// The sample of a child that differed.
    SampleChild(Child),
    /// The sample of the parent, which is taken after the child's.
    SampleParent(SampledChild),
    /// The second sample of a child that differed.
    AwaitConfirmation(Child),
}

/// A difference between the samples of the parent and of a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Difference {
    pub(crate) child: Child,
    pub(crate) parent: ParentSample,
    pub(crate) sample: PositionSample,
    processes: SampledProcesses,
    found_at: Micros,
}

impl Difference {
    pub(crate) fn kind(&self) -> DifferenceKind {
        match self.child {
            Child::NonOwner => DifferenceKind::Extra,
            Child::Owner if self.sample.row.is_none() => DifferenceKind::Missing,
            Child::Owner => DifferenceKind::Differs,
        }
    }

    /// Returns what the samples prove. The non-owner agrees if it has no row, regardless of the parent's row, because
    /// it must never have a row of this key.
    fn outcome(&self) -> ComparisonOutcome {
        match self.child {
            Child::Owner => compare_samples(self.parent, self.sample),
            Child::NonOwner if self.sample.row.is_none() => ComparisonOutcome::Agrees,
            Child::NonOwner => ComparisonOutcome::Differs,
        }
    }
}

/// How a comparison ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ComparisonEnd {
    /// No child differs.
    Agrees,
    /// No retry was left, and in the last attempt the child had not yet reached the commit of the parent's row.
    Lagging,
    /// No retry was left. In the last attempt the row changed or may have changed, or a difference was found but could
    /// not be confirmed yet.
    Inconclusive,
    /// A database did not answer, or its answer lacked a required value.
    Unanswered,
    /// The difference persisted for the confirmation delay.
    Confirmed(Difference),
}

/// The comparison of one row of the parent with both children, until its result is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Comparison {
    /// The caller's number for the class of the read.
    pub(crate) class: u16,
    pub(crate) key_hash: u32,
    pub(crate) key_bytes: Vec<u8>,
    /// The row that the client received from the parent.
    parent_row: RowDigest,
    stage: ComparisonStage,
    /// The current query was sent and has no result yet.
    pub(crate) query_in_flight: bool,
    /// The next query must not be sent before this instant.
    pub(crate) query_at: Micros,
    retries: u8,
    /// The difference that has to persist for the confirmation delay.
    first_difference: Option<Difference>,
    pub(crate) started_at: Micros,
}

impl Comparison {
    /// Starts the comparison of a row that a client received from the parent.
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

    /// Returns the query whose result the current stage needs.
    pub(crate) fn query(&self) -> ComparisonQuery {
        match self.stage {
            ComparisonStage::ReadOwner => ComparisonQuery::SingleRead(Child::Owner),
            ComparisonStage::ReadNonOwner => ComparisonQuery::SingleRead(Child::NonOwner),
            ComparisonStage::SampleChild(child) => ComparisonQuery::Sample(child),
            ComparisonStage::SampleParent(_) => ComparisonQuery::SampleParent,
            ComparisonStage::AwaitConfirmation(child) => ComparisonQuery::Sample(child),
        }
    }

    /// Records the result of the current query. Returns how the comparison ended, or `None` if it continues. A
    /// difference must persist for `confirmation_delay` before it is confirmed.
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
            // The result does not belong to the current query.
            _ => Some(ComparisonEnd::Unanswered),
        }
    }

    /// Enters the next stage. Its query is due immediately.
    fn proceed(&mut self, stage: ComparisonStage) -> Option<ComparisonEnd> {
        self.stage = stage;
        None
    }

    /// Ends, retries or continues the comparison, depending on what the samples prove.
    fn apply_outcome(
        &mut self,
        now: Micros,
        found: Difference,
        confirmation_delay: Micros,
    ) -> Option<ComparisonEnd> {
        match found.outcome() {
            ComparisonOutcome::Agrees => Some(ComparisonEnd::Agrees),
            ComparisonOutcome::Lagging => self.retry(now, ComparisonEnd::Lagging),
            ComparisonOutcome::Inconclusive => self.retry(now, ComparisonEnd::Inconclusive),
            ComparisonOutcome::Differs if fault_injected!(NeverConfirms) => Some(ComparisonEnd::Inconclusive),
            ComparisonOutcome::Differs if fault_injected!(SkipsConfirmation) => {
                Some(ComparisonEnd::Confirmed(found))
            }
            ComparisonOutcome::Differs => self.confirm(found, confirmation_delay),
        }
    }

    /// Confirms a difference if it was first found at least `confirmation_delay` ago, in the same child and with the
    /// same database processes. After a restart or a failover a database may have a different state.
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

    /// Schedules the second sample of the child after the confirmation delay. The comparison ends if no retry is left.
    fn await_confirmation(&mut self, first: Difference, confirmation_delay: Micros) -> Option<ComparisonEnd> {
        self.retries += 1;
        self.stage = ComparisonStage::AwaitConfirmation(first.child);
        self.query_at = first.found_at + confirmation_delay;
        (self.retries > MAX_RETRIES).then_some(ComparisonEnd::Inconclusive)
    }

    /// Schedules the query again after a delay, starting with the child's sample if samples are being taken. The
    /// comparison ends if no retry is left.
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
