//! Checked names and numbers that identify things across the fleet.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Longest accepted name, in bytes (the limit of a DNS label, RFC 1035).
pub const MAX_NAME_BYTES: usize = 63;

/// Why a text is not a name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a name: 1 to 63 letters, digits, '-', '_' or '.'")]
pub struct InvalidName {
    /// The refused text, cut to a printable length.
    pub text: String,
}

fn check_name(text: &str) -> Result<(), InvalidName> {
    let length_fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    let alphabet_fits = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
    if length_fits && alphabet_fits {
        return Ok(());
    }
    Err(InvalidName {
        text: text.chars().take(MAX_NAME_BYTES).collect(),
    })
}

macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Longest name, in bytes.
            pub const MAX_BYTES: usize = MAX_NAME_BYTES;

            /// Checks `text` and wraps it.
            pub fn new(text: &str) -> Result<Self, InvalidName> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;
            fn try_from(text: String) -> Result<Self, InvalidName> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The configured identity of a node. It survives a restart of the process.
    NodeId
}
name_type! {
    /// The name of a service, route, secret or back end.
    ResourceName
}
name_type! {
    /// The name of one start of a back end: the id that it gives itself and, where it
    /// says so, when it started (see [`crate::backend_incarnation`]).
    InstanceId
}
name_type! {
    /// The version of the software that a back end runs.
    SoftwareVersion
}
name_type! {
    /// A zone: machines that share power and switches.
    Zone
}
name_type! {
    /// A region: zones with fast links between them.
    Region
}
name_type! {
    /// Names one operator change. It comes from the operator's
    /// `Idempotency-Key`, so the same change sent twice is one version.
    OperationId
}

/// A configuration version: the number of its slot in the change log.
/// Version 0 is the empty configuration before any change.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version before any change.
    pub const ZERO: Version = Version(0);

    /// The version of the next log slot.
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
