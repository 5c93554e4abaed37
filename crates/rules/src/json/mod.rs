//! The JSON of the `rules/...` topics: requests and answers.

mod answer;
mod draft;

pub use answer::{NO_MAJORITY, show};
pub use draft::{Draft, read};
