//! `endpoints`: shows to which endpoints each gateway sends requests, and why it doesn't use the
//! others.

use crate::args::Args;
use crate::command::{Command, CommandError};
use crate::fleet::{EndpointStatus, Fleet};
use crate::report::{Exit, Report};
use crate::status::{JSON, PROCESS, Poll, TIMEOUT, unreachable_lines};
use crate::table::Table;

/// Value of an endpoint's `usage` in a gateway's status if the gateway sends requests to it.
const IN_USE: &str = "in";

/// The `endpoints` command.
pub(crate) const COMMAND: Command = Command {
    name: "endpoints",
    operands: &[],
    summary: "shows to which endpoints each gateway sends requests, and why it doesn't use others",
    flags: &[PROCESS, TIMEOUT, JSON],
    run,
};

fn run(mut args: Args) -> Result<Report, CommandError> {
    let poll = Poll::from_args(&mut args);
    Ok(report(&args.finish(poll)?))
}

fn report(poll: &Poll) -> Report {
    let fleet = poll.fetch();
    let rows = || {
        let of_each = fleet.processes().map(|process| (&*process.name, &process.endpoints));
        of_each.flat_map(|(name, endpoints)| endpoints.iter().map(move |it| (name, it)))
    };
    let exit = if fleet.unreachable().next().is_some() {
        Exit::Unreachable
    } else if rows().any(|(_, endpoint)| endpoint.usage != IN_USE) {
        Exit::Findings
    } else {
        Exit::Ok
    };
    let text = if poll.wants_json() {
        rows().map(|(name, endpoint)| json(name, endpoint)).collect()
    } else {
        table(rows(), &fleet)
    };
    Report { exit, ..Report::ok(text) }
}

fn json(gateway: &str, endpoint: &EndpointStatus) -> String {
    let line = serde_json::json!({"gateway": gateway, "endpoint": endpoint});
    format!("{line}\n")
}

fn table<'a>(rows: impl Iterator<Item = (&'a str, &'a EndpointStatus)>, fleet: &Fleet) -> String {
    let mut table = Table::new(&[
        "GATEWAY",
        "ENDPOINT",
        "SERVICE",
        "ZONE",
        "USAGE",
        "REQUESTS",
        "OWN",
        "FAILING",
        "SILENT-MS",
    ]);
    for (gateway, endpoint) in rows {
        table.push(vec![
            gateway.to_owned(),
            endpoint.id.clone(),
            endpoint.service.clone(),
            endpoint.zone.clone(),
            endpoint.usage.clone(),
            endpoint.requests.to_string(),
            endpoint.own_requests.to_string(),
            format!("{:.2}", endpoint.failure_rate),
            endpoint.silent_ms.to_string(),
        ]);
    }
    table.to_text() + &unreachable_lines(fleet)
}
