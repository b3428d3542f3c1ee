//! Keys of partners: key files and trusted partners.

use std::collections::BTreeSet;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use ed25519_dalek::{SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};

use super::Error;
use crate::prelude::*;
use crate::settings::TrustedPartner;

/// File mode of a key file: only its owner may read and write it.
const KEY_FILE_MODE: u32 = 0o600;

/// Partners whose signatures a process accepts, from its settings: the root of trust for bundles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Vec<TrustedPartner>", into = "Vec<TrustedPartner>")]
pub struct TrustedPartners(Vec<(PartnerId, VerifyingKey)>);

impl TrustedPartners {
    /// Returns the public key of a partner, or `None` if the partner is not trusted.
    pub fn key_of(&self, partner: &PartnerId) -> Option<&VerifyingKey> {
        self.0.iter().find(|(id, _)| id == partner).map(|(_, key)| key)
    }
}

impl TryFrom<Vec<TrustedPartner>> for TrustedPartners {
    type Error = Error;

    /// Checks the list of partners. Refuses repeated partners and repeated keys, because a holder of one key under two
    /// names could otherwise provide both signatures of a bundle.
    fn try_from(partners: Vec<TrustedPartner>) -> Result<Self, Error> {
        if partners.len() < 2 {
            let reason = format!("{} listed, but at least two are needed", partners.len());
            return Err(Error::Partners { reason });
        }
        let mut ids = BTreeSet::new();
        let mut keys = BTreeSet::new();
        let mut trusted = Vec::with_capacity(partners.len());
        for partner in partners {
            let key = parse_public_key(&partner)?;
            if !ids.insert(partner.id.clone()) {
                let reason = format!("partner {} is listed twice", partner.id);
                return Err(Error::Partners { reason });
            }
            if !keys.insert(key.to_bytes()) {
                let reason = format!("partner {} has the key of another partner", partner.id);
                return Err(Error::Partners { reason });
            }
            trusted.push((partner.id, key));
        }
        Ok(Self(trusted))
    }
}

impl From<TrustedPartners> for Vec<TrustedPartner> {
    fn from(partners: TrustedPartners) -> Self {
        let to_settings = |(id, key): (PartnerId, VerifyingKey)| TrustedPartner {
            id,
            public_key: hex::encode(key.to_bytes()),
        };
        partners.0.into_iter().map(to_settings).collect()
    }
}

fn parse_public_key(partner: &TrustedPartner) -> Result<VerifyingKey, Error> {
    let field = format!("partners: public_key of {}", partner.id);
    let bytes = decode_key(&field, &partner.public_key)?;
    let key = VerifyingKey::from_bytes(&bytes)
        .map_err(|error| Error::Hex { field: field.clone(), reason: error.to_string() })?;
    // Signatures that match a weak key can be made without its private key.
    if key.is_weak() {
        return Err(Error::Hex { field, reason: "the key is weak".to_owned() });
    }
    Ok(key)
}

fn decode_key(field: &str, text: &str) -> Result<[u8; 32], Error> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text, &mut bytes)
        .map_err(|error| Error::Hex { field: field.to_owned(), reason: error.to_string() })?;
    Ok(bytes)
}

/// Key pair with which a partner signs.
#[derive(Clone)]
pub struct PartnerSigner {
    partner: PartnerId,
    key: SigningKey,
}

/// Content of a key file.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyFile {
    partner: PartnerId,
    secret_key: String,
    public_key: String,
}

impl PartnerSigner {
    /// Generates a key pair for a partner.
    pub fn generate<R>(partner: PartnerId, random: &mut R) -> Self
    where
        R: rand::CryptoRng,
    {
        Self { partner, key: SigningKey::generate(random) }
    }

    /// Returns the partner that holds the key pair.
    pub fn partner(&self) -> &PartnerId {
        &self.partner
    }

    /// Returns the private key.
    pub(super) fn key(&self) -> &SigningKey {
        &self.key
    }

    /// Returns the public key in the form that settings contain.
    pub fn public_key(&self) -> TrustedPartner {
        let public_key = hex::encode(self.key.verifying_key().to_bytes());
        TrustedPartner { id: self.partner.clone(), public_key }
    }

    /// Writes the key pair to a new file that only its owner may read.
    ///
    /// # Errors
    ///
    /// [`Error::KeyFile`] if the file cannot be written or exists already: overwriting it could destroy a private key,
    /// which cannot be restored.
    pub fn write_new(&self, path: &Path) -> Result<(), Error> {
        let content = KeyFile {
            partner: self.partner.clone(),
            secret_key: hex::encode(self.key.to_bytes()),
            public_key: self.public_key().public_key,
        };
        let text = serde_json::to_string_pretty(&content).map_err(|e| key_file_error(path, &e))?;
        let mut options = OpenOptions::new();
        let mut file = options
            .write(true)
            .create_new(true)
            .mode(KEY_FILE_MODE)
            .open(path)
            .map_err(|e| key_file_error(path, &e))?;
        file.write_all(text.as_bytes()).map_err(|e| key_file_error(path, &e))?;
        file.write_all(b"\n").map_err(|e| key_file_error(path, &e))?;
        file.sync_all().map_err(|e| key_file_error(path, &e))
    }

    /// Reads a key file.
    ///
    /// # Errors
    ///
    /// [`Error::KeyFile`] if the file cannot be read or its public key does not match its secret key.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|e| key_file_error(path, &e))?;
        let content: KeyFile = serde_json::from_str(&text).map_err(|e| key_file_error(path, &e))?;
        let secret =
            decode_key("secret_key", &content.secret_key).map_err(|e| key_file_error(path, &e))?;
        let signer = Self { partner: content.partner, key: SigningKey::from_bytes(&secret) };
        if signer.public_key().public_key != content.public_key {
            return Err(key_file_error(path, &"public_key does not match secret_key"));
        }
        Ok(signer)
    }
}

fn key_file_error<E>(path: &Path, error: &E) -> Error
where
    E: ToString + ?Sized,
{
    Error::KeyFile { path: path.display().to_string(), reason: error.to_string() }
}
