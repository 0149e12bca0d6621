//! Databases in another data room, some of whose answers are followed by a second copy.

use crate::common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One way between two data rooms: the pages say 1.4 to 2.6 ms.
const ONE_WAY: Duration = Duration::from_micros(2500);
/// The second copy follows the answer after this time, if no statement has arrived on the connection by then.
const RIGHT_AFTER: Duration = Duration::from_micros(1200);
const RUN: Duration = Duration::from_secs(20);
const CLIENTS: usize = 6;

/// Whether nothing has arrived on the connection.
fn nothing_waits(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let waits = stream.peek(&mut [0; 1]).is_ok_and(|count| count > 0);
    let _ = stream.set_nonblocking(false);
    !waits
}

/// Answers as usual, except that every fifth write at the primary meets a full queue (53300, it does not run). With the
/// disruption, each such refusal and every fifth other answer is followed by a second copy of itself.
fn answer(
    count: &AtomicU64,
    database: &Database,
    query: &Query,
    stream: &mut TcpStream,
    record: &Record,
) -> bool {
    let number = count.fetch_add(1, Ordering::SeqCst);
    let is_turned_away = query.is_write && database.is_primary.load(Ordering::SeqCst) && number % 5 == 4;
    let reply = if is_turned_away {
        record.line(format!("{} turns {} away: 53300, queue full", database.name, query.id()));
        let mut reply = error("53300");
        reply.extend(database.status());
        reply.extend(ready());
        reply
    } else {
        sleep_ms(20);
        usual_reply(database, query, record)
    };
    if stream.write_all(&reply).is_err() {
        return false;
    }
    let has_copy = is_turned_away || number % 5 == 0;
    if trouble() && has_copy {
        thread::sleep(RIGHT_AFTER);
        if nothing_waits(stream) {
            record.line(format!("{} sends its answer to {} a second time", database.name, query.id()));
            return stream.write_all(&reply).is_ok();
        }
    }
    true
}

/// Sends writes and reads one after the other. Returns how many were served, and how many with another request's value.
fn ask_for(listen: std::net::SocketAddr, name: usize, until: Instant, record: &Record) -> (usize, usize) {
    let (mut served, mut foreign) = (0, 0);
    let Some(mut client) = Client::connect(listen) else { return (0, 0) };
    while Instant::now() < until {
        let id = new_id();
        let text = match served % 4 {
            3 => read(&id, "tariff-lookup", &format!("k{name}"), 2500, ""),
            _ => write(&id, "file-entry", &format!("k{name}"), 3000),
        };
        let ending = client.ask(&text);
        match &ending {
            Ending::Served(value) => {
                served += 1;
                if *value != value_for(&id) {
                    foreign += 1;
                    record.line(format!("{id} is served with '{}'", String::from_utf8_lossy(value)));
                }
            }
            Ending::Lost(_) => match Client::connect(listen) {
                Some(next) => client = next,
                None => return (served, foreign),
            },
            Ending::Refused(_) | Ending::Failed(_) => record.line(format!("{id}: {ending:?}")),
        }
        sleep_ms(5);
    }
    (served, foreign)
}

pub fn second_copy() -> i32 {
    let record = Record::open();
    let start = |name, is_primary| {
        let count = AtomicU64::new(0);
        let answer: Arc<Answer> =
            Arc::new(move |database: &Database, query: &Query, stream: &mut TcpStream, record: &Record| {
                answer(&count, database, query, stream, record)
            });
        Database::start(name, is_primary, &record, answer)
    };
    let (primary, replica) = (start("p", true), start("r", false));
    let mut entries = vec![Entry::of(&primary, 1), Entry::of(&replica, 1)];
    for entry in &mut entries {
        entry.endpoint = relay(entry.endpoint, ONE_WAY);
        entry.zone = "b";
    }
    let discovery = Discovery::start(1, entries, &record);
    let proxy = Proxy::start(&KEELUNG, discovery.address, &record);
    sleep_ms(500);
    let until = Instant::now() + RUN;
    let totals = Arc::new(Mutex::new((0, 0)));
    let clients = (0..CLIENTS).map(|name| {
        let (listen, record, totals) = (proxy.listen, record.clone(), totals.clone());
        thread::spawn(move || {
            let (served, foreign) = ask_for(listen, name, until, &record);
            let mut totals = totals.lock().unwrap();
            *totals = (totals.0 + served, totals.1 + foreign);
        })
    });
    for client in clients.collect::<Vec<_>>() {
        let _ = client.join();
    }
    // An attempt that is still out has time to run.
    sleep_ms(3500);
    let (served, foreign) = *totals.lock().unwrap();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for id in primary.ran_writes.lock().unwrap().iter() {
        *runs.entry(id.clone()).or_default() += 1;
    }
    let mut twice: Vec<&String> = runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| id).collect();
    twice.sort();
    for id in &twice {
        record.line(format!("the write {id} ran {} times", runs[*id]));
    }
    record.line(format!(
        "{served} requests were served, {foreign} of them with the value of another request; {} writes ran, {} of them more than once",
        runs.len(),
        twice.len()
    ));
    match (served, foreign + twice.len()) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
