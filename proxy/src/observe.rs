//! The one seam between the core and the subsystems beside the decisions: what happens to servers and requests, told as it
//! happens to whoever listens. An observer learns; it answers nothing, changes nothing here, and no other one knows of it.
//! Another subsystem implements [`Observer`] and is added by its driver; no line of the core or of the others changes.

use crate::reply::{Reply, Value};
use birchreach::{ClassId, Consistency, CopyCandidate, GroupId, Micros, ServerId};
use std::cell::RefCell;
use std::rc::Rc;

/// Something that happened.
#[derive(Clone, Copy, Debug)]
pub enum CoreEvent<'a> {
    /// The list has a server, or says something else of it. `primary`: what it says of its role, if it does.
    Listed {
        server: ServerId,
        uid: &'a str,
        group: GroupId,
        primary: Option<bool>,
        up: bool,
        started_ms: u64,
    },
    /// The list has it no more.
    Unlisted { server: ServerId, uid: &'a str },
    /// An attempt, or a probe of the decisions, goes out.
    AttemptSent { server: ServerId },
    /// It came to this. `write`: of a class for the primary alone.
    AttemptEnded { server: ServerId, uid: &'a str, write: bool, reply: &'a Reply },
    /// A probe came back that an observer asked for, and the decisions did not.
    MonitorCheckEnded { server: ServerId, reply: &'a Reply },
    /// A connection came up, or an answer has begun.
    ServerAlive { server: ServerId },
    /// A read of a group had its final answer.
    ReadFinished { group: GroupId, served: bool },
    /// The writes that have no attempt out, each with its group and since when.
    QueuedWrites { writes: &'a [(GroupId, Micros)] },
    /// Discovery has answered.
    DiscoveryAnswered,
    /// A read of a key was served by a member of its group.
    ReadServed { group: GroupId, class: ClassId, key: &'a [u8], value: &'a Value },
    /// A server of another group answered a read from its copy, with the copy's position; or it had none that was new enough.
    CopyRead { group: GroupId, key: &'a [u8], server: ServerId, position: Option<Micros> },
}

/// Whoever listens.
pub trait Observer {
    fn on_event(&mut self, now: Micros, seen: CoreEvent<'_>);
}

/// A read that has come, as an adviser sees it.
#[derive(Clone, Copy, Debug)]
pub struct ReadDescription<'a> {
    pub group: GroupId,
    pub consistency: Consistency,
    pub key: &'a [u8],
}

/// Whoever knows of servers of other groups that may have a copy of what is asked for. It names candidates; the decisions choose,
/// and the copy proves itself.
pub trait CopyLocator {
    fn locate_copies(&mut self, now: Micros, asked: &ReadDescription<'_>) -> Vec<CopyCandidate>;
}

/// An observer that its driver holds too. One thread, and never lent out across a call that tells: the loop is its owner.
pub type Shared<T> = Rc<RefCell<T>>;

pub fn shared<T>(observer: T) -> Shared<T> {
    Rc::new(RefCell::new(observer))
}

/// All that listen, in the order in which they came.
#[derive(Default)]
pub struct Observers(Vec<Rc<RefCell<dyn Observer>>>);

impl Observers {
    pub fn add(&mut self, observer: Rc<RefCell<dyn Observer>>) {
        self.0.push(observer);
    }

    /// It hears no more.
    pub fn remove(&mut self, observer: &Rc<RefCell<dyn Observer>>) {
        self.0.retain(|known| !Rc::ptr_eq(known, observer));
    }

    /// Somebody listens.
    pub fn any(&self) -> bool {
        !self.0.is_empty()
    }

    pub fn notify(&self, now: Micros, seen: CoreEvent) {
        for observer in &self.0 {
            observer.borrow_mut().on_event(now, seen);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Default)]
    struct Ear(Vec<Micros>);

    impl Observer for Ear {
        fn on_event(&mut self, now: Micros, _: CoreEvent<'_>) {
            self.0.push(now);
        }
    }

    #[test]
    fn all_that_listen_hear_and_who_left_does_not() {
        let (a, b) = (shared(Ear::default()), shared(Ear::default()));
        let mut all = Observers::default();
        all.notify(1, CoreEvent::DiscoveryAnswered);
        all.add(a.clone());
        all.add(b.clone());
        all.notify(2, CoreEvent::DiscoveryAnswered);
        all.remove(&(a.clone() as Rc<RefCell<dyn Observer>>));
        all.notify(3, CoreEvent::DiscoveryAnswered);
        assert_eq!((a.borrow().0.clone(), b.borrow().0.clone()), (vec![2], vec![2, 3]));
    }
}
