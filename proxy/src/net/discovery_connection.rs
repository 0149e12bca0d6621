//! The connection to discovery's agent, on which the watch is kept up.

use super::event_loop_context::EventLoopContext;
use super::sources::Source;
use super::stream::{self, Ended};
use super::timer_events::TimerEvent;
use crate::discovery::{
    Backoff, CONNECT_TIMEOUT_MICROS, EndpointUpdate, EndpointWatch, PollError, PollResponse,
    RESPONSE_TIMEOUT_MICROS,
};
use crate::log::Quoted;
use crate::outbox::Outbox;
use birchreach::{Micros, Settings};
use mio::Interest;
use mio::net::TcpStream;
use std::net::SocketAddr;
use tracing::info;

/// An agent that answers sooner than this with no news is not to be asked in a tight loop.
const TOO_SOON: Micros = 20_000;

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// None is out: the next one waits for its time.
    Waiting,
    Connecting,
    Called,
    /// Part of the answer has come.
    Answering,
}

/// What one look at the connection brought.
struct DiscoveryEvent {
    answer: Result<Option<PollResponse>, PollError>,
    ended: Option<Ended>,
}

pub struct DiscoveryConnection {
    address: SocketAddr,
    watch: EndpointWatch,
    stream: Option<TcpStream>,
    out: Outbox,
    called_at: Micros,
    /// The call that is out may wait for news.
    held: bool,
    stage: Stage,
    /// The system had no descriptor for a connection.
    starved: bool,
    /// Numbers the stages: the time-out of an earlier one means nothing.
    turn: u64,
    backoff: Backoff,
}

impl DiscoveryConnection {
    pub fn new(address: SocketAddr, rev: Option<u64>, settings: &Settings, seed: u64) -> DiscoveryConnection {
        DiscoveryConnection {
            address,
            watch: EndpointWatch::new(address.to_string(), rev),
            stream: None,
            out: Outbox::default(),
            called_at: 0,
            held: false,
            stage: Stage::Waiting,
            starved: false,
            turn: 0,
            backoff: Backoff::new(settings, seed),
        }
    }

    /// The first call; where proxies are many and share discovery, not with all the others that start now.
    pub fn start(&mut self, context: &mut EventLoopContext) {
        let wait = self.backoff.initial_wait();
        self.call_after(context, wait);
    }

    /// Other settings are in force from now on.
    pub fn settings(&mut self, settings: &Settings) {
        self.backoff.update_settings(settings);
    }

    /// Discovery is to be found elsewhere: it is called there at once, for what is newer than what was
    /// told before.
    pub fn moved(&mut self, context: &mut EventLoopContext, address: SocketAddr) {
        if self.address == address {
            return;
        }
        self.address = address;
        self.watch.set_host(address.to_string());
        self.backoff.reset();
        self.disconnect(context, "moved");
        self.call(context);
    }

    /// A stage begins, which may last so long.
    fn enter(&mut self, context: &mut EventLoopContext, stage: Stage, limit: Micros) {
        self.stage = stage;
        self.turn += 1;
        context.timers.set(context.now + limit, TimerEvent::Discovery(self.turn));
    }

    fn call_after(&mut self, context: &mut EventLoopContext, wait: Micros) {
        self.enter(context, Stage::Waiting, wait);
    }

    /// Makes the next call, on a new connection where there is none.
    fn call(&mut self, context: &mut EventLoopContext) {
        (self.called_at, self.held) = (context.now, self.watch.is_long_poll());
        if self.stream.is_none() {
            self.out = Outbox::default();
            let opened = TcpStream::connect(self.address).and_then(|mut stream| {
                let _ = stream.set_nodelay(true);
                let interest = Interest::READABLE | Interest::WRITABLE;
                context.registry.register(&mut stream, Source::Discovery.token(), interest)?;
                Ok(stream)
            });
            match opened {
                Ok(stream) => self.stream = Some(stream),
                Err(_) => {
                    self.starved = true;
                    return self.failed(context, &PollError::NoSocket);
                }
            }
            self.out.raw(&self.watch.next_request());
            self.enter(context, Stage::Connecting, CONNECT_TIMEOUT_MICROS);
        } else {
            self.out.raw(&self.watch.next_request());
            self.enter(context, Stage::Called, self.watch.response_timeout());
        }
        self.write(context);
    }

    /// The time of a stage is over; one that has gone on since is not disturbed.
    pub fn due(&mut self, context: &mut EventLoopContext, turn: u64) {
        if self.turn != turn {
            return;
        }
        match self.stage {
            Stage::Waiting => self.call(context),
            Stage::Connecting => self.failed(context, &PollError::ConnectTimeout),
            Stage::Called | Stage::Answering => self.failed(context, &PollError::Unresponsive),
        }
    }

    /// Somebody else must make room. Told once.
    pub fn take_descriptors_exhausted(&mut self) -> bool {
        std::mem::take(&mut self.starved)
    }

    fn disconnect(&mut self, context: &mut EventLoopContext, reason: &str) {
        if let Some(mut stream) = self.stream.take() {
            let _ = context.registry.deregister(&mut stream);
        }
        info!(conn = "discovery", reason = %Quoted(reason));
    }

    fn failed(&mut self, context: &mut EventLoopContext, error: &PollError) {
        self.disconnect(context, &error.to_string());
        self.watch.record_failure();
        let wait = self.backoff.wait_after(error);
        self.call_after(context, wait);
    }

    /// True: the connection is up, and what waits has been written as far as it goes.
    fn write(&mut self, context: &mut EventLoopContext) -> bool {
        let Some(stream) = &mut self.stream else { return false };
        if stream.peer_addr().is_err() {
            match stream.take_error() {
                Ok(None) => {}
                _ if self.stage == Stage::Connecting => self.failed(context, &PollError::ConnectionRefused),
                _ => self.failed(context, &PollError::Reset),
            }
            return false;
        }
        if stream::write(stream, &mut self.out).is_err() {
            self.failed(context, &PollError::Reset);
            return false;
        }
        if self.stage == Stage::Connecting {
            self.enter(context, Stage::Called, self.watch.response_timeout());
        }
        true
    }

    /// Reads and writes as far as it goes; news of the list comes out.
    pub fn ready(&mut self, context: &mut EventLoopContext) -> Option<EndpointUpdate> {
        if !self.write(context) {
            return None;
        }
        let DiscoveryEvent { answer, ended } = self.read(context)?;
        match (answer, ended) {
            (Err(error), _) => self.failed(context, &error),
            (Ok(Some(answer)), ended) => return self.answered(context, answer, ended.is_some()),
            (Ok(None), Some(Ended::Closed)) => self.failed(context, &PollError::Closed),
            (Ok(None), Some(Ended::Reset)) => self.failed(context, &PollError::Reset),
            (Ok(None), None) if self.watch.response_started() && self.stage == Stage::Called => {
                self.enter(context, Stage::Answering, RESPONSE_TIMEOUT_MICROS);
            }
            (Ok(None), None) => {}
        }
        None
    }

    /// What has come, and whether the connection ended behind it.
    fn read(&mut self, context: &mut EventLoopContext) -> Option<DiscoveryEvent> {
        let stream = self.stream.as_mut()?;
        let watch = &mut self.watch;
        let mut answer = Ok(None);
        let ended = stream::read(stream, &mut context.scratch, |bytes| {
            // On to the end of the input: an end of the connection behind the answer is not told twice.
            if answer == Ok(None) {
                answer = watch.feed(bytes);
            }
            true
        });
        // A reset is no end of an answer without a length.
        if ended == Err(Ended::Closed) && answer == Ok(None) {
            answer = watch.finish_on_close();
        }
        Some(DiscoveryEvent { answer, ended: ended.err() })
    }

    /// An answer came, and behind it perhaps the end of the connection. The next call follows.
    fn answered(
        &mut self,
        context: &mut EventLoopContext,
        answer: PollResponse,
        ended: bool,
    ) -> Option<EndpointUpdate> {
        context.core.discovery_answered(context.now);
        let news = match answer {
            PollResponse::Updated(update) => Some(update),
            PollResponse::Stale => None,
        };
        let empty = news.as_ref().is_none_or(|update| update.endpoints.is_empty());
        // An agent that ends each watch and answers what does not wait is still to be left in peace.
        if self.held || !empty {
            self.backoff.reset();
        }
        if ended {
            // Nothing was missed: the next call is a watch again.
            self.disconnect(context, &PollError::Closed.to_string());
            let wait = self.backoff.wait_after(&PollError::Closed);
            self.call_after(context, wait);
        } else if context.now - self.called_at < TOO_SOON && empty {
            self.call_after(context, TOO_SOON);
        } else {
            self.call(context);
        }
        news
    }
}
