//! One link: a listening port, its targets and its faults.

use {
    super::{
        connection::Connection,
        control::{HeldDirection, LinkFaults},
    },
    async_executor::Executor,
    async_io::Async,
    clock::{SharedClock, timeout},
    event_listener::Event,
    parking_lot::Mutex,
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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A listening port that forwards connections to its targets under its faults.
pub(super) struct Link {
    pub(super) clock: SharedClock,
    pub(super) ex: Arc<Executor<'static>>,
    targets: Mutex<Vec<SocketAddr>>,
    faults: Mutex<LinkFaults>,
    /// Index of the target that the next connection tries first.
    next_target: AtomicUsize,
    /// Number of resets so far.
    resets: AtomicUsize,
    /// Notified when the faults change or the link is reset.
    changed: Event,
}

impl Link {
    pub(super) fn new(
        clock: SharedClock,
        ex: Arc<Executor<'static>>,
        targets: Vec<SocketAddr>,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            ex,
            targets: Mutex::new(targets),
            faults: Mutex::default(),
            next_target: AtomicUsize::new(0),
            resets: AtomicUsize::new(0),
            changed: Event::new(),
        })
    }

    pub(super) fn set_targets(&self, targets: Vec<SocketAddr>) {
        *self.targets.lock() = targets;
    }

    pub(super) fn set_faults(&self, faults: LinkFaults) {
        *self.faults.lock() = faults;
        self.changed.notify(usize::MAX);
    }

    pub(super) fn faults(&self) -> LinkFaults {
        self.faults.lock().clone()
    }

    pub(super) fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Resolves at the next reset of the link.
    pub(super) async fn wait_for_reset(&self) {
        let before = self.resets.load(Ordering::SeqCst);
        loop {
            let changed = self.changed.listen();
            if self.resets.load(Ordering::SeqCst) != before {
                return;
            }
            changed.await;
        }
    }

    /// Waits while bytes in `direction` are held back.
    pub(super) async fn wait_for_release(&self, direction: HeldDirection) {
        loop {
            let changed = self.changed.listen();
            let hold = self.faults.lock().hold;
            if hold != HeldDirection::Both && hold != direction {
                return;
            }
            changed.await;
        }
    }

    /// Takes the faults that apply to a counted number of connections, for a new connection:
    /// whether its response is lost, and whether its request is repeated.
    pub(super) fn take_counted_faults(&self) -> (bool, bool) {
        let mut faults = self.faults.lock();
        let taken = (faults.lose_answers > 0, faults.repeat > 0);
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        faults.repeat = faults.repeat.saturating_sub(1);
        taken
    }

    /// Connects to the next target in rotation that accepts.
    pub(super) async fn connect(&self) -> io::Result<Async<TcpStream>> {
        let targets = self.targets.lock().clone();
        let first = self.next_target.fetch_add(1, Ordering::SeqCst);
        for i in 0..targets.len() {
            let addr = targets[(first + i) % targets.len()];
            let connect = Async::<TcpStream>::connect(addr);
            if let Ok(Ok(stream)) = timeout(&*self.clock, CONNECT_TIMEOUT, connect).await {
                return Ok(stream);
            }
        }
        Err(io::ErrorKind::ConnectionRefused.into())
    }

    /// Accepts connections until accepting fails.
    pub(super) async fn run(self: Arc<Self>, listener: Async<TcpListener>) {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = Connection::new(self.clone(), stream);
            self.ex.spawn(connection.run()).detach();
        }
    }
}
