//! Stand-in of a backend server: a model engine and a plain service in one HTTP server.

mod faults;
mod model;
mod runs;
mod serve;

pub use faults::{Faults, FaultsUpdate};
pub use model::{answer_text, prompt_tokens};
pub use runs::{Run, Runs};
pub use serve::{Engine, Options};
