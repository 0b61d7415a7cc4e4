//! One VM: an entry and a steward.

use {
    crate::process::HttpClient,
    crate::process::{ChildProcess, wait_until},
    eyre::Result,
    std::{fs, net::SocketAddr, path::PathBuf},
    types::{VmId, ZoneId},
};

/// Secret that the processes of a cluster share.
pub const MESH_SECRET: &str = "only-for-tests-and-demos";

/// One VM: an entry and a steward, with their settings files.
pub struct ClusterVm {
    /// Identifier.
    pub vm: VmId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the system's other processes.
    pub mesh: SocketAddr,
    /// Admin address of the entry.
    pub admin: SocketAddr,
    /// Where this VM reaches the platform.
    pub platform: SocketAddr,
    /// The entry.
    pub entry: ChildProcess,
    /// The steward.
    pub steward: Option<ChildProcess>,
    folder: PathBuf,
    extra: String,
}

impl ClusterVm {
    /// Starts the entry of a VM; kernel-chosen ports.
    pub(super) fn start(
        folder: PathBuf,
        vm: VmId,
        zone: ZoneId,
        platform: SocketAddr,
        extra: &str,
    ) -> Result<Self> {
        let extra = format!("platform: {platform}\n{extra}");
        let any = "127.0.0.1:0".parse()?;
        let entry = start_entry(&folder, &vm, &zone, [any; 3], &extra)?;
        let callers = entry.wait_addr("callers")?;
        let mesh = entry.wait_addr("mesh")?;
        let admin = entry.wait_addr("admin")?;
        Ok(Self {
            vm,
            zone,
            callers,
            mesh,
            admin,
            platform,
            entry,
            steward: None,
            folder,
            extra,
        })
    }

    /// Starts the entry again on the same addresses.
    pub fn restart_entry(&mut self) -> Result<()> {
        let addrs = [self.admin, self.callers, self.mesh];
        self.entry = start_entry(&self.folder, &self.vm, &self.zone, addrs, &self.extra)?;
        self.entry.wait_addr("mesh")?;
        Ok(())
    }

    /// Starts the steward.
    pub fn start_steward(&mut self, platform: SocketAddr, extra: &str) -> Result<()> {
        let path = self.folder.join(format!("{}-steward.yaml", self.vm));
        let text = format!(
            "process:\n  admin: 127.0.0.1:0\n  threads: 1\nvm: {}\nzone: {}\nentry: {}\n\
             platform: {platform}\nsecrets: [{MESH_SECRET}]\n{extra}\n",
            self.vm, self.zone, self.mesh
        );
        fs::write(&path, text)?;
        let path = path.display().to_string();
        self.steward = Some(ChildProcess::start(
            "celery-steward",
            &["--settings", &path],
        )?);
        Ok(())
    }

    /// Waits until the entry takes callers' requests.
    pub fn wait_ready(&self, http: &HttpClient) -> Result<()> {
        let what = format!("{} is ready", self.vm);
        wait_until(&what, || http.status(self.admin, "/readyz") == Some(200))
    }
}

fn start_entry(
    folder: &std::path::Path,
    vm: &VmId,
    zone: &ZoneId,
    [admin, callers, mesh]: [SocketAddr; 3],
    extra: &str,
) -> Result<ChildProcess> {
    let path = folder.join(format!("{vm}-entry.yaml"));
    let mut text = format!(
        "process:\n  admin: {admin}\n  threads: 2\nvm: {vm}\nzone: {zone}\ncallers: {callers}\n\
         mesh: {mesh}\nsecrets: [{MESH_SECRET}]\ndrain_ms: 200\n{extra}\n"
    );
    if !extra.contains("gossip_ms:") {
        text.push_str("gossip_ms: 250\n");
    }
    fs::write(&path, text)?;
    let path = path.display().to_string();
    ChildProcess::start("celery-entry", &["--settings", &path])
}
