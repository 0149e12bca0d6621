//! The machine: reads that were served come in, questions go out, answers come back; counters and flags.

use crate::compare::{Comparison, ComparisonEnd, ComparisonQuery, ComparisonStage, QueryResult};
use crate::coverage::{Coverage, Report, ReportError, Window};
use crate::definition::{Definition, RANGES};
use crate::flag::{ConfirmedDifference, Counts, Settings};
use crate::judge::Row;
use crate::verdict::{Verdict, verdict};
use crate::{Child, Micros};
use birchreach_fault_injection::fault_injected;
use std::collections::{BTreeMap, VecDeque};

/// Comparisons under way; a read beyond them is not compared.
const MAX_COMPARISONS: usize = 64;
/// Flags of one range that are kept, the newest.
const MAX_DIFFERENCES_PER_RANGE: usize = 4;
/// Of a range that has enough, one read in so many is compared all the same.
const COVERED_RANGE_SAMPLING: u64 = 16;
/// A comparison that takes longer is dropped: its databases are not to be reached.
const MAX_COMPARISON_MICROS: Micros = 120_000_000;

pub struct SplitVerifier {
    settings: Settings,
    own_origin: u64,
    comparisons: BTreeMap<u64, Comparison>,
    last_comparison: u64,
    window: Window,
    coverage: Coverage,
    differences: BTreeMap<usize, VecDeque<ConfirmedDifference>>,
    last_sequence: u64,
    last_report_at: Micros,
    report_interval: Micros,
    reads_seen: u64,
    pub counts: Counts,
}

impl SplitVerifier {
    pub fn new(settings: Settings, own: u64, now: Micros) -> SplitVerifier {
        SplitVerifier {
            window: Window::new(now, settings.coverage_window),
            settings,
            own_origin: own,
            comparisons: BTreeMap::new(),
            last_comparison: 0,
            coverage: Coverage::default(),
            differences: BTreeMap::new(),
            last_sequence: 0,
            last_report_at: now,
            report_interval: 1_000_000,
            reads_seen: 0,
            counts: Counts::default(),
        }
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// How often counters are told.
    pub fn set_report_interval(&mut self, interval: Micros) {
        self.report_interval = interval;
    }

    /// A client was served a row of the group that splits, of this digest.
    pub fn record_read(&mut self, now: Micros, class: u16, key: &[u8], row: Row) {
        let hash = Definition::hash(key);
        let range = Definition::range(hash);
        self.reads_seen += 1;
        let (compared, seen_by) = self.coverage.range_coverage(range);
        let covered = compared >= self.settings.min_comparisons && seen_by >= self.settings.min_processes;
        let own = self.comparisons.values().any(|c| c.key_hash == hash);
        if own || (covered && !self.reads_seen.is_multiple_of(COVERED_RANGE_SAMPLING)) {
            return;
        }
        if self.comparisons.len() >= MAX_COMPARISONS && !fault_injected!(KeepsEverything) {
            self.counts.rejected += 1;
            return;
        }
        self.last_comparison += 1;
        self.counts.started += 1;
        let comparison = Comparison {
            class,
            key_hash: hash,
            key_bytes: key.to_vec(),
            parent_row: row,
            stage: ComparisonStage::ReadOwner,
            query_in_flight: false,
            query_at: now,
            retries: 0,
            first_difference: None,
            started_at: now,
        };
        self.comparisons.insert(self.last_comparison, comparison);
    }

    /// What is to be asked now: the comparison's number, the question, the key, and the group that it goes to.
    pub fn due_queries(&mut self, now: Micros, most: usize) -> Vec<(u64, ComparisonQuery, Vec<u8>, u32)> {
        let definition = &self.settings.definition;
        let due =
            self.comparisons.iter_mut().filter(|(_, c)| !c.query_in_flight && c.query_at <= now).take(most);
        due.map(|(number, c)| {
            c.query_in_flight = true;
            let (owner, other) = definition.children(c.key_hash);
            let group = match c.query() {
                ComparisonQuery::SampleParent => definition.parent,
                ComparisonQuery::SingleRead(Child::Owner) | ComparisonQuery::Sample(Child::Owner) => owner,
                ComparisonQuery::SingleRead(Child::Other) | ComparisonQuery::Sample(Child::Other) => other,
            };
            (*number, c.query(), c.key_bytes.clone(), group)
        })
        .collect()
    }

    /// It could not be asked now: later.
    pub fn postpone(&mut self, now: Micros, number: u64) {
        if let Some(c) = self.comparisons.get_mut(&number) {
            (c.query_in_flight, c.query_at) = (false, now + 200_000);
        }
    }

    /// What came back; a flag, if it is one.
    pub fn record_result(
        &mut self,
        now: Micros,
        number: u64,
        told: QueryResult,
    ) -> Option<ConfirmedDifference> {
        let c = self.comparisons.get_mut(&number)?;
        let end = c.record_result(now, told, self.settings.confirmation_delay);
        let end = end.or((now - c.started_at > MAX_COMPARISON_MICROS).then_some(ComparisonEnd::Unanswered))?;
        let (hash, class, range) = (c.key_hash, c.class, Definition::range(c.key_hash));
        let (owner, other) = self.settings.definition.children(hash);
        self.comparisons.remove(&number);
        match end {
            ComparisonEnd::Agrees => {
                self.counts.agreed += 1;
                self.window.add(now, range);
            }
            ComparisonEnd::Lagging => self.counts.lagging += 1,
            ComparisonEnd::Inconclusive => self.counts.inconclusive += 1,
            ComparisonEnd::Unanswered => self.counts.unanswered += 1,
            ComparisonEnd::Confirmed(found, sort) => {
                self.counts.confirmed += 1;
                self.window.add(now, range);
                let group = if found.child == Child::Owner { owner } else { other };
                let flag = ConfirmedDifference {
                    kind: sort,
                    class,
                    child_group: group,
                    key_hash: hash,
                    rows: (found.parent.row, found.sample.row),
                    since: found.parent.committed_at,
                    child: (found.sample.position_before, found.sample.position_after),
                    confirmed_at: now,
                };
                let kept = self.differences.entry(range).or_default();
                // The newest of each key.
                kept.retain(|f| (f.key_hash, f.kind) != (hash, sort));
                kept.push_back(flag.clone());
                if kept.len() > MAX_DIFFERENCES_PER_RANGE && !fault_injected!(KeepsEverything) {
                    kept.pop_front();
                }
                return Some(flag);
            }
        }
        None
    }

    /// What is to be told now, if it is time.
    pub fn report_if_due(&mut self, now: Micros) -> Option<Vec<u8>> {
        if now - self.last_report_at < self.report_interval {
            return None;
        }
        self.last_report_at = now;
        let mut flags: BTreeMap<(u8, u8), u32> = BTreeMap::new();
        for (range, kept) in &self.differences {
            for f in kept {
                *flags.entry((f.kind as u8, *range as u8)).or_default() += 1;
            }
        }
        let report = Report {
            definition_digest: self.settings.definition.digest(),
            compared: self.window.sums(now),
            differences: flags.into_iter().map(|((sort, range), n)| (sort, range, n)).collect(),
        };
        self.last_sequence += 1;
        let _ = self.coverage.record(
            &self.settings.definition,
            self.own_origin,
            self.last_sequence,
            now,
            report.clone(),
        );
        self.coverage.remove_expired(now, 4 * self.report_interval);
        Some(report.encode())
    }

    /// What another tells.
    pub fn receive_report(
        &mut self,
        now: Micros,
        origin: u64,
        number: u64,
        age: Micros,
        bytes: &[u8],
    ) -> Result<(), ReportError> {
        let report = Report::decode(bytes)?;
        self.coverage.record(&self.settings.definition, origin, number, now - age.max(0), report)
    }

    /// `heard`: processes that this one hears, itself too.
    pub fn verdict(&self, heard: usize) -> Verdict {
        let Settings { min_comparisons: least, min_processes: processes, configured_members: named, .. } =
            self.settings;
        verdict(&self.coverage, least, processes, heard.min(self.coverage.origin_count()), named)
    }

    pub fn next_change(&self, now: Micros) -> Micros {
        let asks = self.comparisons.values().filter(|c| !c.query_in_flight).map(|c| c.query_at.max(now));
        asks.chain([self.last_report_at + self.report_interval]).min().unwrap_or(Micros::MAX)
    }

    /// Flags that were found here, by range.
    pub fn differences(&self) -> impl Iterator<Item = (usize, &ConfirmedDifference)> {
        self.differences.iter().flat_map(|(range, kept)| kept.iter().map(|f| (*range, f)))
    }

    /// Comparisons of a range over all, and by how many processes.
    pub fn coverage(&self, range: usize) -> (u32, usize) {
        self.coverage.range_coverage(range.min(RANGES - 1))
    }

    pub fn comparison_count(&self) -> usize {
        self.comparisons.len()
    }

    pub fn origin_count(&self) -> usize {
        self.coverage.origin_count()
    }
}
