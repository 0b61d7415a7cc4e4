//! Accepts connections until the process stops, then waits for the last answers.

use {
    super::{Handler, ServerLimits, session::Session},
    crate::conn::{Conn, StopSignal},
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

/// Pause after a failed accept, so that a lack of descriptors does not spin the loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Counts open connections and wakes whoever waits for the last one.
#[derive(Debug, Default)]
struct Open {
    count: AtomicUsize,
    changed: Event,
}

/// Holds one connection's place in the count.
struct Place(Arc<Open>);

impl Drop for Place {
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
    open: Arc<Open>,
}

impl Server {
    /// Binds `addr`; port 0 takes a free one.
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

    /// Sets a flag from which on answers ask their callers to close, while connections are still
    /// accepted. Without it that begins with the stop.
    #[must_use]
    pub fn drain_signal(mut self, draining: StopSignal) -> Self {
        self.draining = draining;
        self
    }

    /// The bound address.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Serves until the stop flag is set and all connections have ended.
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
                    self.clock.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(self.listener);
        loop {
            let changed = self.open.changed.listen();
            if self.open.count.load(Ordering::SeqCst) == 0 {
                return;
            }
            changed.await;
        }
    }

    fn spawn(&self, ex: &Executor<'static>, stream: Async<TcpStream>) {
        if self.open.count.load(Ordering::SeqCst) >= self.limits.max_connections {
            metrics::counter!("celerystage_connections_refused_total").increment(1);
            return;
        }
        let Ok(conn) = Conn::new(stream) else { return };
        self.open.count.fetch_add(1, Ordering::SeqCst);
        let place = Place(self.open.clone());
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
            drop(place);
        })
        .detach();
    }
}
