//! The way to a database in another data center: a relay that passes each piece of data on after a delay.

use crate::database_server::POLL_INTERVAL;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Largest piece that is passed on at once.
const PIECE_BYTES: usize = 64 << 10;

/// A piece of data and the time at which it arrives. An empty piece is the end of the data.
struct Piece {
    arrives_at: Instant,
    bytes: Vec<u8>,
}

/// Starts a relay on a free port of the target's address, which takes `one_way` for each direction. Its threads run until the test
/// process ends.
pub fn start_distant_relay(target: SocketAddr, one_way: Duration) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((target.ip(), 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for near in listener.incoming() {
            // A test must not end because one of its connections does.
            if near.and_then(|near| relay_connection(near, target, one_way)).is_err() {
                thread::sleep(POLL_INTERVAL);
            }
        }
    });
    Ok(address)
}

/// Relays one connection in both directions.
fn relay_connection(near: TcpStream, target: SocketAddr, one_way: Duration) -> io::Result<()> {
    let far = TcpStream::connect(target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    relay_direction(near.try_clone()?, far.try_clone()?, one_way);
    relay_direction(far, near, one_way);
    Ok(())
}

/// Relays one direction of a connection.
fn relay_direction(from: TcpStream, to: TcpStream, one_way: Duration) {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || read_pieces(from, &sender, one_way));
    thread::spawn(move || deliver_pieces(to, &receiver));
}

fn read_pieces(mut from: TcpStream, sender: &Sender<Piece>, one_way: Duration) {
    let mut scratch = vec![0; PIECE_BYTES];
    loop {
        let length = from.read(&mut scratch).unwrap_or(0);
        let piece = Piece { arrives_at: Instant::now() + one_way, bytes: scratch[..length].to_vec() };
        if sender.send(piece).is_err() || length == 0 {
            return;
        }
    }
}

fn deliver_pieces(mut to: TcpStream, receiver: &Receiver<Piece>) {
    for piece in receiver {
        thread::sleep(piece.arrives_at.saturating_duration_since(Instant::now()));
        if piece.bytes.is_empty() || to.write_all(&piece.bytes).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
