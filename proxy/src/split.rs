//! The proxy's values as the crate `split` has them: reads that were served, and what databases answer; and what operators are shown
//! of it. It owns the words; what is compared and what a difference means is the crate's to say.

use crate::background_query::BackgroundQueryResult;
use crate::observe::{CoreEvent, Observer};
use crate::pg::commit_time_query;
use birchreach::{Micros, Role, ServerId};
use birchreach_peer_state::NameHasher;
use birchreach_shard_split::judge::ParentSample;
use birchreach_shard_split::{
    ComparisonQuery, ConfirmedDifference, Definition, PositionSample, QueryResult, RANGES, Settings,
    SplitVerifier, Verdict,
};
use std::collections::HashMap;
use std::fmt::Write;

/// What is compared; it listens to the core.
pub struct Watch {
    pub split: SplitVerifier,
    hasher: NameHasher,
    /// A number for each database's process: by its name and its last start.
    processes: HashMap<ServerId, u64>,
    /// Names of the classes, for flags.
    classes: Vec<String>,
    /// The verdict that was told last.
    told: Option<&'static str>,
}

pub fn settings(options: &birchreach_options::Split, named: u32) -> Settings {
    let micros = |span: std::time::Duration| Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX);
    let birchreach_options::Split { from, below, above, at, least, processes, .. } = *options;
    Settings {
        definition: Definition { parent: from, lower_child: below, upper_child: above, split_at: at },
        min_comparisons: least,
        coverage_window: micros(options.within),
        min_processes: processes,
        confirmation_delay: micros(options.confirm),
        configured_members: named as usize,
    }
}

impl Watch {
    pub fn new(settings: Settings, own: u64, hasher: NameHasher, classes: Vec<String>, now: Micros) -> Watch {
        let split = SplitVerifier::new(settings, own, now);
        Watch { split, hasher, processes: HashMap::new(), classes, told: None }
    }

    fn digest(&self, value: &[u8]) -> u64 {
        self.hasher.hash(0, value)
    }

    /// What an errand came to, as an answer to what was asked.
    pub fn answer(&self, ask: ComparisonQuery, done: &BackgroundQueryResult) -> QueryResult {
        self.read(ask, done).filter(|_| done.complete).unwrap_or(QueryResult::NoAnswer)
    }

    fn read(&self, ask: ComparisonQuery, done: &BackgroundQueryResult) -> Option<QueryResult> {
        // A primary may have been deposed and not know it: it claims the present, and answers from the past. A replica's position is that
        // of the log that it has applied.
        let note = |n: usize| done.replies.get(n)?.status.filter(|note| note.role == Role::Replica);
        let position = |n: usize| note(n)?.position;
        let row = |n: usize| Some(done.replies.get(n)?.value.as_ref().map(|v| self.digest(&v.bytes)));
        let process = *self.processes.get(&done.server)?;
        Some(match ask {
            ComparisonQuery::SingleRead(_) => QueryResult::SingleRead { row: row(0)?, position: position(0) },
            ComparisonQuery::Sample(_) => QueryResult::Sample {
                look: PositionSample {
                    row: row(1)?,
                    position_before: position(0)?,
                    position_after: position(1)?,
                },
                process,
            },
            ComparisonQuery::SampleParent => {
                note(1)?;
                let row = commit_time_query::parse_row_with_commit_time(done.replies.get(1)?)?;
                let digest = row.value.map(|value| self.digest(value));
                let parent =
                    ParentSample { row: digest, committed_at: row.committed_at, position: position(0)? };
                QueryResult::ParentSample { parent, process }
            }
        })
    }

    /// The verdict, if it is another than was told last.
    pub fn turned(&mut self, heard: usize) -> Option<Verdict> {
        let verdict = self.split.verdict(heard);
        (self.told.replace(verdict.as_str()) != Some(verdict.as_str())).then_some(verdict)
    }

    pub fn class(&self, flag: &ConfirmedDifference) -> &str {
        self.classes.get(usize::from(flag.class)).map_or("?", String::as_str)
    }

    /// A line for the whole, one for each range that lacks something, one for each flag that this process has found.
    pub fn lines(&self, heard: usize) -> String {
        let verdict = self.split.verdict(heard);
        let c = self.split.counts;
        let s = self.split.settings();
        let mut out = String::new();
        let [missing, extra, differs] = if let Verdict::Dirty(flags) = verdict { flags } else { [0; 3] };
        let (lacking, unseen, unheard) = match verdict {
            Verdict::Incomplete(l) => {
                (l.ranges_below_comparisons, l.ranges_below_processes, l.silent_members)
            }
            _ => (0, 0, 0),
        };
        let _ = writeln!(
            out,
            "split verdict={} definition={:016x} heard={} named={} unheard={unheard} ranges={RANGES} lacking={lacking} unseen={unseen} \
             missing={missing} extra={extra} differs={differs} begun={} agreed={} late={} unsure={} silent={} flagged={} crowded={} under_way={}",
            verdict.as_str(),
            s.definition.digest(),
            heard.min(self.split.origin_count()),
            s.configured_members,
            c.started,
            c.agreed,
            c.lagging,
            c.inconclusive,
            c.unanswered,
            c.confirmed,
            c.rejected,
            self.split.comparison_count()
        );
        for range in 0..RANGES {
            let (compared, seen_by) = self.split.coverage(range);
            if compared < s.min_comparisons || seen_by < s.min_processes {
                let _ = writeln!(out, "range n={range} compared={compared} seen_by={seen_by}");
            }
        }
        for (range, f) in self.split.differences() {
            let _ = writeln!(out, "flag {}", self.flag(range, f));
        }
        out
    }

    pub fn flag(&self, range: usize, f: &ConfirmedDifference) -> String {
        let row = |row: Option<u64>| row.map_or("none".into(), |digest| format!("{digest:016x}"));
        format!(
            "sort={} class={} range={range} hash={:08x} parent={} child={} group={} since_ms={} low_ms={} high_ms={} at_ms={}",
            f.kind.as_str(),
            self.class(f),
            f.key_hash,
            row(f.rows.0),
            row(f.rows.1),
            f.child_group,
            f.since / 1_000,
            f.child.0 / 1_000,
            f.child.1 / 1_000,
            f.confirmed_at / 1_000
        )
    }
}

impl Observer for Watch {
    fn on_event(&mut self, now: Micros, seen: CoreEvent<'_>) {
        match seen {
            CoreEvent::Listed { server, uid, started_ms: boot_ms, .. } => {
                let process = crate::hash::fnv1a(format!("{uid} {boot_ms}").as_bytes());
                self.processes.insert(server, process);
            }
            CoreEvent::Unlisted { server, .. } => drop(self.processes.remove(&server)),
            CoreEvent::ReadServed { group, class, key, value }
                if group.0 == self.split.settings().definition.parent =>
            {
                let row = Some(self.digest(&value.bytes));
                self.split.record_read(now, class.0, key, row);
            }
            _ => {}
        }
    }
}
