//! The entry node's side of a reservation: selects engines, repeats asks and gives up.

mod action;
mod patience;
mod request;
mod spec;

pub use action::Action;
pub use patience::Patience;
pub use request::Request;
pub use spec::{Grant, Spec, Token};
