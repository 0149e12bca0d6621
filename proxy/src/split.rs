//! The proxy's values as the crate `split` has them: reads that were served, and what databases answer; and what operators are shown
//! of it. It owns the words; what is compared and what a difference means is the crate's to say.

use crate::background_query::BackgroundQueryResult;
use crate::observe::{CoreEvent, Observer};
use crate::pg::commit_time_query;
use birchreach::{Micros, Role, ServerId};
use birchreach_peer_state::NameHasher;
use birchreach_shard_split::judge::Parent;
use birchreach_shard_split::{Ask, Definition, Flag, Look, RANGES, Settings, Split, Told, Verdict};
use std::collections::HashMap;
use std::fmt::Write;

/// What is compared; it listens to the core.
pub struct Watch {
    pub split: Split,
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
        definition: Definition { from, below, above, at },
        least,
        within: micros(options.within),
        processes,
        confirm: micros(options.confirm),
        named: named as usize,
    }
}

impl Watch {
    pub fn new(settings: Settings, own: u64, hasher: NameHasher, classes: Vec<String>, now: Micros) -> Watch {
        let split = Split::new(settings, own, now);
        Watch { split, hasher, processes: HashMap::new(), classes, told: None }
    }

    fn digest(&self, value: &[u8]) -> u64 {
        self.hasher.hash(0, value)
    }

    /// What an errand came to, as an answer to what was asked.
    pub fn answer(&self, ask: Ask, done: &BackgroundQueryResult) -> Told {
        self.read(ask, done).filter(|_| done.complete).unwrap_or(Told::Nothing)
    }

    fn read(&self, ask: Ask, done: &BackgroundQueryResult) -> Option<Told> {
        // A primary may have been deposed and not know it: it claims the present, and answers from the past. A replica's position is that
        // of the log that it has applied.
        let note = |n: usize| done.replies.get(n)?.status.filter(|note| note.role == Role::Replica);
        let position = |n: usize| note(n)?.position;
        let row = |n: usize| Some(done.replies.get(n)?.value.as_ref().map(|v| self.digest(&v.bytes)));
        let process = *self.processes.get(&done.server)?;
        Some(match ask {
            Ask::Glance(_) => Told::Glance { row: row(0)?, position: position(0) },
            Ask::Look(_) => {
                Told::Look { look: Look { row: row(1)?, low: position(0)?, high: position(1)? }, process }
            }
            Ask::Parent => {
                note(1)?;
                let row = commit_time_query::parse_row_with_commit_time(done.replies.get(1)?)?;
                let digest = row.value.map(|value| self.digest(value));
                let parent = Parent { row: digest, since: row.committed_at, seen: position(0)? };
                Told::Parent { parent, process }
            }
        })
    }

    /// The verdict, if it is another than was told last.
    pub fn turned(&mut self, heard: usize) -> Option<Verdict> {
        let verdict = self.split.verdict(heard);
        (self.told.replace(verdict.word()) != Some(verdict.word())).then_some(verdict)
    }

    pub fn class(&self, flag: &Flag) -> &str {
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
            Verdict::NotYet(l) => (l.compared, l.seen_by, l.unheard),
            _ => (0, 0, 0),
        };
        let _ = writeln!(
            out,
            "split verdict={} definition={:016x} heard={} named={} unheard={unheard} ranges={RANGES} lacking={lacking} unseen={unseen} \
             missing={missing} extra={extra} differs={differs} begun={} agreed={} late={} unsure={} silent={} flagged={} crowded={} under_way={}",
            verdict.word(),
            s.definition.digest(),
            heard.min(self.split.origins()),
            s.named,
            c.begun,
            c.agreed,
            c.late,
            c.unsure,
            c.silent,
            c.flagged,
            c.crowded,
            self.split.under_way()
        );
        for range in 0..RANGES {
            let (compared, seen_by) = self.split.covered(range);
            if compared < s.least || seen_by < s.processes {
                let _ = writeln!(out, "range n={range} compared={compared} seen_by={seen_by}");
            }
        }
        for (range, f) in self.split.flags() {
            let _ = writeln!(out, "flag {}", self.flag(range, f));
        }
        out
    }

    pub fn flag(&self, range: usize, f: &Flag) -> String {
        let row = |row: Option<u64>| row.map_or("none".into(), |digest| format!("{digest:016x}"));
        format!(
            "sort={} class={} range={range} hash={:08x} parent={} child={} group={} since_ms={} low_ms={} high_ms={} at_ms={}",
            f.sort.word(),
            self.class(f),
            f.hash,
            row(f.rows.0),
            row(f.rows.1),
            f.group,
            f.since / 1_000,
            f.child.0 / 1_000,
            f.child.1 / 1_000,
            f.at / 1_000
        )
    }
}

impl Observer for Watch {
    fn on_event(&mut self, now: Micros, seen: CoreEvent<'_>) {
        match seen {
            CoreEvent::Listed { server, uid, started_ms: boot_ms, .. } => {
                let process = crate::config::hash(format!("{uid} {boot_ms}").as_bytes());
                self.processes.insert(server, process);
            }
            CoreEvent::Unlisted { server, .. } => drop(self.processes.remove(&server)),
            CoreEvent::ReadServed { group, class, key, value }
                if group.0 == self.split.settings().definition.from =>
            {
                let row = Some(self.digest(&value.bytes));
                self.split.served(now, class.0, key, row);
            }
            _ => {}
        }
    }
}
