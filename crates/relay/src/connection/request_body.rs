//! Reads the bodies of callers' requests within the memory that they share.

use {
    crate::process::{ByteLease, Node},
    clock::timeout,
    h1::{BodyError, BodyReader, Conn, Framing, RequestHead, request_framing},
    std::{sync::Arc, time::Duration},
    types::Bytes,
};

/// Time within which a request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a body of known length waits for memory. Callers give up a request that isn't read for
/// about a second.
const ROOM_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between two looks for memory.
const ROOM_POLL: Duration = Duration::from_millis(20);
/// A body is held twice while it is sent to an endpoint.
const COPIES: u64 = 2;

/// A request body, and the memory reserved for it.
pub(super) struct RequestBody {
    pub(super) bytes: Vec<u8>,
    pub(super) held: ByteLease,
}

/// Why a request body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFailure {
    /// The connection was lost.
    Lost,
    /// The request is refused with this status and text.
    Invalid(u16, &'static str),
    /// Other bodies take the memory.
    NoRoom,
}

/// Reads the body of a request.
pub(super) async fn read_body(
    node: &Arc<Node>,
    conn: &mut Conn,
    head: &RequestHead,
) -> Result<RequestBody, BodyFailure> {
    let limit = node.caller_limits().body;
    let framing = request_framing(head).map_err(|e| {
        log::debug!(error:% = e; "request refused");
        BodyFailure::Invalid(400, "ambiguous or malformed body length")
    })?;
    let held = node.request_bytes.lease();
    if let Framing::Length(size) = framing {
        if size > limit.0 {
            return Err(BodyFailure::Invalid(413, "body over the size limit"));
        }
        wait_for_room(node, &held, Bytes(size)).await?;
    }
    if head.headers.has_token("expect", "100-continue") {
        let interim = conn.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|_| BodyFailure::Lost)?;
    }
    let mut reader = BodyReader::new(framing);
    let has_room = |size| reserve(&held, size);
    let read = reader.read_within(conn, limit, has_room);
    let bytes = match timeout(&*node.clock, BODY_TIMEOUT, read).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(BodyError::Io(_))) => return Err(BodyFailure::Lost),
        Ok(Err(BodyError::Malformed)) => {
            return Err(BodyFailure::Invalid(400, "malformed chunk"));
        }
        Ok(Err(BodyError::TooLarge)) => {
            return Err(BodyFailure::Invalid(413, "body over the size limit"));
        }
        Ok(Err(BodyError::NoRoom)) => return Err(BodyFailure::NoRoom),
        Err(_) => return Err(BodyFailure::Invalid(408, "body took too long")),
    };
    Ok(RequestBody { bytes, held })
}

/// Reserves the memory for a body of `size` bytes, as soon as there is enough. What waits holds none.
async fn wait_for_room(node: &Arc<Node>, held: &ByteLease, size: Bytes) -> Result<(), BodyFailure> {
    let room = async {
        while !reserve(held, size) {
            node.clock.sleep(ROOM_POLL).await;
        }
    };
    let waited = timeout(&*node.clock, ROOM_TIMEOUT, room).await;
    waited.map_err(|_| BodyFailure::NoRoom)
}

fn reserve(held: &ByteLease, size: Bytes) -> bool {
    held.grow_to(Bytes(size.0.saturating_mul(COPIES)))
}
