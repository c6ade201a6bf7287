//! Tests the check of the gateways' configuration.

mod common;

use std::fs;
use std::path::PathBuf;

use common::{Run, run};
use rstest::rstest;
use serde_json::Value;

const SOUND: &str = "tests/configurations/sound.json";

/// Writes a copy of the sound configuration with the first match of each `from` replaced by its `to`, and
/// returns its path.
fn variant(test: &str, replacements: &[(&str, &str)]) -> String {
    let mut text = fs::read_to_string(SOUND).unwrap();
    for (from, to) in replacements {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("check_routes");
    fs::create_dir_all(&directory).unwrap();
    let path = directory.join(format!("{test}.json"));
    fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

/// Returns the exit code, and severity, entry and fault of each finding.
fn findings(args: &[&str]) -> (i32, Vec<String>) {
    let args = [&["check-routes", "--json"], args].concat();
    let Run { code, stdout, stderr } = run(&args);
    let output: Value =
        serde_json::from_str(&stdout).unwrap_or_else(|_| panic!("{stdout}{stderr}"));
    let found = output["findings"].as_array().unwrap();
    let text = |it: &Value, name: &str| it[name].as_str().unwrap().to_owned();
    let line = |it: &Value| {
        [text(it, "severity"), text(it, "entry"), text(it, "fault")].join(", ").replace('"', "")
    };
    (code, found.iter().map(line).collect())
}

#[test]
fn check_routes_sound_configuration() {
    assert_eq!(findings(&[SOUND]), (0, Vec::new()));
    assert_eq!(run(&["check-routes", SOUND]).stdout, "0 error(s), 0 warning(s), 0 change(s)\n");
}

/// Each check finds its fault, and nothing else.
#[rstest]
#[case::route_name(("Name\": \"desk\", \"Host", "Name\": \"chat\", \"Host"), 2, "error, route chat, duplicate_name")]
#[case::service_name(("\"ColdPerS\": 13}", "\"ColdPerS\": 13}, {\"Name\": \"desk\"}"), 2, "error, service desk, duplicate_name")]
#[case::workspace_name(("\"south\"", "\"north\""), 2, "error, workspace north, duplicate_name")]
#[case::no_service((", \"Service\": \"desk\"\n", "\n"), 2, "error, route desk, no_service")]
#[case::unknown_service(("\"Service\": \"desk\"", "\"Service\": \"desks\""), 2, "error, route desk, unknown_service")]
#[case::key_of_another(("secret-south-1", "secret-north-2"), 2, "error, workspace south, key_held_twice")]
#[case::body(("4194304", "52428801"), 2, "error, limits, body_too_large")]
#[case::head(("16384", "0"), 2, "error, limits, zero")]
#[case::head_timeout(("HeaderTimeoutMs\": 3000", "HeaderTimeoutMs\": 0"), 2, "error, limits, zero")]
#[case::idle_timeout(("15000", "0"), 2, "error, limits, zero")]
#[case::timeout(("\"TimeoutMs\": 5000", "\"TimeoutMs\": 0"), 2, "error, route desk, zero")]
#[case::attempts(("\"MaxAttempts\": 1", "\"MaxAttempts\": 0"), 2, "error, route desk, zero")]
#[case::shadowed(("/desk/", "/chat/"), 1, "warning, route desk, shadowed")]
#[case::host_port(("calls.example", "calls.example:80"), 1, "warning, route chat, unmatched_host")]
#[case::no_host(("calls.example", ""), 1, "warning, route chat, unmatched_host")]
#[case::host_capitals(("calls.example", "Calls.example"), 1, "warning, route chat, uppercase_host")]
#[case::leading_slash(("/desk/", "desk/"), 1, "warning, route desk, no_leading_slash")]
#[case::trailing_slash(("/desk/", "/desk"), 1, "warning, route desk, no_trailing_slash")]
#[case::weight(("\"Weight\": 10", "\"Weight\": 0"), 1, "warning, route chat, zero_weight")]
#[case::unused(("\"ColdPerS\": 13}", "\"ColdPerS\": 13}, {\"Name\": \"x\"}"), 1, "warning, service x, unused_service")]
#[case::key_repeated(("secret-north-2", "secret-north-1"), 1, "warning, workspace north, key_repeated")]
#[case::target(("TargetLatencyMs\": 200", "TargetLatencyMs\": 5001"), 1, "warning, route desk, target_above_timeout")]
#[case::pause(("GapAimMs\": 300", "GapAimMs\": 12001"), 1, "warning, route chat, pause_above_timeout")]
fn check_routes_fault(
    #[case] replacement: (&str, &str),
    #[case] code: i32,
    #[case] expected: &str,
) {
    let (from, to) = replacement;
    let name = format!("{expected}{from}{to}").replace(|it: char| !it.is_ascii_alphanumeric(), "");
    let path = variant(&name, &[replacement]);
    let (found_code, found) = findings(&[&path]);
    // A service that its only route no longer names isn't used either.
    let is_other = |it: &&String| !it.ends_with("service desk, unused_service");
    let found: Vec<_> = found.iter().filter(is_other).collect();
    assert_eq!((found_code, found), (code, vec![&expected.to_owned()]));
}

/// Parts that can't be read are all named.
#[test]
fn check_routes_unreadable_parts() {
    let path = variant(
        "unreadable",
        &[
            ("\"Version\": 7", "\"Version\": \"7\""),
            ("\"streaming\"", "\"stream\""),
            ("\"TimeoutMs\": 5000, ", ""),
            ("\"MaxConns\": 370}", "\"MaxConns\": -1}"),
            ("\"Limits\"", "\"Limit\""),
            ("\"Name\": \"south\", ", ""),
        ],
    );
    let Run { code, stdout, .. } = run(&["check-routes", &path]);
    assert_eq!(code, 2);
    for place in
        ["Version", "Limits", "Kind of route \"chat\"", "Routes[1]", "Services[1]", "Tenants[1]"]
    {
        assert!(stdout.contains(&format!(", {place}: ")), "{place}: {stdout}");
    }
    assert!(stdout.contains("missing field `TimeoutMs`"), "{stdout}");
}

#[rstest]
#[case::cut_off("{\"Version\": 7")]
#[case::no_object("[]")]
#[case::empty("")]
fn check_routes_no_configuration(#[case] text: &str) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("none-{}.json", text.len()));
    fs::write(&path, text).unwrap();
    let (code, found) = findings(&[path.to_str().unwrap()]);
    assert_eq!((code, found.len()), (2, 1), "{found:?}");
}

#[test]
fn check_routes_memory() {
    let path = variant("memory", &[("4194304", "41943041")]);
    assert_eq!(findings(&[&path, "--memory-mb", "512"]).0, 0);
    assert_eq!(findings(&[SOUND, "--memory-mb", "15"]).0, 2);
    assert_eq!(run(&["check-routes", SOUND, "--memory-mb", "0"]).code, 2);
}

/// What differs from the configuration in force is listed, without a key.
#[test]
fn check_routes_against() {
    let path = variant(
        "against",
        &[
            ("\"Version\": 7", "\"Version\": 8"),
            ("\"Weight\": 90", "\"Weight\": 80"),
            ("\"MaxConns\": 100", "\"MaxConns\": 120"),
            ("15000", "16000"),
            ("secret-north-1", "secret-north-3"),
            ("\"south\"", "\"west\""),
        ],
    );
    let (code, found) = findings(&[&path, "--against", SOUND]);
    let expected = [
        "change, limits, changed",
        "change, route chat, changed",
        "change, service desk, changed",
        "change, workspace south, removed",
        "change, workspace west, added",
        "change, workspace north, keys_changed",
        "change, workspace south, keys_changed",
        "change, workspace west, keys_changed",
    ];
    assert_eq!((code, found), (0, expected.map(str::to_owned).to_vec()));
    let text = run(&["check-routes", &path, "--against", SOUND]).stdout;
    assert!(text.contains("keys: 1 added, 1 removed"), "{text}");
    assert!(
        text.contains("services: engine 90, engine-next 10 -> engine 80, engine-next 10"),
        "{text}"
    );
    assert!(!text.contains("secret"), "{text}");
}

/// Gateways ignore a version that isn't higher, and go on asking for keys that are no longer listed.
#[test]
fn check_routes_against_the_same_version() {
    let (code, found) = findings(&[SOUND, "--against", SOUND]);
    assert_eq!((code, found), (2, vec!["error, configuration, version_not_higher".to_owned()]));
    let path =
        variant("open", &[("\"Version\": 7", "\"Version\": 8"), ("\"Tenants\"", "\"Others\"")]);
    let (code, found) = findings(&[&path, "--against", SOUND]);
    assert_eq!((code, &*found[0]), (2, "error, configuration, keys_dropped"));
}

/// A key is no part of the message for a configuration that can't be read either.
#[rstest]
#[case::text("\"secret-south-1\"")]
#[case::text_beside_the_key("[\"x\"], \"Priority\": \"secret, expected\"")]
#[case::number("[739183]")]
fn check_routes_unreadable_key(#[case] keys: &str) {
    let path = variant(&format!("key-{}", keys.len()), &[("[\"secret-south-1\"]", keys)]);
    let Run { code, stdout, stderr } = run(&["check-routes", &path]);
    assert_eq!(code, 2);
    let text = format!("{stdout}{stderr}");
    assert!(!text.contains("secret") && !text.contains("739183"), "{text}");
}
