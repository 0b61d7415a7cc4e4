//! Accepts callers' connections.

use {
    super::session::session,
    crate::process::Node,
    async_io::Async,
    eyre::{Result, WrapErr},
    h1::Conn,
    std::{
        net::{SocketAddr, TcpListener},
        sync::Arc,
        time::Duration,
    },
};

/// Pause after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Share of the file descriptors that callers' connections may use. The rest is for connections to
/// endpoints and the platform.
const CALLER_FD_SHARE: f64 = 0.6;

/// Binds a listener; `role` is for log lines and errors.
pub(crate) fn listen(addr: SocketAddr, role: &'static str) -> Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(addr)
        .wrap_err_with(|| format!("cannot listen on {addr} for {role}"))?;
    log::info!(role = role, addr:% = addr; "listening");
    Ok(listener)
}

/// Accepts callers' connections until it is dropped. At the limit of open connections it stops
/// accepting.
pub(crate) async fn serve_front(node: Arc<Node>, listener: Async<TcpListener>) {
    let max_connections = (f64::from(node.settings.max_fds) * CALLER_FD_SHARE) as usize;
    loop {
        if node.lifecycle.connections() >= max_connections {
            node.clock.sleep(ACCEPT_PAUSE).await;
            continue;
        }
        let conn = match listener.accept().await {
            Ok((socket, _)) => Conn::new(socket),
            Err(e) => Err(e),
        };
        match conn {
            Ok(conn) => {
                let guard = node.lifecycle.open_connection();
                let work = session(node.clone(), conn, guard);
                node.executor.spawn(work).detach();
            }
            Err(e) => {
                log::warn!(error:% = e; "cannot accept a connection");
                node.clock.sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
