//! Accepts connections until the stop signal, then waits until the open ones have ended.

use {
    super::{Handler, ServerLimits, session::Session},
    crate::conn::{SharedStream, StopSignal},
    async_executor::Executor,
    async_io::Async,
    clock::SharedClock,
    event_listener::Event,
    futures_lite::FutureExt,
    std::{
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Delay after a failed accept, so that a lack of file descriptors does not make the loop spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Counts open connections; the event is notified whenever one ends.
#[derive(Debug, Default)]
struct OpenConnections {
    count: AtomicUsize,
    changed: Event,
}

/// Removes one connection from the count when it is dropped.
struct ConnectionGuard(Arc<OpenConnections>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::SeqCst);
        self.0.changed.notify(usize::MAX);
    }
}

/// An HTTP server on one address.
pub struct Server {
    listener: Async<TcpListener>,
    handler: Arc<dyn Handler>,
    limits: ServerLimits,
    clock: SharedClock,
    stop: StopSignal,
    draining: StopSignal,
    open: Arc<OpenConnections>,
}

impl Server {
    /// Binds `addr`; port 0 selects a free port.
    pub fn bind(
        addr: SocketAddr,
        handler: Arc<dyn Handler>,
        limits: ServerLimits,
        clock: SharedClock,
        stop: StopSignal,
    ) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(addr)?;
        Ok(Self {
            listener,
            handler,
            limits,
            clock,
            draining: stop.clone(),
            stop,
            open: Arc::default(),
        })
    }

    /// Sets a signal after which responses ask callers to close their connections, while new
    /// connections are still accepted. Without it, responses do so only after the stop signal.
    #[must_use]
    pub fn drain_signal(mut self, draining: StopSignal) -> Self {
        self.draining = draining;
        self
    }

    /// The bound address.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Serves until the stop signal is set and all connections have ended.
    pub async fn run(self, ex: &Executor<'static>) {
        loop {
            let accept = async { Some(self.listener.accept().await) };
            let stopped = async {
                self.stop.wait().await;
                None
            };
            match accept.or(stopped).await {
                None => break,
                Some(Ok((stream, _))) => self.spawn(ex, stream),
                Some(Err(e)) => {
                    log::warn!(error:% = e; "cannot accept a connection");
                    self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Closing the listener resets the connections that wait in its queue.
        self.accept_waiting(ex);
        drop(self.listener);
        loop {
            let changed = self.open.changed.listen();
            if self.open.count.load(Ordering::SeqCst) == 0 {
                return;
            }
            changed.await;
        }
    }

    /// Accepts the connections that callers have opened already.
    fn accept_waiting(&self, ex: &Executor<'static>) {
        loop {
            let accepted = self.listener.get_ref().accept();
            match accepted.and_then(|(stream, _)| Async::new(stream)) {
                Ok(stream) => self.spawn(ex, stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    log::warn!(error:% = e; "cannot accept the last connections");
                    return;
                }
            }
        }
    }

    fn spawn(&self, ex: &Executor<'static>, stream: Async<TcpStream>) {
        if self.open.count.load(Ordering::SeqCst) >= self.limits.max_connections {
            metrics::counter!("celerystage_connections_refused_total").increment(1);
            return;
        }
        let Ok(conn) = SharedStream::new(stream) else {
            return;
        };
        self.open.count.fetch_add(1, Ordering::SeqCst);
        let guard = ConnectionGuard(self.open.clone());
        let session = Session {
            conn,
            handler: self.handler.clone(),
            limits: self.limits,
            clock: self.clock.clone(),
            stop: self.stop.clone(),
            draining: self.draining.clone(),
        };
        ex.spawn(async move {
            session.run().await;
            drop(guard);
        })
        .detach();
    }
}
