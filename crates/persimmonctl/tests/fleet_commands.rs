//! Tests `status`, `endpoints` and `watch` against mock status pages.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use common::{Run, run};
use rstest::rstest;
use tiny_http::{Response, Server};

/// A mock process that responds to every request with the same page.
struct Process {
    address: SocketAddr,
    server: Arc<Server>,
    thread: JoinHandle<()>,
}

impl Process {
    fn start(status: u16, page: String) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let address = server.server_addr().to_ip().unwrap();
        let serving = Arc::clone(&server);
        let thread = thread::spawn(move || {
            for req in serving.incoming_requests() {
                assert_eq!(req.url(), "/status");
                let _ = req.respond(Response::from_string(&page).with_status_code(status));
            }
        });
        Self { address, server, thread }
    }

    fn flag(&self) -> String {
        format!("--process={}", self.address)
    }

    fn close(self) {
        self.server.unblock();
        self.thread.join().unwrap();
    }
}

fn page(name: &str, generation: u64, refused: &str, quarantined: &str) -> String {
    format!(
        r#"{{"role":"router","name":"{name}","zone":"a","generation":{generation},"records_source":"platform","leaving":false,"load":{{"running":3,"waiting":1,"mean":2.5}},"quarantined":[{quarantined}],"outcomes":{{"done":7,"not_run":2,"unknown":1}},"refused_records":{refused},"later_field":1}}"#
    )
}

#[rstest]
#[case::healthy(7, "null", "", 0, &[])]
#[case::behind(6, "null", "", 1, &["router-2 has generation 6 in force, not 7"])]
#[case::refused(7, "\"no\"", "", 1, &["router-2 refused records: no"])]
#[case::quarantined(7, "null", "\"ab\"", 1, &["router-2 quarantines 1 request(s)"])]
fn status_reports_findings(
    #[case] generation: u64,
    #[case] refused: &str,
    #[case] quarantined: &str,
    #[case] code: i32,
    #[case] findings: &[&str],
) {
    let first = Process::start(200, page("router-1", 7, "null", ""));
    let second = Process::start(200, page("router-2", generation, refused, quarantined));
    let table = run(&["status", &first.flag(), &second.flag()]);
    let json = run(&["status", "--json", &first.flag(), &second.flag()]);
    first.close();
    second.close();

    assert_eq!((table.code, json.code), (code, code), "{}", table.stderr);
    let found: Vec<_> =
        table.stdout.lines().filter_map(|line| line.strip_prefix("finding: ")).collect();
    assert_eq!(found, findings);
    assert!(table.stdout.lines().any(|line| line.starts_with("router-1  router  a     7")));
    let json: serde_json::Value = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!(json["findings"], serde_json::json!(findings));
    assert_eq!(json["processes"].as_array().unwrap().len(), 2);
    assert_eq!(json["processes"][0]["outcomes"]["done"], 7);
}

#[rstest]
#[case::not_found(404, String::new(), "HTTP status 404")]
#[case::not_json(200, "<html>".into(), "status page can't be read")]
#[case::too_long(200, format!("\"{}\"", "x".repeat(300_000)), "status page can't be read")]
fn status_unusable_answer(#[case] status: u16, #[case] page: String, #[case] expected: &str) {
    let process = Process::start(status, page);
    let Run { code, stdout, .. } = run(&["status", &process.flag()]);
    process.close();
    assert_eq!(code, 3);
    assert!(stdout.contains(expected), "{stdout}");
}

/// One port refuses connections; the other accepts them and never responds.
#[test]
fn status_unreachable() {
    let refusing = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let answering = Process::start(200, page("router-1", 7, "null", ""));
    let flags = [refusing, silent.local_addr().unwrap()].map(|at| format!("--process={at}"));
    let args = ["status", "--timeout-s=1", &flags[0], &flags[1], &answering.flag()];
    let Run { code, stdout, .. } = run(&args);
    answering.close();
    assert_eq!(code, 3);
    assert_eq!(stdout.lines().filter(|line| line.starts_with("unreachable: ")).count(), 2);
    assert!(stdout.contains("router-1"), "{stdout}");
}

fn gateway_page(usage: &str) -> String {
    let endpoint = format!(
        r#"{{"id":"e-1","service":"engines","address":"10.0.0.1:80","zone":"a","usage":"{usage}","requests":9,"own_requests":2,"failure_rate":0.25,"silent_ms":0}}"#
    );
    let page = page("gateway-1", 7, "null", "");
    page.replacen('{', &format!(r#"{{"endpoints":[{endpoint}],"#), 1)
}

#[rstest]
#[case::in_use("in", 0)]
#[case::left_out("unreachable", 1)]
fn endpoints_shows_usage(#[case] usage: &str, #[case] code: i32) {
    let process = Process::start(200, gateway_page(usage));
    let table = run(&["endpoints", &process.flag()]);
    let json = run(&["endpoints", "--json", &process.flag()]);
    process.close();
    assert_eq!((table.code, json.code), (code, code), "{}", table.stderr);
    let row = table.stdout.lines().nth(1).unwrap();
    let cells: Vec<_> = row.split_whitespace().collect();
    assert_eq!(cells, ["gateway-1", "e-1", "engines", "a", usage, "9", "2", "0.25", "0"]);
    let line: serde_json::Value = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!(line["endpoint"]["usage"], usage);
}

#[test]
fn watch_shows_rounds() {
    let process = Process::start(200, page("router-1", 7, "null", ""));
    let args = ["watch", "--json", "--rounds=3", "--interval-ms=100", &process.flag()];
    let Run { code, stdout, .. } = run(&args);
    process.close();
    assert_eq!(code, 0);
    let lines: Vec<serde_json::Value> =
        stdout.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 3);
}

#[rstest]
#[case::none(&["status"], "--process is missing; give the flag or set PERSIMMON_PROCESSES")]
#[case::address(&["status", "--process", "router-1"], "--process has the value \"router-1\"")]
#[case::timeout(&["status", "--process=127.0.0.1:1", "--timeout-s=0"], "--timeout-s is 0")]
#[case::interval(&["watch", "--process=127.0.0.1:1", "--interval-ms=1"], "--interval-ms is too")]
fn usage_error(#[case] args: &[&str], #[case] expected: &str) {
    let Run { code, stderr, .. } = run(args);
    assert_eq!(code, 2);
    assert!(stderr.contains(expected), "{stderr}");
}
