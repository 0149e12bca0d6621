//! What is told: the state of the whole, each group's capabilities, and the sums by class; the closed sets of words
//! for them. Owns no evidence; every protocol reads the same verdict.

use crate::settings::{AggregationRule, HealthSettings, RequestClass, RequiredServer};
use crate::{GroupId, Micros, ServerId};
use serde::Serialize;

/// How the whole is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It does not know its servers yet, or waits for the process that it replaces.
    Starting,
    Ready,
    /// Some capability is missing, by a cause that other proxies have too.
    Degraded,
    /// It has more to do than it can.
    Overloaded,
    /// No group has a primary that is proven or trusted.
    NoPrimary,
    /// Discovery and every database that was tried are unheard.
    Blind,
    /// It takes no new work: it stops, or another process has taken over.
    Draining,
    /// An operator has taken it out.
    Maintenance,
}

/// Why a capability is claimed or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Heard within the window.
    Proven,
    /// The list says so, and nothing speaks against it.
    Trusted,
    /// Able again, but not for long enough to be told.
    Recovering,
    Starting,
    /// Nothing within the window proves it.
    Unproven,
    /// The list names no primary, and none was heard.
    NoPrimary,
    /// The primary drains or has left, and none was heard since.
    PrimaryLeft,
    /// The primary takes connections and says nothing.
    PrimarySilent,
    /// No process listens at the primary, or it breaks every connection.
    PrimaryGone,
    /// The server that was the primary says that it is none.
    PrimaryDemoted,
    /// The primary answers, but no writes.
    WritesUnanswered,
    /// Writes are held for want of a server that takes them.
    WritesHeld,
    /// The list names no member that takes work.
    NoMembers,
    /// No member gives a sign of life.
    MembersSilent,
    /// Nearly all reads are refused or fail.
    ReadsFailing,
    /// No group is known.
    NoGroups,
    Overloaded,
    Blind,
    Draining,
    Replaced,
    Maintenance,
}

/// A word of one of the closed sets, as every protocol and log line writes it.
macro_rules! words {
    ($type:ident { $($variant:ident = $word:literal),* $(,)? }) => {
        impl $type {
            pub fn word(self) -> &'static str {
                match self { $($type::$variant => $word),* }
            }
            /// All of them, for the pages and their test.
            pub const ALL: &'static [$type] = &[$($type::$variant),*];
        }
        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str(self.word())
            }
        }
    };
}

words!(State {
    Starting = "starting",
    Ready = "ready",
    Degraded = "degraded",
    Overloaded = "overloaded",
    NoPrimary = "no-primary",
    Blind = "blind",
    Draining = "draining",
    Maintenance = "maintenance",
});
words!(Reason {
    Proven = "proven",
    Trusted = "trusted",
    Recovering = "recovering",
    Starting = "starting",
    Unproven = "unproven",
    NoPrimary = "no-primary",
    PrimaryLeft = "primary-left",
    PrimarySilent = "primary-silent",
    PrimaryGone = "primary-gone",
    PrimaryDemoted = "primary-demoted",
    WritesUnanswered = "writes-unanswered",
    WritesHeld = "writes-held",
    NoMembers = "no-members",
    MembersSilent = "members-silent",
    ReadsFailing = "reads-failing",
    NoGroups = "no-groups",
    Overloaded = "overloaded",
    Blind = "blind",
    Draining = "draining",
    Replaced = "replaced",
    Maintenance = "maintenance",
});
words!(Operation { Read = "read", Write = "write" });

/// Reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    Read,
    Write,
}

/// What a balancer asks for. All absent: the whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthQuery {
    pub class: Option<String>,
    pub group: Option<GroupId>,
    pub operation: Option<Operation>,
}

/// Something that a balancer may send work for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Capability {
    pub available: bool,
    /// Able, but not in all its parts.
    pub partial: bool,
    pub reason: Reason,
    /// Since when it is told as it is.
    pub since: Micros,
    /// In per cent; 0 only where it is not able.
    pub weight_percent: u8,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GroupVerdict {
    pub group: GroupId,
    pub read: Capability,
    pub write: Capability,
    /// Who gave the last proof of being the primary, and when.
    pub proven_primary: Option<ServerId>,
    pub proven_at: Option<Micros>,
    pub working_servers: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub state: State,
    /// The whole: what a balancer hears that asks for nothing special.
    pub overall: Capability,
    /// By number.
    pub groups: Vec<GroupVerdict>,
    pub classes: Vec<RequestClass>,
    pub aggregation: AggregationRule,
    pub discovery_heard_at: Option<Micros>,
    /// Smoothed, 0 to 1.
    pub pressure: f64,
    /// Requests without an attempt out.
    pub queued: usize,
    pub in_progress: usize,
    /// Places for clients.
    pub client_capacity: usize,
    /// Facts left out because a table was full.
    pub ignored_servers: u64,
}

/// A change of what is told, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    State { from: State, to: State, reason: Reason },
    Capability { group: GroupId, operation: Operation, available: bool, reason: Reason },
}

impl Verdict {
    pub(crate) fn new(now: Micros, s: &HealthSettings) -> Verdict {
        let whole = Capability {
            available: false,
            partial: false,
            reason: Reason::Starting,
            since: now,
            weight_percent: 0,
        };
        Verdict {
            state: State::Starting,
            overall: whole,
            groups: Vec::new(),
            classes: s.classes.clone(),
            aggregation: s.aggregation,
            discovery_heard_at: None,
            pressure: 0.0,
            queued: 0,
            in_progress: 0,
            client_capacity: 0,
            ignored_servers: 0,
        }
    }

    /// The answer to a question; none if it names what there is not.
    pub fn capability(&self, question: &HealthQuery) -> Option<Capability> {
        let kind = match &question.class {
            None => question.operation,
            Some(name) => {
                let class = self.classes.iter().find(|c| c.name == *name)?;
                let kind =
                    if class.needs == RequiredServer::Primary { Operation::Write } else { Operation::Read };
                if question.operation.is_some_and(|k| k != kind) {
                    return None;
                }
                Some(kind)
            }
        };
        match (question.group, kind) {
            (None, None) => Some(self.overall),
            (None, Some(kind)) => Some(self.sum(kind)),
            (Some(group), kind) => {
                let at = self.groups.binary_search_by_key(&group, |g| g.group).ok()?;
                let g = &self.groups[at];
                Some(match kind {
                    Some(Operation::Read) => g.read,
                    Some(Operation::Write) => g.write,
                    None => both(&g.read, &g.write),
                })
            }
        }
    }

    /// A capability over all groups; its weight is in proportion to those that are able.
    fn sum(&self, kind: Operation) -> Capability {
        if !self.overall.available {
            return Capability { weight_percent: 0, ..self.overall };
        }
        let of = |g: &GroupVerdict| if kind == Operation::Read { g.read } else { g.write };
        let able = self.groups.iter().filter(|g| of(g).available).count();
        let all = self.groups.len();
        let enough = match self.aggregation {
            AggregationRule::AnyGroup => able > 0,
            AggregationRule::AllGroups => able > 0 && able == all,
        };
        // What is told of the sum is the worst of its parts, or the least sure where all are able.
        let telling = self.groups.iter().map(of).filter(|c| able == all || !c.available);
        let reason = telling.clone().map(|c| c.reason).max().unwrap_or(Reason::NoGroups);
        let since = telling.map(|c| c.since).max().unwrap_or(self.overall.since);
        let share = if all == 0 { 0.0 } else { able as f64 / all as f64 };
        let weight =
            if enough { (f64::from(self.overall.weight_percent) * share).round().max(1.0) as u8 } else { 0 };
        Capability { available: enough, partial: enough && able < all, reason, since, weight_percent: weight }
    }
}

/// A group's reads and writes together: able with either, in part without both.
fn both(read: &Capability, write: &Capability) -> Capability {
    match (read.available, write.available) {
        (true, true) | (false, false) => *read,
        (true, false) => Capability { partial: true, reason: write.reason, since: write.since, ..*read },
        (false, true) => Capability { partial: true, reason: read.reason, since: read.since, ..*write },
    }
}
