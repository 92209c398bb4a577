//! Stand-in for a backend server: one HTTP server that is both a model engine and a plain service.

mod faults;
mod model;
mod runs;
mod serve;

pub use faults::{Faults, FaultsUpdate};
pub use model::{answer_text, prompt_tokens};
pub use runs::{Run, Runs};
pub use serve::{Engine, Options};
