//! Reads a command's flags, environment variables and operands, and reports all faults together.

use std::fmt::Display;
use std::str::FromStr;

use getopts::{Matches, Options};
use persimmon_settings::{SettingFault, SettingsError};

use crate::command::{Command, CommandError};

/// How many values a flag takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlagKind {
    /// No value; the flag is present or absent.
    Switch,
    /// At most one value.
    Value,
    /// Any number of values, which are separated by commas in the environment variable.
    Values,
}

/// One flag of a command.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flag {
    name: &'static str,
    kind: FlagKind,
    placeholder: &'static str,
    help: &'static str,
    variable: &'static str,
    default: Option<&'static str>,
}

impl Flag {
    /// Creates a flag without a value.
    pub(crate) const fn switch(name: &'static str, help: &'static str) -> Self {
        Self { name, kind: FlagKind::Switch, placeholder: "", help, variable: "", default: None }
    }

    /// Creates a flag with one value.
    pub(crate) const fn value(
        name: &'static str,
        placeholder: &'static str,
        help: &'static str,
    ) -> Self {
        Self { name, kind: FlagKind::Value, placeholder, help, variable: "", default: None }
    }

    /// Allows the flag any number of times.
    pub(crate) const fn repeated(self) -> Self {
        Self { kind: FlagKind::Values, ..self }
    }

    /// Sets the environment variable from which the value is read when the flag is absent.
    pub(crate) const fn with_variable(self, variable: &'static str) -> Self {
        Self { variable, ..self }
    }

    /// Sets the value to use when neither the flag nor the variable is given.
    pub(crate) const fn with_default(self, default: &'static str) -> Self {
        Self { default: Some(default), ..self }
    }

    fn description(&self) -> String {
        let mut notes = Vec::new();
        if self.kind == FlagKind::Values {
            notes.push("may be repeated".to_owned());
        }
        if !self.variable.is_empty() {
            notes.push(self.variable.to_owned());
        }
        notes.extend(self.default.map(|default| format!("default {default}")));
        if notes.is_empty() {
            return self.help.to_owned();
        }
        format!("{} [{}]", self.help, notes.join(", "))
    }

    fn add_to(&self, options: &mut Options) {
        let description = self.description();
        match self.kind {
            FlagKind::Switch => options.optflag("", self.name, &description),
            FlagKind::Value => options.optopt("", self.name, &description, self.placeholder),
            FlagKind::Values => options.optmulti("", self.name, &description, self.placeholder),
        };
    }
}

/// The arguments of a command, and the faults found in them so far.
#[derive(Debug)]
pub(crate) struct Args {
    operand_names: &'static [&'static str],
    flags: &'static [Flag],
    matches: Matches,
    variables: Vec<Option<String>>,
    faults: Vec<SettingFault>,
}

impl Args {
    /// Returns the flags of `command` as options of the command-line library.
    pub(crate) fn options(command: &Command) -> Options {
        let mut options = Options::new();
        options.optflag("h", "help", "prints this help");
        options.optflag("V", "version", "prints the version");
        for flag in command.flags {
            flag.add_to(&mut options);
        }
        options
    }

    /// Reads the arguments that follow the command's name.
    ///
    /// # Errors
    ///
    /// Returns an error if the library can't parse the flags. Other faults are reported by
    /// [`Self::finish`].
    pub(crate) fn read(
        command: &Command,
        args: &[String],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, CommandError> {
        let matches = Self::options(command).parse(args).map_err(|err| SettingsError {
            faults: vec![SettingFault::CommandLine(err.to_string())],
        })?;
        let variables = command.flags.iter().map(|flag| variable(flag.variable)).collect();
        let mut args = Self {
            operand_names: command.operands,
            flags: command.flags,
            matches,
            variables,
            faults: Vec::new(),
        };
        args.check_operands();
        Ok(args)
    }

    pub(crate) fn wants_help(&self) -> bool {
        self.matches.opt_present("help")
    }

    pub(crate) fn wants_version(&self) -> bool {
        self.matches.opt_present("version")
    }

    fn check_operands(&mut self) {
        for name in self.operand_names.iter().skip(self.matches.free.len()) {
            self.add_fault(format!("{name} is missing; give it after the command; see --help"));
        }
        let extra: Vec<_> = self.matches.free.iter().skip(self.operand_names.len()).collect();
        let faults: Vec<_> = extra
            .into_iter()
            .map(|extra| format!("{extra:?} is one argument too many; remove it; see --help"))
            .collect();
        for fault in faults {
            self.add_fault(fault);
        }
    }

    /// Returns an operand. If it is missing, [`Self::read`] has recorded a fault.
    pub(crate) fn operand(&self, name: &str) -> Option<String> {
        let position = self.operand_names.iter().position(|other| *other == name)?;
        self.matches.free.get(position).cloned()
    }

    /// Reports whether a switch was given.
    pub(crate) fn switch(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// Returns the value of an optional flag.
    pub(crate) fn optional<T: FromStr<Err: Display>>(&mut self, name: &'static str) -> Option<T> {
        let value = self.texts(name).into_iter().next()?;
        self.parse(name, &value)
    }

    /// Returns the value of a required flag, or records a fault if it is missing.
    pub(crate) fn required<T: FromStr<Err: Display>>(&mut self, name: &'static str) -> Option<T> {
        if self.texts(name).is_empty() {
            self.missing(name);
        }
        self.optional(name)
    }

    /// Returns the values of a repeated flag, or records a fault if there are none.
    pub(crate) fn values<T: FromStr<Err: Display>>(&mut self, name: &'static str) -> Vec<T> {
        let texts = self.texts(name);
        if texts.is_empty() {
            self.missing(name);
        }
        texts.iter().filter_map(|text| self.parse(name, text)).collect()
    }

    /// Records a fault that the command itself has found.
    pub(crate) fn add_fault(&mut self, message: impl Into<String>) {
        self.faults.push(SettingFault::Combination(message.into()));
    }

    /// Returns `value`, or all faults recorded so far. `value` may be `None` only if a fault was
    /// recorded.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, CommandError> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(SettingsError { faults: self.faults }.into()),
        }
    }

    fn missing(&mut self, name: &'static str) {
        let Some(flag) = self.flag(name) else { return };
        if flag.variable.is_empty() {
            self.add_fault(format!("--{name} is missing; give the flag; see --help"));
            return;
        }
        let variable = flag.variable.to_owned();
        self.faults.push(SettingFault::Missing { name, variable });
    }

    fn parse<T: FromStr<Err: Display>>(&mut self, name: &'static str, text: &str) -> Option<T> {
        let help = self.flag(name).map_or("see --help", |flag| flag.help);
        match text.parse() {
            Ok(value) => Some(value),
            Err(err) => {
                let reason = format!("{err}; give {help}");
                let value = text.to_owned();
                self.faults.push(SettingFault::Invalid { name, value, reason });
                None
            }
        }
    }

    fn flag(&self, name: &str) -> Option<&'static Flag> {
        self.flags.iter().find(|flag| flag.name == name)
    }

    /// Returns the values of a flag: those on the command line, else that of its variable, else its
    /// default.
    fn texts(&self, name: &str) -> Vec<String> {
        let given = self.matches.opt_strs(name);
        if !given.is_empty() {
            return given;
        }
        let Some(position) = self.flags.iter().position(|flag| flag.name == name) else {
            return Vec::new();
        };
        let flag = &self.flags[position];
        match &self.variables[position] {
            Some(list) if flag.kind == FlagKind::Values => list
                .split(',')
                .map(str::trim)
                .filter(|text| !text.is_empty())
                .map(Into::into)
                .collect(),
            Some(value) => vec![value.clone()],
            None => flag.default.map(Into::into).into_iter().collect(),
        }
    }
}
