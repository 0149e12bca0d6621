//! Frames, snapshots, and who asks whom.

use birchreach_peer_state::donor::{self, Donor, Verdict};
use birchreach_peer_state::frame::{Keys, Kind, Link, MOST, Refused, Side};
use birchreach_peer_state::join::{End, Joiner, Settings};
use birchreach_peer_state::snapshot::{self, Unfit};
use birchreach_peer_state::{Knowledge, Listed, Micros, Role, Source, advice};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn keys(ids: &[u32]) -> Keys {
    Keys::new(ids.iter().map(|id| (*id, format!("a secret with the number {id}").into_bytes())).collect())
        .unwrap()
}

/// Two ends that have said hello.
fn pair(asker: Keys, donor: Keys) -> Result<(Link, Link), Refused> {
    let mut a = Link::new(Side::Asker, asker, [1; 16]);
    let mut d = Link::new(Side::Donor, donor, [2; 16]);
    d.feed(&a.hello());
    assert_eq!(d.frame()?, None);
    a.feed(&d.hello());
    assert_eq!(a.frame()?, None);
    assert!(a.greeted() && d.greeted());
    Ok((a, d))
}

#[test]
fn frames_arrive_as_they_were_sealed_in_pieces_of_any_size() {
    for piece in [1, 7, 100, 100_000] {
        let (mut a, mut d) = pair(keys(&[1]), keys(&[1])).unwrap();
        let part = vec![7; MOST];
        let bytes =
            [d.seal(Kind::Part, &part), d.seal(Kind::Other(77), b"later"), d.seal(Kind::Last, b"end")]
                .concat();
        let mut got = Vec::new();
        for piece in bytes.chunks(piece) {
            a.feed(piece);
            while let Some(frame) = a.frame().unwrap() {
                got.push(frame);
            }
        }
        let wanted =
            [(Kind::Part, part), (Kind::Other(77), b"later".to_vec()), (Kind::Last, b"end".to_vec())];
        assert_eq!(got, wanted);
        assert!(d.seal(Kind::Part, &vec![0; MOST + 1]).is_empty());
    }
}

#[test]
fn two_keys_are_valid_while_they_change() {
    // The asker speaks with the new key already, the donor with the old one still.
    let (mut a, mut d) = pair(keys(&[2, 1]), keys(&[1, 2])).unwrap();
    d.feed(&a.seal(Kind::Ask, b""));
    assert_eq!(d.frame(), Ok(Some((Kind::Ask, Vec::new()))));
    a.feed(&d.seal(Kind::Last, b"x"));
    assert_eq!(a.frame(), Ok(Some((Kind::Last, b"x".to_vec()))));
    assert_eq!(pair(keys(&[2]), keys(&[1])).err(), Some(Refused::UnknownKey));
    for bad in [vec![], vec![(1, b"short".to_vec())], vec![(1, vec![0; 16]), (1, vec![1; 16])]] {
        assert!(Keys::new(bad).is_err());
    }
}

#[test]
fn forged_replayed_reflected_and_misplaced_frames_are_refused() {
    let refused = |act: &dyn Fn(&mut Link, &mut Link) -> Vec<u8>| {
        let (mut a, mut d) = pair(keys(&[1]), keys(&[1])).unwrap();
        let bytes = act(&mut a, &mut d);
        a.feed(&bytes);
        let refused = a.frame().err();
        assert_eq!(a.frame(), Err(Refused::NoFrame), "nothing comes after a refusal");
        assert!(!a.hungry());
        refused
    };
    let changed = |at: usize| {
        move |_: &mut Link, d: &mut Link| {
            let mut frame = d.seal(Kind::Part, b"payload");
            frame[at] ^= 1;
            frame
        }
    };
    // The kind, the payload, the code.
    for at in [3, 14, 25] {
        assert_eq!(refused(&changed(at)), Some(Refused::Code), "byte {at}");
    }
    assert_eq!(refused(&changed(0)), Some(Refused::NoFrame));
    assert_eq!(refused(&changed(2)), Some(Refused::Version(0)));
    assert_eq!(refused(&changed(7)), Some(Refused::UnknownKey));
    assert_eq!(refused(&changed(8)), Some(Refused::TooLong));
    // One that was sent already, one that was left out before it, its own words, another connection's.
    assert_eq!(
        refused(&|a, d| {
            let frame = d.seal(Kind::Part, b"x");
            a.feed(&frame);
            assert!(a.frame().unwrap().is_some());
            frame
        }),
        Some(Refused::Code)
    );
    assert_eq!(
        refused(&|_, d| {
            d.seal(Kind::Part, b"lost");
            d.seal(Kind::Last, b"x")
        }),
        Some(Refused::Code)
    );
    assert_eq!(refused(&|a, _| a.seal(Kind::Part, b"x")), Some(Refused::Code));
    assert_eq!(
        refused(&|_, _| {
            let mut other = Link::new(Side::Donor, keys(&[1]), [3; 16]);
            let mut asker = Link::new(Side::Asker, keys(&[1]), [1; 16]);
            other.feed(&asker.hello());
            other.frame().unwrap();
            other.hello();
            other.seal(Kind::Part, b"x")
        }),
        Some(Refused::Code)
    );
    assert_eq!(refused(&|_, d| d.hello()), Some(Refused::Order));
    // Before a hello nothing counts.
    let mut early = Link::new(Side::Donor, keys(&[1]), [2; 16]);
    let (mut a, _) = pair(keys(&[1]), keys(&[1])).unwrap();
    early.feed(&a.seal(Kind::Ask, b""));
    assert_eq!(early.frame(), Err(Refused::Order));
}

#[test]
fn noise_is_refused() {
    let (mut a, mut d) = pair(keys(&[1]), keys(&[1])).unwrap();
    let good = [a.seal(Kind::Ask, b"something"), d.seal(Kind::Part, &[5; 300])];
    for seed in 0..5_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = good[rng.usize(0..2)].repeat(2);
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(0..bytes.len());
            bytes[at] = rng.u8(..);
        }
        let mut link = Link::new(if rng.bool() { Side::Asker } else { Side::Donor }, keys(&[1]), [9; 16]);
        link.feed(&bytes);
        while let Ok(Some(_)) = link.frame() {}
        // A frame's payload may be anything too.
        let told: Result<birchreach_peer_state::Told, _> = postcard::from_bytes(&bytes);
        if let Ok(told) = told {
            Knowledge::new(1).hear(S, &told);
        }
        let _ = snapshot::read(&bytes, 0);
    }
}

fn knows() -> Knowledge {
    let mut k = Knowledge::new(1);
    for n in 0..50 {
        k.listed(&format!("s-{n}"), Listed { boot_ms: 0, group: n / 5 });
        k.saw_position(100 * S, &format!("s-{n}"), 99 * S, S, Source::Note);
    }
    k.saw_role(100 * S, "s-0", Role::Primary, Source::Served);
    k
}

#[test]
fn a_snapshot_is_hearsay_with_the_age_that_it_has() {
    let k = knows();
    let file = snapshot::write(&k, 101 * S, 1_000_000);
    let told = snapshot::read(&file, 1_030_000).unwrap();
    let mut newcomer = Knowledge::new(2);
    k.list().for_each(|(uid, listed)| newcomer.listed(uid, listed.clone()));
    newcomer.hear(500 * S, &told);
    let primary = newcomer.facts("s-0").unwrap().primary.unwrap();
    assert_eq!((primary.age(500 * S), primary.hops), (31 * S, 1));
    assert_eq!(advice::position(&newcomer, "s-7").unwrap().value, 99 * S);
    // By the same proxy, started again under its name, it is its own word, and not to be laundered: it is dropped.
    let mut same = Knowledge::new(1);
    k.list().for_each(|(uid, listed)| same.listed(uid, listed.clone()));
    same.hear(500 * S, &told);
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
        assert_eq!(snapshot::read(&torn, 1_000_000), Err(Unfit::Torn), "byte {at}");
    }
    assert_eq!(snapshot::read(b"{}", 0), Err(Unfit::Foreign));
    assert_eq!(snapshot::read(b"bknow-2\n........", 0), Err(Unfit::Foreign));
    assert_eq!(snapshot::read(&file, 999_999), Err(Unfit::Future));
    assert_eq!(snapshot::read(&file, 1_700_000), Err(Unfit::TooOld));
    assert_eq!(snapshot::read(&vec![0; snapshot::MOST + 1], 0), Err(Unfit::TooLong));
}

fn joiner(donors: &[&str]) -> Joiner {
    Joiner::new(Settings { donors: donors.iter().map(|d| d.to_string()).collect(), ..Settings::default() }, 0)
}

#[test]
fn a_start_waits_for_one_whole_answer_or_its_patience() {
    assert!(joiner(&[]).ready(), "with nobody to ask it starts as ever");
    let mut j = joiner(&["a", "b", "c", "d"]);
    let asked = j.step(0);
    assert!(asked.len() == 3 && !j.ready());
    assert!(j.step(MS).is_empty());
    j.ended(5 * MS, &asked[0], End::Whole(vec!["e".into()]));
    assert!(j.ready());
    let mut silent = joiner(&["a", "b"]);
    assert_eq!(silent.step(0).len(), 2);
    assert_eq!(silent.next_change(0), 300 * MS);
    silent.step(300 * MS);
    assert!(silent.ready());
    // Where all have failed, there is nothing to wait for.
    let mut dead = joiner(&["a", "b"]);
    for name in dead.step(0) {
        dead.ended(2 * MS, &name, End::Failed);
    }
    assert!(dead.ready());
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
            for name in j.step(now) {
                asks += 1;
                let end = match rng.u8(0..4) {
                    0 => Some(End::Whole((0..100).map(|n| format!("x{n}")).collect())),
                    1 => Some(End::Busy(rng.i64(0..S))),
                    2 => Some(End::Failed),
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
                j.ended(at, &name, end);
            }
        }
        assert!(j.ready());
        assert!((20..3_000).contains(&asks), "seed {seed}: {asks} asks in ten minutes");
    }
}

/// A hundred newcomers at one running proxy: few at once, within the bytes, and all of them in the end.
#[test]
fn a_hundred_newcomers_cost_a_donor_its_budget_and_no_more() {
    let settings = donor::Settings::default();
    let mut d = Donor::new(settings.clone(), 0);
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
            match d.asked(now) {
                Verdict::Serve => serving.push(size),
                Verdict::Busy(wait) => {
                    refused += 1;
                    still.push(now + wait);
                }
            }
        }
        waiting = still;
        most = most.max(serving.len());
        for left in &mut serving {
            let part = (*left).min(64 << 10);
            if d.may_send(now, part).is_ok() {
                *left -= part;
                sent += part as u64;
            }
        }
        let before = serving.len();
        serving.retain(|left| *left > 0);
        (serving.len()..before).for_each(|_| d.done(true));
        assert!(sent as f64 <= 65_536.0 + settings.bytes_per_s as f64 * now as f64 / 1e6 + 65_536.0);
        now += MS;
    }
    assert!(most <= settings.at_once && d.served == 100);
    assert!(refused < 3_000, "{refused} calls put off");
    // Under pressure it tells nothing at all.
    d.pressed(0.9);
    assert!(matches!(d.asked(now), Verdict::Busy(_)) && d.may_send(now, 1).is_err());
    d.pressed(0.2);
    assert_eq!(d.asked(now), Verdict::Serve);
}

/// All that one knows reaches the other, in pieces of any size, with nothing added.
#[test]
fn a_conversation_tells_all_in_parts() {
    use birchreach_peer_state::talk::{Asker, Heard, Teller};
    let mut donor = Knowledge::new(1);
    for n in 0..1000 {
        donor.listed(&format!("server-with-a-long-name-{n}"), Listed { boot_ms: 0, group: n / 5 });
        donor.saw_position(
            100 * S,
            &format!("server-with-a-long-name-{n}"),
            99 * S + i64::from(n),
            S,
            Source::Note,
        );
    }
    for piece in [1, 1000, 1 << 20] {
        let mut newcomer = Knowledge::new(2);
        donor.list().for_each(|(uid, listed)| newcomer.listed(uid, listed.clone()));
        let (mut a, mut t) = (Asker::new(keys(&[1]), [1; 16]), Teller::new(keys(&[1]), [2; 16]));
        let mut named = None;
        let mut parts = 0;
        for _ in 0..1_000_000 {
            let n = a.out.len().min(piece);
            t.feed(&a.out.drain(..n).collect::<Vec<_>>());
            if t.asked().unwrap() {
                t.tell(donor.tell(100 * S), &["127.0.0.1:1".into()]);
            }
            if t.out.is_empty() {
                parts += usize::from(t.part().is_some());
            }
            let n = t.out.len().min(piece);
            a.feed(&t.out.drain(..n).collect::<Vec<_>>());
            while let Some(heard) = a.heard().unwrap() {
                match heard {
                    Heard::Part(told) => newcomer.hear(99 * S, &told),
                    Heard::Whole(donors) => named = Some(donors),
                    Heard::Busy(_) => panic!("it was not put off"),
                }
            }
            if a.over() {
                break;
            }
        }
        assert_eq!(named, Some(vec!["127.0.0.1:1".to_string()]));
        assert_eq!((parts, newcomer.servers().count()), (9, 1000));
        assert_eq!(advice::position(&newcomer, "server-with-a-long-name-999").unwrap().value, 99 * S + 999);
    }
    // One that is put off hears for how long; one without the key hears nothing.
    let mut stranger = Asker::new(keys(&[3]), [1; 16]);
    let mut t = Teller::new(keys(&[1]), [2; 16]);
    t.feed(&stranger.out);
    assert_eq!(t.asked(), Err(Refused::UnknownKey));
    stranger.feed(&t.out);
    assert_eq!(stranger.heard(), Err(Refused::UnknownKey));
    let (mut a, mut t) = (Asker::new(keys(&[1]), [1; 16]), Teller::new(keys(&[1]), [2; 16]));
    t.feed(&std::mem::take(&mut a.out));
    assert_eq!(t.asked(), Ok(false));
    a.feed(&std::mem::take(&mut t.out));
    assert_eq!(a.heard(), Ok(None));
    t.feed(&std::mem::take(&mut a.out));
    assert_eq!(t.asked(), Ok(true));
    t.put_off(1500 * MS);
    a.feed(&std::mem::take(&mut t.out));
    assert_eq!(a.heard(), Ok(Some(Heard::Busy(1500 * MS))));
    assert!(a.over() && t.over());
}
