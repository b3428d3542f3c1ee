//! Bundles, partners and keys for tests.

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

use crate::bundle::{Bundle, PartnerSigner, SignedBundle, TrustedPartners};
use crate::prelude::*;

/// Returns the example bundle of the Consortium.
pub fn bundle() -> Bundle {
    serde_json::from_str(include_str!("../../../examples/consortium/bundle.json"))
        .expect("the example is a bundle")
}

/// Returns the example bundle with another version.
pub fn bundle_at(version: u64) -> Bundle {
    Bundle { version: BundleVersion(version), ..bundle() }
}

/// Returns the key pair of a partner, which is the same at each call.
pub fn signer(partner: &str) -> PartnerSigner {
    let seed = partner.bytes().fold(0, |sum, byte| sum * 31 + u64::from(byte));
    PartnerSigner::generate(PartnerId::from(partner), &mut ChaCha12Rng::seed_from_u64(seed))
}

/// Returns trusted partners `amman` and `aqaba`.
pub fn trusted() -> TrustedPartners {
    TrustedPartners::try_from(vec![signer("amman").public_key(), signer("aqaba").public_key()])
        .expect("the partners differ")
}

/// Returns a bundle signed by the given partners.
pub fn signed(bundle: Bundle, partners: &[&str]) -> SignedBundle {
    let mut signed = SignedBundle { bundle, signatures: Vec::new() };
    for partner in partners {
        signed.sign(&signer(partner)).expect("the bundle has a digest");
    }
    signed
}
