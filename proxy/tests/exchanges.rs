//! Plays the recorded exchanges in `tests/exchanges/*.txt` against the built program. The player acts as the clients, the databases and
//! the discovery agent. `exchanges/README` describes the format of the files.

mod player;

use player::Player;

/// The name of the file with the steps that precede each exchange.
const COMMON_STEPS: &str = "common";

/// Plays an exchange. Panics at the first step that fails.
fn play(exchange: &str) {
    let script = read_script(exchange);
    let mut player = Player::start(exchange, &script);
    play_steps(&mut player, COMMON_STEPS, &read_script(COMMON_STEPS));
    play_steps(&mut player, exchange, &script);
}

fn read_script(name: &str) -> String {
    let path = format!("{}/tests/exchanges/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap()
}

/// Plays each line that is neither empty nor a comment, and prints it beforehand.
fn play_steps(player: &mut Player, name: &str, script: &str) {
    for (line, number) in script.lines().zip(1..) {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        println!("{name}.txt:{number}: {line}");
        player.execute_step(line);
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
    operator upgrade upgrade_silent stream retune
    agent_reset agent_stalls leaver pipelined_wait keyed stopping_pipelined moved_opening left_while_opening
    left_while_held left_halfway cancel_key descriptors_discovery idle_crossing unfinished_crossing shed_crossing leave_crossing
    agent_unreachable pool_full further_attempt_time indented half_line moved_drain keyed_window keyed_window_passed shed_order
}
