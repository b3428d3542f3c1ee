//! The bundle that a process works by.

use std::sync::Arc;

use serde::Serialize;

use super::VerifiedBundle;
use crate::prelude::*;

/// The highest verified bundle that a process has seen. It never goes back to an older one, whatever a stale read or a
/// late message says.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ActiveBundle {
    bundle: Option<Arc<VerifiedBundle>>,
}

/// What became of a bundle that was offered to [`ActiveBundle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OfferResult {
    /// It is now in force.
    Applied,
    /// It was in force already.
    Same,
    /// A higher version is in force.
    Older,
    /// Another content with the same version is in force.
    Contradicts,
}

impl ActiveBundle {
    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<&Arc<VerifiedBundle>> {
        self.bundle.as_ref()
    }

    /// Returns the version in force, or zero.
    pub fn version(&self) -> BundleVersion {
        self.bundle.as_ref().map_or(BundleVersion(0), |bundle| bundle.version())
    }

    /// Puts a bundle in force if its version is higher.
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
            return if same { OfferResult::Same } else { OfferResult::Contradicts };
        }
        self.bundle = Some(Arc::new(offered));
        OfferResult::Applied
    }
}
