//! Open-loop driver: sends each arrival of a plan on time, without waiting for earlier responses.

use {
    super::{Sample, send::send},
    crate::plan::{Arrival, LoadPlan},
    async_executor::Executor,
    clock::{Instant, SharedClock},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    wire::Client,
};

/// Interval of progress lines on long runs.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(10);

/// Sends loads and collects their samples.
pub struct Driver {
    clock: SharedClock,
    ex: Arc<Executor<'static>>,
    client: Client,
    failover: bool,
}

impl Driver {
    /// Creates a driver whose requests run on `ex`.
    pub fn new(clock: SharedClock, ex: Arc<Executor<'static>>) -> Self {
        let client = Client::new(clock.clone());
        Self {
            clock,
            ex,
            client,
            failover: false,
        }
    }

    /// Sends a request to the next entry if one refuses the connection, as a load balancer does.
    #[must_use]
    pub fn with_failover(mut self) -> Self {
        self.failover = true;
        self
    }

    /// Sends all arrivals and waits for their responses.
    pub async fn run(&self, plan: &LoadPlan) -> Vec<Sample> {
        let start = self.clock.now();
        let plan = Arc::new(plan.clone());
        let mut tasks = Vec::new();
        let mut last_progress = start;
        for (position, arrival) in plan.arrivals().into_iter().enumerate() {
            let due = start + arrival.at;
            let now = self.clock.now();
            if now < due {
                self.clock.sleep(due.since(now)).await;
            }
            if now.since(last_progress) >= PROGRESS_INTERVAL {
                last_progress = now;
                eprintln!(
                    "{:>6.0} s of {:.0}: {} sent",
                    now.since(start).as_secs_f64(),
                    plan.seconds,
                    position
                );
            }
            let entries = self.entries(&plan, position);
            tasks.push(
                self.ex
                    .spawn(self.send_arrival(plan.clone(), arrival, entries, due)),
            );
        }
        let mut samples = Vec::with_capacity(tasks.len());
        for task in tasks {
            samples.push(task.await);
        }
        samples
    }

    /// Entries to try, in order, for the arrival at this position in the plan.
    fn entries(&self, plan: &LoadPlan, position: usize) -> Vec<SocketAddr> {
        let count = if self.failover { plan.entries.len() } else { 1 };
        let positions = position..position + count;
        positions
            .map(|t| plan.entries[t % plan.entries.len()])
            .collect()
    }

    fn send_arrival(
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
