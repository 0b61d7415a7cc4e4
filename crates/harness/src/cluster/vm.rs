//! One VM of a cluster: an entry and a steward.

use {
    crate::process::{ChildProcess, HttpClient, wait_until},
    eyre::Result,
    std::{fs, net::SocketAddr, path::PathBuf},
    types::{VmId, ZoneId},
};

/// Secret that the processes of a cluster share.
pub const MESH_SECRET: &str = "only-for-tests-and-demos";

/// One VM of a cluster: an entry and a steward, and their settings.
pub struct ClusterVm {
    /// Identifier.
    pub vm: VmId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address on which the entry serves callers.
    pub callers: SocketAddr,
    /// Address on which the entry serves the system's other processes.
    pub mesh: SocketAddr,
    /// Admin address of the entry.
    pub admin: SocketAddr,
    /// Address at which this VM reaches the platform.
    pub platform: SocketAddr,
    /// Process of the entry.
    pub entry: ChildProcess,
    /// Process of the steward, once it is started.
    pub steward: Option<ChildProcess>,
    folder: PathBuf,
    /// Further lines of the entry's settings, as YAML.
    entry_settings: String,
}

impl ClusterVm {
    /// Starts the entry of a VM on ports that the kernel chooses.
    pub(super) fn start(
        folder: PathBuf,
        vm: VmId,
        zone: ZoneId,
        platform: SocketAddr,
        entry_settings: &str,
    ) -> Result<Self> {
        let entry_settings = format!("platform: {platform}\n{entry_settings}");
        let any_port = "127.0.0.1:0".parse()?;
        let entry = start_entry(&folder, &vm, &zone, [any_port; 3], &entry_settings)?;
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
            entry_settings,
        })
    }

    /// Starts the entry again on the same addresses.
    pub fn restart_entry(&mut self) -> Result<()> {
        let addrs = [self.admin, self.callers, self.mesh];
        self.entry = start_entry(
            &self.folder,
            &self.vm,
            &self.zone,
            addrs,
            &self.entry_settings,
        )?;
        self.entry.wait_addr("mesh")?;
        Ok(())
    }

    /// Starts the steward, with further lines of its settings as YAML.
    pub fn start_steward(&mut self, platform: SocketAddr, settings: &str) -> Result<()> {
        let path = self.folder.join(format!("{}-steward.yaml", self.vm));
        let text = format!(
            "process:\n  admin: 127.0.0.1:0\n  threads: 1\nvm: {}\nzone: {}\nentry: {}\n\
             platform: {platform}\nsecrets: [{MESH_SECRET}]\n{settings}\n",
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

    /// Waits until the entry accepts callers' requests.
    pub fn wait_ready(&self, http: &HttpClient) -> Result<()> {
        let description = format!("{} is ready", self.vm);
        wait_until(&description, || {
            http.status(self.admin, "/readyz") == Some(200)
        })
    }
}

/// Writes an entry's settings file and starts the entry.
fn start_entry(
    folder: &std::path::Path,
    vm: &VmId,
    zone: &ZoneId,
    [admin, callers, mesh]: [SocketAddr; 3],
    settings: &str,
) -> Result<ChildProcess> {
    let path = folder.join(format!("{vm}-entry.yaml"));
    let mut text = format!(
        "process:\n  admin: {admin}\n  threads: 2\nvm: {vm}\nzone: {zone}\ncallers: {callers}\n\
         mesh: {mesh}\nsecrets: [{MESH_SECRET}]\ndrain_ms: 200\n{settings}\n"
    );
    if !settings.contains("gossip_ms:") {
        text.push_str("gossip_ms: 250\n");
    }
    fs::write(&path, text)?;
    let path = path.display().to_string();
    ChildProcess::start("celery-entry", &["--settings", &path])
}
