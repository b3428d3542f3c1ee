//! HTTP client of the command line, which calls the entries.

use std::time::Duration;

use reqwest::{Method, RequestBuilder, Response, Url};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{Error, Result};
use crate::api::ApiError;

/// Timeout of a whole call. A call that was sent and exceeds it has an unknown outcome.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for connecting to an entry; after it the next entry is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Non-empty list of the base URLs of entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entries(Vec<String>);

impl Entries {
    /// Parses a list of base URLs and removes their trailing slashes.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if the list is empty or contains anything but http URLs.
    pub fn parse<'a, L>(list: L) -> Result<Self>
    where
        L: Iterator<Item = &'a str>,
    {
        let mut entries = Vec::new();
        for text in list.map(str::trim).filter(|text| !text.is_empty()) {
            let url = Url::parse(text)
                .map_err(|error| Error::Usage { reason: format!("entry {text:?}: {error}") })?;
            if url.scheme() != "http" || url.host().is_none() {
                return Err(Error::Usage { reason: format!("entry {text:?} must be an http URL") });
            }
            entries.push(text.trim_end_matches('/').to_owned());
        }
        if entries.is_empty() {
            return Err(Error::Usage { reason: "the list of entries is empty".to_owned() });
        }
        Ok(Self(entries))
    }

    /// Returns the base URLs.
    pub fn urls(&self) -> &[String] {
        &self.0
    }
}

/// Rule for sending a call to another entry after an entry may have handled it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The call may be repeated: it is idempotent, or carries an idempotency key.
    Idempotent,
    /// Another entry is tried only if the earlier ones are guaranteed not to have run the call.
    OnlyIfNotSent,
}

/// Client that tries the entries in turn.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    entries: Entries,
}

impl Client {
    /// Creates a client of the given entries.
    pub fn new(entries: Entries) -> Self {
        let builder =
            reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
        Self { http: builder.build().unwrap_or_default(), entries }
    }

    /// Returns the entries.
    pub fn entries(&self) -> &Entries {
        &self.entries
    }

    /// Sends a GET request for a path and decodes the JSON answer.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a call.
    pub async fn get<T>(&self, path: &str) -> Result<T>
    where
        T: DeserializeOwned,
    {
        let response =
            self.call(Retry::Idempotent, |http, base| http.get(format!("{base}{path}"))).await?;
        decode(response).await
    }

    /// Sends a call without a body, or with a JSON body, and decodes the JSON answer.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a call.
    pub async fn send(
        &self,
        method: &Method,
        path: &str,
        body: Option<&Value>,
        retry: Retry,
    ) -> Result<Value> {
        let response = self
            .call(retry, |http, base| {
                let request = http.request(method.clone(), format!("{base}{path}"));
                match body {
                    Some(body) => request.json(body),
                    None => request,
                }
            })
            .await?;
        decode(response).await
    }

    /// Sends a call to the entries in turn and returns the first successful response. The next entry is tried if an
    /// entry cannot be reached, reports that it is unavailable and did not run the call, or leaves an idempotent call
    /// without an answer.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] with the error of an entry, [`Error::Unreachable`] if no entry could be reached, or
    /// [`Error::Unknown`] if a call may have been sent but its result was not received.
    pub async fn call<F>(&self, retry: Retry, build: F) -> Result<Response>
    where
        F: Fn(&reqwest::Client, &str) -> RequestBuilder,
    {
        let mut last_error = Error::Unreachable { reason: "no entry was tried".to_owned() };
        let mut unanswered = None;
        for base in self.entries.urls() {
            log::debug!(entry = base.as_str(); "sending the call to an entry");
            match build(&self.http, base).send().await {
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) => {
                    let error = decode_error(response).await;
                    let not_run = error.outcome == crate::job::Outcome::NotRun;
                    let try_next_entry =
                        error.code == crate::api::ErrorCode::Unavailable && not_run;
                    last_error = Error::Refused { error };
                    if !try_next_entry {
                        break;
                    }
                }
                Err(error) if error.is_connect() => {
                    last_error = Error::Unreachable { reason: describe(&error) };
                }
                Err(error) => {
                    unanswered = Some(describe(&error));
                    if retry == Retry::OnlyIfNotSent {
                        break;
                    }
                }
            }
        }
        // An earlier call that was sent and never answered may have taken effect, even if a later entry refused it.
        Err(unanswered.map_or(last_error, |reason| Error::Unknown { reason }))
    }
}

async fn decode_error(response: Response) -> ApiError {
    let status = response.status();
    let text = response.text().await.unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_else(|_| {
        let code = if status.is_client_error() {
            crate::api::ErrorCode::BadInput
        } else {
            crate::api::ErrorCode::Unknown
        };
        ApiError::new(code, &format!("the entry answered {status}: {}", text.trim()))
    })
}

async fn decode<T>(response: Response) -> Result<T>
where
    T: DeserializeOwned,
{
    response.json().await.map_err(|error| Error::Unknown { reason: describe(&error) })
}

/// Returns the text of an error and its causes.
fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
