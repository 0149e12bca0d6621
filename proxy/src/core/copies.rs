//! Reads from copies that servers of other groups hold, and what background work asks of the router.

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

    /// Adds a subsystem that knows of copies.
    pub fn add_copy_locator(&mut self, locator: Rc<RefCell<dyn CopyLocator>>) {
        self.copy_locators.push(locator);
    }

    /// Removes it again.
    pub fn remove_copy_locator(&mut self, locator: &Rc<RefCell<dyn CopyLocator>>) {
        self.copy_locators.retain(|known| !Rc::ptr_eq(known, locator));
    }

    /// The position that a copy has to have reached to answer this attempt; 0 where any copy may.
    pub fn required_copy_position(&self, now: Micros, attempt: AttemptId) -> Micros {
        self.router.required_copy_position(now, attempt.request).unwrap_or(0).max(0)
    }

    /// The server that background work for a group may use now, by the router's decision.
    pub fn background_candidate(&self, group: GroupId, write: bool, yields: bool) -> Option<ServerId> {
        self.router.background_candidate(group, write, yields)
    }

    /// Consistency of each class, by the number of the class.
    pub fn consistencies(&self) -> Vec<Consistency> {
        self.classes.consistencies()
    }
}
