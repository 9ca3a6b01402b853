//! Numbered requests, backends and times for tests of crashes.

use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::ids::InstanceId;
use rampthread_core::time::Moment;
use std::time::Duration;

pub const HOUR: Duration = Duration::from_secs(3_600);
/// Present time of the tests. The time since zero is longer than any table keeps its records.
pub const NOW: Moment = Moment(10 * 3_600_000_000);

pub fn identity(number: u16) -> RequestIdentity {
    let mut bytes = [0; 16];
    bytes[..2].copy_from_slice(&number.to_le_bytes());
    RequestIdentity::from_bytes(&bytes).unwrap()
}

pub fn instance(number: u32) -> InstanceId {
    InstanceId::new(&format!("i-{number}")).unwrap()
}
