//! The command line's client of the entries.

use std::time::Duration;

use reqwest::{Method, RequestBuilder, Response, Url};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{Error, Result};
use crate::api::ApiError;

/// The time after which a call counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The time after which an entry counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The base URLs of the entries, at least one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entries(Vec<String>);

impl Entries {
    /// Checks a list of base URLs.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if it is empty or one is not an http URL.
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

/// Whether a call may be sent to a second entry after the first may have handled it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The call changes nothing, or its idempotency key makes a second one harmless.
    Idempotent,
    /// A second entry is tried only if the first certainly did nothing.
    OnlyIfNotSent,
}

/// A client that tries the entries in turn.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    entries: Entries,
}

impl Client {
    /// Creates a client.
    pub fn new(entries: Entries) -> Self {
        let builder =
            reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
        Self { http: builder.build().unwrap_or_default(), entries }
    }

    /// Returns the entries.
    pub fn entries(&self) -> &Entries {
        &self.entries
    }

    /// Reads a JSON answer.
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

    /// Sends a call without a body, or with a JSON body, and reads the JSON answer.
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

    /// Sends a call to the entries in turn, and returns the first answer that is not an error.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] with the answer of an entry, [`Error::Unreachable`] or [`Error::Unknown`].
    pub async fn call<F>(&self, retry: Retry, build: F) -> Result<Response>
    where
        F: Fn(&reqwest::Client, &str) -> RequestBuilder,
    {
        let mut last = Error::Unreachable { reason: "no entry was tried".to_owned() };
        let mut maybe_sent = None;
        for base in self.entries.urls() {
            log::debug!(entry = base.as_str(); "call");
            match build(&self.http, base).send().await {
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) => {
                    let error = refusal(response).await;
                    let not_run = error.outcome == crate::job::Outcome::NotRun;
                    let elsewhere = error.code == crate::api::ErrorCode::Unavailable && not_run;
                    last = Error::Refused { error };
                    if !elsewhere {
                        break;
                    }
                }
                Err(error) if error.is_connect() => {
                    last = Error::Unreachable { reason: describe(&error) };
                }
                Err(error) => {
                    maybe_sent = Some(describe(&error));
                    if retry == Retry::OnlyIfNotSent {
                        break;
                    }
                }
            }
        }
        // A later refusal does not make an earlier call certain that was sent and never answered.
        Err(maybe_sent.map_or(last, |reason| Error::Unknown { reason }))
    }
}

async fn refusal(response: Response) -> ApiError {
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

/// Describes an error with its causes, without the URL, which is in the log.
fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
