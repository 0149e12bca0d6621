//! A toy to try the proxy with: a primary, a replica and discovery's agent in one program, which prints each statement
//! that reaches it. The replica has every write at once. Nothing here is meant for real use.

use birchreach_standins::database::Database;
use birchreach_standins::discovery::{Discovery, Line};
use std::net::SocketAddr;
use std::sync::Arc;

fn main() -> std::io::Result<()> {
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let rows = Arc::default();
    let line = |uid: &str, primary, database: &Database| Line {
        uid: uid.into(),
        endpoint: database.address(),
        group: 0,
        state: "up",
        primary,
    };
    let primary = Database::start(at(6001), true, &rows, true)?;
    let replica = Database::start(at(6002), false, &rows, true)?;
    let list = vec![line("toy-primary", true, &primary), line("toy-replica", false, &replica)];
    let discovery = Discovery::start(at(8500), list)?;
    println!(
        "primary {}, replica {}, discovery {}; end with Ctrl-C",
        primary.address(),
        replica.address(),
        discovery.address()
    );
    loop {
        std::thread::park();
    }
}
