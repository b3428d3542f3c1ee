//! Signatures of bundles and their verification.

use ed25519_dalek::{Signature as RawSignature, Signer};
use serde::{Deserialize, Serialize};

use super::{Bundle, Digest, Error, PartnerSigner, TrustedPartners, validate};
use crate::prelude::*;

/// The number of different partners that must sign a bundle.
pub const REQUIRED_PARTNERS: usize = 2;

/// What a signature is for, so that it cannot be used for anything else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The partner accepts the content of the bundle.
    Accept,
    /// The partner orders that the bundle be rolled out.
    RollOut,
}

impl Purpose {
    fn message(self, digest: &Digest) -> Vec<u8> {
        let prefix: &[u8] = match self {
            Self::Accept => b"teaselhall bundle accept 1\n",
            Self::RollOut => b"teaselhall bundle roll out 1\n",
        };
        [prefix, digest.as_bytes()].concat()
    }
}

/// The signature of one partner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Signature {
    /// The partner.
    pub partner: PartnerId,
    /// The ed25519 signature as 128 hexadecimal digits.
    pub signature_hex: String,
}

impl Signature {
    /// Signs a digest.
    pub fn sign(signer: &PartnerSigner, purpose: Purpose, digest: &Digest) -> Self {
        let raw = signer.key().sign(&purpose.message(digest));
        Self { partner: signer.partner().clone(), signature_hex: hex::encode(raw.to_bytes()) }
    }

    /// Checks that a trusted partner made this signature for this purpose and digest.
    ///
    /// # Errors
    ///
    /// [`Error::UntrustedPartner`], [`Error::Hex`] or [`Error::WrongSignature`].
    pub fn check(
        &self,
        purpose: Purpose,
        digest: &Digest,
        trusted: &TrustedPartners,
    ) -> Result<(), Error> {
        let partner = self.partner.clone();
        let Some(key) = trusted.key_of(&partner) else {
            return Err(Error::UntrustedPartner { partner });
        };
        let mut bytes = [0; RawSignature::BYTE_SIZE];
        hex::decode_to_slice(&self.signature_hex, &mut bytes).map_err(|error| Error::Hex {
            field: format!("signatures: signature_hex of {partner}"),
            reason: error.to_string(),
        })?;
        let raw = RawSignature::from_bytes(&bytes);
        key.verify_strict(&purpose.message(digest), &raw)
            .map_err(|_| Error::WrongSignature { partner })
    }
}

/// A bundle with the signatures of partners; nothing about it has been checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// The content.
    pub bundle: Bundle,
    /// The signatures.
    #[serde(default)]
    pub signatures: Vec<Signature>,
}

impl SignedBundle {
    /// Reads a signed bundle from JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Encoding`] with the position and the field at fault.
    pub fn from_json(text: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(text).map_err(|error| Error::Encoding { reason: error.to_string() })
    }

    /// Adds the signature of a partner, in place of an earlier one of the same partner.
    ///
    /// # Errors
    ///
    /// [`Error::Encoding`] if the content has no digest.
    pub fn sign(&mut self, signer: &PartnerSigner) -> Result<(), Error> {
        let digest = Digest::of(&self.bundle)?;
        self.signatures.retain(|signature| &signature.partner != signer.partner());
        self.signatures.push(Signature::sign(signer, Purpose::Accept, &digest));
        Ok(())
    }
}

/// A bundle whose content is valid and that two trusted partners signed. Only [`verify`] creates one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VerifiedBundle {
    signed: SignedBundle,
    digest: Digest,
}

impl VerifiedBundle {
    /// Returns the content.
    pub fn bundle(&self) -> &Bundle {
        &self.signed.bundle
    }

    /// Returns the version.
    pub fn version(&self) -> BundleVersion {
        self.signed.bundle.version
    }

    /// Returns the digest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the content with its signatures, to be passed on to other processes, which verify it again.
    pub fn signed(&self) -> &SignedBundle {
        &self.signed
    }
}

/// Checks the signatures of a bundle and then its content.
///
/// # Errors
///
/// Any [`Error`] but those of key files.
pub fn verify(signed: &SignedBundle, trusted: &TrustedPartners) -> Result<VerifiedBundle, Error> {
    let digest = check_signatures(signed, trusted)?;
    if signed.signatures.len() < REQUIRED_PARTNERS {
        return Err(Error::TooFewSignatures { found: signed.signatures.len() });
    }
    validate(&signed.bundle)?;
    Ok(VerifiedBundle { signed: signed.clone(), digest })
}

/// Checks that each signature is right and that no partner signed twice, and returns the digest.
///
/// # Errors
///
/// Any [`Error`] of signatures but [`Error::TooFewSignatures`].
pub fn check_signatures(signed: &SignedBundle, trusted: &TrustedPartners) -> Result<Digest, Error> {
    let digest = Digest::of(&signed.bundle)?;
    for (index, signature) in signed.signatures.iter().enumerate() {
        let earlier = &signed.signatures[..index];
        if earlier.iter().any(|other| other.partner == signature.partner) {
            return Err(Error::RepeatedPartner { partner: signature.partner.clone() });
        }
        signature.check(Purpose::Accept, &digest, trusted)?;
    }
    Ok(digest)
}
