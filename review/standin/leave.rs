//! Two gateways lose their path to the store; just then a worker leaves whose entry is removed.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use crate::platform::{
    Arrival, Client, Deployment, RouteSpec, WorkerSpec, WorkerState, config, ms, note, request,
    sleep_ms, start_worker,
};

const DRAIN_MS: u64 = 2_000;
const CALLS_AT_ONCE: usize = 9;

/// Sends some lookups at once, each on a new connection. Returns their ids with the times of sending.
fn call_at_once(front: std::net::SocketAddr, name: &str) -> Vec<(u64, String, u16)> {
    let calls: Vec<_> = (0..CALLS_AT_ONCE)
        .map(|number| {
            let id = format!("{name}-{number}");
            thread::spawn(move || {
                let at = ms();
                let bytes = request("GET", "/lookup/2f", &id, "Deadline-Ms: 4000\r\n", b"");
                let status = Client::connect(front).map_or(0, |mut it| it.call(&bytes).status);
                (at, id, status)
            })
        })
        .collect();
    calls.into_iter().filter_map(|it| it.join().ok()).collect()
}

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::new()?;
    let handler = Arc::new(|worker: &WorkerState, arrival: &Arrival, writer: &mut std::net::TcpStream| {
        sleep_ms(60);
        worker.send(arrival, 200, "", b"found", writer)
    });
    let mut workers = Vec::new();
    for number in 0..3 {
        let id = format!("i-api-{number}");
        let ip = deployment.worker_ip(number);
        let worker =
            start_worker(WorkerSpec { id: &id, ip, service: "registry-api", slots: 6 }, handler.clone())?;
        deployment.publish(&worker, "ready");
        workers.push(worker);
    }
    let route = RouteSpec {
        prefix: "/lookup/", kind: "idempotent", service: "registry-api", timeout_ms: 2_000,
        target_ms: 300, attempts: 2, more: "",
    };
    deployment.store.put("op/config", &config(7, &[route], &["registry-api"]));
    deployment.start_gateways(4)?;
    // All processes know one another, and calm has lasted for ContactMs.
    sleep_ms(4_000);
    for gateway in &deployment.gateways {
        let answered = call_at_once(gateway.front(), &format!("warm-{}", gateway.ip));
        if answered.iter().any(|(_, _, status)| *status != 200) {
            return Err(io::Error::other("usual traffic isn't served"));
        }
    }
    if has_trouble {
        note("gateways 1 and 2 lose their path to the store");
        deployment.paths[0].set_cut(true);
        deployment.paths[1].set_cut(true);
    }
    sleep_ms(50);
    let leaving = &workers[2];
    leaving.is_leaving.store(true, Ordering::SeqCst);
    deployment.store.delete(&leaving.key());
    let acknowledged = ms();
    note(&format!("{} leaves: the store has accepted that its entry is removed", leaving.id));
    // No request for DrainMs; then calls at gateways 3 and 4, which reach the store all the while.
    sleep_ms(DRAIN_MS + 100);
    let mut calls = Vec::new();
    for turn in 0..6 {
        for number in [2, 3] {
            calls.extend(call_at_once(deployment.gateways[number].front(), &format!("call-{turn}-gw{}", number + 1)));
        }
        sleep_ms(150);
    }
    deployment.paths.iter().for_each(|it| it.set_cut(false));
    let arrivals = leaving.arrivals.lock().unwrap().clone();
    let mut late = 0;
    for (sent_at, id, status) in &calls {
        if let Some(arrival) = arrivals.iter().find(|it| it.id == *id) {
            late += 1;
            note(&format!(
                "request {id}, sent {} ms after the acknowledgement, reached {} {} ms after it; answered {status}",
                sent_at - acknowledged, leaving.id, arrival.at_ms - acknowledged
            ));
        }
    }
    note(&format!("{late} of {} requests that were sent later than DrainMs reached the worker", calls.len()));
    Ok(late > 0)
}
