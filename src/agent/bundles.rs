//! The active bundle of an agent. Signed bundles are verified before they are applied.

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use crate::bundle::{
    self, ActiveBundle, OfferResult, SignedBundle, TrustedPartners, VerifiedBundle,
};

/// Receives the active bundle; `None` until the first one is applied.
pub type ActiveBundleReceiver = watch::Receiver<Option<Arc<VerifiedBundle>>>;

/// The maximum number of signed bundles, as JSON, that are queued for verification.
const BUNDLE_QUEUE_CAPACITY: usize = 16;

/// Starts the task that verifies signed bundles. Returns the sender for signed bundles and the receiver of the active
/// bundle.
pub fn spawn(trusted: TrustedPartners) -> (mpsc::Sender<String>, ActiveBundleReceiver) {
    let (sender, mut received) = mpsc::channel::<String>(BUNDLE_QUEUE_CAPACITY);
    let (publish, active_bundle) = watch::channel(None);
    tokio::spawn(async move {
        let mut active = ActiveBundle::default();
        while let Some(signed) = received.recv().await {
            match verify_and_apply(&mut active, &signed, &trusted) {
                Ok(OfferResult::Applied) => {
                    log::info!(version = active.version().0; "bundle applied");
                    publish.send_replace(active.bundle().cloned());
                }
                // Notifies the receivers again, so that entries that connected in the meantime get a confirmation too.
                Ok(OfferResult::Same) => publish.send_modify(|_| {}),
                Ok(offered) => log::warn!(
                    offered:serde = offered;
                    "bundle ignored: a newer one, or another one of the same version, is active"
                ),
                Err(error) => log::error!("bundle refused, the active bundle stays: {error}"),
            }
        }
    });
    (sender, active_bundle)
}

fn verify_and_apply(
    active: &mut ActiveBundle,
    signed: &str,
    trusted: &TrustedPartners,
) -> Result<OfferResult, bundle::Error> {
    let signed = SignedBundle::from_json(signed.as_bytes())?;
    let verified = bundle::verify(&signed, trusted)?;
    Ok(active.apply_if_newer(verified))
}
