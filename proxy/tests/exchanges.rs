//! Plays the recorded exchanges of `tests/exchanges/*.txt` against the built program: the player is
//! its clients, its databases and its discovery. How the files read: `exchanges/README`.

mod player;

use player::Player;

fn play(name: &str) {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/exchanges");
    let read = |file| std::fs::read_to_string(format!("{root}/{file}.txt")).unwrap();
    let mut player = Player::start(name, &read(name));
    for file in ["common", name] {
        for (number, line) in
            read(file).lines().enumerate().filter(|(_, l)| !l.is_empty() && !l.starts_with('#'))
        {
            println!("{file}.txt:{}: {line}", number + 1);
            player.step(line);
        }
    }
}

macro_rules! exchanges {
    ($($name:ident)*) => { $(#[test] fn $name() { play(stringify!($name)); })* };
}

exchanges! {
    read write split pipelined encryption extended forms miss reset refused full cancel
    drain moved probe shed descriptors
    flood hang idle gone silent_probe large stopping agent late_answer malformed reload
    spoilt surplus unreadable_report future_report answers_report spoilt_usage rude unfinished
    operator upgrade stream retune
    agent_reset agent_stalls leaver pipelined_wait keyed stopping_pipelined moved_opening left_while_opening
    left_while_held left_halfway cancel_key descriptors_discovery idle_crossing unfinished_crossing shed_crossing leave_crossing
    agent_unreachable pool_full further_attempt_time indented half_line moved_drain keyed_window shed_order
}
