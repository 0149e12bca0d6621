//! The cases. Each plays its stand-ins, judges the rule from what they saw, and returns the verdict.

use super::*;
use std::collections::HashMap;

pub fn play(case: &str, rig: &Rig) -> Verdict {
    match case {
        "window" => repeat_window(rig),
        "upgrade" => upgrade(rig),
        "drain" => slow_discovery(rig),
        other => panic!("no case {other}"),
    }
}

fn verdict(broken: usize) -> Verdict {
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// A replica that answers reads at once from present data.
fn plain_replica() -> SocketAddr {
    listen(|_, mut stream| {
        let_in(&mut stream, 0.0)?;
        while let Some(query) = next_query(&mut stream)? {
            let now = unix_ms() as i64;
            let answer = match quoted(&query).len() {
                0 if query == "SHOW usage" => usage(false, now),
                0 => row(b"1"),
                1 => row(b"value"),
                _ => error("25006"),
            };
            stream.write_all(&[answer, status(false, now), ready()].concat())?;
        }
        Ok(())
    })
}

// ---------------------------------------------------------------- window

const REPEAT_WINDOW_MS: f64 = 1500.0;
/// Every limit is 50 ms longer on sockets, and a proxy may be held up for 150 ms between its clock and its write.
const WINDOW_SLACK_MS: f64 = 50.0 + 150.0;

/// A send of a request's statement to a database.
struct Send {
    at_ms: f64,
    ran: bool,
}

fn repeat_window(rig: &Rig) -> Verdict {
    const REQUESTS: usize = 15;
    /// Each third connection comes up this late.
    const LATE_MS: f64 = 237.0;
    /// A connection is reset under the first attempt this long after the attempt came.
    const RESET_AFTER_MS: f64 = REPEAT_WINDOW_MS - 34.0;
    let sends: Arc<Mutex<HashMap<String, Vec<Send>>>> = Arc::default();
    let seen = sends.clone();
    let primary = listen(move |number, mut stream| {
        let late = trouble() && number % 3 == 0;
        note(format!("primary: connection {number}{}", if late { " comes up late" } else { "" }));
        let_in(&mut stream, if late { LATE_MS } else { 1.0 })?;
        while let Some(query) = next_query(&mut stream)? {
            let now = unix_ms();
            let strings = quoted(&query);
            if strings.len() < 2 {
                let answer = if query == "SHOW usage" { usage(true, now as i64) } else { row(b"1") };
                stream.write_all(&[answer, second_status(true, now as i64, false), ready()].concat())?;
                continue;
            }
            // A repeat within the window of the key is dropped; afterwards the database no longer knows the key.
            let first;
            {
                let mut sends = seen.lock().unwrap();
                let sends = sends.entry(field(&query, "k").to_string()).or_default();
                let known_until = sends.first().map_or(0.0, |send| send.at_ms + REPEAT_WINDOW_MS);
                let ran = now >= known_until;
                first = sends.is_empty();
                sends.push(Send { at_ms: now, ran });
                let what = if ran { "runs" } else { "drops the repeat of" };
                note(format!("primary: connection {number} {what} {}", brief(&query)));
            }
            if first && trouble() && quoted(&query)[0].starts_with("entry") {
                sleep_until(now + RESET_AFTER_MS);
                note(format!("primary: connection {number} is reset under the request"));
                reset(stream);
                return Ok(());
            }
            sleep_until(now + 90.0);
            stream.write_all(&[row(b"filed"), second_status(true, unix_ms() as i64, true), ready()].concat())?;
        }
        Ok(())
    });
    let discovery =
        Discovery::start(vec![Listed::new("s-p", primary, true), Listed::new("s-r", plain_replica(), false)]);
    let effect =
        format!(r#""idempotency": "guarded", "dedup_scope": "all", "repeat_window_ms": {REPEAT_WINDOW_MS:.1}"#);
    let settings = second_settings(&effect);
    let proxy = rig.start(&ProxyConfig { name: "n1", discovery: &discovery, settings, listener: None });
    proxy.wait_until_ready();

    // Another client files one entry after the other, so that the primary is seen to answer.
    let over = Arc::new(AtomicU64::new(0));
    let (stop, address) = (over.clone(), proxy.clients);
    let busy = thread::spawn(move || {
        let mut client = Client::connect(address).unwrap();
        for entry in 0.. {
            if stop.load(Ordering::Relaxed) > 0 {
                return;
            }
            let statement = insert(&format!("busy{entry}"), "01", "radicacion", 5000, &format!(",k=busy{entry}"));
            if client.send(&statement).is_err() || matches!(client.read(6_000.0), Answer::Cut(_)) {
                client = Client::connect(address).unwrap();
            }
        }
    });
    sleep_ms(500.0);

    let mut client = Client::connect(proxy.clients).unwrap();
    for request in 1..=REQUESTS {
        let statement =
            insert(&format!("entry{request}"), "9f03", "radicacion", 5000, &format!(",k=repeat{request}"));
        if let Answer::Cut(_) | Answer::Silent(_) = client.ask("client", &statement, 6_000.0) {
            client = Client::connect(proxy.clients).unwrap();
        }
        sleep_ms(150.0);
    }
    over.store(1, Ordering::Relaxed);
    let _ = busy.join();
    let mut broken = 0;
    for (key, sends) in sends.lock().unwrap().iter() {
        let first = sends[0].at_ms;
        for repeat in &sends[1..] {
            let after = repeat.at_ms - first;
            if after > REPEAT_WINDOW_MS + WINDOW_SLACK_MS {
                broken += 1;
                let times = sends.iter().filter(|send| send.ran).count();
                note(format!("BROKEN: {key} was sent again after {after:.0} ms and ran {times} times"));
            }
        }
    }
    verdict(broken)
}

// ---------------------------------------------------------------- upgrade

/// A group whose replica applies the log late.
#[derive(Default)]
struct Rows(Mutex<HashMap<String, Vec<(f64, String)>>>);

impl Rows {
    /// The newest value of a key that was committed by this time.
    fn value(&self, key: &str, as_of_ms: f64) -> String {
        let rows = self.0.lock().unwrap();
        let values = rows.get(key).map_or(&[][..], |values| values);
        let newest = values.iter().rev().find(|(at, _)| *at <= as_of_ms);
        newest.map_or("(none)".into(), |(_, value)| value.clone())
    }
}

fn upgrade(rig: &Rig) -> Verdict {
    const SESSIONS: usize = 8;
    /// How far the replica is behind.
    const LAG_MS: f64 = 1_000.0;
    /// A session reads this long after its write.
    const GAP_MS: f64 = 300.0;
    let rows: Arc<Rows> = Arc::default();
    let database = |primary: bool, rows: Arc<Rows>| {
        listen(move |_, mut stream| {
            let name = if primary { "primary" } else { "replica" };
            let_in(&mut stream, 1.0)?;
            while let Some(query) = next_query(&mut stream)? {
                sleep_ms(20.0);
                let now = unix_ms();
                let mut position = if primary { now } else { now - LAG_MS };
                let strings = quoted(&query);
                let answer = match strings[..] {
                    [] if query == "SHOW usage" => usage(primary, position as i64),
                    [] => row(b"1"),
                    [key] => {
                        let value = rows.value(key, position);
                        note(format!("{name}: reads '{value}' for {}", brief(&query)));
                        row(value.as_bytes())
                    }
                    [key, _, hex, ..] | [key, hex] if primary => {
                        let value = hex.trim_start_matches("\\x").to_string();
                        note(format!("{name}: commits '{value}' at {now:.0} for {}", brief(&query)));
                        rows.0.lock().unwrap().entry(key.into()).or_default().push((now, value.clone()));
                        position = now.ceil();
                        row(value.as_bytes())
                    }
                    _ => error("25006"),
                };
                stream.write_all(&[answer, status(primary, position as i64), ready()].concat())?;
            }
            Ok(())
        })
    };
    let primary = database(true, rows.clone());
    let replica = database(false, rows.clone());
    let discovery = Discovery::start(vec![Listed::new("s-p", primary, true), Listed::new("s-r", replica, false)]);
    let settings = settings(r#""idempotency": "single_shot""#, "remembered");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = |name| {
        let (discovery, settings, listener) = (&discovery, settings.clone(), Some(&listener));
        rig.start(&ProxyConfig { name, discovery, settings, listener })
    };
    let mut old = start("n1");
    old.wait_until_ready();

    // The sessions' clients hold their connections to the old process.
    let mut clients: Vec<Client> = (0..SESSIONS).map(|_| Client::connect(old.clients).unwrap()).collect();
    for (session, client) in clients.iter_mut().enumerate() {
        client.ask(&format!("session {session}"), &insert(&format!("draft{session}"), "01", "file-entry", 3000, ""), 4_000.0);
    }
    sleep_ms(LAG_MS + 200.0);
    let mut new = None;
    if trouble() {
        let started = start("n1b");
        started.wait_until_yes();
        note("platform: the new process says yes");
        new = Some(started);
        sleep_ms(500.0);
    }
    // Each session writes on the connection that it holds, and reads its draft a moment later.
    let mut expected = Vec::new();
    for (session, client) in clients.iter_mut().enumerate() {
        let statement = insert(&format!("draft{session}"), "02", "file-entry", 3000, "");
        let answer = client.ask(&format!("session {session}"), &statement, 4_000.0);
        expected.push((unix_ms(), answer));
    }
    let mut broken = 0;
    let mut judged = 0;
    for (session, client) in clients.into_iter().enumerate() {
        let (written_at, answer) = &expected[session];
        if !matches!(answer, Answer::Served(_)) {
            continue;
        }
        sleep_until(written_at + GAP_MS);
        let who = format!("session {session}");
        let statement = select(&format!("draft{session}"), "own-draft", 1500);
        let mut client = client;
        let mut answer = client.ask(&who, &statement, 3_000.0);
        if let Answer::Cut(_) = answer {
            // The proxy has closed the connection between requests: once more, on a new one.
            client = Client::connect(old.clients).unwrap();
            answer = client.ask(&format!("{who} (new connection)"), &statement, 3_000.0);
        }
        match answer {
            Answer::Served(value) if value == b"02" => judged += 1,
            Answer::Served(value) => {
                judged += 1;
                broken += 1;
                note(format!("BROKEN: {who} has written '02' and reads '{}'", String::from_utf8_lossy(&value)));
            }
            _ => {}
        }
    }
    if new.is_some() {
        old.signal("TERM");
        let until = Instant::now() + Duration::from_secs(8);
        while !old.has_ended() && Instant::now() < until {
            sleep_ms(50.0);
        }
        note(format!("platform: the old process has ended: {}", old.has_ended()));
    }
    if judged == 0 { Verdict::NotRun } else { verdict(broken) }
}

// ---------------------------------------------------------------- drain

fn slow_discovery(rig: &Rig) -> Verdict {
    /// How long discovery takes for an answer while it is slow.
    const LATE_MS: f64 = 3_000.0;
    /// A change counts as told this long after discovery had it and could be reached.
    const TOLD_MS: f64 = 6_000.0;
    /// `drain_grace_ms`, and 50 ms more on sockets.
    const GRACE_MS: f64 = 2_050.0;
    const WATCHED_MS: f64 = 20_000.0;
    let sends: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let database = |name: &'static str, primary: bool| {
        let sends = sends.clone();
        listen(move |_, mut stream| {
            let_in(&mut stream, 1.0)?;
            while let Some(query) = next_query(&mut stream)? {
                let now = unix_ms();
                let answer = match quoted(&query).len() {
                    0 if query == "SHOW usage" => usage(primary, now as i64),
                    0 => row(b"1"),
                    _ => {
                        if name == "draining" {
                            note(format!("the database that drains: gets {}", brief(&query)));
                            sends.lock().unwrap().push((now, field(&query, "id").into()));
                        }
                        sleep_ms(40.0);
                        row(b"value")
                    }
                };
                stream.write_all(&[answer, status(primary, unix_ms() as i64), ready()].concat())?;
            }
            Ok(())
        })
    };
    let discovery = Discovery::start(vec![
        Listed::new("s-p", database("primary", true), true),
        Listed::new("s-r", database("draining", false), false),
        Listed::new("s-q", database("replica", false), false),
    ]);
    // The list has to be asked for, of a service that all proxies share.
    let settings = settings(r#""idempotency": "single_shot""#, "carried")
        .replace(r#""registry_mode": "automatic""#, r#""registry_mode": "subscribe""#)
        .replace(r#""answer_slack_ms": 20.0"#, r#""answer_slack_ms": 20.0, "ask_within_ms": 10000.0"#);
    let proxy = rig.start(&ProxyConfig { name: "n1", discovery: &discovery, settings, listener: None });
    proxy.wait_until_ready();

    let over = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..3)
        .map(|_| {
            let (over, address) = (over.clone(), proxy.clients);
            thread::spawn(move || {
                let mut client = Client::connect(address).unwrap();
                while over.load(Ordering::Relaxed) == 0 {
                    let statement = select("7f3a9c21e0b4d655", "tariff-lookup", 2500);
                    if client.send(&statement).is_err() || matches!(client.read(4_000.0), Answer::Cut(_)) {
                        client = Client::connect(address).unwrap();
                    }
                    sleep_ms(60.0);
                }
            })
        })
        .collect();
    sleep_ms(1_500.0);
    if trouble() {
        discovery.answer_late(LATE_MS);
    }
    discovery.reset_watches();
    sleep_ms(3_000.0);
    discovery.change(|list| list[1].state = "draining");
    let changed_at = unix_ms();
    sleep_ms(WATCHED_MS);
    over.store(1, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sends = sends.lock().unwrap();
    let late = sends.iter().filter(|(at, _)| at - changed_at > TOLD_MS + GRACE_MS);
    let late: Vec<_> = late.collect();
    if let (Some((first, _)), Some((last, _))) = (late.first(), late.last()) {
        note(format!(
            "BROKEN: {} requests were sent to the database {:.0} to {:.0} ms after discovery had it as draining",
            late.len(),
            first - changed_at,
            last - changed_at
        ));
    }
    let before = sends.iter().filter(|(at, _)| *at < changed_at).count();
    if before == 0 { Verdict::NotRun } else { verdict(late.len()) }
}
