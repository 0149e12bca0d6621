//! Stand-ins for the review's cases: clients, databases, discovery and the platform. One program, standard library only.
//! `rig CASE FOLDER` plays a case: it starts the proxy with the deploy file's command and writes `record.txt` into the folder.

#![allow(dead_code)]

mod cases;

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// No case may run longer than this.
const TIME_LIMIT: Duration = Duration::from_secs(110);

// ---------------------------------------------------------------- record

struct Record {
    file: Mutex<File>,
    started: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Writes one line to the record, with the milliseconds since the start of the case.
pub fn note(text: impl AsRef<str>) {
    if let Some(record) = RECORD.get() {
        let at = record.started.elapsed().as_secs_f64() * 1000.0;
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{at:>10.1} {}", text.as_ref());
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
}

pub fn sleep_ms(ms: f64) {
    if ms > 0.0 {
        thread::sleep(Duration::from_secs_f64(ms / 1000.0));
    }
}

/// Sleeps until this Unix time in milliseconds.
pub fn sleep_until(at_ms: f64) {
    sleep_ms(at_ms - unix_ms());
}

/// Whether the case plays its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- messages

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// The description of the one column, in binary format.
pub fn description() -> Vec<u8> {
    message(b'T', &[&[0, 1][..], b"blob\0", &[0; 6], &[0, 0, 0, 17], &[255; 6], &[0, 1]].concat())
}

/// A row with this value as its only column.
pub fn data_row(value: &[u8]) -> Vec<u8> {
    message(b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat())
}

pub fn complete() -> Vec<u8> {
    message(b'C', b"SELECT 1\0")
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

pub fn row(value: &[u8]) -> Vec<u8> {
    [description(), data_row(value), complete()].concat()
}

/// The role and position that a database tells with each answer.
pub fn status(primary: bool, position_ms: i64) -> Vec<u8> {
    let role = format!("server_role\0{}\0", if primary { "writer" } else { "reader" });
    let position = format!("commit_clock\0{position_ms}\0");
    [message(b'S', role.as_bytes()), message(b'S', position.as_bytes())].concat()
}

/// What a database of the second deployment tells with each answer: its role, its report, and the commit of a write.
pub fn second_status(primary: bool, position_ms: i64, commit: bool) -> Vec<u8> {
    let role = format!("server_role\0{}\0", if primary { "writer" } else { "reader" });
    let (seconds, millis) = (position_ms / 1000, position_ms % 1000);
    let report = format!("usage\0x0={seconds}.{millis:03},x1={}\0", u8::from(primary));
    let mut told = [message(b'S', role.as_bytes()), message(b'S', report.as_bytes())].concat();
    if commit {
        told.extend(message(b'S', format!("commit_clock\0{}\0", position_ms + 1).as_bytes()));
    }
    told
}

pub fn usage(primary: bool, position_ms: i64) -> Vec<u8> {
    let (seconds, millis) = (position_ms / 1000, position_ms % 1000);
    row(format!("x0={seconds}.{millis:03},x1={}", u8::from(primary)).as_bytes())
}

/// Reads a message with its tag. `None`: the peer has closed the connection between messages.
pub fn read_message(stream: &mut impl Read) -> io::Result<Option<(u8, Vec<u8>)>> {
    let mut tag = [0];
    if stream.read(&mut tag)? == 0 {
        return Ok(None);
    }
    Ok(Some((tag[0], read_body(stream)?)))
}

pub fn read_body(stream: &mut impl Read) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// The value of a field of the statement's comment.
pub fn field<'a>(statement: &'a str, name: &str) -> &'a str {
    let comment = statement.split("/* ").nth(1).unwrap_or("");
    let mut fields = comment.trim_end_matches(" */").split(',');
    fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('=')).unwrap_or("")
}

/// The quoted strings of a statement: the key, and for a write the value.
pub fn quoted(statement: &str) -> Vec<&str> {
    statement.split('\'').skip(1).step_by(2).collect()
}

/// A short form of a statement for the record.
pub fn brief(statement: &str) -> String {
    if statement.len() <= 220 {
        return statement.to_string();
    }
    format!("{}...{}", &statement[..70], &statement[statement.len() - 110..])
}

// ---------------------------------------------------------------- sockets

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the close of a connection a reset.
fn reset_at_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1i32, 0];
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// Closes the connection with a reset.
pub fn reset(stream: TcpStream) {
    reset_at_close(&stream);
    drop(stream);
}

/// Ends a connection that another thread still reads: the thread sees its end, and the last handle resets it.
fn reset_open(stream: &TcpStream) {
    reset_at_close(stream);
    let _ = stream.shutdown(Shutdown::Both);
}

/// A loopback address with a free port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Listens on a free loopback address and serves each connection on a thread of its own. `serve` gets the number of the
/// connection, from 1.
pub fn listen(serve: impl Fn(u64, TcpStream) -> io::Result<()> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (number, stream) in (1..).zip(listener.incoming()) {
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(number, stream));
        }
    });
    address
}

/// Reads the startup message of a proxy and lets it in after a delay.
pub fn let_in(stream: &mut TcpStream, delay_ms: f64) -> io::Result<()> {
    read_body(stream)?;
    sleep_ms(delay_ms);
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat())
}

/// Reads the next query of a proxy. `None`: the connection has ended.
pub fn next_query(stream: &mut TcpStream) -> io::Result<Option<String>> {
    while let Some((tag, body)) = read_message(stream)? {
        if tag == b'Q' {
            return Ok(Some(String::from_utf8_lossy(&body).trim_end_matches('\0').to_string()));
        }
        if tag == b'X' {
            break;
        }
    }
    Ok(None)
}

// ---------------------------------------------------------------- discovery

/// A database in the list.
#[derive(Clone)]
pub struct Listed {
    pub uid: String,
    pub address: SocketAddr,
    pub group: u32,
    pub primary: bool,
    pub state: &'static str,
    pub boot_ms: i64,
}

impl Listed {
    pub fn new(uid: &str, address: SocketAddr, primary: bool) -> Listed {
        Listed { uid: uid.into(), address, group: 0, primary, state: "up", boot_ms: 0 }
    }

    fn json(&self) -> String {
        let access = if self.primary { "writer" } else { "reader" };
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"m1","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":{},"access":"{access}"}}"#,
            self.uid, self.address, self.group, self.state, self.boot_ms
        )
    }
}

struct List {
    revision: u64,
    entries: Vec<Listed>,
    /// How long after its time each answer comes.
    late_ms: f64,
    /// The connections of proxies.
    connections: Vec<TcpStream>,
}

/// Discovery: the whole list, and a watch that is answered when the list changes (with the whole list) or its time is over.
#[derive(Clone)]
pub struct Discovery {
    list: Arc<(Mutex<List>, Condvar)>,
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(entries: Vec<Listed>) -> Discovery {
        let list = Arc::new((Mutex::new(List { revision: 41, entries, late_ms: 0.0, connections: Vec::new() }), Condvar::new()));
        let served = list.clone();
        let address = listen(move |_, stream| answer_calls(&served, stream));
        Discovery { list, address }
    }

    /// The list in the form of discovery, for `known`.
    pub fn json(&self) -> String {
        whole_list(&self.list.0.lock().unwrap())
    }

    pub fn change(&self, change: impl FnOnce(&mut Vec<Listed>)) {
        let mut list = self.list.0.lock().unwrap();
        list.revision += 1;
        change(&mut list.entries);
        note(format!("discovery: {}", whole_list(&list)));
        self.list.1.notify_all();
    }

    /// From now on each answer comes this much later.
    pub fn answer_late(&self, late_ms: f64) {
        note(format!("discovery: answers come {late_ms} ms after their time"));
        self.list.0.lock().unwrap().late_ms = late_ms;
    }

    /// Resets all open watches.
    pub fn reset_watches(&self) {
        note("discovery: resets all open watches");
        for connection in self.list.0.lock().unwrap().connections.drain(..) {
            reset_open(&connection);
        }
    }
}

fn whole_list(list: &List) -> String {
    let targets: Vec<String> = list.entries.iter().map(Listed::json).collect();
    format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, list.revision, targets.join(","))
}

fn answer_calls(list: &(Mutex<List>, Condvar), mut stream: TcpStream) -> io::Result<()> {
    list.0.lock().unwrap().connections.push(stream.try_clone()?);
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    while let Some(line) = lines.next().transpose()? {
        while lines.next().transpose()?.is_some_and(|header| !header.is_empty()) {}
        let number = |name: &str| {
            let (_, rest) = line.split_once(name)?;
            rest.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        note(format!("discovery: gets {line}"));
        let until = Instant::now() + Duration::from_millis(number("hold_ms=").unwrap_or(0));
        let mut held = list.0.lock().unwrap();
        while number("from=") == Some(held.revision) && Instant::now() < until {
            held = list.1.wait_timeout(held, until - Instant::now()).unwrap().0;
        }
        let unchanged = number("from=") == Some(held.revision);
        let body = if unchanged {
            format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, held.revision)
        } else {
            whole_list(&held)
        };
        let late_ms = held.late_ms;
        drop(held);
        sleep_ms(late_ms);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let written = stream.write_all(answer.as_bytes());
        note(format!("discovery: answers {line} with {body}: {written:?}"));
        written?;
    }
    Ok(())
}

// ---------------------------------------------------------------- proxies

/// A running proxy. It is killed when the handle is dropped.
pub struct Proxy {
    child: Child,
    pub clients: SocketAddr,
    pub operator: SocketAddr,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The temporary folder of this run, and the processes to end if the case takes too long.
pub struct Rig {
    pub folder: PathBuf,
    pids: Arc<Mutex<Vec<u32>>>,
}

/// What a proxy is started with.
pub struct ProxyConfig<'a> {
    pub name: &'a str,
    pub discovery: &'a Discovery,
    pub settings: String,
    /// The clients' listening socket if the platform holds it.
    pub listener: Option<&'a TcpListener>,
}

impl Rig {
    fn new() -> Rig {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp")).unwrap();
        let rig = Rig { folder, pids: Arc::default() };
        let (folder, pids) = (rig.folder.clone(), rig.pids.clone());
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            note("the case took too long");
            for pid in pids.lock().unwrap().iter() {
                signal(*pid, "KILL");
            }
            let _ = std::fs::remove_dir_all(folder);
            std::process::exit(2);
        });
        rig
    }

    /// Starts a proxy with the command of the deploy file, as the platform does.
    pub fn start(&self, config: &ProxyConfig) -> Proxy {
        let clients = config.listener.map_or_else(free_address, |listener| listener.local_addr().unwrap());
        let operator = free_address();
        let known = config.discovery.json();
        let (name, discovery, settings) = (config.name, config.discovery.address, &config.settings);
        let text = format!(
            r#"{{"name":"{name}","listen":"{clients}","discovery":"{discovery}","operator":"{operator}","seed":"{:016x}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{known},
 "settings":{settings}}}"#,
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64
        );
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, text).unwrap();
        let log = File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .env("RELAY_CONFIG", &path)
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", clients.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("TMPDIR", self.folder.join("tmp"))
            .env("DEPLOY_RUN", deploy_command("run"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        match config.listener {
            // The shell makes the socket descriptor 3 of the program.
            Some(listener) => command
                .stdin(Stdio::from(OwnedFd::from(listener.try_clone().unwrap())))
                .env("RELAY_INHERITED_FD", "3")
                .args(["-c", "exec /bin/sh -c \"$DEPLOY_RUN\" 3<&0 </dev/null"]),
            None => command.args(["-c", "exec /bin/sh -c \"$DEPLOY_RUN\""]),
        };
        let child = command.spawn().unwrap();
        self.pids.lock().unwrap().push(child.id());
        note(format!("platform: started {name}, clients at {clients}"));
        Proxy { child, clients, operator }
    }
}

impl Proxy {
    /// Waits until the proxy answers an empty query, as the front does before it takes the proxy in.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.clients) {
                if client.send("").is_ok() && matches!(client.read(2_000.0), Answer::Empty) {
                    return;
                }
            }
            sleep_ms(20.0);
        }
        panic!("the proxy is not ready in 20 s");
    }

    /// The first line of the answer to an operator's call.
    pub fn call(&self, call: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect(self.operator)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        writeln!(stream, "{call}")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.trim().to_string())
    }

    /// Waits until the new process says yes.
    pub fn wait_until_yes(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.call("status").is_ok_and(|line| line.starts_with("YES")) {
                return;
            }
            sleep_ms(10.0);
        }
        panic!("the new process says no YES in 20 s");
    }

    pub fn signal(&self, name: &str) {
        note(format!("platform: SIG{name}"));
        signal(self.child.id(), name);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
}

/// A command of the deploy file.
fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap();
    let prefix = format!("{key} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix)).unwrap();
    line[..line.rfind('"').unwrap()].to_string()
}

/// The settings of a small deployment. `file_entry` are the keys on the effect of the class `file-entry`, `tokens` is how
/// sessions tell their last commit.
pub fn settings(file_entry: &str, tokens: &str) -> String {
    format!(
        r#"{{"balancers": 1, "my_zone": 0, "dcs": ["a"],
  "classes": [
   {{"name": "status-check", "credit": 3.0, "deadline_ms": 1200.0, "goal_time_ms": 300.0, "idempotency": "free", "late_worth": 0.0}},
   {{"name": "own-draft", "credit": 2.0, "deadline_ms": 1500.0, "goal_time_ms": 500.0, "idempotency": "free", "late_worth": 0.2}},
   {{"name": "tariff-lookup", "credit": 1.0, "deadline_ms": 2500.0, "goal_time_ms": 600.0, "idempotency": "free", "late_worth": 0.2}},
   {{"name": "file-entry", "credit": 6.0, "deadline_ms": 3000.0, "goal_time_ms": 750.0, {file_entry}, "late_worth": 0.5}}],
  "extra": {{"class_read": ["bounded", "session", "any", "write"], "max_age_ms": [800.0, 0.0, 0.0, 0.0],
   "guards": "silent", "role_in_list": "late", "tells_position": true, "tokens": "{tokens}"}},
  "limits": {{"attempts_cap": 6, "may_cancel": true, "may_probe": true, "parallel_tries": true,
   "conn_idle_ms": 30000.0, "connect_timeout_ms": 250.0, "max_retry_after_ms": 2000.0, "retry_after": false}},
  "load_info": {{"names": ["x0", "x1"], "via": "pull"}}, "registry_mode": "automatic",
  "obligations": {{"answer_slack_ms": 20.0, "cold_ms": 18000.0, "cold_share": 0.15, "drain_grace_ms": 2000.0, "fall_ms": 1500.0, "fall_multiple": 3.0}}}}"#
    )
}

/// The settings of a small deployment like the second one: never two attempts at once, load reports with each answer, and a
/// list that shows the roles of the start. `write` are the keys on the effect of the class `radicacion`.
pub fn second_settings(write: &str) -> String {
    format!(
        r#"{{"balancers": 1, "my_zone": 0, "dcs": ["laureles"],
  "classes": [
   {{"name": "consulta", "credit": 1.0, "deadline_ms": 2500.0, "goal_time_ms": 1000.0, "idempotency": "free", "late_worth": 0.0}},
   {{"name": "consulta-propia", "credit": 1.0, "deadline_ms": 3000.0, "goal_time_ms": 1000.0, "idempotency": "free", "late_worth": 0.0}},
   {{"name": "informe", "credit": 6.0, "deadline_ms": 10000.0, "goal_time_ms": 5000.0, "idempotency": "free", "late_worth": 0.0}},
   {{"name": "radicacion", "credit": 4.0, "deadline_ms": 5000.0, "goal_time_ms": 1200.0, {write}, "late_worth": 0.3}}],
  "extra": {{"class_read": ["bounded", "session", "any", "write"], "max_age_ms": [200.0, 0.0, 0.0, 0.0],
   "guards": "silent", "role_in_list": "start", "tells_position": false, "tokens": "carried"}},
  "limits": {{"attempts_cap": 6, "may_cancel": true, "may_probe": true, "parallel_tries": false,
   "conn_idle_ms": 30000.0, "connect_timeout_ms": 250.0, "max_retry_after_ms": 2000.0, "retry_after": true}},
  "load_info": {{"names": ["x0", "x1"], "via": "piggyback"}}, "registry_mode": "automatic",
  "obligations": {{"answer_slack_ms": 20.0, "cold_ms": 18000.0, "cold_share": 0.25, "drain_grace_ms": 2000.0, "fall_ms": 3000.0, "fall_multiple": 3.0}}}}"#
    )
}

// ---------------------------------------------------------------- clients

/// What a client got for a statement.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Empty,
    Served(Vec<u8>),
    Error(String),
    /// The proxy ended the connection without a whole answer. Holds what had come before.
    Cut(String),
    /// Nothing whole came in time.
    Silent(String),
}

impl Answer {
    pub fn brief(&self) -> String {
        match self {
            Answer::Served(value) if value.len() > 60 => format!("served, {} bytes", value.len()),
            Answer::Served(value) => format!("served '{}'", String::from_utf8_lossy(value)),
            other => format!("{other:?}"),
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn new_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(3))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let body = [&196_608u32.to_be_bytes()[..], b"user\0api\0database\0ledger\0\0"].concat();
        stream.write_all(&[&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat())?;
        let mut client = Client { stream };
        match client.read(3_000.0) {
            Answer::Error(code) => Err(io::Error::other(code)),
            Answer::Cut(text) | Answer::Silent(text) => Err(io::Error::other(text)),
            _ => Ok(client),
        }
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&message(b'Q', &[statement.as_bytes(), b"\0"].concat()))
    }

    /// Reads an answer up to ReadyForQuery, for at most this time.
    pub fn read(&mut self, time_ms: f64) -> Answer {
        let until = Instant::now() + Duration::from_secs_f64(time_ms / 1000.0);
        let mut answer = Answer::Empty;
        let mut parts = String::new();
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let _ = self.stream.set_read_timeout(Some(left));
            match read_message(&mut self.stream) {
                Ok(Some((b'Z', _))) => return answer,
                Ok(Some((b'D', body))) => {
                    answer = Answer::Served(body[6..].to_vec());
                    parts += &format!("DataRow of {} bytes, ", body.len() - 6);
                }
                Ok(Some((b'E', body))) => {
                    let mut fields = body.split(|byte| *byte == 0);
                    let code = fields.find_map(|field| field.strip_prefix(b"C")).unwrap_or_default();
                    answer = Answer::Error(String::from_utf8_lossy(code).into());
                }
                Ok(Some((tag, _))) => parts.push_str(&format!("{}, ", tag as char)),
                Ok(None) => return Answer::Cut(format!("{parts}then the connection was closed")),
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    return Answer::Silent(format!("{parts}then nothing"));
                }
                Err(error) => return Answer::Cut(format!("{parts}then {error}")),
            }
        }
    }

    /// Sends a statement and reads its answer; both go to the record.
    pub fn ask(&mut self, who: &str, statement: &str, time_ms: f64) -> Answer {
        note(format!("{who} sends {}", brief(statement)));
        let answer = match self.send(statement) {
            Ok(()) => self.read(time_ms),
            Err(error) => Answer::Cut(error.to_string()),
        };
        note(format!("{who} gets {}", answer.brief()));
        answer
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub fn select(key: &str, class: &str, deadline_ms: u32) -> String {
    format!(
        "SELECT blob FROM rows WHERE handle = '{key}' /* id={},c={class},d={deadline_ms},cluster=0 */",
        new_id()
    )
}

pub fn insert(key: &str, hex: &str, class: &str, deadline_ms: u32, extra: &str) -> String {
    format!(
        "INSERT INTO rows (handle, blob) VALUES ('{key}', '\\x{hex}') RETURNING blob /* id={},c={class},d={deadline_ms},cluster=0{extra} */",
        new_id()
    )
}

// ---------------------------------------------------------------- main

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run as meant.
    NotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, folder) = (&arguments[1], Path::new(&arguments[2]));
    let file = Mutex::new(File::create(folder.join("record.txt")).unwrap());
    let _ = RECORD.set(Record { file, started: Instant::now() });
    note(format!("case {case}, with the disruption: {}", trouble()));
    let rig = Rig::new();
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::play(case, &rig)));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&rig.folder);
    } else {
        eprintln!("kept {}", rig.folder.display());
    }
    let (word, code) = match played {
        Ok(Verdict::Held) => ("the rule held", 0),
        Ok(Verdict::Broken) => ("the rule was broken", 1),
        Ok(Verdict::NotRun) | Err(_) => ("the case could not run", 2),
    };
    note(word);
    println!("{word}");
    std::process::exit(code);
}
