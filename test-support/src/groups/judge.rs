//! Judges: what databases and clients recorded, held against what must be. Pure functions; each rejects a history in `tests/judges.rs`.

use super::state::{Change, Entry, Record, StatementKind};
use std::collections::HashMap;

/// A read that was served, as its client saw it.
#[derive(Clone, Debug)]
pub struct ServedRead {
    pub key: String,
    /// All that was committed up to then had to be seen.
    pub required_position_ms: i64,
    pub value: String,
}

/// No read saw less than it had to. `lost`: commits that a failover took back, which may have been seen before.
pub fn check_freshness(reads: &[ServedRead], log: &[Entry], lost: &[Entry]) -> Result<usize, String> {
    let mut by_key: HashMap<&str, Vec<(i64, &str, bool)>> = HashMap::new();
    for (entries, kept) in [(log, true), (lost, false)] {
        for e in entries {
            if let Change::Row { key, value } = &e.change {
                by_key.entry(key).or_default().push((e.committed_at_ms, value, kept));
            }
        }
    }
    by_key.values_mut().for_each(|all| all.sort_unstable());
    let mut checked = 0;
    for read in reads {
        let Some(all) = by_key.get(read.key.as_str()) else { continue };
        // The newest that is kept and had to be seen, or anything later.
        let least = all.iter().rposition(|(at, _, kept)| *kept && *at <= read.required_position_ms);
        let Some(least) = least else { continue };
        checked += 1;
        if !all[least..].iter().any(|(_, value, _)| *value == read.value) {
            let seen = all.iter().rfind(|(_, value, _)| *value == read.value);
            return Err(format!("{read:?}: had to see {:?}, saw {seen:?}", all[least]));
        }
    }
    Ok(checked)
}

/// Each copy holds all that was committed at home up to its position, whoever made it and whether it was read or not.
pub fn check_copies(copies: &[Entry], home: u32, log: &[Entry], lost: &[Entry]) -> Result<usize, String> {
    let mut reads = Vec::new();
    for e in copies {
        if let Change::Copy { home: of, key, position_ms: at, value } = &e.change
            && *of == home
        {
            reads.push(ServedRead { key: key.clone(), required_position_ms: *at, value: value.clone() });
        }
    }
    check_freshness(&reads, log, lost)
}

/// No write was run twice, by its id.
pub fn check_single_execution(records: &[&[Record]], logs: &[&[Entry]]) -> Result<usize, String> {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for e in logs.iter().copied().flatten().filter(|e| !e.id.is_empty()) {
        *runs.entry(&e.id).or_default() += 1;
    }
    let twice = runs.iter().find(|(_, n)| **n > 1);
    let asked = records
        .iter()
        .copied()
        .flatten()
        .filter(|r| matches!(r.statement, StatementKind::Write { .. }))
        .count();
    match twice {
        Some((id, n)) => Err(format!("{id} ran {n} times")),
        None => Ok(asked),
    }
}

/// In no window of so many milliseconds did a member of a group get more of something than so many. The most that one got.
pub fn check_rate_limit(
    records: &[Record],
    window: i64,
    most: usize,
    of: impl Fn(&StatementKind) -> bool,
) -> Result<usize, String> {
    let mut by_member: HashMap<usize, Vec<i64>> = HashMap::new();
    for r in records.iter().filter(|r| of(&r.statement)) {
        by_member.entry(r.member).or_default().push(r.received_at_ms);
    }
    let mut highest = 0;
    for (member, mut times) in by_member {
        times.sort_unstable();
        for (n, at) in times.iter().enumerate() {
            let within = times[n..].iter().take_while(|t| **t < at + window).count();
            highest = highest.max(within);
            if within > most {
                return Err(format!("member {member}: {within} within {window} ms of {at}, {most} allowed"));
            }
        }
    }
    Ok(highest)
}

/// Nothing of a kind came while a member was cold.
pub fn check_none_while_warming_up(
    records: &[Record],
    of: impl Fn(&StatementKind) -> bool,
) -> Result<(), String> {
    match records.iter().find(|r| r.warming_up && of(&r.statement)) {
        Some(r) => Err(format!("a cold member got {r:?}")),
        None => Ok(()),
    }
}
