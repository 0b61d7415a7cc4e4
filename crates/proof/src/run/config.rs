//! Changes of the configuration, and what the log folds to.

use {
    super::{
        bench::{Bench, MODEL},
        peek::peek,
    },
    conf::{Change, ChangeOutcome, Config, Item, ItemKey, Op, Org, Pool},
    eyre::{Result, ensure, eyre},
    mesh::Store,
    ports::Page,
    types::{OrgId, RequestId, ZoneId},
};

const OPERATOR: &str = "prover";

impl Bench {
    /// The configuration that the log folds to. While the platform is down nothing is added to it.
    pub(super) fn oracle(&mut self) -> Result<&Config> {
        while !self.fault.down {
            let from = self.folded.version().0;
            let path = format!("/log/config?from={from}&wait_ms=0");
            let page: Page = self.cluster.http.get(self.cluster.platform_addr, &path)?;
            for record in &page.records {
                self.folded.fold(record.offset, &record.data);
            }
            if self.folded.version().0 >= page.next {
                break;
            }
        }
        Ok(&self.folded)
    }

    /// Publishes bounds for the engines of an availability zone.
    pub(super) fn pool(&mut self, zone: &ZoneId, min: u32, max: u32) -> Result<()> {
        let item = Item::Pool(Pool {
            serves: MODEL.parse()?,
            zone: zone.clone(),
            min,
            max,
            cheap: 0.0,
            spare: 0,
        });
        let seen = self.oracle()?.get(&item.key()).map(|e| e.version);
        let base = seen.unwrap_or_default();
        let id = RequestId::from_bits(u128::from(self.folded.version().0) << 64);
        self.cluster.append_change(&Change {
            id,
            by: OPERATOR.parse()?,
            ops: vec![Op::Put { base, item }],
        })
    }

    /// Publishes changes of an organisation's weight, all based on the same version.
    pub(super) fn weight(&mut self, org: &OrgId, weights: &[u32]) -> Result<()> {
        let key = ItemKey::Org(org.clone());
        let base = self.oracle()?.get(&key).map(|e| e.version);
        let base = base.ok_or_else(|| eyre!("no organisation is named {org}"))?;
        self.raced.clear();
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
            self.raced.push(id);
        }
        Ok(())
    }

    /// Whether every running entry is ready and has the folded configuration.
    pub(super) fn config_even(&self) -> Result<()> {
        let wanted = self.folded.digest();
        for vm in self.running() {
            let ready = self.cluster.http.status(vm.admin, "/readyz");
            ensure!(ready == Some(200), "{} is not ready", vm.vm);
            let held = self.held(vm)?;
            ensure!(
                held.digest() == wanted,
                "{} has version {}, the log folds to {}",
                vm.vm,
                held.version(),
                self.folded.version()
            );
        }
        Ok(())
    }

    /// Whether every running entry saw exactly one of the racing changes accepted, and the same.
    pub(super) fn one_winner(&self) -> Result<()> {
        let mut winners = Vec::new();
        for vm in self.running() {
            let held = self.held(vm)?;
            let accepted = |id: &&RequestId| {
                let outcome = held.outcome(**id);
                matches!(outcome, Some(ChangeOutcome::Accepted(_)))
            };
            let won: Vec<_> = self.raced.iter().filter(accepted).copied().collect();
            ensure!(won.len() == 1, "{}: {} changes accepted", vm.vm, won.len());
            winners.extend(won);
        }
        winners.dedup();
        ensure!(winners.len() == 1, "entries disagree on who won");
        Ok(())
    }

    fn held(&self, vm: &harness::ClusterVm) -> Result<Config> {
        let mut store = Store::default();
        store.apply(peek(&self.cluster.http, vm.mesh)?);
        Ok(Config::clone(store.config()))
    }

    fn running(&self) -> impl Iterator<Item = &harness::ClusterVm> {
        let vms = self.cluster.vms.iter().enumerate();
        vms.filter(|(i, _)| !self.away.contains(i)).map(|(_, v)| v)
    }
}
