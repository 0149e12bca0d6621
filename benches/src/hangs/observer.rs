//! Observes whether writes to a group are available.

use birchreach_test_support::balancer::{Balancer, Check, CheckPolicy, ServerAddresses, run_check};
use birchreach_test_support::process::{MAX_WAIT, Process};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_RECOVERY_TIME: Duration = MAX_WAIT.saturating_mul(3);
/// One successful check puts a server in service; two failed checks in a row take it out.
const BALANCER_POLICY: CheckPolicy =
    CheckPolicy { interval: Duration::from_millis(500), timeout: MAX_WAIT, rise: 1, fall: 2 };

/// Observes the availability of a group's writes by HTTP checks, and by a balancer that uses agent checks.
pub(super) struct GroupObserver {
    group: usize,
    http: SocketAddr,
    /// A balancer whose only server is the proxy. Agent checks for writes to the group decide the server's state.
    pub balancer: Balancer,
}

impl GroupObserver {
    /// Starts the balancer. Fails if the proxy lacks a client address or a check listener.
    pub(super) fn start(proxy: &Process, group: usize) -> Result<GroupObserver, String> {
        let clients = proxy.client_address().ok_or("proxy has no client address")?;
        let http = proxy.check_address("http").ok_or("proxy has no HTTP check address")?;
        let agent = proxy.check_address("agent").ok_or("proxy has no agent check address")?;
        let check = Check::Agent(format!("group={group} write"));
        let balancer =
            Balancer::start(&[ServerAddresses { check: agent, client: clients }], &check, &BALANCER_POLICY);
        Ok(GroupObserver { group, http, balancer })
    }

    fn is_available(&self) -> bool {
        let check = Check::Http(format!("/group/{}/write", self.group));
        run_check(self.http, &check, MAX_WAIT).is_ok_and(|response| response.up)
    }

    /// Waits until both the HTTP check and the balancer report the writes as available.
    pub(super) fn wait_until_available(&self) -> Result<(), String> {
        let start = Instant::now();
        while !self.is_available() || !self.balancer.wait_for_state(0, true, Duration::ZERO) {
            if start.elapsed() > MAX_RECOVERY_TIME {
                return Err(format!(
                    "group {}: writes not available again within {} s",
                    self.group,
                    MAX_RECOVERY_TIME.as_secs()
                ));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Waits until the HTTP check reports a hang that began at `start`.
    pub(super) fn wait_until_reported(&self, start: Instant) -> Result<(), String> {
        while self.is_available() {
            if start.elapsed() > MAX_WAIT {
                return Err(format!(
                    "group {}: hang not reported within {} s",
                    self.group,
                    MAX_WAIT.as_secs()
                ));
            }
            thread::sleep(HANG_POLL_INTERVAL);
        }
        Ok(())
    }
}
