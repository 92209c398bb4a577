//! Decision logic of eelgrasswell. Nothing here opens a socket or reads a clock: callers pass
//! the time and the state, so that tests and experiments can drive every decision directly.

pub mod hash;
pub mod id;
pub mod refusal;
pub mod retry;
pub mod route;
pub mod session;
pub mod unit;
