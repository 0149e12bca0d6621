//! The machine: reads that were served come in, questions go out, answers come back; counters and flags.

use crate::compare::{Ask, Comparison, End, Stage, Told};
use crate::coverage::{Coverage, Refused, Report, Window};
use crate::definition::{Definition, RANGES};
use crate::flag::{Counts, Flag, Settings};
use crate::judge::Row;
use crate::verdict::{Verdict, verdict};
use crate::{Child, Micros};
use std::collections::{BTreeMap, VecDeque};

/// Comparisons under way; a read beyond them is not compared.
const MOST_UNDER_WAY: usize = 64;
/// Flags of one range that are kept, the newest.
const MOST_FLAGS: usize = 4;
/// Of a range that has enough, one read in so many is compared all the same.
const SELDOM: u64 = 16;
/// A comparison that takes longer is dropped: its databases are not to be reached.
const LONGEST: Micros = 120_000_000;

pub struct Split {
    settings: Settings,
    own: u64,
    under_way: BTreeMap<u64, Comparison>,
    number: u64,
    window: Window,
    coverage: Coverage,
    flags: BTreeMap<usize, VecDeque<Flag>>,
    told: u64,
    said: Micros,
    interval: Micros,
    seen: u64,
    pub counts: Counts,
}

impl Split {
    pub fn new(settings: Settings, own: u64, now: Micros) -> Split {
        Split {
            window: Window::new(now, settings.within),
            settings,
            own,
            under_way: BTreeMap::new(),
            number: 0,
            coverage: Coverage::default(),
            flags: BTreeMap::new(),
            told: 0,
            said: now,
            interval: 1_000_000,
            seen: 0,
            counts: Counts::default(),
        }
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// How often counters are told.
    pub fn pace(&mut self, interval: Micros) {
        self.interval = interval;
    }

    /// A client was served a row of the group that splits, of this digest.
    pub fn served(&mut self, now: Micros, class: u16, key: &[u8], row: Row) {
        let hash = Definition::hash(key);
        let range = Definition::range(hash);
        self.seen += 1;
        let (compared, seen_by) = self.coverage.of(range);
        let covered = compared >= self.settings.least && seen_by >= self.settings.processes;
        let own = self.under_way.values().any(|c| c.hash == hash);
        if own || (covered && !self.seen.is_multiple_of(SELDOM)) {
            return;
        }
        if self.under_way.len() >= MOST_UNDER_WAY && !crate::faulty!(KeepsAll) {
            self.counts.crowded += 1;
            return;
        }
        self.number += 1;
        self.counts.begun += 1;
        let comparison = Comparison {
            class,
            hash,
            text: key.to_vec(),
            row,
            stage: Stage::Owner,
            out: false,
            next: now,
            rounds: 0,
            first: None,
            begun: now,
        };
        self.under_way.insert(self.number, comparison);
    }

    /// What is to be asked now: the comparison's number, the question, the key, and the group that it goes to.
    pub fn ask(&mut self, now: Micros, most: usize) -> Vec<(u64, Ask, Vec<u8>, u32)> {
        let definition = &self.settings.definition;
        let due = self.under_way.iter_mut().filter(|(_, c)| !c.out && c.next <= now).take(most);
        due.map(|(number, c)| {
            c.out = true;
            let (owner, other) = definition.children(c.hash);
            let group = match c.ask() {
                Ask::Parent => definition.from,
                Ask::Glance(Child::Owner) | Ask::Look(Child::Owner) => owner,
                Ask::Glance(Child::Other) | Ask::Look(Child::Other) => other,
            };
            (*number, c.ask(), c.text.clone(), group)
        })
        .collect()
    }

    /// It could not be asked now: later.
    pub fn unasked(&mut self, now: Micros, number: u64) {
        if let Some(c) = self.under_way.get_mut(&number) {
            (c.out, c.next) = (false, now + 200_000);
        }
    }

    /// What came back; a flag, if it is one.
    pub fn told(&mut self, now: Micros, number: u64, told: Told) -> Option<Flag> {
        let c = self.under_way.get_mut(&number)?;
        let end = c.told(now, told, self.settings.confirm);
        let end = end.or((now - c.begun > LONGEST).then_some(End::Silent))?;
        let (hash, class, range) = (c.hash, c.class, Definition::range(c.hash));
        let (owner, other) = self.settings.definition.children(hash);
        self.under_way.remove(&number);
        match end {
            End::Agrees => {
                self.counts.agreed += 1;
                self.window.add(now, range);
            }
            End::Late => self.counts.late += 1,
            End::Unsure => self.counts.unsure += 1,
            End::Silent => self.counts.silent += 1,
            End::Flag(found, sort) => {
                self.counts.flagged += 1;
                self.window.add(now, range);
                let group = if found.child == Child::Owner { owner } else { other };
                let flag = Flag {
                    sort,
                    class,
                    group,
                    hash,
                    rows: (found.parent.row, found.look.row),
                    since: found.parent.since,
                    child: (found.look.low, found.look.high),
                    at: now,
                };
                let kept = self.flags.entry(range).or_default();
                // The newest of each key.
                kept.retain(|f| (f.hash, f.sort) != (hash, sort));
                kept.push_back(flag.clone());
                if kept.len() > MOST_FLAGS && !crate::faulty!(KeepsAll) {
                    kept.pop_front();
                }
                return Some(flag);
            }
        }
        None
    }

    /// What is to be told now, if it is time.
    pub fn say(&mut self, now: Micros) -> Option<Vec<u8>> {
        if now - self.said < self.interval {
            return None;
        }
        self.said = now;
        let mut flags: BTreeMap<(u8, u8), u32> = BTreeMap::new();
        for (range, kept) in &self.flags {
            for f in kept {
                *flags.entry((f.sort as u8, *range as u8)).or_default() += 1;
            }
        }
        let report = Report {
            definition: self.settings.definition.digest(),
            compared: self.window.sums(now),
            flags: flags.into_iter().map(|((sort, range), n)| (sort, range, n)).collect(),
        };
        self.told += 1;
        let _ = self.coverage.hear(&self.settings.definition, self.own, self.told, now, report.clone());
        self.coverage.forget(now, 4 * self.interval);
        Some(report.encode())
    }

    /// What another tells.
    pub fn hear(
        &mut self,
        now: Micros,
        origin: u64,
        number: u64,
        age: Micros,
        bytes: &[u8],
    ) -> Result<(), Refused> {
        let report = Report::decode(bytes)?;
        self.coverage.hear(&self.settings.definition, origin, number, now - age.max(0), report)
    }

    /// `heard`: processes that this one hears, itself too.
    pub fn verdict(&self, heard: usize) -> Verdict {
        let Settings { least, processes, named, .. } = self.settings;
        verdict(&self.coverage, least, processes, heard.min(self.coverage.origins()), named)
    }

    pub fn next_change(&self, now: Micros) -> Micros {
        let asks = self.under_way.values().filter(|c| !c.out).map(|c| c.next.max(now));
        asks.chain([self.said + self.interval]).min().unwrap_or(Micros::MAX)
    }

    /// Flags that were found here, by range.
    pub fn flags(&self) -> impl Iterator<Item = (usize, &Flag)> {
        self.flags.iter().flat_map(|(range, kept)| kept.iter().map(|f| (*range, f)))
    }

    /// Comparisons of a range over all, and by how many processes.
    pub fn covered(&self, range: usize) -> (u32, usize) {
        self.coverage.of(range.min(RANGES - 1))
    }

    pub fn under_way(&self) -> usize {
        self.under_way.len()
    }

    pub fn origins(&self) -> usize {
        self.coverage.origins()
    }
}
