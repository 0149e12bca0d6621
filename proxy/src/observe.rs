//! Observers of the core: subsystems beside the routing decisions that learn what happens to servers and requests.
//!
//! An observer answers nothing and changes nothing in the core, and does not know the others. Another subsystem implements
//! [`Observer`] and is added by its driver; the core does not change.

use crate::reply::{Reply, Value};
use birchreach::{ClassId, Consistency, CopyCandidate, GroupId, Micros, ServerId};
use std::cell::RefCell;
use std::rc::Rc;

/// Something that happened in the core.
#[derive(Clone, Copy, Debug)]
pub enum CoreEvent<'a> {
    /// The endpoint list has a server, or changed its entry. `primary` is what the list says of its role, if anything.
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
    /// Discovery answered a call.
    DiscoveryAnswered,
    /// A read of a key was served by a member of its group.
    ReadServed { group: GroupId, class: ClassId, key: &'a [u8], value: &'a Value },
    /// A server of another group answered a read from its copy, whose position it stated, or had no copy that was new enough.
    CopyRead { group: GroupId, key: &'a [u8], server: ServerId, position: Option<Micros> },
}

/// A subsystem that learns what happens in the core.
pub trait Observer {
    /// Called for each event, in the order in which they happen.
    fn on_event(&mut self, now: Micros, event: CoreEvent<'_>);
}

/// A read that arrived, as a [`CopyLocator`] sees it.
#[derive(Clone, Copy, Debug)]
pub struct ReadDescription<'a> {
    /// The group that it addresses.
    pub group: GroupId,
    /// Which data it has to see.
    pub consistency: Consistency,
    /// The key that it reads.
    pub key: &'a [u8],
}

/// A subsystem that knows which servers of other groups may hold a copy of what is read. It names candidates; the router chooses,
/// and the copy proves its position in its reply.
pub trait CopyLocator {
    /// Candidates for a read.
    fn locate_copies(&mut self, now: Micros, read: &ReadDescription<'_>) -> Vec<CopyCandidate>;
}

/// An observer that its driver uses too. There is one thread, and no borrow is held across a call that notifies observers.
pub type Shared<T> = Rc<RefCell<T>>;

/// Makes an observer that its driver uses too.
pub fn shared<T>(observer: T) -> Shared<T> {
    Rc::new(RefCell::new(observer))
}

/// All observers, in the order in which they were added.
#[derive(Default)]
pub struct Observers(Vec<Rc<RefCell<dyn Observer>>>);

impl Observers {
    /// Adds an observer.
    pub fn add(&mut self, observer: Rc<RefCell<dyn Observer>>) {
        self.0.push(observer);
    }

    /// Removes an observer.
    pub fn remove(&mut self, observer: &Rc<RefCell<dyn Observer>>) {
        self.0.retain(|known| !Rc::ptr_eq(known, observer));
    }

    /// Whether there is any.
    pub fn any(&self) -> bool {
        !self.0.is_empty()
    }

    /// Tells all observers.
    pub fn notify(&self, now: Micros, event: CoreEvent) {
        for observer in &self.0 {
            observer.borrow_mut().on_event(now, event);
        }
    }
}

#[cfg(test)]
mod tests;
