//! Tests of the bodies of streams.

use http_body_util::BodyExt;
use hyper::body::Bytes;
use persimmon_process::piece_channel;
use rstest::rstest;

use super::body::events;

#[rstest]
#[case::ended(true)]
#[case::renderer_gone(false)]
fn stream_without_its_end_is_broken_off(#[case] has_end: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let (tx, rx) = piece_channel(2);
    runtime.block_on(tx.send(Bytes::from_static(b"data: {}\n\n"))).unwrap();
    match has_end {
        true => tx.complete(),
        false => drop(tx),
    }
    let read = runtime.block_on(events(rx).into_body().collect());
    assert_eq!(read.is_ok(), has_end);
}
