//! Discovery's endpoint list. Only this module maps the names in discovery's JSON to those of this program.

use super::bounded_entries;
use serde::Deserialize;
use std::collections::HashMap;

/// The state of a database, as the list gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ListedState {
    /// The database accepts new requests.
    Up,
    /// The database completes its open requests and accepts no new ones.
    Draining,
    /// The database no longer exists.
    Removed,
}

/// The role of a database, as the list gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub(crate) enum Access {
    /// A primary, which the list calls `writer`.
    Writer,
    /// A replica. Any text other than `writer` means a replica.
    Reader,
}

impl From<String> for Access {
    fn from(text: String) -> Access {
        if text == "writer" { Access::Writer } else { Access::Reader }
    }
}

/// An entry of the list, which describes one database.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct ListedEndpoint {
    /// The unique ID of the database, which remains the same when the address changes.
    pub uid: String,
    /// The address as `host:port`. Empty if the entry has none.
    #[serde(default)]
    pub endpoint: String,
    /// The availability zone. Empty if the entry has none.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// The number of the database's group, which is a primary and its replicas.
    #[serde(default, rename = "pod_group")]
    pub group: u32,
    /// Whether the database accepts requests.
    pub state: ListedState,
    /// The capacity of the database, relative to the others.
    #[serde(default = "default_weight", rename = "capacity_hint")]
    pub weight: f64,
    /// Unix time of the database's last start in milliseconds. 0: the last start was long ago.
    #[serde(default, rename = "boot_ms")]
    pub started_unix_ms: f64,
    /// The role of the database. `None`: the list does not give roles.
    #[serde(default)]
    pub access: Option<Access>,
}

/// The weight of a database whose entry has none.
fn default_weight() -> f64 {
    1.0
}

impl ListedEndpoint {
    /// Returns the time of the last start, in milliseconds of Unix time. `None`: the last start was long ago.
    pub(crate) fn started_ms(&self) -> Option<i64> {
        let started = self.started_unix_ms as i64;
        (started > 0).then_some(started)
    }

    /// Whether the list gives the database the role of a primary. `None`: the list does not give roles.
    pub(crate) fn is_primary(&self) -> Option<bool> {
        self.access.map(|access| access == Access::Writer)
    }
}

/// The body of a response from discovery: changes to the list, or the complete list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct EndpointUpdate {
    /// The revision of the list after this update.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether the update is the complete list. Databases that are not on a complete list have been removed.
    #[serde(rename = "all")]
    pub complete: bool,
    /// The databases that have changed, or all databases if the list is complete.
    #[serde(rename = "targets", deserialize_with = "bounded_entries::deserialize")]
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    /// Finds the first entry that repeats the server of an earlier entry. If a server has several entries, the last one applies.
    pub(crate) fn first_duplicate(&self) -> Option<DuplicateEntry<'_>> {
        let mut first_entries = HashMap::with_capacity(self.endpoints.len());
        let mut found = None;
        for (entry, endpoint) in self.endpoints.iter().enumerate() {
            let uid = endpoint.uid.as_str();
            let first_entry = *first_entries.entry(uid).or_insert(entry);
            if first_entry != entry {
                found.get_or_insert(DuplicateEntry { uid, entry, first_entry, count: 0 }).count += 1;
            }
        }
        found
    }
}

/// An entry of the list for a server that already has an earlier entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DuplicateEntry<'a> {
    /// The unique ID of the server.
    pub uid: &'a str,
    /// The index of the repeated entry.
    pub entry: usize,
    /// The index of the server's first entry.
    pub first_entry: usize,
    /// The number of repeated entries in the list, for all servers.
    pub count: usize,
}
