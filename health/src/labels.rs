//! The closed sets of labels that balancers, operators and log lines see, one table each. The labels are an interface
//! and keep their wording; the variants have the terms of the code.

use serde::{Serialize, Serializer};
use std::fmt;

/// Defines an enum together with the label of each variant, which is its `Display` and its JSON form.
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
            /// All variants in their order.
            pub const ALL: &'static [$type] = &[$($type::$variant),*];

            /// The label as every protocol and log line writes it.
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
    /// The state of the proxy as a whole.
    pub enum State {
        /// It has no endpoint list yet, or waits for the process that it replaces.
        Starting = "starting",
        /// Every capability of every group is available.
        Ready = "ready",
        /// Some capability is unavailable, for a cause that other proxies see too.
        Degraded = "degraded",
        /// Its pressure is above the overload limit.
        Overloaded = "overloaded",
        /// No group has a primary that is proven or trusted.
        NoPrimary = "no-primary",
        /// Neither discovery nor any database that was tried responds.
        Isolated = "blind",
        /// It takes no new work: it shuts down, or another process has taken over.
        Draining = "draining",
        /// An operator has taken it out of rotation.
        Maintenance = "maintenance",
    }
}

labels! {
    /// Why a capability is available or not. In ascending order of severity: of several, the greatest is reported.
    pub enum Reason {
        /// A response within the proof window shows it.
        Proven = "proven",
        /// The endpoint list says so, and no evidence contradicts it.
        Trusted = "trusted",
        /// Available again, but not yet for long enough to be reported.
        Recovering = "recovering",
        /// Nothing was observed yet.
        Starting = "starting",
        /// No response within the proof window shows it.
        Unproven = "unproven",
        /// The endpoint list names no primary, and no server has reported to be one.
        NoPrimary = "no-primary",
        /// The primary is draining or removed, and no other has reported since.
        PrimaryDrainingOrRemoved = "primary-left",
        /// The primary accepts connections but doesn't respond.
        PrimaryUnresponsive = "primary-silent",
        /// The primary refuses or resets every connection.
        PrimaryUnreachable = "primary-gone",
        /// The former primary reports that it is a replica.
        PrimaryDemoted = "primary-demoted",
        /// The primary responds, but not to writes.
        WritesUnanswered = "writes-unanswered",
        /// Writes are queued because no server takes them.
        WritesQueued = "writes-held",
        /// The endpoint list names no server of the group that takes work.
        NoMembers = "no-members",
        /// No server of the group responds.
        MembersUnresponsive = "members-silent",
        /// Nearly all reads are rejected or fail.
        ReadsFailing = "reads-failing",
        /// No group is known.
        NoGroups = "no-groups",
        /// The pressure is above the overload limit.
        Overloaded = "overloaded",
        /// Neither discovery nor any database that was tried responds.
        Isolated = "blind",
        /// The process shuts down.
        Draining = "draining",
        /// Another process has taken over.
        Replaced = "replaced",
        /// An operator has taken the proxy out of rotation.
        Maintenance = "maintenance",
    }
}

labels! {
    /// The operation that a capability is about.
    pub enum Operation {
        /// Reads.
        Read = "read",
        /// Writes.
        Write = "write",
    }
}

impl Reason {
    /// True where responses, or their absence, contradict the endpoint list. The list alone doesn't revoke such a
    /// reason.
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

    /// True where the proxy leaves the rotation deliberately, for longer than a fault would last.
    pub(crate) fn is_planned(self) -> bool {
        matches!(self, Reason::Draining | Reason::Replaced | Reason::Maintenance)
    }
}
