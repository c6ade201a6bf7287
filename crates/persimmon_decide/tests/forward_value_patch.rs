//! Tests of the difference between two values of a record.

use std::fmt::Write;

use persimmon_decide::forward::{PatchError, ValuePatch};
use proptest::prelude::*;
use rstest::rstest;

/// Returns a configuration with this version and these routes, in the form in which operators write it.
fn configuration(version: u64, routes: impl Iterator<Item = u64>) -> Vec<u8> {
    let mut text = format!("{{\"Version\":{version},\"Routes\":[");
    for number in routes {
        let name = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        write!(
            text,
            "{{\"Name\":\"r-{name:x}\",\"Host\":\"h{}.example\",\"Prefix\":\"/p{name:x}/\",\
             \"Kind\":\"streaming\",\"TimeoutMs\":12000,\"TargetLatencyMs\":800,\"Service\":\"s\"}},",
            number % 7
        )
        .unwrap();
    }
    text.push_str("],\"Services\":[]}");
    text.into_bytes()
}

#[rstest]
#[case::version(configuration(8, 0..2_000))]
#[case::longer_version(configuration(1_000, 0..2_000))]
#[case::added_at_end(configuration(8, 0..2_001))]
#[case::added_at_start(configuration(8, (2_000..2_001).chain(0..2_000)))]
#[case::added_in_the_middle(configuration(8, (0..900).chain(5_000..5_002).chain(900..2_000)))]
#[case::removed(configuration(8, (0..700).chain(701..2_000)))]
#[case::moved(configuration(8, (1_000..2_000).chain(0..1_000)))]
fn patch_of_small_change_is_small(#[case] later: Vec<u8>) {
    let earlier = configuration(7, 0..2_000);
    let patch = ValuePatch::between(&earlier, &later);
    assert_eq!(patch.apply(&earlier).as_deref(), Ok(&*later));
    assert!(patch.size() < 800, "{} bytes for {}", patch.size(), later.len());
}

#[test]
fn patch_grows_with_the_change_not_the_value() {
    let sizes = [2_000, 20_000].map(|routes| {
        let patch =
            ValuePatch::between(&configuration(7, 0..routes), &configuration(8, 0..=routes));
        patch.size()
    });
    assert!(sizes[1] < 2 * sizes[0], "{sizes:?}");
}

#[test]
fn patch_of_other_value_is_refused() {
    let patch = ValuePatch::between(b"one", b"two");
    assert_eq!(patch.apply(b"three"), Err(PatchError::OtherBase));
}

/// A patch that was damaged, or made by a wrong sender, never yields another value.
#[test]
fn damaged_patch_never_yields_another_value() {
    let (earlier, later) = (configuration(7, 0..40), configuration(8, 1..41));
    let bytes = postcard::to_allocvec(&ValuePatch::between(&earlier, &later)).unwrap();
    let mut refused = 0;
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 << bit;
            let patch = postcard::from_bytes::<ValuePatch>(&damaged);
            match patch.map(|it| it.apply(&earlier)) {
                Ok(Ok(value)) => assert_eq!(value, later),
                Ok(Err(_)) | Err(_) => refused += 1,
            }
        }
    }
    assert!(refused > 0);
}

fn value() -> impl Strategy<Value = Vec<u8>> {
    // Few letters, so that values have much in common.
    prop::collection::vec(prop::sample::select(b"abc{}".to_vec()), 0..400)
}

proptest! {
    #[test]
    fn apply_returns_later_value(earlier in value(), later in value()) {
        let patch = ValuePatch::between(&earlier, &later);
        prop_assert_eq!(patch.apply(&earlier), Ok(later));
    }

    #[test]
    fn apply_returns_edited_value(
        earlier in value(), at in 0_usize..400, removed in 0_usize..50, new in value(),
    ) {
        let at = at.min(earlier.len());
        let end = (at + removed).min(earlier.len());
        let later = [&earlier[..at], &new, &earlier[end..]].concat();
        let patch = ValuePatch::between(&earlier, &later);
        prop_assert_eq!(patch.apply(&earlier), Ok(later));
    }
}
