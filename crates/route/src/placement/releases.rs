//! Releases of the listed endpoints.

use {super::placer::Placer, types::Release};

impl Placer {
    /// Whether an endpoint of the release is open. It may refuse requests for a time.
    pub fn has_release(&self, release: &Release) -> bool {
        let mut open = self.endpoints.values().filter(|e| e.is_usable());
        open.any(|e| e.spec.release.as_ref() == Some(release))
    }

    /// Whether the release of any open endpoint is known.
    pub(super) fn knows_releases(&self) -> bool {
        let mut open = self.endpoints.values().filter(|e| e.is_usable());
        open.any(|e| e.spec.release.is_some())
    }
}
