//! Code that all interfaces for callers share: the endpoint, bodies, header fields and error responses.

pub mod body;
pub mod clients;
pub mod endpoint;
pub mod failure;
pub mod headers;

pub use self::body::Body;
