//! Small calls of the platform and of other VMs: readiness, news.

use {
    crate::process::Node,
    async_io::Async,
    clock::within,
    h1::{BodyReader, Conn, ResponseHead, request_framing},
    std::{future::Future, net::TcpListener, pin::Pin, sync::Arc, time::Duration},
    types::Bytes,
};

/// Time that a connection may stay idle.
const IDLE: Duration = Duration::from_secs(10);
/// Time to receive a body or to send an answer.
const TRANSFER: Duration = Duration::from_secs(3);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Largest head and body of a call.
const HEAD_LIMIT: Bytes = Bytes(8 * 1024);
const BODY_LIMIT: Bytes = Bytes(1024 * 1024);

/// Status and body of an answer in the making.
pub(crate) type Answering = Pin<Box<dyn Future<Output = (u16, Vec<u8>)> + Send>>;
/// Answers a call, by its path and body.
pub(crate) type Page = Arc<dyn Fn(&str, Vec<u8>) -> Answering + Send + Sync>;

/// Serves calls until it is dropped.
pub(crate) async fn serve_pages(node: Arc<Node>, listener: Async<TcpListener>, page: Page) {
    loop {
        let conn = match listener.accept().await {
            Ok((socket, _)) => Conn::new(socket),
            Err(e) => Err(e),
        };
        match conn {
            Ok(conn) => {
                let work = serve(node.clone(), conn, page.clone());
                node.ex.spawn(work).detach();
            }
            Err(e) => {
                log::warn!(error:% = e; "cannot accept a connection for pages");
                node.clock.sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(node: Arc<Node>, mut conn: Conn, page: Page) {
    while turn(&node, &mut conn, &page).await.is_some() {}
}

/// Answers one call; nothing when the connection is done.
async fn turn(node: &Node, conn: &mut Conn, page: &Page) -> Option<()> {
    let read = within(&*node.clock, IDLE, conn.request_head(HEAD_LIMIT)).await;
    let head = read.ok()?.ok()?.ok()??;
    let mut reader = BodyReader::new(request_framing(&head).ok()?);
    let body = within(&*node.clock, TRANSFER, reader.read_all(conn, BODY_LIMIT)).await;
    let (status, body) = page(head.path(), body.ok()?.ok()?).await;
    let mut answer = ResponseHead::new(status);
    answer
        .headers
        .push("Content-Length", body.len().to_string());
    let mut bytes = Vec::with_capacity(128 + body.len());
    answer.write(&mut bytes);
    bytes.extend_from_slice(&body);
    let written = within(&*node.clock, TRANSFER, conn.write_all(&bytes)).await;
    written.ok()?.ok()?;
    head.keeps_alive().then_some(())
}
