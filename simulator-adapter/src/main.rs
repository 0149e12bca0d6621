//! `birchreach-simulator-adapter`: hosts many routers behind the bench's wire and translates, nothing else.

mod wire;

use birchreach::{Action, Router};
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Read, Write};

fn main() {
    if let Err(message) = run(
        BufReader::with_capacity(1 << 16, io::stdin().lock()),
        BufWriter::with_capacity(1 << 16, io::stdout().lock()),
    ) {
        eprintln!("birchreach-simulator-adapter: {message}");
        std::process::exit(1);
    }
}

struct Instance {
    router: Router,
    settings: birchreach_settings::DeploymentSettings,
}

fn run(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut instances: BTreeMap<u16, Instance> = BTreeMap::new();
    let mut lists: BTreeMap<u16, Vec<wire::Entry>> = BTreeMap::new();
    let mut unknown_seen: BTreeMap<u16, ()> = BTreeMap::new();
    let mut actions: Vec<Action> = Vec::new();
    while let Some(batch) = wire::read_batch(&mut input)? {
        let now = wire::micros_down(batch.clock_ms);
        let mut reply = wire::Reply::new(batch.number);
        for index in 0..batch.records {
            let at = format!("batch {}, record {index}", batch.number);
            match batch.event(index, &lists, &instances).map_err(|e| format!("{at}: {e}"))? {
                wire::Incoming::List { bank, entries } => {
                    lists.insert(bank, entries);
                }
                wire::Incoming::Begin { router, seed, info } => match birchreach_settings::parse(&info) {
                    Ok(settings) => {
                        let made = Router::new(settings.routing.clone(), seed, now, &mut actions);
                        reply.actions(router, &mut actions);
                        let instance = Instance { router: made, settings };
                        instances.insert(router, instance);
                    }
                    Err(message) => {
                        instances.remove(&router);
                        reply.bail_out(router, &message);
                    }
                },
                wire::Incoming::Detach { router } => {
                    instances.remove(&router);
                    reply.forget(router);
                }
                wire::Incoming::Event { router, event } => {
                    if let Some(instance) = instances.get_mut(&router) {
                        instance.router.handle(now, event, &mut actions);
                        reply.actions(router, &mut actions);
                    }
                }
                wire::Incoming::Ignored => {}
                wire::Incoming::Unknown { code } => {
                    if unknown_seen.insert(code, ()).is_none() {
                        eprintln!("birchreach-simulator-adapter: {at}: unknown event code {code} skipped");
                    }
                }
            }
        }
        output
            .write_all(&reply.finish())
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing a reply: {e}"))?;
    }
    Ok(())
}
