//! Discovery's list of databases, as its JSON has it.

use serde::Deserialize;

/// What the list says of a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Up,
    Draining,
    Removed,
}

/// What the list says of a database's role, where it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum Access {
    Writer,
    Reader,
}

impl From<String> for Access {
    fn from(word: String) -> Access {
        if word == "writer" { Access::Writer } else { Access::Reader }
    }
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Target {
    pub uid: String,
    #[serde(default)]
    pub endpoint: String,
    #[serde(default, rename = "az")]
    pub zone: String,
    #[serde(default, rename = "pod_group")]
    pub group: u32,
    pub state: State,
    #[serde(default = "usual_weight", rename = "capacity_hint")]
    pub weight: f64,
    /// Unix time of the last start; 0 if that was long ago.
    #[serde(default)]
    pub boot_ms: f64,
    #[serde(default)]
    pub access: Option<Access>,
}

fn usual_weight() -> f64 {
    1.0
}

impl Target {
    /// When it last started, in milliseconds of Unix time; none if that was long ago.
    pub fn started_ms(&self) -> Option<i64> {
        let started = self.boot_ms as i64;
        (started > 0).then_some(started)
    }

    /// Whether the list names it a primary, if it tells of roles.
    pub fn primary(&self) -> Option<bool> {
        self.access.map(|access| access == Access::Writer)
    }
}

/// An answer: changes, or the whole list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Update {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}
