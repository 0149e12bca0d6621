//! An observer of whether writes of a group are available.

use birchreach_test_support::balancer::{Balancer, Check, CheckPolicy, ServerAddresses, run_check};
use birchreach_test_support::process::{MAX_WAIT, Process};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_RECOVERY_TIME: Duration = MAX_WAIT.saturating_mul(3);
/// How often the balancer checks, and how many checks in a row change its mind.
const BALANCER_POLICY: CheckPolicy =
    CheckPolicy { interval: Duration::from_millis(500), timeout: MAX_WAIT, rise: 1, fall: 2 };

/// Reads whether writes of a group are available, by HTTP and as a balancer.
pub(super) struct GroupObserver {
    group: usize,
    http: SocketAddr,
    /// A balancer that acts by agent checks.
    pub balancer: Balancer,
}

impl GroupObserver {
    /// Starts the balancer.
    pub(super) fn start(proxy: &Process, group: usize) -> Result<GroupObserver, String> {
        let clients = proxy.client_address().ok_or("it does not serve")?;
        let http = proxy.check_address("http").ok_or("no checks")?;
        let agent = proxy.check_address("agent").ok_or("no checks")?;
        let check = Check::Agent(format!("group={group} write"));
        let balancer =
            Balancer::start(&[ServerAddresses { check: agent, client: clients }], &check, &BALANCER_POLICY);
        Ok(GroupObserver { group, http, balancer })
    }

    fn is_available(&self) -> bool {
        let check = Check::Http(format!("/group/{}/write", self.group));
        run_check(self.http, &check, MAX_WAIT).is_ok_and(|response| response.up)
    }

    /// Waits until the response to checks and the balancer's state are both up.
    pub(super) fn wait_until_available(&self) -> Result<(), String> {
        let start = Instant::now();
        while !self.is_available() || !self.balancer.wait_for_state(0, true, Duration::ZERO) {
            if start.elapsed() > MAX_RECOVERY_TIME {
                return Err(format!("group {} does not come back", self.group));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Waits until the response to checks reports a hang that began at `start`.
    pub(super) fn wait_until_reported(&self, start: Instant) -> Result<(), String> {
        while self.is_available() {
            if start.elapsed() > MAX_WAIT {
                return Err(format!("group {}: a hang was never told", self.group));
            }
            thread::sleep(HANG_POLL_INTERVAL);
        }
        Ok(())
    }
}
