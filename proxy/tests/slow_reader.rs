//! A client that asks for much and reads nothing.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::rig::Rig;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;

/// Long values, many times more than sockets hold: what is kept for the client is bounded, others are served meanwhile, and it is
/// closed once it has read nothing for long.
#[test]
fn a_client_that_reads_nothing_is_closed_and_harms_nobody() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("slow_reader");
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(1, [127, 88, 221, 1], program, &folder).unwrap();
    let process = rig.start(1, None, None).unwrap();
    let at = process.clients().unwrap();
    let mut other = Client::connect(at).unwrap();
    let written = other.write_key("file-entry", 0, "long", &"ab".repeat(30_000), 3000).unwrap();
    assert!(matches!(written, Reply::Served(_)), "{written:?}");
    let mut slow = TcpStream::connect(at).unwrap();
    let startup = b"user\0api\0database\0ledger\0\0";
    let version = 196_608u32.to_be_bytes();
    slow.write_all(&[&(startup.len() as u32 + 8).to_be_bytes()[..], &version, startup].concat()).unwrap();
    for id in 0..1_000 {
        let text = format!(
            "SELECT blob FROM rows WHERE handle = 'long' /* id=f{id:08x},c=tariff-lookup,d=2500,cluster=0 */\0"
        );
        slow.write_all(&[&b"Q"[..], &(text.len() as u32 + 4).to_be_bytes(), text.as_bytes()].concat())
            .unwrap();
    }
    while process.line_now(&["conn=client", "reason=unresponsive"]).is_none() {
        let served = other.read_key("tariff-lookup", 0, "long", 2500, None).unwrap();
        assert!(matches!(served, Reply::Served(_)), "{served:?}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert!(process.memory().is_some_and(|kib| kib < 64 << 10), "{:?} KiB", process.memory());
}
