//! The proxy's control interface.

use {
    super::{
        control::{LinkId, OpenedLink, ProxyCommand},
        link::Link,
    },
    async_executor::Executor,
    async_io::Async,
    clock::SharedClock,
    http_types::{Request, Response},
    parking_lot::Mutex,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        sync::Arc,
    },
    wire::{Handler, ResponseFuture, json_response},
};

/// A TCP proxy that injects faults. It knows nothing of what the bytes mean.
pub struct FaultProxy {
    clock: SharedClock,
    ex: Arc<Executor<'static>>,
    links: Mutex<Vec<Arc<Link>>>,
}

impl FaultProxy {
    /// A proxy without links.
    pub fn new(clock: SharedClock, ex: Arc<Executor<'static>>) -> Self {
        Self {
            clock,
            ex,
            links: Mutex::default(),
        }
    }

    async fn answer(&self, mut request: Request) -> Response {
        let control = match request.body_bytes().await {
            Ok(bytes) => serde_json::from_slice(&bytes).ok(),
            Err(_) => None,
        };
        let done = match control {
            None => return json_response(400, &()),
            Some(ProxyCommand::Open(targets)) => {
                return match self.open(targets) {
                    Ok(opened) => json_response(200, &opened),
                    Err(e) => json_response(500, &e.to_string()),
                };
            }
            Some(ProxyCommand::Targets(id, targets)) => self.with(id, |l| l.set_targets(targets)),
            Some(ProxyCommand::Faults(id, faults)) => self.with(id, |l| l.set_faults(faults)),
            Some(ProxyCommand::Reset(id)) => self.with(id, Link::reset),
        };
        json_response(if done { 200 } else { 404 }, &())
    }

    fn with(&self, id: LinkId, act: impl FnOnce(&Link)) -> bool {
        let link = self.links.lock().get(id).cloned();
        match link {
            Some(link) => {
                act(&link);
                true
            }
            None => false,
        }
    }

    fn open(&self, targets: Vec<SocketAddr>) -> io::Result<OpenedLink> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = Async::<TcpListener>::bind(any)?;
        let addr = listener.get_ref().local_addr()?;
        let link = Link::new(self.clock.clone(), self.ex.clone(), targets);
        self.ex.spawn(link.clone().run(listener)).detach();
        let mut links = self.links.lock();
        links.push(link);
        Ok(OpenedLink {
            link: links.len() - 1,
            addr,
        })
    }
}

impl Handler for FaultProxy {
    fn call(&self, request: Request) -> ResponseFuture<'_> {
        Box::pin(self.answer(request))
    }
}
