//! What lives as long as a connection.

mod front;
mod pages;
mod session;

pub(crate) use {
    front::{listen, serve_front},
    pages::{Answering, Page, serve_pages},
};
