//! Tests of the watch and its backoff, without sockets and with simulated time.

mod deadlines;
mod large_lists;
mod mass_restart;
mod responses;

use super::backoff::Backoff;
use birchreach::{EndpointDiscovery, Micros, Settings};

/// The settings of the exchange tests, with this kind of discovery, number of proxies and drain grace.
fn settings(discovery: EndpointDiscovery, proxy_count: u32, drain_grace: Micros) -> Settings {
    let config: serde_json::Value =
        serde_json::from_str(include_str!("../../../tests/exchanges/config.json")).unwrap();
    let deployment = birchreach_settings::from_value(&config["settings"]).unwrap();
    Settings { endpoint_discovery: discovery, proxy_count, drain_grace, ..deployment.routing }
}

/// The number of proxies in the largest supported fleet.
const LARGEST_FLEET_SIZE: u32 = 900;

/// The backoff of one of `proxy_count` proxies that poll the same discovery service.
fn polling_backoff(proxy_count: u32, seed: u64) -> Backoff {
    Backoff::new(&settings(EndpointDiscovery::Polled, proxy_count, 2_000_000), seed)
}
