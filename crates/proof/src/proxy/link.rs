//! One link: a listening port, its targets and its faults.

use {
    super::{
        control::{HeldDirection, LinkFaults},
        pump::Pump,
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

const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// One link.
pub(super) struct Link {
    pub(super) clock: SharedClock,
    pub(super) ex: Arc<Executor<'static>>,
    targets: Mutex<Vec<SocketAddr>>,
    faults: Mutex<LinkFaults>,
    turn: AtomicUsize,
    resets: AtomicUsize,
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
            turn: AtomicUsize::new(0),
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

    /// Resolves when the link is reset.
    pub(super) async fn was_reset(&self) {
        let before = self.resets.load(Ordering::SeqCst);
        loop {
            let changed = self.changed.listen();
            if self.resets.load(Ordering::SeqCst) != before {
                return;
            }
            changed.await;
        }
    }

    /// Waits while `direction` is held back.
    pub(super) async fn passes(&self, direction: HeldDirection) {
        loop {
            let changed = self.changed.listen();
            let hold = self.faults.lock().hold;
            if hold != HeldDirection::Both && hold != direction {
                return;
            }
            changed.await;
        }
    }

    /// Takes one of the counted faults of a new connection: answer lost, request repeated.
    pub(super) fn take_counted(&self) -> (bool, bool) {
        let mut faults = self.faults.lock();
        let counted = (faults.lose_answers > 0, faults.repeat > 0);
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        faults.repeat = faults.repeat.saturating_sub(1);
        counted
    }

    /// Connects to the next target that accepts.
    pub(super) async fn connect(&self) -> io::Result<Async<TcpStream>> {
        let targets = self.targets.lock().clone();
        let first = self.turn.fetch_add(1, Ordering::SeqCst);
        for i in 0..targets.len() {
            let addr = targets[(first + i) % targets.len()];
            let connect = Async::<TcpStream>::connect(addr);
            if let Ok(Ok(stream)) = timeout(&*self.clock, CONNECT_LIMIT, connect).await {
                return Ok(stream);
            }
        }
        Err(io::ErrorKind::ConnectionRefused.into())
    }

    /// Accepts connections for as long as the process runs.
    pub(super) async fn run(self: Arc<Self>, listener: Async<TcpListener>) {
        while let Ok((stream, _)) = listener.accept().await {
            let pump = Pump::new(self.clone(), stream);
            self.ex.spawn(pump.run()).detach();
        }
    }
}
