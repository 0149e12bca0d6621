//! The verdict: what is reported of the proxy as a whole, of each group and of each class of requests. Every protocol
//! answers from the same verdict.

use crate::labels::{Operation, Reason, State};
use crate::query::HealthQuery;
use crate::settings::{AggregationRule, HealthSettings, RequestClass, RequiredServer};
use crate::{GroupId, Micros, ServerId};

/// Something that a balancer may send work for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capability {
    /// Work may be sent.
    pub available: bool,
    /// Available, but not in all of its parts.
    pub partial: bool,
    /// Why it is available or not.
    pub reason: Reason,
    /// Since when it is reported as it is.
    pub since: Micros,
    /// The balancer weight in per cent; 0 only if it is unavailable.
    pub weight_percent: u8,
}

/// What is reported of one group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupVerdict {
    /// The group.
    pub group: GroupId,
    /// Its reads.
    pub read: Capability,
    /// Its writes.
    pub write: Capability,
    /// The server that last proved to be the primary.
    pub proven_primary: Option<ServerId>,
    /// When it did.
    pub proven_at: Option<Micros>,
    /// How many of its servers take work.
    pub accepting_servers: usize,
}

/// What is reported to balancers and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The state of the proxy as a whole.
    pub state: State,
    /// The proxy as a whole: the answer to a query without any field.
    pub overall: Capability,
    /// In ascending order of the groups' ids.
    pub groups: Vec<GroupVerdict>,
    /// The classes of requests that may be asked for.
    pub classes: Vec<RequestClass>,
    /// How groups are summed up for a class or an operation.
    pub aggregation: AggregationRule,
    /// When discovery last responded.
    pub discovery_responded_at: Option<Micros>,
    /// The proxy's pressure, smoothed, from 0 to 1.
    pub pressure: f64,
    /// Requests without an attempt in flight.
    pub queued: usize,
    /// Open requests.
    pub in_progress: usize,
    /// Connections from clients that the proxy can hold.
    pub client_capacity: usize,
    /// Entries of the endpoint list that were ignored because a table was full.
    pub ignored_servers: u64,
}

/// A change of the verdict, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The overall state changed.
    State {
        /// The state before.
        from: State,
        /// The state now.
        to: State,
        /// Why.
        reason: Reason,
    },
    /// A capability of a group became available or unavailable.
    Capability {
        /// The group.
        group: GroupId,
        /// Its reads or its writes.
        operation: Operation,
        /// Available now.
        available: bool,
        /// Why.
        reason: Reason,
    },
}

impl GroupVerdict {
    /// The capability for one operation.
    pub fn capability(&self, operation: Operation) -> Capability {
        match operation {
            Operation::Read => self.read,
            Operation::Write => self.write,
        }
    }

    /// Reads and writes together: available with either of them, partially without both.
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
    /// The verdict of a proxy that starts.
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

    /// The answer to a query; none if it names an unknown class or group, or an operation that isn't its class's.
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

    /// The operation that a class needs; none if there is no such class, or another operation is asked for.
    fn class_operation(&self, name: &str, asked: Option<Operation>) -> Option<Operation> {
        let class = self.classes.iter().find(|class| class.name == name)?;
        let operation = match class.needs {
            RequiredServer::Primary => Operation::Write,
            RequiredServer::AnyMember => Operation::Read,
        };
        asked.is_none_or(|asked| asked == operation).then_some(operation)
    }

    /// An operation over all groups; its weight is in proportion to the groups that are available.
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
        // The reason is the most severe one among the unavailable groups, or among all if all are available.
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

    /// The overall weight, reduced to the fraction of groups that are available, and 1 at least.
    fn proportional_weight(&self, available: usize, total: usize) -> u8 {
        let fraction = if total == 0 { 0.0 } else { available as f64 / total as f64 };
        (f64::from(self.overall.weight_percent) * fraction).round().max(1.0) as u8
    }
}
