//! Tests of JSON as text that doesn't depend on white space or order.

use rstest::rstest;
use serde_json::Value;

use super::canonical_json::CanonicalJson;

/// Routers of earlier versions send, and compare, the text of a tree of values.
#[rstest]
#[case::null("null")]
#[case::numbers("[0, -1, 18446744073709551615, 18446744073709551616, 1.50, 1e300, -0.0, 1E2]")]
#[case::strings(r#"["", "a\u0041\n\"\\", "\u00e9\ud83d\ude00", ",", "]"]"#)]
#[case::empty_lists("[[], {}, [[]], {\"a\": []}]")]
#[case::members(r#"{"b": 1, "a": {"d": [true, false], "c": null}}"#)]
#[case::repeated_members(r#"{"b": 1, "a": 2, "b": [3], "a": 4}"#)]
#[case::escaped_names(r#"{"\u0061": 1, "b\n": 2, "b\"": 3, "": 4, "b ": 5, "\u00e9": 6}"#)]
fn into_text_equals_that_of_a_tree(#[case] json: &str) {
    let tree: Value = serde_json::from_str(json).unwrap();
    let canonical: CanonicalJson = serde_json::from_str(json).unwrap();
    assert_eq!(canonical.into_text(), tree.to_string());
}

#[rstest]
#[case::unfinished("[1,")]
#[case::deep(&"[".repeat(200))]
#[case::trailing("[] 1")]
fn invalid_json_is_an_error(#[case] json: &str) {
    assert!(serde_json::from_str::<CanonicalJson>(json).is_err());
}
