//! Names for the incarnations of a backend that all report the same id and no start time.
//! The next incarnation answers under the id of the one that has ended, so incarnations are
//! told apart by counting the ends that were observed.

use crate::ids::InstanceId;

/// Separates the id of the backend from the number of the incarnation.
const SEPARATOR: &str = ".start-";

/// Names the incarnations of one backend id. Only the ends of the id that was observed last
/// are counted.
#[derive(Debug, Default)]
pub struct IncarnationNames {
    /// Backend id that `ended` counts for.
    name: Option<InstanceId>,
    /// How many incarnations with this id have ended.
    ended: u64,
}

impl IncarnationNames {
    /// Name of the current incarnation of the backend with the id `name`. It is the id
    /// alone until an incarnation is known to have ended, and then the id with a number.
    pub fn present(&self, name: &InstanceId) -> InstanceId {
        if self.name.as_ref() != Some(name) {
            return name.clone();
        }
        let suffix = format!("{SEPARATOR}{}", self.ended + 1);
        let kept = name
            .as_str()
            .len()
            .min(InstanceId::MAX_BYTES - suffix.len());
        let start = format!("{}{suffix}", &name.as_str()[..kept]);
        InstanceId::new(&start).expect("the beginning of a name and a number make a name")
    }

    /// Records that the current incarnation of the backend with the id `name` has ended.
    pub fn note_end(&mut self, name: &InstanceId) {
        if self.name.as_ref() != Some(name) {
            self.name = Some(name.clone());
            self.ended = 0;
        }
        self.ended += 1;
    }
}
