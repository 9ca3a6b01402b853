//! Durations in texts: whole milliseconds.

use serde::{Deserialize, Deserializer, Serializer};
use std::time::Duration;

pub fn serialize<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u128(time.as_millis())
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
