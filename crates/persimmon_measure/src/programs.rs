//! The programs that are measured.

use std::path::{Path, PathBuf};
use std::process::Command;

use crate::MeasureError;

/// The environment variable in which `cargo run` names cargo itself.
const CARGO_VARIABLE: &str = "CARGO";

/// The environment variable in which `cargo run` names the directory of this package.
const MANIFEST_DIR_VARIABLE: &str = "CARGO_MANIFEST_DIR";

/// Each program with its package.
const PROGRAMS: [(&str, &str); 2] =
    [("persimmonmountd", "persimmonmountd"), ("persimmon_standins", "persimmon-standin")];

/// Where the programs are.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The daemon.
    pub daemon: PathBuf,
    /// The stand-ins.
    pub stand_in: PathBuf,
}

impl Programs {
    /// Builds the programs if cargo runs this one, and finds them beside its own.
    ///
    /// # Errors
    ///
    /// A program can't be built or isn't there.
    pub fn build() -> Result<Self, MeasureError> {
        if let Some(cargo) = std::env::var_os(CARGO_VARIABLE) {
            let directory = std::env::var_os(MANIFEST_DIR_VARIABLE).unwrap_or_else(|| ".".into());
            for (package, program) in PROGRAMS {
                build(Path::new(&cargo), Path::new(&directory), package, program)?;
            }
        }
        let own = std::env::current_exe()?;
        let [daemon, stand_in] = PROGRAMS.map(|(_, program)| own.with_file_name(program));
        for program in [&daemon, &stand_in] {
            if !program.exists() {
                return Err(MeasureError::NotBuilt(program.display().to_string()));
            }
        }
        Ok(Self { daemon, stand_in })
    }
}

fn build(cargo: &Path, directory: &Path, package: &str, bin: &str) -> Result<(), MeasureError> {
    let mut command = Command::new(cargo);
    command.current_dir(directory);
    command.args(["build", "--quiet", "--package", package, "--bin", bin]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    if command.status()?.success() { Ok(()) } else { Err(MeasureError::Build(bin.to_owned())) }
}
