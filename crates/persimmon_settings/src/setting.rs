//! Description of one setting.

/// Prefix of the environment variable of every setting.
const VARIABLE_PREFIX: &str = "PERSIMMON_";

/// Description of a setting: a flag with a value, and the environment variable of the same name.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    pub(crate) name: &'static str,
    pub(crate) placeholder: &'static str,
    pub(crate) help: &'static str,
    pub(crate) default: Option<&'static str>,
}

impl Setting {
    /// Creates a setting whose flag is `--name PLACEHOLDER`.
    pub const fn new(name: &'static str, placeholder: &'static str, help: &'static str) -> Self {
        Self { name, placeholder, help, default: None }
    }

    /// Returns the setting's name, which is its flag without the dashes.
    pub const fn name(&self) -> &'static str {
        self.name
    }

    /// Sets the default, used if neither the flag nor the variable is given.
    #[must_use]
    pub const fn with_default(mut self, default: &'static str) -> Self {
        self.default = Some(default);
        self
    }

    /// Returns the environment variable of this setting, such as `PERSIMMON_PEER_LISTEN`.
    pub fn variable(&self) -> String {
        let upper = self.name.to_ascii_uppercase().replace('-', "_");
        format!("{VARIABLE_PREFIX}{upper}")
    }

    pub(crate) fn description(&self) -> String {
        let variable = self.variable();
        match self.default {
            Some(default) => format!("{} [{variable}, default {default}]", self.help),
            None => format!("{} [{variable}]", self.help),
        }
    }
}
