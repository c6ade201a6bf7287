//! What one setting is called and means.

/// Prefix of every environment variable that holds a setting.
const VARIABLE_PREFIX: &str = "PERSIMMON_";

/// One setting: a flag with a value, and the environment variable of the same name.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    pub(crate) name: &'static str,
    pub(crate) placeholder: &'static str,
    pub(crate) help: &'static str,
    pub(crate) default: Option<&'static str>,
}

impl Setting {
    /// A setting whose flag is `--name PLACEHOLDER`.
    pub const fn new(name: &'static str, placeholder: &'static str, help: &'static str) -> Self {
        Self { name, placeholder, help, default: None }
    }

    /// The setting's name, which is its flag without the dashes.
    pub const fn name(&self) -> &'static str {
        self.name
    }

    /// Sets the value in force when neither flag nor variable gives one.
    #[must_use]
    pub const fn with_default(mut self, default: &'static str) -> Self {
        self.default = Some(default);
        self
    }

    /// The environment variable of this setting, such as `PERSIMMON_PEER_LISTEN`.
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
