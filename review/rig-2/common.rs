//! Stand-ins for the cases of the second review: databases, discovery, clients, a relay and the platform.
//! Standard library only. Every socket is on 127.0.0.1.

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the case plays its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn open() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(path).unwrap_or_else(|error| stop(&format!("no record: {error}")));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    /// The time since the start of the case, in milliseconds.
    pub fn ms(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0.0.elapsed().as_secs_f64() * 1e3;
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} ms  {}", text.as_ref());
    }
}

// ---------------------------------------------------------------------------------------------- messages

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![tag];
    bytes.extend_from_slice(&((body.len() + 4) as u32).to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn row_description() -> Vec<u8> {
    let mut body = vec![0, 1];
    body.extend_from_slice(b"blob\0");
    body.extend_from_slice(&[0; 6]);
    body.extend_from_slice(&17u32.to_be_bytes());
    body.extend_from_slice(&(-1i16).to_be_bytes());
    body.extend_from_slice(&(-1i32).to_be_bytes());
    body.extend_from_slice(&[0, 1]);
    message(b'T', &body)
}

pub fn data_row(value: &[u8]) -> Vec<u8> {
    let mut body = vec![0, 1];
    body.extend_from_slice(&(value.len() as u32).to_be_bytes());
    body.extend_from_slice(value);
    message(b'D', &body)
}

pub fn complete(tag: &str) -> Vec<u8> {
    message(b'C', format!("{tag}\0").as_bytes())
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mstand-in\0\0").as_bytes())
}

/// Reads exactly so many bytes; `None` at the end or a failure of the connection.
pub fn read_exact(stream: &mut impl Read, count: usize) -> Option<Vec<u8>> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).ok()?;
    Some(bytes)
}

/// Reads one message with a tag.
pub fn read_message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let head = read_exact(stream, 5)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    Some((head[0], read_exact(stream, length.checked_sub(4)?)?))
}

// ---------------------------------------------------------------------------------------------- databases

/// A statement that a database was sent.
#[derive(Clone, Debug)]
pub struct Query {
    pub is_write: bool,
    pub key: String,
    pub fields: HashMap<String, String>,
}

impl Query {
    pub fn parse(text: &str) -> Query {
        let key = text.split('\'').nth(1).unwrap_or("").to_string();
        let comment = text.rsplit_once("/* ").map_or("", |(_, rest)| rest.trim_end_matches(" */"));
        let fields = comment.split(',').filter_map(|field| field.split_once('='));
        let fields = fields.map(|(name, value)| (name.to_string(), value.to_string())).collect();
        Query { is_write: text.starts_with("INSERT"), key, fields }
    }

    pub fn id(&self) -> &str {
        self.fields.get("id").map_or("", String::as_str)
    }

    pub fn class(&self) -> &str {
        self.fields.get("c").map_or("", String::as_str)
    }
}

/// What a database is and does. Each function of a case may change it while the case runs.
pub struct Database {
    pub name: String,
    pub address: SocketAddr,
    pub is_primary: AtomicBool,
    /// The position, in Unix milliseconds, of a replica that stands still; 0: the position is the present.
    pub position: AtomicU64,
    /// Work of a statement in milliseconds.
    pub work_ms: AtomicU64,
    /// While set, the database takes requests and answers none.
    pub hung: AtomicBool,
    /// Ids of the writes that it has run.
    pub ran_writes: Mutex<Vec<String>>,
}

/// Answers one statement on a connection. Returns whether the connection stays open.
pub type Answer = dyn Fn(&Database, &Query, &mut TcpStream, &Record) -> bool + Send + Sync;

impl Database {
    /// Starts a database that answers every statement by `answer`.
    pub fn start(name: &str, is_primary: bool, record: &Record, answer: Arc<Answer>) -> Arc<Database> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| stop(&error.to_string()));
        let database = Arc::new(Database {
            name: name.to_string(),
            address: listener.local_addr().unwrap(),
            is_primary: AtomicBool::new(is_primary),
            position: AtomicU64::new(0),
            work_ms: AtomicU64::new(20),
            hung: AtomicBool::new(false),
            ran_writes: Mutex::default(),
        });
        let (own, record) = (database.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, record, answer) = (own.clone(), record.clone(), answer.clone());
                thread::spawn(move || own.serve(stream, &record, &*answer));
            }
        });
        database
    }

    pub fn role(&self) -> &'static str {
        if self.is_primary.load(Ordering::SeqCst) { "writer" } else { "reader" }
    }

    pub fn position_ms(&self) -> u64 {
        match self.position.load(Ordering::SeqCst) {
            0 => unix_ms(),
            _ if self.is_primary.load(Ordering::SeqCst) => unix_ms(),
            position => position,
        }
    }

    /// Role and position, as they stand before ReadyForQuery.
    pub fn status(&self) -> Vec<u8> {
        let mut bytes = parameter("server_role", self.role());
        bytes.extend(parameter("commit_clock", &self.position_ms().to_string()));
        bytes
    }

    fn wait_while_hung(&self) {
        while self.hung.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
    }

    fn serve(&self, mut stream: TcpStream, record: &Record, answer: &Answer) {
        let _ = stream.set_nodelay(true);
        let Some(head) = read_exact(&mut stream, 4) else { return };
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if read_exact(&mut stream, length.saturating_sub(4)).is_none() {
            return;
        }
        self.wait_while_hung();
        let mut hello = message(b'R', &[0; 4]);
        hello.extend(ready());
        if stream.write_all(&hello).is_err() {
            return;
        }
        while let Some((tag, body)) = read_message(&mut stream) {
            if tag == b'X' {
                return;
            }
            if tag != b'Q' {
                continue;
            }
            let text = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            self.wait_while_hung();
            if text == "SHOW usage" || text == "SELECT 1" {
                let report = format!(
                    "x0={:.3},x1={}",
                    self.position_ms() as f64 / 1e3,
                    u8::from(self.is_primary.load(Ordering::SeqCst))
                );
                let mut reply = row_description();
                reply.extend(data_row(report.as_bytes()));
                reply.extend(complete("SHOW"));
                reply.extend(self.status());
                reply.extend(ready());
                if stream.write_all(&reply).is_err() {
                    return;
                }
                continue;
            }
            if !answer(self, &Query::parse(&text), &mut stream, record) {
                return;
            }
        }
    }
}

/// The value that a database makes for a request: it names the request's id.
pub fn value_for(id: &str) -> Vec<u8> {
    format!("value of {id}").into_bytes()
}

/// The usual answer: works, runs the statement and answers it; turns a write away that is not the primary's.
pub fn usual_answer(database: &Database, query: &Query, stream: &mut TcpStream, record: &Record) -> bool {
    sleep_ms(database.work_ms.load(Ordering::SeqCst));
    database.wait_while_hung();
    let reply = usual_reply(database, query, record);
    stream.write_all(&reply).is_ok()
}

pub fn usual_reply(database: &Database, query: &Query, record: &Record) -> Vec<u8> {
    let mut reply;
    if query.is_write && !database.is_primary.load(Ordering::SeqCst) {
        record.line(format!("{} ({}) turns {} away: 25006", database.name, database.role(), query.id()));
        reply = error("25006");
    } else {
        if query.is_write {
            database.ran_writes.lock().unwrap().push(query.id().to_string());
        }
        record.line(format!("{} runs {} ({})", database.name, query.id(), query.class()));
        reply = row_description();
        reply.extend(data_row(&value_for(query.id())));
        reply.extend(complete(if query.is_write { "INSERT 0 1" } else { "SELECT 1" }));
    }
    reply.extend(database.status());
    reply.extend(ready());
    reply
}

// ---------------------------------------------------------------------------------------------- discovery

/// One entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub group: u32,
    pub state: &'static str,
    pub access: &'static str,
    pub zone: &'static str,
    pub boot_ms: u64,
}

impl Entry {
    pub fn of(database: &Database, group: u32) -> Entry {
        Entry {
            uid: format!("s-{}", database.name),
            endpoint: database.address,
            group,
            state: "up",
            access: database.role(),
            zone: "a",
            boot_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"m\",\"pod_group\":{},\"state\":\"{}\",\
             \"capacity_hint\":1.0,\"boot_ms\":{},\"access\":\"{}\"}}",
            self.uid, self.endpoint, self.zone, self.group, self.state, self.boot_ms, self.access
        )
    }
}

pub fn list_json(rev: u64, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"rev\":{rev},\"all\":true,\"targets\":[{}]}}", entries.join(","))
}

/// Discovery: answers with the whole list, and holds a watch until something newer exists.
pub struct Discovery {
    pub address: SocketAddr,
    list: Mutex<(u64, Vec<Entry>)>,
    changed: Condvar,
    /// How long each answer takes.
    pub slowness_ms: AtomicU64,
}

impl Discovery {
    pub fn start(rev: u64, entries: Vec<Entry>, record: &Record) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| stop(&error.to_string()));
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            list: Mutex::new((rev, entries)),
            changed: Condvar::new(),
            slowness_ms: AtomicU64::new(0),
        });
        let (own, record) = (discovery.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, record) = (own.clone(), record.clone());
                thread::spawn(move || own.serve(stream, &record));
            }
        });
        discovery
    }

    /// Replaces the list and tells the watches.
    pub fn set(&self, entries: Vec<Entry>) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, entries);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let mut input = Vec::new();
        let mut scratch = [0; 4096];
        loop {
            while let Some(end) = input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&input[..end]).into_owned();
                input.drain(..end + 4);
                let path = head.split(' ').nth(1).unwrap_or("").to_string();
                record.line(format!("discovery {} is asked {path}", self.address.port()));
                let number = |name: &str| {
                    let rest = path.split_once(&format!("{name}="))?.1;
                    rest.split('&').next()?.parse::<u64>().ok()
                };
                let (from, hold) = (number("from"), number("hold_ms").unwrap_or(0));
                let mut list = self.list.lock().unwrap();
                let until = Instant::now() + Duration::from_millis(hold);
                while from == Some(list.0) && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    list = self.changed.wait_timeout(list, left).unwrap().0;
                }
                let body = if from == Some(list.0) {
                    format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", list.0)
                } else {
                    list_json(list.0, &list.1)
                };
                drop(list);
                sleep_ms(self.slowness_ms.load(Ordering::SeqCst));
                let reply = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(reply.as_bytes()).is_err() {
                    record.line(format!("discovery {}: the caller has gone", self.address.port()));
                    return;
                }
                record.line(format!("discovery {} has answered: {body}", self.address.port()));
            }
            match stream.read(&mut scratch) {
                Ok(count) if count > 0 => input.extend_from_slice(&scratch[..count]),
                _ => return,
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------- the platform

/// The settings of a small deployment: those of the sample on the wire page, with these classes and extras.
pub struct Settings {
    pub classes: &'static str,
    pub class_read: &'static str,
    pub max_age_ms: &'static str,
    pub limits: &'static str,
    pub load_info: &'static str,
    pub balancers: u32,
    pub tokens: &'static str,
}

/// The classes and limits of the sample on the wire page.
pub const KEELUNG: Settings = Settings {
    classes: r#"[{"credit":3.0,"deadline_ms":1200.0,"dedup_scope":"all","goal_time_ms":300.0,"idempotency":"free","late_worth":0.0,"name":"status-check","repeat_window_ms":5000.0,"stream":false},
{"credit":2.0,"deadline_ms":1500.0,"dedup_scope":"all","goal_time_ms":500.0,"idempotency":"free","late_worth":0.2,"name":"own-draft","repeat_window_ms":5000.0,"stream":false},
{"credit":1.0,"deadline_ms":2500.0,"dedup_scope":"all","goal_time_ms":600.0,"idempotency":"free","late_worth":0.2,"name":"tariff-lookup","repeat_window_ms":5000.0,"stream":false},
{"credit":6.0,"deadline_ms":3000.0,"dedup_scope":"all","goal_time_ms":750.0,"idempotency":"single_shot","late_worth":0.5,"name":"file-entry","repeat_window_ms":5000.0,"stream":false}]"#,
    class_read: r#"["bounded","session","any","write"]"#,
    max_age_ms: "[800.0,0.0,0.0,0.0]",
    limits: r#"{"attempts_cap":6,"conn_idle_ms":30000.0,"connect_timeout_ms":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":50000,"max_open":20000,"max_retry_after_ms":2000.0,"max_streams":1,"may_cancel":true,"may_probe":true,"parallel_tries":true,"peers":false,"retry_after":false}"#,
    load_info: r#"{"names":["x0","x1"],"via":"pull"}"#,
    balancers: 3,
    tokens: "carried",
};

impl Settings {
    pub fn json(&self) -> String {
        format!(
            r#"{{"balancers":{},"classes":{},"client_habits":{{"marks_retry":true}},"counted_by":"request","dcs":["a","b","c"],
"extra":{{"class_read":{},"counted_from_ms":0.0,"guards":"silent","max_age_ms":{},"notes":"","report_x0":"","report_x1":"","role_in_list":"late","sync":false,"tells_position":true,"tokens":"{}","wait_ms":0.0}},
"family":"replicas","limits":{},"load_info":{},"me":0,"my_zone":0,
"obligations":{{"answer_slack_ms":20.0,"ask_within_ms":10000.0,"cold_ms":18000.0,"cold_share":0.15,"drain_grace_ms":2000.0,"fall_ms":1500.0,"fall_multiple":3.0}},
"over_share_worth":0.1,"parties":[],"registry_mode":"automatic","shapes":["std-4core"],"stage":0,"tick_ms":5.0,"tiers":["db"],"weights":"nominal"}}"#,
            self.balancers,
            self.classes,
            self.class_read,
            self.max_age_ms,
            self.tokens,
            self.limits,
            self.load_info
        )
    }
}

/// All processes that the case has started, so that none is left at its end.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started.
fn end_all() {
    for child in STARTED.lock().unwrap().iter() {
        let mut child = child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(folder());
    }
}

/// Ends the case.
pub fn end(code: i32) -> ! {
    end_all();
    std::process::exit(code);
}

/// Ends a case that could not run.
pub fn stop(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    end(NOT_RUN);
}

/// Ends the case if it takes longer than this.
pub fn watch(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        stop("it took too long");
    });
}

/// The folder of this run, in the system's folder for temporary files.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("birchreach-review-{}", std::process::id()))
}

/// The descriptor of the clients' listening socket, where the platform holds it.
const INHERITED: i32 = 3;

unsafe extern "C" {
    fn dup2(from: i32, to: i32) -> i32;
}

/// A proxy, started by the command of the deploy file.
pub struct Proxy {
    pub listen: SocketAddr,
    operator: SocketAddr,
    child: Arc<Mutex<Child>>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| stop(&error.to_string()));
    listener.local_addr().unwrap()
}

impl Proxy {
    /// Writes the configuration and starts the proxy; returns once it has answered an empty query.
    pub fn start(settings: &Settings, discovery: SocketAddr, record: &Record) -> Proxy {
        Proxy::start_with(settings, discovery, record, (192, 1024))
    }

    /// The same with these limits of memory in megabytes and of descriptors.
    pub fn start_with(
        settings: &Settings,
        discovery: SocketAddr,
        record: &Record,
        limits: (u32, u32),
    ) -> Proxy {
        let (listen, operator) = (free_address(), free_address());
        let mut proxy = Proxy::spawn(settings, discovery, "null", limits, (listen, operator), None);
        let deadline = Instant::now() + Duration::from_secs(30);
        while !proxy.is_ready() {
            if Instant::now() > deadline || proxy.has_ended() {
                stop("the proxy is not ready");
            }
            sleep_ms(20);
        }
        record.line(format!("the proxy takes clients at {listen}"));
        proxy
    }

    /// Starts a process of a proxy whose listening socket the platform holds. It may run beside another one.
    pub fn start_beside(
        settings: &Settings,
        discovery: SocketAddr,
        known: &str,
        record: &Record,
        listener: &TcpListener,
    ) -> Proxy {
        let addresses = (listener.local_addr().unwrap(), free_address());
        let proxy = Proxy::spawn(settings, discovery, known, (192, 1024), addresses, Some(listener));
        record.line(format!("a process has been started; its operators' address is {}", proxy.operator));
        proxy
    }

    /// Waits until the process says that it takes clients.
    pub fn wait_until_yes(&self, record: &Record) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            let says_yes = || {
                let mut stream = TcpStream::connect_timeout(&self.operator, Duration::from_secs(1)).ok()?;
                stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
                stream.write_all(b"status\n").ok()?;
                read_exact(&mut stream, 3).filter(|reply| reply == b"YES")
            };
            if says_yes().is_some() {
                return record.line(format!("the process at {} says YES", self.operator));
            }
            sleep_ms(5);
        }
        stop("the process does not say YES within 30 s");
    }

    fn spawn(
        settings: &Settings,
        discovery: SocketAddr,
        known: &str,
        limits: (u32, u32),
        (listen, operator): (SocketAddr, SocketAddr),
        listener: Option<&TcpListener>,
    ) -> Proxy {
        let root = std::env::var("ROOT").map(PathBuf::from).unwrap_or_else(|_| stop("ROOT is not set"));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))
            .unwrap_or_else(|error| stop(&format!("no deploy file: {error}")));
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.unwrap_or_else(|| stop("the deploy file has no run line"));
        let number = STARTED.lock().unwrap().len();
        // The processes of one proxy share their folder for temporary files.
        let temporary = match listener {
            Some(_) => folder().join("tmp"),
            None => folder().join(format!("tmp{number}")),
        };
        std::fs::create_dir_all(&temporary).unwrap_or_else(|error| stop(&error.to_string()));
        let config = folder().join(format!("config{number}.json"));
        let (memory_mb, sockets) = limits;
        let text = format!(
            "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"operator\":\"{operator}\",\
             \"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\
             \"known\":{known},\"settings\":{}}}",
            0x8c1f_30d2_7a5b_e964_u64 + number as u64,
            settings.json()
        );
        std::fs::write(&config, text).unwrap_or_else(|error| stop(&error.to_string()));
        let log = File::create(folder().join(format!("log{number}")))
            .unwrap_or_else(|error| stop(&error.to_string()));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).current_dir(&root).env("RELAY_CONFIG", &config).env("TMPDIR", &temporary);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        if let Some(listener) = listener {
            let held = listener.as_raw_fd();
            command.env("RELAY_INHERITED_FD", INHERITED.to_string());
            // SAFETY: `dup2` may be called between fork and exec.
            unsafe {
                command.pre_exec(move || match dup2(held, INHERITED) {
                    INHERITED => Ok(()),
                    _ => Err(std::io::Error::last_os_error()),
                });
            }
        }
        let child =
            command.spawn().unwrap_or_else(|error| stop(&format!("the proxy does not start: {error}")));
        let child = Arc::new(Mutex::new(child));
        STARTED.lock().unwrap().push(child.clone());
        Proxy { listen, operator, child }
    }

    fn is_ready(&self) -> bool {
        let Some(mut client) = Client::connect(self.listen) else { return false };
        let _ = client.stream.set_read_timeout(Some(Duration::from_secs(1)));
        client.send_text("") && matches!(client.next_message(), Some((b'I', _)))
    }

    /// Sends a signal to the program that the run line started: the shell has been replaced by it.
    pub fn signal(&self, name: &str, record: &Record) {
        record.line(format!("SIG{name} to the proxy"));
        let pid = self.child.lock().unwrap().id().to_string();
        let status = Command::new("kill").arg(format!("-{name}")).arg(pid).status();
        if !status.is_ok_and(|status| status.success()) {
            stop("the signal could not be sent");
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.lock().unwrap().try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills the proxy if it still runs.
    pub fn kill(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

// ---------------------------------------------------------------------------------------------- clients

/// The most that a client reads at once.
const PIECE: usize = 64 << 10;

/// One connection of a client.
pub struct Client {
    pub stream: TcpStream,
    /// The connection was reset, that is not closed in an orderly way. The system says so once.
    pub was_reset: bool,
    /// Nothing came for as long as the client was set to wait.
    pub has_timed_out: bool,
}

/// How a request ended, as its client sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    Served(Vec<u8>),
    Refused(String),
    Failed(String),
    /// The connection ended with no whole answer; the number of bytes of the value that had come.
    Lost(usize),
}

/// The startup message of a client.
pub fn startup() -> Vec<u8> {
    let mut body = 196_608u32.to_be_bytes().to_vec();
    body.extend_from_slice(b"user\0api\0database\0ledger\0\0");
    let mut bytes = ((body.len() + 4) as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

impl Client {
    pub fn from_stream(stream: TcpStream) -> Client {
        Client { stream, was_reset: false, has_timed_out: false }
    }

    pub fn connect(address: SocketAddr) -> Option<Client> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        let _ = stream.set_nodelay(true);
        stream.write_all(&startup()).ok()?;
        let mut client = Client::from_stream(stream);
        loop {
            let (tag, _) = client.next_message()?;
            if tag == b'Z' {
                return Some(client);
            }
            if tag == b'E' {
                return None;
            }
        }
    }

    pub fn next_message(&mut self) -> Option<(u8, Vec<u8>)> {
        read_message(&mut self.stream)
    }

    pub fn send_text(&mut self, text: &str) -> bool {
        self.stream.write_all(&message(b'Q', format!("{text}\0").as_bytes())).is_ok()
    }

    /// Reads the answer to one request, up to ReadyForQuery or the end of the connection.
    pub fn ending(&mut self) -> Ending {
        self.ending_at(Duration::ZERO)
    }

    /// The same, with a pause after each piece of at most 64 KiB.
    pub fn ending_at(&mut self, pause: Duration) -> Ending {
        let mut value = None;
        let mut ending = None;
        loop {
            let Ok(head) = self.take(5, Duration::ZERO) else { return ending.unwrap_or(Ending::Lost(0)) };
            let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
            let body = match self.take(length.saturating_sub(4), pause) {
                Ok(body) => body,
                Err(part) => return ending.unwrap_or(Ending::Lost(part.len().max(1))),
            };
            match head[0] {
                b'D' => value = Some(body.get(6..).unwrap_or_default().to_vec()),
                b'C' => ending = value.take().map(Ending::Served),
                b'E' => {
                    let fields = body.split(|byte| *byte == 0);
                    let code = fields.filter(|field| field.first() == Some(&b'C')).next();
                    let code = String::from_utf8_lossy(code.map_or(b"", |code| &code[1..])).into_owned();
                    let refused = code == "53300" || code == "57P03";
                    ending = Some(if refused { Ending::Refused(code) } else { Ending::Failed(code) });
                }
                b'Z' => return ending.unwrap_or(Ending::Failed("no answer before ReadyForQuery".into())),
                _ => {}
            }
        }
    }

    /// Reads so many bytes, with a pause after each piece. Returns what has come if the connection ends before.
    fn take(&mut self, wanted: usize, pause: Duration) -> Result<Vec<u8>, Vec<u8>> {
        let mut bytes = Vec::new();
        let mut scratch = vec![0; PIECE.min(wanted)];
        while bytes.len() < wanted {
            let most = scratch.len().min(wanted - bytes.len());
            match self.stream.read(&mut scratch[..most]) {
                Ok(0) => return Err(bytes),
                Ok(count) => bytes.extend_from_slice(&scratch[..count]),
                Err(error) => {
                    self.was_reset = error.kind() == ErrorKind::ConnectionReset;
                    self.has_timed_out = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                    return Err(bytes);
                }
            }
            thread::sleep(pause);
        }
        Ok(bytes)
    }

    pub fn ask(&mut self, text: &str) -> Ending {
        if !self.send_text(text) {
            return Ending::Lost(0);
        }
        self.ending()
    }
}

/// An id that no other request of this run has.
pub fn new_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let number = LAST.fetch_add(1, Ordering::SeqCst) + 1;
    format!("{:08x}{number:08x}", std::process::id())
}

pub fn read(id: &str, class: &str, key: &str, d: u64, more: &str) -> String {
    format!("SELECT blob FROM rows WHERE handle = '{key}' /* id={id},c={class},d={d},cluster=1{more} */")
}

pub fn write(id: &str, class: &str, key: &str, d: u64) -> String {
    format!(
        "INSERT INTO rows (handle, blob) VALUES ('{key}', '\\x9f03') RETURNING blob /* id={id},c={class},d={d},cluster=1 */"
    )
}

// ---------------------------------------------------------------------------------------------- the network

/// A relay before a database: passes bytes on, each piece after the one-way delay.
pub fn relay(target: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| stop(&error.to_string()));
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for inner in listener.incoming().flatten() {
            let Ok(outer) = TcpStream::connect(target) else { continue };
            let _ = (inner.set_nodelay(true), outer.set_nodelay(true));
            let (Ok(inner_copy), Ok(outer_copy)) = (inner.try_clone(), outer.try_clone()) else { continue };
            pass_on(inner, outer, delay);
            pass_on(outer_copy, inner_copy, delay);
        }
    });
    address
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut scratch = vec![0; 64 << 10];
        loop {
            let count = from.read(&mut scratch).unwrap_or(0);
            let piece = scratch[..count].to_vec();
            if sender.send((Instant::now() + delay, piece)).is_err() || count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (at, piece) in receiver {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if piece.is_empty() || to.write_all(&piece).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
        }
    });
}
