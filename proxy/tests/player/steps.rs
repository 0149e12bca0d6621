//! What each line of an exchange does.

use super::process::Process;
use super::{PATIENCE, Player, accept};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A signal interrupts a read that has a time-out, if only the whole test was stopped and goes on: that tells nothing
/// of the connection, and it is read again.
fn uninterrupted(mut read: impl FnMut() -> std::io::Result<usize>) -> std::io::Result<usize> {
    loop {
        match read() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

impl Player {
    #[expect(clippy::too_many_lines, reason = "one arm for each kind of step")]
    pub fn step(&mut self, line: &str) {
        let (party, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (deed, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        match (party, deed) {
            ("config" | "descriptors" | "inherited" | "stops", _) => {}
            ("stopped", _) => self.processes[0].stopped(),
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
                let (start, mut passed_over) = (Instant::now(), Vec::new());
                while !self.log_seen.contains(wanted) {
                    passed_over.push(self.log_seen.clone());
                    let next = self.processes[0].log.recv_timeout(PATIENCE.saturating_sub(start.elapsed()));
                    self.log_seen = next.unwrap_or_else(|_| panic!("not in the log: {passed_over:#?}"));
                }
            }
            ("unlogged", _) => {
                let unwanted: Vec<&str> = line.strip_prefix("unlogged ").unwrap().split(" or ").collect();
                let mut come: Vec<String> = self.processes[0].log.try_iter().collect();
                come.insert(0, self.log_seen.clone());
                let found = come.iter().find(|l| unwanted.iter().any(|u| l.contains(u)));
                assert!(found.is_none(), "{found:?}");
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
            (listener, "full") => {
                let listener = &self.listeners[listener];
                // One connection in its queue, and the system drops whoever else wants to come.
                socket2::SockRef::from(listener).listen(0).unwrap();
                let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
                self.open.insert(format!("{party}.filler"), filler);
            }
            (listener, "room") => drop(accept(&self.listeners[listener])),
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
                    match uninterrupted(|| stream.read(&mut got[n..])) {
                        Ok(more @ 1..) => n += more,
                        end => panic!("{end:?} after {:?}", String::from_utf8_lossy(&got[..n])),
                    }
                }
                let same = n == got.len() && wanted.iter().zip(&got).all(|(w, g)| w.is_none_or(|w| w == *g));
                assert!(same, "came: {:?}", String::from_utf8_lossy(&got[..n]));
                let waited = self.sent.elapsed();
                assert!(deed == "<" || waited >= Duration::from_millis(1), "it came after {waited:?}");
            }
            (_, "asks") => {
                let stream = self.party(party);
                assert!(uninterrupted(|| stream.peek(&mut [0])).is_ok_and(|n| n > 0), "nothing comes")
            }
            (_, "close") => drop(self.open.remove(party)),
            (_, "closed") => {
                let stream = self.party(party);
                assert_eq!(uninterrupted(|| stream.read(&mut [0; 64])).ok(), Some(0));
            }
            (_, "ends") => {
                let stream = self.party(party);
                let end = uninterrupted(|| stream.read(&mut [0; 64]));
                let reset = end.as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionReset);
                assert!(reset || matches!(end, Ok(0)), "{end:?}");
            }
            _ => panic!("no such step"),
        }
    }
}
