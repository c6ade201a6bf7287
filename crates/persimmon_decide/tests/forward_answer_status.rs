//! Which statuses count as those of an answer.

use persimmon_decide::forward::AnswerStatus;

/// Guards against a status that passes for an answer's although HTTP defines none, and against one that doesn't
/// although it does.
#[test]
fn of_every_status() {
    for status in 0..=u16::MAX {
        let expected = match status {
            200..=599 => AnswerStatus::Final,
            100 | 102..=199 => AnswerStatus::Interim,
            _ => AnswerStatus::Invalid,
        };
        assert_eq!(AnswerStatus::of(status), expected, "{status}");
    }
}
