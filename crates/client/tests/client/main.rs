//! Tests that run the client program against a fake router.

mod changes;
mod explain;
mod pages;
mod support;
mod views;
