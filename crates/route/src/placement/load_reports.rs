//! Exchange of load reports between VMs.

use {
    super::{
        load::{Load, PeerLoad, Reporter},
        placer::Placer,
    },
    clock::Instant,
    types::EndpointId,
};

impl Placer {
    /// Sets the load of other VMs that is reported for an endpoint.
    pub fn set_peer_load(&mut self, reporter: &Reporter, id: &EndpointId, load: PeerLoad) {
        if let Some(entry) = self.endpoints.get_mut(id) {
            entry.peer_loads.set(reporter, load);
        }
    }

    /// Sum of this VM's load and of the loads whose reporters match, by endpoint; endpoints without
    /// load are left out.
    pub fn summed_loads(
        &self,
        now: Instant,
        matches: impl Fn(&Reporter) -> bool,
    ) -> Vec<(EndpointId, Load)> {
        let sums = self.endpoints.iter().map(|(id, entry)| {
            let mut sum = entry.peer_loads.sum_of(now, &matches);
            sum.add(entry.reported_load(now));
            (id.clone(), sum)
        });
        sums.filter(|(_, sum)| *sum != Load::default()).collect()
    }

    /// This VM's load by endpoint, to be reported to other VMs.
    pub fn own_loads(&self, now: Instant) -> impl Iterator<Item = (&EndpointId, Load)> {
        let loads = self.endpoints.iter();
        let loads = loads.map(move |(id, e)| (id, e.reported_load(now)));
        loads.filter(|(_, load)| *load != Load::default())
    }

    /// Requests in flight at all endpoints, of this VM and the others.
    pub fn in_flight(&self, now: Instant) -> u32 {
        let endpoints = self.endpoints.values();
        endpoints
            .map(|e| e.own_load.in_flight + e.peer_loads.sum(now).in_flight)
            .sum()
    }

    /// Total slots of the endpoints that take requests.
    pub fn slots(&self) -> u32 {
        let open = self.endpoints.values().filter(|e| e.is_usable());
        open.map(|e| e.spec.slots).sum()
    }

    /// Prompt tokens to prefill per second, of the requests placed by this VM.
    pub fn prompt_rate(&mut self, now: Instant) -> u64 {
        self.prompt_meter.rate(now)
    }

    /// Sets the reported prompt token rate of other VMs.
    pub fn set_peer_rate(&mut self, reporter: &Reporter, rate: u64, until: Instant) {
        self.peer_rates.insert(reporter.clone(), (rate, until));
    }

    /// Sum of this VM's prompt token rate and of the rates whose reporters match.
    pub fn summed_rate(&mut self, now: Instant, matches: impl Fn(&Reporter) -> bool) -> u64 {
        let current = self
            .peer_rates
            .iter()
            .filter(|(_, (_, until))| *until > now);
        let matching = current.filter(|(reporter, _)| matches(reporter));
        let others: u64 = matching.map(|(_, (rate, _))| rate).sum();
        others + self.prompt_meter.rate(now)
    }

    /// Offered prefill load of all VMs, as the number of engines it would fully occupy.
    pub fn offered_load(&mut self, now: Instant) -> f64 {
        self.peer_rates.retain(|_, (_, until)| *until > now);
        let rate = self.summed_rate(now, |_| true);
        self.profile
            .map_or(0.0, |p| rate as f64 / (p.prefill_rate * 1e3))
    }
}
