//! Plays the recorded exchanges of `tests/exchanges/*.txt` against the built program: the player is
//! its clients, its databases and its discovery. How the files read: `exchanges/README`.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Longer than any machine stalls; no exchange waits for it unless it fails.
const PATIENCE: Duration = Duration::from_secs(20);
const LISTENERS: [&str; 4] = ["agent", "p", "r", "q"];

/// A byte to be sent, or matched; `None` matches any.
type Bytes = Vec<Option<u8>>;

/// A process of the program, and where operators call it.
struct Process {
    program: Child,
    log: Receiver<String>,
    door: SocketAddr,
}

struct Player {
    /// The one that the steps speak of comes first.
    processes: Vec<Process>,
    /// How each is started, and the clients' listening socket if the platform holds it.
    shell: String,
    shared: Option<TcpListener>,
    proxy: SocketAddr,
    listeners: HashMap<&'static str, TcpListener>,
    open: HashMap<String, TcpStream>,
    names: HashMap<String, Bytes>,
    log_seen: String,
    /// When it last sent something.
    sent: Instant,
    /// The configuration's file and text.
    config: (String, String),
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
    }
}

impl Process {
    /// Starts the program and waits until it serves; also where clients connect, and its first log line.
    fn start(shell: &str, config: &str, shared: Option<&TcpListener>) -> (Process, SocketAddr, String) {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", shell]).env("RELAY_CONFIG", config).env("TMPDIR", format!("{config}.tmp"));
        if let Some(listener) = shared {
            let handed = OwnedFd::from(listener.try_clone().unwrap());
            command.stdin(Stdio::from(handed)).env("RELAY_INHERITED_FD", "3");
        }
        let mut program = command.stderr(Stdio::piped()).spawn().unwrap();
        let (lines, log) = channel();
        let errors = BufReader::new(program.stderr.take().unwrap());
        std::thread::spawn(move || errors.lines().map_while(Result::ok).try_for_each(|l| lines.send(l)));
        let started = log.recv_timeout(PATIENCE).unwrap();
        let at = |name| started.split(' ').find_map(|w| w.strip_prefix(name)).unwrap().parse().unwrap();
        let (listen, door) = (at("listen="), at("operator="));
        (Process { program, log, door }, listen, started)
    }
}

fn plain(text: &str) -> Bytes {
    text.bytes().map(Some).collect()
}

impl Player {
    fn start(name: &str, script: &str) -> Player {
        // Each exchange has a loopback address of its own: a port that one gives up is not taken by another.
        let own = name.bytes().fold(1u16, |n, b| n.wrapping_mul(31).wrapping_add(b.into())).to_be_bytes();
        let own = IpAddr::from([127, 1 | own[0], own[1], 1]);
        let listeners: HashMap<_, _> =
            LISTENERS.map(|l| (l, TcpListener::bind((own, 0)).unwrap())).into_iter().collect();
        let address = |l: &str| listeners[l].local_addr().unwrap().to_string();
        let mut config = include_str!("exchanges/config.json").to_string();
        for l in LISTENERS {
            config = config.replace(&format!("${l}"), &address(l));
        }
        // What an exchange changes: of the configuration, and of the descriptors that the system gives.
        let mut descriptors = "256";
        for line in script.lines() {
            if let Some((old, new)) = line.strip_prefix("config ").and_then(|l| l.split_once(" => ")) {
                assert!(config.contains(old), "{line}");
                config = config.replace(old, new);
            }
            descriptors = line.strip_prefix("descriptors ").unwrap_or(descriptors);
        }
        let path = format!("{}/{name}.json", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&path, &config).unwrap();
        let _ = std::fs::remove_dir_all(format!("{path}.tmp"));
        std::fs::create_dir(format!("{path}.tmp")).unwrap();
        let shared = script.lines().any(|l| l == "inherited");
        let shared = shared.then(|| TcpListener::bind("127.0.0.1:0").unwrap());
        let handed = if shared.is_some() { "3<&0 </dev/null" } else { "" };
        let program = env!("CARGO_BIN_EXE_birchreach-proxy");
        let shell = format!("ulimit -n {descriptors}; exec '{program}' {handed}");
        let (process, listen, started) = Process::start(&shell, &path, shared.as_ref());
        let names = LISTENERS.map(|l| (l.to_string(), plain(&address(l)))).into_iter().collect();
        let (open, config) = (HashMap::new(), (path, config));
        Player {
            processes: vec![process],
            shell,
            shared,
            proxy: listen,
            listeners,
            open,
            names,
            log_seen: started,
            sent: Instant::now(),
            config,
        }
    }

    /// `c` and a number: a client, which connects; `o` and a number: an operator. `p.2`: the second connection that `p` accepts.
    fn party(&mut self, name: &str) -> &mut TcpStream {
        if !self.open.contains_key(name) {
            let stream = match name.split_once('.') {
                None if name.starts_with('o') => TcpStream::connect(self.processes[0].door).unwrap(),
                None => TcpStream::connect(self.proxy).unwrap(),
                Some((listener, _)) => accept(&self.listeners[listener]),
            };
            stream.set_nodelay(true).unwrap();
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            self.open.insert(name.to_string(), stream);
        }
        self.open.get_mut(name).unwrap()
    }

    fn step(&mut self, line: &str) {
        let (party, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (deed, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        match (party, deed) {
            ("config" | "descriptors" | "inherited", _) => {}
            ("beside", _) => {
                let (process, ..) = Process::start(&self.shell, &self.config.0, self.shared.as_ref());
                self.processes.insert(0, process);
            }
            ("swap", _) => self.processes.swap(0, 1),
            ("killed", _) => drop(self.processes.remove(0)),
            ("wait", ms) => std::thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ("reload", _) => {
                let (path, text) = &self.config;
                let address = |l: &str| self.listeners[l].local_addr().unwrap().to_string();
                let named =
                    |text: &str| text.replace("$agent", &address("agent")).replace("$q", &address("q"));
                let mut text = text.clone();
                for change in line.strip_prefix("reload ").unwrap().split(" ;; ") {
                    let (old, new) = change.split_once(" => ").unwrap();
                    assert!(old == "*" || text.contains(&named(old)), "{line}");
                    text = if old == "*" { new.into() } else { text.replacen(&named(old), &named(new), 1) };
                }
                std::fs::write(path, text).unwrap();
                self.signal("HUP");
            }
            ("define", name) => {
                let bytes = self.bytes(rest);
                self.names.insert(name.to_string(), bytes);
            }
            ("log", _) => {
                let wanted = line.strip_prefix("log ").unwrap();
                while !self.log_seen.contains(wanted) {
                    let next = self.processes[0].log.recv_timeout(PATIENCE);
                    self.log_seen = next.unwrap_or_else(|_| panic!("no such line in the log"));
                }
            }
            ("signal", name) => self.signal(name),
            ("exit", code) => {
                let start = Instant::now();
                let status = loop {
                    if let Some(status) = self.processes[0].program.try_wait().unwrap() {
                        break status;
                    }
                    assert!(start.elapsed() < PATIENCE, "it goes on");
                    std::thread::sleep(Duration::from_millis(5));
                };
                assert_eq!(status.code().unwrap().to_string(), code);
            }
            (listener, "none") => {
                let listener = &self.listeners[listener];
                listener.set_nonblocking(true).unwrap();
                assert!(listener.accept().is_err(), "somebody has connected");
            }
            (listener, "gone") => drop(self.listeners.remove(listener)),
            (_, ">") => {
                let bytes: Vec<u8> = self.bytes(rest).into_iter().flatten().collect();
                self.sent = Instant::now();
                self.party(party).write_all(&bytes).unwrap();
            }
            (_, ">>") => {
                for byte in self.bytes(rest).into_iter().flatten() {
                    self.party(party).write_all(&[byte]).unwrap();
                }
            }
            (_, "<" | "<<") => {
                let wanted = self.bytes(rest);
                let mut got = vec![0; wanted.len()];
                let stream = self.party(party);
                let mut n = 0;
                while n < got.len() && wanted[..n].iter().zip(&got).all(|(w, g)| w.is_none_or(|w| w == *g)) {
                    match stream.read(&mut got[n..]) {
                        Ok(more @ 1..) => n += more,
                        end => panic!("{end:?} after {:?}", String::from_utf8_lossy(&got[..n])),
                    }
                }
                let same = n == got.len() && wanted.iter().zip(&got).all(|(w, g)| w.is_none_or(|w| w == *g));
                assert!(same, "came: {:?}", String::from_utf8_lossy(&got[..n]));
                let waited = self.sent.elapsed();
                assert!(deed == "<" || waited >= Duration::from_millis(1), "it came after {waited:?}");
            }
            (_, "asks") => assert!(self.party(party).peek(&mut [0]).is_ok_and(|n| n > 0), "nothing comes"),
            (_, "close") => drop(self.open.remove(party)),
            (_, "closed") => assert_eq!(self.party(party).read(&mut [0; 64]).ok(), Some(0)),
            (_, "ends") => {
                let end = self.party(party).read(&mut [0; 64]);
                let reset = end.as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionReset);
                assert!(reset || matches!(end, Ok(0)), "{end:?}");
            }
            _ => panic!("no such step"),
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.processes[0].program.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }

    fn bytes(&self, text: &str) -> Bytes {
        let mut rest = text.trim();
        let mut open: Vec<(usize, bool)> = Vec::new();
        let mut out = Bytes::new();
        while !rest.is_empty() {
            let word = rest.split(' ').next().unwrap();
            let mut used = word.len();
            if let Some(quote) = rest.chars().next().filter(|c| "\"'".contains(*c)) {
                let quoted = &rest[1..];
                let end = quoted.find(quote).expect("an open quote");
                out.extend(plain(&quoted[..end].replace("\\r", "\r").replace("\\n", "\n")));
                used = end + 2;
            } else if let Some(name) = word.strip_prefix('$') {
                out.extend(&self.names[name]);
            } else if word == "http[" {
                open.push((out.len(), true));
            } else if let Some(tag) = word.strip_suffix('[') {
                out.extend(plain(tag));
                open.push((out.len(), false));
                out.extend([Some(0); 4]);
            } else if word == "(" {
                open.push((out.len(), false));
                out.extend([Some(0); 4]);
            } else if word == "]" || word == ")" {
                let (start, http) = open.pop().unwrap();
                let length = out.len() - start - if word == ")" { 4 } else { 0 };
                if http {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    out.splice(start..start, plain(&head));
                } else {
                    out.splice(start..start + 4, (length as u32).to_be_bytes().map(Some));
                }
            } else if let Some((times, what)) = word.split_once('*') {
                let what = self.bytes(what);
                out.extend(what.repeat(times.parse().unwrap()));
            } else if word.starts_with('?') {
                out.extend(vec![None; used]);
            } else {
                let hex = |at| u8::from_str_radix(&word[at..at + 2], 16).unwrap();
                out.extend((0..word.len()).step_by(2).map(hex).map(Some));
            }
            rest = rest[used..].trim_start();
        }
        assert!(open.is_empty(), "an open bracket");
        out
    }
}

fn accept(listener: &TcpListener) -> TcpStream {
    let start = Instant::now();
    listener.set_nonblocking(true).unwrap();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock && start.elapsed() < PATIENCE => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(e) => panic!("nobody connects: {e}"),
        }
    }
}

fn play(name: &str) {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/exchanges");
    let read = |file| std::fs::read_to_string(format!("{root}/{file}.txt")).unwrap();
    let mut player = Player::start(name, &read(name));
    for file in ["common", name] {
        for (number, line) in
            read(file).lines().enumerate().filter(|(_, l)| !l.is_empty() && !l.starts_with('#'))
        {
            println!("{file}.txt:{}: {line}", number + 1);
            player.step(line);
        }
    }
}

macro_rules! exchanges {
    ($($name:ident)*) => { $(#[test] fn $name() { play(stringify!($name)); })* };
}

exchanges! {
    read write split pipelined encryption extended forms miss reset refused full cancel
    drain moved probe shed descriptors
    flood hang idle gone silent_probe large stopping agent late_answer malformed reload
    spoilt surplus unreadable_report future_report answers_report spoilt_usage rude unfinished
    operator upgrade stream retune
    agent_reset agent_stalls leaver pipelined_wait keyed stopping_pipelined moved_opening left_while_opening
    left_while_held left_halfway cancel_key indented half_line moved_drain keyed_window
}

/// Starts the program on a configuration, which it is to refuse.
fn refusal(config: Option<&str>) -> (Option<i32>, String) {
    let path = format!("{}/bad-{}.json", env!("CARGO_TARGET_TMPDIR"), config.map_or(0, str::len));
    let _ = config.map(|text| std::fs::write(&path, text));
    let mut command = Command::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    command.env_remove("RELAY_CONFIG");
    if config.is_some() {
        command.env("RELAY_CONFIG", &path);
    }
    let out = command.output().unwrap();
    (out.status.code(), String::from_utf8(out.stderr).unwrap())
}

#[test]
fn a_configuration_that_cannot_be_read_is_refused_in_one_plain_line() {
    let whole = include_str!("exchanges/config.json").replace("$agent", "127.0.0.1:1");
    for (config, names) in [
        (None, "RELAY_CONFIG"),
        (Some("{".to_string()), "not JSON"),
        (Some(whole.replace("\"listen\"", "\"listens\"")), "listen"),
        (Some(whole.replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"here\"")), "listen"),
        (Some(whole.replace("\"settings\"", "\"set\"")), "settings"),
        (Some(whole.replace("\"cold_ms\"", "\"warm_ms\"")), "obligations.cold_ms"),
        (Some(whole.replace("\"rev\"", "\"ref\"")), "rev"),
        (Some(whole.replace("\"sockets\": 40", "\"sockets\": 4")), "sockets"),
    ] {
        let (code, text) = refusal(config.as_deref());
        assert_eq!(code, Some(2), "{names}: {text}");
        assert!(text.lines().count() == 1 && text.contains(names) && !text.contains("panicked"), "{text}");
    }
}

/// The reader of a pipe is there only once the program has come to read its configuration: a signal that
/// comes then waits until it serves.
#[test]
fn a_hangup_before_the_start_is_over_does_not_end_the_program() {
    let path = format!("{}/early", env!("CARGO_TARGET_TMPDIR"));
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut program = Command::new(env!("CARGO_BIN_EXE_birchreach-proxy"))
        .env("RELAY_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, "{").unwrap();
    assert!(Command::new("kill").args(["-HUP", &program.id().to_string()]).status().unwrap().success());
    let config = include_str!("exchanges/config.json").replace("$agent", "127.0.0.1:1");
    pipe.write_all(config.as_bytes()).unwrap();
    drop(pipe);
    let lines = BufReader::new(program.stderr.take().unwrap()).lines().map_while(Result::ok);
    let seen = lines.take(40).any(|l| l.starts_with("event=reload-failed"));
    let _ = program.kill();
    let _ = program.wait();
    assert!(seen, "it goes on, and keeps the configuration that it has");
}
