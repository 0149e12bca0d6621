//! Addition, notification and removal of observers.

use super::*;

#[derive(Default)]
struct Recorder {
    events_at: Vec<Micros>,
}

impl Observer for Recorder {
    fn on_event(&mut self, now: Micros, _: CoreEvent<'_>) {
        self.events_at.push(now);
    }
}

#[test]
fn observers_are_notified_until_they_are_removed() {
    // Given two observers, one of which is removed after the second event
    let (removed, stays) = (shared(Recorder::default()), shared(Recorder::default()));
    let mut observers = Observers::default();
    // When events happen before the observers are added, while both are added, and after one was removed
    observers.notify(1, CoreEvent::DiscoveryAnswered);
    observers.add(removed.clone());
    observers.add(stays.clone());
    observers.notify(2, CoreEvent::DiscoveryAnswered);
    observers.remove(&(removed.clone() as Rc<RefCell<dyn Observer>>));
    observers.notify(3, CoreEvent::DiscoveryAnswered);
    // Then each observer was notified of exactly the events between its addition and its removal
    assert_eq!(removed.borrow().events_at, [2]);
    assert_eq!(stays.borrow().events_at, [2, 3]);
}
