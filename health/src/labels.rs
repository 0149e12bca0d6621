//! The labels that balancers, operators and log lines see, one table for each set. Programs depend on the labels, which
//! therefore never change. The variants use the terms of the code.

use serde::{Serialize, Serializer};
use std::fmt;

/// Defines an enum and the label of each variant. `Display` and JSON write the label.
macro_rules! labels {
    ($(#[$doc:meta])* pub enum $type:ident {
        $($(#[$variant_doc:meta])* $variant:ident = $label:literal,)*
    }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $type {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $type {
            /// All variants in the order of their declaration.
            pub const ALL: &'static [$type] = &[$($type::$variant),*];

            /// Returns the label that protocols and log lines contain.
            pub fn as_str(self) -> &'static str {
                match self { $($type::$variant => $label),* }
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(self.as_str())
            }
        }
    };
}

labels! {
    /// The overall state of the proxy. If several states apply, the most significant one is reported.
    pub enum State {
        /// The proxy has no endpoint list yet, or waits for the process that it replaces.
        Starting = "starting",
        /// Every capability of every group is available.
        Ready = "ready",
        /// Some capability is unavailable, for a cause that other proxies see too.
        Degraded = "degraded",
        /// The proxy's pressure is above the overload limit.
        Overloaded = "overloaded",
        /// No group has a proven or trusted primary.
        NoPrimary = "no-primary",
        /// Neither discovery nor any database that the proxy tried responds.
        Isolated = "blind",
        /// The proxy takes no new work, because it shuts down or another process has taken over.
        Draining = "draining",
        /// An operator has taken the proxy out of rotation.
        Maintenance = "maintenance",
    }
}

labels! {
    /// Why a capability is available or unavailable, in ascending order of severity. If several reasons apply, the most
    /// severe one is reported.
    pub enum Reason {
        /// A response within the proof window proves that the capability is available.
        Proven = "proven",
        /// The endpoint list indicates that the capability is available, and no evidence contradicts it.
        Trusted = "trusted",
        /// The capability is available again, but not yet for long enough to be reported as available.
        Recovering = "recovering",
        /// Nothing was observed yet.
        Starting = "starting",
        /// No response within the proof window proves that the capability is available.
        Unproven = "unproven",
        /// The endpoint list names no primary, and no server has reported that it is the primary.
        NoPrimary = "no-primary",
        /// The primary is draining or removed, and no other server has reported since that it is the primary.
        PrimaryDrainingOrRemoved = "primary-left",
        /// The primary accepts connections but doesn't respond.
        PrimaryUnresponsive = "primary-silent",
        /// The primary refuses or resets every connection.
        PrimaryUnreachable = "primary-gone",
        /// The former primary reports that it is a replica.
        PrimaryDemoted = "primary-demoted",
        /// The primary responds, but not to writes.
        WritesUnanswered = "writes-unanswered",
        /// Writes are queued because no server accepts them.
        WritesQueued = "writes-held",
        /// The endpoint list names no server of the group that accepts work.
        NoMembers = "no-members",
        /// No server of the group responds.
        MembersUnresponsive = "members-silent",
        /// Nearly all reads are rejected or fail.
        ReadsFailing = "reads-failing",
        /// No group is known.
        NoGroups = "no-groups",
        /// The pressure is above the overload limit.
        Overloaded = "overloaded",
        /// Neither discovery nor any database that the proxy tried responds.
        Isolated = "blind",
        /// The process is shutting down.
        Draining = "draining",
        /// Another process has taken over.
        Replaced = "replaced",
        /// An operator has taken the proxy out of rotation.
        Maintenance = "maintenance",
    }
}

labels! {
    /// The kind of request that a capability concerns.
    pub enum Operation {
        /// Requests that any member of a group may serve.
        Read = "read",
        /// Requests that only a primary may serve.
        Write = "write",
    }
}

impl Reason {
    /// True if responses, or missing responses, contradict the endpoint list. A new endpoint list alone doesn't restore
    /// a capability that was withdrawn for such a reason.
    pub(crate) fn contradicts_endpoint_list(self) -> bool {
        matches!(
            self,
            Reason::PrimaryUnresponsive
                | Reason::PrimaryUnreachable
                | Reason::PrimaryDemoted
                | Reason::WritesUnanswered
                | Reason::WritesQueued
        )
    }

    /// True if the proxy leaves the rotation deliberately, and for longer than a fault usually lasts.
    pub(crate) fn is_planned(self) -> bool {
        matches!(self, Reason::Draining | Reason::Replaced | Reason::Maintenance)
    }
}
