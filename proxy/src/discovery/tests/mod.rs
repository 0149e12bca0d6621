//! What the machines of the watch do, on times made by hand.

mod answers;
mod fleet;
mod told;

use super::backoff::Backoff;
use birchreach::{ListMode, Micros, Settings};

/// Settings of a deployment whose lists arrive so, for so many proxies.
fn settings(list: ListMode, routers: u32, drain_grace: Micros) -> Settings {
    let config: serde_json::Value =
        serde_json::from_str(include_str!("../../../tests/exchanges/config.json")).unwrap();
    let site = birchreach_settings::from_value(&config["settings"]).unwrap();
    Settings { list, routers, drain_grace, ..site.module }
}

fn asked(routers: u32, seed: u64) -> Backoff {
    Backoff::new(&settings(ListMode::Asked, routers, 2_000_000), seed)
}
