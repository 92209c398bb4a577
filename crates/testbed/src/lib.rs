//! Stand-ins for the systems outside of eelgrasswell, for tests and experiments.

pub mod platform;
