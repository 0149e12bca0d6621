//! Checks whether a new configuration can replace the running one, and which of its changes need a restart.

use super::Config;
use super::error::ConfigError;
use serde_json::Value;

/// The lists under `settings.extra` that have one entry for each class.
const PER_CLASS_LISTS: [&str; 2] = ["class_read", "max_age_ms"];

impl Config {
    /// Checks that another configuration can replace this one. The new one must have each key of the settings and
    /// limits of this one, including the keys that are optional at the start.
    pub(crate) fn validate_replacement(&self, new: &Config) -> Result<(), ConfigError> {
        if let Some(path) = first_missing_key(&self.limits_and_settings, &new.limits_and_settings, "") {
            return Err(ConfigError::MissingKey(path));
        }
        for key in PER_CLASS_LISTS {
            let list =
                new.limits_and_settings.pointer(&format!("/settings/extra/{key}")).and_then(Value::as_array);
            let classes = new.deployment.class_names.len();
            if let Some(entries) = list.map(Vec::len).filter(|entries| *entries != classes) {
                return Err(ConfigError::ClassListLengthMismatch { key, entries, classes });
            }
        }
        Ok(())
    }

    /// Returns the keys whose values another configuration changes and whose changes take effect only after a restart.
    /// The keys `known` and `seed` are not included, because they are used only at the start.
    pub(crate) fn changes_needing_restart(&self, new: &Config) -> Vec<&'static str> {
        let (old_options, new_options) = (&self.options, &new.options);
        let fleet = (&old_options.fleet, &self.fleet_keys) != (&new_options.fleet, &new.fleet_keys);
        let gossip =
            (&old_options.peer_state, &self.gossip_keys) != (&new_options.peer_state, &new.gossip_keys);
        let changes = [
            ("name", self.name != new.name),
            ("listen", self.listen_address != new.listen_address),
            ("operator", self.admin_address != new.admin_address),
            ("fleet", fleet),
            ("knowledge", gossip),
        ];
        changes.into_iter().filter_map(|(key, changed)| changed.then_some(key)).collect()
    }
}

/// Returns the path of the first key of `old` that is missing in `new` or has a value of another type. Lists can differ
/// in length, but each object of a new list must have the keys that all objects of the old list have.
fn first_missing_key(old: &Value, new: &Value, path: &str) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, value)| {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            match new.get(key) {
                None => Some(path),
                Some(new) => first_missing_key(value, new, &path),
            }
        }),
        (Value::Array(old), Value::Array(new)) => {
            let common = common_keys(old)?;
            let mut elements = new.iter().enumerate();
            elements.find_map(|(index, new)| first_missing_key(&common, new, &format!("{path}[{index}]")))
        }
        (Value::Null, _) => None,
        _ if std::mem::discriminant(old) == std::mem::discriminant(new) => None,
        _ => Some(path.to_string()),
    }
}

/// Returns the keys that all objects of a list have, with the values of the first object.
fn common_keys(list: &[Value]) -> Option<Value> {
    let objects: Vec<_> = list.iter().filter_map(Value::as_object).collect();
    let (first, rest) = objects.split_first()?;
    let common = first.iter().filter(|(key, _)| rest.iter().all(|object| object.contains_key(*key)));
    Some(common.map(|(key, value)| (key.clone(), value.clone())).collect())
}
