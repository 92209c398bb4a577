//! The manifest that operators submit, the configuration in force, and the settings of a process.

pub mod check;
pub mod clients;
pub mod config;
pub mod delta;
pub mod gateway;
pub mod manifest;
mod schema;
pub mod settings;
mod tree;
