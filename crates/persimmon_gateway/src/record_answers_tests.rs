//! Tests of answers to peers that fetch records.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use persimmon_process::Clock;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::record_answers::{AnswerContent, ConnectionAnswer, RecordAnswers};

const ANSWERS: usize = 6;

/// Returns how many of [`ANSWERS`] answers count as being sent after a moment, and after their readers have
/// gone. Nobody reads them.
async fn count_unread(bytes: usize) -> (usize, usize) {
    let clock = Clock::start();
    let answers = Rc::new(RecordAnswers::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peers = Vec::new();
    for _ in 0..ANSWERS {
        let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        peer.write_all(b"GET /changes HTTP/1.1\r\nhost: gateway\r\n\r\n").await.unwrap();
        peers.push(peer);
        let stream = listener.accept().await.unwrap().0;
        let answers = answers.clone();
        tokio::task::spawn_local(async move {
            let connection = ConnectionAnswer::default();
            let service = service_fn(move |_: Request<hyper::body::Incoming>| {
                let body = answers.large_body(vec![7; bytes].into(), &connection, clock);
                async move { Ok::<_, Infallible>(Response::new(body)) }
            });
            // The peer resets the connection in the end.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let unread = answers.large(clock.now());
    drop(peers);
    tokio::time::sleep(Duration::from_millis(50)).await;
    (unread, answers.large(clock.now()))
}

/// Guards against answers that don't count, since the system takes them before the link does.
#[rstest]
#[case::small(45_000)]
#[case::medium(1_000_000)]
#[case::large(16_000_000)]
#[tokio::test]
async fn large_counts_answers_until_their_connections_end(#[case] bytes: usize) {
    let counted = tokio::task::LocalSet::new().run_until(count_unread(bytes)).await;
    assert_eq!(counted, (ANSWERS, 0));
}

#[test]
fn kept_update_is_returned_for_the_same_records_only() {
    let answers = RecordAnswers::default();
    let content = AnswerContent { since: 1, revision: 5, kept: 0 };
    answers.keep(content, &Bytes::from_static(b"update"));
    assert_eq!(answers.kept(content).as_deref(), Some(&b"update"[..]));
    // A value that the store has lost was kept.
    assert_eq!(answers.kept(AnswerContent { kept: 1, ..content }), None);
    assert_eq!(answers.kept(AnswerContent { since: 2, ..content }), None);
    answers.keep(AnswerContent { revision: 6, ..content }, &Bytes::from_static(b"later"));
    assert_eq!(answers.kept(content), None);
}
