//! The rows of a group of databases.

use crate::lock;
use std::collections::HashMap;
use std::sync::Mutex;

/// The data that the databases of a group share: the rows, and how often the write of each request was executed.
#[derive(Default)]
pub struct Rows {
    value_by_key: Mutex<HashMap<String, String>>,
    executions_by_request: Mutex<HashMap<String, u32>>,
}

impl Rows {
    /// Number of requests whose write was executed at least once.
    pub fn write_count(&self) -> usize {
        lock(&self.executions_by_request).len()
    }

    /// Whether the write of the request with this id was executed.
    pub fn was_executed(&self, request_id: &str) -> bool {
        lock(&self.executions_by_request).contains_key(request_id)
    }

    /// Number of requests whose write was executed more than once.
    pub fn duplicate_count(&self) -> usize {
        lock(&self.executions_by_request).values().filter(|count| **count > 1).count()
    }

    /// Sets the value of a key, which may be longer than a client could write.
    pub fn set_value(&self, key: &str, value: String) {
        lock(&self.value_by_key).insert(key.into(), value);
    }

    /// The values that were last written to all keys.
    pub(crate) fn values(&self) -> HashMap<String, String> {
        lock(&self.value_by_key).clone()
    }

    /// The value that was last written to a key.
    pub(crate) fn value(&self, key: &str) -> Option<String> {
        lock(&self.value_by_key).get(key).cloned()
    }

    /// Executes a request's write and counts the execution.
    pub(crate) fn write(&self, key: &str, value: &str, request_id: &str) {
        lock(&self.value_by_key).insert(key.into(), value.into());
        *lock(&self.executions_by_request).entry(request_id.into()).or_default() += 1;
    }
}
