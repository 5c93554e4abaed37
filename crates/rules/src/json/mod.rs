//! JSON of the `rules/...` topics, in and out.

mod answer;
mod draft;

pub use answer::{NO_MAJORITY, show};
pub use draft::{Draft, read};
