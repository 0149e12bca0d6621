//! Clients under a lack of memory: whose input waits, and who gives memory back.
//!
//! A message that is longer than what every client is guaranteed is read only once memory for the rest of it is promised, so that
//! every message whose reading has gone on can be completed.

use super::super::event_loop_context::EventLoopContext;
use super::Clients;
use super::client::Client;
use super::close_reason::ClientCloseReason;
use super::turn::MAX_READ_BYTES;
use crate::core::ClientKey;
use crate::memory::MemoryBudget;
use birchreach::Micros;

/// How long a client's input may wait for memory before its request is rejected. A request that waits longer would get its
/// answer too late.
const MAX_MEMORY_WAIT_MICROS: Micros = 1_000_000;
/// A client that sends nothing for this time can lose its incomplete message to others that wait for memory.
const STALLED_MESSAGE_MICROS: Micros = 250_000;

/// A client that reads none of its answers for this time loses them if others wait for memory: the longest deadline that the
/// platform counts.
const UNREAD_ANSWER_MICROS: Micros = 3_000_000;

/// A client's share of the memory for input.
#[derive(Debug, Default)]
pub(super) struct InputMemory {
    /// Bytes of the incomplete message that have not arrived and for which memory is promised.
    promised: usize,
    /// Since when input waits for memory; `None` if it does not.
    awaited_since: Option<Micros>,
    /// Whether the client is in the queue of those whose input waits.
    is_queued: bool,
}

impl InputMemory {
    /// Returns whether input waits for memory.
    pub(super) fn is_awaited(&self) -> bool {
        self.awaited_since.is_some()
    }

    /// Gives back the promise for bytes that have arrived.
    pub(super) fn release(&mut self, memory: &mut MemoryBudget, bytes: usize) {
        let released = bytes.min(self.promised);
        self.promised -= released;
        memory.release_promise(released);
    }

    /// Gives back the promise for bytes that will not arrive, and ends the wait.
    pub(super) fn release_all(&mut self, memory: &mut MemoryBudget) {
        self.release(memory, usize::MAX);
        self.awaited_since = None;
    }
}

impl Client {
    /// Returns how many bytes may be read now: none if no input is wanted, or if there is no memory for it.
    pub(super) fn read_limit(&mut self, memory: &mut MemoryBudget) -> usize {
        if self.closing.is_some() || !self.protocol.wants_input() {
            return 0;
        }
        let guaranteed = memory.guaranteed_read_bytes(self.protocol.unread_bytes());
        let missing = self.protocol.missing_message_bytes();
        if missing > guaranteed && self.input_memory.promised < missing {
            let additional = missing - self.input_memory.promised;
            if !memory.promise(additional) {
                return guaranteed;
            }
            self.input_memory.promised = missing;
        }
        guaranteed.max(missing).max(memory.free_read_bytes()).min(MAX_READ_BYTES)
    }

    /// Records at the end of a turn whether input waits for memory. The wait begins again when some of it was read. Gives the
    /// promise back if it is not needed any more.
    pub(super) fn update_input_memory(&mut self, context: &mut EventLoopContext) {
        if self.protocol.missing_message_bytes() == 0 {
            self.input_memory.release(&mut context.memory, usize::MAX);
        }
        let wants_input =
            self.closing.is_none() && self.open_request.is_none() && self.protocol.wants_input();
        let waits = wants_input
            && self.protocol.missing_message_bytes() > 0
            && self.read_limit(&mut context.memory) == 0;
        let began = self.input_memory.awaited_since.filter(|_| self.last_active_at < context.now);
        self.input_memory.awaited_since = waits.then(|| began.unwrap_or(context.now));
    }

    /// Returns the bytes that the client holds or is promised for an incomplete message, times the time since it last sent
    /// anything. `None` if it has no such message, or goes on sending it. If `at_once` is true, that does not matter.
    fn reclaim_rank(&self, now: Micros, memory: &MemoryBudget, at_once: bool) -> Option<u128> {
        let has_message = self.closing.is_none()
            && self.open_request.is_none()
            && self.protocol.has_incomplete_message()
            && memory.guaranteed_read_bytes(self.protocol.unread_bytes()) == 0;
        let silent_for = now - self.last_active_at;
        let is_stalled = silent_for >= STALLED_MESSAGE_MICROS && !self.input_memory.is_awaited();
        if !has_message || !(is_stalled || at_once) {
            return None;
        }
        let held = self.protocol.input_bytes() + self.input_memory.promised;
        Some(held as u128 * u128::try_from(silent_for).ok()?.max(1))
    }

    /// Returns whether the client's input has waited for memory too long.
    fn waited_too_long(&self, now: Micros) -> bool {
        self.input_memory.awaited_since.is_some_and(|since| now - since >= MAX_MEMORY_WAIT_MICROS)
    }
}

impl Clients {
    /// Adds a client to the queue of those whose input waits for memory, if it does.
    pub(super) fn queue_for_memory(&mut self, key: ClientKey) {
        let Some(client) = self.connections.get_mut(key.0) else { return };
        if client.input_memory.is_awaited() && !client.input_memory.is_queued {
            client.input_memory.is_queued = true;
            self.awaiting_memory.push_back(key);
        }
    }

    /// Returns whether there is memory for the client that has waited longest.
    pub(super) fn can_continue_input(&self, memory: &MemoryBudget) -> bool {
        let Some(key) = self.awaiting_memory.front() else { return false };
        let waiting = self.connections.get(key.0).filter(|client| client.input_memory.is_queued);
        // An entry of a client that has gone is removed at once.
        waiting.is_none_or(|client| memory.can_promise(client.protocol.missing_message_bytes()))
    }

    /// Reads the input of clients that waited for memory, as long as there is some.
    pub(super) fn continue_input(&mut self, context: &mut EventLoopContext) {
        for _ in 0..self.awaiting_memory.len() {
            if !self.can_continue_input(&context.memory) {
                return;
            }
            let Some(key) = self.awaiting_memory.pop_front() else { return };
            if let Some(client) = self.connections.get_mut(key.0) {
                client.input_memory.is_queued = false;
                self.handle_ready(context, key);
            }
        }
    }

    /// Makes clients give memory back if others wait for it: those whose input has waited too long, and those that have stalled in
    /// a message, the one that holds most for longest first. They get an error, because their requests have not run.
    pub(crate) fn reclaim_memory(&mut self, context: &mut EventLoopContext) {
        let is_exhausted = context.memory.is_exhausted();
        if self.awaiting_memory.is_empty() && !is_exhausted {
            return;
        }
        let now = context.now;
        let waiting = self.connections.iter().filter(|(_, client)| client.waited_too_long(now));
        let waiting: Vec<ClientKey> = waiting.map(|(key, _)| ClientKey(key)).collect();
        waiting.into_iter().for_each(|key| self.reject_for_memory(context, key));
        self.close_unread(context);

        let ranked = self.connections.iter().filter_map(|(key, client)| {
            client.reclaim_rank(now, &context.memory, is_exhausted).map(|rank| (rank, ClientKey(key)))
        });
        let mut ranked: Vec<(u128, ClientKey)> = ranked.collect();
        ranked.sort_unstable_by(|first, second| second.cmp(first));
        for (_, key) in ranked {
            if context.memory.bytes_to_reclaim() == 0 {
                return;
            }
            self.reject_for_memory(context, key);
        }
    }

    /// Closes clients that have not read any of their answers for so long that the answers are late.
    fn close_unread(&mut self, context: &mut EventLoopContext) {
        let is_unread = |client: &Client| {
            !client.protocol.outbox.pending().is_empty()
                && context.now - client.last_active_at >= UNREAD_ANSWER_MICROS
        };
        let unread = self.connections.iter().filter(|(_, client)| is_unread(client));
        let unread: Vec<ClientKey> = unread.map(|(key, _)| ClientKey(key)).collect();
        unread.into_iter().for_each(|key| self.close(context, key, ClientCloseReason::Memory));
    }

    /// Rejects a client's incomplete message, because there is no memory for it.
    pub(super) fn reject_for_memory(&mut self, context: &mut EventLoopContext, key: ClientKey) {
        self.reject(context, key, ClientCloseReason::Memory);
    }
}
