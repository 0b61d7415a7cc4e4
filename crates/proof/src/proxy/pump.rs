//! One connection: copies bytes both ways under the link's faults.

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

const PIECE_BYTES: usize = 16 * 1024;
/// Bytes of a connection that can be sent a second time.
const MAX_REPEAT_BYTES: usize = 1024 * 1024;

/// One connection.
pub(super) struct Pump {
    link: Arc<Link>,
    caller: Async<TcpStream>,
    lose_answer: bool,
    /// Bytes of the caller, kept to be repeated.
    kept: Option<Mutex<Vec<u8>>>,
}

impl Pump {
    pub(super) fn new(link: Arc<Link>, caller: Async<TcpStream>) -> Self {
        let (lose_answer, repeat) = link.take_counted();
        Self {
            link,
            caller,
            lose_answer,
            kept: repeat.then(Mutex::default),
        }
    }

    pub(super) async fn run(self) {
        let copied = self.copy().await;
        if copied.is_err() {
            reset(&self.caller);
        }
        if let Some(kept) = &self.kept {
            let bytes = std::mem::take(&mut *kept.lock());
            let _ = repeat(&self.link, &bytes).await;
        }
    }

    async fn copy(&self) -> io::Result<()> {
        self.link.passes(HeldDirection::Forward).await;
        let target = self.link.connect().await?;
        let both = async {
            try_zip(self.forward(&target), self.back(&target)).await?;
            Ok(())
        };
        let was_reset = async {
            self.link.was_reset().await;
            Err(io::ErrorKind::ConnectionReset.into())
        };
        let copied = both.or(was_reset).await;
        if copied.is_err() {
            reset(&target);
        }
        copied
    }

    async fn forward(&self, target: &Async<TcpStream>) -> io::Result<()> {
        let mut buf = vec![0; PIECE_BYTES];
        loop {
            let n = self
                .read(&self.caller, &mut buf, HeldDirection::Forward)
                .await?;
            if n == 0 {
                return end(target);
            }
            if let Some(kept) = &self.kept {
                let mut kept = kept.lock();
                if kept.len() + n <= MAX_REPEAT_BYTES {
                    kept.extend_from_slice(&buf[..n]);
                }
            }
            let mut target = target;
            target.write_all(&buf[..n]).await?;
        }
    }

    async fn back(&self, target: &Async<TcpStream>) -> io::Result<()> {
        let mut buf = vec![0; PIECE_BYTES];
        let mut passed = 0;
        loop {
            let n = self.read(target, &mut buf, HeldDirection::Back).await?;
            if n == 0 {
                return end(&self.caller);
            }
            if self.lose_answer {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let left = match self.link.faults().reset_after {
                Some(limit) => limit.saturating_sub(passed),
                None => u64::MAX,
            };
            let part = n.min(usize::try_from(left).unwrap_or(usize::MAX));
            let mut caller = &self.caller;
            caller.write_all(&buf[..part]).await?;
            passed += part as u64;
            if part < n {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
    }

    /// Reads one piece, and waits as the faults say before it is passed on.
    async fn read(
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
        self.link.passes(direction).await;
        Ok(n)
    }
}

fn end(stream: &Async<TcpStream>) -> io::Result<()> {
    match stream.get_ref().shutdown(Shutdown::Write) {
        Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(()),
        ended => ended,
    }
}

/// Makes the coming close of a socket a reset.
fn reset(stream: &Async<TcpStream>) {
    let _ = set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
}

/// Sends `bytes` over a connection of their own and reads the answer to its end.
async fn repeat(link: &Link, bytes: &[u8]) -> io::Result<()> {
    let mut target = link.connect().await?;
    target.write_all(bytes).await?;
    target.get_ref().shutdown(Shutdown::Write)?;
    let mut buf = vec![0; PIECE_BYTES];
    while target.read(&mut buf).await? > 0 {}
    Ok(())
}
