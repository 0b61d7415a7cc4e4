//! Client of the platform's HTTP API.

use {
    crate::{
        AppendBody, Appended, Directory, Log, Order, OrderApi, Page, PlatformError, PlatformFuture,
        Stream, UsageApi, UsageReport, VmList, ZoneEndpoints,
    },
    http_types::Method,
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    types::{Bytes, Verdict},
    wire::{Call, CallTimeouts, Client},
};

/// Largest accepted response.
const MAX_RESPONSE: Bytes = Bytes(16 * 1024 * 1024);
/// Timeout of a call beyond the time that it asks the platform to wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a write has to be sent. The holder of a lease checks it right before the call,
/// and by default stops acting this long before the lease expires.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// The platform's HTTP API at one address.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    addr: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client of the platform at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, PlatformError> {
        self.send(Call::new(self.addr, Method::Get, path), wait)
            .await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let bytes = serde_json::to_vec(body).map_err(|_| PlatformError::Refused(400))?;
        let call = Call::new(self.addr, Method::Post, path).body(bytes);
        let call = call.send_within(SEND_TIMEOUT);
        self.send(call, Duration::ZERO).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        call: Call,
        wait: Duration,
    ) -> Result<T, PlatformError> {
        let timeouts = CallTimeouts {
            head: wait + RESPONSE_TIMEOUT,
            body_idle: RESPONSE_TIMEOUT,
            ..call.timeouts
        };
        let sent = self.client.send(call.timeouts(timeouts)).await;
        let mut response = sent.map_err(|e| PlatformError::Unreachable(e.verdict))?;
        match response.status() {
            200..=299 => {}
            status @ 400..=499 => return Err(PlatformError::Refused(status)),
            _ => return Err(PlatformError::Unreachable(Verdict::MayHaveRun)),
        }
        let bytes = response.bytes(MAX_RESPONSE).await;
        let bytes = bytes.map_err(|_| PlatformError::InvalidResponse)?;
        metrics::counter!("celerystage_platform_calls_total").increment(1);
        metrics::counter!("celerystage_platform_bytes_total").increment(bytes.len() as u64);
        serde_json::from_slice(&bytes).map_err(|_| PlatformError::InvalidResponse)
    }
}

impl Log for HttpPlatform {
    fn append<'a>(&'a self, stream: Stream, record: &'a str) -> PlatformFuture<'a, Appended> {
        Box::pin(async move {
            let body = AppendBody {
                data: record.into(),
            };
            self.post(&format!("/log/{stream}"), &body).await
        })
    }

    fn read(&self, stream: Stream, from: u64, wait: Duration) -> PlatformFuture<'_, Page> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            self.get(
                &format!("/log/{stream}?from={from}&wait_ms={wait_ms}"),
                wait,
            )
            .await
        })
    }
}

impl Directory for HttpPlatform {
    fn vms(&self) -> PlatformFuture<'_, VmList> {
        Box::pin(self.get("/vms", Duration::ZERO))
    }

    fn endpoints(&self) -> PlatformFuture<'_, Vec<ZoneEndpoints>> {
        Box::pin(self.get("/endpoints", Duration::ZERO))
    }
}

impl OrderApi for HttpPlatform {
    fn order<'a>(&'a self, order: &'a Order) -> PlatformFuture<'a, ()> {
        Box::pin(self.post("/orders", order))
    }
}

impl UsageApi for HttpPlatform {
    fn report<'a>(&'a self, report: &'a UsageReport) -> PlatformFuture<'a, ()> {
        Box::pin(self.post("/usage", report))
    }
}
