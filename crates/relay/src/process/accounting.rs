//! Usage counts, log lines and metrics of requests.

use {
    super::Node,
    crate::request::{Response, RoutedRequest},
    types::Refusal,
    usage::window_at,
};

impl Node {
    /// Counts a request that began to run at an endpoint in the current usage window. Further calls
    /// for the same request have no effect.
    pub(crate) fn count_usage(&self, request: &RoutedRequest) {
        let Some(org) = &request.org else {
            return;
        };
        if !request.mark_counted() {
            return;
        }
        let unix = self.wall_clock.unix(self.clock.now());
        let window = window_at(unix, self.settings.bounds.usage_window);
        self.window_counter.lock().count(window, &org.id);
    }

    /// Logs the end of a request with a buffered response or a refusal.
    pub(crate) fn log_response(&self, request: &RoutedRequest, response: &Response) {
        let outcome = response
            .refusal
            .as_ref()
            .map_or("answered", |r| r.reason.as_str());
        self.log_request_end(request, response.head.status, outcome);
    }

    /// Logs the end of a stream.
    pub(crate) fn log_stream(&self, request: &RoutedRequest, outcome: &'static str) {
        self.log_request_end(request, 200, outcome);
    }

    /// Logs the end of a request whose caller closed the connection.
    pub(crate) fn log_caller_left(&self, request: &RoutedRequest) {
        self.log_request_end(request, 0, "caller left");
    }

    /// Logs the end of a stream that broke.
    pub(crate) fn log_broken_stream(&self, request: &RoutedRequest, refusal: &Refusal) {
        log::warn!(request:% = request.caller.id, cause:% = refusal; "stream broken");
        self.log_request_end(request, 200, "broken");
    }

    /// Logs a request that was refused before it was sent to any endpoint.
    pub(crate) fn log_refusal(&self, refusal: &Refusal) {
        let version = self.config().map_or(0, |c| c.doc.version.0);
        log::info!(cause:% = refusal, version = version; "request refused");
        metrics::counter!("celerystage_refused_total", "reason" => refusal.reason.as_str())
            .increment(1);
    }

    fn log_request_end(&self, request: &RoutedRequest, status: u16, outcome: &'static str) {
        let took = self.clock.now().since(request.arrived);
        let progress = request.progress.lock();
        let endpoint = progress.endpoint.as_ref().map_or("", |e| e.as_str());
        let source = progress.kv_source.as_ref().map_or("", |e| e.as_str());
        let release = progress.release.as_ref().map_or("", |r| r.as_str());
        let resumes = request.caller.resumes.as_ref().map_or("", |a| a.as_str());
        let connection = match progress.reused {
            Some(true) => "reused",
            Some(false) => "new",
            None => "",
        };
        let carrier = progress.carrier.as_ref().map_or("", |vm| vm.as_str());
        let first = progress.first_event.map_or(0, |d| d.as_millis() as u64);
        log::info!(
            request:% = request.caller.id, route:% = request.route.id, service:% = request.service,
            org = request.org.as_ref().map_or("", |o| o.id.as_str()), tier = request.tier.0,
            urgency = request.urgency.0, version = request.version.0, endpoint = endpoint, release = release, resumes = resumes,
            sends = progress.sends(), connection = connection, carrier = carrier, verdict:% = progress.verdict(), cause = progress.cause.unwrap_or(""),
            expected_ms = progress.predicted.as_millis() as u64,
            ahead_ms = progress.queue_delay.as_millis() as u64, fetched_from = source,
            first_ms = first, events = progress.events, took_ms = took.as_millis() as u64,
            status = status, outcome = outcome;
            "request ended"
        );
        metrics::counter!("celerystage_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("celerystage_request_seconds", "outcome" => outcome)
            .record(took.as_secs_f64());
        if let Some(first) = progress.first_event {
            metrics::histogram!("celerystage_first_event_seconds").record(first.as_secs_f64());
        }
    }
}
