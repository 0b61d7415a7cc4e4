//! Blocking HTTP client for tests.

use {
    async_io::block_on,
    clock::SystemClock,
    eyre::{Result, WrapErr, bail},
    http_types::Method,
    serde::{Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
    types::Bytes,
    wire::{Call, Client, Reply},
};

const MAX_RESPONSE_SIZE: Bytes = Bytes(64 * 1024 * 1024);

/// A blocking HTTP client. Every call opens a new connection.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self {
            client: Client::new(SystemClock::shared()),
        }
    }
}

impl HttpClient {
    /// Sends a call and reads the whole response.
    pub fn send(&self, mut call: Call) -> Result<(Reply, Vec<u8>)> {
        call.reuse = false;
        block_on(async {
            let mut reply = self.client.send(call).await?;
            let bytes = reply.bytes(MAX_RESPONSE_SIZE).await?;
            Ok((reply, bytes))
        })
    }

    /// Sends a GET and returns the response's status, if there is a response.
    pub fn status(&self, addr: SocketAddr, path: &str) -> Option<u16> {
        let sent = self.send(Call::new(addr, Method::Get, path));
        sent.ok().map(|(reply, _)| reply.status())
    }

    /// Sends a GET and returns the response's body as text.
    pub fn text(&self, addr: SocketAddr, path: &str) -> Result<String> {
        let (_, bytes) = self.send(Call::new(addr, Method::Get, path))?;
        Ok(String::from_utf8(bytes)?)
    }

    /// Sends a GET, expects status 200, and parses the response as JSON.
    pub fn get<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T> {
        let (reply, bytes) = self.send(Call::new(addr, Method::Get, path))?;
        if reply.status() != 200 {
            bail!("{path}: status {}", reply.status());
        }
        serde_json::from_slice(&bytes)
            .wrap_err_with(|| format!("{path}: cannot parse the response"))
    }

    /// Sends a POST with a JSON body, expects status 200, and returns the response's body.
    pub fn post(&self, addr: SocketAddr, path: &str, body: &impl Serialize) -> Result<Vec<u8>> {
        let call = Call::new(addr, Method::Post, path).body(serde_json::to_vec(body)?);
        let (reply, bytes) = self.send(call)?;
        if reply.status() != 200 {
            bail!(
                "{path}: status {}: {}",
                reply.status(),
                String::from_utf8_lossy(&bytes)
            );
        }
        Ok(bytes)
    }

    /// Value of a metric, summed over its labels.
    pub fn metric(&self, admin: SocketAddr, name: &str) -> Result<f64> {
        let text = self.text(admin, "/metrics")?;
        let lines = text.lines().filter(|l| !l.starts_with('#'));
        let values = lines.filter_map(|line| {
            let (key, value) = line.rsplit_once(' ')?;
            let matches = key == name || key.starts_with(&format!("{name}{{"));
            if matches {
                value.parse::<f64>().ok()
            } else {
                None
            }
        });
        Ok(values.sum())
    }
}
