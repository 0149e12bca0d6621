//! Reads from copies at servers of other groups, and the selection of servers for background work.

use super::{AttemptId, Core, RequestPayload};
use crate::observe::{CopyLocator, ReadDescription};
use birchreach::{ClassId, Consistency, CopyCandidate, GroupId, Micros, ServerId};
use std::cell::RefCell;
use std::rc::Rc;

impl<P: RequestPayload> Core<P> {
    /// Returns the servers of other groups that may hold a copy of the requested data. The list is empty if no locator was added.
    pub(super) fn locate_copies(
        &self,
        now: Micros,
        class: ClassId,
        group: GroupId,
        payload: &P,
    ) -> Vec<CopyCandidate> {
        let mut candidates = Vec::new();
        for locator in &self.copy_locators {
            let consistency = self.classes.consistency(class);
            let read = ReadDescription { group, consistency, key: payload.key() };
            candidates.extend(locator.borrow_mut().locate_copies(now, &read));
        }
        candidates
    }

    /// Adds a subsystem that locates copies.
    pub(crate) fn add_copy_locator(&mut self, locator: Rc<RefCell<dyn CopyLocator>>) {
        self.copy_locators.push(locator);
    }

    /// Removes a subsystem that locates copies.
    pub(crate) fn remove_copy_locator(&mut self, locator: &Rc<RefCell<dyn CopyLocator>>) {
        self.copy_locators.retain(|known| !Rc::ptr_eq(known, locator));
    }

    /// Returns the position that a copy must have reached to answer this attempt; 0 if any copy may answer it.
    pub(crate) fn required_copy_position(&self, now: Micros, attempt: AttemptId) -> Micros {
        self.router.required_copy_position(now, attempt.request).unwrap_or(0).max(0)
    }

    /// Returns the server that the router currently allows for background work of a group, or `None` if it allows no server. With
    /// `yields_to_clients`, the work waits while clients use the capacity.
    pub(crate) fn background_candidate(
        &self,
        group: GroupId,
        write: bool,
        yields_to_clients: bool,
    ) -> Option<ServerId> {
        self.router.background_candidate(group, write, yields_to_clients)
    }

    /// Returns whether a server may be sent new work according to the endpoint list.
    pub(crate) fn accepts_work(&self, server: ServerId) -> bool {
        self.router.accepts_work(server)
    }

    /// Returns the consistency of each class, indexed by class number.
    pub(crate) fn consistencies(&self) -> Vec<Consistency> {
        self.classes.consistencies()
    }
}
