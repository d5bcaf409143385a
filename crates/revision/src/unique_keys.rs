//! Deserialization of maps and sets that rejects duplicate keys; a plain map would silently keep the last entry.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};

const DUPLICATE_KEY: &str = "occurs twice; name each key once";

struct UniqueMap<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for UniqueMap<T> {
    type Value = BTreeMap<String, T>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a map without duplicate keys")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Self::Value, A::Error> {
        let mut read = BTreeMap::new();
        while let Some(key) = entries.next_key::<String>()? {
            let value = entries.next_value()?;
            if read.contains_key(&key) {
                return Err(A::Error::custom(format_args!("{key:.100} {DUPLICATE_KEY}")));
            }
            read.insert(key, value);
        }
        Ok(read)
    }
}

/// Deserializes a map without duplicate keys.
pub fn unique_map<'de, T, D>(from: D) -> Result<BTreeMap<String, T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    from.deserialize_map(UniqueMap(PhantomData))
}

struct UniqueSet;

impl<'de> Visitor<'de> for UniqueSet {
    type Value = BTreeSet<String>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list without duplicate keys")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut keys: A) -> Result<Self::Value, A::Error> {
        let mut read = BTreeSet::new();
        while let Some(key) = keys.next_element::<String>()? {
            if read.contains(&key) {
                return Err(A::Error::custom(format_args!("{key:.100} {DUPLICATE_KEY}")));
            }
            read.insert(key);
        }
        Ok(read)
    }
}

/// Deserializes a list without duplicate keys.
pub fn unique_set<'de, D: Deserializer<'de>>(from: D) -> Result<BTreeSet<String>, D::Error> {
    from.deserialize_seq(UniqueSet)
}
