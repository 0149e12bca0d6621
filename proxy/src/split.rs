//! Adapter between the core and the crate `birchreach-shard-split`, which verifies a shard split. It translates the core's
//! events, the replies of databases and the options into the types of the crate, and the state of the crate into the reply to the
//! admin call `split`. The crate decides what is compared and what a difference means.

use crate::background_query::BackgroundQueryResult;
use crate::observe::{CoreEvent, Observer};
use crate::pg::commit_time_query;
use crate::units::MICROS_PER_MILLI;
use birchreach::{Micros, Role, ServerId};
use birchreach_peer_state::NameHasher;
use birchreach_shard_split::{
    ComparisonQuery, ConfirmedDifference, DifferenceCounts, IncompleteReason, ParentSample, PositionSample,
    QueryResult, RANGE_COUNT, RowDigest, Settings, SplitDefinition, SplitVerifier, VerificationStatus,
};
use std::collections::HashMap;
use std::fmt::Write;
use std::mem::Discriminant;

/// The verifier of a shard split as an observer of the core.
pub(crate) struct SplitObserver {
    /// Decides what is compared and what a difference means.
    pub verifier: SplitVerifier,
    hasher: NameHasher,
    /// A number for the process of each database, which is derived from the database's name and the time of its last start.
    processes: HashMap<ServerId, u64>,
    class_names: Vec<String>,
    /// Kind of the status that was logged last.
    logged_status: Option<Discriminant<VerificationStatus>>,
}

/// Returns the crate's settings from the options and the number of configured processes.
pub(crate) fn settings(options: &birchreach_options::SplitOptions, configured_members: u32) -> Settings {
    let micros =
        |duration: std::time::Duration| Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX);
    let birchreach_options::SplitOptions {
        parent,
        lower_child,
        upper_child,
        split_at,
        min_comparisons,
        min_processes,
        ..
    } = *options;
    Settings {
        definition: SplitDefinition { parent, lower_child, upper_child, split_at },
        min_comparisons,
        coverage_window: micros(options.coverage_window),
        min_processes,
        confirmation_delay: micros(options.confirmation_delay),
        configured_members: configured_members as usize,
    }
}

impl SplitObserver {
    /// Creates an observer without comparisons. `local_origin` identifies this process in reports.
    pub(crate) fn new(
        settings: Settings,
        local_origin: u64,
        hasher: NameHasher,
        class_names: Vec<String>,
        now: Micros,
    ) -> SplitObserver {
        let verifier = SplitVerifier::new(settings, local_origin, now);
        SplitObserver { verifier, hasher, processes: HashMap::new(), class_names, logged_status: None }
    }

    /// Returns the keyed digest of a value, which cannot be computed outside the fleet.
    fn digest(&self, value: &[u8]) -> u64 {
        self.hasher.hash(0, value)
    }

    /// Returns the result of a query from the replies of the database. The result is [`QueryResult::NoAnswer`] if the query is
    /// incomplete or a reply cannot be used.
    pub(crate) fn query_result(
        &self,
        query: ComparisonQuery,
        completed: &BackgroundQueryResult,
    ) -> QueryResult {
        let result = if completed.complete { self.parse_replies(query, completed) } else { None };
        result.unwrap_or(QueryResult::NoAnswer)
    }

    /// Returns the result from the replies of a complete query; `None` if the process of the database is unknown or a reply
    /// cannot be used.
    fn parse_replies(
        &self,
        query: ComparisonQuery,
        completed: &BackgroundQueryResult,
    ) -> Option<QueryResult> {
        let process = *self.processes.get(&completed.server)?;
        Some(match query {
            ComparisonQuery::SingleRead(_) => QueryResult::SingleRead {
                row: self.row(completed, 0)?,
                position: replica_position(completed, 0).flatten(),
            },
            ComparisonQuery::Sample(_) => {
                let sample = PositionSample {
                    row: self.row(completed, 1)?,
                    position_before: replica_position(completed, 0)??,
                    position_after: replica_position(completed, 1)??,
                };
                QueryResult::Sample { sample, process }
            }
            ComparisonQuery::SampleParent => {
                // The second reply must be from a replica too.
                replica_position(completed, 1)?;
                let row = commit_time_query::parse_row_with_commit_time(completed.replies.get(1)?)?;
                let sample = ParentSample {
                    row: row.value.map(|value| self.digest(value)),
                    committed_at: row.committed_at,
                    position: replica_position(completed, 0)??,
                };
                QueryResult::ParentSample { sample, process }
            }
        })
    }

    /// Returns the digest of the row in the reply with this index; `None` if there is no such reply.
    fn row(&self, completed: &BackgroundQueryResult, index: usize) -> Option<RowDigest> {
        let reply = completed.replies.get(index)?;
        Some(reply.value.as_ref().map(|value| self.digest(&value.bytes)))
    }

    /// Returns the status if it is of another kind than the status that was logged last.
    pub(crate) fn status_to_log(&mut self, member_count: usize) -> Option<VerificationStatus> {
        let status = self.verifier.status(member_count);
        let kind = std::mem::discriminant(&status);
        let logged = self.logged_status.replace(kind);
        (logged != Some(kind)).then_some(status)
    }

    /// Returns the reply to the admin call `split`: a summary line, a line for each range that is not covered, and a line for
    /// each difference that this process confirmed.
    pub(crate) fn status_lines(&self, member_count: usize) -> String {
        let settings = self.verifier.settings();
        let mut lines = self.summary_line(member_count);
        for range in 0..RANGE_COUNT {
            let coverage = self.verifier.coverage(range);
            let (compared, seen_by) = (coverage.comparisons, coverage.processes);
            if compared < settings.min_comparisons || seen_by < settings.min_processes {
                let _ = writeln!(lines, "range n={range} compared={compared} seen_by={seen_by}");
            }
        }
        for difference in self.verifier.differences() {
            let _ = writeln!(lines, "flag {}", self.difference_fields(difference.range(), difference));
        }
        lines
    }

    /// Returns the summary line of the reply to the admin call `split`.
    fn summary_line(&self, member_count: usize) -> String {
        let status = self.verifier.status(member_count);
        let differences = if let VerificationStatus::DifferencesConfirmed(counts) = status {
            counts
        } else {
            DifferenceCounts::default()
        };
        let reason = if let VerificationStatus::Incomplete(reason) = status {
            reason
        } else {
            IncompleteReason::default()
        };
        let counts = self.verifier.counts();
        let settings = self.verifier.settings();
        format!(
            "split verdict={} definition={:016x} heard={} named={} unheard={} ranges={RANGE_COUNT} lacking={} unseen={} \
             missing={} extra={} differs={} begun={} agreed={} late={} unsure={} silent={} flagged={} crowded={} under_way={}\n",
            status.as_str(),
            settings.definition.digest(),
            member_count.min(self.verifier.origin_count()),
            settings.configured_members,
            reason.unreachable_members,
            reason.ranges_lacking_comparisons,
            reason.ranges_lacking_processes,
            differences.missing,
            differences.extra,
            differences.differs,
            counts.started,
            counts.agreed,
            counts.lagging,
            counts.inconclusive,
            counts.unanswered,
            counts.confirmed,
            counts.rejected,
            self.verifier.comparison_count()
        )
    }

    /// Returns the fields of a confirmed difference, as the log and the admin call show them.
    pub(crate) fn difference_fields(&self, range: usize, difference: &ConfirmedDifference) -> String {
        let row = |row: RowDigest| row.map_or("none".into(), |digest| format!("{digest:016x}"));
        let class = self.class_names.get(usize::from(difference.class)).map_or("?", String::as_str);
        format!(
            "sort={} class={class} range={range} hash={:08x} parent={} child={} group={} since_ms={} low_ms={} high_ms={} at_ms={}",
            difference.kind.as_str(),
            difference.key_hash,
            row(difference.parent.row),
            row(difference.child.row),
            difference.child_group,
            difference.parent.committed_at / MICROS_PER_MILLI,
            difference.child.position_before / MICROS_PER_MILLI,
            difference.child.position_after / MICROS_PER_MILLI,
            difference.confirmed_at / MICROS_PER_MILLI
        )
    }
}

/// Returns the position in the reply with this index, if the reply is from a replica. The inner `None` means that the replica
/// stated no position.
///
/// Replies of a primary are not used: a primary that was deposed without noticing would state the present time and answer with
/// old data. The position of a replica is the log position that the replica has applied.
fn replica_position(completed: &BackgroundQueryResult, index: usize) -> Option<Option<Micros>> {
    let status = completed.replies.get(index)?.status?;
    (status.role == Role::Replica).then_some(status.position)
}

impl Observer for SplitObserver {
    fn on_event(&mut self, now: Micros, event: CoreEvent<'_>) {
        match event {
            CoreEvent::Listed { server, uid, started_ms, .. } => {
                let process = crate::hash::fnv1a(format!("{uid} {started_ms}").as_bytes());
                self.processes.insert(server, process);
            }
            CoreEvent::Unlisted { server, .. } => drop(self.processes.remove(&server)),
            CoreEvent::ReadServed { group, class, key, value }
                if group.0 == self.verifier.settings().definition.parent =>
            {
                let row = Some(self.digest(&value.bytes));
                self.verifier.record_read(now, class.0, key, row);
            }
            _ => {}
        }
    }
}
