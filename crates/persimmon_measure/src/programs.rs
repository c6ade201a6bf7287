//! Builds and finds the measured programs.

use std::path::{Path, PathBuf};
use std::process::Command;

use crate::MeasureError;

/// Environment variable that `cargo run` sets to the path of cargo.
const CARGO_VARIABLE: &str = "CARGO";

/// Environment variable that `cargo run` sets to the directory of this package.
const MANIFEST_DIR_VARIABLE: &str = "CARGO_MANIFEST_DIR";

/// Measured programs as pairs of package and program.
const PROGRAMS: [(&str, &str); 2] =
    [("persimmonmountd", "persimmonmountd"), ("persimmon_standins", "persimmon-standin")];

/// Paths of the measured programs.
#[derive(Debug, Clone)]
pub struct Programs {
    /// Path of the daemon.
    pub daemon: PathBuf,
    /// Path of the program that runs stand-ins.
    pub stand_in: PathBuf,
}

impl Programs {
    /// Builds the programs if this one was started by cargo, and finds them in its own directory.
    ///
    /// # Errors
    ///
    /// Returns an error if a program can't be built or doesn't exist.
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
