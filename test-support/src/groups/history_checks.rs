//! Checks of the histories that databases and clients recorded against the guarantees that proxies give. The checks are
//! pure functions. `tests/history_checks.rs` contains a history for each check that the check must reject.

use super::history::{Change, LogEntry, StatementKind, StatementRecord};
use std::collections::HashMap;

/// A read that was served, as its client recorded it.
#[derive(Clone, Debug)]
pub struct ServedRead {
    /// The key that was read.
    pub key: String,
    /// The log position that the read must include, in milliseconds of Unix time.
    pub required_position_ms: i64,
    /// The value that the client received, in hexadecimal digits.
    pub value: String,
}

/// A value that was committed for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CommittedValue<'a> {
    committed_at_ms: i64,
    value: &'a str,
    /// Whether the commit survived all failovers.
    durable: bool,
}

/// The values that were committed for each key, ordered by commit time.
fn values_by_key<'a>(log: &'a [LogEntry], lost: &'a [LogEntry]) -> HashMap<&'a str, Vec<CommittedValue<'a>>> {
    let mut by_key: HashMap<&str, Vec<CommittedValue>> = HashMap::new();
    for (entries, durable) in [(log, true), (lost, false)] {
        for LogEntry { committed_at_ms, change, .. } in entries {
            if let Change::Row { key, value } = change {
                let committed = CommittedValue { committed_at_ms: *committed_at_ms, value, durable };
                by_key.entry(key).or_default().push(committed);
            }
        }
    }
    by_key.values_mut().for_each(|values| values.sort_unstable());
    by_key
}

/// Checks that each read included the position that it required. `lost` contains the commits that failovers lost; reads
/// may have seen them earlier. Returns how many reads were checked: those for which a commit was required.
pub fn check_freshness(reads: &[ServedRead], log: &[LogEntry], lost: &[LogEntry]) -> Result<usize, String> {
    let by_key = values_by_key(log, lost);
    let mut checked = 0;
    for read in reads {
        let Some(values) = by_key.get(read.key.as_str()) else { continue };
        // The newest durable value that the read had to include. Any later value is correct too.
        let is_required =
            |value: &CommittedValue| value.durable && value.committed_at_ms <= read.required_position_ms;
        let Some(required) = values.iter().rposition(is_required) else { continue };
        checked += 1;
        if !values[required..].iter().any(|value| value.value == read.value) {
            let seen = values.iter().rfind(|value| value.value == read.value);
            return Err(format!(
                "stale read: {read:?} must see {:?} or a later value, got {seen:?}",
                values[required]
            ));
        }
    }
    Ok(checked)
}

/// Checks that each copy in `copies` of a row of the group `home` includes all commits there up to the copy's position,
/// whichever proxy made the copy and whether or not the copy was read. Returns how many copies were checked.
pub fn check_copies(
    copies: &[LogEntry],
    home: u32,
    log: &[LogEntry],
    lost: &[LogEntry],
) -> Result<usize, String> {
    let mut reads = Vec::new();
    for entry in copies {
        if let Change::Copy { home: copied_from, key, position_ms, value } = &entry.change
            && *copied_from == home
        {
            let (key, value) = (key.clone(), value.clone());
            reads.push(ServedRead { key, required_position_ms: *position_ms, value });
        }
    }
    check_freshness(&reads, log, lost)
}

/// Checks by request id that no write was executed more than once. Returns how many writes the members received.
pub fn check_single_execution(records: &[&[StatementRecord]], logs: &[&[LogEntry]]) -> Result<usize, String> {
    let mut executions: HashMap<&str, usize> = HashMap::new();
    for entry in logs.iter().copied().flatten().filter(|entry| !entry.id.is_empty()) {
        *executions.entry(&entry.id).or_default() += 1;
    }
    if let Some((id, count)) = executions.iter().find(|(_, count)| **count > 1) {
        return Err(format!("write {id} was executed {count} times"));
    }
    let is_write = |record: &&StatementRecord| matches!(record.statement, StatementKind::Write { .. });
    Ok(records.iter().copied().flatten().filter(is_write).count())
}

/// Checks that no member received more than `limit` of the statements that `is_counted` selects in any window of
/// `window_ms`. Returns the highest count.
pub fn check_rate_limit(
    records: &[StatementRecord],
    window_ms: i64,
    limit: usize,
    is_counted: impl Fn(&StatementKind) -> bool,
) -> Result<usize, String> {
    let mut times_by_member: HashMap<usize, Vec<i64>> = HashMap::new();
    for record in records.iter().filter(|record| is_counted(&record.statement)) {
        times_by_member.entry(record.member).or_default().push(record.received_at_ms);
    }
    let mut highest = 0;
    for (member, mut times) in times_by_member {
        times.sort_unstable();
        for (first, start) in times.iter().enumerate() {
            let count = times[first..].iter().take_while(|time| **time < start + window_ms).count();
            highest = highest.max(count);
            if count > limit {
                return Err(format!(
                    "member {member} received {count} statements within {window_ms} ms of {start}, limit {limit}"
                ));
            }
        }
    }
    Ok(highest)
}

/// Checks that no member in slow start received statements that `is_excluded` selects.
pub fn check_none_during_slow_start(
    records: &[StatementRecord],
    is_excluded: impl Fn(&StatementKind) -> bool,
) -> Result<(), String> {
    match records.iter().find(|record| record.in_slow_start && is_excluded(&record.statement)) {
        Some(record) => {
            Err(format!("member {} received a statement during slow start: {record:?}", record.member))
        }
        None => Ok(()),
    }
}
