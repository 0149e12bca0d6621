//! The types that pass between the caller and the router: settings, events, actions.
//!
//! All times are in microseconds. An instant is counted on the caller's clock, which may start anywhere and never goes
//! back. A log position is an instant too: the time up to which a server has applied every commit.

mod events;
mod settings;

pub use events::*;
pub use settings::*;

/// A time span, or an instant on the caller's clock, in microseconds.
pub type Micros = i64;

/// Id of a client request; never reused by a router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// Id of a server; it stays the same when the server's process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
/// Id of a replication group: a primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u32);
/// Id of a zone in which servers and proxies run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);
/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

impl ClassId {
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);
/// Id of a client session, whose reads have to see its writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);
/// Number of an attempt within its request: 0, 1, 2, ... in the order of the [`Action::Send`]s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u16);
