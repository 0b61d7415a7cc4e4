//! Publishes configuration changes, and checks the entries against the configuration in the log.

use {
    super::{
        entry_state::fetch_entry_state,
        testbed::{MODEL, Testbed},
    },
    conf::{Change, ChangeOutcome, Config, Item, ItemKey, Op, Org, PoolBounds},
    eyre::{Result, ensure, eyre},
    mesh::Store,
    ports::Page,
    types::{OrgId, RequestId, ZoneId},
};

/// Operator that the changes are published under.
const OPERATOR: &str = "prover";

impl Testbed {
    /// The configuration that results from the log's changes. The log can't grow while the platform
    /// is down, so it isn't read then.
    pub(super) fn read_log_config(&mut self) -> Result<&Config> {
        while !self.platform_faults.down {
            let from = self.log_config.version().0;
            let path = format!("/log/config?from={from}&wait_ms=0");
            let page: Page = self.cluster.http.get(self.cluster.platform_addr, &path)?;
            for record in &page.records {
                self.log_config.fold(record.offset, &record.data);
            }
            if self.log_config.version().0 >= page.next {
                break;
            }
        }
        Ok(&self.log_config)
    }

    /// Publishes bounds for the number of engines in an availability zone.
    pub(super) fn publish_pool(&mut self, zone: &ZoneId, min: u32, max: u32) -> Result<()> {
        let item = Item::Pool(PoolBounds {
            serves: MODEL.parse()?,
            zone: zone.clone(),
            min,
            max,
            cheap: 0.0,
            spare: 0,
        });
        let current = self.read_log_config()?.get(&item.key()).map(|e| e.version);
        let base = current.unwrap_or_default();
        let id = RequestId::from_bits(u128::from(self.log_config.version().0) << 64);
        self.cluster.append_change(&Change {
            id,
            by: OPERATOR.parse()?,
            ops: vec![Op::Put { base, item }],
        })
    }

    /// Publishes changes of an organisation's weight, all based on the same version.
    pub(super) fn publish_weights(&mut self, org: &OrgId, weights: &[u32]) -> Result<()> {
        let key = ItemKey::Org(org.clone());
        let base = self.read_log_config()?.get(&key).map(|e| e.version);
        let base = base.ok_or_else(|| eyre!("organisation {org} does not exist"))?;
        self.race_changes.clear();
        for (i, weight) in weights.iter().enumerate() {
            let id = RequestId::from_bits((u128::from(base.0) << 64) | (i as u128 + 1));
            let item = Item::Org(Org {
                id: org.clone(),
                weight: *weight,
            });
            self.cluster.append_change(&Change {
                id,
                by: format!("{OPERATOR}-{i}").parse()?,
                ops: vec![Op::Put { base, item }],
            })?;
            self.race_changes.push(id);
        }
        Ok(())
    }

    /// Checks that every running entry is ready and has the log's configuration.
    pub(super) fn check_config_everywhere(&self) -> Result<()> {
        let expected = self.log_config.digest();
        for vm in self.running_vms() {
            let ready = self.cluster.http.status(vm.admin, "/readyz");
            ensure!(ready == Some(200), "{} is not ready", vm.vm);
            let config = self.entry_config(vm)?;
            ensure!(
                config.digest() == expected,
                "{} has configuration version {}, the log has {}",
                vm.vm,
                config.version(),
                self.log_config.version()
            );
        }
        Ok(())
    }

    /// Checks that every running entry accepted exactly one of the racing changes, and all of them
    /// the same.
    pub(super) fn check_one_winner(&self) -> Result<()> {
        let mut winners = Vec::new();
        for vm in self.running_vms() {
            let config = self.entry_config(vm)?;
            let accepted = |id: &&RequestId| {
                let outcome = config.outcome(**id);
                matches!(outcome, Some(ChangeOutcome::Accepted(_)))
            };
            let won: Vec<_> = self.race_changes.iter().filter(accepted).copied().collect();
            ensure!(won.len() == 1, "{}: {} changes accepted", vm.vm, won.len());
            winners.extend(won);
        }
        winners.dedup();
        ensure!(
            winners.len() == 1,
            "entries accepted different racing changes"
        );
        Ok(())
    }

    fn entry_config(&self, vm: &harness::ClusterVm) -> Result<Config> {
        let mut store = Store::default();
        store.apply(fetch_entry_state(&self.cluster.http, vm.mesh)?);
        Ok(Config::clone(store.config()))
    }

    fn running_vms(&self) -> impl Iterator<Item = &harness::ClusterVm> {
        let vms = self.cluster.vms.iter().enumerate();
        vms.filter(|(i, _)| !self.entries_down.contains(i))
            .map(|(_, v)| v)
    }
}
