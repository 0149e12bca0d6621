//! Formats events as JSON objects, for log collectors.

use serde::ser::{SerializeMap, Serializer};
use std::fmt::Debug;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::Level;
use tracing::field::{Field, Visit};

/// The initial capacity of the buffer for an object. Few objects are longer.
const OBJECT_CAPACITY_BYTES: usize = 256;

/// The serializer of the fields of an object in memory.
pub(super) type Json<'a> = JsonFields<<&'a mut serde_json::Serializer<Vec<u8>> as Serializer>::SerializeMap>;

/// Serializes fields of an event as entries of a JSON object.
pub(super) struct JsonFields<M>(M);

impl<M: SerializeMap> JsonFields<M> {
    pub(super) fn entry<T: serde::Serialize + ?Sized>(&mut self, name: &str, value: &T) {
        // Serializing to memory does not fail.
        let _ = self.0.serialize_entry(name, value);
    }
}

impl<M: SerializeMap> Visit for JsonFields<M> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.entry(field.name(), value);
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.entry(field.name(), &value);
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.entry(field.name(), &value);
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.entry(field.name(), &value);
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.entry(field.name(), &value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let text = format!("{value:?}");
        // `Quoted` adds quotes for key=value lines. JSON has its own, so that they are removed here.
        let is_quoted = text.len() > 1 && text.starts_with('"') && text.ends_with('"');
        if is_quoted && let Ok(serde_json::Value::String(unquoted)) = serde_json::from_str(&text) {
            self.entry(field.name(), &unquoted);
        } else {
            self.entry(field.name(), &text);
        }
    }
}

/// Appends an object with the time, the level and then the entries that `fields` adds.
pub(super) fn append_object(line: &mut String, level: Level, fields: impl FnOnce(&mut Json)) {
    let mut serializer = serde_json::Serializer::new(Vec::with_capacity(OBJECT_CAPACITY_BYTES));
    if let Ok(map) = serializer.serialize_map(None) {
        let mut map = JsonFields(map);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        map.entry("time_ms", &(unix.as_millis() as u64));
        map.entry("level", level.as_str());
        fields(&mut map);
        let _ = map.0.end();
    }
    line.push_str(&String::from_utf8_lossy(&serializer.into_inner()));
}
