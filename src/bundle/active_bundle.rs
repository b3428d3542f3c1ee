//! The bundle that a process applies.

use std::sync::Arc;

use serde::Serialize;

use super::VerifiedBundle;
use crate::prelude::*;

/// The verified bundle with the highest version that a process has received. A stale read or a late message never
/// replaces it by an older one.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ActiveBundle {
    bundle: Option<Arc<VerifiedBundle>>,
}

/// Result of [`ActiveBundle::apply_if_newer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OfferResult {
    /// The offered bundle is now active.
    Applied,
    /// The same version with the same digest was active already.
    Same,
    /// The offered bundle was ignored, because a higher version is active.
    Older,
    /// The offered bundle was ignored, because the same version with another digest is active.
    #[serde(rename = "contradicts")]
    ConflictingDigest,
}

impl ActiveBundle {
    /// Returns the active bundle, or `None` before the first one.
    pub fn bundle(&self) -> Option<&Arc<VerifiedBundle>> {
        self.bundle.as_ref()
    }

    /// Returns the version of the active bundle, or 0 before the first one.
    pub fn version(&self) -> BundleVersion {
        self.bundle.as_ref().map_or(BundleVersion(0), |bundle| bundle.version())
    }

    /// Activates a bundle if its version is higher than that of the active one.
    pub fn apply_if_newer(&mut self, offered: VerifiedBundle) -> OfferResult {
        let Some(current) = &self.bundle else {
            self.bundle = Some(Arc::new(offered));
            return OfferResult::Applied;
        };
        if offered.version() < current.version() {
            return OfferResult::Older;
        }
        if offered.version() == current.version() {
            let same = offered.digest() == current.digest();
            return if same { OfferResult::Same } else { OfferResult::ConflictingDigest };
        }
        self.bundle = Some(Arc::new(offered));
        OfferResult::Applied
    }
}
