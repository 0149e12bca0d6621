//! Discovery's endpoint list. The names of its JSON are mapped to ours here and nowhere else.

use serde::Deserialize;

/// The state that the list gives a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It takes new work.
    Up,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is gone.
    Removed,
}

/// The role that the list gives a database, where it names one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum Access {
    /// A primary.
    Writer,
    /// A replica: each word but `writer`.
    Reader,
}

impl From<String> for Access {
    fn from(word: String) -> Access {
        if word == "writer" { Access::Writer } else { Access::Reader }
    }
}

/// A database on the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListedEndpoint {
    /// Its identity, which outlives an address.
    pub uid: String,
    /// Its address, `host:port`.
    #[serde(default)]
    pub endpoint: String,
    /// Its availability zone.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// The number of its group: one primary and its replicas.
    #[serde(default, rename = "pod_group")]
    pub group: u32,
    /// Whether it takes work.
    pub state: ListedState,
    /// Its capacity relative to the others.
    #[serde(default = "default_weight", rename = "capacity_hint")]
    pub weight: f64,
    /// Unix time of its last start in milliseconds; 0 if that was long ago.
    #[serde(default, rename = "boot_ms")]
    pub started_unix_ms: f64,
    /// Its role, where the list names roles.
    #[serde(default)]
    pub access: Option<Access>,
}

fn default_weight() -> f64 {
    1.0
}

impl ListedEndpoint {
    /// When it last started, in milliseconds of Unix time; none if that was long ago.
    pub fn started_ms(&self) -> Option<i64> {
        let started = self.started_unix_ms as i64;
        (started > 0).then_some(started)
    }

    /// Whether the list names it a primary; none where the list names no roles.
    pub fn is_primary(&self) -> Option<bool> {
        self.access.map(|access| access == Access::Writer)
    }
}

/// A response of discovery: changes to the list, or the complete list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointUpdate {
    /// The version of the list that this brings up to.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The list is complete: whoever it does not name has been removed.
    #[serde(rename = "all")]
    pub complete: bool,
    /// The databases that changed, or all of them.
    #[serde(rename = "targets")]
    pub endpoints: Vec<ListedEndpoint>,
}
