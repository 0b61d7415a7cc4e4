//! Internal HTTP calls: readiness checks of the platform, and state requests of other VMs.

use {
    crate::{
        process::Node,
        request::{CARRY_OVERHEAD, CARRY_PATH, serve_carried},
    },
    async_io::Async,
    clock::timeout,
    h1::{BodyReader, Conn, ResponseHead, request_framing},
    std::{future::Future, net::TcpListener, pin::Pin, sync::Arc, time::Duration},
    types::Bytes,
};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for receiving a body and for sending a response.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Largest head of a request.
const MAX_HEAD: Bytes = Bytes(8 * 1024);
/// Largest body of a request.
const MAX_BODY: Bytes = Bytes(1024 * 1024);

/// Future of the status and body of a response.
pub(crate) type InternalFuture = Pin<Box<dyn Future<Output = (u16, Vec<u8>)> + Send>>;
/// Answers a request by its path and body.
pub(crate) type InternalHandler = Arc<dyn Fn(&str, Vec<u8>) -> InternalFuture + Send + Sync>;

/// Who calls an internal address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Audience {
    /// The platform, which checks readiness.
    Platform,
    /// Other VMs, which may send requests to be carried.
    Vms,
}

/// Accepts internal connections until it is dropped.
pub(crate) async fn serve_internal(
    node: Arc<Node>,
    listener: Async<TcpListener>,
    handler: InternalHandler,
    audience: Audience,
) {
    loop {
        let conn = match listener.accept().await {
            Ok((socket, _)) => Conn::new(socket),
            Err(e) => Err(e),
        };
        match conn {
            Ok(conn) => {
                let work = serve_connection(node.clone(), conn, handler.clone(), audience);
                node.executor.spawn(work).detach();
            }
            Err(e) => {
                log::warn!(error:% = e; "cannot accept an internal connection");
                node.clock.sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    node: Arc<Node>,
    mut conn: Conn,
    handler: InternalHandler,
    audience: Audience,
) {
    while serve_call(&node, &mut conn, &handler, audience)
        .await
        .is_some()
    {}
}

/// Serves one request; `None` if the connection has to be closed.
async fn serve_call(
    node: &Arc<Node>,
    conn: &mut Conn,
    handler: &InternalHandler,
    audience: Audience,
) -> Option<()> {
    let read = timeout(&*node.clock, IDLE_TIMEOUT, conn.request_head(MAX_HEAD)).await;
    let head = read.ok()?.ok()?.ok()??;
    let mut reader = BodyReader::new(request_framing(&head).ok()?);
    let carries = audience == Audience::Vms && head.path() == CARRY_PATH;
    let max_body = if carries {
        Bytes(node.caller_limits().body.0 + CARRY_OVERHEAD.0)
    } else {
        MAX_BODY
    };
    let body = timeout(
        &*node.clock,
        TRANSFER_TIMEOUT,
        reader.read_all(conn, max_body),
    )
    .await;
    if carries {
        return serve_carried(node, conn, &body.ok()?.ok()?).await;
    }
    let (status, body) = handler(head.path(), body.ok()?.ok()?).await;
    let mut response = ResponseHead::new(status);
    response
        .headers
        .push("Content-Length", body.len().to_string());
    let mut bytes = Vec::with_capacity(128 + body.len());
    response.write(&mut bytes);
    bytes.extend_from_slice(&body);
    let written = timeout(&*node.clock, TRANSFER_TIMEOUT, conn.write_all(&bytes)).await;
    written.ok()?.ok()?;
    head.keeps_alive().then_some(())
}
