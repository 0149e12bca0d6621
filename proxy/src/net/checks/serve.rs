//! A caller's turn: what it asks is read, and answered with the monitor's verdict of this moment.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream;
use super::{Caller, Machine};
use crate::health::Watch;
use crate::observe::Shared;
use birchreach::ServerId;
use birchreach_health::agent;
use birchreach_options::HealthOptions;
use std::net::Shutdown;

/// What is read of one at once.
const PIECE: usize = 8 << 10;

/// Whose verdict is told, where anything is.
type Watched<'a> = Option<&'a Shared<Watch>>;

pub(super) enum Serve {
    Over(&'static str),
    /// More than one turn takes.
    More,
    Waits,
}

pub(super) fn serve_http(context: &mut EventLoopContext, c: &mut Caller, watch: Watched) -> Serve {
    let Machine::Http(machine) = &mut c.machine else { return Serve::Waits };
    let before = (machine.requests_answered(), machine.output.len());
    let read = if machine.wants_input() {
        let most = PIECE.min(context.scratch.len());
        stream::read(&mut c.stream, &mut context.scratch[..most], |bytes| {
            machine.feed(bytes);
            machine.wants_input()
        })
    } else {
        Ok(false)
    };
    let now = context.now;
    let core = &context.core;
    let Some(watch) = watch else { return Serve::Over("off") };
    let name = |server: birchreach_health::ServerId| core.server_name(ServerId(server.0)).to_string();
    let all = machine.process(now, watch.borrow_mut().verdict(now), &name);
    let waiting = machine.output.len();
    let written = stream::write_some(&mut c.stream, &machine.output).map(|n| machine.output_written(n));
    // Bytes that make no call whole do not keep a caller: it could go on so for ever.
    if machine.requests_answered() > before.0 || machine.output.len() < waiting {
        c.active = now;
    }
    if machine.is_finished() {
        let _ = c.stream.shutdown(Shutdown::Write);
        return Serve::Over("answered");
    }
    match (read, written) {
        (_, Err(_)) | (Err(stream::Ended::Reset), _) => Serve::Over("reset"),
        (Err(stream::Ended::Closed), _) => {
            Serve::Over(if machine.has_partial_request() { "cut-short" } else { "closed" })
        }
        // The socket tells once it takes more; of what was not read, or not answered yet, nobody tells again.
        (Ok(drained), _) if (drained && all) || !machine.output.is_empty() => Serve::Waits,
        _ => Serve::More,
    }
}

pub(super) fn serve_grpc(context: &mut EventLoopContext, c: &mut Caller, watch: Watched) -> Serve {
    let Machine::Grpc(machine) = &mut c.machine else { return Serve::Waits };
    let before = machine.activity();
    let read = if machine.wants_input() {
        let most = PIECE.min(context.scratch.len());
        stream::read(&mut c.stream, &mut context.scratch[..most], |bytes| {
            machine.feed(bytes);
            machine.wants_input()
        })
    } else {
        Ok(false)
    };
    if read == Err(stream::Ended::Reset) {
        return Serve::Over("reset");
    }
    if read.is_err() {
        machine.input_ended();
    }
    let now = context.now;
    let Some(watch) = watch else { return Serve::Over("off") };
    let more = machine.process(watch.borrow_mut().verdict(now));
    let out = machine.take_output();
    let Ok(at) = stream::write_some(&mut c.stream, &out) else { return Serve::Over("reset") };
    machine.return_output(&out[at..]);
    if machine.activity() > before {
        c.active = now;
    }
    if machine.is_finished() {
        return Serve::Over("closed");
    }
    // What did not fit into the output before may now.
    let unread = matches!(read, Ok(false)) || more || !out.is_empty();
    if unread && !machine.has_output() { Serve::More } else { Serve::Waits }
}

pub(super) fn serve_agent(
    context: &mut EventLoopContext,
    c: &mut Caller,
    options: Option<&HealthOptions>,
    watch: Watched,
) -> Serve {
    let Machine::Agent(machine, reply) = &mut c.machine else { return Serve::Waits };
    let mut asked = None;
    let read = stream::read(&mut c.stream, &mut context.scratch, |bytes| {
        asked = asked.take().or_else(|| machine.feed(bytes));
        asked.is_none()
    });
    if reply.is_none() {
        if read == Err(stream::Ended::Closed) {
            asked = asked.or_else(|| machine.input_ended());
        }
        *reply = asked.map(|asked| say(context, &asked, options, watch));
    }
    let Some(bytes) = reply else {
        return if read.is_err() { Serve::Over("reset") } else { Serve::Waits };
    };
    match stream::write_some(&mut c.stream, bytes) {
        Err(_) => Serve::Over("reset"),
        Ok(n) if n < bytes.len() => {
            bytes.drain(..n);
            Serve::Waits
        }
        Ok(_) => {
            let _ = c.stream.shutdown(Shutdown::Write);
            Serve::Over("answered")
        }
    }
}

/// The reply to an agent-check.
pub(super) fn say(
    context: &mut EventLoopContext,
    asked: &agent::ParsedQuery,
    options: Option<&HealthOptions>,
    watch: Watched,
) -> Vec<u8> {
    let Some(watch) = watch else { return Vec::new() };
    let mut watch = watch.borrow_mut();
    let verdict = watch.verdict(context.now);
    let maxconn =
        options.and_then(|o| o.agent.as_ref()).filter(|a| a.reports_maxconn).map(|_| verdict.client_capacity);
    agent::reply(asked, verdict, maxconn).into_bytes()
}
