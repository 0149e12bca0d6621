//! State transfer between real processes: a new proxy receives a running one's state, and nothing is received without the key.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::{PATIENCE, Process};
use birchreach_test_support::rig::Rig;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

fn rig(n: u8) -> (Rig, PathBuf) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("peer-state-{n}"));
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(2, [127, 88, 200 + n, 1], program, &folder).unwrap();
    (rig, folder)
}

/// A key file that only its owner may read.
fn keys(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
    path.to_str().unwrap().into()
}

const ONE: &str = "# the first seals\n1 000102030405060708090a0b0c0d0e0f\n";
const TWO: &str = "2 101112131415161718191a1b1c1d1e1f\n1 000102030405060708090a0b0c0d0e0f\n";
const OTHER: &str = "1 ffffffffffffffffffffffffffffffff\n";

fn options(listen: SocketAddr, providers: &[SocketAddr], keys: &str) -> String {
    let providers: Vec<String> = providers.iter().map(ToString::to_string).collect();
    format!(
        "<birchreach-options><knowledge listen='{listen}' donors='{}' key-file='{keys}' refresh-ms='500'/></birchreach-options>",
        providers.join(" ")
    )
}

/// Reads and writes in both groups, so that the proxy observes its servers.
fn send_requests(process: &Process) {
    let mut client = Client::connect(process.clients().unwrap()).unwrap();
    for group in [0, 1] {
        for _ in 0..20 {
            assert!(matches!(client.write("file-entry", group, 3000).unwrap(), Reply::Served(_)));
            assert!(matches!(client.read("tariff-lookup", group, 2500).unwrap(), Reply::Served(_)));
        }
    }
}

#[test]
fn a_new_proxy_receives_the_state_of_a_running_one() {
    let (rig, folder) = rig(1);
    let (a, b, c) = (rig.free().unwrap(), rig.free().unwrap(), rig.free().unwrap());
    let (one, two) = (keys(&folder, "one", ONE), keys(&folder, "two", TWO));
    let provider = rig.start(1, Some(&options(a, &[], &two)), None).unwrap();
    send_requests(&provider);
    // Both keys are valid while they are rotated.
    let new_proxy = rig.start(2, Some(&options(b, &[a], &two)), None).unwrap();
    new_proxy.line(&["conn=peer-state", "reason=received"]).expect("it receives state");
    provider.line(&["conn=peer-state", "reason=sent"]).expect("it was sent");
    send_requests(&new_proxy);
    let late = rig.start(3, Some(&options(c, &[b], &one)), None).unwrap();
    // The provider seals with a key that this one lacks: it receives nothing, and serves all the same.
    late.line(&["conn=peer-state", "unknown-key"]).expect("rejected");
    send_requests(&late);
    // Other providers need a restart, and the log says so each time.
    for _ in 0..2 {
        late.reload(&rig.config(3), &options(c, &[a], &one)).unwrap();
    }
    late.line(&["event=reloaded", "needs-restart=knowledge"]).expect("logged");
    assert!(rig.groups.iter().all(|g| g.rows.doubles() == 0));
}

#[test]
fn a_proxy_without_the_key_and_noise_receive_nothing() {
    let (rig, folder) = rig(2);
    let (a, b) = (rig.free().unwrap(), rig.free().unwrap());
    let (one, other) = (keys(&folder, "one", ONE), keys(&folder, "other", OTHER));
    let provider = rig.start(1, Some(&options(a, &[], &one)), None).unwrap();
    send_requests(&provider);
    let stranger = rig.start(2, Some(&options(b, &[a], &other)), None).unwrap();
    provider.line(&["conn=peer-state", "wrong-code"]).expect("the provider rejects it");
    stranger.line(&["conn=peer-state", "reason="]).expect("and its link ends");
    assert!(!stranger.log().iter().any(|l| l.contains("reason=received")));
    send_requests(&stranger);
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"bk\x09\x01 and what else there may be", &[b'b'; 100_000]]
    {
        let mut stream = TcpStream::connect(a).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let _ = stream.write_all(bytes);
        // The provider may have sent its Hello; then it closes.
        let _ = stream.read_to_end(&mut Vec::new());
    }
    provider.line(&["conn=peer-state", "no-frame"]).unwrap();
    provider.line(&["conn=peer-state", "version-9"]).unwrap();
    send_requests(&provider);
}

#[test]
fn a_start_without_a_provider_serves_without_state() {
    let (rig, folder) = rig(3);
    let (a, dead) = (rig.free().unwrap(), rig.free().unwrap());
    let one = keys(&folder, "one", ONE);
    // One that accepts the connection and sends nothing, and one where nothing listens.
    let unresponsive = std::net::TcpListener::bind((rig.own(), 0)).unwrap();
    let providers = [unresponsive.local_addr().unwrap(), dead];
    let new_proxy = rig.start(1, Some(&options(a, &providers, &one)), None).unwrap();
    send_requests(&new_proxy);
    // A provider that starts later, and is killed.
    let provider = rig.start(2, Some(&options(dead, &[], &one)), None).unwrap();
    send_requests(&provider);
    new_proxy.line(&["conn=peer-state", "reason=received"]).expect("the provider is asked again");
    drop(provider);
    std::thread::sleep(Duration::from_millis(300));
    send_requests(&new_proxy);
}

#[test]
fn invalid_key_files_are_rejected() {
    let (rig, folder) = rig(4);
    let one = keys(&folder, "one", ONE);
    std::fs::set_permissions(&one, std::fs::Permissions::from_mode(0o644)).unwrap();
    let at = rig.free().unwrap();
    let failed = rig.start(1, Some(&options(at, &[], &one)), None).err().unwrap().to_string();
    assert!(failed.contains("others may read it"), "{failed}");
    for (text, says) in [
        ("", "one to four keys"),
        ("1 0g", "hexadecimal"),
        ("x 00", "no number"),
        ("1", "no secret"),
        ("1 00", "16 bytes"),
    ] {
        let bad = keys(&folder, "bad", text);
        let failed = rig.start(1, Some(&options(at, &[], &bad)), None).err().unwrap().to_string();
        assert!(failed.contains(says), "{text}: {failed}");
    }
}
