//! The platform's list of VMs.

use persimmon_standins::Platform;
use persimmon_standins::fleet::{Daemons, FleetError};

/// Sets the platform's list of VMs to those of all daemons.
pub(crate) fn list_vms(daemons: &Daemons, platform: &Platform) -> Result<(), FleetError> {
    platform.set_vms(daemons.vms(|_| false)?);
    Ok(())
}
