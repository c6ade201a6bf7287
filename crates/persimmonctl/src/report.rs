//! The output and exit code of a command.

use std::process::ExitCode;

/// The help text on exit codes.
pub(crate) const EXIT_CODES: &str = "\
Exit codes: 0 all is well; 1 there are findings (faults, differences, disagreement);
2 the command line is invalid or a file can't be used; 3 a process can't be reached.
For check-routes: 0 nothing but changes; 1 warnings only; 2 errors.
";

/// The exit code of a command, in order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Exit {
    /// All is well.
    Ok,
    /// There are findings, or warnings only where errors have a code of their own.
    Findings,
    /// The command line is invalid, or a file can't be used, also for errors in a configuration.
    Usage,
    /// A process can't be reached.
    Unreachable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Ok => 0,
            Exit::Findings => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
        })
    }
}

/// The output and exit code of a command.
#[derive(Debug)]
pub(crate) struct Report {
    /// The text for standard output.
    pub(crate) text: String,
    /// The text for standard error.
    pub(crate) faults: String,
    /// The exit code.
    pub(crate) exit: Exit,
}

impl Report {
    /// Creates a report without findings.
    pub(crate) fn ok(text: String) -> Self {
        Self { text, faults: String::new(), exit: Exit::Ok }
    }

    /// Creates a report whose exit code indicates findings if `found`.
    pub(crate) fn with_findings(text: String, found: bool) -> Self {
        let exit = if found { Exit::Findings } else { Exit::Ok };
        Self { exit, ..Self::ok(text) }
    }
}
