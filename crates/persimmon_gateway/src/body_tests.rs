//! Tests of the bodies of answers.

use bytes::Bytes;
use http_body_util::BodyExt;
use persimmon_process::{PieceSender, piece_channel};
use rstest::rstest;

use crate::body::AnswerBody;

/// How the task that relays a stream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskEnd {
    Completes,
    Returns,
    Panics,
    IsAborted,
}

async fn relay(tx: PieceSender, end: TaskEnd) {
    tx.send(Bytes::from_static(b"data: a\n\n")).await.unwrap();
    match end {
        TaskEnd::Completes => tx.complete(),
        TaskEnd::Returns => {}
        TaskEnd::Panics => panic!("a fault in the relaying task"),
        TaskEnd::IsAborted => std::future::pending().await,
    }
}

#[rstest]
#[case::completed(TaskEnd::Completes, true)]
#[case::returned(TaskEnd::Returns, false)]
#[case::panicked(TaskEnd::Panics, false)]
#[case::aborted(TaskEnd::IsAborted, false)]
fn stream_body_is_complete_only_if_its_task_says_so(
    #[case] end: TaskEnd,
    #[case] is_complete: bool,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let (tx, rx) = piece_channel(1);
        let task = tokio::task::spawn_local(relay(tx, end)).abort_handle();
        let mut body = AnswerBody::stream(rx, task.clone());
        assert!(body.frame().await.unwrap().is_ok());
        if end == TaskEnd::IsAborted {
            task.abort();
        }
        let last = body.frame().await;
        assert_eq!(last.is_none(), is_complete, "{last:?}");
        assert_eq!(last.is_some_and(|frame| frame.is_err()), !is_complete);
    });
}
