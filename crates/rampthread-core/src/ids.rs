//! Validated names and version numbers that identify objects across the fleet.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Maximum length of a name, in bytes: the limit of a DNS label (RFC 1035).
pub const MAX_NAME_BYTES: usize = 63;

/// Error for a text that is not a valid name, because of its length or its characters.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a name: 1 to 63 letters, digits, '-', '_' or '.'")]
pub struct InvalidName {
    /// The rejected text, truncated to 63 characters so that it can be logged.
    pub text: String,
}

/// Checks the length and the characters of a name.
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
            /// Maximum length of a name, in bytes.
            pub const MAX_BYTES: usize = MAX_NAME_BYTES;

            /// Checks that `text` has 1 to 63 bytes, all of them letters, digits, `-`, `_`
            /// or `.`.
            pub fn new(text: &str) -> Result<Self, InvalidName> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The validated text.
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
    /// Configured id of a node, stable across restarts of its process.
    NodeId
}
name_type! {
    /// Name of a service, route, secret, backend or tenant.
    ResourceName
}
name_type! {
    /// Name of a backend incarnation: the id that the backend reports and, if it reports
    /// one, its start time (see [`crate::backend_incarnation`]).
    InstanceId
}
name_type! {
    /// Version of the software that a backend runs.
    SoftwareVersion
}
name_type! {
    /// An availability zone: machines that share power and network switches.
    Zone
}
name_type! {
    /// A region: a group of zones with low latency between them.
    Region
}
name_type! {
    /// Id of an operator's change, taken from its `Idempotency-Key` header, so that
    /// repeated submissions produce one version.
    OperationId
}

/// Configuration version: the number of its slot in the change log, or the version of the
/// document. Version 0 is the empty configuration.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Version of the empty configuration, before any change set is applied.
    pub const ZERO: Version = Version(0);

    /// Version of the following slot of the change log.
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
