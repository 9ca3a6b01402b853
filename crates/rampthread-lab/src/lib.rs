//! Everything around rampthread that is not rampthread: stand-ins for the
//! platform and the back ends, load, experiments, the demo.

pub mod demo;
pub mod experiments;
pub mod fleet;
pub mod load;
pub mod standins;
