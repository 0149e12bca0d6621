//! What a member answers, from the group's state, behind its queue; and the record of it.

use super::member::{Group, POLL_INTERVAL};
use super::now_ms;
use super::sql::{Statement, parse};
use super::state::{Change, Entry, PlantedDifference, Record, StatementKind};
use crate::lock;
use crate::wire::{decode_hex, message, row, row_of};
use std::thread;

/// By then a start is known to all that hear discovery, and what was on its way is over.
const START_KNOWN_AFTER_MS: i64 = 500;

impl Group {
    /// A place among those that it has, and its work; a cold one is slower.
    fn do_work(&self, member: usize) {
        let load = &self.0.capacity;
        let mut busy = lock(&self.0.in_flight);
        while busy[member] >= load.max_concurrent {
            busy =
                self.0.changed.wait_timeout(busy, POLL_INTERVAL).map_or_else(|e| e.into_inner().0, |w| w.0);
        }
        busy[member] += 1;
        drop(busy);
        let age = now_ms() - lock(&self.0.state).members[member].started_at_ms;
        let risen = (age as f64 / load.slow_start_window.as_millis().max(1) as f64).clamp(0.0, 1.0);
        let share = load.slow_start_initial_fraction + (1.0 - load.slow_start_initial_fraction) * risen;
        thread::sleep(load.statement_time.div_f64(share.max(0.01)));
        lock(&self.0.in_flight)[member] -= 1;
        self.0.changed.notify_all();
    }

    fn record(&self, member: usize, what: StatementKind) {
        let now = now_ms();
        let mut state = lock(&self.0.state);
        let age = now - state.members[member].started_at_ms;
        let cold =
            (START_KNOWN_AFTER_MS..self.0.capacity.slow_start_window.as_millis() as i64).contains(&age);
        state.records.push(Record { received_at_ms: now, member, statement: what, warming_up: cold });
    }

    /// The rows of the group that this one follows.
    fn parent_rows(&self) -> Option<Vec<Entry>> {
        self.0.parent_log.as_ref().map(|(group, _)| lock(&group.0.state).replicated_log(now_ms()))
    }

    fn visible_row(&self, member: usize, key: &str) -> Option<(String, i64)> {
        let log = self.parent_rows();
        let mut state = lock(&self.0.state);
        let planted = state.planted_differences.get(key).cloned();
        let own = self.0.parent_log.as_ref().is_none_or(|(_, own)| own(key));
        match planted {
            Some(PlantedDifference::Missing) => None,
            Some(PlantedDifference::OtherValue(value)) => Some((value, 0)),
            Some(PlantedDifference::Extra) => state.row(log.as_deref(), member, now_ms(), key),
            None if own => state.row(log.as_deref(), member, now_ms(), key),
            None => None,
        }
    }

    pub(super) fn answer_statement(&self, member: usize, query: &str) -> Vec<u8> {
        let refused = |code: &str| message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
        let statement = parse(query);
        let answer = match statement {
            Statement::Unknown => refused("42601"),
            Statement::Usage => {
                self.record(member, StatementKind::HealthCheck);
                let (claims, at) =
                    self.with_state(|s| (s.claims_primary(member), s.position(member, now_ms())));
                row(&format!("x0={}.{:03},x1={}", at / 1000, at % 1000, u8::from(claims)))
            }
            Statement::Read { key, background } => {
                self.record(member, StatementKind::Read { background });
                // The row is read before, its position told after the work.
                let found = self.visible_row(member, &key);
                self.do_work(member);
                match found {
                    Some((value, _)) => row_of(&decode_hex(&value)),
                    None if background => message(b'C', b"SELECT 0\0"),
                    None => row("(no such row)"),
                }
            }
            Statement::PositionRead { key } => {
                self.record(member, StatementKind::PositionRead);
                let found = self.visible_row(member, &key);
                self.do_work(member);
                match found {
                    // Rounded up, as the statement has it.
                    Some((value, at)) => row_of(&[&(at + 1).to_be_bytes()[..], &decode_hex(&value)].concat()),
                    None => message(b'C', b"SELECT 0\0"),
                }
            }
            Statement::CopyRead { home, key, min_position_ms: at } => {
                let copy = self.with_state(|s| s.copy(member, now_ms(), home, &key));
                let copy = copy.filter(|(position, _)| *position >= at);
                self.record(member, StatementKind::CopyRead { served: copy.is_some() });
                if copy.is_some() {
                    self.do_work(member);
                }
                copy.map_or_else(
                    || row_of(&[]),
                    |(at, value)| row_of(&[&at.to_be_bytes()[..], &decode_hex(&value)].concat()),
                )
            }
            Statement::Write { key, value, id } => {
                self.record(member, StatementKind::Write { id: id.clone() });
                self.do_work(member);
                let change = Change::Row { key, value: value.clone() };
                let done = self.with_state(|s| s.commit(member, now_ms(), &id, change));
                match done {
                    None => refused("25006"),
                    Some(at) => {
                        return self.with_parameter_status(member, row_of(&decode_hex(&value)), Some(at));
                    }
                }
            }
            Statement::CopyWrite(change) => {
                self.record(member, StatementKind::CopyWrite);
                self.do_work(member);
                match self.with_state(|s| s.commit(member, now_ms(), "", change)) {
                    None => refused("25006"),
                    Some(_) => message(b'C', b"INSERT 0 1\0"),
                }
            }
        };
        self.with_parameter_status(member, answer, None)
    }

    /// What stands beside an answer: role and position, or a write's commit.
    fn with_parameter_status(&self, member: usize, answer: Vec<u8>, commit: Option<i64>) -> Vec<u8> {
        let (claims, at) = self.with_state(|s| (s.claims_primary(member), s.position(member, now_ms())));
        let role = format!("server_role\0{}\0", if claims { "writer" } else { "reader" });
        let clock = format!("commit_clock\0{}\0", commit.unwrap_or(at));
        [answer, message(b'S', role.as_bytes()), message(b'S', clock.as_bytes())].concat()
    }
}
