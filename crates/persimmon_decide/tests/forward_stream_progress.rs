//! Tests of the decision whether a stream that ended is complete.

use persimmon_decide::forward::{AnswerType, BrokenOff, StreamProgress};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::whole("id: 1\ndata: a\n\n", Ok(()))]
#[case::second_event_cut("id: 1\ndata: a\n\nid: 2\nda", Err(BrokenOff::InsideEvent))]
#[case::blank_line_missing("id: 1\ndata: a\n", Err(BrokenOff::InsideEvent))]
#[case::comment_last("id: 1\n\n: end\n", Ok(()))]
fn check_end_goes_by_events(
    #[case] text: &str,
    #[case] expected: Result<(), BrokenOff>,
    #[values(false, true)] may_be_empty: bool,
) {
    let mut progress = StreamProgress::new(true, may_be_empty);
    progress.record(text.as_bytes());
    assert_eq!(progress.check_end(), expected);
}

/// Guards against streams that end as complete with an answer that its endpoint left after the head.
#[rstest]
#[case::until_close(AnswerType::Events, false, false, Err(BrokenOff::NoEvent))]
#[case::framed(AnswerType::Events, true, false, Ok(()))]
#[case::framed_without_type(AnswerType::Unstated, true, false, Ok(()))]
#[case::next_part_until_close(AnswerType::Events, false, true, Err(BrokenOff::NoEvent))]
#[case::next_part_without_type(AnswerType::Unstated, true, true, Err(BrokenOff::NoEvent))]
#[case::after_the_last_event(AnswerType::Events, true, true, Ok(()))]
fn check_end_without_bytes(
    #[case] answer_type: AnswerType,
    #[case] is_end_framed: bool,
    #[case] is_continued: bool,
    #[case] expected: Result<(), BrokenOff>,
) {
    let may_be_empty = answer_type.may_be_empty(is_end_framed, is_continued);
    assert_eq!(StreamProgress::new(true, may_be_empty).check_end(), expected);
}

#[test]
fn check_end_without_events_goes_by_framing() {
    let mut progress = StreamProgress::new(false, false);
    progress.record(b"{\"done\":true}");
    assert_eq!(progress.check_end(), Ok(()));
}

proptest! {
    #[test]
    fn check_end_finds_every_cut_inside_an_event(
        events in prop::collection::vec("[a-z]{0,8}", 1..6),
        cut in 0usize..128,
        piece in 1usize..16,
        is_end_framed: bool,
    ) {
        let events: Vec<_> = events.iter().map(|data| format!("data: {data}\n\n")).collect();
        let text = events.concat();
        let cut = cut.min(text.len());
        let mut progress = StreamProgress::new(true, is_end_framed);
        for bytes in text.as_bytes()[..cut].chunks(piece) {
            progress.record(bytes);
        }
        let mut end = 0;
        let is_boundary = cut == 0 || events.iter().any(|event| {
            end += event.len();
            end == cut
        });
        prop_assert_eq!(progress.check_end() != Err(BrokenOff::InsideEvent), is_boundary);
    }
}

#[rstest]
#[case::line(b"data: ")]
#[case::comment(b":")]
fn is_event_too_long_after_bytes_without_an_end(#[case] start: &[u8]) {
    let mut progress = StreamProgress::new(true, false);
    progress.record(b"id: 1\ndata: a\n\n");
    progress.record(start);
    let piece = vec![b'x'; 1_000];
    let pieces = StreamProgress::MAX_EVENT_BYTES / piece.len();
    for _ in 1..pieces {
        progress.record(&piece);
    }
    assert!(!progress.is_event_too_long());
    progress.record(&piece);
    progress.record(&piece);
    assert!(progress.is_event_too_long());
    progress.record(b"\n\n");
    assert!(!progress.is_event_too_long());
}
