//! What lives for a request: its caller, its target, its attempts and its answer.

mod caller;
mod front;
mod headers;
mod keyed;
mod model;
mod permit;
mod plain;
mod prompt;
mod stream;
mod work;

pub(crate) use front::Front;
