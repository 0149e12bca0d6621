//! Discovery's list of databases and the watch on it: HTTP/1.1, as a machine that is fed bytes.

use birchreach::Micros;
use serde_json::Value;

/// How long a watch may wait for news.
pub const HOLD_MS: u64 = 20_000;
/// What a call came to for which discovery had no room.
const NO_ROOM: &str = "status 503";
/// A list longer than this is no list.
const MAX_BODY: usize = 4 << 20;
const MAX_HEAD: usize = 16 << 10;
const MAX_HEADERS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    Draining,
    Removed,
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub uid: String,
    pub endpoint: String,
    pub zone: String,
    pub group: u32,
    pub state: State,
    pub weight: f64,
    /// Unix time of the last start; 0 if that was long ago.
    pub boot_ms: u64,
    /// What the list says of its role, if it does.
    pub primary: Option<bool>,
}

/// An answer: changes, or the whole list.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

impl Update {
    pub fn from_json(v: &Value) -> Result<Update, String> {
        let rev = v.get("rev").and_then(Value::as_u64).ok_or("rev: expected a whole number")?;
        let all = v.get("all").and_then(Value::as_bool).ok_or("all: expected true or false")?;
        let lines = v.get("targets").and_then(Value::as_array).ok_or("targets: expected a list")?;
        let targets: Result<_, _> = lines.iter().map(Target::from_json).collect();
        Ok(Update { rev, all, targets: targets? })
    }
}

impl Target {
    fn from_json(v: &Value) -> Result<Target, String> {
        let word = |key: &str| v.get(key).and_then(Value::as_str);
        let uid = word("uid").ok_or("targets: uid: expected a word")?.to_string();
        let bad = |what: &str| format!("targets: {uid}: {what}");
        let group = v.get("pod_group").map_or(Some(0), Value::as_u64).and_then(|g| u32::try_from(g).ok());
        let state = match word("state") {
            Some("up") => State::Up,
            Some("draining") => State::Draining,
            Some("removed") => State::Removed,
            _ => return Err(bad("state: expected up, draining or removed")),
        };
        Ok(Target {
            endpoint: word("endpoint").unwrap_or_default().to_string(),
            zone: word("az").unwrap_or_default().to_string(),
            group: group.ok_or_else(|| bad("pod_group: expected a small whole number"))?,
            state,
            weight: v.get("capacity_hint").and_then(Value::as_f64).unwrap_or(1.0),
            boot_ms: v.get("boot_ms").and_then(Value::as_f64).map_or(0, |ms| ms as u64),
            primary: word("access").map(|access| access == "writer"),
            uid,
        })
    }
}

/// Why a call came to nothing. The connection is of no more use.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken(pub String);

/// Wait before a new connection, doubled with each failure in a row, and a random part of it taken off. The first
/// is well under the 200 ms within which a watch goes on.
const FIRST_WAIT: Micros = 20_000;
const LONGEST_WAIT: Micros = 640_000;
/// Discovery serves all proxies, a call after the other, and fails those that wait too long; they have cost it
/// their turn all the same. Each proxy leaves it so much time for each of the others: n calls fit into a round of n
/// turns. Where all call within the grace some find no room; no more than half of them do, as measured with 70
/// and with 100 proxies, and half a round takes those. The round doubles with each call in a row that fails so.
const TURN: Micros = 60_000;
const MOST_DOUBLED: u32 = 3;

/// When to call again.
pub struct Pace {
    proxies: Micros,
    /// New work for a database that drains or left must end so long after a proxy was told, or could have been.
    grace: Micros,
    wait: Micros,
    /// Calls in a row for which there was no room.
    no_room: u32,
    rng: fastrand::Rng,
}

impl Pace {
    /// So many proxies call the same discovery.
    pub fn new(proxies: u32, grace: Micros, seed: u64) -> Pace {
        let rng = fastrand::Rng::with_seed(seed);
        Pace { proxies: proxies.into(), grace, wait: FIRST_WAIT, no_room: 0, rng }
    }

    /// Before the first call: a turn for each other proxy, but within three quarters of the grace: until then
    /// the list is what was known before the start.
    pub fn first(&mut self) -> Micros {
        self.rng.i64(0..=((self.proxies - 1).max(0) * TURN).min(self.grace * 3 / 4))
    }

    /// After a call that came to nothing.
    pub fn failed(&mut self, reason: &str) -> Micros {
        if reason == NO_ROOM {
            let turns = (self.proxies.max(2) * TURN) << self.no_room;
            self.no_room = (self.no_room + 1).min(MOST_DOUBLED);
            return self.rng.i64(FIRST_WAIT..=turns / 2);
        }
        let wait = self.wait - self.rng.i64(0..=self.wait / 4);
        self.wait = (self.wait * 2).min(LONGEST_WAIT);
        wait
    }

    /// A call was answered, or goes elsewhere now.
    pub fn answered(&mut self) {
        (self.wait, self.no_room) = (FIRST_WAIT, 0);
    }
}

/// The watch: calls go out, answers come in, one at a time.
pub struct Watch {
    host: String,
    /// The newest version held.
    rev: Option<u64>,
    input: Vec<u8>,
}

impl Watch {
    pub fn new(host: String, rev: Option<u64>) -> Watch {
        Watch { host, rev, input: Vec::new() }
    }

    /// Another host tells the list from now on, with the same versions.
    pub fn moved(&mut self, host: String) {
        self.host = host;
    }

    /// The next call, on a connection that owes no answer; a new one starts here too.
    pub fn call(&mut self) -> Vec<u8> {
        self.input.clear();
        let query = self.rev.map_or(String::new(), |rev| format!("?from={rev}&hold_ms={HOLD_MS}"));
        format!(
            "GET /v1/endpoints{query} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.host
        )
        .into_bytes()
    }

    /// Takes bytes; an answer comes out once it is whole. `None` news: it is old, and not to be applied.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Option<Update>>, Broken> {
        self.input.extend_from_slice(bytes);
        if self.input.len() > MAX_HEAD + 2 * MAX_BODY {
            return Err(Broken("an answer without end".into()));
        }
        let Some(body) = body(&self.input, false)? else { return Ok(None) };
        self.news(&body).map(Some)
    }

    /// The connection has ended, which ends an answer without a length too.
    pub fn ended(&mut self) -> Result<Option<Option<Update>>, Broken> {
        if self.input.is_empty() {
            return Ok(None);
        }
        let Some(body) = body(&self.input, true)? else { return Err(Broken("answer cut short".into())) };
        self.news(&body).map(Some)
    }

    fn news(&mut self, body: &[u8]) -> Result<Option<Update>, Broken> {
        self.input.clear();
        let json: Value = serde_json::from_slice(body).map_err(|e| Broken(format!("not JSON: {e}")))?;
        let update = Update::from_json(&json).map_err(Broken)?;
        // An agent that is behind what this proxy knew at its start has old changes to tell. A whole
        // list counts, however old: it is all that the agent holds.
        if !update.all && self.rev.is_some_and(|rev| update.rev < rev) {
            self.rev = None;
            return Ok(None);
        }
        self.rev = Some(update.rev);
        Ok(Some(update))
    }
}

/// The body of an answer, once it is whole.
fn body(input: &[u8], ended: bool) -> Result<Option<Vec<u8>>, Broken> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(input).map_err(|e| Broken(format!("not HTTP: {e}")))?;
    let httparse::Status::Complete(head) = parsed else {
        return if input.len() > MAX_HEAD { Err(Broken("endless headers".into())) } else { Ok(None) };
    };
    let code = response.code.unwrap_or(0);
    if code == 503 {
        return Err(Broken(NO_ROOM.into()));
    }
    if code != 200 {
        return Err(Broken(format!("status {code}")));
    }
    let header = |name: &str| {
        let found = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    let rest = &input[head..];
    if header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return chunks(rest);
    }
    let length = match header("content-length") {
        Some(v) => v.parse().map_err(|_| Broken("a length that is no number".into()))?,
        None if ended => rest.len(),
        None if rest.len() > MAX_BODY => MAX_BODY + 1,
        None => return Ok(None),
    };
    if length > MAX_BODY {
        return Err(Broken("a list too long to hold".into()));
    }
    Ok(rest.get(..length).map(<[u8]>::to_vec))
}

fn chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, Broken> {
    let mut body = Vec::new();
    loop {
        let parsed = httparse::parse_chunk_size(rest).map_err(|_| Broken("a chunk without a size".into()))?;
        let httparse::Status::Complete((head, size)) = parsed else { return Ok(None) };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size.saturating_add(body.len()) > MAX_BODY {
            return Err(Broken("a list too long to hold".into()));
        }
        let Some(chunk) = rest.get(head..head + size + 2) else { return Ok(None) };
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(&chunk[..size]);
        rest = &rest[head + size + 2..];
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// 48 proxies that start at one moment, and find no room: their calls must not come in crowds.
    #[test]
    fn a_herd_spreads_its_calls() {
        let mut paces: Vec<Pace> = (0..48).map(|seed| Pace::new(48, 10_000_000, seed)).collect();
        let most_in_a_second = |times: &[Micros]| {
            times.iter().map(|at| times.iter().filter(|t| (0..1_000_000).contains(&(*t - at))).count()).max()
        };
        let first: Vec<Micros> = paces.iter_mut().map(Pace::first).collect();
        assert!(most_in_a_second(&first) < Some(26), "{first:?}");
        // Half of them find no room: they fit into half a round, and a longer one if that was not enough.
        let again: Vec<Micros> = paces[..24].iter_mut().map(|p| p.failed(NO_ROOM)).collect();
        assert!(most_in_a_second(&again) < Some(26) && again.iter().all(|t| *t <= 1_440_000), "{again:?}");
        let third: Vec<Micros> = paces[..24].iter_mut().map(|p| p.failed(NO_ROOM)).collect();
        assert!(third.iter().any(|t| *t > 1_440_000) && third.iter().all(|t| *t <= 2_880_000), "{third:?}");
        // A connection that broke is another matter: the watch goes on if the call comes soon.
        assert!(paces.iter_mut().all(|p| p.failed("closed") <= 20_000));
        paces.iter_mut().for_each(Pace::answered);
        assert!(paces.iter_mut().all(|p| p.failed(NO_ROOM) <= 1_440_000));
        // One proxy alone waits for nobody at its start.
        assert_eq!(Pace::new(1, 2_000_000, 7).first(), 0);
    }

    /// After a mass restart each proxy holds an old list: it must have asked well before that list may bind no more.
    #[test]
    fn the_first_call_comes_within_the_grace_however_many_proxies_there_are() {
        let first = |proxies| (0..500).map(|seed| Pace::new(proxies, 2_000_000, seed).first()).max();
        assert!(first(100) <= Some(1_500_000) && first(1_000) <= Some(1_500_000));
        assert!(first(5) <= Some(240_000), "few proxies call as soon as they did");
    }
}
