//! Conversion of a set into the values that an operator publishes.

use crate::{
    AdoptError, Change, ChangeSet, Digest, Head, MAX_BULK_HEAD_BYTES, MAX_CHANGES, MAX_HEAD_BYTES,
    MAX_PART_BYTES, RecordSet, SetVersion, part_key,
};

/// One part of a set, to be published under its key before the head that refers to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The digest of the text.
    pub digest: Digest,
    /// The text.
    pub text: String,
}

impl Part {
    fn new(text: String) -> Self {
        Self { digest: Digest::of_text(&text), text }
    }

    /// Returns the key under which the part is published.
    pub fn key(&self) -> String {
        part_key(self.digest)
    }
}

/// The values that an operator publishes: first the new parts, then the head.
#[derive(Debug, Clone, PartialEq)]
pub struct Publication {
    /// The head.
    pub head: Head,
    /// Parts that aren't published yet.
    pub new_parts: Vec<Part>,
}

impl Publication {
    /// Returns the first publication of a set in parts.
    pub fn first(set: &RecordSet) -> Self {
        let version = set.version();
        let change_set = ChangeSet { version, after: version.generation, changes: Vec::new() };
        Self::with_new_base(set, change_set)
    }

    /// Returns the publication of `next`, where `head` published the previous `set`. Adds the
    /// changes to the head. If it then exceeds [`MAX_HEAD_BYTES`], writes all of `next` to new
    /// parts and keeps only the latest changes, for processes that are a few generations behind.
    ///
    /// # Errors
    ///
    /// Returns an error if `set` isn't the set that `head` published, or if `next` isn't newer.
    pub fn next(head: &Head, set: &RecordSet, next: &RecordSet) -> Result<Self, AdoptError> {
        let published = head.version();
        let found = set.version();
        if found != published {
            return Err(AdoptError::Content { published, found: found.digest });
        }
        if next.generation <= set.generation {
            let (published, have) = (next.generation, set.generation);
            return Err(AdoptError::NotNewer { published, have });
        }
        let mut change_set = head.change_set.clone();
        change_set.version = next.version();
        let generation = next.generation;
        let edits = set.edits_to(next).into_iter();
        change_set.changes.extend(edits.map(|edit| Change { generation, edit }));
        let extended = Head { change_set, ..head.clone() };
        if extended.to_text().len() <= MAX_HEAD_BYTES {
            return Ok(Self { head: extended, new_parts: Vec::new() });
        }
        let mut publication = Self::with_new_base(next, extended.change_set);
        publication.head.shorten(MAX_HEAD_BYTES / 2);
        Ok(publication)
    }

    fn with_new_base(set: &RecordSet, change_set: ChangeSet) -> Self {
        let new_parts = split(set, change_set.version);
        let parts = new_parts.iter().map(|part| part.digest).collect();
        Self { head: Head { base: change_set.version, parts, change_set }, new_parts }
    }
}

impl Head {
    /// Drops the oldest generations of changes, which the base already includes, until the head's
    /// text has at most `max_bytes`. Keeps the newest generation, since a process that is one
    /// generation behind would otherwise have to read the whole set. Drops that one too if the head
    /// would still have [`MAX_BULK_HEAD_BYTES`] or more, or more than [`MAX_CHANGES`] changes.
    fn shorten(&mut self, max_bytes: usize) {
        let newest = self.version().generation;
        while self.to_text().len() > max_bytes {
            let Some(oldest) = self.change_set.changes.first() else { return };
            let oldest = oldest.generation;
            if oldest == newest && self.is_below_bulk_limit() {
                return;
            }
            self.change_set.changes.retain(|change| change.generation > oldest);
            self.change_set.after = oldest;
        }
    }

    fn is_below_bulk_limit(&self) -> bool {
        self.change_set.changes.len() <= MAX_CHANGES && self.to_text().len() < MAX_BULK_HEAD_BYTES
    }
}

/// Splits `set` into parts. The text of each part is a set with some of the records.
fn split(set: &RecordSet, version: SetVersion) -> Vec<Part> {
    let mut parts = Vec::new();
    let empty = RecordSet {
        generation: version.generation,
        policy: set.policy.clone(),
        ..RecordSet::empty()
    };
    let mut part = empty.clone();
    let mut bytes = 0;
    for endpoint in &set.endpoints {
        bytes += record_bytes(endpoint);
        if bytes > MAX_PART_BYTES {
            parts.push(Part::new(std::mem::replace(&mut part, empty.clone()).to_text()));
            bytes = record_bytes(endpoint);
        }
        part.endpoints.push(endpoint.clone());
    }
    for workspace in &set.workspaces {
        bytes += record_bytes(workspace);
        if bytes > MAX_PART_BYTES {
            parts.push(Part::new(std::mem::replace(&mut part, empty.clone()).to_text()));
            bytes = record_bytes(workspace);
        }
        part.workspaces.push(workspace.clone());
    }
    parts.push(Part::new(part.to_text()));
    parts
}

/// Returns the number of bytes that a record takes in a JSON list, including the comma.
fn record_bytes<T: serde::Serialize>(record: &T) -> usize {
    serde_json::to_string(record).expect("records have only text keys").len() + 1
}
