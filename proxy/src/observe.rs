//! Observers of the core: subsystems that are notified of events that concern servers and requests.
//!
//! An observer returns nothing to the core, changes nothing in the core, and is independent of other observers. A subsystem
//! implements [`Observer`] and is added by its driver, so that the core need not change.

use crate::reply::{Reply, Value};
use birchreach::{ClassId, Consistency, CopyCandidate, GroupId, Micros, ServerId};
use std::cell::RefCell;
use std::rc::Rc;

/// An event that the core passes to all observers. The references in it are valid only during [`Observer::on_event`].
#[derive(Clone, Copy, Debug)]
pub(crate) enum CoreEvent<'a> {
    /// The endpoint list contains a server, or changed the entry of the server. `primary` states whether the server is a primary
    /// according to the list; it is `None` if the list states no roles. `started_ms` is 0 if the list states no start time.
    Listed {
        server: ServerId,
        uid: &'a str,
        group: GroupId,
        primary: Option<bool>,
        up: bool,
        started_ms: u64,
    },
    /// A server was removed from the endpoint list.
    Unlisted { server: ServerId, uid: &'a str },
    /// An attempt is sent, or a health check whose result the router receives.
    AttemptSent { server: ServerId },
    /// An attempt ended, or a health check whose result the router receives. `write` is set for attempts of a class of writes.
    AttemptEnded { server: ServerId, uid: &'a str, write: bool, reply: &'a Reply },
    /// A health check that an observer requested ended.
    MonitorCheckEnded { server: ServerId, reply: &'a Reply },
    /// A connection to the server was established, or a response of the server began.
    ServerAlive { server: ServerId },
    /// A read got its final answer.
    ReadFinished { group: GroupId, served: bool },
    /// Reports the writes without an attempt in flight. Each element contains the group of a write, and the time since which the
    /// write has had no attempt in flight.
    QueuedWrites { writes: &'a [(GroupId, Micros)] },
    /// Discovery answered a poll.
    DiscoveryAnswered,
    /// A member of the group served a read of a key.
    ReadServed { group: GroupId, class: ClassId, key: &'a [u8], value: &'a Value },
    /// A server of another group answered a read. `position` is the position of the server's copy; it is `None` if the server had
    /// no copy that was recent enough.
    CopyRead { group: GroupId, key: &'a [u8], server: ServerId, position: Option<Micros> },
}

/// A subsystem that is notified of what happens in the core.
pub(crate) trait Observer {
    /// Handles an event. Called for each event, in the order in which the events happen.
    fn on_event(&mut self, now: Micros, event: CoreEvent<'_>);
}

/// The properties of a read that a [`CopyLocator`] needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadDescription<'a> {
    /// The group that holds the requested data.
    pub group: GroupId,
    /// The consistency that the read requires.
    pub consistency: Consistency,
    /// The key of the requested row.
    pub key: &'a [u8],
}

/// A subsystem that locates copies of rows at servers of other groups. It returns candidates, of which the router selects one.
/// The reply of the selected server states the position of its copy.
pub(crate) trait CopyLocator {
    /// Returns the servers that may hold a copy of the requested row.
    fn locate_copies(&mut self, now: Micros, read: &ReadDescription<'_>) -> Vec<CopyCandidate>;
}

/// An observer that its driver uses too. All of its users run on one thread, and no borrow is held across a call that notifies
/// observers.
pub(crate) type Shared<T> = Rc<RefCell<T>>;

/// Wraps an observer so that its driver can use it too.
pub(crate) fn shared<T>(observer: T) -> Shared<T> {
    Rc::new(RefCell::new(observer))
}

/// All observers, in the order in which they were added.
#[derive(Default)]
pub(crate) struct Observers(Vec<Rc<RefCell<dyn Observer>>>);

impl Observers {
    /// Adds an observer, which is notified after those that were added before.
    pub(crate) fn add(&mut self, observer: Rc<RefCell<dyn Observer>>) {
        self.0.push(observer);
    }

    /// Removes this instance of an observer. Does nothing if the instance was not added.
    pub(crate) fn remove(&mut self, observer: &Rc<RefCell<dyn Observer>>) {
        self.0.retain(|known| !Rc::ptr_eq(known, observer));
    }

    pub(crate) fn has_any(&self) -> bool {
        !self.0.is_empty()
    }

    /// Passes an event to each observer, in the order in which the observers were added.
    pub(crate) fn notify(&self, now: Micros, event: CoreEvent) {
        for observer in &self.0 {
            observer.borrow_mut().on_event(now, event);
        }
    }
}

#[cfg(test)]
mod tests;
