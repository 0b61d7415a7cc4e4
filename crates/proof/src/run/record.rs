//! What the stand-ins recorded.

use {
    super::bench::Bench,
    crate::scenario::ast::{Line, Place},
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
pub(super) struct Ran {
    pub(super) endpoint: usize,
    pub(super) id: Option<RequestId>,
    pub(super) headers: Vec<(CompactString, CompactString)>,
    /// Method, path and body of a plain request.
    pub(super) plain: Option<(CompactString, CompactString, CompactString)>,
    /// Tokens made.
    pub(super) made: u64,
}

impl Ran {
    /// Organisation that the system named.
    pub(super) fn org(&self) -> Option<&str> {
        let named = self.headers.iter().find(|(n, _)| n == ORG_HEADER);
        named.map(|(_, v)| v.as_str())
    }
}

/// Counts at one time, to compare with later ones.
#[derive(Debug, Clone)]
pub(super) struct Mark {
    pub(super) ran: Vec<Ran>,
}

impl Mark {
    /// Executions at one endpoint.
    pub(super) fn at(&self, endpoint: usize) -> usize {
        self.ran.iter().filter(|r| r.endpoint == endpoint).count()
    }

    /// Executions and tokens of one organisation.
    pub(super) fn of(&self, org: &str) -> (usize, u64) {
        let own = self.ran.iter().filter(|r| r.org() == Some(org));
        own.fold((0, 0), |(n, made), r| (n + 1, made + r.made))
    }
}

impl Bench {
    /// Reads every endpoint's record.
    pub(super) fn record(&self) -> Result<Mark> {
        let mut ran = Vec::new();
        for (endpoint, site) in self.sites.iter().enumerate() {
            match site.line {
                Line::Engine => {
                    let all: Vec<engine::ExecutedCompletion> = self.fetch(site.addr)?;
                    ran.extend(all.into_iter().map(|e| Ran {
                        endpoint,
                        id: Some(e.id),
                        headers: e.headers,
                        plain: None,
                        made: e.generated,
                    }));
                }
                _ => {
                    let all: Vec<service::ExecutedRequest> = self.fetch(site.addr)?;
                    ran.extend(all.into_iter().map(|e| Ran {
                        endpoint,
                        id: e.id,
                        headers: e.headers,
                        plain: Some((e.method, e.path, e.body)),
                        made: 0,
                    }));
                }
            }
        }
        Ok(Mark { ran })
    }

    fn fetch<T: DeserializeOwned>(&self, addr: SocketAddr) -> Result<T> {
        let call = Call::new(addr, Method::Get, "/record");
        let (_, bytes) = self.cluster.http.send(call)?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Endpoints of a kind that a place means.
    pub(super) fn meant(&self, line: Line, place: &Place) -> Vec<usize> {
        let sites = self.sites.iter().enumerate();
        let meant = sites.filter(|(_, s)| s.line == line && place.holds(&s.zone, s.index));
        meant.map(|(i, _)| i).collect()
    }
}
