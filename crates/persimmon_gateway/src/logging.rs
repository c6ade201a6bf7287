//! Structured logs on standard output, written by a thread of their own so that no request waits
//! for a reader of the log.

use std::io::{self, Write};
use std::thread;

use flume::{Receiver, Sender, TrySendError};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait to be written. More are dropped, and their number is written instead.
const MAX_WAITING_LINES: usize = 1_024;

/// Starts logging: one JSON object a line.
pub fn start_logging(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (tx, rx) = flume::bounded(MAX_WAITING_LINES);
    let writer = thread::Builder::new().name("log".into()).spawn(move || write_lines(&rx));
    if let Err(err) = writer {
        eprintln!("gateway: the log's thread can't be started: {err}");
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

/// Writes lines until the process ends, several at a time.
fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(line) = rx.recv() {
        let mut batch = line;
        for line in rx.try_iter() {
            batch.extend_from_slice(&line);
        }
        // Nobody is left to tell if standard output is closed.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Hands lines to the writing thread.
#[derive(Debug, Clone)]
struct LineQueue {
    tx: Sender<Vec<u8>>,
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.tx.try_send(buf.to_vec()) {
            // A full queue drops the line: requests go before their log.
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
