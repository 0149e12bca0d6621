//! The routers that the simulator has started, by their number on the wire.

use crate::wire::{
    Batch, EndpointRecord, FrameError, Incoming, ListId, Reply, RouterId, micros_rounded_down,
};
use birchreach::{Action, Event, Micros, Router};
use birchreach_settings::DeploymentSettings;
use std::collections::{BTreeMap, BTreeSet};

/// A router and the settings that it was started with.
pub(crate) struct Instance {
    router: Router,
    /// They determine what the fields of load reports and requests mean.
    pub settings: DeploymentSettings,
}

/// All routers, and the endpoint lists that records refer to by number.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<RouterId, Instance>,
    lists: BTreeMap<ListId, Vec<EndpointRecord>>,
    /// Unknown event codes that were reported already.
    unknown_codes: BTreeSet<u16>,
    /// A buffer that every event reuses.
    actions: Vec<Action>,
}

impl Host {
    /// Processes the records of a batch in their order.
    ///
    /// # Errors
    /// A record that cannot be decoded.
    pub(crate) fn handle(&mut self, batch: &Batch) -> Result<Reply, FrameError> {
        let now = micros_rounded_down(batch.clock_ms);
        let mut reply = Reply::new(batch.number);
        for index in 0..batch.records {
            let decoded = batch.decode(index, &self.lists, &self.instances);
            let incoming = decoded.map_err(|error| error.in_record(batch.number, index))?;
            self.handle_record(now, incoming, &mut reply, batch.number, index);
        }
        Ok(reply)
    }

    /// Processes one record.
    fn handle_record(
        &mut self,
        now: Micros,
        incoming: Incoming,
        reply: &mut Reply,
        batch_number: u32,
        index: usize,
    ) {
        match incoming {
            Incoming::DefineList { list, endpoints } => {
                self.lists.insert(list, endpoints);
            }
            Incoming::Start { router, seed, settings } => self.start(now, router, seed, &settings, reply),
            Incoming::Stop { router } => {
                self.instances.remove(&router);
                reply.discard(router);
            }
            Incoming::Event { router, event } => self.handle_event(now, router, event, reply),
            Incoming::Ignored => {}
            Incoming::Unknown { code } => {
                if self.unknown_codes.insert(code) {
                    eprintln!(
                        "birchreach-simulator-adapter: batch {batch_number}, record {index}: unknown event code {code} skipped"
                    );
                }
            }
        }
    }

    /// Starts a router in place of the one before, if any.
    fn start(&mut self, now: Micros, id: RouterId, seed: u64, settings: &str, reply: &mut Reply) {
        match birchreach_settings::parse(settings) {
            Ok(settings) => {
                let router = Router::new(settings.routing.clone(), seed, now, &mut self.actions);
                reply.push_actions(id, &mut self.actions);
                self.instances.insert(id, Instance { router, settings });
            }
            Err(error) => {
                self.instances.remove(&id);
                reply.push_start_failure(id, &error.to_string());
            }
        }
    }

    /// Hands an event to its router, if that runs.
    fn handle_event(&mut self, now: Micros, id: RouterId, event: Event, reply: &mut Reply) {
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.router.handle(now, event, &mut self.actions);
            reply.push_actions(id, &mut self.actions);
        }
    }
}
