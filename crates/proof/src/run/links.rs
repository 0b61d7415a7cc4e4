//! The fault proxy's process, and the links that a scenario puts between the system's parts.

use {
    crate::{LinkFaults, LinkId, OpenedLink, ProxyCommand, scenario::ast::Line},
    eyre::Result,
    harness::{ChildProcess, HttpClient},
    std::net::SocketAddr,
    types::ZoneId,
};

/// Calls to the fault proxy.
#[derive(Clone)]
pub(super) struct Proxy {
    http: HttpClient,
    control: SocketAddr,
}

impl Proxy {
    /// Starts a fault proxy.
    pub(super) fn start(http: HttpClient) -> Result<(ChildProcess, Self)> {
        let proc = ChildProcess::start("faultproxy", &["--threads", "2"])?;
        let control = proc.wait_addr("control")?;
        Ok((proc, Self { http, control }))
    }

    fn send(&self, control: &ProxyCommand) -> Result<Vec<u8>> {
        self.http.post(self.control, "/control", control)
    }

    pub(super) fn open(&self, targets: Vec<SocketAddr>) -> Result<OpenedLink> {
        Ok(serde_json::from_slice(
            &self.send(&ProxyCommand::Open(targets))?,
        )?)
    }

    pub(super) fn targets(&self, link: LinkId, targets: Vec<SocketAddr>) -> Result<()> {
        self.send(&ProxyCommand::Targets(link, targets)).map(drop)
    }

    pub(super) fn faults(&self, link: LinkId, faults: LinkFaults) -> Result<()> {
        self.send(&ProxyCommand::Faults(link, faults)).map(drop)
    }

    pub(super) fn reset(&self, link: LinkId) -> Result<()> {
        self.send(&ProxyCommand::Reset(link)).map(drop)
    }
}

/// A link and what it stands before.
#[derive(Debug, Clone)]
pub(super) struct Placement {
    pub(super) line: Line,
    pub(super) zone: ZoneId,
    /// Number within the zone, from 1.
    pub(super) index: usize,
    pub(super) link: LinkId,
}
