//! Fetches records and VM lists from peers.

use std::net::SocketAddr;
use std::time::Duration;

use flume::{Receiver, Sender};
use persimmon_decide::membership::VmList;
use persimmon_records::{ChangeSet, RecordIndex, RecordSet};
use persimmon_wire::{FleetKey, RecordsUpdate, dial, write_set_version};
use tokio::time::timeout;

use super::command::{FleetCommand, FleetInput, PeerRecords};
use super::platform_reader::offered_by_peer;
use super::tasks::Task;
use crate::common::{Clock, Metrics};

/// Timeout of a fetch, including the transfer of a complete record set.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Executes tasks concurrently, each on its own connection.
pub(crate) async fn run_peer_reader(
    tasks: Receiver<Task>,
    key: FleetKey,
    clock: Clock,
    metrics: Metrics,
    fleet: Sender<FleetCommand>,
) {
    while let Ok(task) = tasks.recv_async().await {
        let (key, fleet, metrics) = (key.clone(), fleet.clone(), metrics.clone());
        tokio::task::spawn_local(async move {
            if let Some(result) = execute(task, &key, clock, &metrics).await {
                // A closed channel means that the process has ended.
                let _ended = fleet.send(FleetCommand::Input(result));
            }
        });
    }
}

async fn execute(
    task: Task,
    key: &FleetKey,
    clock: Clock,
    metrics: &Metrics,
) -> Option<FleetInput> {
    match task {
        Task::FetchPeerRecords { peer, address, have } => {
            let requested_at = clock.now();
            let fetch = fetch_records(address, key, have.as_deref(), metrics);
            let answer = timeout(FETCH_TIMEOUT, fetch).await.ok().flatten();
            Some(FleetInput::PeerRecords { peer, requested_at, answer })
        }
        Task::FetchPeerVms { address, version } => {
            let fetch = fetch_vms(address, key, version, metrics);
            timeout(FETCH_TIMEOUT, fetch).await.ok().flatten().map(FleetInput::PeerVms)
        }
        Task::ReadRecords { .. } | Task::ReadVms { .. } => None,
    }
}

async fn fetch_records(
    address: SocketAddr,
    key: &FleetKey,
    have: Option<&RecordIndex>,
    metrics: &Metrics,
) -> Option<PeerRecords> {
    let connection = dial(address, key).await.ok()?;
    let mut call = connection.node.records_request();
    write_set_version(call.get().init_have(), have.map(RecordIndex::version));
    let reply = call.send().promise.await.ok()?;
    let update = RecordsUpdate::read(reply.get().ok()?.get_update().ok()?).ok()?;
    connection.close();
    let in_force = update.in_force();
    let offered = match update {
        RecordsUpdate::Unchanged { .. } => None,
        RecordsUpdate::Changes { in_force, text } => {
            count(metrics, text.len());
            let changes = ChangeSet::parse(&text).ok()?;
            let set = have?.apply(&changes).map_err(|err| err.to_string());
            Some(offered_by_peer(in_force, set, Some(changes)))
        }
        RecordsUpdate::Whole { in_force, text } => {
            count(metrics, text.len());
            let set = RecordSet::parse(&text).map(RecordIndex::new).map_err(|err| err.to_string());
            Some(offered_by_peer(in_force, set, None))
        }
    };
    Some(PeerRecords { in_force, offered })
}

async fn fetch_vms(
    address: SocketAddr,
    key: &FleetKey,
    version: u64,
    metrics: &Metrics,
) -> Option<VmList> {
    let connection = dial(address, key).await.ok()?;
    let mut call = connection.node.vms_request();
    call.get().set_version(version);
    let reply = call.send().promise.await.ok()?;
    let text = reply.get().ok()?.get_list().ok()?.to_str().ok()?.to_owned();
    connection.close();
    count(metrics, text.len());
    serde_json::from_str(&text).ok()
}

fn count(metrics: &Metrics, bytes: usize) {
    metrics.control_bytes.with_label_values(&["received", "peers"]).inc_by(bytes as u64);
}
