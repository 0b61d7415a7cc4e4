//! One connection through a link: copies bytes in both directions and applies the link's faults.

use {
    super::{control::HeldDirection, link::Link},
    async_io::Async,
    futures_lite::{
        FutureExt,
        future::try_zip,
        io::{AsyncReadExt, AsyncWriteExt},
    },
    parking_lot::Mutex,
    rustix::net::sockopt::set_socket_linger,
    std::{
        io,
        net::{Shutdown, TcpStream},
        sync::Arc,
        time::Duration,
    },
};

/// Size of a chunk: the bytes of one read, which are delayed and forwarded together.
const CHUNK_BYTES: usize = 16 * 1024;
/// Most bytes of a connection that are kept to be sent a second time.
const MAX_REPEAT_BYTES: usize = 1024 * 1024;

/// A caller's connection through a link.
pub(super) struct Connection {
    link: Arc<Link>,
    caller: Async<TcpStream>,
    /// Whether to reset the connection when the target starts to respond.
    lose_response: bool,
    /// Bytes from the caller that are sent a second time; `None` if they are not repeated.
    to_repeat: Option<Mutex<Vec<u8>>>,
}

impl Connection {
    pub(super) fn new(link: Arc<Link>, caller: Async<TcpStream>) -> Self {
        let (lose_response, repeat) = link.take_counted_faults();
        Self {
            link,
            caller,
            lose_response,
            to_repeat: repeat.then(Mutex::default),
        }
    }

    /// Copies the connection's bytes, then sends the caller's bytes again if the request is
    /// repeated.
    pub(super) async fn run(self) {
        let copied = self.copy().await;
        if copied.is_err() {
            reset_on_close(&self.caller);
        }
        if let Some(to_repeat) = &self.to_repeat {
            let bytes = std::mem::take(&mut *to_repeat.lock());
            let _ = send_again(&self.link, &bytes).await;
        }
    }

    /// Copies bytes in both directions until both have ended, the link is reset, or copying fails.
    async fn copy(&self) -> io::Result<()> {
        self.link.wait_for_release(HeldDirection::Forward).await;
        let target = self.link.connect().await?;
        let both_ways = async {
            try_zip(self.forward(&target), self.backward(&target)).await?;
            Ok(())
        };
        let reset_by_command = async {
            self.link.wait_for_reset().await;
            Err(io::ErrorKind::ConnectionReset.into())
        };
        let copied = both_ways.or(reset_by_command).await;
        if copied.is_err() {
            reset_on_close(&target);
        }
        copied
    }

    async fn forward(&self, target: &Async<TcpStream>) -> io::Result<()> {
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            let n = self
                .read_chunk(&self.caller, &mut buf, HeldDirection::Forward)
                .await?;
            if n == 0 {
                return shut_down_write(target);
            }
            if let Some(to_repeat) = &self.to_repeat {
                let mut to_repeat = to_repeat.lock();
                if to_repeat.len() + n <= MAX_REPEAT_BYTES {
                    to_repeat.extend_from_slice(&buf[..n]);
                }
            }
            let mut target = target;
            target.write_all(&buf[..n]).await?;
        }
    }

    async fn backward(&self, target: &Async<TcpStream>) -> io::Result<()> {
        let mut buf = vec![0; CHUNK_BYTES];
        let mut forwarded = 0;
        loop {
            let n = self
                .read_chunk(target, &mut buf, HeldDirection::Back)
                .await?;
            if n == 0 {
                return shut_down_write(&self.caller);
            }
            if self.lose_response {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let remaining = match self.link.faults().reset_after {
                Some(limit) => limit.saturating_sub(forwarded),
                None => u64::MAX,
            };
            let part = n.min(usize::try_from(remaining).unwrap_or(usize::MAX));
            let mut caller = &self.caller;
            caller.write_all(&buf[..part]).await?;
            forwarded += part as u64;
            if part < n {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
    }

    /// Reads one chunk and applies the faults that hold it up before it is forwarded.
    async fn read_chunk(
        &self,
        mut from: &Async<TcpStream>,
        buf: &mut [u8],
        direction: HeldDirection,
    ) -> io::Result<usize> {
        let n = from.read(buf).await?;
        let faults = self.link.faults();
        self.link.clock.sleep(faults.delay()).await;
        if let Some(rate) = faults.rate {
            let seconds = n as f64 / rate.max(1) as f64;
            self.link
                .clock
                .sleep(Duration::from_secs_f64(seconds))
                .await;
        }
        self.link.wait_for_release(direction).await;
        Ok(n)
    }
}

/// Ends the sending side of a socket. A socket that is no longer connected is not an error.
fn shut_down_write(stream: &Async<TcpStream>) -> io::Result<()> {
    match stream.get_ref().shutdown(Shutdown::Write) {
        Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(()),
        result => result,
    }
}

/// Makes closing the socket send a reset instead of an orderly end.
fn reset_on_close(stream: &Async<TcpStream>) {
    let _ = set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
}

/// Sends `bytes` to a target over a new connection and reads the response to its end.
async fn send_again(link: &Link, bytes: &[u8]) -> io::Result<()> {
    let mut target = link.connect().await?;
    target.write_all(bytes).await?;
    target.get_ref().shutdown(Shutdown::Write)?;
    let mut buf = vec![0; CHUNK_BYTES];
    while target.read(&mut buf).await? > 0 {}
    Ok(())
}
