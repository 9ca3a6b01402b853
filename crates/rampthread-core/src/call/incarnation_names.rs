//! Starts of a back end that share a name, told apart by the ends that were seen: a
//! report that names no start may be of any, and the next one answers under the name of
//! the one that has ended.

use crate::ids::InstanceId;
/// Stands between the name and the number of the start.
const SEPARATOR: &str = ".start-";
/// The starts under the name that was counted last.
#[derive(Debug, Default)]
pub struct IncarnationNames {
    name: Option<InstanceId>,
    ended: u64,
}
impl IncarnationNames {
    /// The present start of the back end that calls itself `name`: the bare name until
    /// one is known to have ended.
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
    /// The present start of the back end that calls itself `name` has ended.
    pub fn note_end(&mut self, name: &InstanceId) {
        if self.name.as_ref() != Some(name) {
            self.name = Some(name.clone());
            self.ended = 0;
        }
        self.ended += 1;
    }
}
