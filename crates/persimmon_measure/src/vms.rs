//! The platform's list of VMs.

use persimmon_standins::fleet::{Daemons, FleetError};
use persimmon_standins::{Platform, Vm, VmState};

/// Lists the VM of every daemon as live.
pub(crate) fn list_vms(daemons: &Daemons, platform: &Platform) -> Result<(), FleetError> {
    let names = daemons.names();
    let vms = names.iter().map(|name| vm(daemons, name)).collect::<Result<_, _>>()?;
    platform.set_vms(vms);
    Ok(())
}

fn vm(daemons: &Daemons, name: &str) -> Result<Vm, FleetError> {
    let (role, zone) = daemons.place(name)?;
    let (zone, peer) = (zone.to_owned(), daemons.peer(name)?);
    Ok(Vm { name: name.to_owned(), role, peer, zone, state: VmState::Live })
}
