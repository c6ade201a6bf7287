//! JSON as text that doesn't depend on white space or on the order of members.

use std::fmt;

use serde::de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

/// The text of a JSON value without white space, with members sorted by name and the last one of each name.
///
/// It is written while the value is read: a tree of values takes many times the memory of its text.
#[derive(Debug, Clone)]
pub(crate) struct CanonicalJson(String);

impl CanonicalJson {
    /// Returns the text.
    pub(crate) fn into_text(self) -> String {
        self.0
    }
}

impl Default for CanonicalJson {
    fn default() -> Self {
        Self("null".to_owned())
    }
}

impl<'de> Deserialize<'de> for CanonicalJson {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut text = Vec::new();
        TextWriter(&mut text).deserialize(deserializer)?;
        String::from_utf8(text).map(Self).map_err(D::Error::custom)
    }
}

/// Appends the text of one value.
struct TextWriter<'a>(&'a mut Vec<u8>);

impl TextWriter<'_> {
    fn write<E: Error>(&mut self, value: impl Serialize) -> Result<(), E> {
        serde_json::to_writer(&mut *self.0, &value).map_err(E::custom)
    }
}

impl<'de> DeserializeSeed<'de> for TextWriter<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for TextWriter<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(mut self) -> Result<(), E> {
        self.write(())
    }

    fn visit_bool<E: Error>(mut self, value: bool) -> Result<(), E> {
        self.write(value)
    }

    fn visit_i64<E: Error>(mut self, value: i64) -> Result<(), E> {
        self.write(value)
    }

    fn visit_u64<E: Error>(mut self, value: u64) -> Result<(), E> {
        self.write(value)
    }

    fn visit_f64<E: Error>(mut self, value: f64) -> Result<(), E> {
        self.write(value)
    }

    fn visit_str<E: Error>(mut self, value: &str) -> Result<(), E> {
        self.write(value)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let text = self.0;
        text.push(b'[');
        while seq.next_element_seed(TextWriter(text))?.is_some() {
            text.push(b',');
        }
        close(text, b']');
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let text = self.0;
        let begin = text.len();
        let mut members: Vec<(Box<str>, usize, usize)> = Vec::new();
        while let Some(name) = map.next_key::<String>()? {
            let start = text.len();
            TextWriter(text).write(&name)?;
            text.push(b':');
            map.next_value_seed(TextWriter(text))?;
            members.push((name.into(), start, text.len()));
        }
        members.sort_by(|a, b| a.0.cmp(&b.0));
        let unsorted = text.split_off(begin);
        text.push(b'{');
        for (at, (name, start, end)) in members.iter().enumerate() {
            if members.get(at + 1).is_none_or(|(next, ..)| next != name) {
                text.extend_from_slice(&unsorted[start - begin..end - begin]);
                text.push(b',');
            }
        }
        close(text, b'}');
        Ok(())
    }
}

/// Ends a list in place of the comma behind its last entry.
fn close(text: &mut Vec<u8>, bracket: u8) {
    if text.last() == Some(&b',') {
        text.pop();
    }
    text.push(bracket);
}
