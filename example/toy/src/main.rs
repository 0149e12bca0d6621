//! A toy to try the proxy with: a primary, a replica and discovery's agent in one program, which keeps
//! its rows in memory. The replica has every write at once. Nothing here is meant for real use.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const PRIMARY: &str = "127.0.0.1:6001";
const REPLICA: &str = "127.0.0.1:6002";
const DISCOVERY: &str = "127.0.0.1:8500";

type Rows = Arc<Mutex<HashMap<String, String>>>;

fn main() -> io::Result<()> {
    let rows = Rows::default();
    for (address, primary) in [(PRIMARY, true), (REPLICA, false)] {
        let rows = rows.clone();
        serve(address, move |stream| database(stream, primary, &rows))?;
    }
    serve(DISCOVERY, agent)?;
    println!("primary {PRIMARY}, replica {REPLICA}, discovery {DISCOVERY}; end with Ctrl-C");
    loop {
        thread::park();
    }
}

/// Accepts on an address, with a thread for each connection.
fn serve(
    address: &str,
    handle: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    Ok(())
}

/// The list never changes, so a watch from its only version waits its time and tells of nothing.
fn agent(stream: TcpStream) -> io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    while let Some(call) = lines.next().transpose()? {
        while lines.next().transpose()?.is_some_and(|header| !header.is_empty()) {}
        let held = call.split_once("from=1&hold_ms=").map(|(_, rest)| rest);
        let hold = held.and_then(|rest| rest.split(' ').next()?.parse().ok());
        let body = if let Some(ms) = hold {
            thread::sleep(Duration::from_millis(ms));
            r#"{"rev":1,"all":false,"targets":[]}"#.to_string()
        } else {
            let line = |uid, at, access| {
                format!(
                    r#"{{"uid":"{uid}","endpoint":"{at}","az":"a","pod_group":0,"state":"up","access":"{access}"}}"#
                )
            };
            let lines = [line("toy-primary", PRIMARY, "writer"), line("toy-replica", REPLICA, "reader")];
            format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, lines.join(","))
        };
        write!(&stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
    Ok(())
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], &length[..], body].concat()
}

fn read_body(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4).min(1 << 20)];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// One connection to the primary or the replica.
fn database(mut stream: TcpStream, primary: bool, rows: &Rows) -> io::Result<()> {
    read_body(&mut stream)?;
    let ready = message(b'Z', b"I");
    stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())?;
    loop {
        let mut tag = [0];
        stream.read_exact(&mut tag)?;
        let body = read_body(&mut stream)?;
        if tag[0] != b'Q' {
            return Ok(());
        }
        let query = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
        println!("{}: {query}", if primary { "primary" } else { "replica" });
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let quoted: Vec<&str> = query.split('\'').skip(1).step_by(2).collect();
        let mut rows = rows.lock().unwrap_or_else(|e| e.into_inner());
        let answer = match quoted[..] {
            _ if query == "SHOW usage" => row(&format!("x0={now},x1={}", u8::from(primary))),
            [_, _, ..] if !primary => message(b'E', b"SERROR\0C25006\0Mthis is no primary\0\0"),
            [handle, blob, ..] => {
                rows.insert(handle.to_string(), blob.to_string());
                row(blob)
            }
            [handle] => row(rows.get(handle).map_or("(no such row)", |blob| blob)),
            [] => message(b'E', b"SERROR\0C42601\0Mnot a statement of the toy's\0\0"),
        };
        drop(rows);
        let role = format!("server_role\0{}\0", if primary { "writer" } else { "reader" });
        let position = format!("commit_clock\0{now}\0");
        let notes = [message(b'S', role.as_bytes()), message(b'S', position.as_bytes())].concat();
        stream.write_all(&[answer, notes, ready.clone()].concat())?;
    }
}

/// A result of one row with one column, said to be in binary form as databases have it.
fn row(value: &str) -> Vec<u8> {
    let length = (value.len() as u32).to_be_bytes();
    let column = [&[0, 1][..], b"blob\0", &[0; 6], &[0, 0, 0, 17], &[255; 6], &[0, 1]].concat();
    let data = [&[0, 1][..], &length, value.as_bytes()].concat();
    [message(b'T', &column), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}
