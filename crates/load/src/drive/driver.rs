//! Sends the arrivals of a plan at their times, whatever becomes of earlier ones.

use {
    super::{Sample, send::send},
    crate::plan::{Arrival, LoadPlan},
    async_executor::Executor,
    clock::{Instant, SharedClock},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    wire::Client,
};

/// Interval of progress lines on long runs.
const PROGRESS: Duration = Duration::from_secs(10);

/// Drives one load.
pub struct Driver {
    clock: SharedClock,
    ex: Arc<Executor<'static>>,
    client: Client,
    failover: bool,
}

impl Driver {
    /// A driver whose requests run on `ex`.
    pub fn new(clock: SharedClock, ex: Arc<Executor<'static>>) -> Self {
        let client = Client::new(clock.clone());
        Self {
            clock,
            ex,
            client,
            failover: false,
        }
    }

    /// Passes a request to the next entry when one refuses the connection, as a balancer does.
    #[must_use]
    pub fn with_failover(mut self) -> Self {
        self.failover = true;
        self
    }

    /// Sends all arrivals and waits for their outcomes.
    pub async fn run(&self, plan: &LoadPlan) -> Vec<Sample> {
        let start = self.clock.now();
        let plan = Arc::new(plan.clone());
        let mut tasks = Vec::new();
        let mut shown = start;
        for (turn, arrival) in plan.arrivals().into_iter().enumerate() {
            let due = start + arrival.at;
            let now = self.clock.now();
            if now < due {
                self.clock.sleep(due.since(now)).await;
            }
            if now.since(shown) >= PROGRESS {
                shown = now;
                eprintln!(
                    "{:>6.0} s of {:.0}: {} sent",
                    now.since(start).as_secs_f64(),
                    plan.seconds,
                    turn
                );
            }
            let entries = self.entries(&plan, turn);
            tasks.push(self.ex.spawn(self.one(plan.clone(), arrival, entries, due)));
        }
        let mut samples = Vec::with_capacity(tasks.len());
        for task in tasks {
            samples.push(task.await);
        }
        samples
    }

    /// Entries that the request of this turn may go to, in order.
    fn entries(&self, plan: &LoadPlan, turn: usize) -> Vec<SocketAddr> {
        let count = if self.failover { plan.entries.len() } else { 1 };
        let turns = turn..turn + count;
        turns
            .map(|t| plan.entries[t % plan.entries.len()])
            .collect()
    }

    fn one(
        &self,
        plan: Arc<LoadPlan>,
        arrival: Arrival,
        entries: Vec<SocketAddr>,
        due: Instant,
    ) -> impl Future<Output = Sample> + Send + 'static {
        let (client, clock) = (self.client.clone(), self.clock.clone());
        async move { send(&client, &clock, &plan, &arrival, &entries, due).await }
    }
}
