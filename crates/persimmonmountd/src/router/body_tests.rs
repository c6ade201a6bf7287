//! Tests of the bodies of streams.

use http_body_util::BodyExt;
use hyper::body::Bytes;
use rstest::rstest;

use super::body::{StreamPart, events};

#[rstest]
#[case::ended(true)]
#[case::renderer_gone(false)]
fn stream_without_its_end_is_broken_off(#[case] has_end: bool) {
    let (tx, rx) = flume::bounded(2);
    tx.send(StreamPart::Events(Bytes::from_static(b"data: {}\n\n"))).unwrap();
    if has_end {
        tx.send(StreamPart::End).unwrap();
    }
    drop(tx);
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let read = runtime.block_on(events(rx).into_body().collect());
    assert_eq!(read.is_ok(), has_end);
}
