//! Reader of settings from flags and environment variables.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use getopts::Options;

use crate::{Setting, SettingFault, SettingsError};

/// The given values of a program's settings, and the faults found in them so far.
#[derive(Debug)]
pub struct Settings {
    specs: Vec<Setting>,
    values: BTreeMap<&'static str, String>,
    faults: Vec<SettingFault>,
    free: Vec<String>,
    flags: Vec<&'static str>,
}

/// Flags without a value that every program accepts.
const HELP_FLAGS: [(&str, &str, &str); 2] =
    [("h", "help", "prints this help"), ("V", "version", "prints the version")];

impl Settings {
    /// Parses `args`, which exclude the program's name. A setting that isn't in `args` is read
    /// from its environment variable, and otherwise gets its default.
    ///
    /// # Errors
    ///
    /// Returns an error if the command line can't be parsed.
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

    /// Returns the help text, which starts with the line `brief` on how to call the program.
    pub fn usage(specs: &[Setting], brief: &str) -> String {
        options(specs).usage(brief)
    }

    /// Reports whether `--help` was given.
    pub fn wants_help(&self) -> bool {
        self.flags.contains(&"help")
    }

    /// Reports whether `--version` was given.
    pub fn wants_version(&self) -> bool {
        self.flags.contains(&"version")
    }

    /// Returns the arguments that don't belong to a flag.
    pub fn free(&self) -> &[String] {
        &self.free
    }

    /// Returns the value of a setting that may be absent. Records a fault if the value can't be
    /// parsed.
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

    /// Returns the value of a required setting. Records a fault if it is absent or can't be parsed.
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

    /// Records a fault that the caller's own check found.
    pub fn add_fault(&mut self, message: impl Into<String>) {
        self.faults.push(SettingFault::Combination(message.into()));
    }

    /// Finishes reading the settings.
    ///
    /// # Errors
    ///
    /// Returns every recorded fault.
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
