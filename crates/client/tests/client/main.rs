//! Drives the real client against a scripted stand-in of a router.

mod changes;
mod explain;
mod pages;
mod support;
mod views;
