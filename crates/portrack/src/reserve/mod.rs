//! The entry node's side of a reservation: which engine to ask, when to ask again, when to stop.

mod action;
mod patience;
mod request;
mod spec;

pub use action::Action;
pub use patience::Patience;
pub use request::Request;
pub use spec::{Grant, Spec, Token};
