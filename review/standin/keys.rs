//! The operator takes away the two keys of a deployment's only tenant, one after the other.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use crate::platform::{
    Arrival, Client, Deployment, RouteSpec, WorkerSpec, WorkerState, ms, note, sleep_ms,
    start_worker,
};

const APPLY_MS: u64 = 2_000;
/// Time between two keys that are taken away.
const GAP_MS: u64 = 1_500;

fn config(version: u64, keys: &[&str]) -> String {
    let route = RouteSpec {
        prefix: "/apply/", kind: "non_idempotent", service: "registry-api", timeout_ms: 2_000,
        target_ms: 300, attempts: 1, more: "",
    };
    let text = crate::platform::config(version, &[route], &["registry-api"]);
    let begin = text.find("\"Tenants\"").unwrap_or(text.len());
    let keys: Vec<_> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    format!("{}\"Tenants\":[{{\"Name\":\"tenant-1\",\"ApiKeys\":[{}],\"Priority\":1}}]}}", &text[..begin], keys.join(","))
}

fn change(id: &str, key: &str) -> Vec<u8> {
    format!(
        "POST /apply/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nAuthorization: Bearer {key}\r\n\
         Deadline-Ms: 4000\r\nContent-Length: 6\r\n\r\nchange"
    )
    .into_bytes()
}

pub fn play(has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::new()?;
    let handler = Arc::new(|worker: &WorkerState, arrival: &Arrival, writer: &mut std::net::TcpStream| {
        note(&format!("{} runs request {} for tenant {:?}", worker.id, arrival.id, arrival.head.get("tenant")));
        sleep_ms(60);
        worker.send(arrival, 200, "", b"applied", writer)
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
    let keys = ["first-key-of-tenant-1", "second-key-of-tenant-1"];
    deployment.store.put("op/config", &config(7, &keys));
    deployment.start_gateways(2)?;
    let fronts: Vec<_> = deployment.gateways.iter().map(|it| it.front()).collect();
    // Each caller keeps one connection to each gateway: two of the tenant, and one whose key was never held.
    let callers = [("first-key", keys[0]), ("second-key", keys[1]), ("stranger", "key-of-nobody")];
    let mut connections = Vec::new();
    for (name, key) in callers {
        for front in &fronts {
            connections.push((name, key, Client::connect(*front)?));
        }
    }
    let mut statuses = BTreeMap::<(&str, &str, u16), u32>::new();
    let mut late = Vec::new();
    let mut turn = 0;
    let mut round = |phase: &'static str, is_late: bool, until: u64| {
        while ms() < until {
            for (name, key, client) in &mut connections {
                let id = format!("{name}-{turn}");
                turn += 1;
                let status = client.call(&change(&id, key)).status;
                *statuses.entry((phase, *name, status)).or_default() += 1;
                if is_late {
                    late.push((id, *name));
                }
            }
            sleep_ms(50);
        }
    };
    round("before", false, ms() + 1_000);
    let mut phases = vec!["before"];
    if has_trouble {
        note("version 9 is acknowledged: the tenant loses its first key");
        deployment.store.put("op/config", &config(9, &keys[1..]));
        round("one key left", false, ms() + GAP_MS);
        note("version 11 is acknowledged: the tenant loses its last key");
        deployment.store.put("op/config", &config(11, &[]));
        phases.push("one key left");
    }
    round("the next 2 s", false, ms() + APPLY_MS);
    round("later", true, ms() + 1_500);
    phases.extend(["the next 2 s", "later"]);
    for phase in phases {
        for ((of, name, status), count) in &statuses {
            if *of == phase {
                note(&format!("{phase}: {name} gets {status}, {count} times"));
            }
        }
    }
    let ran: Vec<_> = workers
        .iter()
        .flat_map(|it| it.arrivals.lock().unwrap().iter().map(|it| it.id.clone()).collect::<Vec<_>>())
        .collect();
    let count = |of: &str| late.iter().filter(|(id, name)| *name == of && ran.contains(id)).count();
    let (strangers, dropped) = (count("stranger"), count("first-key") + count("second-key"));
    let dropped = if has_trouble { dropped } else { 0 };
    note(&format!(
        "sent later than ConfigApplyMs after the last acknowledgement: {strangers} requests ran whose key no configuration ever \
         held, and {dropped} whose key was taken away"
    ));
    Ok(strangers > 0)
}
