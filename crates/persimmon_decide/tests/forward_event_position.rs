//! Tests of the position of a stream relative to its events.

use persimmon_decide::forward::EventPosition;
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::nothing("", true, None)]
#[case::lf("id: 1\ndata: a\n\n", true, Some(15))]
#[case::crlf("id: 1\r\ndata: a\r\n\r\n", true, Some(18))]
#[case::cr("id: 1\rdata: a\r\r", true, Some(15))]
#[case::second_event_cut("data: a\n\ndata", false, Some(9))]
#[case::cut_after_a_line("data: a\n", false, None)]
#[case::cut_after_a_crlf_line("data: a\r\n", false, None)]
#[case::cut_within_the_blank_line("data: a\r\n\r", true, Some(10))]
#[case::comment(": ping\n", true, Some(7))]
#[case::comment_cut(": pi", false, None)]
#[case::comment_within_an_event("data: a\n: ping\n", false, None)]
#[case::leading_blank_lines("\n\n", true, Some(2))]
fn advance_finds_boundary(
    #[case] text: &str,
    #[case] is_between: bool,
    #[case] boundary: Option<usize>,
) {
    let mut position = EventPosition::default();
    assert_eq!(position.advance(text.as_bytes()), boundary);
    assert_eq!(position.is_between_events(), is_between);
}

proptest! {
    #[test]
    fn advance_doesnt_depend_on_how_bytes_arrive(
        text in "(id: [0-9]|data: x|:c|\r|\n|\r\n){0,24}",
        cut in 0usize..64,
    ) {
        let bytes = text.as_bytes();
        let (first, second) = bytes.split_at(cut.min(bytes.len()));
        let mut whole = EventPosition::default();
        let boundary = whole.advance(bytes);
        let mut parts = EventPosition::default();
        let before = parts.advance(first);
        let after = parts.advance(second).map(|at| at + first.len());
        prop_assert_eq!(parts, whole);
        prop_assert_eq!(after.or(before), boundary);
    }

    #[test]
    fn advance_finds_every_cut_inside_an_event(
        lines in prop::collection::vec("[a-z]{1,6}: [a-z0-9]{0,6}", 1..4),
        end in prop::sample::select(vec!["\n", "\r", "\r\n"]),
        cut in 1usize..64,
    ) {
        let event = lines.join(end) + end + end;
        let cut = cut.min(event.len());
        let mut position = EventPosition::default();
        position.advance(&event.as_bytes()[..cut]);
        // The LF of a blank line that ends with CRLF carries nothing.
        let is_whole = cut == event.len() || (end == "\r\n" && cut + 1 == event.len());
        prop_assert_eq!(position.is_between_events(), is_whole);
    }
}
