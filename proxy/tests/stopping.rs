//! SIGTERM under clients that go on sending, on every connection that stays open, until the process is gone.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::rig::Rig;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Whatever reached a database has its answer: a write that ran while its client heard the connection end would be one that
/// was taken and lost. What the proxy had not read crosses with the end, and ran nowhere.
#[test]
fn clients_that_never_stop_sending_lose_nothing_and_do_not_keep_the_process() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stopping");
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(1, [127, 88, 220, 1], program, &folder).unwrap();
    rig.groups[0].primary.delay("file-entry", std::time::Duration::from_millis(3));
    let mut process = rig.start(1, None, None).unwrap();
    let at = process.clients().unwrap();
    let (served, over) = (AtomicUsize::new(0), AtomicBool::new(false));
    let code = std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                // A connection that ends is replaced for as long as anybody listens.
                while let Ok(mut client) = Client::connect(at) {
                    while let Ok(reply) = client.write("file-entry", 0, 3000) {
                        served.fetch_add(usize::from(matches!(reply, Reply::Served(_))), Ordering::Relaxed);
                    }
                    if over.load(Ordering::Relaxed) {
                        break;
                    }
                }
            });
        }
        while served.load(Ordering::Relaxed) < 200 {
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        process.signal("TERM");
        let code = process.ended();
        over.store(true, Ordering::Relaxed);
        code
    });
    assert_eq!(code, Some(0));
    process.line(&["event=stopped open=0"]).expect("it does not end by its last call");
    assert_eq!(rig.groups[0].rows.doubles(), 0);
    assert_eq!(
        rig.groups[0].rows.writes(),
        served.load(Ordering::Relaxed),
        "each write that ran was heard of"
    );
}
