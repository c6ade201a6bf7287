//! Checks of the gateways after the last fault.

use std::io;
use std::time::{Duration, Instant};

use persimmon_standins::Relay;
use persimmon_standins::fleet::wait_until;

use super::{KEY, REVOCABLE_KEY, Testbed};
use crate::checks::{ADOPTION_LIMIT, Finding, RECOVERY_TIME};

/// Number of a gateway's last log lines that a finding includes.
const LOG_LINES: usize = 30;
/// Time within which gateways become idle after the last call.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

impl Testbed {
    /// Polls each running gateway until `condition` succeeds. Returns a finding for each gateway
    /// that still fails when the `limit` for all of them together has passed.
    fn poll_running_gateways(
        &self,
        promise: &'static str,
        limit: Duration,
        condition: impl Fn(usize) -> Result<(), String>,
    ) -> Vec<Finding> {
        let ends = Instant::now() + limit;
        let running = (0..self.deployment.len()).filter(|it| !self.restarting.contains(it));
        let check = |gateway| {
            let mut seen = Ok(());
            let is_met = wait_until(ends.saturating_duration_since(Instant::now()), || {
                seen = condition(gateway);
                seen.is_ok()
            });
            let seen = seen.err().filter(|_| !is_met)?;
            let seen = format!("gateway {gateway}: {seen}{}", self.log_tail(gateway));
            Some(Finding { promise, seen })
        };
        running.filter_map(check).collect()
    }

    /// Finds gateways that still count running requests after all callers have ended.
    fn check_idle(&self) -> Vec<Finding> {
        self.poll_running_gateways(
            "gateways become idle after the last call",
            IDLE_LIMIT,
            |gateway| {
                let status = self.deployment.status(gateway);
                let is_idle = status.as_ref().is_ok_and(|it| it.contains("\"running\":0,"));
                if is_idle { Ok(()) } else { Err(format!("{status:?}")) }
            },
        )
    }

    /// Finds gateways that don't adopt a change of the allowed keys after the last fault.
    fn check_keys(&mut self) -> Vec<Finding> {
        self.set_revocable_allowed(false);
        self.poll_running_gateways(
            "every gateway adopts changed keys",
            RECOVERY_TIME + ADOPTION_LIMIT,
            |gateway| {
                let statuses = [KEY, REVOCABLE_KEY].map(|key| self.probe(gateway, key));
                match statuses {
                    [Ok(200), Ok(401)] => Ok(()),
                    _ => Err(format!("{statuses:?}")),
                }
            },
        )
    }

    /// Returns the last lines of a gateway's log, each preceded by a line break.
    fn log_tail(&self, gateway: usize) -> String {
        let log = self.deployment.log(gateway);
        let end = &log[log.len().saturating_sub(LOG_LINES)..];
        end.iter().map(|line| format!("\n    {line}")).collect()
    }

    /// Returns the status of a request with this key to a gateway.
    fn probe(&self, gateway: usize, key: &str) -> io::Result<u16> {
        let caller = self.deployment.caller(gateway)?.request("POST", "/lookup/x", "probe");
        Ok(caller.with_key(key).call("body")?.status)
    }

    /// Runs the final checks, stops the running gateways and checks that each exits with code 0.
    pub(crate) fn close(mut self) -> Vec<Finding> {
        let mut findings = self.check_idle();
        findings.extend(self.check_keys());
        for gateway in 0..self.deployment.len() {
            // Fails if the process has already ended, which the check of its exit status reports.
            let _ = self.deployment.stop(gateway);
        }
        for gateway in 0..self.deployment.len() {
            match self.deployment.wait_ended(gateway) {
                Ok(status) if status.code() == Some(0) || self.restarting.contains(&gateway) => {}
                Ok(status) => findings.push(Finding {
                    promise: "a stopped gateway exits with code 0",
                    seen: format!("gateway {gateway}: {status}"),
                }),
                Err(err) => findings.push(Finding {
                    promise: "a stopped gateway exits",
                    seen: format!("gateway {gateway}: {err}"),
                }),
            }
        }
        self.relays.into_iter().for_each(Relay::close);
        self.deployment.close();
        findings
    }
}
