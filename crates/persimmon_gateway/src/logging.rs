//! Structured logs on standard output, written by a separate thread so that no request waits for a
//! reader of the log.

use std::io::{self, Write};
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender, TrySendError};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines waiting to be written; further lines are dropped.
const MAX_WAITING_LINES: usize = 1_024;
/// Maximum time for which a process that exits waits for room in the queue, and then until its last lines
/// are written.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// What is sent to the writing thread.
#[derive(Debug)]
enum Message {
    /// A line to write.
    Line(Vec<u8>),
    /// A request to report when all earlier lines have been written.
    Flush(Sender<()>),
}

/// The process's log.
#[derive(Debug)]
pub struct Logging {
    tx: Option<Sender<Message>>,
}

impl Logging {
    /// Starts logging, with one JSON object per line. An invalid `filter` is replaced by `info`.
    pub fn start(filter: &str) -> Self {
        let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
        let (tx, rx) = flume::bounded(MAX_WAITING_LINES);
        let writer = thread::Builder::new().name("log".into()).spawn(move || write_lines(&rx));
        if let Err(err) = writer {
            eprintln!("gateway: starting the log thread failed, running without logs: {err}");
            return Self { tx: None };
        }
        tracing_subscriber::fmt()
            .with_env_filter(filter)
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .with_writer(LineQueue { tx: tx.clone() })
            .init();
        Self { tx: Some(tx) }
    }

    /// Waits until the lines logged so far are written, twice [`CLOSE_TIMEOUT`] at most. Called before
    /// the process exits.
    pub fn close(self) {
        let Some(tx) = self.tx else { return };
        let (written_tx, written_rx) = flume::bounded(1);
        // If standard output is blocked or closed, the last lines are lost, as any others are.
        if tx.send_timeout(Message::Flush(written_tx), CLOSE_TIMEOUT).is_ok() {
            let _ = written_rx.recv_timeout(CLOSE_TIMEOUT);
        }
    }
}

/// Writes lines in batches until the process ends or standard output is closed.
fn write_lines(rx: &Receiver<Message>) {
    let mut out = io::stdout();
    while let Ok(first) = rx.recv() {
        let (mut batch, mut flushed) = (Vec::new(), Vec::new());
        for message in std::iter::once(first).chain(rx.try_iter()) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(written) => flushed.push(written),
            }
        }
        // A closed standard output can't be reported anywhere.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
        for written in flushed {
            // An error means that the process no longer waits.
            let _ = written.try_send(());
        }
    }
}

/// Sends lines to the writing thread.
#[derive(Debug, Clone)]
struct LineQueue {
    tx: Sender<Message>,
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.tx.try_send(Message::Line(buf.to_vec())) {
            // If the queue is full, the line is dropped, so that requests don't wait for the log.
            Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Ok(buf.len()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineQueue {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}
