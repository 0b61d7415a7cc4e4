//! Collects what callers and stand-ins recorded in one round.

use {
    crate::pair::KilledEngineRecords,
    eyre::Result,
    harness::Cluster,
    load::Sample,
    standin::{engine, service},
    types::EndpointId,
};

/// Completions that one engine executed.
#[derive(Debug, Clone)]
pub(crate) struct EngineRecord {
    pub(crate) cheap: bool,
    pub(crate) executed: Vec<engine::ExecutedCompletion>,
}

/// The callers' samples and the stand-ins' execution records of one round.
#[derive(Debug, Clone)]
pub struct RoundObservations {
    pub(crate) samples: Vec<Sample>,
    pub(crate) engines: Vec<EngineRecord>,
    pub(crate) services: Vec<service::ExecutedRequest>,
}

impl RoundObservations {
    /// Reads the records of all stand-ins; `killed` holds those of engines killed during the round.
    pub(crate) fn read(
        cluster: &Cluster,
        samples: Vec<Sample>,
        mut killed: KilledEngineRecords,
    ) -> Result<Self> {
        let mut take_killed = |id: &EndpointId| {
            let index = killed.iter().position(|(killed_id, _)| killed_id == id)?;
            Some(killed.swap_remove(index).1)
        };
        let mut engines = Vec::new();
        for endpoint in cluster.engines() {
            let executed = match take_killed(&endpoint.id) {
                Some(executed) => executed,
                None => cluster.http.get(endpoint.addr, "/record")?,
            };
            engines.push(EngineRecord {
                cheap: endpoint.cheap,
                executed,
            });
        }
        let mut services = Vec::new();
        for endpoint in cluster.services() {
            let executed: Vec<service::ExecutedRequest> =
                cluster.http.get(endpoint.addr, "/record")?;
            services.extend(executed);
        }
        Ok(Self {
            samples,
            engines,
            services,
        })
    }
}
