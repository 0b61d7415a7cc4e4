//! State that lives as long as one version of the shared state.

mod view;

pub(crate) use view::View;
