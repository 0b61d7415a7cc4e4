//! Requests that the endpoints executed, as the stand-ins recorded them.

use {
    super::testbed::Testbed,
    crate::scenario::ast::{LinkKind, Selector},
    compact_str::CompactString,
    eyre::Result,
    http_types::Method,
    serde::de::DeserializeOwned,
    standin::{engine, service},
    std::net::SocketAddr,
    types::RequestId,
    wire::Call,
};

const ORG_HEADER: &str = "x-celerystage-org";

/// One request as an endpoint executed it.
#[derive(Debug, Clone)]
pub(super) struct Execution {
    /// Index of the endpoint.
    pub(super) endpoint: usize,
    pub(super) id: Option<RequestId>,
    pub(super) headers: Vec<(CompactString, CompactString)>,
    /// Method, path and body of a request to a plain service.
    pub(super) plain: Option<(CompactString, CompactString, CompactString)>,
    /// Tokens generated.
    pub(super) tokens: u64,
}

impl Execution {
    /// Organisation that the system named in the request.
    pub(super) fn org(&self) -> Option<&str> {
        let header = self.headers.iter().find(|(n, _)| n == ORG_HEADER);
        header.map(|(_, v)| v.as_str())
    }
}

/// All executions up to one point in time, to compare with later ones.
#[derive(Debug, Clone)]
pub(super) struct Executions {
    pub(super) all: Vec<Execution>,
}

impl Executions {
    /// Number of executions at one endpoint.
    pub(super) fn count_at(&self, endpoint: usize) -> usize {
        self.all.iter().filter(|e| e.endpoint == endpoint).count()
    }

    /// Number of executions and tokens of one organisation.
    pub(super) fn totals_of(&self, org: &str) -> (usize, u64) {
        let own = self.all.iter().filter(|e| e.org() == Some(org));
        own.fold((0, 0), |(n, tokens), e| (n + 1, tokens + e.tokens))
    }
}

impl Testbed {
    /// Reads the records of all endpoints.
    pub(super) fn read_executions(&self) -> Result<Executions> {
        let mut all = Vec::new();
        for (endpoint, placed) in self.endpoints.iter().enumerate() {
            match placed.kind {
                LinkKind::Engine => {
                    let record: Vec<engine::ExecutedCompletion> = self.fetch_record(placed.addr)?;
                    all.extend(record.into_iter().map(|e| Execution {
                        endpoint,
                        id: Some(e.id),
                        headers: e.headers,
                        plain: None,
                        tokens: e.generated,
                    }));
                }
                _ => {
                    let record: Vec<service::ExecutedRequest> = self.fetch_record(placed.addr)?;
                    all.extend(record.into_iter().map(|e| Execution {
                        endpoint,
                        id: e.id,
                        headers: e.headers,
                        plain: Some((e.method, e.path, e.body)),
                        tokens: 0,
                    }));
                }
            }
        }
        Ok(Executions { all })
    }

    fn fetch_record<T: DeserializeOwned>(&self, addr: SocketAddr) -> Result<T> {
        let call = Call::new(addr, Method::Get, "/record");
        let (_, bytes) = self.cluster.http.send(call)?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Indexes of the endpoints of a kind that `selector` selects.
    pub(super) fn endpoints_at(&self, kind: LinkKind, selector: &Selector) -> Vec<usize> {
        let endpoints = self.endpoints.iter().enumerate();
        let selected =
            endpoints.filter(|(_, e)| e.kind == kind && selector.selects(&e.zone, e.index));
        selected.map(|(i, _)| i).collect()
    }
}
