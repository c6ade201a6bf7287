//! What a command prints and how it exits.

use std::process::ExitCode;

/// The exit codes, as the help explains them.
pub(crate) const EXIT_CODES: &str = "\
Exit codes: 0 all is well; 1 there are findings (faults, differences, disagreement);
2 the command was called wrongly or a file can't be used; 3 a process can't be reached.
";

/// How a command exits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Exit {
    /// All is well.
    Ok,
    /// There are findings.
    Findings,
    /// The command was called wrongly or a file can't be used.
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

/// What a command prints and how it exits.
#[derive(Debug)]
pub(crate) struct Report {
    /// For standard output.
    pub(crate) text: String,
    /// For standard error.
    pub(crate) faults: String,
    /// How the command exits.
    pub(crate) exit: Exit,
}

impl Report {
    /// A report without findings.
    pub(crate) fn ok(text: String) -> Self {
        Self { text, faults: String::new(), exit: Exit::Ok }
    }

    /// A report with findings if `found`.
    pub(crate) fn with_findings(text: String, found: bool) -> Self {
        let exit = if found { Exit::Findings } else { Exit::Ok };
        Self { exit, ..Self::ok(text) }
    }
}
