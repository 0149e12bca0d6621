//! State transfer between proxy processes: a new proxy receives the state of a running one, and no proxy receives state without the
//! key.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::rig::Rig;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Texts of key files: with one key, with two keys during a rotation, and with a key that no other proxy has.
const ONE_KEY: &str = "# the first seals\n1 000102030405060708090a0b0c0d0e0f\n";
const TWO_KEYS: &str = "2 101112131415161718191a1b1c1d1e1f\n1 000102030405060708090a0b0c0d0e0f\n";
const OTHER_KEY: &str = "1 ffffffffffffffffffffffffffffffff\n";

/// A rig for proxies that exchange state, and the folder of their key files.
struct PeerStateRig {
    rig: Rig,
    folder: PathBuf,
}

impl PeerStateRig {
    /// Creates a rig. `test_number` selects the folder and addresses, which no other test uses.
    fn new(test_number: u8) -> PeerStateRig {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("peer-state-{test_number}"));
        let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
        let rig = Rig::new(2, [127, 88, 200 + test_number, 1], program, &folder).unwrap();
        PeerStateRig { rig, folder }
    }

    /// Writes a key file that only its owner may read, and returns its path.
    fn write_key_file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        set_mode(&path, 0o600);
        path.to_str().unwrap().into()
    }

    /// Starts the proxy `p{number}`, which listens for peers at `listen` and requests state from `providers`.
    fn start(&self, number: u64, listen: SocketAddr, providers: &[SocketAddr], key_file: &str) -> Process {
        self.rig.start(number, Some(&options(listen, providers, key_file)), None).unwrap()
    }

    /// Starts a proxy that rejects its key file, and returns the error.
    fn start_and_fail(&self, listen: SocketAddr, key_file: &str) -> String {
        let started = self.rig.start(1, Some(&options(listen, &[], key_file)), None);
        started.err().unwrap().to_string()
    }
}

fn set_mode(path: impl AsRef<Path>, mode: u32) {
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(mode)).unwrap();
}

/// Returns the text of the options file.
fn options(listen: SocketAddr, providers: &[SocketAddr], key_file: &str) -> String {
    let providers: Vec<String> = providers.iter().map(ToString::to_string).collect();
    format!(
        "<birchreach-options><knowledge listen='{listen}' donors='{}' key-file='{key_file}' refresh-ms='500'/></birchreach-options>",
        providers.join(" ")
    )
}

/// Reads and writes in both groups, so that the proxy observes its servers.
fn send_requests(process: &Process) {
    let mut client = Client::connect(process.client_address().unwrap()).unwrap();
    for group in [0, 1] {
        for _ in 0..20 {
            assert!(matches!(client.write("file-entry", group, 3000).unwrap(), Reply::Served(_)));
            assert!(matches!(client.read("tariff-lookup", group, 2500).unwrap(), Reply::Served(_)));
        }
    }
}

/// Sends bytes that are not valid peer messages, and waits until the provider has closed each connection.
fn send_invalid_bytes(address: SocketAddr) {
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"bk\x09\x01 and what else there may be", &[b'b'; 100_000]]
    {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let _ = stream.write_all(bytes);
        // The provider may send its Hello before it closes the connection.
        let _ = stream.read_to_end(&mut Vec::new());
    }
}

#[test]
fn a_new_proxy_receives_the_state_of_a_running_one() {
    // Given a proxy with state, and the key files with one key and with two keys that are in use during a rotation
    let peers = PeerStateRig::new(1);
    let [first, second, third] = std::array::from_fn(|_| peers.rig.free_address().unwrap());
    let one_key = peers.write_key_file("one", ONE_KEY);
    let two_keys = peers.write_key_file("two", TWO_KEYS);
    let provider = peers.start(1, first, &[], &two_keys);
    send_requests(&provider);
    // When a new proxy starts, then it receives the state
    let new_proxy = peers.start(2, second, &[first], &two_keys);
    new_proxy
        .wait_for_log_line(&["conn=peer-state", "reason=received"])
        .expect("the new proxy receives state");
    provider.wait_for_log_line(&["conn=peer-state", "reason=sent"]).expect("the provider sends state");
    send_requests(&new_proxy);
    // When a proxy starts that lacks the provider's current key, then it receives no state and serves requests
    let late_proxy = peers.start(3, third, &[second], &one_key);
    late_proxy
        .wait_for_log_line(&["conn=peer-state", "unknown-key"])
        .expect("the proxy rejects the unknown key");
    send_requests(&late_proxy);
    // When its providers change by a reload, then the log states that the change needs a restart
    for _ in 0..2 {
        late_proxy.reload(&peers.rig.config(3), &options(third, &[first], &one_key)).unwrap();
    }
    late_proxy
        .wait_for_log_line(&["event=reloaded", "needs-restart=knowledge"])
        .expect("the need of a restart is logged");
    assert!(peers.rig.groups.iter().all(|group| group.rows.duplicate_count() == 0));
}

#[test]
fn neither_a_proxy_with_another_key_nor_an_invalid_connection_receives_state() {
    // Given a proxy with state
    let peers = PeerStateRig::new(2);
    let (first, second) = (peers.rig.free_address().unwrap(), peers.rig.free_address().unwrap());
    let one_key = peers.write_key_file("one", ONE_KEY);
    let other_key = peers.write_key_file("other", OTHER_KEY);
    let provider = peers.start(1, first, &[], &one_key);
    send_requests(&provider);
    // When a proxy with another key requests its state, then that proxy receives no state and serves requests
    let other_proxy = peers.start(2, second, &[first], &other_key);
    provider.wait_for_log_line(&["conn=peer-state", "wrong-code"]).expect("the provider rejects the request");
    other_proxy
        .wait_for_log_line(&["conn=peer-state", "reason="])
        .expect("the link of the requesting proxy ends");
    assert!(!other_proxy.log().iter().any(|line| line.contains("reason=received")));
    send_requests(&other_proxy);
    // When other connections send invalid bytes, then the provider logs why it closes them, and serves requests
    send_invalid_bytes(first);
    provider.wait_for_log_line(&["conn=peer-state", "no-frame"]).unwrap();
    provider.wait_for_log_line(&["conn=peer-state", "version-9"]).unwrap();
    send_requests(&provider);
}

#[test]
fn a_proxy_without_a_reachable_provider_starts_without_state() {
    // Given a provider that accepts connections and sends nothing, and a provider at whose address nothing listens
    let peers = PeerStateRig::new(3);
    let (listen, absent) = (peers.rig.free_address().unwrap(), peers.rig.free_address().unwrap());
    let one_key = peers.write_key_file("one", ONE_KEY);
    let unresponsive = TcpListener::bind((peers.rig.loopback_address(), 0)).unwrap();
    let providers = [unresponsive.local_addr().unwrap(), absent];
    // When a proxy starts, then it serves requests without having received state
    let new_proxy = peers.start(1, listen, &providers, &one_key);
    send_requests(&new_proxy);
    // When the absent provider starts later, then the proxy requests state from it again
    let provider = peers.start(2, absent, &[], &one_key);
    send_requests(&provider);
    new_proxy
        .wait_for_log_line(&["conn=peer-state", "reason=received"])
        .expect("the proxy requests state again");
    // When this provider is killed, then the proxy still serves requests
    drop(provider);
    std::thread::sleep(Duration::from_millis(300));
    send_requests(&new_proxy);
}

#[test]
fn invalid_key_files_are_rejected() {
    // Given a key file that other users may read, when a proxy starts, then it rejects the file
    let peers = PeerStateRig::new(4);
    let listen = peers.rig.free_address().unwrap();
    let key_file = peers.write_key_file("one", ONE_KEY);
    set_mode(&key_file, 0o644);
    let error = peers.start_and_fail(listen, &key_file);
    assert!(error.contains("expected mode 0600 or 0400, found 0644"), "{error}");
    // Given invalid key files, when a proxy starts, then the error names the fault
    for (text, reason) in [
        ("", "one to four keys"),
        ("1 0g", "expected a secret that consists of pairs of hexadecimal digits"),
        ("x 00", "expected a key number from 0 to 4294967295"),
        ("1", "the secret is missing: expected a key number, a space and a secret"),
        ("1 00", "16 bytes"),
    ] {
        let key_file = peers.write_key_file("bad", text);
        let error = peers.start_and_fail(listen, &key_file);
        assert!(error.contains(reason), "{text}: {error}");
    }
}
