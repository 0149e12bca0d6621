//! Types exchanged between the caller and the router: settings, events and actions.
//!
//! All times are in microseconds. Instants refer to the caller's clock, which is monotonic and has an arbitrary origin.
//! A log position is also an instant: the time up to which a server has applied every commit.

mod events;
mod results;
mod settings;

pub use events::*;
pub use results::*;
pub use settings::*;

/// A time span, or an instant on the caller's clock, in microseconds.
pub type Micros = i64;

/// Id of a client request, unique over the lifetime of a router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// Id of a server, which does not change when the server's process restarts.
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
/// Id of a client session. Session reads have to see the writes of their session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);
/// Number of an attempt within its request, counted from 0 in the order of the [`Action::Send`]s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u16);
