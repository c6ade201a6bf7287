//! A child process that prints a ready line, and its log.

use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde::de::DeserializeOwned;

use super::FleetError;
use super::wait::wait_until;

/// Time within which a process must print its ready line.
const READY_DEADLINE: Duration = Duration::from_secs(10);

/// Maximum number of log lines kept for each process; the oldest are dropped first.
const MAX_LOG_LINES: usize = 20_000;

/// Maximum number of log lines, from the end of the log, that an error shows.
const ERROR_LOG_LINES: usize = 20;

/// Program, arguments and environment of a process.
#[derive(Debug, Clone)]
pub(super) struct ProcessSpec {
    pub(super) name: String,
    pub(super) program: PathBuf,
    pub(super) args: Vec<String>,
    pub(super) variables: Vec<(String, String)>,
}

/// A child process. Dropping it kills the process by its id.
#[derive(Debug)]
pub(super) struct Process {
    name: String,
    child: Child,
    log: Log,
}

#[derive(Debug, Clone, Default)]
struct Log(Arc<Mutex<VecDeque<String>>>);

impl Process {
    /// Starts a process and waits for its ready line.
    pub(super) fn start<T: DeserializeOwned>(spec: &ProcessSpec) -> Result<(Self, T), FleetError> {
        let mut command = Command::new(&spec.program);
        command.args(&spec.args).envs(spec.variables.iter().cloned());
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let child = command.spawn().map_err(|source| FleetError::Start {
            name: spec.name.clone(),
            program: spec.program.display().to_string(),
            source,
        })?;
        let mut process = Self { name: spec.name.clone(), child, log: Log::default() };
        let first_line = process.read_outputs();
        let line = first_line.recv_timeout(READY_DEADLINE);
        let line = line.map_err(|_| process.error(ProcessFailure::NotReady))?;
        let ready = serde_json::from_str(&line)
            .map_err(|_| FleetError::ReadyLine { name: spec.name.clone(), line })?;
        Ok((process, ready))
    }

    /// Returns the process id.
    pub(super) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the log lines of the process.
    pub(super) fn log(&self) -> Vec<String> {
        self.log.lines()
    }

    /// Sends `signal` to the process.
    pub(super) fn signal(&self, signal: Signal) -> io::Result<()> {
        send_signal(self.child.id(), signal)
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub(super) fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Reports whether the process has exited.
    pub(super) fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits until the process exits.
    pub(super) fn wait(&mut self, deadline: Duration) -> Result<ExitStatus, FleetError> {
        if !wait_until(deadline, || self.has_ended()) {
            return Err(self.error(ProcessFailure::NotEnded));
        }
        Ok(self.child.wait()?)
    }

    /// Returns the end of the log for an error message.
    pub(super) fn log_end(&self) -> String {
        let lines = self.log.lines();
        let first = lines.len().saturating_sub(ERROR_LOG_LINES);
        lines[first..].join("\n")
    }

    fn error(&self, kind: ProcessFailure) -> FleetError {
        let (name, log) = (self.name.clone(), self.log_end());
        match kind {
            ProcessFailure::NotReady => FleetError::NotReady { name, log },
            ProcessFailure::NotEnded => FleetError::NotEnded { name, log },
        }
    }

    /// Starts threads that read standard output and standard error until the process exits.
    /// Returns a channel that receives the first line of standard output.
    fn read_outputs(&mut self) -> flume::Receiver<String> {
        let (tx, rx) = flume::bounded(1);
        if let Some(stderr) = self.child.stderr.take() {
            let log = self.log.clone();
            thread::spawn(move || read_lines(stderr, |line| log.push(line)));
        }
        if let Some(stdout) = self.child.stdout.take() {
            // Reads later lines too, because the process would block once the pipe is full.
            thread::spawn(move || read_lines(stdout, |line| drop(tx.try_send(line))));
        }
        rx
    }
}

/// Sends `signal` to the process with this id.
///
/// # Errors
/// Returns an error if there is no such process.
pub fn send_signal(id: u32, signal: Signal) -> io::Result<()> {
    let id = i32::try_from(id).ok().and_then(Pid::from_raw);
    let id = id.ok_or_else(|| io::Error::other("the process id is out of range"))?;
    Ok(kill_process(id, signal)?)
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// The step that a process didn't complete in time.
#[derive(Debug, Clone, Copy)]
enum ProcessFailure {
    NotReady,
    NotEnded,
}

impl Log {
    fn push(&self, line: String) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push_back(line);
        if lines.len() > MAX_LOG_LINES {
            lines.pop_front();
        }
    }

    fn lines(&self) -> Vec<String> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }
}

fn read_lines(from: impl Read, mut on_line: impl FnMut(String)) {
    for line in BufReader::new(from).lines().map_while(Result::ok) {
        on_line(line);
    }
}
