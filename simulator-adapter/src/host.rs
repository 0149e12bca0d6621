//! Hosts the routers that the simulator has started.

use crate::wire::{
    Batch, DecodedRecord, EndpointListId, EndpointRecord, FrameError, Reply, RouterId, micros_rounded_down,
};
use birchreach::{Action, Event, Micros, Router};
use birchreach_settings::DeploymentSettings;
use std::collections::{BTreeMap, BTreeSet};

/// A running router and the settings that it was started with.
pub(crate) struct RouterInstance {
    router: Router,
    /// These settings determine the meaning of some fields of load reports and requests.
    pub settings: DeploymentSettings,
}

/// The running routers, and the endpoint lists that records refer to by number.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<RouterId, RouterInstance>,
    endpoint_lists: BTreeMap<EndpointListId, Vec<EndpointRecord>>,
    /// Unknown event codes that have been reported on standard error.
    reported_codes: BTreeSet<u16>,
    /// The actions of the current event. The buffer is reused for each event.
    actions: Vec<Action>,
}

impl Host {
    /// Processes the records of a batch in order.
    ///
    /// # Errors
    /// Returns an error if a record cannot be decoded.
    pub(crate) fn handle(&mut self, batch: &Batch) -> Result<Reply, FrameError> {
        let now = micros_rounded_down(batch.clock_ms);
        let mut reply = Reply::new(batch.number);
        for index in 0..batch.record_count {
            let decoded = batch.decode_record(index, &self.endpoint_lists, &self.instances);
            let record = decoded.map_err(|error| error.in_record(batch.number, index))?;
            self.handle_record(now, record, &mut reply, batch.number, index);
        }
        Ok(reply)
    }

    fn handle_record(
        &mut self,
        now: Micros,
        record: DecodedRecord,
        reply: &mut Reply,
        batch_number: u32,
        index: usize,
    ) {
        match record {
            DecodedRecord::DefineEndpointList { list, endpoints } => {
                self.endpoint_lists.insert(list, endpoints);
            }
            DecodedRecord::Start { router, seed, settings } => {
                self.start(now, router, seed, &settings, reply)
            }
            DecodedRecord::Stop { router } => {
                self.instances.remove(&router);
                reply.discard_actions(router);
            }
            DecodedRecord::Event { router, event } => self.handle_event(now, router, event, reply),
            DecodedRecord::Ignored => {}
            DecodedRecord::Unknown { code } => {
                if self.reported_codes.insert(code) {
                    eprintln!(
                        "birchreach-simulator-adapter: batch {batch_number}, record {index}: \
                         skipped unknown event code {code}; its further records are skipped without a message"
                    );
                }
            }
        }
    }

    /// Starts a router, and replaces the running router with the same number, if any.
    fn start(&mut self, now: Micros, id: RouterId, seed: u64, settings: &str, reply: &mut Reply) {
        match birchreach_settings::parse(settings) {
            Ok(settings) => {
                let router = Router::new(settings.routing.clone(), seed, now, &mut self.actions);
                reply.push_actions(id, &mut self.actions);
                self.instances.insert(id, RouterInstance { router, settings });
            }
            Err(error) => {
                self.instances.remove(&id);
                reply.push_start_failure(id, &error.to_string());
            }
        }
    }

    /// Passes an event to its router. An event for a router that is not running is ignored.
    fn handle_event(&mut self, now: Micros, id: RouterId, event: Event, reply: &mut Reply) {
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.router.handle(now, event, &mut self.actions);
            reply.push_actions(id, &mut self.actions);
        }
    }
}
