//! What must hold, as scenes that say what went wrong: the tests want them to pass, and each mutant must make one fail.

use super::{Net, SECOND, at};
use birchreach_membership::{Membership, MembershipChange, Micros, ViewState};

macro_rules! hold {
    ($what:expr) => { hold!($what, "{}", stringify!($what)) };
    ($what:expr, $($say:tt)+) => {
        let holds: bool = $what;
        if !holds {
            return Err(format!($($say)+));
        }
    };
}

macro_rules! same {
    ($a:expr, $b:expr $(,)?) => { same!($a, $b, "{}", stringify!($a)) };
    ($a:expr, $b:expr, $($say:tt)+) => {
        let (a, b) = (&$a, &$b);
        if a != b {
            return Err(format!("{}: {a:?}, not {b:?}", format!($($say)+)));
        }
    };
}

fn removals(net: &Net, well: impl Fn(usize) -> bool) -> usize {
    let gone = |c: &&(Micros, MembershipChange)| matches!(&c.1, MembershipChange::Removed(p) if (0..net.all.len()).any(|n| at(n) == p.address && well(n)));
    net.all.iter().flat_map(|p| p.changes.iter().filter(gone)).count()
}

pub fn the_view_settles_again() -> Result<(), String> {
    for (count, seed) in [(10, 1), (10, 2), (40, 3), (40, 4)] {
        let mut net = Net::started(count, seed);
        net.until_agreed(count, 20 * SECOND).ok_or_else(|| format!("join of {count}, seed {seed}"))?;
        // The seeds are gone, and seven in ten with them.
        let killed = count * 7 / 10;
        (0..killed).for_each(|n| net.kill(n));
        net.until_agreed(count - killed, 20 * SECOND)
            .ok_or_else(|| format!("crash of {killed}, seed {seed}"))?;
        (0..killed).for_each(|n| net.start(n, 0));
        net.until_agreed(count, 20 * SECOND).ok_or_else(|| format!("return of {killed}, seed {seed}"))?;
        // A cut into halves, long enough for each to give the other up.
        let half = count / 2;
        net.cut = Box::new(move |a, b| (a < half) != (b < half));
        net.pass(60 * SECOND);
        net.cut = Box::new(|_, _| false);
        net.until_agreed(count, 20 * SECOND).ok_or_else(|| format!("heal of {count}, seed {seed}"))?;
        // One is heard and does not hear.
        net.cut = Box::new(move |_, b| b == count - 1);
        net.pass(20 * SECOND);
        let deaf = net.all[count - 1].fleet.as_ref().map(|f| f.view().state);
        hold!(matches!(deaf, Some(ViewState::Blind { .. })), "{deaf:?}");
        net.cut = Box::new(|_, _| false);
        net.until_agreed(count, 20 * SECOND).ok_or_else(|| format!("one-way cut, {count}, seed {seed}"))?;
        // One is stopped for 20 s and goes on.
        net.stop(count - 1, true);
        net.pass(20 * SECOND);
        net.stop(count - 1, false);
        net.until_agreed(count, 20 * SECOND).ok_or_else(|| format!("stop of one of {count}, seed {seed}"))?;
        // One leaves politely: that is told, not found out.
        net.all[0].fleet.as_mut().unwrap().leave(net.now);
        net.pass(SECOND);
        let left = net.live().skip(1).all(|f| f.members().all(|m| m.address != at(0)));
        hold!(left, "a goodbye is not heard by all at once, {count}, seed {seed}");
        net.all[0].fleet.as_mut().unwrap().rejoin(net.now);
        net.until_agreed(count, 20 * SECOND).ok_or_else(|| format!("back, {count}, seed {seed}"))?;
        net.all[0].fleet.as_mut().unwrap().leave(net.now);
        net.pass(SECOND / 10);
        net.kill(0);
        net.until_agreed(count - 1, 10 * SECOND).ok_or_else(|| format!("leave, {count}, seed {seed}"))?;
    }
    Ok(())
}

pub fn no_live_member_is_removed() -> Result<(), String> {
    for (loss, seed) in [(0.0, 1), (0.05, 2), (0.05, 3)] {
        let mut net = Net::started(40, seed);
        net.loss = loss;
        net.pass(120 * SECOND);
        same!(removals(&net, |_| true), 0, "at {loss}, seed {seed}");
        net.kill(7);
        net.pass(10 * SECOND);
        same!(removals(&net, |n| n != 7), 0, "at {loss}, seed {seed}");
        let noticed = net.live().filter(|f| f.members().all(|m| m.address != at(7))).count();
        same!(noticed, 39, "at {loss}, seed {seed}");
    }
    Ok(())
}

pub fn quotas_of_partitions_never_exceed_the_whole() -> Result<(), String> {
    let mut net = Net::started(20, 5);
    net.until_agreed(20, 20 * SECOND).ok_or("they do not agree")?;
    net.cut = Box::new(|a, b| (a < 7) != (b < 7));
    for _ in 0..200 {
        net.pass(SECOND / 5);
        let sum: f64 = net.live().map(|f| 1.0 / f64::from(f.view().divisor())).sum();
        hold!(sum <= 1.0 + 1e-9, "{sum} at {}", net.now);
    }
    hold!(net.live().all(|f| f.view().members < 20), "each half sees itself alone");
    // More than the options name: what is seen counts.
    net.cut = Box::new(|_, _| false);
    (20..25).for_each(|n| net.start(n, 0));
    net.until_agreed(25, 20 * SECOND).ok_or("they do not agree")?;
    hold!(net.live().all(|f| f.view().divisor() == 25));
    Ok(())
}

pub fn a_restart_replaces_the_former_incarnation() -> Result<(), String> {
    for back in [0, -3_600 * SECOND] {
        let mut net = Net::started(10, 6);
        net.until_agreed(10, 20 * SECOND).ok_or("they do not agree")?;
        let before = net.all[4].fleet.as_ref().unwrap().own().incarnation;
        // At once, before anybody has missed it, and perhaps with a clock that went back.
        net.kill(4);
        net.start(4, back);
        net.until_agreed(10, 30 * SECOND).ok_or_else(|| format!("clock back by {back}"))?;
        let now = net.all[4].fleet.as_ref().unwrap().own().incarnation;
        let boots = |f: &Membership| f.members().find(|m| m.address == at(4)).map(|m| m.incarnation);
        hold!(net.live().all(|f| boots(f).is_none_or(|boot| boot == now)) && before != now);
    }
    Ok(())
}

pub fn a_partitioned_member_reports_itself_blind() -> Result<(), String> {
    let mut net = Net::new(3, 7);
    net.start(0, 0);
    net.pass(4 * SECOND);
    let state = |net: &Net| net.all[0].fleet.as_ref().map(|f| f.view().state);
    same!(state(&net), Some(ViewState::Blind { since: 0 }));
    (1..3).for_each(|n| net.start(n, 0));
    net.until_agreed(3, 10 * SECOND).ok_or("they do not agree")?;
    net.cut = Box::new(|a, b| (a == 0) != (b == 0));
    let cut = net.now;
    net.pass(4 * SECOND);
    hold!(
        matches!(state(&net), Some(ViewState::Blind { since }) if since >= cut - SECOND && since <= cut + SECOND)
    );
    let mut alone = Net::started(1, 8);
    alone.pass(10 * SECOND);
    same!(state(&alone), Some(ViewState::Alone));
    Ok(())
}

pub fn name_conflicts_are_reported() -> Result<(), String> {
    let mut net = Net::started(4, 9);
    net.start_named(4, "p2", 0);
    net.pass(10 * SECOND);
    hold!(net.live().all(|f| f.view().name_conflicts == ["p2"]), "by all, the twins too");
    net.kill(4);
    net.pass(10 * SECOND);
    hold!(net.live().all(|f| f.view().name_conflicts.is_empty()));
    let told = |c: &(Micros, MembershipChange)| matches!(&c.1, MembershipChange::NameConflict(name) | MembershipChange::NameConflictResolved(name) if name == "p2");
    hold!(net.all[..4].iter().all(|p| p.changes.iter().filter(|c| told(c)).count() == 2));
    Ok(())
}

/// A peer that has the key and makes up members by the thousand.
pub fn what_is_received_is_bounded() -> Result<(), String> {
    use birchreach_membership::{MAX_MEMBERS, Peer};
    use foca::{Codec, Header, Member, Message, PostcardCodec};
    let mut net = Net::started(2, 10);
    net.until_agreed(2, 10 * SECOND).ok_or("they do not agree")?;
    let peer = |n: u32| Peer {
        name: format!("liar{n}"),
        address: std::net::SocketAddr::from(([11, (n >> 16) as u8, (n >> 8) as u8, n as u8], 1)),
        incarnation: u64::from(n) + 1_000,
        epoch: 1,
        renewals: 0,
    };
    for round in 0..400 {
        let dst = net.all[0].fleet.as_ref().ok_or("dead")?.own().clone();
        let header = Header { src: peer(0), src_incarnation: 0, dst, message: Message::Gossip };
        let mut data = vec![0; 8];
        PostcardCodec.encode_header(&header, &mut data).map_err(|e| e.to_string())?;
        data.extend(20u16.to_be_bytes());
        for n in 0..20 {
            let member = Member::alive(peer(round * 20 + n + 1));
            PostcardCodec.encode_member(&member, &mut data).map_err(|e| e.to_string())?;
        }
        net.hand(0, 1_000, data);
    }
    let fleet = net.all[0].fleet.as_ref().ok_or("dead")?;
    let (members, names) = (fleet.members().count(), fleet.known_address_count());
    hold!(members > 100, "the scene tells nothing: {members}");
    hold!(members <= MAX_MEMBERS && names <= MAX_MEMBERS + 2, "{members} members, {names} names");
    Ok(())
}

/// One that joins a fleet that is settled knows all of it, and all of it knows the newcomer, without a round of gossip for each.
pub fn a_join_is_known_to_all_at_once() -> Result<(), String> {
    let mut net = Net::started(120, 11);
    net.until_agreed(120, 20 * SECOND).ok_or("they do not agree")?;
    net.kill(7);
    net.pass(20 * SECOND);
    net.start(7, 0);
    net.pass(SECOND / 4);
    let known = net.all[7].fleet.as_ref().ok_or("dead")?.members().count();
    hold!(known == 119, "it knows {known} of 119 a quarter of a second after its start");
    Ok(())
}
