//! The bundle in force at an agent, which verifies what it gets before it applies it.

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use crate::bundle::{self, InForce, Offered, SignedBundle, TrustedPartners, VerifiedBundle};

/// The bundle in force, if any.
pub type InForceReceiver = watch::Receiver<Option<Arc<VerifiedBundle>>>;

/// Signed bundles, as JSON, that wait for verification.
const WAITING_BUNDLES: usize = 16;

/// Starts the task that verifies signed bundles, and returns where to send them and what is in force.
pub fn spawn(trusted: TrustedPartners) -> (mpsc::Sender<String>, InForceReceiver) {
    let (sender, mut received) = mpsc::channel::<String>(WAITING_BUNDLES);
    let (publish, in_force) = watch::channel(None);
    tokio::spawn(async move {
        let mut bundles = InForce::default();
        while let Some(signed) = received.recv().await {
            match offer(&mut bundles, &signed, &trusted) {
                Ok(Offered::Applied) => {
                    log::info!(version = bundles.version().0; "bundle is in force");
                    publish.send_replace(bundles.bundle().cloned());
                }
                // Confirms the version again to an entry that connected since.
                Ok(Offered::Same) => publish.send_modify(|_| {}),
                Ok(offered) => log::warn!(offered:serde = offered; "bundle was not applied"),
                Err(error) => log::error!("bundle was refused: {error}"),
            }
        }
    });
    (sender, in_force)
}

fn offer(
    bundles: &mut InForce,
    signed: &str,
    trusted: &TrustedPartners,
) -> Result<Offered, bundle::Error> {
    let signed = SignedBundle::from_json(signed.as_bytes())?;
    let verified = bundle::verify(&signed, trusted)?;
    Ok(bundles.offer(verified))
}
