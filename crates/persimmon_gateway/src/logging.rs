//! Structured logs on standard output, written by a separate thread so that no request waits for a
//! reader of the log.

use std::io::{self, Write};
use std::thread;

use flume::{Receiver, Sender, TrySendError};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines waiting to be written; further lines are dropped.
const MAX_WAITING_LINES: usize = 1_024;

/// Starts logging, with one JSON object per line. An invalid `filter` is replaced by `info`.
pub fn start_logging(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (tx, rx) = flume::bounded(MAX_WAITING_LINES);
    let writer = thread::Builder::new().name("log".into()).spawn(move || write_lines(&rx));
    if let Err(err) = writer {
        eprintln!("gateway: starting the log thread failed, running without logs: {err}");
        return;
    }
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(LineQueue { tx })
        .init();
}

/// Writes lines in batches until the process ends or standard output is closed.
fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(line) = rx.recv() {
        let mut batch = line;
        for line in rx.try_iter() {
            batch.extend_from_slice(&line);
        }
        // A closed standard output can't be reported anywhere.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Sends lines to the writing thread.
#[derive(Debug, Clone)]
struct LineQueue {
    tx: Sender<Vec<u8>>,
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.tx.try_send(buf.to_vec()) {
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
