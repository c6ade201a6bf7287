//! Measures a record set of the size that the fleet is designed for: its published bytes, its
//! memory, and the bytes and time per change.
//!
//! Run with `cargo run --release -p persimmon_records --example record_set_size`.

use std::hint::black_box;
use std::time::Instant;

use persimmon_records::{
    Endpoint, EndpointBuilder, Generation, KeyDigest, Publication, RecordIndex, RecordSet, Serves,
    Workspace, WorkspaceBuilder,
};

const ENDPOINTS: usize = 3_700;
const WORKSPACES: usize = 4_400;
const MODELS: usize = 35;
const ZONES: usize = 15;
const CHANGES: usize = 200;
const LOOKUPS: usize = 100_000;
const CHANGES_PER_DAY: f64 = 19_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

fn main() {
    let set = design_size_set();
    let text = set.to_text();
    println!("set as text: {} bytes", text.len());

    let before = resident_bytes();
    let (index, parse_ms) = timed(|| RecordIndex::new(RecordSet::parse(&text).expect("valid")));
    println!("read, checked and indexed in {parse_ms:.1} ms");
    println!("resident bytes grown by reading and indexing: {}", resident_bytes() - before);
    println!("  at the peak: {}", peak_bytes() - before);
    let copies: Vec<_> = (0..COPIES).map(|_| index.clone()).collect();
    let grown = resident_bytes() - before;
    println!("resident bytes of each of {COPIES} copies: {}", grown / (COPIES + 1));
    drop(copies);

    let (digest, digest_ms) = timed(|| set.digest());
    println!("digest of the whole set {} in {digest_ms:.2} ms", digest.short());
    println!("copy of the index in {:.2} ms", timed(|| black_box(index.clone())).1);
    println!("check of the whole set in {:.2} ms", timed(|| set.check().expect("valid")).1);
    let lookups = timed(|| look_up(&index)).1 * 1e6 / LOOKUPS as f64;
    println!("look-up by key: {lookups:.0} ns");

    measure_changes(set, index);
}

/// Number of copies of the index over which the memory is averaged, so that the allocator's unused
/// reserve hardly affects the result.
const COPIES: usize = 8;

fn design_size_set() -> RecordSet {
    let mut set = RecordSet { generation: Generation(1), ..RecordSet::empty() };
    set.endpoints = (0..ENDPOINTS).map(endpoint).collect();
    set.workspaces = (0..WORKSPACES).map(workspace).collect();
    set
}

fn endpoint(i: usize) -> Endpoint {
    let address = ([10, 1, (i / 250) as u8, (i % 250) as u8 + 1], 7000);
    EndpointBuilder::new(format!("engine-{i:04}").as_str(), address.into())
        .with_zone(format!("region-{}-zone-{}", i % 4, i % ZONES).as_str())
        .with_serves(Serves::Model(format!("model-{}", i % MODELS).as_str().into()))
        .with_slots(16)
        .with_lender(format!("lender-{}", i % 40).as_str())
        .build()
}

fn workspace(i: usize) -> Workspace {
    WorkspaceBuilder::new(format!("workspace-{i:04}").as_str())
        .with_key(&format!("wk-{i}-a"))
        .with_key(&format!("wk-{i}-b"))
        .with_model(format!("model-{}", i % MODELS).as_str())
        .with_model(format!("model-{}", (i + 7) % MODELS).as_str())
        .build()
}

fn look_up(index: &RecordIndex) {
    for i in 0..LOOKUPS {
        let digest = index.set().workspaces[i % WORKSPACES].key_digests[0];
        black_box(index.workspace_by_key(black_box(&digest)));
    }
}

/// Publishes changes one by one and applies each as a watching process does.
fn measure_changes(mut set: RecordSet, mut index: RecordIndex) {
    let first = Publication::first(&set);
    let part_bytes: usize = first.new_parts.iter().map(|part| part.text.len()).sum();
    println!("in parts: {} parts, {part_bytes} bytes", first.new_parts.len());
    let (mut head, mut head_bytes, mut most, mut forwarded, mut rebased) = (first.head, 0, 0, 0, 0);
    let mut apply_ms = 0.0;
    for i in 0..CHANGES {
        let mut next = set.clone();
        next.generation = Generation(set.generation.0 + 1);
        change_one(&mut next, i);
        let publication = Publication::next(&head, &set, &next).expect("newer");
        rebased += publication.new_parts.iter().map(|part| part.text.len()).sum::<usize>();
        head = publication.head;
        let bytes = head.to_text().len();
        head_bytes += bytes;
        most = most.max(bytes);
        let newest = head.change_set.since(set.generation).expect("one generation behind");
        forwarded += newest.to_text().len();
        let (applied, ms) = timed(|| index.apply(&newest).expect("as published"));
        apply_ms += ms;
        index = applied;
        set = next;
    }
    let per_change = |total: usize| total as f64 / CHANGES as f64;
    let rate = CHANGES_PER_DAY / SECONDS_PER_DAY;
    println!("head read at each change: {:.0} bytes, at most {most}", per_change(head_bytes));
    println!("  at 19,000 changes a day: {:.0} bytes/s", per_change(head_bytes) * rate);
    println!("change set forwarded: {:.0} bytes a change", per_change(forwarded));
    println!("  at 19,000 changes a day: {:.0} bytes/s", per_change(forwarded) * rate);
    println!("new parts published by the operator: {:.0} bytes a change", per_change(rebased));
    let apply_ms = apply_ms / CHANGES as f64;
    println!("apply, check and index a change: {apply_ms:.2} ms");
    println!("  at 19,000 changes a day: {:.3}% of a core", apply_ms * rate / 10.0);
}

/// Changes one record. Two of three changes are to workspaces, since limits and keys change more
/// often than endpoints.
fn change_one(set: &mut RecordSet, i: usize) {
    let at = i * 37;
    match i % 3 {
        0 => set.endpoints[at % ENDPOINTS].draining ^= true,
        1 => {
            let key = format!("wk-{at}-{i}");
            set.workspaces[at % WORKSPACES].key_digests[0] = KeyDigest::of_key(&key);
        }
        _ => set.workspaces[at % WORKSPACES].limits.quick.in_progress += 1,
    }
}

fn timed<T>(run: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let value = run();
    (value, start.elapsed().as_secs_f64() * 1e3)
}

/// Returns the process's resident memory in bytes, as the kernel reports it.
fn resident_bytes() -> usize {
    kernel_figure("VmRSS:")
}

/// Returns the process's peak resident memory in bytes.
fn peak_bytes() -> usize {
    kernel_figure("VmHWM:")
}

fn kernel_figure(name: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a Linux machine");
    let line = status.lines().find(|line| line.starts_with(name)).expect("a resident size");
    let kib = line.split_whitespace().nth(1).and_then(|kib| kib.parse::<usize>().ok());
    kib.expect("a number") * 1024
}
