//! Change sets and publications: a process that reaches a version has the same set whichever
//! changes or parts it read, or keeps its old one.

use std::collections::BTreeMap;

use persimmon_records::{
    AdoptError, ChangeSet, Digest, Endpoint, EndpointBuilder, Generation, Head, KeyDigest,
    MAX_CHANGES, MAX_HEAD_BYTES, MAX_VALUE_BYTES, Publication, Published, RecordIndex, RecordSet,
    SchemaVersion, Serves, SetVersion, Workspace, WorkspaceBuilder,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

/// Content of one set: the slots of each endpoint, the key of each workspace, and the load floor.
/// The ranges are small so that equal contents are frequent.
type Content = (Vec<u32>, Vec<u8>, u32);

fn endpoint(i: usize, slots: u32) -> Endpoint {
    EndpointBuilder::new(format!("e{i}").as_str(), ([10, 0, 0, 1], 7000 + i as u16).into())
        .with_serves(Serves::Model("m".into()))
        .with_slots(slots)
        .build()
}

fn workspace(i: usize, key: u8) -> Workspace {
    WorkspaceBuilder::new(format!("w{i}").as_str()).with_key(&format!("wk-{i}-{key}")).build()
}

/// Builds a set with this content. Leaves out endpoints with 0 slots and workspaces with key 0.
fn set_of(generation: u64, (slots, keys, floor): &Content) -> RecordSet {
    let mut set = RecordSet { generation: Generation(generation), ..RecordSet::empty() };
    set.policy.load_floor = floor + 1;
    let present = |(_, slots): &(usize, &u32)| **slots > 0;
    set.endpoints =
        slots.iter().enumerate().filter(present).map(|(i, slots)| endpoint(i, *slots)).collect();
    let present = |(_, key): &(usize, &u8)| **key > 0;
    set.workspaces =
        keys.iter().enumerate().filter(present).map(|(i, key)| workspace(i, *key)).collect();
    set
}

fn contents() -> impl Strategy<Value = Content> {
    (prop::collection::vec(0..3u32, 6), prop::collection::vec(0..3u8, 6), 0..2u32)
}

fn histories() -> impl Strategy<Value = Vec<Content>> {
    prop::collection::vec(contents(), 2..16)
}

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(Config { cases, failure_persistence: None, ..Config::default() }, rng)
}

/// The values that an operator has published on the platform.
#[derive(Debug, Default)]
struct Platform {
    parts: BTreeMap<Digest, String>,
    head: Option<Head>,
}

impl Platform {
    fn publish(&mut self, publication: Publication) {
        self.parts.extend(publication.new_parts.into_iter().map(|part| (part.digest, part.text)));
        self.head = Some(Head::parse(&publication.head.to_text()).expect("a head as published"));
    }

    fn head(&self) -> &Head {
        self.head.as_ref().expect("published before")
    }

    fn assemble(&self) -> Result<RecordSet, AdoptError> {
        let texts: Vec<_> = self.head().parts.iter().map(|digest| &self.parts[digest]).collect();
        self.head().assemble(&texts)
    }
}

/// New processes, and processes behind by any number of generations, reach the published set.
#[test]
fn apply_reaches_published_set() {
    let result = runner(60).run(&histories(), |history| {
        let sets: Vec<_> =
            history.iter().enumerate().map(|(i, content)| set_of(i as u64 + 1, content)).collect();
        let mut platform = Platform::default();
        platform.publish(Publication::first(&sets[0]));
        for (i, next) in sets.iter().enumerate().skip(1) {
            let publication = Publication::next(platform.head(), &sets[i - 1], next).unwrap();
            prop_assert!(publication.head.to_text().len() <= MAX_HEAD_BYTES);
            platform.publish(publication);
            prop_assert_eq!(&platform.assemble().unwrap(), next);
            for behind in &sets[..i] {
                let change_set = platform.head().change_set.since(behind.generation);
                let Some(change_set) = change_set else { continue };
                let forwarded = ChangeSet::parse(&change_set.to_text()).unwrap();
                prop_assert_eq!(&behind.apply(&forwarded).unwrap(), next);
                let index = RecordIndex::new(behind.clone()).apply(&forwarded).unwrap();
                prop_assert_eq!(index.version(), next.version());
            }
            let newest = platform.head().change_set.since(sets[i - 1].generation);
            prop_assert!(newest.is_some(), "a process one generation behind reads no parts");
        }
        Ok(())
    });
    result.unwrap();
}

/// Two operators publish the same generation, and one of them publishes the next one. A process
/// with the other operator's set either reaches exactly the published set or keeps its own, and
/// never mixes the two.
#[test]
fn apply_conflicting_generation_never_mixes() {
    let strategy = (contents(), contents(), contents(), contents());
    let result = runner(2_000).run(&strategy, |(start, ours, theirs, later)| {
        let start = set_of(1, &start);
        let (ours, theirs, later) = (set_of(2, &ours), set_of(2, &theirs), set_of(3, &later));
        let first = Publication::first(&start).head;
        let second = Publication::next(&first, &start, &ours).unwrap().head;
        let third = Publication::next(&second, &ours, &later).unwrap().head;

        let conflict = ours.version().conflicts_with(&theirs.version());
        prop_assert_eq!(conflict, ours.digest() != theirs.digest());
        match theirs.apply(&third.change_set) {
            Ok(set) => prop_assert_eq!(set, later),
            Err(AdoptError::Content { .. }) => prop_assert!(conflict),
            Err(error) => prop_assert!(false, "{}", error),
        }
        let again = ours.apply(&second.change_set);
        let (published, have) = (Generation(2), Generation(2));
        prop_assert_eq!(again, Err(AdoptError::NotNewer { published, have }));
        Ok(())
    });
    result.unwrap();
}

/// Versions have a total order, so that all processes choose the same set.
#[test]
fn version_orders_by_generation_then_digest() {
    let a = Digest::of_text("a").min(Digest::of_text("b"));
    let b = Digest::of_text("a").max(Digest::of_text("b"));
    let version = |generation, digest| SetVersion { generation: Generation(generation), digest };
    assert!(version(2, a) > version(1, b));
    assert!(version(2, b) > version(2, a));
    assert!(version(2, b).conflicts_with(&version(2, a)));
    assert!(!version(2, b).conflicts_with(&version(3, a)));
}

fn sample() -> (RecordSet, Head) {
    let before = set_of(1, &(vec![1, 1], vec![1, 1], 0));
    let after = set_of(2, &(vec![2, 0], vec![1, 2], 1));
    let head = Publication::first(&before).head;
    let head = Publication::next(&head, &before, &after).unwrap().head;
    (before, head)
}

#[test]
fn apply_missing_generation_reports_gap() {
    let (before, head) = sample();
    let late = ChangeSet { after: Generation(2), ..head.change_set };
    let late =
        ChangeSet { version: SetVersion { generation: Generation(3), ..late.version }, ..late };
    let expected = AdoptError::Gap { have: Generation(1), after: Generation(2) };
    assert_eq!(before.apply(&late), Err(expected));
}

#[test]
fn apply_checks_result() {
    let (before, head) = sample();
    let mut change_set = head.change_set;
    let mut broken = before.clone();
    broken.endpoints[0].slots = 0;
    broken.generation = Generation(2);
    change_set.version = broken.version();
    let head = Publication::next(&Publication::first(&before).head, &before, &broken).unwrap().head;
    assert!(matches!(before.apply(&head.change_set), Err(AdoptError::Faults(_))));
}

#[test]
fn assemble_wrong_parts() {
    let (before, _) = sample();
    let publication = Publication::first(&before);
    let text = publication.new_parts[0].text.clone();
    let other = text.replace("e1", "e9");
    let head = publication.head;
    assert_eq!(head.assemble(&[&text]), Ok(before));
    assert_eq!(head.assemble(&[&other]), Err(AdoptError::PartContent { index: 0 }));
    let expected = AdoptError::PartCount { found: 2, expected: 1 };
    assert_eq!(head.assemble(&[&text, &text]), Err(expected));
}

#[test]
fn digest_ignores_order_and_generation() {
    let set = set_of(1, &(vec![1, 2, 1], vec![1, 2, 1], 0));
    let mut other = RecordSet { schema_version: SchemaVersion::V1, ..set.clone() };
    other.generation = Generation(9);
    other.endpoints.reverse();
    other.workspaces.reverse();
    assert_eq!(set.digest(), other.digest());
    other.endpoints[0].slots += 1;
    assert_ne!(set.digest(), other.digest());
}

/// Inline sets and heads are distinguished.
#[test]
fn published_parse_each_form() {
    let (before, head) = sample();
    let parsed = Published::parse(&before.to_text()).unwrap();
    assert_eq!(parsed.version(), before.version());
    assert_eq!(Published::parse(&head.to_text()), Ok(Published::Head(head)));
    assert!(Published::parse("{\"parts\":[]}").is_err());
    assert!(Published::parse("").is_err());
}

#[test]
fn publication_splits_large_sets() {
    let mut set = set_of(1, &(vec![1], vec![], 0));
    set.workspaces = (0..8_000)
        .map(|i| {
            (0..4).fold(WorkspaceBuilder::new(format!("w{i}").as_str()), |builder, key| {
                builder.with_key(&format!("wk-{i}-{key}"))
            })
        })
        .map(WorkspaceBuilder::build)
        .collect();
    set.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    let publication = Publication::first(&set);
    assert!(publication.new_parts.len() > 2);
    assert!(publication.new_parts.iter().all(|part| part.text.len() <= MAX_VALUE_BYTES));
    let texts: Vec<_> = publication.new_parts.iter().map(|part| &part.text).collect();
    assert_eq!(publication.head.assemble(&texts), Ok(set));
}

/// A change of many records is published as changes in the head, which is small again after the
/// next publication.
#[test]
fn publication_keeps_newest_changes_in_bulk() {
    let mut set = set_of(1, &(vec![1], vec![], 0));
    set.workspaces = (100..400).map(|i| workspace(i, 1)).collect();
    let first = Publication::first(&set).head;
    let mut bulk = RecordSet { generation: Generation(2), ..set.clone() };
    bulk.workspaces = (100..400).map(|i| workspace(i, 2)).collect();
    let second = Publication::next(&first, &set, &bulk).unwrap().head;
    assert_eq!(set.apply(&second.change_set), Ok(bulk.clone()));
    let mut small = RecordSet { generation: Generation(3), ..bulk.clone() };
    small.policy.load_floor += 1;
    let third = Publication::next(&second, &bulk, &small).unwrap().head;
    assert!(third.to_text().len() <= MAX_HEAD_BYTES);
    assert_eq!(bulk.apply(&third.change_set), Ok(small));
}

#[rstest]
#[case::version(r#""schema_version":2"#, r#""schema_version":1"#, "head, schema_version: schema")]
#[case::generation(r#","generation":2"#, r#","generation":0"#, "head, generation: is 0")]
#[case::digest(r#""digest":""#, r#""digest":"x"#, "head, digest: can't be read")]
#[case::parts(r#""parts":["#, r#""parts":["x","#, "head, parts[0]: can't be read")]
#[case::unknown(r#""after":1"#, r#""after":1,"afterr":1"#, "head, afterr: isn't a field")]
#[case::base(r#""after":1"#, r#""after":2"#, "head, base: isn't within")]
#[case::order(
    r#"{"generation":2,"edit""#,
    r#"{"generation":3,"edit""#,
    "changes[0], generation: is out"
)]
#[case::edit(r#""remove_endpoint""#, r#""drop_endpoint""#, "changes[3], edit: isn't a known edit")]
#[case::record(r#""slots":2"#, r#""slots":"x""#, "changes[1] (e0), slots: can't be read")]
fn head_fault(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let text = sample().1.to_text();
    assert!(text.contains(from), "{text}");
    let errors = Head::parse(&text.replacen(from, to, 1)).unwrap_err().to_string();
    assert!(errors.starts_with(expected), "{errors}");
}

#[test]
fn head_too_many_changes() {
    let (_, mut head) = sample();
    let change = head.change_set.changes[0].clone();
    head.change_set.changes = vec![change; MAX_CHANGES + 1];
    let errors = Head::parse(&head.to_text()).unwrap_err().to_string();
    assert!(errors.starts_with("head, changes: has 1025 entries"), "{errors}");
}

#[test]
fn parse_damaged_text_never_panics() {
    let valid = sample().1.to_text();
    let bytes = valid.len();
    let damage = (0..bytes, 0..bytes, "[\\x20-\\x7e]{0,3}");
    let result = runner(2_000).run(&damage, |(a, b, inserted)| {
        let text = format!("{}{inserted}{}", &valid[..a.min(b)], &valid[a.max(b)..]);
        let _ = (Head::parse(&text), ChangeSet::parse(&text), Published::parse(&text));
        Ok(())
    });
    result.unwrap();
}

/// The index returns the same records as a linear search.
#[test]
fn index_agrees_with_linear_search() {
    let result = runner(300).run(&contents(), |content| {
        let mut set = set_of(1, &content);
        for (i, endpoint) in set.endpoints.iter_mut().enumerate().filter(|(i, _)| i % 2 == 1) {
            let service = format!("s{}", i % 3);
            endpoint.serves = Serves::Service(service.as_str().into());
        }
        let index = RecordIndex::new(set.clone());
        for i in 0..7 {
            for key in 0..3 {
                let digest = KeyDigest::of_key(&format!("wk-{i}-{key}"));
                prop_assert_eq!(index.workspace_by_key(&digest), set.workspace_by_key(digest));
            }
            let name = format!("e{i}").as_str().into();
            prop_assert_eq!(index.endpoint(&name), set.endpoint(&name));
            let name = format!("w{i}").as_str().into();
            let expected = set.workspaces.iter().find(|workspace| workspace.name == name);
            prop_assert_eq!(index.workspace(&name), expected);
        }
        let mut served = 0;
        for serves in index.served() {
            let expected = set.endpoints.iter().filter(|endpoint| endpoint.serves == *serves);
            let found: Vec<_> = match serves {
                Serves::Model(model) => index.endpoints_of_model(model).collect(),
                Serves::Service(service) => index.endpoints_of_service(service).collect(),
            };
            prop_assert!(!found.is_empty());
            served += found.len();
            prop_assert_eq!(found, expected.collect::<Vec<_>>());
        }
        prop_assert_eq!(served, set.endpoints.len());
        Ok(())
    });
    result.unwrap();
}
