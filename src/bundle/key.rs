//! Keys of partners: key files, and the partners that a process trusts.

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

/// Only the owner of a key file may read it.
const KEY_FILE_MODE: u32 = 0o600;

/// The partners that a process trusts: the root of trust for bundles, which comes from the process's settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Vec<TrustedPartner>", into = "Vec<TrustedPartner>")]
pub struct TrustedPartners(Vec<(PartnerId, VerifyingKey)>);

impl TrustedPartners {
    /// Returns the key of a partner.
    pub fn key_of(&self, partner: &PartnerId) -> Option<&VerifyingKey> {
        self.0.iter().find(|(id, _)| id == partner).map(|(_, key)| key)
    }
}

impl TryFrom<Vec<TrustedPartner>> for TrustedPartners {
    type Error = Error;

    /// Refuses repeated partners and repeated keys: one person with two names must not be able to sign twice.
    fn try_from(partners: Vec<TrustedPartner>) -> Result<Self, Error> {
        if partners.len() < 2 {
            let reason = format!("{} given, but at least two are needed", partners.len());
            return Err(Error::Partners { reason });
        }
        let mut ids = BTreeSet::new();
        let mut keys = BTreeSet::new();
        let mut trusted = Vec::with_capacity(partners.len());
        for partner in partners {
            let key = parse_public_key(&partner)?;
            if !ids.insert(partner.id.clone()) {
                let reason = format!("partner {} is named twice", partner.id);
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
        let plain = |(id, key): (PartnerId, VerifyingKey)| TrustedPartner {
            id,
            public_key: hex::encode(key.to_bytes()),
        };
        partners.0.into_iter().map(plain).collect()
    }
}

fn parse_public_key(partner: &TrustedPartner) -> Result<VerifyingKey, Error> {
    let field = format!("partners: public_key of {}", partner.id);
    let bytes = decode_key(&field, &partner.public_key)?;
    let key = VerifyingKey::from_bytes(&bytes)
        .map_err(|error| Error::Hex { field: field.clone(), reason: error.to_string() })?;
    // Anybody can make signatures that match a weak key.
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

/// The pair of keys with which a partner signs.
#[derive(Clone)]
pub struct PartnerSigner {
    partner: PartnerId,
    key: SigningKey,
}

/// The content of a key file.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyFile {
    partner: PartnerId,
    secret_key: String,
    public_key: String,
}

impl PartnerSigner {
    /// Creates a new pair of keys for a partner.
    pub fn generate<R>(partner: PartnerId, random: &mut R) -> Self
    where
        R: rand::CryptoRng,
    {
        Self { partner, key: SigningKey::generate(random) }
    }

    /// Returns the partner.
    pub fn partner(&self) -> &PartnerId {
        &self.partner
    }

    /// Returns the private key.
    pub(super) fn key(&self) -> &SigningKey {
        &self.key
    }

    /// Returns the public key, as settings name it.
    pub fn public_key(&self) -> TrustedPartner {
        let public_key = hex::encode(self.key.verifying_key().to_bytes());
        TrustedPartner { id: self.partner.clone(), public_key }
    }

    /// Writes the pair to a new file that only its owner may read.
    ///
    /// # Errors
    ///
    /// [`Error::KeyFile`] if the file exists, because a lost private key cannot be restored, or cannot be written.
    pub fn write_new(&self, path: &Path) -> Result<(), Error> {
        let content = KeyFile {
            partner: self.partner.clone(),
            secret_key: hex::encode(self.key.to_bytes()),
            public_key: self.public_key().public_key,
        };
        let text = serde_json::to_string_pretty(&content).map_err(|e| key_file(path, &e))?;
        let mut options = OpenOptions::new();
        let mut file = options
            .write(true)
            .create_new(true)
            .mode(KEY_FILE_MODE)
            .open(path)
            .map_err(|e| key_file(path, &e))?;
        file.write_all(text.as_bytes()).map_err(|e| key_file(path, &e))?;
        file.write_all(b"\n").map_err(|e| key_file(path, &e))?;
        file.sync_all().map_err(|e| key_file(path, &e))
    }

    /// Reads a key file.
    ///
    /// # Errors
    ///
    /// [`Error::KeyFile`] if it cannot be read or its two keys do not belong together.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|e| key_file(path, &e))?;
        let content: KeyFile = serde_json::from_str(&text).map_err(|e| key_file(path, &e))?;
        let secret =
            decode_key("secret_key", &content.secret_key).map_err(|e| key_file(path, &e))?;
        let signer = Self { partner: content.partner, key: SigningKey::from_bytes(&secret) };
        if signer.public_key().public_key != content.public_key {
            return Err(key_file(path, &"public_key does not belong to secret_key"));
        }
        Ok(signer)
    }
}

fn key_file<E>(path: &Path, error: &E) -> Error
where
    E: ToString + ?Sized,
{
    Error::KeyFile { path: path.display().to_string(), reason: error.to_string() }
}
