//! Observers of the core: subsystems that are notified of what happens to servers and requests.
//!
//! An observer returns nothing to the core and changes nothing in it, and is independent of the other observers. A subsystem
//! implements [`Observer`] and is added by its driver; the core does not change.

use crate::reply::{Reply, Value};
use birchreach::{ClassId, Consistency, CopyCandidate, GroupId, Micros, ServerId};
use std::cell::RefCell;
use std::rc::Rc;

/// Something that happened in the core.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CoreEvent<'a> {
    /// The endpoint list has a server, or changed its entry. `primary`: whether it is a primary by the list, if the list names
    /// roles.
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
    /// An attempt or a health check of the router is sent.
    AttemptSent { server: ServerId },
    /// It ended. `write` is set for classes that only the primary serves.
    AttemptEnded { server: ServerId, uid: &'a str, write: bool, reply: &'a Reply },
    /// A health check ended that an observer requested.
    MonitorCheckEnded { server: ServerId, reply: &'a Reply },
    /// A connection was established, or a response has begun.
    ServerAlive { server: ServerId },
    /// A read got its final answer.
    ReadFinished { group: GroupId, served: bool },
    /// Writes without an attempt in flight: the group of each, and since when it has none.
    QueuedWrites { writes: &'a [(GroupId, Micros)] },
    /// Discovery answered a poll.
    DiscoveryAnswered,
    /// A read of a key was served by a member of its group.
    ReadServed { group: GroupId, class: ClassId, key: &'a [u8], value: &'a Value },
    /// A server of another group answered a read from its copy with this position, or had no copy that was recent enough.
    CopyRead { group: GroupId, key: &'a [u8], server: ServerId, position: Option<Micros> },
}

/// A subsystem that is notified of what happens in the core.
pub(crate) trait Observer {
    /// Called for each event, in the order in which they happen.
    fn on_event(&mut self, now: Micros, event: CoreEvent<'_>);
}

/// The part of a read that a [`CopyLocator`] needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadDescription<'a> {
    /// The group that it addresses.
    pub group: GroupId,
    /// Which data it has to see.
    pub consistency: Consistency,
    /// The key that it reads.
    pub key: &'a [u8],
}

/// A subsystem that locates copies of rows at servers of other groups. It returns candidates; the router selects one, and its reply
/// states the position of the copy.
pub(crate) trait CopyLocator {
    /// Candidates for a read.
    fn locate_copies(&mut self, now: Micros, read: &ReadDescription<'_>) -> Vec<CopyCandidate>;
}

/// An observer that its driver uses too. There is one thread, and no borrow is held across a call that notifies observers.
pub(crate) type Shared<T> = Rc<RefCell<T>>;

/// Makes an observer that its driver uses too.
pub(crate) fn shared<T>(observer: T) -> Shared<T> {
    Rc::new(RefCell::new(observer))
}

/// All observers, in the order in which they were added.
#[derive(Default)]
pub(crate) struct Observers(Vec<Rc<RefCell<dyn Observer>>>);

impl Observers {
    /// Adds an observer.
    pub(crate) fn add(&mut self, observer: Rc<RefCell<dyn Observer>>) {
        self.0.push(observer);
    }

    /// Removes an observer.
    pub(crate) fn remove(&mut self, observer: &Rc<RefCell<dyn Observer>>) {
        self.0.retain(|known| !Rc::ptr_eq(known, observer));
    }

    /// Whether there is any.
    pub(crate) fn has_any(&self) -> bool {
        !self.0.is_empty()
    }

    /// Notifies all observers.
    pub(crate) fn notify(&self, now: Micros, event: CoreEvent) {
        for observer in &self.0 {
            observer.borrow_mut().on_event(now, event);
        }
    }
}

#[cfg(test)]
mod tests;
