//! Parts shared by the client and the server: the socket, the check of message heads, the stream
//! that limits the codec to one message, and the stop signal.

mod head;
mod message_stream;
mod shared_stream;
mod stop_signal;

pub use stop_signal::StopSignal;
pub(crate) use {
    head::{Framing, Head, HeadError, HeadKind},
    message_stream::MessageStream,
    shared_stream::SharedStream,
};
