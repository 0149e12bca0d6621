//! A client repeats the id of another client's open write while the process of the proxy is replaced.

use crate::common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: usize = 4;
/// Work of the writes: some 20 times the usual 84 to 150 ms.
const WORK_MS: u64 = 2000;
/// The old process gets SIGTERM so long after the new one says yes.
const TERM_AFTER_MS: u64 = 1000;
/// The old process gets SIGKILL so long after SIGTERM, if it still runs.
const KILL_AFTER: Duration = Duration::from_millis(3750);
/// The most connections of the bad client in one round.
const MAX_COPIES: usize = 1500;

/// Sends a statement right behind the startup message and waits for its end. Returns whether it was turned away.
fn is_turned_away(listen: SocketAddr, text: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(listen) else { return true };
    let _ = stream.set_nodelay(true);
    let mut bytes = startup();
    bytes.extend(message(b'Q', format!("{text}\0").as_bytes()));
    if stream.write_all(&bytes).is_err() {
        return true;
    }
    let mut client = Client::from_stream(stream);
    // The first ReadyForQuery ends the startup.
    client.ending();
    !matches!(client.ending(), Ending::Served(_))
}

pub fn repeated_id() -> i32 {
    let record = Record::open();
    let behaviour: Arc<Answer> =
        Arc::new(|database: &Database, query: &Query, stream: &mut TcpStream, record: &Record| {
            if query.is_write && database.is_primary.load(Ordering::SeqCst) {
                record.line(format!("{} starts {}", database.name, query.id()));
                sleep_ms(WORK_MS);
            }
            usual_answer(database, query, stream, record)
        });
    let primary = Database::start("p", true, &record, behaviour.clone());
    let replica = Database::start("r", false, &record, behaviour);
    let entries = vec![Entry::of(&primary, 1), Entry::of(&replica, 1)];
    let known = list_json(1, &entries);
    let discovery = Discovery::start(1, entries, &record);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| stop(&error.to_string()));
    let listen = listener.local_addr().unwrap();
    let start = || Proxy::start_beside(&KEELUNG, discovery.address, &known, &record, &listener);
    let mut old = start();
    old.wait_until_yes(&record);
    sleep_ms(500);
    let mut ids = Vec::new();
    for round in 1..=ROUNDS {
        let id = new_id();
        let Some(mut client) = Client::connect(listen) else { stop("no connection") };
        let text = write(&id, "file-entry", "k", 3000);
        record.line(format!("round {round}: a client sends {id}"));
        if !client.send_text(&text) {
            stop("the write could not be sent");
        }
        sleep_ms(100);
        let is_over = Arc::new(AtomicBool::new(false));
        let copies = Arc::new(AtomicUsize::new(0));
        let bad = {
            let (is_over, copies, text) = (is_over.clone(), copies.clone(), text.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) && copies.fetch_add(1, Ordering::SeqCst) < MAX_COPIES {
                    if !is_turned_away(listen, &text) {
                        return;
                    }
                    thread::sleep(Duration::from_micros(500));
                }
            })
        };
        sleep_ms(50);
        let new = if trouble() {
            record.line("the platform starts a second process");
            let new = start();
            new.wait_until_yes(&record);
            Some(new)
        } else {
            None
        };
        sleep_ms(TERM_AFTER_MS);
        is_over.store(true, Ordering::SeqCst);
        if let Some(new) = new {
            old.signal("TERM", &record);
            let until = Instant::now() + KILL_AFTER;
            while Instant::now() < until && !old.has_ended() {
                sleep_ms(10);
            }
            old.kill();
            old = new;
        }
        record.line(format!("{id}: {:?}", client.ending()));
        let _ = bad.join();
        record.line(format!("another client has sent {id} {} times", copies.load(Ordering::SeqCst)));
        ids.push(id);
    }
    sleep_ms(WORK_MS + 500);
    old.kill();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for id in primary.ran_writes.lock().unwrap().iter() {
        *runs.entry(id.clone()).or_default() += 1;
    }
    let twice = ids.iter().filter(|id| runs.get(*id).is_some_and(|count| *count > 1)).count();
    let never = ids.iter().filter(|id| !runs.contains_key(*id)).count();
    record.line(format!("{} writes; {twice} ran more than once, {never} did not run", ids.len()));
    match (twice, never == ids.len()) {
        (_, true) => NOT_RUN,
        (0, _) => HELD,
        _ => BROKEN,
    }
}
