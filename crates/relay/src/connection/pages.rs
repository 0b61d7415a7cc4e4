//! Small pages for the platform and for other VMs: readiness, what this VM knows.

use {
    crate::process::Node,
    async_io::Async,
    clock::within,
    h1::{Conn, ResponseHead},
    std::{net::TcpListener, sync::Arc, time::Duration},
    types::Bytes,
};

/// Time that a connection for pages may stay idle.
const IDLE: Duration = Duration::from_secs(10);
/// Time to send a page.
const WRITE_LIMIT: Duration = Duration::from_secs(3);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Largest head of a request for a page.
const HEAD_LIMIT: Bytes = Bytes(8 * 1024);

/// Makes a page: status and body for a path.
pub(crate) type Page = Arc<dyn Fn(&str) -> (u16, Vec<u8>) + Send + Sync>;

/// Serves pages until it is dropped.
pub(crate) async fn serve_pages(node: Arc<Node>, listener: Async<TcpListener>, page: Page) {
    loop {
        let conn = match listener.accept().await {
            Ok((socket, _)) => Conn::new(socket),
            Err(e) => Err(e),
        };
        match conn {
            Ok(conn) => {
                let work = answer(node.clone(), conn, page.clone());
                node.ex.spawn(work).detach();
            }
            Err(e) => {
                log::warn!(error:% = e; "cannot accept a connection for pages");
                node.clock.sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(node: Arc<Node>, mut conn: Conn, page: Page) {
    loop {
        let read = within(&*node.clock, IDLE, conn.request_head(HEAD_LIMIT)).await;
        let Ok(Ok(Ok(Some(head)))) = read else {
            return;
        };
        let (status, body) = page(head.path());
        let mut answer = ResponseHead::new(status);
        answer
            .headers
            .push("Content-Length", body.len().to_string());
        let mut bytes = Vec::with_capacity(128 + body.len());
        answer.write(&mut bytes);
        bytes.extend_from_slice(&body);
        let written = within(&*node.clock, WRITE_LIMIT, conn.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) || !head.keeps_alive() {
            return;
        }
    }
}
