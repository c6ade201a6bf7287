//! Reading settings from flags and environment variables.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use getopts::Options;

use crate::{Setting, SettingFault, SettingsError};

/// The settings of one program as given, and the faults found in them so far.
#[derive(Debug)]
pub struct Settings {
    specs: Vec<Setting>,
    values: BTreeMap<&'static str, String>,
    faults: Vec<SettingFault>,
    free: Vec<String>,
    flags: Vec<&'static str>,
}

/// Flags without a value that every program takes.
const HELP_FLAGS: [(&str, &str, &str); 2] =
    [("h", "help", "prints this help"), ("V", "version", "prints the version")];

impl Settings {
    /// Reads `args` (without the program's name) and, for settings without a flag, variables.
    ///
    /// # Errors
    ///
    /// The command line itself can't be read.
    pub fn read(
        specs: &[Setting],
        args: &[String],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let matches = options(specs).parse(args).map_err(|err| SettingsError {
            faults: vec![SettingFault::CommandLine(err.to_string())],
        })?;
        let value_of = |spec: &Setting| {
            let flag = matches.opt_str(spec.name);
            let given = flag.or_else(|| variable(&spec.variable()));
            given.or_else(|| spec.default.map(str::to_owned))
        };
        let values = specs
            .iter()
            .filter_map(|spec| value_of(spec).map(|value| (spec.name, value)))
            .collect();
        let present = |flag: &&str| matches.opt_present(flag);
        let flags = HELP_FLAGS.iter().map(|(_, long, _)| *long).filter(present).collect();
        Ok(Self { specs: specs.to_vec(), values, faults: Vec::new(), free: matches.free, flags })
    }

    /// The help text, below one line on how the program is called.
    pub fn usage(specs: &[Setting], brief: &str) -> String {
        options(specs).usage(brief)
    }

    /// Whether `--help` was given.
    pub fn wants_help(&self) -> bool {
        self.flags.contains(&"help")
    }

    /// Whether `--version` was given.
    pub fn wants_version(&self) -> bool {
        self.flags.contains(&"version")
    }

    /// The arguments that belong to no flag.
    pub fn free(&self) -> &[String] {
        &self.free
    }

    /// Takes the value of a setting that may be absent, noting a value that can't be read.
    pub fn optional<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.values.get(name)?;
        match value.parse() {
            Ok(parsed) => Some(parsed),
            Err(err) => {
                let reason = format!("{err}; {}", self.remedy(name));
                let value = value.clone();
                self.faults.push(SettingFault::Invalid { name, value, reason });
                None
            }
        }
    }

    /// Takes the value of a setting that must be given, noting its absence.
    pub fn required<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if !self.values.contains_key(name) {
            let variable = self.spec(name).map(Setting::variable).unwrap_or_default();
            self.faults.push(SettingFault::Missing { name, variable });
        }
        self.optional(name)
    }

    /// Notes a fault found by a check across settings.
    pub fn fault(&mut self, message: impl Into<String>) {
        self.faults.push(SettingFault::Combination(message.into()));
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Every fault found.
    pub fn finish(self) -> Result<(), SettingsError> {
        if self.faults.is_empty() { Ok(()) } else { Err(SettingsError { faults: self.faults }) }
    }

    fn spec(&self, name: &str) -> Option<&Setting> {
        self.specs.iter().find(|spec| spec.name == name)
    }

    fn remedy(&self, name: &str) -> String {
        self.spec(name).map_or_else(
            || "see --help".to_owned(),
            |spec| format!("give {} ({})", spec.placeholder, spec.help),
        )
    }
}

fn options(specs: &[Setting]) -> Options {
    let mut options = Options::new();
    for (short, long, help) in HELP_FLAGS {
        options.optflag(short, long, help);
    }
    for spec in specs {
        options.optopt("", spec.name, &spec.description(), spec.placeholder);
    }
    options
}
