//! What all interfaces for callers share: the endpoint, reading of bodies, header fields and error answers.

pub mod body;
pub mod endpoint;
pub mod failure;
pub mod headers;

pub use self::body::Body;
