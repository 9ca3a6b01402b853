//! Settings of a node: a TOML file, overridden by environment variables, overridden by
//! command-line flags.
//!
//! All errors are reported together with their location. Durations are written like
//! `500ms`, sizes like `8MiB`.

mod collect;
mod load;
mod node_settings;
mod reloadable;
mod resource_file;

pub use load::{LoadError, Overrides, load, load_text};
pub use node_settings::{
    BackendSettings, ConfigurationKind, DrainSettings, FleetTuning, KeySettings, LimitSettings,
    ListenSettings, NodeIdentity, NodeSettings, PlatformSettings, RetrySettings, RolloutSettings,
};
pub use reloadable::{ReloadableSettings, ReloadableValues};
pub use resource_file::{
    ResourceFile, SecretInput, read_resource_json, read_resource_toml, toml_to_json,
};
