//! The verdict: the reported health of the entire proxy, of each group and of each class of requests. All protocols
//! answer from the same verdict.

use crate::labels::{Operation, Reason, State};
use crate::query::HealthQuery;
use crate::settings::{AggregationRule, HealthSettings, RequestClass, RequiredServer};
use crate::{GroupId, Micros, ServerId};

/// Whether the proxy can serve requests of one kind, and why. The kind is an operation on a group, a class of requests,
/// or all requests together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capability {
    /// True if balancers may send such requests to the proxy.
    pub available: bool,
    /// True if the capability is available, but not for all groups or operations that it covers.
    pub partial: bool,
    /// Why the capability is available or unavailable. If it is partial, why a part is unavailable.
    pub reason: Reason,
    /// When the reported availability last changed. For the overall capability, also when the state last changed.
    pub since: Micros,
    /// The balancer weight from 1 to 100, or 0 if the capability is unavailable.
    pub weight_percent: u8,
}

/// The reported health of one group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupVerdict {
    /// The group that the verdict is about.
    pub group: GroupId,
    /// Whether reads of this group can be served.
    pub read: Capability,
    /// Whether writes to this group can be served.
    pub write: Capability,
    /// The server that last reported that it is the primary. `None` without such a report, or if evidence contradicts
    /// it.
    pub proven_primary: Option<ServerId>,
    /// When `proven_primary` last reported its role.
    pub proven_at: Option<Micros>,
    /// The number of the group's servers that accept work.
    pub accepting_servers: usize,
}

/// The health that is reported to balancers and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The overall state of the proxy.
    pub state: State,
    /// The capability of the entire proxy, which answers a query without any field.
    pub overall: Capability,
    /// The groups, in ascending order of their ids.
    pub groups: Vec<GroupVerdict>,
    /// The classes of requests that balancers may ask for.
    pub classes: Vec<RequestClass>,
    /// How the groups are combined for a query about a class or an operation.
    pub aggregation: AggregationRule,
    /// When discovery last responded; `None` if it never did.
    pub discovery_responded_at: Option<Micros>,
    /// The proxy's smoothed pressure, from 0 to 1.
    pub pressure: f64,
    /// The number of open requests without an attempt in flight.
    pub queued: usize,
    /// The number of open requests.
    pub in_progress: usize,
    /// The number of client connections that the proxy can hold.
    pub client_capacity: usize,
    /// How many entries of the endpoint list were ignored because the table of servers or groups was full.
    pub ignored_servers: u64,
}

/// A change of the verdict, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The overall state changed.
    State {
        /// The state before the update of the verdict.
        from: State,
        /// The state after the update of the verdict.
        to: State,
        /// Why the proxy is in the new state.
        reason: Reason,
    },
    /// A capability of a group became available or unavailable.
    Capability {
        /// The group that the capability belongs to.
        group: GroupId,
        /// Whether the capability concerns reads or writes.
        operation: Operation,
        /// Whether balancers may now send such requests to the proxy.
        available: bool,
        /// Why the capability is available or unavailable now.
        reason: Reason,
    },
}

impl GroupVerdict {
    /// Returns the capability for one operation.
    pub fn capability(&self, operation: Operation) -> Capability {
        match operation {
            Operation::Read => self.read,
            Operation::Write => self.write,
        }
    }

    /// Combines reads and writes. The result is available if either of them is, and partial if only one of them is.
    fn combined(&self) -> Capability {
        let (read, write) = (self.read, self.write);
        match (read.available, write.available) {
            (true, true) | (false, false) => read,
            (true, false) => Capability { partial: true, reason: write.reason, since: write.since, ..read },
            (false, true) => Capability { partial: true, reason: read.reason, since: read.since, ..write },
        }
    }
}

impl Verdict {
    /// Creates the verdict of a proxy that starts now.
    pub(crate) fn new(now: Micros, settings: &HealthSettings) -> Verdict {
        Verdict {
            state: State::Starting,
            overall: Capability {
                available: false,
                partial: false,
                reason: Reason::Starting,
                since: now,
                weight_percent: 0,
            },
            groups: Vec::new(),
            classes: settings.classes.clone(),
            aggregation: settings.aggregation,
            discovery_responded_at: None,
            pressure: 0.0,
            queued: 0,
            in_progress: 0,
            client_capacity: 0,
            ignored_servers: 0,
        }
    }

    /// Returns the capability that a query selects. `None` if the query names an unknown class or group, or an
    /// operation other than that of the class.
    pub fn capability(&self, query: &HealthQuery) -> Option<Capability> {
        let operation = match &query.class {
            None => query.operation,
            Some(name) => Some(self.class_operation(name, query.operation)?),
        };
        match (query.group, operation) {
            (None, None) => Some(self.overall),
            (None, Some(operation)) => Some(self.aggregate(operation)),
            (Some(id), operation) => {
                let index = self.groups.binary_search_by_key(&id, |group| group.group).ok()?;
                let group = &self.groups[index];
                Some(operation.map_or_else(|| group.combined(), |operation| group.capability(operation)))
            }
        }
    }

    /// Returns the operation that a class needs. `None` if the class is unknown or the query asks for another
    /// operation.
    fn class_operation(&self, name: &str, asked: Option<Operation>) -> Option<Operation> {
        let class = self.classes.iter().find(|class| class.name == name)?;
        let operation = match class.needs {
            RequiredServer::Primary => Operation::Write,
            RequiredServer::AnyMember => Operation::Read,
        };
        asked.is_none_or(|asked| asked == operation).then_some(operation)
    }

    /// Combines an operation over all groups. The weight is proportional to the number of groups with the operation
    /// available.
    fn aggregate(&self, operation: Operation) -> Capability {
        if !self.overall.available {
            return Capability { weight_percent: 0, ..self.overall };
        }
        let parts = || self.groups.iter().map(|group| group.capability(operation));
        let total = self.groups.len();
        let available = parts().filter(|part| part.available).count();
        let enough = match self.aggregation {
            AggregationRule::AnyGroup => available > 0,
            AggregationRule::AllGroups => available > 0 && available == total,
        };
        // The most severe reason of the unavailable groups is reported, or of all groups if all are available.
        let reported = || parts().filter(|part| available == total || !part.available);
        let reason = reported().map(|part| part.reason).max().unwrap_or(Reason::NoGroups);
        let since = reported().map(|part| part.since).max().unwrap_or(self.overall.since);
        Capability {
            available: enough,
            partial: enough && available < total,
            reason,
            since,
            weight_percent: if enough { self.proportional_weight(available, total) } else { 0 },
        }
    }

    /// Returns the overall weight multiplied by the fraction of available groups, but at least 1.
    fn proportional_weight(&self, available: usize, total: usize) -> u8 {
        let fraction = if total == 0 { 0.0 } else { available as f64 / total as f64 };
        (f64::from(self.overall.weight_percent) * fraction).round().max(1.0) as u8
    }
}
