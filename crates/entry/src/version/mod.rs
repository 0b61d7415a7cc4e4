//! What lives for one version of the shared state.

mod view;

pub(crate) use view::View;
