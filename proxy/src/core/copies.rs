//! Reads from copies that servers of other groups have, and the router's decisions for background work.

use super::{AttemptId, Core, RequestPayload};
use crate::observe::{CopyLocator, ReadDescription};
use birchreach::{ClassId, Consistency, CopyCandidate, GroupId, Micros, ServerId};
use std::cell::RefCell;
use std::rc::Rc;

impl<P: RequestPayload> Core<P> {
    /// Servers of other groups that may hold a copy of the requested data; none without locators.
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

    /// Removes such a subsystem.
    pub(crate) fn remove_copy_locator(&mut self, locator: &Rc<RefCell<dyn CopyLocator>>) {
        self.copy_locators.retain(|known| !Rc::ptr_eq(known, locator));
    }

    /// The position that a copy must have reached to answer this attempt; 0 if any copy may answer it.
    pub(crate) fn required_copy_position(&self, now: Micros, attempt: AttemptId) -> Micros {
        self.router.required_copy_position(now, attempt.request).unwrap_or(0).max(0)
    }

    /// The server that the router allows for background work of a group now. `yields`: the work waits while clients use the
    /// capacity.
    pub(crate) fn background_candidate(&self, group: GroupId, write: bool, yields: bool) -> Option<ServerId> {
        self.router.background_candidate(group, write, yields)
    }

    /// Consistency of each class, by the number of the class.
    pub(crate) fn consistencies(&self) -> Vec<Consistency> {
        self.classes.consistencies()
    }
}
