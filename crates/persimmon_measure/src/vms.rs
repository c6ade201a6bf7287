//! The platform's list of VMs.

use persimmon_standins::Platform;
use persimmon_standins::fleet::{Daemons, FleetError};

/// Lists the VM of every daemon as live.
pub(crate) fn list_vms(daemons: &Daemons, platform: &Platform) -> Result<(), FleetError> {
    platform.set_vms(daemons.vms(|_| false)?);
    Ok(())
}
