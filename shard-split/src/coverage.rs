//! What each process has compared, by range, and what it has flagged: counters of each origin, of which the newest count.

use crate::{Definition, Micros, RANGES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Origins whose counters are kept.
const MOST_ORIGINS: usize = 4_096;
/// A window is cut into so many parts, of which the oldest goes as a whole.
pub const PARTS: usize = 4;

/// What one process tells of a definition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub definition: u64,
    /// Comparisons of each range within the last while.
    pub compared: Vec<u32>,
    /// Flags by sort (missing, extra, differs), with the number of their range, as far as they last.
    pub flags: Vec<(u8, u8, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    Form,
    /// It compares by another definition.
    Definition,
    Old,
    TooMany,
}

impl Refused {
    pub fn word(self) -> &'static str {
        match self {
            Refused::Form => "form",
            Refused::Definition => "other-definition",
            Refused::Old => "old",
            Refused::TooMany => "too-many",
        }
    }
}

impl Report {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Result<Report, Refused> {
        let report: Report = postcard::from_bytes(bytes).map_err(|_| Refused::Form)?;
        let known = |f: &(u8, u8, u32)| f.0 < 3 && usize::from(f.1) < RANGES;
        let well = report.compared.len() == RANGES
            && report.flags.len() <= 3 * RANGES
            && report.flags.iter().all(known);
        if well { Ok(report) } else { Err(Refused::Form) }
    }
}

#[derive(Clone, Debug)]
struct Kept {
    number: u64,
    made: Micros,
    report: Report,
}

/// The counters of all.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    by_origin: BTreeMap<u64, Kept>,
    /// Of a faulty sum, for checkers alone.
    again: u32,
}

impl Coverage {
    pub fn hear(
        &mut self,
        definition: &Definition,
        origin: u64,
        number: u64,
        made: Micros,
        report: Report,
    ) -> Result<(), Refused> {
        if report.definition != definition.digest() && !crate::faulty!(MixesDefinitions) {
            return Err(Refused::Definition);
        }
        match self.by_origin.get(&origin) {
            Some(known) if known.number >= number => {
                self.again += u32::from(crate::faulty!(CountsTwice));
                return Err(Refused::Old);
            }
            None if self.by_origin.len() >= MOST_ORIGINS => return Err(Refused::TooMany),
            _ => {}
        }
        self.by_origin.insert(origin, Kept { number, made, report });
        Ok(())
    }

    pub fn forget(&mut self, now: Micros, life: Micros) {
        self.by_origin.retain(|_, kept| now - kept.made < life);
    }

    /// Comparisons of a range over all, and how many processes made some.
    pub fn of(&self, range: usize) -> (u32, usize) {
        let all = self.by_origin.values().filter_map(|k| k.report.compared.get(range));
        let compared = all.clone().fold(self.again, |sum, n| sum.saturating_add(*n));
        (compared, all.filter(|n| **n > 0).count())
    }

    /// Flags over all, by sort.
    pub fn flags(&self) -> [u32; 3] {
        let mut sum = [0u32; 3];
        for (sort, _, n) in self.by_origin.values().flat_map(|k| &k.report.flags) {
            if let Some(all) = sum.get_mut(usize::from(*sort)) {
                *all = all.saturating_add(*n);
            }
        }
        sum
    }

    pub fn origins(&self) -> usize {
        self.by_origin.len()
    }
}

/// Counts within the last while, by range: the window moves in parts.
#[derive(Clone, Debug)]
pub struct Window {
    parts: Vec<[u32; RANGES]>,
    part: Micros,
    began: Micros,
}

impl Window {
    pub fn new(now: Micros, span: Micros) -> Window {
        Window { parts: vec![[0; RANGES]; PARTS], part: (span / PARTS as Micros).max(1), began: now }
    }

    pub fn add(&mut self, now: Micros, range: usize) {
        self.turn(now);
        if let Some(n) = self.parts[0].get_mut(range) {
            *n = n.saturating_add(1);
        }
    }

    fn turn(&mut self, now: Micros) {
        while now - self.began >= self.part {
            self.began += self.part;
            self.parts.rotate_right(1);
            self.parts[0] = [0; RANGES];
            if now - self.began > self.part * (PARTS as Micros + 1) {
                // Nothing was counted for longer than the window.
                self.parts.iter_mut().for_each(|part| *part = [0; RANGES]);
                self.began = now;
            }
        }
    }

    pub fn sums(&mut self, now: Micros) -> Vec<u32> {
        self.turn(now);
        (0..RANGES).map(|r| self.parts.iter().map(|part| part[r]).sum()).collect()
    }
}
