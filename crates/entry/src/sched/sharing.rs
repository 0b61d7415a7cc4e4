//! How the entries of an availability zone share its endpoints.

use {
    super::{Dispatch, Home, Links, Post, Remote, Scheduler, links::Watch},
    crate::version::View,
    async_executor::Executor,
    clock::SharedClock,
    mesh::{Headroom, LinkMsg, Node},
    serde::Deserialize,
    std::sync::{Arc, Weak},
    types::{VmId, ZoneId},
};

/// How the entries of an availability zone share its endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Sharing {
    /// Each entry schedules all endpoints by itself, without knowledge of the others: the baseline.
    Alone,
    /// One entry schedules each model and gives slots to the others.
    #[default]
    Home,
}

/// Both sides of the sharing, and the outboxes.
pub(crate) struct Share {
    zone: ZoneId,
    node: Arc<Node>,
    scheduler: Arc<Scheduler>,
    links: Arc<Links>,
    home: Arc<Home>,
    remote: Arc<Remote>,
}

impl Share {
    pub(crate) fn new(
        zone: ZoneId,
        node: Arc<Node>,
        scheduler: Arc<Scheduler>,
        ex: Arc<Executor<'static>>,
        clock: SharedClock,
    ) -> Self {
        let links = Links::new(node.clone(), ex.clone());
        let post: Arc<dyn Post> = Arc::new(links.clone());
        let home = Home::new(
            node.clone(),
            scheduler.clone(),
            post.clone(),
            ex,
            clock.clone(),
        );
        let remote = Remote::new(
            zone.clone(),
            node.clone(),
            scheduler.clone(),
            home.clone(),
            post,
            clock,
        );
        let watch: Arc<dyn Watch> = remote.clone();
        let watch: Weak<dyn Watch> = Arc::downgrade(&watch);
        links.set_watch(watch);
        Self {
            zone,
            node,
            scheduler,
            links,
            home,
            remote,
        }
    }

    /// What requests get their slots from.
    pub(crate) fn dispatch(&self, sharing: Sharing) -> Arc<dyn Dispatch> {
        match sharing {
            Sharing::Alone => self.scheduler.clone(),
            Sharing::Home => Arc::new(self.remote.clone()),
        }
    }

    /// Takes over a new version.
    pub(crate) fn update(&self, view: &View) {
        let listed = |vm: &VmId| view.homes.values().flatten().any(|v| v == vm);
        self.links.retain(listed);
        self.remote.set_homes(view.homes.clone());
    }

    /// Takes in a message from another entry.
    pub(crate) fn take(&self, from: &VmId, msg: LinkMsg) {
        match msg {
            LinkMsg::Ask(_)
            | LinkMsg::Cancel(_)
            | LinkMsg::Progress(_)
            | LinkMsg::Done(..)
            | LinkMsg::Held(_)
            | LinkMsg::Adopt(_) => self.home.take(from, msg),
            LinkMsg::Grant(..) | LinkMsg::Refuse(..) | LinkMsg::Moved(_) | LinkMsg::Unknown(_) => {
                self.remote.take(from, msg);
            }
        }
    }

    /// Free slots of what this VM schedules.
    pub(crate) fn headroom(&self) -> Vec<Headroom> {
        let all = self.scheduler.headroom(&self.zone);
        all.into_iter()
            .filter(|h| self.remote.is_home(&h.serves))
            .collect()
    }

    /// Lists running requests to the VMs that schedule them, and takes back what silent VMs hold.
    pub(crate) fn beat(&self) {
        let now = self.node.clock().now();
        self.node.headroom().merge(now, self.headroom());
        self.remote.beat();
        self.home.sweep();
    }

    /// Sends other entries' waiting requests elsewhere, before this process stops.
    pub(crate) fn move_out(&self) {
        self.home.move_out();
    }
}
