//! The listener and the clients' connections.

use super::Due;
use super::pool::{Cx, Work};
use super::sources::Source;
use super::stream::{self, Ended};
use crate::core::{Answer, Ask, Attempt};
use crate::log::Quoted;
use crate::pg::frontend::{Frontend, Wish};
use crate::pg::sqlstate;
use crate::pg::statement::Statement;
use birchreach::{Micros, RequestId};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};
use slab::Slab;
use std::collections::HashSet;
use std::fs::File;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr};
use tracing::{debug, info, warn};

struct Client {
    stream: TcpStream,
    peer: SocketAddr,
    machine: Frontend,
    request: Option<(RequestId, Work)>,
    /// The attempt whose long value it is being sent, and whether more of that may come.
    passing: Option<(Attempt, bool)>,
    served: u64,
    /// It has made no request yet: it may be a balancer that only looks whether the process lives.
    guest: bool,
    /// There is more to read or write than one turn takes.
    unread: bool,
    /// To be closed, and how: at once, or after the client had its time to hear why.
    closing: Option<(&'static str, Parting)>,
    active: Micros,
    /// It was answered after the handover began: its end follows the answer.
    last: bool,
    /// Since when something that it began is not whole; its first command from its connect on.
    unfinished: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Parting {
    AtOnce,
    /// It is told why; nothing more is owed then, but closing on unread input would break the connection
    /// before it has read that.
    Told,
    /// All is written: until this time, and this much input, it may go on sending what nobody keeps.
    Lingers {
        until: Micros,
        spare: usize,
    },
}

impl Client {
    /// Nothing was asked on it that is not answered.
    fn spareable(&self) -> bool {
        let idle = self.machine.idle() || self.machine.starting();
        self.lingers() || (self.request.is_none() && self.closing.is_none() && idle)
    }

    fn lingers(&self) -> bool {
        matches!(self.closing, Some((_, Parting::Lingers { .. })))
    }

    /// Who makes room first: those that have been told goodbye; those that had time for a request and
    /// brought none, for a flood of them would drive out those who do; those idle longest; and last those
    /// that have just come.
    fn rank(&self, now: Micros) -> (u8, Micros) {
        let since = self.unfinished.unwrap_or(self.active);
        let class = match self.served {
            _ if self.lingers() => 0,
            0 if self.machine.asked() || now - since >= GRACE => 1,
            0 => JUST_CAME,
            _ => 2,
        };
        (class, since)
    }
}

pub struct Clients {
    listener: Option<TcpListener>,
    slots: Slab<Client>,
    desk: Desk,
    most: usize,
    /// Beyond so many, idle ones make room before all places are taken: clients that keep connections they do
    /// not use have none left to open.
    many: usize,
    /// So many guests hold no place of a client's; and how many there are.
    hosts: usize,
    guests: usize,
    /// More may wait to be accepted.
    waiting: bool,
    retry_set: bool,
    /// Connections close once they are idle: the proxy is stopping.
    leaving: bool,
    /// Another process takes the clients: each connection closes with its next answer.
    handing: bool,
    /// The start waits for others to tell what they know.
    learning: bool,
    /// Clients with more input than one turn takes.
    unread: Vec<usize>,
    /// Long values of which their clients have taken what there was.
    thirsty: Vec<Attempt>,
    /// A descriptor kept in hand: when the system has none to give, it lets one more client in, and with
    /// that tells whether any waits.
    spare: Option<File>,
}

/// What tells whether a statement is taken, and as what.
struct Desk {
    /// The ids of open requests, of all clients.
    ids: HashSet<Box<[u8]>>,
}

impl Desk {
    fn ask(&mut self, cx: &Cx, s: &Statement) -> Result<Ask, (&'static str, &'static str)> {
        let class = cx.core.class(cx.now, &s.class);
        let (id, class) = class.ok_or((sqlstate::INVALID_VALUE, "c names no class"))?;
        let ask = s.ask(id, class, cx.core.tokens())?;
        if !cx.core.serves(ask.group) {
            return Err((sqlstate::INVALID_VALUE, "cluster names no group"));
        }
        if !self.ids.insert(s.id().into()) {
            return Err((sqlstate::INVALID_VALUE, "id is that of an open request"));
        }
        Ok(ask)
    }
}

fn spare() -> Option<File> {
    File::open("/dev/null").ok()
}

/// Accepted in one turn of the loop at most: a flood must not starve those who are in.
const TURN: usize = 32;
/// Pause after the system had no descriptor to give.
const ACCEPT_AGAIN: Micros = 50_000;
/// Bytes read from one client before its input is looked at, and how often that is done in one turn.
const READ_TURN: usize = 64 << 10;
const ROUNDS: usize = 4;
/// A client that does not read its answers is closed after this time: every deadline is shorter.
const SILENT: Micros = 10_000_000;
/// A newcomer's first bytes are on their way for so long: until then it makes room for nobody who came later.
const GRACE: Micros = 300_000;
const JUST_CAME: u8 = 3;
/// For a first command, and for the rest of one begun: a slow client may take 2 s over it, a bad one has its
/// error within 3 s.
const UNFINISHED: Micros = 2_300_000;
/// A connection on which nothing was asked for so long is closed.
const IDLE: Micros = 5_000_000;
/// How long, and for how many bytes, a client that has been told why it is closed may go on sending.
const LINGER: Micros = 500_000;
const SPARE_INPUT: usize = 1 << 20;

impl Clients {
    pub fn new(registry: &Registry, mut listener: TcpListener, most: usize) -> Result<Clients, String> {
        let registered = registry.register(&mut listener, Source::Listener.token(), Interest::READABLE);
        registered.map_err(|e| format!("watching the listener: {e}"))?;
        Ok(Clients {
            listener: Some(listener),
            slots: Slab::new(),
            desk: Desk { ids: HashSet::new() },
            most,
            many: most * 2 / 5,
            hosts: 0,
            guests: 0,
            waiting: false,
            retry_set: false,
            leaving: false,
            handing: false,
            learning: false,
            unread: Vec::new(),
            thirsty: Vec::new(),
            spare: spare(),
        })
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// So many places there are from now on; idle clients beyond them make room.
    pub fn limit(&mut self, cx: &mut Cx, most: usize) {
        (self.most, self.many) = (most, most * 2 / 5);
        for _ in self.most..self.occupied() {
            self.shed(cx, None, JUST_CAME);
        }
    }

    /// So many guests hold no place of a client's, where balancers may look in. Descriptors are kept for them.
    pub fn host(&mut self, guests: usize) {
        self.hosts = guests;
    }

    /// Places that are taken.
    fn occupied(&self) -> usize {
        self.slots.len() - self.guests.min(self.hosts)
    }

    /// A newcomer takes a place: others make room, after the fact, for only now it is known that someone came.
    fn room(&mut self, cx: &mut Cx, newcomer: Option<usize>) {
        if self.occupied() > self.most || self.spare.is_none() {
            self.shed(cx, newcomer, JUST_CAME);
        } else if self.occupied() > self.many {
            self.shed(cx, newcomer, JUST_CAME - 1);
        }
    }

    /// Another process takes the clients, or takes them no more: this one accepts nobody meanwhile, and sends each
    /// client there behind its next answer.
    pub fn give_way(&mut self, give: bool) {
        // Who came meanwhile and was not taken is told of no second time.
        self.waiting |= self.handing && !give;
        self.handing = give;
    }

    /// Nobody is accepted while the start waits.
    pub fn learning(&mut self, learning: bool) {
        self.learning = learning;
    }

    pub fn knock(&mut self) {
        self.waiting = true;
    }

    /// Something is left to do without any socket telling.
    pub fn pressing(&self) -> bool {
        self.can_accept() || !self.unread.is_empty()
    }

    /// Goes on where the last turn stopped.
    pub fn go_on(&mut self, cx: &mut Cx) {
        for key in std::mem::take(&mut self.unread) {
            self.ready(cx, key);
        }
        self.accept(cx);
    }

    /// There are connections to accept, and room for them.
    fn can_accept(&self) -> bool {
        self.waiting && !self.retry_set && !self.handing && !self.learning && self.listener.is_some()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    fn accept(&mut self, cx: &mut Cx) {
        for _ in 0..TURN {
            if !self.can_accept() {
                return;
            }
            if self.occupied() >= self.most && !self.slots.iter().any(|(_, c)| c.spareable()) {
                // Nobody can make room: newcomers wait outside.
                return self.pause(cx);
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, peer)) => {
                    let key = self.admit(cx, stream, peer);
                    self.room(cx, key);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.waiting = false,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                // Out of descriptors, whether or not someone waits: the one kept for this will tell.
                Err(_) if self.spare.take().is_some() => continue,
                Err(e) => {
                    // Trying again at once would spin.
                    warn!(event = "accept-failed", error = %Quoted(e));
                    self.shed(cx, None, JUST_CAME);
                    self.pause(cx);
                }
            }
            self.spare = self.spare.take().or_else(spare);
        }
    }

    fn pause(&mut self, cx: &mut Cx) {
        self.retry_set = true;
        cx.timers.set(cx.now + ACCEPT_AGAIN, Due::Accept);
    }

    pub fn accept_again(&mut self) {
        self.retry_set = false;
    }

    /// Databases lack descriptors that clients hold.
    pub fn make_room(&mut self, cx: &mut Cx) {
        self.shed(cx, None, JUST_CAME);
    }

    /// Closes the client that makes room first, but not the newcomer, nor one of a higher class.
    fn shed(&mut self, cx: &mut Cx, newcomer: Option<usize>, class: u8) {
        for _ in 0..TURN {
            let spareable = self.slots.iter().filter(|(k, c)| Some(*k) != newcomer && c.spareable());
            let ranks = spareable.map(|(k, c)| (c.rank(cx.now), k));
            let first = ranks.filter(|(rank, _)| rank.0 <= class).min();
            let Some((before, key)) = first else { return };
            // What came in meanwhile is read first: a request must not cross with the end.
            self.ready(cx, key);
            match self.slots.get(key) {
                None => return,
                Some(c) if c.spareable() && c.rank(cx.now) == before => return self.close(cx, key, "shed"),
                Some(_) => {}
            }
        }
    }

    fn admit(&mut self, cx: &mut Cx, mut stream: TcpStream, peer: SocketAddr) -> Option<usize> {
        let _ = stream.set_nodelay(true);
        let slot = self.slots.vacant_entry();
        let key = slot.key();
        let token = Source::Client(key).token();
        if let Err(e) = cx.registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE) {
            warn!(conn = "client", %peer, reason = "no-socket", error = %Quoted(e));
            return None;
        }
        slot.insert(Client {
            stream,
            peer,
            machine: Frontend::default(),
            request: None,
            passing: None,
            served: 0,
            guest: true,
            unread: false,
            closing: None,
            active: cx.now,
            last: false,
            unfinished: Some(cx.now),
        });
        self.guests += 1;
        Some(key)
    }

    /// The connection's turn: it is read, run and written as far as that takes it.
    pub fn ready(&mut self, cx: &mut Cx, key: usize) {
        if let Some(c) = self.slots.get_mut(key) {
            c.machine.turn();
            self.go(cx, key);
        }
    }

    fn go(&mut self, cx: &mut Cx, key: usize) {
        let Some(c) = self.slots.get_mut(key) else { return };
        let over = Self::serve(cx, &mut self.desk, key, c);
        let settles = c.guest && c.request.is_some();
        c.guest &= !settles;
        if let Some((attempt, fed @ true)) = &mut c.passing
            && c.machine.out.pending().is_empty()
        {
            *fed = false;
            self.thirsty.push(*attempt);
        }
        match over {
            Some(reason) => self.close(cx, key, reason),
            None if (self.leaving || c.last) && c.request.is_none() && c.machine.idle() => {
                self.close(cx, key, if self.leaving { "stopping" } else { "handed-over" })
            }
            None if c.unread => self.unread.push(key),
            None => {}
        }
        if settles {
            self.guests -= 1;
            if self.hosts > 0 {
                self.room(cx, Some(key));
            }
        }
    }

    /// The reason, if the connection is over.
    fn serve(cx: &mut Cx, desk: &mut Desk, key: usize, c: &mut Client) -> Option<&'static str> {
        // A client that sends without end gets its turn like all others.
        c.unread = false;
        let over = if c.lingers() { Self::linger(cx, c) } else { Self::converse(cx, desk, key, c) };
        let halfway = c.request.is_none() && c.machine.unfinished();
        c.unfinished = halfway.then(|| c.unfinished.unwrap_or(cx.now));
        over
    }

    fn converse(cx: &mut Cx, desk: &mut Desk, key: usize, c: &mut Client) -> Option<&'static str> {
        for _ in 0..ROUNDS {
            let hungry = c.closing.is_none() && c.machine.hungry();
            let mut read = 0;
            let machine = &mut c.machine;
            let drained = if !hungry {
                Ok(true)
            } else {
                stream::read(&mut c.stream, cx.scratch, |bytes| {
                    read += bytes.len();
                    machine.feed(bytes);
                    machine.hungry() && read < READ_TURN
                })
            };
            Self::run(cx, desk, key, c);
            let drained = match drained {
                Ok(drained) => drained,
                Err(how) => {
                    let reason = if how == Ended::Closed { "client-closed" } else { "client-reset" };
                    return Some(c.closing.map_or(reason, |(reason, _)| reason));
                }
            };
            let waiting = c.machine.out.pending().len();
            let written = stream::write(&mut c.stream, &mut c.machine.out);
            if read > 0 || c.machine.out.pending().len() < waiting {
                c.active = cx.now;
            }
            match written {
                Err(_) => return Some("client-reset"),
                Ok(false) => return None,
                Ok(true) => {}
            }
            match c.closing {
                None => {}
                Some((reason, Parting::Told)) => {
                    let _ = c.stream.shutdown(Shutdown::Write);
                    let (until, spare) = (cx.now + LINGER, SPARE_INPUT);
                    c.closing = Some((reason, Parting::Lingers { until, spare }));
                    return Self::linger(cx, c);
                }
                Some((reason, _)) => return Some(reason),
            }
            // Room again: what was held back for a slow reader goes on. Input that was not read to its
            // end must be asked for now, for the socket does not tell of it twice.
            Self::run(cx, desk, key, c);
            let more = !hungry || !drained;
            let held_back = c.closing.is_some() || !c.machine.out.pending().is_empty();
            let unread = more && c.machine.hungry();
            if !held_back && !unread {
                c.unread = c.machine.exhausted();
                return None;
            }
        }
        c.unread = true;
        None
    }

    /// Passes over what still comes from one that has been told why it is closed.
    fn linger(cx: &mut Cx, c: &mut Client) -> Option<&'static str> {
        let Some((reason, Parting::Lingers { spare, .. })) = &mut c.closing else { return None };
        let mut left = (*spare).min(READ_TURN);
        let before = left;
        let drained = stream::read(&mut c.stream, cx.scratch, |bytes| {
            left = left.saturating_sub(bytes.len());
            left > 0
        });
        *spare -= before - left;
        match drained {
            Err(_) => return Some(reason),
            Ok(drained) => c.unread = !drained && *spare > 0,
        }
        None
    }

    /// Hands the machine's wishes on, until one has to be waited for.
    fn run(cx: &mut Cx, desk: &mut Desk, key: usize, c: &mut Client) {
        while c.request.is_none() && c.closing.is_none() {
            match c.machine.next() {
                None => return,
                Some(Wish::Close(reason)) => c.closing = Some((reason, Parting::AtOnce)),
                Some(Wish::Part(reason)) => c.closing = Some((reason, Parting::Told)),
                Some(Wish::Run(statement)) => match desk.ask(cx, &statement) {
                    Err((code, message)) => c.machine.reject(code, message),
                    Ok(ask) => {
                        let work = Work::new(statement);
                        c.request = Some((cx.core.request(cx.now, key, ask, work.clone()), work));
                    }
                },
            }
        }
    }

    /// A long value that has gone on as far as its client has taken it.
    pub fn thirsty(&mut self) -> Option<Attempt> {
        self.thirsty.pop()
    }

    fn holder(&mut self, key: usize, request: RequestId) -> Option<&mut Client> {
        self.slots.get_mut(key).filter(|c| c.request.as_ref().is_some_and(|(id, _)| *id == request))
    }

    /// A long value begins.
    pub fn begin(&mut self, cx: &mut Cx, key: usize, request: RequestId, attempt: Attempt, length: usize) {
        if let Some(c) = self.holder(key, request) {
            c.passing = Some((attempt, true));
            c.machine.begin(true, length);
            self.go(cx, key);
        }
    }

    /// More of it has come.
    pub fn piece(&mut self, cx: &mut Cx, key: usize, request: RequestId, bytes: &[u8]) {
        let Some(c) = self.holder(key, request) else { return };
        if let Some((_, fed)) = &mut c.passing {
            *fed = true;
        }
        c.machine.out.raw(bytes);
        self.go(cx, key);
    }

    /// The rest of it will not come: the client is to see that it is not whole.
    pub fn broken(&mut self, cx: &mut Cx, key: usize, request: RequestId) {
        if self.holder(key, request).is_some() {
            self.close(cx, key, "cut-short");
        }
    }

    /// The answer to a client's request.
    pub fn answer(&mut self, cx: &mut Cx, key: usize, request: RequestId, answer: &Answer) {
        let Some(c) = self.slots.get_mut(key) else { return };
        let Some((_, work)) = c.request.take_if(|(id, _)| *id == request) else { return };
        self.desk.ids.remove(work.id());
        c.served += 1;
        c.last = self.handing;
        c.passing = None;
        c.machine.answer(answer);
        self.go(cx, key);
    }

    /// Closes the connection and logs why.
    fn close(&mut self, cx: &mut Cx, key: usize, reason: &str) {
        let mut c = self.slots.remove(key);
        let _ = cx.registry.deregister(&mut c.stream);
        self.guests -= usize::from(c.guest);
        let looked =
            self.hosts > 0 && c.guest && matches!(reason, "terminate" | "client-closed" | "client-reset");
        if looked {
            // Balancers look in by the hundred; other lines are not to be left out for theirs.
            debug!(conn = "client", peer = %c.peer, answered = c.served, reason);
        } else {
            info!(conn = "client", peer = %c.peer, answered = c.served, reason);
        }
        if let Some((request, work)) = c.request {
            self.desk.ids.remove(work.id());
            cx.core.gone(cx.now, request);
        }
    }

    /// Why a connection has had its time, if it has.
    fn expired(c: &Client, now: Micros) -> Option<&'static str> {
        match c.closing {
            Some((reason, Parting::Lingers { until, .. })) => return (now >= until).then_some(reason),
            Some((reason, _)) => return (now - c.active >= UNFINISHED).then_some(reason),
            // A long value has no deadline, but its client must go on reading.
            None if c.request.is_some() && c.passing.is_none() => return None,
            None => {}
        }
        let (unread, unfinished) = (!c.machine.out.pending().is_empty(), c.unfinished);
        if unread {
            (now - c.active > SILENT).then_some("silent")
        } else if unfinished.is_some_and(|since| now - since >= UNFINISHED) {
            Some("unfinished")
        } else {
            (c.machine.idle() && now - c.active >= IDLE).then_some("idle")
        }
    }

    /// Closes those that stop halfway, through their startup, a message, or the reading of an answer, and
    /// those that ask no more. Left alone, they could take every place.
    pub fn sweep(&mut self, cx: &mut Cx) {
        let keys = self.slots.iter().filter(|(_, c)| Self::expired(c, cx.now).is_some());
        for key in keys.map(|(k, _)| k).collect::<Vec<_>>() {
            // What came in meanwhile is read first: a request must not cross with the end.
            self.ready(cx, key);
            let Some(c) = self.slots.get_mut(key) else { continue };
            match Self::expired(c, cx.now) {
                Some(reason @ "unfinished") if c.closing.is_none() => {
                    c.machine.time_out();
                    c.closing = Some((reason, Parting::Told));
                    c.active = cx.now;
                    self.ready(cx, key);
                }
                Some(reason) => self.close(cx, key, reason),
                None => {}
            }
        }
    }

    /// Another process has the listening socket too, and takes whoever waits in its queue: nobody more is
    /// accepted here, and each client is sent there behind its next answer.
    pub fn hand_over(&mut self, cx: &mut Cx) {
        if let Some(mut listener) = self.listener.take() {
            let _ = cx.registry.deregister(&mut listener);
        }
        self.handing = true;
    }

    /// Accepts what has arrived, then takes no more, and closes each connection once it is idle.
    pub fn leave(&mut self, cx: &mut Cx) {
        self.waiting = true;
        self.retry_set = false;
        while self.can_accept() {
            self.accept(cx);
        }
        if let Some(mut listener) = self.listener.take() {
            let _ = cx.registry.deregister(&mut listener);
        }
        self.leaving = true;
        for key in self.slots.iter().map(|(k, _)| k).collect::<Vec<_>>() {
            self.ready(cx, key);
            if self.slots.get(key).is_some_and(|c| c.machine.starting()) {
                self.close(cx, key, "stopping");
            }
        }
    }
}
