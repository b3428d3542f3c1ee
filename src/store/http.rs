//! Client of the platform's HTTP interface, which docs/platform.md describes.

use std::time::Duration;

use reqwest::{Response, StatusCode};

use super::{Commit, Committed, Error, ObjectStore, Result, Row, Table};

/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the platform's table and object store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: reqwest::Client,
    base_url: String,
}

impl HttpStore {
    /// Creates a client of the platform at `base_url`, such as `http://10.0.0.1:7400`.
    pub fn new(base_url: &str) -> Self {
        let client = reqwest::Client::builder().timeout(CALL_TIMEOUT).build().unwrap_or_default();
        Self { client, base_url: base_url.trim_end_matches('/').to_owned() }
    }

    async fn get_json<T>(&self, path: &str, query: &[(&str, &str)]) -> Result<T>
    where
        T: serde::de::DeserializeOwned,
    {
        let url = format!("{}{path}?{}", self.base_url, encode_query(query));
        let response = self.client.get(url).send().await.map_err(read_error)?;
        let response = response.error_for_status().map_err(read_error)?;
        response.json().await.map_err(read_error)
    }
}

/// Maps the error of a read, which has no effect whatever the cause.
fn read_error(error: reqwest::Error) -> Error {
    Error::Unavailable { reason: error.without_url().to_string() }
}

/// Maps the error of a write. It had no effect if the connection could not be opened; otherwise its result is unknown.
fn write_error(error: reqwest::Error) -> Error {
    let reason = error.to_string();
    if error.is_connect() { Error::Unavailable { reason } } else { Error::UnknownResult { reason } }
}

fn encode_query(query: &[(&str, &str)]) -> String {
    let pairs: Vec<String> =
        query.iter().map(|(name, value)| format!("{name}={}", percent_encode(value))).collect();
    pairs.join("&")
}

/// Percent-encodes all bytes except ASCII letters, digits and `-._~/`.
fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                encoded.push(byte as char)
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}

async fn decode_commit_response(response: Response) -> Result<Committed> {
    match response.status() {
        StatusCode::OK => response.json().await.map_err(write_error),
        StatusCode::CONFLICT => {
            let row: Row = response.json().await.map_err(write_error)?;
            Err(Error::Conflict { row: Box::new(row) })
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            Err(Error::Unavailable { reason: "the platform returned status 503".to_owned() })
        }
        StatusCode::BAD_REQUEST => {
            Err(Error::Refused { reason: response.text().await.unwrap_or_default() })
        }
        status => {
            Err(Error::UnknownResult { reason: format!("the platform returned status {status}") })
        }
    }
}

impl Table for HttpStore {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        self.get_json("/table/row", &[("key", key)]).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        self.get_json("/table/rows", &[("prefix", prefix)]).await
    }

    async fn commit(&self, commit: &Commit) -> Result<Committed> {
        let url = format!("{}/table/commit", self.base_url);
        let response = self.client.post(url).json(commit).send().await.map_err(write_error)?;
        decode_commit_response(response).await
    }
}

impl ObjectStore for HttpStore {
    async fn put(&self, key: &str, content: &[u8]) -> Result<()> {
        let url = format!("{}/object?key={}", self.base_url, percent_encode(key));
        let response =
            self.client.put(url).body(content.to_vec()).send().await.map_err(write_error)?;
        response.error_for_status().map_err(write_error)?;
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>> {
        let url = format!("{}/object?key={}", self.base_url, percent_encode(key));
        let response = self.client.get(url).send().await.map_err(read_error)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let response = response.error_for_status().map_err(read_error)?;
        Ok(Some(response.bytes().await.map_err(read_error)?.to_vec()))
    }
}
