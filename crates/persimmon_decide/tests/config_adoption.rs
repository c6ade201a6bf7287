//! Adoption: the record set in force never goes back, and one winner holds everywhere.

use persimmon_decide::config::{Adoption, SetDigest, Source, Verdict, Version};
use persimmon_records::{Generation, RecordSet, WorkspaceBuilder};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Reads `<generation> <workspace>` as a set with one workspace.
fn read(text: &str) -> Result<RecordSet, String> {
    let faulty = || format!("workspace {text}: name is faulty; use letters");
    let (generation, name) = text.split_once(' ').ok_or_else(faulty)?;
    let generation = generation.parse().map(Generation).map_err(|_| faulty())?;
    let workspaces = vec![WorkspaceBuilder::new(name).build()];
    Ok(RecordSet { generation, workspaces, ..RecordSet::empty() })
}

fn version(text: &str) -> Version {
    let generation = read(text).unwrap().generation;
    Version { generation, digest: SetDigest::of(text) }
}

#[test]
fn refused_set_keeps_last_good_one() {
    let mut adoption = Adoption::default();
    adoption.offer(Source::Platform, "3 good", read);
    assert_eq!(adoption.offer(Source::Platform, "broken", read), Verdict::Refused);
    assert_eq!(adoption.version(), Some(version("3 good")));
    let refused = adoption.refused().unwrap();
    assert_eq!(refused.read_from, Source::Platform);
    let message = refused.to_string();
    assert!(message.contains("workspace broken: name is faulty; use letters"), "{message}");

    let unread = |_: &str| -> Result<RecordSet, String> { panic!("read a refused text again") };
    assert_eq!(adoption.offer(Source::Peer("router-1".into()), "broken", unread), Verdict::Refused);
    let announced = Version { generation: Generation(9), digest: SetDigest::of("broken") };
    assert!(!adoption.wants(announced));

    adoption.offer(Source::Platform, "4 mended", read);
    assert!(adoption.refused().is_none());
}

#[test]
fn known_set_is_not_read_again() {
    let mut adoption = Adoption::default();
    adoption.offer(Source::Platform, "3 good", read);
    let unread = |_: &str| -> Result<RecordSet, String> { panic!("read the set in force again") };
    assert_eq!(adoption.offer(Source::Platform, "3 good", unread), Verdict::Known);
}

#[test]
fn conflict_is_reported_until_higher_generation() {
    let mut adoption = Adoption::default();
    adoption.offer(Source::Platform, "3 ours", read);
    assert_eq!(adoption.conflict(), None);
    adoption.note_version(version("3 theirs"));
    let conflict = adoption.conflict().expect("two sets of one generation");
    assert_eq!(conflict.kept, version("3 ours").max(version("3 theirs")));
    assert!(conflict.to_string().contains("under a higher generation"));

    adoption.offer(Source::Platform, "3 theirs", read);
    assert!(adoption.conflict().is_some(), "both sets are read, the conflict stays");
    adoption.offer(Source::Platform, "4 merged", read);
    assert_eq!(adoption.conflict(), None);
}

fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        8 => (1..6_u64, 0..4_u32).prop_map(|(generation, name)| format!("{generation} {name}")),
        1 => (0..3_u32).prop_map(|name| format!("broken-{name}")),
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(5), cases: 1_000, ..Config::default() })]

    /// Several processes hear the same sets in different orders, stale reads included.
    #[test]
    fn every_process_ends_on_one_published_set(
        texts in prop::collection::vec(text(), 1..12),
        orders in prop::collection::vec(prop::collection::vec(any::<prop::sample::Index>(), 0..40), 2..5),
    ) {
        let winner = texts.iter().filter(|text| read(text).is_ok()).map(|text| version(text)).max();
        for order in orders {
            let mut adoption = Adoption::default();
            let heard = order.iter().map(|index| index.get(&texts)).chain(&texts);
            for text in heard {
                let before = adoption.version();
                let verdict = adoption.offer(Source::Platform, text, read);
                prop_assert!(adoption.version() >= before, "went back from {before:?}");
                prop_assert_eq!(verdict == Verdict::Adopted, adoption.version() > before);
                if let Some(in_force) = adoption.in_force() {
                    prop_assert_eq!(&*in_force.set, &read(&in_force.text).unwrap());
                    prop_assert!(texts.iter().any(|text| **text == *in_force.text), "a mix");
                }
            }
            prop_assert_eq!(adoption.version(), winner);
            let rivals = texts.iter().filter(|text| read(text).is_ok()).map(|text| version(text));
            let has_rival = rivals.clone().any(|rival| {
                winner.is_some_and(|won| won.generation == rival.generation && won != rival)
            });
            prop_assert_eq!(adoption.conflict().is_some(), has_rival);
        }
    }
}
