//! Drives the real client against a scripted stand-in of a router.

mod changes;
mod support;
mod views;
