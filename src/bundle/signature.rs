//! Signatures of bundles and their verification.

use ed25519_dalek::{Signature as RawSignature, Signer};
use serde::{Deserialize, Serialize};

use super::{Bundle, Digest, Error, PartnerSigner, TrustedPartners, validate};
use crate::prelude::*;

/// Number of different partners that must sign a bundle.
pub const REQUIRED_PARTNERS: usize = 2;

/// Purpose of a signature. It is part of the signed message, so that a signature is not valid for another purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The partner accepts the content of the bundle.
    Accept,
    /// The partner requests the rollout of the bundle.
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

/// Signature of one partner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Signature {
    /// Partner that signed.
    pub partner: PartnerId,
    /// Ed25519 signature as 128 hexadecimal digits.
    pub signature_hex: String,
}

impl Signature {
    /// Signs a digest for a purpose.
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

/// A bundle with signatures of partners; neither its content nor its signatures have been checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// Content of the bundle.
    pub bundle: Bundle,
    /// Signatures of partners that accept the content.
    #[serde(default)]
    pub signatures: Vec<Signature>,
}

impl SignedBundle {
    /// Decodes a signed bundle from JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Encoding`] with the position and the name of the invalid field.
    pub fn from_json(text: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(text).map_err(|error| Error::Encoding { reason: error.to_string() })
    }

    /// Adds the signature of a partner and removes an earlier one of the same partner.
    ///
    /// # Errors
    ///
    /// [`Error::Encoding`] if the digest cannot be computed.
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
    /// Returns the content of the bundle.
    pub fn bundle(&self) -> &Bundle {
        &self.signed.bundle
    }

    /// Returns the version of the bundle.
    pub fn version(&self) -> BundleVersion {
        self.signed.bundle.version
    }

    /// Returns the digest of the content.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the content with its signatures, for transfer to other processes, which verify it again.
    pub fn signed(&self) -> &SignedBundle {
        &self.signed
    }
}

/// Verifies the signatures of a bundle and then its content.
///
/// # Errors
///
/// Any [`Error`] except [`Error::KeyFile`] and [`Error::Partners`].
pub fn verify(signed: &SignedBundle, trusted: &TrustedPartners) -> Result<VerifiedBundle, Error> {
    let digest = check_signatures(signed, trusted)?;
    if signed.signatures.len() < REQUIRED_PARTNERS {
        return Err(Error::TooFewSignatures { found: signed.signatures.len() });
    }
    validate(&signed.bundle)?;
    Ok(VerifiedBundle { signed: signed.clone(), digest })
}

/// Checks that each signature is valid and that no partner signed twice, and returns the digest of the content.
///
/// # Errors
///
/// [`Error::Encoding`], [`Error::RepeatedPartner`], or any error of [`Signature::check`].
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
