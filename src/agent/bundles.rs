//! The bundle in force at an agent, which verifies what it gets before it applies it.

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use crate::bundle::{
    self, ActiveBundle, OfferResult, SignedBundle, TrustedPartners, VerifiedBundle,
};

/// The bundle in force, if any.
pub type ActiveBundleReceiver = watch::Receiver<Option<Arc<VerifiedBundle>>>;

/// Signed bundles, as JSON, that wait for verification.
const WAITING_BUNDLES: usize = 16;

/// Starts the task that verifies signed bundles, and returns where to send them and what is in force.
pub fn spawn(trusted: TrustedPartners) -> (mpsc::Sender<String>, ActiveBundleReceiver) {
    let (sender, mut received) = mpsc::channel::<String>(WAITING_BUNDLES);
    let (publish, active_bundle) = watch::channel(None);
    tokio::spawn(async move {
        let mut active = ActiveBundle::default();
        while let Some(signed) = received.recv().await {
            match verify_and_apply(&mut active, &signed, &trusted) {
                Ok(OfferResult::Applied) => {
                    log::info!(version = active.version().0; "bundle is in force");
                    publish.send_replace(active.bundle().cloned());
                }
                // Confirms the version again to an entry that connected since.
                Ok(OfferResult::Same) => publish.send_modify(|_| {}),
                Ok(offered) => log::warn!(offered:serde = offered; "bundle was not applied"),
                Err(error) => log::error!("bundle was refused: {error}"),
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
