//! `birchreach-proxy`: one proxy on real sockets before groups of a primary and its replicas.

mod config;
mod core;
mod discovery;
mod log;
mod net;
mod operator;
mod outbox;
mod peer;
mod pg;
mod stats;

fn main() {
    log::start(log::Format::Logfmt, "info".parse().unwrap_or_default());
    // Before all else: until they are caught, signals end the process.
    let signals = net::signals().unwrap_or_else(|message| quit(&message, 1));
    let config = config::load(config::environment).unwrap_or_else(|message| quit(&message, 2));
    net::run(config, signals).unwrap_or_else(|message| quit(&message, 1));
}

fn quit(message: &str, code: i32) -> ! {
    eprintln!("birchreach-proxy: {message}");
    std::process::exit(code)
}
