//! The platform's list of VMs.

use persimmon_records::VmState;
use persimmon_standins::Platform;
use persimmon_standins::fleet::{Daemons, FleetError};

/// Lists the VM of every daemon as live.
pub(crate) fn list_vms(daemons: &Daemons, platform: &Platform) -> Result<(), FleetError> {
    let names = daemons.names();
    let vms = names.iter().map(|name| daemons.vm(name, VmState::Live)).collect::<Result<_, _>>()?;
    platform.set_vms(vms);
    Ok(())
}
