//! Reloads the configuration at SIGHUP. A reload applies the complete configuration or none of it.

use super::EventLoop;
use super::checks::OpenedListeners;
use super::connection_limits::{ConnectionLimits, max_uncounted_clients};
use super::error::ListenError;
use super::timer_events::TimerEvent;
use crate::config::{self, Config, ConfigError};
use crate::log::Quoted;
use crate::startup_retry::StartupError;
use crate::system_error::SystemErrorClass;
use birchreach::Micros;
use birchreach_settings::DeploymentSettings;
use std::fmt::{self, Display};
use std::io::ErrorKind;
use tracing::{info, warn};

/// The maximum number of warnings about one configuration that are logged. The command `check` prints all of them.
const MAX_LOGGED_WARNINGS: usize = 20;

/// The pause before a configuration that could not be read is read again.
const RELOAD_RETRY_MICROS: Micros = 50_000;
/// How often a configuration is read for one signal: for 5 s.
const MAX_RELOAD_TRIES: u32 = 100;

/// Logs the warnings about the settings, one line for each.
pub(super) fn log_settings_warnings(config: &Config) {
    for warning in config.warnings.iter().take(MAX_LOGGED_WARNINGS) {
        warn!(event = "settings-warning", about = %Quoted(warning));
    }
}

/// Returns the longest time that a client of any class may wait for a response.
pub(super) fn longest_client_timeout(settings: &DeploymentSettings) -> Micros {
    settings.routing.classes.iter().map(|class| class.client_timeout).max().unwrap_or(0)
}

/// Why a reload did not apply the configuration.
enum ReloadError {
    /// The configuration or the options are invalid, or they omit something that is in use.
    Configuration(ConfigError),
    /// A listener named in the options could not be opened.
    Listen(ListenError),
}

impl ReloadError {
    /// Returns whether the cause is an error of the system that passes by itself. An address that is in use does not: the
    /// operator has to change the options.
    fn passes(&self) -> bool {
        let error = match self {
            ReloadError::Configuration(error) => error.system_error(),
            ReloadError::Listen(ListenError { error, .. }) if error.kind() == ErrorKind::AddrInUse => None,
            ReloadError::Listen(error) => error.system_error(),
        };
        error.is_some_and(|error| SystemErrorClass::of(error).passes())
    }
}

impl Display for ReloadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReloadError::Configuration(error) => error.fmt(f),
            ReloadError::Listen(error) => error.fmt(f),
        }
    }
}

impl EventLoop {
    /// Reads the configuration again and applies it. The address of discovery, the settings and the limits change
    /// immediately. Everything else changes only with a restart. An invalid configuration changes nothing.
    pub(super) fn reload(&mut self) {
        self.reload_tries = 0;
        self.try_reload();
    }

    /// Reads the configuration again, also after a failure that passes by itself.
    pub(super) fn try_reload(&mut self) {
        self.reload_tries += 1;
        match self.load_replacement() {
            Ok((config, check_listeners)) => self.apply_configuration(config, check_listeners),
            Err(error) if self.reload_tries < MAX_RELOAD_TRIES && error.passes() => {
                warn!(event = "reload-retried", error = %Quoted(error));
                self.context.timers.set(self.context.now + RELOAD_RETRY_MICROS, TimerEvent::RetryReload);
            }
            Err(error) => {
                self.context.core.stats.configuration_load_errors += 1;
                warn!(event = "reload-failed", error = %Quoted(error));
            }
        }
    }

    /// Loads and validates the new configuration, and opens the listeners that it adds.
    fn load_replacement(&self) -> Result<(Config, OpenedListeners), ReloadError> {
        let config =
            config::load(config::environment, self.options.as_deref()).map_err(ReloadError::Configuration)?;
        self.config.validate_replacement(&config).map_err(ReloadError::Configuration)?;
        let check_listeners =
            self.checks.open(config.options.health.as_ref()).map_err(ReloadError::Listen)?;
        Ok((config, check_listeners))
    }

    /// Applies a valid configuration, except for the parts that need a restart.
    fn apply_configuration(&mut self, mut new: Config, check_listeners: OpenedListeners) {
        self.context.core.stats.configuration_loads += 1;
        let needs_restart = self.config.changes_needing_restart(&new).join(",");
        let classes = new.deployment.class_names.join(",");
        info!(event = "reloaded", discovery = %new.discovery_address, classes, "needs-restart" = needs_restart);
        log_settings_warnings(&new);
        self.keep_until_restart(&mut new);
        // Open requests keep the timeouts that applied when they arrived.
        self.longest_client_timeout =
            longest_client_timeout(&new.deployment).max(longest_client_timeout(&self.config.deployment));
        self.handover.set_longest_client_timeout(self.longest_client_timeout);
        self.apply_settings(&new);
        self.config = new;
        self.configure_health();
        self.checks.apply_options(&mut self.context, self.config.options.health.clone(), check_listeners);
        self.configure_background();
        self.execute_commands();
    }

    /// Copies the parts that change only with a restart from the current configuration to the new one.
    fn keep_until_restart(&self, new: &mut Config) {
        let old = &self.config;
        new.name.clone_from(&old.name);
        new.listen_address = old.listen_address;
        new.admin_address = old.admin_address;
        new.inherited_descriptor = old.inherited_descriptor;
        // The division of descriptors counts the links between proxies, which do not change before the restart.
        new.options.peer_state.clone_from(&old.options.peer_state);
        new.options.fleet.clone_from(&old.options.fleet);
        new.gossip_keys.clone_from(&old.gossip_keys);
        new.fleet_keys.clone_from(&old.fleet_keys);
    }

    /// Applies the settings and limits to the subsystems that use them.
    fn apply_settings(&mut self, new: &Config) {
        let limits = ConnectionLimits::new(new, &self.handover);
        self.context.core.apply_settings(self.context.now, &new.deployment);
        let process_count = self.handover.process_count() as usize;
        self.context.memory.configure(new.memory_limit, process_count, limits.counts());
        self.discovery.set_memory_limit(new.memory_limit / process_count);
        self.pool.apply_settings(&new.deployment);
        self.pool.set_limit(&mut self.context, limits.databases);
        self.clients.set_max_uncounted_clients(max_uncounted_clients(new));
        self.clients.set_limit(&mut self.context, limits.clients);
        self.discovery.update_settings(&new.deployment.routing);
        self.discovery.set_address(&mut self.context, new.discovery_address);
    }
}
