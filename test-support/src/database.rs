//! A scripted database, primary or replica. Tests can make it slow, make it hang (it accepts connections but answers
//! nothing), shut it down and start it again. The databases of a group share their rows, so replicas see every write
//! immediately.

use crate::crowd::Pace;
use crate::database_server::{DatabaseBehavior, start_accepting};
use crate::groups::now_ms;
use crate::lock;
pub use crate::rows::Rows;
use crate::statement_text::{comment_field, quoted_strings};
use crate::wire::{error_response, role_and_position, text_row, usage_row};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// The current behavior of a database, as the test has set it.
#[derive(Clone, Debug)]
struct Behavior {
    /// Whether it accepts connections. If not, existing connections break and new ones are refused.
    available: bool,
    /// Whether it leaves all statements unanswered.
    hung: bool,
    primary: bool,
    /// Delay of statements by request class.
    delay_by_class: HashMap<String, Duration>,
    /// The pace at which it writes long answers; `None` writes them at once.
    answer_pace: Option<Pace>,
    /// The pace at which it reads statements; `None` reads them at once.
    statement_pace: Option<Pace>,
    /// How long after an answer it sends a second copy; `None` sends none.
    second_copy_delay: Option<Duration>,
    /// If set, every statement whose number is a multiple of this meets a full queue.
    rejected_interval: Option<u64>,
    /// If set, it applies no further commits and answers reads from this data.
    paused: Option<PausedData>,
}

/// The data that a database had when it stopped to apply commits.
#[derive(Clone, Debug)]
struct PausedData {
    position_ms: i64,
    value_by_key: HashMap<String, String>,
}

struct Inner {
    address: SocketAddr,
    behavior: Mutex<Behavior>,
    changed: Condvar,
    rows: Arc<Rows>,
    statement_count: AtomicU64,
    prints_statements: bool,
}

/// A handle to a running database. Its threads run until the test process ends.
#[derive(Clone)]
pub struct Database(Arc<Inner>);

impl Database {
    /// Starts a database. Port 0 selects a free port. `prints_statements` prints each statement to standard output.
    pub fn start(
        address: SocketAddr,
        primary: bool,
        rows: &Arc<Rows>,
        prints_statements: bool,
    ) -> io::Result<Database> {
        let listener = TcpListener::bind(address)?;
        let behavior = Mutex::new(Behavior {
            available: true,
            hung: false,
            primary,
            delay_by_class: HashMap::new(),
            answer_pace: None,
            statement_pace: None,
            second_copy_delay: None,
            rejected_interval: None,
            paused: None,
        });
        let inner = Inner {
            address: listener.local_addr()?,
            behavior,
            changed: Condvar::new(),
            rows: rows.clone(),
            statement_count: AtomicU64::new(0),
            prints_statements,
        };
        let database = Database(Arc::new(inner));
        start_accepting(database.clone(), listener);
        Ok(database)
    }

    /// The address on which the database listens. It stays the same when the database becomes unavailable and available
    /// again.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Number of statements that the database has received since its start. Health checks and statements without an
    /// answer are included.
    pub fn statement_count(&self) -> u64 {
        self.0.statement_count.load(Ordering::Relaxed)
    }

    /// Changes the behavior and wakes the threads that wait for a change.
    fn change_behavior(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut lock(&self.0.behavior));
        self.0.changed.notify_all();
    }

    /// Makes the database hang or resume. While it hangs, it accepts connections but answers nothing.
    pub fn set_hung(&self, hung: bool) {
        self.change_behavior(|behavior| behavior.hung = hung);
    }

    /// Makes the database available or unavailable. While it is unavailable, its connections break and new ones are
    /// refused.
    pub fn set_available(&self, available: bool) {
        self.change_behavior(|behavior| behavior.available = available);
    }

    /// Sets whether the database executes writes and reports itself as the primary.
    pub fn set_primary(&self, primary: bool) {
        self.change_behavior(|behavior| behavior.primary = primary);
    }

    /// Sets the delay of statements of a request class.
    pub fn set_delay(&self, class: &str, delay: Duration) {
        self.change_behavior(|behavior| {
            behavior.delay_by_class.insert(class.into(), delay);
        });
    }

    /// Sets the pace at which answers that are longer than one piece are written.
    pub fn set_answer_pace(&self, pace: Option<Pace>) {
        self.change_behavior(|behavior| behavior.answer_pace = pace);
    }

    /// Sets the pace at which statements that are longer than one piece are read.
    pub fn set_statement_pace(&self, pace: Option<Pace>) {
        self.change_behavior(|behavior| behavior.statement_pace = pace);
    }

    /// Sets after which time a second copy follows each answer, if no further statement has arrived by then.
    pub fn set_second_copy(&self, delay: Option<Duration>) {
        self.change_behavior(|behavior| behavior.second_copy_delay = delay);
    }

    /// Makes every statement whose number is a multiple of `interval` meet a full queue.
    pub fn set_rejected_interval(&self, interval: Option<u64>) {
        self.change_behavior(|behavior| behavior.rejected_interval = interval);
    }

    /// Makes the database apply no further commits, until it is the primary: it answers reads from its present data and reports its
    /// present position.
    pub fn pause_replication(&self) {
        let value_by_key = self.0.rows.values();
        let paused = PausedData { position_ms: now_ms(), value_by_key };
        self.change_behavior(|behavior| behavior.paused = Some(paused));
    }

    /// The value of a key and the position, as the database has them.
    fn value_and_position(&self, key: &str) -> (Option<String>, i64) {
        let behavior = lock(&self.0.behavior);
        match behavior.paused.as_ref().filter(|_| !behavior.primary) {
            Some(paused) => (paused.value_by_key.get(key).cloned(), paused.position_ms),
            None => (self.0.rows.value(key), now_ms()),
        }
    }

    /// Sleeps for the delay of the statement's request class, if one is set.
    fn sleep_for_delay(&self, query: &str) {
        let class = comment_field(query, "c=").unwrap_or_default();
        let delay = lock(&self.0.behavior).delay_by_class.get(class).copied();
        delay.into_iter().for_each(thread::sleep);
    }

    /// Executes a statement and returns the messages that answer it.
    fn execute(&self, query: &str) -> Vec<u8> {
        let primary = lock(&self.0.behavior).primary;
        if self.0.prints_statements {
            println!("{}: {query}", if primary { "primary" } else { "replica" });
        }
        let strings = quoted_strings(query);
        let (value, position) = self.value_and_position(strings.first().copied().unwrap_or_default());
        let answer = match strings[..] {
            _ if query == "SHOW usage" => usage_row(primary, position),
            [_, _, ..] if !primary => error_response("25006", "this is no primary"),
            [handle, blob, ..] => {
                let id = comment_field(query, "id=").unwrap_or_default();
                self.0.rows.write(handle, blob, id);
                text_row(blob)
            }
            [_] => text_row(&value.unwrap_or("(no such row)".into())),
            [] => error_response("42601", "not a statement that is known here"),
        };
        [answer, role_and_position(primary, position)].concat()
    }
}

impl DatabaseBehavior for Database {
    fn address(&self) -> SocketAddr {
        self.0.address
    }

    fn is_available(&self) -> bool {
        lock(&self.0.behavior).available
    }

    fn answer_pace(&self) -> Option<Pace> {
        lock(&self.0.behavior).answer_pace
    }

    fn statement_pace(&self) -> Option<Pace> {
        lock(&self.0.behavior).statement_pace
    }

    fn second_copy_delay(&self) -> Option<Duration> {
        lock(&self.0.behavior).second_copy_delay
    }

    fn wait_while_hung(&self) -> bool {
        let mut behavior = lock(&self.0.behavior);
        while behavior.hung && behavior.available {
            behavior = self.0.changed.wait(behavior).unwrap_or_else(|e| e.into_inner());
        }
        behavior.available
    }

    fn answer_statement(&self, query: &str) -> Option<Vec<u8>> {
        let number = self.0.statement_count.fetch_add(1, Ordering::Relaxed) + 1;
        let rejected_interval = lock(&self.0.behavior).rejected_interval;
        if rejected_interval.is_some_and(|interval| number.is_multiple_of(interval)) {
            return Some(error_response("53300", "the queue is full"));
        }
        self.sleep_for_delay(query);
        self.wait_while_hung().then(|| self.execute(query))
    }
}
