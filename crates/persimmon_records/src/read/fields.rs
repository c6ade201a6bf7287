//! Field-by-field reader of JSON objects, so that a fault in one field doesn't hide faults in the
//! others.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;

use crate::bounds::{MAX_FIELDS, MAX_LIST_ENTRIES};
use crate::fault::{Faults, quote};
use crate::{FaultKind, Place, RecordKind};

/// The fields of one object that haven't been read yet. Each reading method removes its field.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    place: Place,
    prefix: String,
    entries: Vec<(Cow<'a, str>, &'a RawValue)>,
}

impl<'a> Fields<'a> {
    /// Reads the object in `text`. Reports a fault and returns `None` if it isn't an object.
    pub(crate) fn read(text: &'a str, place: Place, faults: &mut Faults) -> Option<Self> {
        Self::read_nested(text, place, String::new(), faults)
    }

    fn read_nested(
        text: &'a str,
        place: Place,
        prefix: String,
        faults: &mut Faults,
    ) -> Option<Self> {
        match serde_json::from_str::<Entries<'a>>(text) {
            Ok(Entries { entries, found }) => {
                if found > MAX_FIELDS {
                    let kind = FaultKind::TooMany { found, max: MAX_FIELDS };
                    faults.push(object_place(place.clone(), &prefix), kind);
                }
                Some(Self { place, prefix, entries })
            }
            Err(error) if error.is_data() => {
                let at = object_place(place, &prefix);
                faults.push(at, FaultKind::wrong_value(&error, "an object"));
                None
            }
            Err(error) => {
                faults.push(place, FaultKind::syntax(&error));
                None
            }
        }
    }

    /// Reports whether the object has a field of this name that hasn't been read.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.entries.iter().any(|(key, _)| key == name)
    }

    /// Returns the place of the field `name`.
    pub(crate) fn place(&self, name: &str) -> Place {
        self.place.clone().with_field(format!("{}{name}", self.prefix))
    }

    /// Adds the record's name to the places of later faults.
    pub(crate) fn set_name(&mut self, name: &str) {
        self.place = self.place.clone().with_name(name);
    }

    /// Removes and returns the unparsed value of the field `name`. Reports a repeated field.
    pub(crate) fn take_raw(&mut self, name: &str, faults: &mut Faults) -> Option<&'a RawValue> {
        let position = self.entries.iter().position(|(key, _)| key == name)?;
        let (_, value) = self.entries.remove(position);
        let before = self.entries.len();
        self.entries.retain(|(key, _)| key != name);
        if self.entries.len() < before {
            faults.push(self.place(name), FaultKind::RepeatedField);
        }
        Some(value)
    }

    /// Reads the field `name`. Returns `None` if it is absent or `null`, and reports a fault if it
    /// can't be read.
    pub(crate) fn optional<T: Deserialize<'a>>(
        &mut self,
        name: &str,
        expected: &'static str,
        faults: &mut Faults,
    ) -> Option<T> {
        let raw = self.take_raw(name, faults)?;
        match serde_json::from_str::<Option<T>>(raw.get()) {
            Ok(value) => value,
            Err(error) => {
                faults.push(self.place(name), FaultKind::wrong_value(&error, expected));
                None
            }
        }
    }

    /// Reads the field `name`. Reports a fault if it is absent or can't be read.
    pub(crate) fn required<T: Deserialize<'a>>(
        &mut self,
        name: &str,
        expected: &'static str,
        faults: &mut Faults,
    ) -> Option<T> {
        if !self.has(name) {
            faults.push(self.place(name), FaultKind::MissingField);
            return None;
        }
        let raw = self.take_raw(name, faults)?;
        match serde_json::from_str(raw.get()) {
            Ok(value) => Some(value),
            Err(error) => {
                faults.push(self.place(name), FaultKind::wrong_value(&error, expected));
                None
            }
        }
    }

    /// Returns the unparsed entries of the list `name`, which is empty if absent. If it has more
    /// than `max` entries, reports a fault and returns the first `max`.
    pub(crate) fn list(
        &mut self,
        name: &str,
        max: usize,
        faults: &mut Faults,
    ) -> Vec<&'a RawValue> {
        let Some(mut list) = self.optional::<List<'a>>(name, "a list", faults) else {
            return Vec::new();
        };
        if list.found > max {
            faults.push(self.place(name), FaultKind::TooMany { found: list.found, max });
            list.entries.truncate(max);
        }
        list.entries
    }

    /// Reads the list `name` of values of one type. Reports the entries that can't be read and
    /// skips them.
    pub(crate) fn values<T: Deserialize<'a>>(
        &mut self,
        name: &str,
        max: usize,
        expected: &'static str,
        faults: &mut Faults,
    ) -> Vec<T> {
        let list = self.list(name, max, faults);
        let mut values = Vec::with_capacity(list.len());
        for (i, raw) in list.into_iter().enumerate() {
            match serde_json::from_str(raw.get()) {
                Ok(value) => values.push(value),
                Err(error) => {
                    let place = self.place(&format!("{name}[{i}]"));
                    faults.push(place, FaultKind::wrong_value(&error, expected));
                }
            }
        }
        values
    }

    /// Reads the fields of the object in the field `name`.
    pub(crate) fn object(&mut self, name: &str, faults: &mut Faults) -> Option<Self> {
        let raw = self.take_raw(name, faults)?;
        let prefix = format!("{}{name}.", self.prefix);
        Self::read_nested(raw.get(), self.place.clone(), prefix, faults)
    }

    /// Reports each remaining field as unknown.
    pub(crate) fn report_unknown(self, faults: &mut Faults) {
        for (name, _) in &self.entries {
            faults.push(self.place(&quote(name)), FaultKind::UnknownField);
        }
    }
}

/// Returns the place of the object whose field names start with `prefix`.
fn object_place(place: Place, prefix: &str) -> Place {
    if prefix.is_empty() { place } else { place.with_field(prefix.trim_end_matches('.')) }
}

/// Name of a field, borrowed from the text unless it contains escapes.
#[derive(Debug, serde::Deserialize)]
struct FieldName<'a>(#[serde(borrow)] Cow<'a, str>);

/// The first [`MAX_FIELDS`] entries of an object, in the order of the text and including repeated
/// names, and the count of all.
#[derive(Debug)]
struct Entries<'a> {
    entries: Vec<(Cow<'a, str>, &'a RawValue)>,
    found: usize,
}

impl<'de> Deserialize<'de> for Entries<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(EntriesVisitor)
    }
}

struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = Entries<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut entries = Vec::new();
        let mut found = 0;
        while let Some((name, value)) = map.next_entry::<FieldName<'de>, &'de RawValue>()? {
            found += 1;
            if found <= MAX_FIELDS {
                entries.push((name.0, value));
            }
        }
        Ok(Entries { entries, found })
    }
}

/// The first [`MAX_LIST_ENTRIES`] entries of a list, and the count of all.
#[derive(Debug)]
struct List<'a> {
    entries: Vec<&'a RawValue>,
    found: usize,
}

impl<'de> Deserialize<'de> for List<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ListVisitor)
    }
}

struct ListVisitor;

impl<'de> Visitor<'de> for ListVisitor {
    type Value = List<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut entries = Vec::new();
        let mut found = 0;
        while let Some(entry) = seq.next_element::<&'de RawValue>()? {
            found += 1;
            if found <= MAX_LIST_ENTRIES {
                entries.push(entry);
            }
        }
        Ok(List { entries, found })
    }
}

/// Reads the fields of the record `raw`, which is at `index` in its list.
pub(crate) fn record<'a>(
    raw: &'a RawValue,
    kind: RecordKind,
    index: usize,
    faults: &mut Faults,
) -> Option<Fields<'a>> {
    Fields::read(raw.get(), Place::at(kind, index), faults)
}
