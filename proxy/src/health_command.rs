//! The `health` command: asks a running proxy over its HTTP health address and prints what it says, for people or as it
//! came. It owns the printing; what is so is the answer's.

use crate::cli::Health;
use birchreach_options::Options;
use serde_json::Value;
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

/// What the answer comes to, as an exit code.
pub const ABLE: i32 = 0;
pub const UNABLE: i32 = 1;
pub const UNREACHED: i32 = 2;
/// More than any proxy says.
const MOST_BYTES: u64 = 16 << 20;

/// The exit code, and what to print.
pub fn ask(health: &Health, options: Option<&Options>) -> (i32, String) {
    match call(health, options) {
        Err(why) => (UNREACHED, format!("not reached: {why}\n")),
        Ok((status, body)) => {
            let code = match status {
                200 => ABLE,
                503 => UNABLE,
                _ => return (UNREACHED, format!("no such thing there: {status} {body}")),
            };
            if health.json {
                return (code, body);
            }
            let told = serde_json::from_str(&body).map_err(|e| format!("not reached: no JSON came: {e}\n"));
            match told {
                Ok(told) => (code, text(&told)),
                Err(why) => (UNREACHED, why),
            }
        }
    }
}

fn call(health: &Health, options: Option<&Options>) -> Result<(u16, String), String> {
    let listed = || options?.health.as_ref()?.http.as_ref().map(|http| reachable(http.listener.address));
    let at = health.at.or_else(listed).ok_or("no address: give --at, or --options with an http element")?;
    let path = match (&health.class, health.group) {
        (None, None) => "/health".to_string(),
        (Some(class), None) => format!("/class/{}", escaped(class)),
        (None, Some(group)) => format!("/group/{group}"),
        (Some(class), Some(group)) => format!("/class/{}/group/{group}", escaped(class)),
    };
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_millis(health.timeout)))
        .proxy(None)
        .max_redirects(0)
        .build()
        .new_agent();
    let mut response = agent.get(format!("http://{at}{path}")).call().map_err(|e| format!("{at}: {e}"))?;
    let body = response.body_mut().with_config().limit(MOST_BYTES).read_to_string();
    Ok((response.status().as_u16(), body.map_err(|e| format!("{at}: {e}"))?))
}

fn escaped(name: &str) -> String {
    percent_encoding::utf8_percent_encode(name, percent_encoding::NON_ALPHANUMERIC).to_string()
}

/// Who listens on every address is called on this machine's own.
fn reachable(at: SocketAddr) -> SocketAddr {
    let own = match at.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    SocketAddr::new(own, at.port())
}

/// The answer for people.
fn text(told: &Value) -> String {
    let mut out = String::new();
    let word = |v: &Value, key: &str| match &v[key] {
        Value::String(word) => word.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    };
    let span = |v: &Value| v.as_f64().map_or("-".into(), |ms| format!("{:.1} s", ms / 1000.0));
    let able = |v: &Value| match (v["able"] == true, v["partial"] == true) {
        (true, false) => "yes",
        (true, true) => "in part",
        (false, _) => "no",
    };
    let state = told.get("state").map_or(String::new(), |_| format!("{}: ", word(told, "state")));
    let (weight, reason) = (word(told, "weight"), word(told, "reason"));
    let since = span(&told["since_ms"]);
    let _ = writeln!(out, "{state}able {}, weight {weight}%, {reason}, for {since}", able(told));
    if told.get("state").is_some() {
        let heard = span(&told["discovery_ms"]);
        let _ = writeln!(
            out,
            "pressure {}, {} in progress ({} held), places for {} clients, discovery heard {heard} ago",
            word(told, "pressure"),
            word(told, "in_progress"),
            word(told, "held"),
            word(told, "room"),
        );
    }
    for class in told["classes"].as_array().into_iter().flatten() {
        let (name, weight, reason) = (word(class, "class"), word(class, "weight"), word(class, "reason"));
        let able = able(class);
        let _ = writeln!(
            out,
            "class {name:<20} {able:<8} {weight:>3}%  {reason:<18} {}",
            span(&class["since_ms"])
        );
    }
    for group in told["groups"].as_array().into_iter().flatten() {
        for kind in ["read", "write"] {
            let c = &group[kind];
            let (number, weight, reason) = (word(group, "group"), word(c, "weight"), word(c, "reason"));
            let able = able(c);
            let _ = write!(out, "group {number:<5} {kind:<14} {able:<8} {weight:>3}%  {reason:<18} ");
            let _ = write!(out, "{:<10}", span(&c["since_ms"]));
            if kind == "write" {
                let (primary, proven) = (word(group, "primary"), span(&group["proven_ms"]));
                let _ = write!(out, " primary {primary}, proven {proven} ago");
            } else {
                let _ = write!(out, " {} members", word(group, "members"));
            }
            out.push('\n');
        }
    }
    out
}
