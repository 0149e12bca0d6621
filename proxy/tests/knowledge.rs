//! Knowledge between real processes: a newcomer learns from a running proxy, and nobody learns without the key.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::{PATIENCE, Process};
use birchreach_test_support::rig::Rig;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

fn rig(n: u8) -> (Rig, PathBuf) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("knowledge-{n}"));
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(2, [127, 88, 200 + n, 1], program, &folder).unwrap();
    (rig, folder)
}

/// A key file that only its owner reads.
fn keys(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
    path.to_str().unwrap().into()
}

const ONE: &str = "# the first is spoken with\n1 000102030405060708090a0b0c0d0e0f\n";
const TWO: &str = "2 101112131415161718191a1b1c1d1e1f\n1 000102030405060708090a0b0c0d0e0f\n";
const OTHER: &str = "1 ffffffffffffffffffffffffffffffff\n";

fn options(listen: SocketAddr, donors: &[SocketAddr], keys: &str) -> String {
    let donors: Vec<String> = donors.iter().map(ToString::to_string).collect();
    format!(
        "<birchreach-options><knowledge listen='{listen}' donors='{}' key-file='{keys}' refresh-ms='500'/></birchreach-options>",
        donors.join(" ")
    )
}

/// Reads and writes in both groups, so that it knows its servers.
fn work(process: &Process) {
    let mut client = Client::connect(process.clients().unwrap()).unwrap();
    for group in [0, 1] {
        for _ in 0..20 {
            assert!(matches!(client.write("file-entry", group, 3000).unwrap(), Reply::Served(_)));
            assert!(matches!(client.read("tariff-lookup", group, 2500).unwrap(), Reply::Served(_)));
        }
    }
}

#[test]
fn a_newcomer_hears_what_a_running_proxy_knows() {
    let (rig, folder) = rig(1);
    let (a, b, c) = (rig.free().unwrap(), rig.free().unwrap(), rig.free().unwrap());
    let (one, two) = (keys(&folder, "one", ONE), keys(&folder, "two", TWO));
    let donor = rig.start(1, Some(&options(a, &[], &two)), None).unwrap();
    work(&donor);
    // The key is changing: the newcomer has the old one still.
    let newcomer = rig.start(2, Some(&options(b, &[a], &two)), None).unwrap();
    newcomer.line(&["conn=peer-state", "reason=received"]).expect("it hears");
    donor.line(&["conn=peer-state", "reason=sent"]).expect("and is told");
    work(&newcomer);
    let late = rig.start(3, Some(&options(c, &[b], &one)), None).unwrap();
    // The donor speaks with a key that this one lacks; it learns nothing, and serves all the same.
    late.line(&["conn=peer-state", "unknown-key"]).expect("refused");
    work(&late);
    // Other donors wait for a restart, and the log says so, each time.
    for _ in 0..2 {
        late.reload(&rig.config(3), &options(c, &[a], &one)).unwrap();
    }
    late.line(&["event=reloaded", "needs-restart=knowledge"]).expect("told");
    assert!(rig.groups.iter().all(|g| g.rows.doubles() == 0));
}

#[test]
fn strangers_and_noise_learn_nothing_and_cost_nothing() {
    let (rig, folder) = rig(2);
    let (a, b) = (rig.free().unwrap(), rig.free().unwrap());
    let (one, other) = (keys(&folder, "one", ONE), keys(&folder, "other", OTHER));
    let donor = rig.start(1, Some(&options(a, &[], &one)), None).unwrap();
    work(&donor);
    let stranger = rig.start(2, Some(&options(b, &[a], &other)), None).unwrap();
    donor.line(&["conn=peer-state", "wrong-code"]).expect("the donor refuses it");
    stranger.line(&["conn=peer-state", "reason="]).expect("and it hears nothing");
    assert!(!stranger.log().iter().any(|l| l.contains("reason=received")));
    work(&stranger);
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"bk\x09\x01 and what else there may be", &[b'b'; 100_000]]
    {
        let mut stream = TcpStream::connect(a).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let _ = stream.write_all(bytes);
        // It may have said hello, and then ends.
        let _ = stream.read_to_end(&mut Vec::new());
    }
    donor.line(&["conn=peer-state", "no-frame"]).unwrap();
    donor.line(&["conn=peer-state", "version-9"]).unwrap();
    work(&donor);
}

#[test]
fn a_start_without_anybody_to_ask_is_a_cold_one() {
    let (rig, folder) = rig(3);
    let (a, dead) = (rig.free().unwrap(), rig.free().unwrap());
    let one = keys(&folder, "one", ONE);
    // One that takes the connection and says nothing, and one that nobody listens at.
    let silent = std::net::TcpListener::bind((rig.own(), 0)).unwrap();
    let donors = [silent.local_addr().unwrap(), dead];
    let newcomer = rig.start(1, Some(&options(a, &donors, &one)), None).unwrap();
    work(&newcomer);
    // A donor killed in the middle of things, and one that comes later.
    let donor = rig.start(2, Some(&options(dead, &[], &one)), None).unwrap();
    work(&donor);
    newcomer.line(&["conn=peer-state", "reason=received"]).expect("it is asked again");
    drop(donor);
    std::thread::sleep(Duration::from_millis(300));
    work(&newcomer);
}

#[test]
fn keys_that_others_may_read_are_not_taken() {
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
