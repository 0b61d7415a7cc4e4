//! What lives for a connection: the socket, its head guard and the stop signal.

mod head;
mod replay;
mod stop_signal;
mod stream;

pub use stop_signal::StopSignal;
pub(crate) use {
    head::{Framing, Head, HeadError, HeadKind},
    replay::Replay,
    stream::Conn,
};
