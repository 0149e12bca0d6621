//! How a member answers statements: it records each statement, waits for capacity, and answers from the group's state.

use super::history::{Change, InjectedDifference, LogEntry, StatementKind, StatementRecord};
use super::member::Group;
use super::now_ms;
use super::sql::{Statement, parse};
use super::state::VisibleRow;
use crate::database_server::POLL_INTERVAL;
use crate::lock;
use crate::wire::{
    COMMAND_COMPLETE, binary_row, decode_hex, error_response, message, role_and_position, text_row, usage_row,
};
use std::thread;

/// Time after a restart until all proxies that reach discovery have learned of the restart and statements already in
/// transit have arrived. Statements that arrive earlier do not count as sent to a member in slow start.
const RESTART_PROPAGATION_MS: i64 = 500;

/// The text of all errors. Proxies evaluate only the SQLSTATE.
const ERROR_TEXT: &str = "no";

impl Group {
    /// Waits until the member has capacity for a statement, then sleeps for the time that the statement takes.
    /// Statements take longer during slow start.
    fn simulate_execution(&self, member: usize) {
        let capacity = &self.0.capacity;
        let mut in_flight = lock(&self.0.in_flight);
        while in_flight[member] >= capacity.max_concurrent {
            let waited = self.0.changed.wait_timeout(in_flight, POLL_INTERVAL);
            in_flight = waited.map_or_else(|e| e.into_inner().0, |w| w.0);
        }
        in_flight[member] += 1;
        drop(in_flight);
        let speed = capacity.speed(now_ms() - self.started_at_ms(member));
        thread::sleep(capacity.statement_time.div_f64(speed));
        lock(&self.0.in_flight)[member] -= 1;
        self.0.changed.notify_all();
    }

    /// Records a statement that a member has just received.
    fn record(&self, member: usize, statement: StatementKind) {
        let now = now_ms();
        let mut state = lock(&self.0.state);
        let age_ms = now - state.members[member].started_at_ms;
        let slow_start_ms = self.0.capacity.slow_start_window.as_millis() as i64;
        let in_slow_start = (RESTART_PROPAGATION_MS..slow_start_ms).contains(&age_ms);
        state.records.push(StatementRecord { received_at_ms: now, member, statement, in_slow_start });
    }

    /// The replicated log of the parent group; `None` if the group has no parent.
    fn parent_rows(&self) -> Option<Vec<LogEntry>> {
        self.0.parent_log.as_ref().map(|parent| lock(&parent.group.0.state).replicated_log(now_ms()))
    }

    /// A row as the member sees it. An injected value has the commit time 0, because no commit wrote it.
    fn visible_row(&self, member: usize, key: &str) -> Option<VisibleRow> {
        let log = self.parent_rows();
        let mut state = lock(&self.0.state);
        let injected = state.injected_differences.get(key).cloned();
        let is_owned = self.0.parent_log.as_ref().is_none_or(|parent| (parent.owns_key)(key));
        match injected {
            Some(InjectedDifference::Missing) => None,
            Some(InjectedDifference::OtherValue(value)) => Some(VisibleRow { value, committed_at_ms: 0 }),
            Some(InjectedDifference::Extra) => state.row(log.as_deref(), member, now_ms(), key),
            None if is_owned => state.row(log.as_deref(), member, now_ms(), key),
            None => None,
        }
    }

    /// The messages that answer a statement, without the final ReadyForQuery.
    pub(super) fn answer_statement(&self, member: usize, query: &str) -> Vec<u8> {
        let messages = match parse(query) {
            Statement::Unknown => error_response("42601", ERROR_TEXT),
            Statement::Usage => self.answer_usage(member),
            Statement::Read { key, background } => self.answer_read(member, &key, background),
            Statement::PositionRead { key } => self.answer_position_read(member, &key),
            Statement::CopyRead { home, key, min_position_ms } => {
                self.answer_copy_read(member, home, &key, min_position_ms)
            }
            Statement::Write { key, value, id } => return self.answer_write(member, key, value, id),
            Statement::CopyWrite(change) => self.answer_copy_write(member, change),
        };
        self.with_parameter_status(member, messages, None)
    }

    fn answer_usage(&self, member: usize) -> Vec<u8> {
        self.record(member, StatementKind::HealthCheck);
        let (claims, at_ms) =
            self.with_state(|state| (state.claims_primary(member), state.position(member, now_ms())));
        usage_row(claims, at_ms)
    }

    fn answer_read(&self, member: usize, key: &str, background: bool) -> Vec<u8> {
        self.record(member, StatementKind::Read { background });
        // The row is read before the simulated execution and the position is reported after it, so the position may be
        // newer than the row.
        let found = self.visible_row(member, key);
        self.simulate_execution(member);
        match found {
            Some(row) => binary_row(&decode_hex(&row.value)),
            None if background => message(COMMAND_COMPLETE, b"SELECT 0\0"),
            None => text_row("(no such row)"),
        }
    }

    /// Answers with the row's commit time followed by its value.
    fn answer_position_read(&self, member: usize, key: &str) -> Vec<u8> {
        self.record(member, StatementKind::PositionRead);
        let found = self.visible_row(member, key);
        self.simulate_execution(member);
        match found {
            // The statement rounds the time up.
            Some(row) => binary_row(&position_and_value(row.committed_at_ms + 1, &row.value)),
            None => message(COMMAND_COMPLETE, b"SELECT 0\0"),
        }
    }

    /// Answers with the copy's position followed by its value, or with an empty value if no copy is new enough.
    fn answer_copy_read(&self, member: usize, home: u32, key: &str, min_position_ms: i64) -> Vec<u8> {
        let copy = self.with_state(|state| state.copy(member, now_ms(), home, key));
        let copy = copy.filter(|copy| copy.position_ms >= min_position_ms);
        self.record(member, StatementKind::CopyRead { served: copy.is_some() });
        match copy {
            Some(copy) => {
                self.simulate_execution(member);
                binary_row(&position_and_value(copy.position_ms, &copy.value))
            }
            None => binary_row(&[]),
        }
    }

    /// Commits a write at the primary and reports the commit time as the position. Other members answer with an error.
    fn answer_write(&self, member: usize, key: String, value: String, id: String) -> Vec<u8> {
        self.record(member, StatementKind::Write { id: id.clone() });
        self.simulate_execution(member);
        let change = Change::Row { key, value: value.clone() };
        match self.with_state(|state| state.commit(member, now_ms(), &id, change)) {
            None => self.with_parameter_status(member, error_response("25006", ERROR_TEXT), None),
            Some(at_ms) => self.with_parameter_status(member, binary_row(&decode_hex(&value)), Some(at_ms)),
        }
    }

    fn answer_copy_write(&self, member: usize, change: Change) -> Vec<u8> {
        self.record(member, StatementKind::CopyWrite);
        self.simulate_execution(member);
        match self.with_state(|state| state.commit(member, now_ms(), "", change)) {
            None => error_response("25006", ERROR_TEXT),
            Some(_) => message(COMMAND_COMPLETE, b"INSERT 0 1\0"),
        }
    }

    /// Appends the messages that report the member's role and position. `commit_ms` is the commit time of a write,
    /// which is reported as the position instead of the member's own.
    fn with_parameter_status(&self, member: usize, messages: Vec<u8>, commit_ms: Option<i64>) -> Vec<u8> {
        let (claims, at_ms) =
            self.with_state(|state| (state.claims_primary(member), state.position(member, now_ms())));
        [messages, role_and_position(claims, commit_ms.unwrap_or(at_ms))].concat()
    }
}

/// Encodes a position as 8 bytes in big-endian order, followed by the value.
fn position_and_value(position_ms: i64, value: &str) -> Vec<u8> {
    [&position_ms.to_be_bytes()[..], &decode_hex(value)].concat()
}
