//! Tests of reading an engine's answer.

use persimmon_decide::RequestId;
use persimmon_decide::outcome::LedgerKey;
use persimmon_records::WorkspaceName;
use rstest::rstest;
use serde_json::value::RawValue;

use super::command::Command;
use super::engine::{EngineRun, EngineUpdate, GenerateBody, read_lines};

const START: &str = "{\"start\":{\"prompt_tokens\":1,\"cached_tokens\":0}}\n";
const TOKEN: &str = "{\"token\":{\"index\":0,\"text\":\"a\"}}\n";
const END: &str = "{\"end\":{\"reason\":\"stop\",\"completion_tokens\":1}}\n";

/// Reads `answer` and returns the final update and the number of lines that were passed on.
fn read(answer: &str) -> (Option<EngineUpdate>, usize) {
    let (commands, received) = flume::unbounded::<Command>();
    let (permits, rx) = flume::bounded(8);
    (0..8).for_each(|_| permits.send(()).unwrap());
    let body = GenerateBody {
        request_id: "request".to_owned(),
        model: "model".to_owned(),
        messages: RawValue::from_string("[]".to_owned()).unwrap(),
        max_tokens: 1,
        priority: 0,
        resume_from: 0,
    };
    let key = LedgerKey::of_request(&WorkspaceName::new("desk"), RequestId(1));
    let traceparent = String::new();
    let run = EngineRun { key, run: 1, body, traceparent, timeout_s: 1, permits: rx };
    let update = read_lines(answer.as_bytes(), &run, &commands);
    (update, received.len())
}

#[test]
fn whole_answer_is_passed_on() {
    let (update, lines) = read(&[START, TOKEN, END].concat());
    assert!(matches!(update, Some(EngineUpdate::Whole)), "{update:?}");
    assert_eq!(lines, 3);
}

#[rstest]
#[case::unreadable_token([START, "{\"token\":{\"ind\n", END].concat(), 1)]
#[case::end_missing([START, TOKEN].concat(), 2)]
#[case::end_cut([START, TOKEN, END.trim_end()].concat(), 2)]
fn answer_that_lacks_a_line_isnt_whole(#[case] answer: String, #[case] lines: usize) {
    let (update, passed_on) = read(&answer);
    assert!(update.is_none(), "{update:?}");
    assert_eq!(passed_on, lines);
}
