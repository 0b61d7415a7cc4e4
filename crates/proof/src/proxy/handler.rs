//! The fault proxy and its control interface.

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

/// A TCP proxy that injects faults, without regard to the protocol of the bytes.
pub struct FaultProxy {
    clock: SharedClock,
    ex: Arc<Executor<'static>>,
    links: Mutex<Vec<Arc<Link>>>,
}

impl FaultProxy {
    /// Creates a proxy without links.
    pub fn new(clock: SharedClock, ex: Arc<Executor<'static>>) -> Self {
        Self {
            clock,
            ex,
            links: Mutex::default(),
        }
    }

    async fn respond(&self, mut request: Request) -> Response {
        let command = match request.body_bytes().await {
            Ok(bytes) => serde_json::from_slice(&bytes).ok(),
            Err(_) => None,
        };
        let found = match command {
            None => return json_response(400, &()),
            Some(ProxyCommand::Open(targets)) => {
                return match self.open(targets) {
                    Ok(opened) => json_response(200, &opened),
                    Err(e) => json_response(500, &e.to_string()),
                };
            }
            Some(ProxyCommand::Targets(id, targets)) => {
                self.with_link(id, |l| l.set_targets(targets))
            }
            Some(ProxyCommand::Faults(id, faults)) => self.with_link(id, |l| l.set_faults(faults)),
            Some(ProxyCommand::Reset(id)) => self.with_link(id, Link::reset),
        };
        json_response(if found { 200 } else { 404 }, &())
    }

    /// Runs `act` on the link; `false` if there is no such link.
    fn with_link(&self, id: LinkId, act: impl FnOnce(&Link)) -> bool {
        let link = self.links.lock().get(id).cloned();
        match link {
            Some(link) => {
                act(&link);
                true
            }
            None => false,
        }
    }

    /// Opens a link and starts to accept its connections.
    fn open(&self, targets: Vec<SocketAddr>) -> io::Result<OpenedLink> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = Async::<TcpListener>::bind(any_port)?;
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
        Box::pin(self.respond(request))
    }
}
