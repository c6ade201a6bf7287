//! What a check of a configuration finds.

use std::fmt;
use std::sync::Arc;

/// How bad a finding is, in increasing order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// No fault: it differs from the configuration in force.
    Change,
    /// The entry has no effect, or another one than it seems to have.
    Warning,
    /// Callers would be refused, or served wrongly, or the configuration isn't taken at all.
    Error,
}

impl Severity {
    /// Returns the name for output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Change => "change",
            Self::Warning => "warning",
            Self::Error => "error",
        }
    }
}

/// The entry of a configuration to which a finding applies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// The configuration as a whole.
    Configuration,
    /// The limits on callers.
    Limits,
    /// The route with this name.
    Route(Arc<str>),
    /// The service with this name.
    Service(Arc<str>),
    /// The workspace with this name.
    Workspace(Arc<str>),
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configuration => write!(f, "configuration"),
            Self::Limits => write!(f, "limits"),
            Self::Route(name) => write!(f, "route {name:?}"),
            Self::Service(name) => write!(f, "service {name:?}"),
            Self::Workspace(name) => write!(f, "workspace {name:?}"),
        }
    }
}

/// A limit that mustn't be zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// Size of a request head.
    Head,
    /// Time to receive a request head.
    HeadTimeout,
    /// Idle time of a connection.
    IdleTimeout,
    /// Time to answer a request.
    Timeout,
    /// Endpoints that may run a request.
    Attempts,
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Head => "limit on the size of a request head",
            Self::HeadTimeout => "time-out of a request head",
            Self::IdleTimeout => "idle time-out of a connection",
            Self::Timeout => "time-out",
            Self::Attempts => "number of attempts",
        })
    }
}

/// What is wrong, or different.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// An entry of the same kind has the same name.
    DuplicateName,
    /// The route leads to no service.
    NoService,
    /// The route leads to a service that isn't listed.
    UnknownService(Arc<str>),
    /// A workspace before has the same key.
    KeyHeldTwice {
        /// The workspace that has it too.
        by: Arc<str>,
    },
    /// The workspace has a key twice.
    KeyRepeated,
    /// The limit is zero.
    Zero(Limit),
    /// No gateway can hold such a body.
    BodyTooLarge {
        /// The limit on the size of a body, in bytes.
        bytes: u64,
        /// The size that a gateway can hold, in bytes.
        max: u64,
    },
    /// A route before has the same host and prefix.
    Shadowed {
        /// That route.
        by: Arc<str>,
    },
    /// No request has such a host.
    UnmatchedHost,
    /// Only requests that spell the host in the same way have it.
    UppercaseHost,
    /// No path begins like the prefix.
    NoLeadingSlash,
    /// The prefix matches in the middle of a path's segment too.
    NoTrailingSlash,
    /// The service's share of the route's requests is zero.
    ZeroWeight(Arc<str>),
    /// No route leads to the service.
    UnusedService,
    /// The target for an answer is above the time-out.
    TargetAboveTimeout {
        /// The target, in milliseconds.
        target_ms: u64,
        /// The time-out, in milliseconds.
        timeout_ms: u64,
    },
    /// The target for pauses of a stream is above the time-out.
    PauseAboveTimeout {
        /// The target, in milliseconds.
        pause_ms: u64,
        /// The time-out, in milliseconds.
        timeout_ms: u64,
    },
    /// The version isn't above the one in force.
    VersionNotHigher {
        /// The version.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// The entry is new.
    Added,
    /// The entry is gone.
    Removed,
    /// A part of the entry has another value.
    Changed {
        /// The part.
        what: &'static str,
        /// Its value in force.
        from: String,
        /// Its new value.
        to: String,
    },
    /// Other keys are valid.
    KeysChanged {
        /// Number of new keys.
        added: usize,
        /// Number of keys that are gone.
        removed: usize,
    },
    /// No workspaces are listed any more, but gateways go on asking for keys.
    KeysDropped,
}

impl Fault {
    /// Returns the severity of the fault.
    pub fn severity(&self) -> Severity {
        match self {
            Self::DuplicateName
            | Self::NoService
            | Self::UnknownService(_)
            | Self::KeyHeldTwice { .. }
            | Self::Zero(_)
            | Self::BodyTooLarge { .. }
            | Self::VersionNotHigher { .. }
            | Self::KeysDropped => Severity::Error,
            Self::Shadowed { .. }
            | Self::KeyRepeated
            | Self::UnmatchedHost
            | Self::UppercaseHost
            | Self::NoLeadingSlash
            | Self::NoTrailingSlash
            | Self::ZeroWeight(_)
            | Self::UnusedService
            | Self::TargetAboveTimeout { .. }
            | Self::PauseAboveTimeout { .. } => Severity::Warning,
            Self::Added | Self::Removed | Self::Changed { .. } | Self::KeysChanged { .. } => {
                Severity::Change
            }
        }
    }

    /// Returns the name for machine-readable output.
    pub fn name(&self) -> &'static str {
        match self {
            Self::DuplicateName => "duplicate_name",
            Self::NoService => "no_service",
            Self::UnknownService(_) => "unknown_service",
            Self::KeyHeldTwice { .. } => "key_held_twice",
            Self::KeyRepeated => "key_repeated",
            Self::Zero(_) => "zero",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::Shadowed { .. } => "shadowed",
            Self::UnmatchedHost => "unmatched_host",
            Self::UppercaseHost => "uppercase_host",
            Self::NoLeadingSlash => "no_leading_slash",
            Self::NoTrailingSlash => "no_trailing_slash",
            Self::ZeroWeight(_) => "zero_weight",
            Self::UnusedService => "unused_service",
            Self::TargetAboveTimeout { .. } => "target_above_timeout",
            Self::PauseAboveTimeout { .. } => "pause_above_timeout",
            Self::VersionNotHigher { .. } => "version_not_higher",
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed { .. } => "changed",
            Self::KeysChanged { .. } => "keys_changed",
            Self::KeysDropped => "keys_dropped",
        }
    }

    /// Returns what to do; none for a change.
    pub fn remedy(&self) -> Option<&'static str> {
        Some(match self {
            Self::DuplicateName => "rename or remove one of them",
            Self::NoService => "name a service",
            Self::UnknownService(_) => "list the service, or name a listed one",
            Self::KeyHeldTwice { .. } => "give each workspace a key of its own",
            Self::KeyRepeated => "list each key once",
            Self::Zero(_) => "set it above zero",
            Self::BodyTooLarge { .. } => "lower the limit, or give gateways more memory",
            Self::Shadowed { .. } => "remove one of the routes, or change its host or prefix",
            Self::UnmatchedHost => "give a host name without a port",
            Self::UppercaseHost => "give the host in lower case",
            Self::NoLeadingSlash => "begin the prefix with a slash",
            Self::NoTrailingSlash => "end the prefix with a slash",
            Self::ZeroWeight(_) => "set a weight, or take the service out of the split",
            Self::UnusedService => "remove the service, or add the route that it lacks",
            Self::TargetAboveTimeout { .. } | Self::PauseAboveTimeout { .. } => {
                "lower the target, or raise the time-out"
            }
            Self::VersionNotHigher { .. } => "raise the version",
            Self::KeysDropped => "list the workspaces, with an empty list to let nobody in",
            Self::Added | Self::Removed | Self::Changed { .. } | Self::KeysChanged { .. } => {
                return None;
            }
        })
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateName => write!(f, "the name is used twice"),
            Self::NoService => write!(f, "leads to no service"),
            Self::UnknownService(name) => write!(f, "leads to {name:?}, which isn't listed"),
            Self::KeyHeldTwice { by } => write!(f, "{by:?} holds one of its keys too"),
            Self::KeyRepeated => write!(f, "holds a key twice"),
            Self::Zero(limit) => write!(f, "the {limit} is zero"),
            Self::BodyTooLarge { bytes, max } => {
                write!(f, "a body may have {bytes} bytes, and a gateway can hold {max}")
            }
            Self::Shadowed { by } => write!(f, "never matches: {by:?} has its host and prefix"),
            Self::UnmatchedHost => write!(f, "never matches: no request has its host"),
            Self::UppercaseHost => write!(f, "matches only requests that spell its host so"),
            Self::NoLeadingSlash => {
                write!(f, "never matches: its prefix doesn't begin with a slash")
            }
            Self::NoTrailingSlash => {
                write!(f, "matches longer names too: its prefix doesn't end with a slash")
            }
            Self::ZeroWeight(name) => write!(f, "gives {name:?} no requests: its weight is 0"),
            Self::UnusedService => write!(f, "no route leads to it"),
            Self::TargetAboveTimeout { target_ms, timeout_ms } => {
                write!(f, "the target of {target_ms} ms is above the time-out of {timeout_ms} ms")
            }
            Self::PauseAboveTimeout { pause_ms, timeout_ms } => write!(
                f,
                "the target of {pause_ms} ms for pauses is above the time-out of {timeout_ms} ms"
            ),
            Self::VersionNotHigher { version, in_force } => {
                write!(f, "version {version} isn't above {in_force}, which is in force")
            }
            Self::Added => write!(f, "added"),
            Self::Removed => write!(f, "removed"),
            Self::Changed { what, from, to } => write!(f, "{what}: {from} -> {to}"),
            Self::KeysChanged { added, removed } => {
                write!(f, "keys: {added} added, {removed} removed")
            }
            Self::KeysDropped => {
                write!(f, "lists no workspaces, but gateways go on asking for keys")
            }
        }
    }
}

/// One result of a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The entry.
    pub entry: Entry,
    /// What is wrong with it, or different.
    pub fault: Fault,
}

impl Finding {
    /// Returns how bad it is.
    pub fn severity(&self) -> Severity {
        self.fault.severity()
    }
}
