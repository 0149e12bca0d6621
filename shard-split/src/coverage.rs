//! What each process has compared, by range, and what it has flagged: counters of each origin, of which the newest count.

use crate::{Definition, Micros, RANGES};
use birchreach_fault_injection::fault_injected;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Origins whose counters are kept.
const MAX_ORIGINS: usize = 4_096;
/// A window is cut into so many parts, of which the oldest goes as a whole.
pub const WINDOW_PARTS: usize = 4;

/// What one process tells of a definition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub definition_digest: u64,
    /// Comparisons of each range within the last while.
    pub compared: Vec<u32>,
    /// Flags by sort (missing, extra, differs), with the number of their range, as far as they last.
    pub differences: Vec<(u8, u8, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    Malformed,
    /// It compares by another definition.
    OtherDefinition,
    Outdated,
    TooManyOrigins,
}

impl ReportError {
    pub fn as_str(self) -> &'static str {
        match self {
            ReportError::Malformed => "form",
            ReportError::OtherDefinition => "other-definition",
            ReportError::Outdated => "old",
            ReportError::TooManyOrigins => "too-many",
        }
    }
}

impl Report {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Result<Report, ReportError> {
        let report: Report = postcard::from_bytes(bytes).map_err(|_| ReportError::Malformed)?;
        let known = |f: &(u8, u8, u32)| f.0 < 3 && usize::from(f.1) < RANGES;
        let well = report.compared.len() == RANGES
            && report.differences.len() <= 3 * RANGES
            && report.differences.iter().all(known);
        if well { Ok(report) } else { Err(ReportError::Malformed) }
    }
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    sequence: u64,
    made_at: Micros,
    report: Report,
}

/// The counters of all.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    by_origin: BTreeMap<u64, ReceivedReport>,
    /// Of a faulty sum, for checkers alone.
    injected_excess: u32,
}

impl Coverage {
    pub fn record(
        &mut self,
        definition: &Definition,
        origin: u64,
        number: u64,
        made: Micros,
        report: Report,
    ) -> Result<(), ReportError> {
        if report.definition_digest != definition.digest() && !fault_injected!(MixesDefinitions) {
            return Err(ReportError::OtherDefinition);
        }
        match self.by_origin.get(&origin) {
            Some(known) if known.sequence >= number => {
                self.injected_excess += u32::from(fault_injected!(CountsTwice));
                return Err(ReportError::Outdated);
            }
            None if self.by_origin.len() >= MAX_ORIGINS => return Err(ReportError::TooManyOrigins),
            _ => {}
        }
        self.by_origin.insert(origin, ReceivedReport { sequence: number, made_at: made, report });
        Ok(())
    }

    pub fn remove_expired(&mut self, now: Micros, life: Micros) {
        self.by_origin.retain(|_, kept| now - kept.made_at < life);
    }

    /// Comparisons of a range over all, and how many processes made some.
    pub fn range_coverage(&self, range: usize) -> (u32, usize) {
        let all = self.by_origin.values().filter_map(|k| k.report.compared.get(range));
        let compared = all.clone().fold(self.injected_excess, |sum, n| sum.saturating_add(*n));
        (compared, all.filter(|n| **n > 0).count())
    }

    /// Flags over all, by sort.
    pub fn difference_counts(&self) -> [u32; 3] {
        let mut sum = [0u32; 3];
        for (sort, _, n) in self.by_origin.values().flat_map(|k| &k.report.differences) {
            if let Some(all) = sum.get_mut(usize::from(*sort)) {
                *all = all.saturating_add(*n);
            }
        }
        sum
    }

    pub fn origin_count(&self) -> usize {
        self.by_origin.len()
    }
}

/// Counts within the last while, by range: the window moves in parts.
#[derive(Clone, Debug)]
pub struct Window {
    parts: Vec<[u32; RANGES]>,
    part_span: Micros,
    part_started_at: Micros,
}

impl Window {
    pub fn new(now: Micros, span: Micros) -> Window {
        Window {
            parts: vec![[0; RANGES]; WINDOW_PARTS],
            part_span: (span / WINDOW_PARTS as Micros).max(1),
            part_started_at: now,
        }
    }

    pub fn add(&mut self, now: Micros, range: usize) {
        self.advance(now);
        if let Some(n) = self.parts[0].get_mut(range) {
            *n = n.saturating_add(1);
        }
    }

    fn advance(&mut self, now: Micros) {
        while now - self.part_started_at >= self.part_span {
            self.part_started_at += self.part_span;
            self.parts.rotate_right(1);
            self.parts[0] = [0; RANGES];
            if now - self.part_started_at > self.part_span * (WINDOW_PARTS as Micros + 1) {
                // Nothing was counted for longer than the window.
                self.parts.iter_mut().for_each(|part| *part = [0; RANGES]);
                self.part_started_at = now;
            }
        }
    }

    pub fn sums(&mut self, now: Micros) -> Vec<u32> {
        self.advance(now);
        (0..RANGES).map(|r| self.parts.iter().map(|part| part[r]).sum()).collect()
    }
}
