//! Client of the fault proxy's process, and the links that a scenario puts between processes.

use {
    crate::{LinkFaults, LinkId, OpenedLink, ProxyCommand, scenario::ast::LinkKind},
    eyre::Result,
    harness::{ChildProcess, HttpClient},
    std::net::SocketAddr,
    types::ZoneId,
};

/// Sends commands to a fault proxy.
#[derive(Clone)]
pub(super) struct ProxyClient {
    http: HttpClient,
    control: SocketAddr,
}

impl ProxyClient {
    /// Starts a fault proxy.
    pub(super) fn start(http: HttpClient) -> Result<(ChildProcess, Self)> {
        let proc = ChildProcess::start("faultproxy", &["--threads", "2"])?;
        let control = proc.wait_addr("control")?;
        Ok((proc, Self { http, control }))
    }

    fn send(&self, command: &ProxyCommand) -> Result<Vec<u8>> {
        self.http.post(self.control, "/control", command)
    }

    pub(super) fn open(&self, targets: Vec<SocketAddr>) -> Result<OpenedLink> {
        Ok(serde_json::from_slice(
            &self.send(&ProxyCommand::Open(targets))?,
        )?)
    }

    pub(super) fn set_targets(&self, link: LinkId, targets: Vec<SocketAddr>) -> Result<()> {
        self.send(&ProxyCommand::Targets(link, targets)).map(drop)
    }

    pub(super) fn set_faults(&self, link: LinkId, faults: LinkFaults) -> Result<()> {
        self.send(&ProxyCommand::Faults(link, faults)).map(drop)
    }

    pub(super) fn reset(&self, link: LinkId) -> Result<()> {
        self.send(&ProxyCommand::Reset(link)).map(drop)
    }
}

/// A link and the VM or endpoint whose connections it carries.
#[derive(Debug, Clone)]
pub(super) struct PlacedLink {
    pub(super) kind: LinkKind,
    pub(super) zone: ZoneId,
    /// Number within the zone, from 1.
    pub(super) index: usize,
    pub(super) link: LinkId,
}
