//! Cases about values longer than 64 KiB.

use crate::common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The length of a long value; the pages allow 4 MiB.
const LONG: usize = 1 << 20;

fn long_value(id: &str) -> Vec<u8> {
    value_for(id).into_iter().cycle().take(LONG).collect()
}

/// The answer with a long value, up to and with ReadyForQuery.
fn long_reply(database: &Database, id: &str) -> Vec<u8> {
    let mut reply = row_description();
    reply.extend(data_row(&long_value(id)));
    reply.extend(complete("SELECT 1"));
    reply.extend(database.status());
    reply.extend(ready());
    reply
}

/// Writes the bytes in equal pieces over this time. Returns whether all was written.
fn give_slowly(stream: &mut TcpStream, bytes: &[u8], over: Duration, pieces: usize) -> bool {
    bytes.chunks(bytes.len().div_ceil(pieces)).all(|piece| {
        let is_written = stream.write_all(piece).is_ok();
        thread::sleep(over / u32::try_from(pieces).unwrap_or(1));
        is_written
    })
}

/// A primary, a replica, discovery and a proxy.
struct Rig {
    record: Record,
    proxy: Proxy,
}

fn start(answer: Arc<Answer>) -> Rig {
    let record = Record::open();
    let primary = Database::start("p", true, &record, answer.clone());
    let replica = Database::start("r", false, &record, answer);
    let discovery = Discovery::start(1, vec![Entry::of(&primary, 1), Entry::of(&replica, 1)], &record);
    let proxy = Proxy::start(&KEELUNG, discovery.address, &record);
    sleep_ms(500);
    Rig { record, proxy }
}

fn connect(rig: &Rig) -> Client {
    Client::connect(rig.proxy.listen).unwrap_or_else(|| stop("no connection to the proxy"))
}

fn describe(ending: &Ending) -> String {
    match ending {
        Ending::Served(value) => format!("served with {} bytes", value.len()),
        Ending::Refused(code) => format!("refused ({code})"),
        Ending::Failed(code) => format!("failed ({code})"),
        Ending::Lost(bytes) => {
            format!("the connection ended without a whole answer; {bytes} bytes of the row had come")
        }
    }
}

fn judge(record: &Record, id: &str, ending: &Ending) -> i32 {
    let (code, text) = match ending {
        Ending::Served(value) if *value == long_value(id) => (HELD, "held: the answer is whole"),
        Ending::Served(_) => (BROKEN, "broken: another value"),
        Ending::Refused(_) | Ending::Failed(_) => (HELD, "held: a final answer"),
        Ending::Lost(_) => (BROKEN, "broken: the proxy ended the connection without a whole answer"),
    };
    record.line(text);
    code
}

/// A proxy is told to end while a database still gives a long value.
pub fn ends_while_given() -> i32 {
    let answer: Arc<Answer> =
        Arc::new(|database: &Database, query: &Query, stream: &mut TcpStream, record: &Record| {
            record.line(format!("{} runs {} and gives its value over 7 s", database.name, query.id()));
            let given = give_slowly(stream, &long_reply(database, query.id()), Duration::from_secs(7), 70);
            let word = if given { "has given all of it" } else { "is cut off while it still gives" };
            record.line(format!("{} {word}: {}", database.name, query.id()));
            given
        });
    let mut rig = start(answer);
    let mut client = connect(&rig);
    let id = new_id();
    rig.record.line(format!("the client sends {id}"));
    let asked = {
        let (id, record) = (id.clone(), rig.record.clone());
        thread::spawn(move || {
            let ending = client.ask(&read(&id, "tariff-lookup", "k1", 2500, ""));
            record.line(format!("{id}: {}", describe(&ending)));
            ending
        })
    };
    sleep_ms(1000);
    if trouble() {
        rig.proxy.signal("TERM", &rig.record);
    }
    let until = Instant::now() + Duration::from_secs(12);
    let mut has_ended = false;
    while Instant::now() < until && !asked.is_finished() {
        if !has_ended && rig.proxy.has_ended() {
            has_ended = true;
            rig.record.line("the proxy has ended by itself");
        }
        sleep_ms(10);
    }
    sleep_ms(200);
    if !has_ended && rig.proxy.has_ended() {
        rig.record.line("the proxy has ended by itself");
    }
    rig.proxy.kill();
    let Ok(ending) = asked.join() else { return NOT_RUN };
    sleep_ms(500);
    judge(&rig.record, &id, &ending)
}

/// A database hangs in the middle of a long value, for less than 20 s.
pub fn hangs_in_value() -> i32 {
    let answer: Arc<Answer> =
        Arc::new(|database: &Database, query: &Query, stream: &mut TcpStream, record: &Record| {
            let reply = long_reply(database, query.id());
            let (first, rest) = reply.split_at(reply.len() / 4);
            record.line(format!("{} runs {} and gives a quarter of its value", database.name, query.id()));
            let mut given = stream.write_all(first).is_ok();
            if trouble() {
                record.line(format!("{} hangs for 13 s", database.name));
                sleep_ms(13_000);
                record.line(format!("{} goes on", database.name));
            }
            given &= give_slowly(stream, rest, Duration::from_millis(200), 20);
            let word = if given { "has given all of it" } else { "was cut off" };
            record.line(format!("{} {word}: {}", database.name, query.id()));
            given
        });
    let mut rig = start(answer);
    let id = new_id();
    rig.record.line(format!("the client sends {id}"));
    let ending = connect(&rig).ask(&read(&id, "tariff-lookup", "k1", 2500, ""));
    rig.record.line(format!("{id}: {}", describe(&ending)));
    sleep_ms(4000);
    rig.proxy.kill();
    judge(&rig.record, &id, &ending)
}

/// Commands stand behind a long value whose database closes its connection within it.
pub fn behind_value() -> i32 {
    let answer: Arc<Answer> =
        Arc::new(|database: &Database, query: &Query, stream: &mut TcpStream, record: &Record| {
            if query.key != "long" {
                return usual_answer(database, query, stream, record);
            }
            let reply = long_reply(database, query.id());
            let (first, rest) = reply.split_at(reply.len() / 2);
            record.line(format!("{} runs {} and gives half of its value", database.name, query.id()));
            let given = stream.write_all(first).is_ok();
            sleep_ms(300);
            if trouble() {
                record.line(format!("{} closes the connection within the value", database.name));
                return false;
            }
            given && stream.write_all(rest).is_ok()
        });
    let mut rig = start(answer);
    let mut client = connect(&rig);
    let ids = [new_id(), new_id(), new_id()];
    let texts = [
        read(&ids[0], "tariff-lookup", "long", 2500, ""),
        read(&ids[1], "tariff-lookup", "k2", 2500, ""),
        write(&ids[2], "file-entry", "k3", 3000),
    ];
    let commands: Vec<u8> =
        texts.iter().flat_map(|text| message(b'Q', format!("{text}\0").as_bytes())).collect();
    if client.stream.write_all(&commands).is_err() {
        stop("the commands could not be sent");
    }
    rig.record.line(format!("the client sends {} with one write", ids.join(", ")));
    let mut unanswered = Vec::new();
    for id in &ids {
        let ending = if unanswered.is_empty() { client.ending() } else { Ending::Lost(0) };
        rig.record.line(format!("{id}: {}", describe(&ending)));
        if matches!(ending, Ending::Lost(_)) {
            unanswered.push(id);
        }
    }
    sleep_ms(500);
    rig.proxy.kill();
    // The first one has begun to be passed on, and has failed for no fault of the proxy's.
    let behind = unanswered.iter().filter(|id| ***id != ids[0]).count();
    if behind == 0 {
        rig.record.line("held: all commands behind the value have their answers");
        return HELD;
    }
    // A close over unread input would have reset the connection: the client may then send that input again.
    if client.was_reset {
        rig.record.line("held: the connection was reset, so the proxy had not read all of the commands");
        return HELD;
    }
    rig.record.line(format!(
        "broken: {behind} requests behind the value were read, as the orderly end of the connection shows, and have no answer"
    ));
    BROKEN
}

/// A proxy that ends closes a connection over unread input, while its client still reads a long value.
pub fn reset_at_restart() -> i32 {
    let answer: Arc<Answer> =
        Arc::new(|database: &Database, query: &Query, stream: &mut TcpStream, record: &Record| {
            sleep_ms(1300);
            record.line(format!("{} runs {} and gives its value at once", database.name, query.id()));
            stream.write_all(&long_reply(database, query.id())).is_ok()
        });
    let mut rig = start(answer);
    let mut client = connect(&rig);
    let (first, second) = (new_id(), new_id());
    rig.record.line(format!("the client sends {first}"));
    if !client.send_text(&read(&first, "tariff-lookup", "k1", 2500, "")) {
        stop("the request could not be sent");
    }
    sleep_ms(200);
    if trouble() {
        rig.proxy.signal("TERM", &rig.record);
    }
    sleep_ms(800);
    rig.record.line(format!("the client sends {second} behind it, on the connection that is still open"));
    if !client.send_text(&read(&second, "tariff-lookup", "k2", 2500, "")) {
        stop("the connection was not open any more");
    }
    // The client reads at 64 KiB each 100 ms, that is for about 2 s.
    let ending = client.ending_at(Duration::from_millis(100));
    let end = if client.was_reset { "; the connection was reset" } else { "" };
    rig.record.line(format!("{first}: {}{end}", describe(&ending)));
    sleep_ms(300);
    rig.proxy.kill();
    judge(&rig.record, &first, &ending)
}

/// Gives the value over this time, pauses, and then gives the rest of the answer.
fn give_with_pause(stream: &mut TcpStream, reply: &[u8], over: Duration, pause: Duration) -> bool {
    let value_end = LONG + row_description().len() + 11;
    let given = give_slowly(stream, &reply[..value_end], over, 30);
    thread::sleep(pause);
    given && stream.write_all(&reply[value_end..]).is_ok()
}

/// A database is silent between a long value, whose last byte comes after the client's time, and the end of its answer.
pub fn endless_answer() -> i32 {
    const SILENT: Duration = Duration::from_secs(60);
    let answer: Arc<Answer> =
        Arc::new(|database: &Database, query: &Query, stream: &mut TcpStream, record: &Record| {
            record.line(format!("{} runs {} and gives its value over 3 s", database.name, query.id()));
            let pause = if trouble() { SILENT } else { Duration::ZERO };
            let given =
                give_with_pause(stream, &long_reply(database, query.id()), Duration::from_secs(3), pause);
            record.line(format!("{} has ended the answer to {}: {given}", database.name, query.id()));
            given
        });
    let mut rig = start(answer);
    let mut client = connect(&rig);
    let id = new_id();
    rig.record.line(format!("the client sends {id}"));
    let _ = client.stream.set_read_timeout(Some(Duration::from_secs(50)));
    let ending = client.ask(&read(&id, "tariff-lookup", "k1", 2500, ""));
    rig.record.line(format!("{id}: {}; timed out: {}", describe(&ending), client.has_timed_out));
    rig.proxy.kill();
    if client.has_timed_out {
        rig.record.line("broken: 50 s after the last byte of the value there is neither an answer nor an end of the connection");
        return BROKEN;
    }
    rig.record.line("held: the answer is whole, or its client can tell that it is not");
    HELD
}

/// A database pauses between a long value and the end of its answer, and the client's time ends in the pause.
pub fn cut_before_end() -> i32 {
    let answer: Arc<Answer> =
        Arc::new(|database: &Database, query: &Query, stream: &mut TcpStream, record: &Record| {
            record.line(format!("{} runs {} and gives its value over 2.2 s", database.name, query.id()));
            let pause = if trouble() { Duration::from_millis(500) } else { Duration::ZERO };
            let given = give_with_pause(
                stream,
                &long_reply(database, query.id()),
                Duration::from_millis(2200),
                pause,
            );
            record.line(format!("{} has ended the answer to {}: {given}", database.name, query.id()));
            given
        });
    let mut rig = start(answer);
    let id = new_id();
    rig.record.line(format!("the client sends {id}"));
    let ending = connect(&rig).ask(&read(&id, "tariff-lookup", "k1", 2500, ""));
    rig.record.line(format!("{id}: {}", describe(&ending)));
    sleep_ms(1000);
    rig.proxy.kill();
    judge(&rig.record, &id, &ending)
}
