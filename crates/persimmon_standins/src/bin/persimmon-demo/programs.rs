//! Programs that the demo starts.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Environment variable in which `cargo run` passes the path of cargo.
const CARGO_VARIABLE: &str = "CARGO";

/// Environment variable in which `cargo run` passes the directory of this package.
const MANIFEST_DIR_VARIABLE: &str = "CARGO_MANIFEST_DIR";

/// Paths of the programs.
#[derive(Debug)]
pub(crate) struct Programs {
    pub(crate) daemon: PathBuf,
    pub(crate) stand_in: PathBuf,
}

impl Programs {
    /// Builds the programs if cargo runs the demo, and finds them in the directory of the demo's
    /// executable.
    pub(crate) fn build() -> Result<Self, Box<dyn Error>> {
        if let Some(cargo) = std::env::var_os(CARGO_VARIABLE) {
            let directory = std::env::var_os(MANIFEST_DIR_VARIABLE).unwrap_or_else(|| ".".into());
            build(Path::new(&cargo), Path::new(&directory), "persimmonmountd", "persimmonmountd")?;
            let package = "persimmon_standins";
            build(Path::new(&cargo), Path::new(&directory), package, "persimmon-standin")?;
        }
        let own = std::env::current_exe()?;
        let directory = own
            .parent()
            .ok_or("the path of the demo's executable has no directory; run cargo demo")?;
        let programs = Self {
            daemon: directory.join("persimmonmountd"),
            stand_in: directory.join("persimmon-standin"),
        };
        for program in [&programs.daemon, &programs.stand_in] {
            if !program.exists() {
                return Err(format!("{} isn't built; run cargo demo", program.display()).into());
            }
        }
        Ok(programs)
    }
}

fn build(cargo: &Path, directory: &Path, package: &str, bin: &str) -> Result<(), Box<dyn Error>> {
    let mut command = Command::new(cargo);
    command.current_dir(directory);
    command.args(["build", "--quiet", "--package", package, "--bin", bin]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err(format!("cargo couldn't build {bin}; fix the errors above").into());
    }
    Ok(())
}
