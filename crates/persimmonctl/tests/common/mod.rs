//! Runs the tool as a child process.

use std::io::Write;
use std::process::{Command, Stdio};

/// The output and exit code of one run.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// Runs the tool without input.
pub(crate) fn run(args: &[&str]) -> Run {
    run_with_input(args, "")
}

/// Runs the tool with `input` on standard input.
pub(crate) fn run_with_input(args: &[&str], input: &str) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_persimmonctl"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // After a usage error the tool exits without reading its input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    Run {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}
