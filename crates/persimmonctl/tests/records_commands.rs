//! Tests the commands that work on records files.

mod common;

use std::fs;
use std::path::PathBuf;

use common::{Run, run, run_with_input};
use rstest::rstest;

const MWAKILEMA: &str = "../../examples/records/mwakilema.json";
const KALAHARI: &str = "../../examples/records/kalahari.json";

/// Creates an empty directory for `test`.
fn directory(test: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

/// Writes a copy of the Mwakilema records with the first match of each `from` replaced by its `to`,
/// and returns its path.
fn variant(test: &str, replacements: &[(&str, &str)]) -> String {
    let mut text = fs::read_to_string(MWAKILEMA).unwrap();
    for (from, to) in replacements {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    let path = directory(test).join("records.json");
    fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

#[rstest]
#[case::none(&[], "unknown command \"\"")]
#[case::unknown(&["publish"], "unknown command \"publish\"")]
#[case::no_file(&["check"], "FILE is missing")]
#[case::extra(&["check", MWAKILEMA, "x"], "\"x\" is one argument too many")]
#[case::flag(&["check", MWAKILEMA, "--verbose"], "see --help")]
#[case::absent(&["check", "no-such-file"], "no-such-file can't be read")]
#[case::number(&["check", MWAKILEMA, "--now-ms", "soon"], "--now-ms has the value \"soon\"")]
#[case::explain(&["explain"], "--workspace is missing")]
#[case::endpoint(&["drain", MWAKILEMA, "engine-99"], "no endpoint engine-99")]
#[case::out(&["publish-form", MWAKILEMA], "--out is missing")]
fn usage_error(#[case] args: &[&str], #[case] expected: &str) {
    let Run { code, stdout, stderr } = run(args);
    assert_eq!(code, 2, "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
    assert_eq!(stdout, "");
}

#[test]
fn usage_reports_all_faults() {
    let found = run(&["explain", "--now-ms", "x"]).stderr;
    for name in ["records", "workspace", "model", "chat", "now-ms"] {
        assert!(found.contains(&format!("--{name}")), "{found}");
    }
}

#[rstest]
#[case::tool(&["--help"], "publish-form")]
#[case::command(&["status", "--help"], "PERSIMMON_PROCESSES")]
#[case::exit_codes(&["check", "--help"], "Exit codes: 0")]
#[case::version(&["--version"], env!("CARGO_PKG_VERSION"))]
fn help_and_version(#[case] args: &[&str], #[case] expected: &str) {
    let Run { code, stdout, stderr } = run(args);
    assert_eq!((code, stderr.as_str()), (0, ""));
    assert!(stdout.contains(expected), "{stdout}");
}

#[test]
fn check_reports_every_fault() {
    let replacements = [
        ("\"load_multiple\": 1.25", "\"load_multiple\": 0.5"),
        ("\"slots\": 24", "\"slots\": 0"),
        ("\"zone\": \"moshi\"", "\"zone\": \"mo shi\""),
    ];
    let file = variant("check_reports_every_fault", &replacements);
    let Run { code, stderr, .. } = run(&["check", &file]);
    assert_eq!(code, 1);
    for place in ["policy, load_multiple", "endpoints[0] (engine-01), slots", "(engine-02), zone"] {
        assert!(stderr.contains(place), "{stderr}");
    }
}

#[rstest]
#[case::running("1790000000000", false)]
#[case::ended("1830297600000", true)]
fn check_warns_of_ended_records(#[case] now: &str, #[case] warns: bool) {
    let Run { code, stdout, .. } = run(&["check", MWAKILEMA, "--now-ms", now]);
    assert_eq!(code, 0);
    assert_eq!(stdout.contains("warning: workspaces (season-helpers), expires_at"), warns);
    assert_eq!(stdout.contains("warning: endpoints (engine-01), loan_ends_at"), warns);
}

#[test]
fn diff_lists_fields() {
    let replacements = [
        ("\"generation\": 1", "\"generation\": 2"),
        ("\"slots\": 24", "\"slots\": 20"),
        ("{\"quick\": {\"requests_per_second\": 40", "{\"quick\": {\"requests_per_second\": 41"),
        ("\"name\": \"booking-4\"", "\"name\": \"booking-5\""),
    ];
    let file = variant("diff_lists_fields", &replacements);
    let Run { code, stdout, .. } = run(&["diff", MWAKILEMA, &file]);
    assert_eq!(code, 1);
    let expected = "generation 1 -> 2\n\
                    + endpoints (booking-5)\n\
                    ~ endpoints (engine-01), slots: 24 -> 20\n\
                    ~ workspaces (swap-desk), limits.quick.requests_per_second: 40 -> 41\n\
                    - endpoints (booking-4)\n";
    assert_eq!(stdout, expected);
    let same = run(&["diff", MWAKILEMA, MWAKILEMA]);
    assert_eq!((same.code, same.stdout.as_str()), (0, "generation 1 -> 1\nno differences\n"));
}

/// The line ending isn't part of the key.
#[rstest]
#[case::unix("wk-example\n")]
#[case::windows("wk-example\r\n")]
#[case::bare("wk-example")]
fn digest_reads_one_line(#[case] input: &str) {
    let found = run_with_input(&["digest"], input);
    let expected = persimmon_records::KeyDigest::of_key("wk-example");
    assert_eq!((found.code, found.stdout), (0, format!("{expected}\n")));
}

#[rstest]
#[case::empty("\n")]
#[case::two_lines("wk-example\nwk-other\n")]
#[case::spaces("wk example\n")]
fn digest_refuses_other_input(#[case] input: &str) {
    let found = run_with_input(&["digest"], input);
    assert_eq!((found.code, found.stdout.as_str()), (2, ""));
    assert!(!found.stderr.contains("wk"), "the output must not contain the key");
}

#[test]
fn explain_shows_order_and_reasons() {
    let replacements = [
        ("\"fencing\": \"refuses\"", "\"draining\": true, \"fencing\": \"refuses\""),
        ("\"loan_ends_at\": 1830297600000", "\"loan_ends_at\": 5"),
    ];
    let file = variant("explain_shows_order_and_reasons", &replacements);
    let base = ["explain", "--records", &file, "--now-ms", "1790000000000", "--chat", "Hello"];
    let call = |extra: &[&str]| run(&[&base[..], extra].concat());

    let found = call(&["--workspace", "hosts", "--model", "exchange-large"]);
    assert_eq!(found.code, 0, "{}", found.stderr);
    let lines: Vec<_> = found.stdout.lines().collect();
    assert!(lines[2].starts_with("1 ") && lines[2].ends_with("first in rank"), "{lines:?}");
    let drained = lines.iter().find(|line| line.contains("engine-02")).unwrap();
    assert!(drained.starts_with('-') && drained.ends_with("draining"), "{drained}");

    let ended = call(&["--workspace", "hosts", "--model", "exchange-small"]).stdout;
    let ended = ended.lines().find(|line| line.contains("engine-01")).unwrap().to_owned();
    assert!(ended.ends_with("its loan has ended"), "{ended}");

    let refused = call(&["--workspace", "families", "--model", "exchange-small"]);
    assert_eq!(refused.code, 1);
    assert!(refused.stdout.contains("may not use model exchange-small"), "{}", refused.stdout);
}

/// The files of a publication and of its successor read back as the original sets.
#[test]
fn publish_form_round_trip() {
    let first = directory("publish_form_first");
    let second = directory("publish_form_second");
    let first = first.to_string_lossy();
    let made = run(&["publish-form", MWAKILEMA, "--out", &first]);
    assert_eq!(made.code, 0, "{}", made.stderr);
    assert!(made.stdout.contains("records/"), "{}", made.stdout);
    let head = format!("{first}/head.json");
    assert_eq!(run(&["diff", &head, MWAKILEMA]).code, 0);

    let replacements =
        [("\"generation\": 1", "\"generation\": 2"), ("\"slots\": 24", "\"slots\": 20")];
    let file = variant("publish_form_next", &replacements);
    let out = second.to_string_lossy();
    let made = run(&["publish-form", &file, "--out", &out, "--previous", &first]);
    assert_eq!(made.code, 0, "{}", made.stderr);
    assert_eq!(made.stdout.lines().count(), 2, "one change needs no new part: {}", made.stdout);
    let whole = run(&["diff", &format!("{out}/head.json"), &file]);
    assert_eq!(whole.code, 0, "each directory holds the whole set: {}", whole.stderr);

    let again = run(&["publish-form", MWAKILEMA, "--out", &out, "--previous", &first]);
    assert_eq!(again.code, 1);
    assert!(again.stderr.contains("publish a higher one"), "{}", again.stderr);

    let part = fs::read_dir(format!("{first}/parts")).unwrap().next().unwrap().unwrap().path();
    fs::write(&part, fs::read_to_string(KALAHARI).unwrap()).unwrap();
    let damaged = run(&["check", &head]);
    assert_eq!(damaged.code, 1);
    assert!(damaged.stderr.contains("part 0 doesn't match the digest"), "{}", damaged.stderr);
}

#[test]
fn drain_previews_slots_and_workspaces() {
    let spread = run(&["drain", MWAKILEMA, "booking-1", "--now-ms", "1790000000000"]);
    assert_eq!(spread.code, 0, "{}", spread.stderr);
    assert!(spread.stdout.contains("arusha  32     0\n"), "{}", spread.stdout);
    assert!(spread.stdout.contains("all     128    96\n"), "{}", spread.stdout);

    let only = [("\"default_class\": \"quick\"}", "\"endpoints\": [\"engine-01\"]}")];
    let file = variant("drain_previews", &only);
    let last = run(&["drain", &file, "engine-01", "--now-ms", "1790000000000"]);
    assert_eq!(last.code, 1);
    assert!(last.stdout.contains("workspace listing-blurbs loses its last"), "{}", last.stdout);
}
