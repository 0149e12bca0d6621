//! A former primary whose answer from before a cut arrives after its proxy was told that it is a replica.

use crate::common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;

/// The length of the value that is on its way when the cut begins.
const LONG: usize = 1 << 20;
/// The cut begins when so much of the value has passed.
const PASSED_BEFORE_CUT: usize = 300 << 10;
/// The cut lasts so long. The group gives its primary up after 2 s, and a replica takes over 1.5 s later.
const CUT_MS: u64 = 6000;
const GIVEN_UP_MS: u64 = 3500;
/// The list shows the new primary so long after it took over.
const LIST_LATE_MS: u64 = 3000;
/// Bytes that were on their way in the cut arrive so long after its end: the sender's timer has backed off.
const RETRANSMIT_MS: u64 = 2500;

/// The way to one database, which can be cut.
#[derive(Default)]
struct Link {
    /// Bytes of the database that may still pass; the cut begins at 0. `usize::MAX`: no cut is planned.
    left: AtomicUsize,
    /// When the cut began, in Unix milliseconds; 0 before.
    cut_at: AtomicU64,
}

impl Link {
    fn is_cut(&self) -> bool {
        let at = self.cut_at.load(Ordering::SeqCst);
        at > 0 && unix_ms() < at + CUT_MS
    }

    /// Counts bytes of the database; begins the cut when the last of them have passed.
    fn pass(&self, count: usize) {
        let left = self.left.load(Ordering::SeqCst);
        if left == usize::MAX {
            return;
        }
        self.left.store(left.saturating_sub(count), Ordering::SeqCst);
        if left <= count && self.cut_at.load(Ordering::SeqCst) == 0 {
            self.cut_at.store(unix_ms(), Ordering::SeqCst);
        }
    }

    /// Waits for the end of the cut, and then until the sender tries again.
    fn wait(&self) {
        if self.is_cut() {
            while self.is_cut() {
                sleep_ms(1);
            }
            sleep_ms(RETRANSMIT_MS);
        }
    }

    fn start(self: &Arc<Link>, target: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| stop(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let link = self.clone();
        thread::spawn(move || {
            for inner in listener.incoming().flatten() {
                let Ok(outer) = TcpStream::connect(target) else { continue };
                let _ = (inner.set_nodelay(true), outer.set_nodelay(true));
                let (Ok(inner_copy), Ok(outer_copy)) = (inner.try_clone(), outer.try_clone()) else {
                    continue;
                };
                link.join(inner, outer, false);
                link.join(outer_copy, inner_copy, true);
            }
        });
        address
    }

    fn join(self: &Arc<Link>, mut from: TcpStream, mut to: TcpStream, is_answer: bool) {
        let (sender, receiver) = mpsc::channel::<Vec<u8>>();
        thread::spawn(move || {
            let mut scratch = vec![0; 32 << 10];
            loop {
                let count = from.read(&mut scratch).unwrap_or(0);
                if sender.send(scratch[..count].to_vec()).is_err() || count == 0 {
                    return;
                }
            }
        });
        let link = self.clone();
        thread::spawn(move || {
            for piece in receiver {
                link.wait();
                if piece.is_empty() || to.write_all(&piece).is_err() {
                    let _ = to.shutdown(std::net::Shutdown::Write);
                    return;
                }
                if is_answer {
                    link.pass(piece.len());
                }
            }
        });
    }
}

/// Reads are answered with the position of the data that they see; the read of `long` with a long value.
fn answer(database: &Database, query: &Query, stream: &mut TcpStream, record: &Record) -> bool {
    if query.is_write {
        return usual_answer(database, query, stream, record);
    }
    sleep_ms(20);
    let value = match query.key.as_str() {
        "long" => vec![b'v'; LONG],
        _ => format!("{}", database.position_ms()).into_bytes(),
    };
    let name = &database.name;
    record.line(format!(
        "{name} ({}) runs {} from data as of {}",
        database.role(),
        query.id(),
        database.position_ms()
    ));
    let mut reply = row_description();
    reply.extend(data_row(&value));
    reply.extend(complete("SELECT 1"));
    reply.extend(database.status());
    reply.extend(ready());
    stream.write_all(&reply).is_ok()
}

pub fn late_role() -> i32 {
    let record = Record::open();
    let behaviour: Arc<Answer> = Arc::new(answer);
    let old = Database::start("a", true, &record, behaviour.clone());
    let new = Database::start("b", false, &record, behaviour);
    let link = Arc::new(Link { left: AtomicUsize::new(usize::MAX), cut_at: AtomicU64::new(0) });
    let mut entries = vec![Entry::of(&old, 1), Entry::of(&new, 1)];
    entries[0].endpoint = link.start(old.address);
    entries[0].zone = "b";
    let discovery = Discovery::start(1, entries.clone(), &record);
    let mut first = Proxy::start(&KEELUNG, discovery.address, &record);
    let mut second = Proxy::start(&KEELUNG, discovery.address, &record);
    // The replica is 200 ms behind.
    new.position.store(unix_ms() - 200, Ordering::SeqCst);
    sleep_ms(500);

    let connect = |proxy: &Proxy| Client::connect(proxy.listen).unwrap_or_else(|| stop("no connection"));
    let ask = |proxy: &Proxy, text: &str, what: &str| {
        let ending = connect(proxy).ask(text);
        let word = match &ending {
            Ending::Served(value) if value.len() > 100 => format!("served with {} bytes", value.len()),
            Ending::Served(value) => format!("served with '{}'", String::from_utf8_lossy(value)),
            other => format!("{other:?}"),
        };
        record.line(format!("{what}: {word}"));
        ending
    };
    let id = new_id();
    ask(&first, &write(&id, "file-entry", "x", 3000), &format!("write {id} by proxy 1"));
    let committed = unix_ms();

    // A long read of what the session has just written goes to the primary.
    if trouble() {
        link.left.store(PASSED_BEFORE_CUT, Ordering::SeqCst);
    }
    let long = {
        let (mut client, record) = (connect(&first), record.clone());
        let id = new_id();
        thread::spawn(move || {
            let ending = client.ask(&read(&id, "own-draft", "long", 1500, &format!(",after={committed}")));
            let is_whole = matches!(&ending, Ending::Served(value) if value.len() == LONG);
            record.line(format!("the long read {id} by proxy 1 has ended; whole: {is_whole}"));
        })
    };
    if trouble() {
        while link.cut_at.load(Ordering::SeqCst) == 0 {
            sleep_ms(1);
            if record.ms() > 5000.0 {
                stop("the long read did not go to the primary");
            }
        }
        record.line("a is cut off for 6 s");
        sleep_ms(GIVEN_UP_MS);
        old.position.store(unix_ms(), Ordering::SeqCst);
        old.is_primary.store(false, Ordering::SeqCst);
        new.is_primary.store(true, Ordering::SeqCst);
        record.line("b takes over; a is a replica from now on");
        sleep_ms(CUT_MS - GIVEN_UP_MS + 200);
        record.line("the cut is over; a begins to catch up");
        let id = new_id();
        ask(&first, &write(&id, "file-entry", "y", 3000), &format!("write {id} by proxy 1"));
        sleep_ms(LIST_LATE_MS.saturating_sub(CUT_MS - GIVEN_UP_MS + 200));
        (entries[0].access, entries[1].access) = ("reader", "writer");
        discovery.set(entries);
        record.line("the list shows the new primary");
    }
    let _ = long.join();
    sleep_ms(200);

    // A session that roams writes by one proxy, and reads by the other soon after.
    let (mut stale, mut served) = (0, 0);
    for number in 0..5 {
        old.position.store(unix_ms() - 1000, Ordering::SeqCst);
        let (id, key) = (new_id(), format!("s{number}"));
        if !matches!(
            ask(&second, &write(&id, "file-entry", &key, 3000), &format!("write {id} by proxy 2")),
            Ending::Served(_)
        ) {
            continue;
        }
        let commit = unix_ms();
        sleep_ms(120);
        let id = new_id();
        let text = read(&id, "own-draft", &key, 1500, &format!(",after={commit}"));
        let ending = ask(&first, &text, &format!("read {id} by proxy 1, after {commit}"));
        let Ending::Served(value) = ending else { continue };
        served += 1;
        let position: u64 = String::from_utf8_lossy(&value).parse().unwrap_or(0);
        if position < commit {
            stale += 1;
            record
                .line(format!("{id} saw data as of {} ms before the session's own write", commit - position));
        }
    }
    first.kill();
    second.kill();
    record.line(format!("{served} reads of own writes were served, {stale} of them from older data"));
    match (served, stale) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
