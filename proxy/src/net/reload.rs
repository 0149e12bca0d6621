//! The configuration, read again at SIGHUP: taken whole or not at all.

use super::EventLoop;
use super::connection_limits::{guests, longest_deadline, places, reserve};
use crate::config::{self, Config};
use crate::log::Quoted;
use tracing::{info, warn};

/// Doubts about one configuration that the log is told of; `check` prints all.
const DOUBTS_TOLD: usize = 20;

/// What the settings are likely not to mean, a line each.
pub(super) fn log_settings_warnings(config: &Config) {
    for doubt in config.doubts.iter().take(DOUBTS_TOLD) {
        warn!(event = "settings-warning", about = %Quoted(doubt));
    }
}

impl EventLoop {
    /// Reads the configuration again, whole; of one that is bad nothing is taken. Discovery's address,
    /// settings and limits change at once, in all places; the rest with a restart.
    pub(super) fn reload(&mut self) {
        let mut new = match config::load(config::environment, self.options.as_deref())
            .and_then(|new| self.config.succeeds(new))
        {
            Ok(new) => new,
            Err(message) => {
                self.context.core.stats.configuration_load_errors += 1;
                return warn!(event = "reload-failed", error = %Quoted(message));
            }
        };
        let opened = match self.checks.open(new.options.health.as_ref()) {
            Ok(opened) => opened,
            Err(message) => {
                self.context.core.stats.configuration_load_errors += 1;
                return warn!(event = "reload-failed", error = %Quoted(message));
            }
        };
        self.context.core.stats.configuration_loads += 1;
        let rest = self.config.differs(&new).join(",");
        // Links among proxies wait for a restart, and count as they are until then.
        (new.options.knowledge, new.keys) = (self.config.options.knowledge.clone(), self.config.keys.clone());
        (new.options.fleet, new.fleet_keys) =
            (self.config.options.fleet.clone(), self.config.fleet_keys.clone());
        let classes = new.site.class_names.join(",");
        info!(event = "reloaded", discovery = %new.discovery, classes, "needs-restart" = rest);
        log_settings_warnings(&new);
        // Requests that are open keep the deadlines that they came with.
        self.longest_deadline = longest_deadline(&new.site).max(longest_deadline(&self.config.site));
        let reserve = reserve(&new);
        let (for_clients, for_databases) = places(new.sockets, reserve, &self.handover);
        self.context.core.settings(self.context.now, &new.site);
        self.pool.apply_settings(&new.site);
        self.pool.set_limit(&mut self.context, for_databases);
        self.clients.set_unclassified_allowance(guests(&new));
        self.clients.set_limit(&mut self.context, for_clients);
        self.discovery.update_settings(&new.site.routing);
        self.discovery.set_address(&mut self.context, new.discovery);
        let Config { name, listen, operator, inherited, .. } = &self.config;
        let (name, listen, operator, inherited) = (name.clone(), *listen, *operator, *inherited);
        self.config = Config { name, listen, operator, inherited, ..new };
        self.watch();
        let health = self.config.options.health.clone();
        self.checks.take(&mut self.context, health, opened);
        self.start_background();
        self.carry_out();
    }
}
