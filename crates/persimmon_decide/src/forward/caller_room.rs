//! Which open connection gives way when a process has no room for a new one.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::IpAddr;

use super::body_memory::BodyMemory;
use crate::MonoMs;

/// What a caller does on an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerActivity {
    /// Nothing, since its last answer or since the connection was opened.
    Idle,
    /// It has sent a part of a request's head.
    PartialHead,
    /// It has sent a part of a request's body, of which no endpoint has received anything. Begins with the
    /// last bytes.
    PartialBody,
    /// Its request has been answered before the body was complete, and the rest is discarded.
    Answered,
    /// It has a request in progress.
    Request,
}

impl CallerActivity {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::PartialHead => "unfinished_head",
            Self::PartialBody => "unfinished_body",
            Self::Answered => "answered",
            Self::Request => "request",
        }
    }
}

/// An open connection of a caller.
#[derive(Debug, Clone, Copy)]
pub struct OpenConnection<K> {
    /// Key of the connection.
    pub key: K,
    /// Address of the caller.
    pub address: IpAddr,
    /// What the caller does.
    pub activity: CallerActivity,
    /// Start of the activity.
    pub since: MonoMs,
}

/// Age from which an unfinished head gives way before idle connections, in milliseconds. A sound
/// caller's head arrives within a few round trips.
const MIN_HEAD_AGE_MS: u64 = 500;

/// Returns the connection that gives way to a new one; none if each has a complete request in progress.
///
/// Handles callers that open more connections than the process can hold and send only parts of requests,
/// or nothing: a new connection usually has a request. These give way, in this order:
///
/// 1. heads that are unfinished for long,
/// 2. connections with an answer to a request whose rest is discarded, the longest first,
/// 3. bodies that have stalled,
/// 4. idle connections, the longest first,
/// 5. heads that have only just begun,
/// 6. bodies that are still arriving.
///
/// Of unfinished heads and bodies, the one without progress for longest of the address with most of them
/// gives way, so that a slow caller isn't cut for the connections of another.
pub fn connection_to_close<K: Copy>(open: &[OpenConnection<K>], now: MonoMs) -> Option<K> {
    let of = |activity| open.iter().filter(move |it| it.activity == activity);
    let older_than = |ms| move |it: &&OpenConnection<K>| now.ms_since(it.since) >= ms;
    let heads = || of(CallerActivity::PartialHead);
    let bodies = || of(CallerActivity::PartialBody);
    let longest = |activity| of(activity).min_by_key(|it| it.since);
    let chosen = oldest_of_most(heads().filter(older_than(MIN_HEAD_AGE_MS)))
        .or_else(|| longest(CallerActivity::Answered))
        .or_else(|| oldest_of_most(bodies().filter(older_than(BodyMemory::STALL_MS))))
        .or_else(|| longest(CallerActivity::Idle))
        .or_else(|| oldest_of_most(heads()))
        .or_else(|| oldest_of_most(bodies()));
    chosen.map(|it| it.key)
}

/// Returns the oldest connection of the address that has most of these.
fn oldest_of_most<'a, K>(
    connections: impl Iterator<Item = &'a OpenConnection<K>>,
) -> Option<&'a OpenConnection<K>> {
    let connections: Vec<_> = connections.collect();
    let mut counts: HashMap<IpAddr, usize> = HashMap::new();
    for it in &connections {
        *counts.entry(it.address).or_default() += 1;
    }
    connections.into_iter().max_by_key(|it| (counts[&it.address], Reverse(it.since)))
}
