//! Ordinary values from a database that hangs in the middle of its work, while many clients write slowly.

use crate::common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Clients that spend 2 s on a request with a value of 64 KiB.
const WRITERS: usize = 70;
/// The length of the values: less than 64 KiB.
const VALUE: usize = 40 << 10;
/// The client's patience, and what the pages add to it until a request is lost.
const D_MS: u64 = 2500;
const LOST_AFTER_MS: u64 = D_MS + 500 + 50;

fn value(id: &str) -> Vec<u8> {
    value_for(id).into_iter().cycle().take(VALUE).collect()
}

pub fn run() -> i32 {
    let record = Record::open();
    let answer: Arc<Answer> =
        Arc::new(|database: &Database, query: &Query, stream: &mut TcpStream, record: &Record| {
            if query.is_write {
                sleep_ms(20);
                let mut reply = if database.role() == "writer" {
                    let mut reply = row_description();
                    reply.extend(data_row(&value_for(query.id())));
                    reply.extend(complete("INSERT 0 1"));
                    reply
                } else {
                    error("25006")
                };
                reply.extend(database.status());
                reply.extend(ready());
                return stream.write_all(&reply).is_ok();
            }
            sleep_ms(20);
            let mut reply = row_description();
            reply.extend(data_row(&value(query.id())));
            reply.extend(complete("SELECT 1"));
            reply.extend(database.status());
            reply.extend(ready());
            record.line(format!("{} runs {}", database.name, query.id()));
            let (first, rest) = reply.split_at(reply.len() / 2);
            let mut given = stream.write_all(first).is_ok();
            if trouble() {
                record.line(format!("{} hangs for 6 s in the answer to {}", database.name, query.id()));
                sleep_ms(6000);
            }
            given &= stream.write_all(rest).is_ok();
            given
        });
    let primary = Database::start("p", true, &record, answer.clone());
    let replica = Database::start("r", false, &record, answer);
    let discovery = Discovery::start(1, vec![Entry::of(&primary, 1), Entry::of(&replica, 1)], &record);
    let mut proxy = Proxy::start_with(&KEELUNG, discovery.address, &record, (32, 1024));
    sleep_ms(300);
    let (listen, end) = (proxy.listen, Instant::now() + Duration::from_secs(25));
    let written = Arc::new(AtomicUsize::new(0));
    for _ in 0..WRITERS {
        let written = written.clone();
        thread::spawn(move || {
            while Instant::now() < end {
                let Some(mut client) = Client::connect(listen) else {
                    sleep_ms(50);
                    continue;
                };
                let id = new_id();
                let text = write(&id, "file-entry", "k", 3000).replace("9f03", &"9f".repeat(64 << 10));
                let bytes = message(b'Q', format!("{text}\0").as_bytes());
                let piece = bytes.len().div_ceil(20);
                let sent = bytes.chunks(piece).all(|part| {
                    sleep_ms(95);
                    client.stream.write_all(part).is_ok()
                });
                if sent && matches!(client.ending(), Ending::Served(_)) {
                    written.fetch_add(1, Ordering::SeqCst);
                }
            }
        });
    }
    sleep_ms(3000);
    let mut readers = Vec::new();
    for _ in 0..12 {
        sleep_ms(1000);
        let record = record.clone();
        readers.push(thread::spawn(move || {
            let Some(mut client) = Client::connect(listen) else { return None };
            let id = new_id();
            record.line(format!("the client sends {id}, d={D_MS}"));
            let sent = Instant::now();
            let ending = client.ask(&read(&id, "tariff-lookup", "k", D_MS, ""));
            let took = sent.elapsed().as_millis() as u64;
            let word = match &ending {
                Ending::Served(bytes) if *bytes == value(&id) => "served".to_string(),
                Ending::Served(_) => "served with another value".to_string(),
                other => format!("{other:?}"),
            };
            record.line(format!("{id}: {word} after {took} ms"));
            Some((ending, took))
        }));
    }
    let endings: Vec<_> = readers.into_iter().filter_map(|reader| reader.join().ok().flatten()).collect();
    proxy.kill();
    let late = endings.iter().filter(|(_, took)| *took > LOST_AFTER_MS).count();
    record.line(format!(
        "{} requests, {late} without a final answer {LOST_AFTER_MS} ms after they were sent; {} slow writes were served",
        endings.len(),
        written.load(Ordering::SeqCst)
    ));
    if late > 0 {
        BROKEN
    } else if endings.is_empty() {
        NOT_RUN
    } else {
        HELD
    }
}
