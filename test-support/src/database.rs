//! A scripted database, primary or replica, which can be slow, hang (it accepts connections and answers nothing), go down
//! and come back. A group's databases share their rows, so replicas have every write at once.

use crate::database_server::{DatabaseBehavior, start_accepting};
use crate::groups::now_ms;
use crate::lock;
use crate::statement_text::{comment_field, quoted_strings};
use crate::wire::{error, role_and_position, row, usage_row};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// How a database behaves now.
#[derive(Clone, Debug)]
struct Behavior {
    /// Whether it accepts connections; otherwise they break.
    available: bool,
    /// Whether it leaves everything unanswered.
    hung: bool,
    primary: bool,
    /// How long statements of a request class take.
    delay_by_class: HashMap<String, Duration>,
}

/// What a group's databases share: the rows, and how often each request's write was executed.
#[derive(Default)]
pub struct Rows {
    value_by_key: Mutex<HashMap<String, String>>,
    executions_by_request: Mutex<HashMap<String, u32>>,
}

impl Rows {
    /// Requests whose write was executed.
    pub fn write_count(&self) -> usize {
        lock(&self.executions_by_request).len()
    }

    /// Requests whose write was executed more than once.
    pub fn duplicate_count(&self) -> usize {
        lock(&self.executions_by_request).values().filter(|count| **count > 1).count()
    }

    /// The last value that was written.
    fn value(&self, key: &str) -> Option<String> {
        lock(&self.value_by_key).get(key).cloned()
    }

    /// Executes a request's write and counts the execution.
    fn write(&self, key: &str, value: &str, request_id: &str) {
        lock(&self.value_by_key).insert(key.into(), value.into());
        *lock(&self.executions_by_request).entry(request_id.into()).or_default() += 1;
    }
}

struct Inner {
    address: SocketAddr,
    behavior: Mutex<Behavior>,
    changed: Condvar,
    rows: Arc<Rows>,
    statement_count: AtomicU64,
    /// Whether it prints each statement.
    prints_statements: bool,
}

/// A handle to a running database; its threads end with the test process.
#[derive(Clone)]
pub struct Database(Arc<Inner>);

impl Database {
    /// Starts a database; port 0 takes a free port.
    pub fn start(
        address: SocketAddr,
        primary: bool,
        rows: &Arc<Rows>,
        prints_statements: bool,
    ) -> io::Result<Database> {
        let listener = TcpListener::bind(address)?;
        let behavior =
            Mutex::new(Behavior { available: true, hung: false, primary, delay_by_class: HashMap::new() });
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Statements received so far, health checks included.
    pub fn statement_count(&self) -> u64 {
        self.0.statement_count.load(Ordering::Relaxed)
    }

    /// Changes the behavior and wakes the threads that wait for that.
    fn change_behavior(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut lock(&self.0.behavior));
        self.0.changed.notify_all();
    }

    /// Hung, it accepts connections and answers nothing.
    pub fn set_hung(&self, hung: bool) {
        self.change_behavior(|behavior| behavior.hung = hung);
    }

    /// Unavailable, its connections break and new ones are refused.
    pub fn set_available(&self, available: bool) {
        self.change_behavior(|behavior| behavior.available = available);
    }

    /// Whether it takes writes and reports to be the primary.
    pub fn set_primary(&self, primary: bool) {
        self.change_behavior(|behavior| behavior.primary = primary);
    }

    /// Sets how long statements of a request class take.
    pub fn set_delay(&self, class: &str, delay: Duration) {
        self.change_behavior(|behavior| {
            behavior.delay_by_class.insert(class.into(), delay);
        });
    }

    /// Sleeps for the time that statements of this class take.
    fn delay(&self, query: &str) {
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
        let now = now_ms();
        let answer = match quoted_strings(query)[..] {
            _ if query == "SHOW usage" => usage_row(primary, now),
            [_, _, ..] if !primary => error("25006", "this is no primary"),
            [handle, blob, ..] => {
                let id = comment_field(query, "id=").unwrap_or_default();
                self.0.rows.write(handle, blob, id);
                row(blob)
            }
            [handle] => row(&self.0.rows.value(handle).unwrap_or("(no such row)".into())),
            [] => error("42601", "not a statement that is known here"),
        };
        [answer, role_and_position(primary, now)].concat()
    }
}

impl DatabaseBehavior for Database {
    fn address(&self) -> SocketAddr {
        self.0.address
    }

    fn is_available(&self) -> bool {
        lock(&self.0.behavior).available
    }

    fn wait_while_hung(&self) -> bool {
        let mut behavior = lock(&self.0.behavior);
        while behavior.hung && behavior.available {
            behavior = self.0.changed.wait(behavior).unwrap_or_else(|e| e.into_inner());
        }
        behavior.available
    }

    fn answer_statement(&self, query: &str) -> Option<Vec<u8>> {
        self.0.statement_count.fetch_add(1, Ordering::Relaxed);
        self.delay(query);
        self.wait_while_hung().then(|| self.execute(query))
    }
}
