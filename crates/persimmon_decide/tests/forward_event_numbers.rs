//! Tests of the decision which events of a resumable stream may be passed on.

use persimmon_decide::forward::EventNumbers;
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::all_follow("id: 3\n\nid: 4\n\n", "", false, Some(4))]
#[case::second_answer("id: 3\n\nid: 4\n\n", "id: 1\n\nid: 2\n\n", true, Some(4))]
#[case::head_before_it("id: 3\n\n", "HTTP/1.1 200 x\r\nA: b\r\n\r\nid: 1\n\n", true, Some(3))]
#[case::gap("id: 3\n\n", "id: 5\n\n", true, Some(3))]
#[case::repeated("id: 3\n\n", "id: 3\n\n", true, Some(3))]
#[case::crlf("id: 3\r\n\r\n", "id: 1\r\n\r\n", true, Some(3))]
#[case::first_is_bad("", "id: 1\n\nid: 2\n\n", true, Some(2))]
#[case::without_number("data: a\n\nid: 3\n\ndata: b\n\n", "", false, Some(3))]
fn check_keeps_the_sound_events(
    #[case] sound: &str,
    #[case] rest: &str,
    #[case] is_broken: bool,
    #[case] last: Option<u64>,
) {
    let mut numbers = EventNumbers::new(Some(1));
    numbers = numbers.check(b"id: 2\n\n").numbers;
    let checked = numbers.check(format!("{sound}{rest}").as_bytes());
    assert_eq!((checked.length, checked.is_broken), (sound.len(), is_broken));
    assert_eq!(checked.numbers.last(), last);
    assert_eq!(numbers.last(), Some(2), "counted before the events were passed on");
}

/// Guards against an error's text or head in the middle of a stream.
#[rstest]
#[case::text("upstream failed\n\n")]
#[case::json("{\"error\":\"failed\"}\n\n")]
#[case::head("HTTP/1.1 500 x\r\nContent-Type: text/plain\r\n\r\n")]
#[case::field_of_no_event("data: a\nServer: x\n\n")]
fn check_text_that_is_no_event_is_broken(#[case] text: &str) {
    let numbers = EventNumbers::new(None).check(b"id: 1\n\n").numbers;
    let checked = numbers.check(text.as_bytes());
    assert_eq!((checked.length, checked.is_broken), (0, true));
}

/// The first event of the part that another endpoint sends has to be the next one.
#[rstest]
#[case::next("id: 3\n\n", false)]
#[case::next_with_a_version("weight-versions: 2\nid: 3\ndata: a\n\n", false)]
#[case::after_a_comment(": ping\n\nid: 3\n\n", false)]
#[case::crlf("data: a\r\nid: 3\r\n\r\ndata: b\r\n\r\n", false)]
#[case::without_number("event: error\ndata: failed\n\n", true)]
#[case::number_later("data: failed\n\nid: 3\n\n", true)]
#[case::from_the_start("id: 1\n\n", true)]
fn check_next_part_needs_the_next_number(#[case] part: &str, #[case] is_broken: bool) {
    let numbers = EventNumbers::new(None).check(b"id: 1\n\nid: 2\n\n").numbers;
    let checked = numbers.at_next_part().check(part.as_bytes());
    assert_eq!(checked.is_broken, is_broken);
    assert_eq!(checked.length, if is_broken { 0 } else { part.len() });
}

/// A stream that can't be resumed may number its events as it likes, but not start again.
#[rstest]
#[case::any_step("id: 5\n\nid: 9\n\n", "", false)]
#[case::second_copy("id: 5\n\n", "id: 1\n\n", true)]
#[case::second_answer("id: 5\n\n", "HTTP/1.1 200 x\n\nid: 1\n\n", true)]
#[case::without_numbers("data: a\n\n", "", false)]
fn check_increasing(#[case] sound: &str, #[case] rest: &str, #[case] is_broken: bool) {
    let numbers = EventNumbers::increasing().check(b"id: 2\n\nid: 3\n\n").numbers;
    let checked = numbers.check(format!("{sound}{rest}").as_bytes());
    assert_eq!((checked.length, checked.is_broken), (sound.len(), is_broken));
}

proptest! {
    /// Wherever a stream breaks, what was passed on and what follows after `last` join without a gap.
    #[test]
    fn check_joins_parts_without_gap(sound in 0u64..20, wrong in 0u64..20, piece in 1usize..8) {
        prop_assume!(wrong != sound + 1);
        let events: Vec<_> =
            (1..=sound).chain([wrong]).map(|number| format!("id: {number}\ndata: a\n\n")).collect();
        let mut numbers = EventNumbers::new(Some(0));
        let mut passed = String::new();
        for events in events.chunks(piece) {
            let text = events.concat();
            let checked = numbers.check(text.as_bytes());
            passed.push_str(&text[..checked.length]);
            numbers = checked.numbers;
            if checked.is_broken {
                break;
            }
        }
        let ids: Vec<u64> =
            passed.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
        // The first event sets the step.
        let expected = if sound == 0 && wrong > 0 { vec![wrong] } else { (1..=sound).collect() };
        prop_assert_eq!(&ids, &expected);
        prop_assert_eq!(numbers.last(), Some(expected.last().copied().unwrap_or(0)));
    }
}
