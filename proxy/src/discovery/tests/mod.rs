//! What the machines of the watch do, on times made by hand.

mod answers;
mod fleet;
mod told;

use super::backoff::Backoff;
use birchreach::{EndpointDiscovery, Micros, Settings};

/// Settings of a deployment whose lists arrive so, for so many proxies.
fn settings(list: EndpointDiscovery, routers: u32, drain_grace: Micros) -> Settings {
    let config: serde_json::Value =
        serde_json::from_str(include_str!("../../../tests/exchanges/config.json")).unwrap();
    let site = birchreach_settings::from_value(&config["settings"]).unwrap();
    Settings { endpoint_discovery: list, proxy_count: routers, drain_grace, ..site.routing }
}

fn asked(routers: u32, seed: u64) -> Backoff {
    Backoff::new(&settings(EndpointDiscovery::Polled, routers, 2_000_000), seed)
}
