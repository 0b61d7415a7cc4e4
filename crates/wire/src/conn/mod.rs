//! What lives for a connection: the socket, its head guard and the stop signal.

mod head;
mod replay;
mod stop;
mod stream;

pub use stop::Stop;
pub(crate) use {
    head::{Framing, Head, HeadError, HeadKind},
    replay::Replay,
    stream::Conn,
};
