//! The handover of clients to another process, and their closing in a graceful shutdown.

use super::super::event_loop_context::EventLoopContext;
use super::super::test_hooks::{self, StopPoint};
use super::Clients;
use super::close_reason::ClientCloseReason;
use crate::core::ClientKey;

impl Clients {
    /// Stops accepting clients: another process has the listening socket too, and accepts those that wait. Each connected client
    /// is closed after its next answer, so that it reconnects to the other process.
    pub(crate) fn start_handover(&mut self, context: &mut EventLoopContext) {
        self.close_listener(context);
        self.handing_over = true;
    }

    /// Accepts waiting connections, reads the input that has arrived, and then stops reading. Closes each connection once that
    /// input is answered. A client that keeps sending commands would otherwise have one unanswered when the process is killed.
    pub(crate) fn shut_down(&mut self, context: &mut EventLoopContext) {
        test_hooks::stop_process_at(StopPoint::CloseIdleClients);
        self.accept_pending = true;
        self.accept_paused = false;
        while self.can_accept() {
            self.accept(context);
        }
        self.close_listener(context);
        self.shutting_down = true;
        let keys: Vec<ClientKey> = self.connections.iter().map(|(key, _)| ClientKey(key)).collect();
        for key in keys {
            self.handle_ready(context, key);
            let Some(client) = self.connections.get_mut(key.0) else { continue };
            client.protocol.stop_reading();
            if client.protocol.is_in_startup() {
                self.close(context, key, ClientCloseReason::Stopping);
            } else {
                self.process_client(context, key);
            }
        }
    }

    /// Closes this process's listener. Does nothing if it is already closed.
    fn close_listener(&mut self, context: &mut EventLoopContext) {
        if let Some(mut listener) = self.listener.take() {
            let _ = context.poll.registry().deregister(&mut listener);
        }
    }
}
