//! Frames, snapshots, and who asks whom.

use birchreach_peer_state::frame::{FrameError, FrameKind, FrameLink, Keys, MAX_PAYLOAD_BYTES, Side};
use birchreach_peer_state::provider::{self, Admission, StateProvider};
use birchreach_peer_state::request_scheduler::{RequestOutcome, RequestScheduler, RequestSettings};
use birchreach_peer_state::snapshot::{self, SnapshotError};
use birchreach_peer_state::{Micros, ObservationSource, PeerState, Role, ServerIncarnation, advice};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn keys(ids: &[u32]) -> Keys {
    Keys::new(ids.iter().map(|id| (*id, format!("a secret with the number {id}").into_bytes())).collect())
        .unwrap()
}

/// Two ends that have said hello.
fn pair(asker: Keys, donor: Keys) -> Result<(FrameLink, FrameLink), FrameError> {
    let mut a = FrameLink::new(Side::Requester, asker, [1; 16]);
    let mut d = FrameLink::new(Side::Provider, donor, [2; 16]);
    d.feed(&a.hello());
    assert_eq!(d.next_frame()?, None);
    a.feed(&d.hello());
    assert_eq!(a.next_frame()?, None);
    assert!(a.is_established() && d.is_established());
    Ok((a, d))
}

#[test]
fn frames_arrive_as_they_were_sealed_in_pieces_of_any_size() {
    for piece in [1, 7, 100, 100_000] {
        let (mut a, mut d) = pair(keys(&[1]), keys(&[1])).unwrap();
        let part = vec![7; MAX_PAYLOAD_BYTES];
        let bytes = [
            d.seal(FrameKind::Part, &part),
            d.seal(FrameKind::Unknown(77), b"later"),
            d.seal(FrameKind::Last, b"end"),
        ]
        .concat();
        let mut got = Vec::new();
        for piece in bytes.chunks(piece) {
            a.feed(piece);
            while let Some(frame) = a.next_frame().unwrap() {
                got.push(frame);
            }
        }
        let wanted = [
            (FrameKind::Part, part),
            (FrameKind::Unknown(77), b"later".to_vec()),
            (FrameKind::Last, b"end".to_vec()),
        ];
        assert_eq!(got, wanted);
        assert!(d.seal(FrameKind::Part, &vec![0; MAX_PAYLOAD_BYTES + 1]).is_empty());
    }
}

#[test]
fn two_keys_are_valid_while_they_change() {
    // The asker speaks with the new key already, the donor with the old one still.
    let (mut a, mut d) = pair(keys(&[2, 1]), keys(&[1, 2])).unwrap();
    d.feed(&a.seal(FrameKind::Request, b""));
    assert_eq!(d.next_frame(), Ok(Some((FrameKind::Request, Vec::new()))));
    a.feed(&d.seal(FrameKind::Last, b"x"));
    assert_eq!(a.next_frame(), Ok(Some((FrameKind::Last, b"x".to_vec()))));
    assert_eq!(pair(keys(&[2]), keys(&[1])).err(), Some(FrameError::UnknownKey));
    for bad in [vec![], vec![(1, b"short".to_vec())], vec![(1, vec![0; 16]), (1, vec![1; 16])]] {
        assert!(Keys::new(bad).is_err());
    }
}

#[test]
fn forged_replayed_reflected_and_misplaced_frames_are_refused() {
    let refused = |act: &dyn Fn(&mut FrameLink, &mut FrameLink) -> Vec<u8>| {
        let (mut a, mut d) = pair(keys(&[1]), keys(&[1])).unwrap();
        let bytes = act(&mut a, &mut d);
        a.feed(&bytes);
        let refused = a.next_frame().err();
        assert_eq!(a.next_frame(), Err(FrameError::NotAFrame), "nothing comes after a refusal");
        assert!(!a.wants_input());
        refused
    };
    let changed = |at: usize| {
        move |_: &mut FrameLink, d: &mut FrameLink| {
            let mut frame = d.seal(FrameKind::Part, b"payload");
            frame[at] ^= 1;
            frame
        }
    };
    // The kind, the payload, the code.
    for at in [3, 14, 25] {
        assert_eq!(refused(&changed(at)), Some(FrameError::WrongCode), "byte {at}");
    }
    assert_eq!(refused(&changed(0)), Some(FrameError::NotAFrame));
    assert_eq!(refused(&changed(2)), Some(FrameError::Version(0)));
    assert_eq!(refused(&changed(7)), Some(FrameError::UnknownKey));
    assert_eq!(refused(&changed(8)), Some(FrameError::TooLong));
    // One that was sent already, one that was left out before it, its own words, another connection's.
    assert_eq!(
        refused(&|a, d| {
            let frame = d.seal(FrameKind::Part, b"x");
            a.feed(&frame);
            assert!(a.next_frame().unwrap().is_some());
            frame
        }),
        Some(FrameError::WrongCode)
    );
    assert_eq!(
        refused(&|_, d| {
            d.seal(FrameKind::Part, b"lost");
            d.seal(FrameKind::Last, b"x")
        }),
        Some(FrameError::WrongCode)
    );
    assert_eq!(refused(&|a, _| a.seal(FrameKind::Part, b"x")), Some(FrameError::WrongCode));
    assert_eq!(
        refused(&|_, _| {
            let mut other = FrameLink::new(Side::Provider, keys(&[1]), [3; 16]);
            let mut asker = FrameLink::new(Side::Requester, keys(&[1]), [1; 16]);
            other.feed(&asker.hello());
            other.next_frame().unwrap();
            other.hello();
            other.seal(FrameKind::Part, b"x")
        }),
        Some(FrameError::WrongCode)
    );
    assert_eq!(refused(&|_, d| d.hello()), Some(FrameError::OutOfOrder));
    // Before a hello nothing counts.
    let mut early = FrameLink::new(Side::Provider, keys(&[1]), [2; 16]);
    let (mut a, _) = pair(keys(&[1]), keys(&[1])).unwrap();
    early.feed(&a.seal(FrameKind::Request, b""));
    assert_eq!(early.next_frame(), Err(FrameError::OutOfOrder));
}

#[test]
fn noise_is_refused() {
    let (mut a, mut d) = pair(keys(&[1]), keys(&[1])).unwrap();
    let good = [a.seal(FrameKind::Request, b"something"), d.seal(FrameKind::Part, &[5; 300])];
    for seed in 0..5_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = good[rng.usize(0..2)].repeat(2);
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(0..bytes.len());
            bytes[at] = rng.u8(..);
        }
        let mut link =
            FrameLink::new(if rng.bool() { Side::Requester } else { Side::Provider }, keys(&[1]), [9; 16]);
        link.feed(&bytes);
        while let Ok(Some(_)) = link.next_frame() {}
        // A frame's payload may be anything too.
        let told: Result<birchreach_peer_state::TransferPart, _> = postcard::from_bytes(&bytes);
        if let Ok(told) = told {
            PeerState::new(1).apply_transfer(S, &told);
        }
        let _ = snapshot::read(&bytes, 0);
    }
}

fn knows() -> PeerState {
    let mut k = PeerState::new(1);
    for n in 0..50 {
        k.add_listed_server(&format!("s-{n}"), ServerIncarnation { started_ms: 0, group: n / 5 });
        k.record_position(100 * S, &format!("s-{n}"), 99 * S, S, ObservationSource::ServerStatus);
    }
    k.record_role(100 * S, "s-0", Role::Primary, ObservationSource::ServedWrite);
    k
}

#[test]
fn a_snapshot_is_hearsay_with_the_age_that_it_has() {
    let k = knows();
    let file = snapshot::write(&k, 101 * S, 1_000_000);
    let told = snapshot::read(&file, 1_030_000).unwrap();
    let mut newcomer = PeerState::new(2);
    k.listed_servers().for_each(|(uid, listed)| newcomer.add_listed_server(uid, listed.clone()));
    newcomer.apply_transfer(500 * S, &told);
    let primary = newcomer.facts("s-0").unwrap().primary.unwrap();
    assert_eq!((primary.age(500 * S), primary.hop_count), (31 * S, 1));
    assert_eq!(advice::position(&newcomer, "s-7").unwrap().value, 99 * S);
    // By the same proxy, started again under its name, it is its own word, and not to be laundered: it is dropped.
    let mut same = PeerState::new(1);
    k.listed_servers().for_each(|(uid, listed)| same.add_listed_server(uid, listed.clone()));
    same.apply_transfer(500 * S, &told);
    assert_eq!(same.servers().count(), 0);
}

#[test]
fn a_snapshot_that_is_not_whole_is_refused() {
    let file = snapshot::write(&knows(), 101 * S, 1_000_000);
    for cut in 0..file.len() {
        assert!(snapshot::read(&file[..cut], 1_000_000).is_err(), "cut at {cut}");
    }
    for at in 8..file.len() {
        let mut torn = file.clone();
        torn[at] ^= 0x10;
        assert_eq!(snapshot::read(&torn, 1_000_000), Err(SnapshotError::Corrupt), "byte {at}");
    }
    assert_eq!(snapshot::read(b"{}", 0), Err(SnapshotError::UnknownFormat));
    assert_eq!(snapshot::read(b"bknow-2\n........", 0), Err(SnapshotError::UnknownFormat));
    assert_eq!(snapshot::read(&file, 999_999), Err(SnapshotError::WrittenInFuture));
    assert_eq!(snapshot::read(&file, 1_700_000), Err(SnapshotError::TooOld));
    assert_eq!(snapshot::read(&vec![0; snapshot::MAX_FILE_BYTES + 1], 0), Err(SnapshotError::TooLong));
}

fn joiner(donors: &[&str]) -> RequestScheduler {
    RequestScheduler::new(
        RequestSettings {
            providers: donors.iter().map(|d| d.to_string()).collect(),
            ..RequestSettings::default()
        },
        0,
    )
}

#[test]
fn a_start_waits_for_one_whole_answer_or_its_patience() {
    assert!(joiner(&[]).is_startup_complete(), "with nobody to ask it starts as ever");
    let mut j = joiner(&["a", "b", "c", "d"]);
    let asked = j.due_requests(0);
    assert!(asked.len() == 3 && !j.is_startup_complete());
    assert!(j.due_requests(MS).is_empty());
    j.record_outcome(5 * MS, &asked[0], RequestOutcome::Complete(vec!["e".into()]));
    assert!(j.is_startup_complete());
    let mut silent = joiner(&["a", "b"]);
    assert_eq!(silent.due_requests(0).len(), 2);
    assert_eq!(silent.next_change(0), 300 * MS);
    silent.due_requests(300 * MS);
    assert!(silent.is_startup_complete());
    // Where all have failed, there is nothing to wait for.
    let mut dead = joiner(&["a", "b"]);
    for name in dead.due_requests(0) {
        dead.record_outcome(2 * MS, &name, RequestOutcome::Failed);
    }
    assert!(dead.is_startup_complete());
}

/// Never stuck, never a storm: seeded donors that answer, fail, are busy or say nothing.
#[test]
fn refreshes_go_on_and_are_bounded() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let donors = ["a", "b", "c", "d"];
        let mut j = joiner(&donors[..rng.usize(1..5)]);
        let (mut now, mut asks, mut out) = (0, 0, Vec::new());
        while now < 600 * S {
            for name in j.due_requests(now) {
                asks += 1;
                let end = match rng.u8(0..4) {
                    0 => Some(RequestOutcome::Complete((0..100).map(|n| format!("x{n}")).collect())),
                    1 => Some(RequestOutcome::Busy(rng.i64(0..S))),
                    2 => Some(RequestOutcome::Failed),
                    _ => None,
                };
                out.extend(end.map(|end| (now + rng.i64(0..100 * MS), name, end)));
            }
            out.sort_by_key(|(at, ..)| *at);
            let due = out.first().map_or(Micros::MAX, |(at, ..)| *at);
            let next = j.next_change(now);
            assert!(next > now, "seed {seed}: it wakes without end");
            now = due.min(next).max(now);
            if due <= now {
                let (at, name, end) = out.remove(0);
                j.record_outcome(at, &name, end);
            }
        }
        assert!(j.is_startup_complete());
        assert!((20..3_000).contains(&asks), "seed {seed}: {asks} asks in ten minutes");
    }
}

/// A hundred newcomers at one running proxy: few at once, within the bytes, and all of them in the end.
#[test]
fn a_hundred_newcomers_cost_a_donor_its_budget_and_no_more() {
    let settings = provider::ProviderSettings::default();
    let mut d = StateProvider::new(settings.clone(), 0);
    let size = 200_000usize;
    let mut waiting: Vec<Micros> = vec![0; 100];
    let mut serving: Vec<usize> = Vec::new();
    let (mut now, mut sent, mut most) = (0, 0u64, 0);
    let mut refused = 0;
    while !(waiting.is_empty() && serving.is_empty()) {
        assert!(now < 120 * S, "they are not all served");
        let mut still = Vec::new();
        for at in waiting.drain(..) {
            if at > now {
                still.push(at);
                continue;
            }
            match d.admit(now) {
                Admission::Serve => serving.push(size),
                Admission::Busy(wait) => {
                    refused += 1;
                    still.push(now + wait);
                }
            }
        }
        waiting = still;
        most = most.max(serving.len());
        for left in &mut serving {
            let part = (*left).min(64 << 10);
            if d.take_send_budget(now, part).is_ok() {
                *left -= part;
                sent += part as u64;
            }
        }
        let before = serving.len();
        serving.retain(|left| *left > 0);
        (serving.len()..before).for_each(|_| d.finish(true));
        assert!(sent as f64 <= 65_536.0 + settings.bytes_per_s as f64 * now as f64 / 1e6 + 65_536.0);
        now += MS;
    }
    assert!(most <= settings.at_once && d.completed_transfers == 100);
    assert!(refused < 3_000, "{refused} calls put off");
    // Under pressure it tells nothing at all.
    d.set_load(0.9);
    assert!(matches!(d.admit(now), Admission::Busy(_)) && d.take_send_budget(now, 1).is_err());
    d.set_load(0.2);
    assert_eq!(d.admit(now), Admission::Serve);
}

/// All that one knows reaches the other, in pieces of any size, with nothing added.
#[test]
fn a_conversation_tells_all_in_parts() {
    use birchreach_peer_state::transfer_protocol::{StateRequester, StateSender, TransferEvent};
    let mut donor = PeerState::new(1);
    for n in 0..1000 {
        donor.add_listed_server(
            &format!("server-with-a-long-name-{n}"),
            ServerIncarnation { started_ms: 0, group: n / 5 },
        );
        donor.record_position(
            100 * S,
            &format!("server-with-a-long-name-{n}"),
            99 * S + i64::from(n),
            S,
            ObservationSource::ServerStatus,
        );
    }
    for piece in [1, 1000, 1 << 20] {
        let mut newcomer = PeerState::new(2);
        donor.listed_servers().for_each(|(uid, listed)| newcomer.add_listed_server(uid, listed.clone()));
        let (mut a, mut t) =
            (StateRequester::new(keys(&[1]), [1; 16]), StateSender::new(keys(&[1]), [2; 16]));
        let mut named = None;
        let mut parts = 0;
        for _ in 0..1_000_000 {
            let n = a.output.len().min(piece);
            t.feed(&a.output.drain(..n).collect::<Vec<_>>());
            if t.receive_request().unwrap() {
                t.start_sending(donor.export_facts(100 * S), &["127.0.0.1:1".into()]);
            }
            if t.output.is_empty() {
                parts += usize::from(t.send_next_part().is_some());
            }
            let n = t.output.len().min(piece);
            a.feed(&t.output.drain(..n).collect::<Vec<_>>());
            while let Some(heard) = a.next_event().unwrap() {
                match heard {
                    TransferEvent::Part(told) => newcomer.apply_transfer(99 * S, &told),
                    TransferEvent::Complete(donors) => named = Some(donors),
                    TransferEvent::Busy(_) => panic!("it was not put off"),
                }
            }
            if a.is_finished() {
                break;
            }
        }
        assert_eq!(named, Some(vec!["127.0.0.1:1".to_string()]));
        assert_eq!((parts, newcomer.servers().count()), (9, 1000));
        assert_eq!(advice::position(&newcomer, "server-with-a-long-name-999").unwrap().value, 99 * S + 999);
    }
    // One that is put off hears for how long; one without the key hears nothing.
    let mut stranger = StateRequester::new(keys(&[3]), [1; 16]);
    let mut t = StateSender::new(keys(&[1]), [2; 16]);
    t.feed(&stranger.output);
    assert_eq!(t.receive_request(), Err(FrameError::UnknownKey));
    stranger.feed(&t.output);
    assert_eq!(stranger.next_event(), Err(FrameError::UnknownKey));
    let (mut a, mut t) = (StateRequester::new(keys(&[1]), [1; 16]), StateSender::new(keys(&[1]), [2; 16]));
    t.feed(&std::mem::take(&mut a.output));
    assert_eq!(t.receive_request(), Ok(false));
    a.feed(&std::mem::take(&mut t.output));
    assert_eq!(a.next_event(), Ok(None));
    t.feed(&std::mem::take(&mut a.output));
    assert_eq!(t.receive_request(), Ok(true));
    t.send_busy(1500 * MS);
    a.feed(&std::mem::take(&mut t.output));
    assert_eq!(a.next_event(), Ok(Some(TransferEvent::Busy(1500 * MS))));
    assert!(a.is_finished() && t.is_finished());
}
