//! Stand-in for the platform's metadata store: rows, transactions, reads and the feed of changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{Json, number, object, text};
use crate::record::Record;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    /// Each change: version, key, and the value unless the row was removed.
    history: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    began: Instant,
    losses: Arc<Mutex<Losses>>,
    record: Record,
}

/// Answers that are lost: until a time, the first of each [`WRITES_PER_LOSS`] writes is done late and not answered.
#[derive(Default)]
struct Losses {
    until: Option<Instant>,
    delay: Duration,
    writes: usize,
    /// Time at which the last lost write was done.
    done: Option<Instant>,
}

/// The site file loses up to 0.35 of the writes, `platform_lost`.
const WRITES_PER_LOSS: usize = 3;

const FIELDS: [&str; 3] = ["table", "part", "key"];

fn key_of(row: &Json) -> Key {
    let [table, part, key] = FIELDS.map(|name| row.get(name).text().to_owned());
    (table, part, key)
}

fn row_json((table, part, key): &Key, value: Option<&str>, version: u64) -> Json {
    let mut row = object([("table", text(table)), ("key", text(key)), ("ver", number(version))]);
    if let Json::Object(fields) = &mut row {
        if !part.is_empty() {
            fields.insert("part".to_owned(), text(part));
        }
        match value {
            Some(value) => fields.insert("value".to_owned(), text(value)),
            None => fields.insert("deleted".to_owned(), Json::Bool(true)),
        };
    }
    row
}

impl Store {
    pub fn new(record: &Record) -> Self {
        let record = record.clone();
        Self { rows: Arc::default(), began: Instant::now(), losses: Arc::default(), record }
    }

    /// Serves the store on a free loopback port.
    pub fn serve(&self) -> SocketAddr {
        let store = self.clone();
        http::serve(SocketAddr::from(([127, 0, 0, 1], 0)), move |request| store.handle(&request))
    }

    /// Loses answers for a time: a lost write is done after the delay, if its conditions still hold.
    pub fn lose_answers(&self, time: Duration, delay: Duration) {
        *self.losses.lock().unwrap() =
            Losses { until: Some(Instant::now() + time), delay, ..Losses::default() };
    }

    /// Returns the end of the last disturbance: that of the losses, or the time of the last late write if it is later. `None`
    /// if no write was lost and done.
    pub fn calm_since(&self) -> Option<Instant> {
        let losses = self.losses.lock().unwrap();
        losses.done.max(losses.until).filter(|_| losses.done.is_some())
    }

    /// Returns the delay after which the next write is done without an answer, if it is one of those.
    fn next_loss(&self) -> Option<Duration> {
        let mut losses = self.losses.lock().unwrap();
        losses.until.filter(|until| Instant::now() < *until)?;
        losses.writes += 1;
        (losses.writes % WRITES_PER_LOSS == 1).then_some(losses.delay)
    }

    /// Writes a row of the operator's table.
    pub fn write_operator_row(&self, key: &str, value: &Json) {
        let key = ("op".to_owned(), String::new(), key.to_owned());
        let value = base64(value.to_string().as_bytes());
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(key.clone(), (value.clone(), version));
        rows.history.push((version, key, Some(value)));
        self.rows.1.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path()) {
            ("POST", "/rows-tx") => {
                let call = Json::parse(&request.body)?;
                let Some(delay) = self.next_loss() else {
                    return self.transact(&call);
                };
                let written = call.get("setKeys").list().iter().map(|row| row.get("key").text());
                let written: Vec<&str> = written.collect();
                self.record.line(&format!("store: the write of {written:?} gets no answer"));
                std::thread::sleep(delay);
                let status = self.transact(&call).map_or(0, |(status, _)| status);
                self.losses.lock().unwrap().done = Some(Instant::now());
                self.record
                    .line(&format!("store: the write of {written:?} is done late, with {status}"));
                // The channel on which an answer is lost delivers nothing further.
                std::thread::sleep(Duration::from_secs(60));
                None
            }
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn with_time(&self, fields: &mut Json, version: u64) {
        if let Json::Object(fields) = fields {
            fields.insert("ver".to_owned(), number(version));
            fields.insert("nowMs".to_owned(), number(self.began.elapsed().as_millis() as u64));
        }
    }

    fn transact(&self, call: &Json) -> Response {
        // A transaction takes 4 ms.
        std::thread::sleep(Duration::from_millis(4));
        let mut rows = self.rows.0.lock().unwrap();
        let conditions = call.get("precondition").list();
        let version_of = |rows: &Rows, key: &Key| rows.rows.get(key).map_or(0, |row| row.1);
        let holds = conditions
            .iter()
            .all(|row| version_of(&rows, &key_of(row)) == row.get("ver").number().unwrap_or(0));
        if !holds {
            let current = conditions.iter().filter_map(|row| {
                let key = key_of(row);
                let (value, version) = rows.rows.get(&key)?;
                Some(row_json(&key, Some(value), *version))
            });
            let mut answer = object([("rows", Json::List(current.collect()))]);
            self.with_time(&mut answer, rows.version);
            return Some((412, answer.to_string()));
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("setKeys").list() {
            let (key, value) = (key_of(row), row.get("value").text().to_owned());
            rows.rows.insert(key.clone(), (value.clone(), version));
            rows.history.push((version, key, Some(value)));
        }
        for row in call.get("remove").list() {
            let key = key_of(row);
            if rows.rows.remove(&key).is_some() {
                rows.history.push((version, key, None));
            }
        }
        self.rows.1.notify_all();
        let mut answer = object([]);
        self.with_time(&mut answer, version);
        Some((200, answer.to_string()))
    }

    fn read(&self, request: &Request) -> Response {
        let rows = self.rows.0.lock().unwrap();
        let (table, part, from) =
            (request.query("table"), request.query("part"), request.query("from"));
        let limit = request.query("limit").parse().unwrap_or(500_usize).min(500);
        let mut found = rows
            .rows
            .iter()
            .filter(|((in_table, in_part, key), _)| {
                *in_table == table && *in_part == part && *key >= from
            })
            .map(|(key, (value, version))| row_json(key, Some(value), *version));
        let list: Vec<Json> = found.by_ref().take(limit).collect();
        let has_more = found.next().is_some();
        let mut answer = object([("rows", Json::List(list)), ("hasMore", Json::Bool(has_more))]);
        self.with_time(&mut answer, rows.version);
        Some((200, answer.to_string()))
    }

    fn feed(&self, request: &Request) -> Response {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut rows = self.rows.0.lock().unwrap();
        loop {
            let changed: Vec<Json> = rows
                .history
                .iter()
                .filter(|(version, key, _)| *version > after && key.0 == table)
                .map(|(version, key, value)| row_json(key, value.as_deref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let mut answer = object([("rows", Json::List(changed))]);
                self.with_time(&mut answer, rows.version);
                return Some((200, answer.to_string()));
            }
            rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let value = (0..3).fold(0_u32, |sum, at| {
            sum << 8 | u32::from(chunk.get(at).copied().unwrap_or_default())
        });
        for at in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * at) & 63) as usize] as char;
            encoded.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    encoded
}
