//! Stand-in of the platform's store: rows with one version counter, conditional transactions, and a feed of changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, number, object, text};

/// `txMs` of the settings.
const TX: Duration = Duration::from_millis(4);
/// `rowBytes` of the settings.
pub const ROW_BYTES: usize = 65_536;
/// Rows in one answer of `/rows-get`.
const PAGE_ROWS: usize = 500;
/// Entries in one call of `/rows-tx`.
const MAX_ENTRIES: usize = 100;
/// Size of a call of `/rows-tx`.
const MAX_CALL_BYTES: usize = 1_000_000;

type Key = (String, String, String);

#[derive(Clone)]
struct Change {
    version: u64,
    key: Key,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (String, u64)>,
    version: u64,
    history: Vec<Change>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// All calls of the system are refused with 503 meanwhile: nothing is done.
    is_down: Arc<AtomicBool>,
    /// Transactions that were refused because a row is larger than `rowBytes`, with the size of the row.
    oversized: Arc<Mutex<Vec<(String, usize)>>>,
    started: Instant,
}

impl Store {
    pub fn serve(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self {
            state: Arc::default(),
            is_down: Arc::default(),
            oversized: Arc::default(),
            started: Instant::now(),
        };
        let handler = store.clone();
        http::serve(address, move |request| handler.handle(request))?;
        Ok(store)
    }

    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.state.1.notify_all();
    }

    pub fn oversized(&self) -> Vec<(String, usize)> {
        self.oversized.lock().unwrap().clone()
    }

    /// Returns how often a row was written.
    pub fn writes_of(&self, table: &str, key: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        state.history.iter().filter(|change| change.key.0 == table && change.key.2 == key).count()
    }

    /// Writes a row as the operator does.
    pub fn operator_put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let key = ("op".to_owned(), String::new(), key.to_owned());
        put(&mut state, key, Some(encode64(value.as_bytes())));
        self.state.1.notify_all();
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn handle(&self, request: &Request) -> Answer {
        if self.is_down() {
            return Some((503, "{}".to_owned()));
        }
        match request.path.as_str() {
            "/rows-tx" => Some(self.transact(request)),
            "/rows-get" => Some(self.read(request)),
            "/rows-feed" => Some(self.feed(request)),
            "/rows-parts" => Some(self.parts(request)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        thread::sleep(TX);
        let body = request.json();
        let entries = ["precondition", "setKeys", "remove"].map(|name| body.list_of(name));
        let count: usize = entries.iter().map(|list| list.len()).sum();
        if count > MAX_ENTRIES || request.body.len() > MAX_CALL_BYTES {
            return (400, "{\"error\":\"the call is too large\"}".to_owned());
        }
        let [conditions, puts, removals] = entries;
        let all = conditions.iter().chain(puts).chain(removals);
        let parts: BTreeSet<&str> = all.map(|entry| entry.str_of("part")).collect();
        if parts.len() > 1 && body.get("across") != Some(&Json::Bool(true)) {
            return (400, "{\"error\":\"several parts\"}".to_owned());
        }
        for entry in puts.iter().chain(removals) {
            if ["op", "servers"].contains(&entry.str_of("table")) {
                return (403, "{}".to_owned());
            }
        }
        for entry in puts {
            let size = decode64(entry.str_of("value")).map_or(0, |value| value.len());
            if size > ROW_BYTES {
                self.oversized.lock().unwrap().push((entry.str_of("key").to_owned(), size));
                return (400, format!("{{\"error\":\"a row has {size} bytes\"}}"));
            }
        }
        let mut state = self.state.0.lock().unwrap();
        let current =
            |state: &State, entry: &Json| state.rows.get(&key_of(entry)).map_or(0, |row| row.1);
        if conditions.iter().any(|entry| current(&state, entry) != entry.u64_of("ver")) {
            let rows = conditions.iter().filter_map(|entry| {
                let key = key_of(entry);
                let (value, version) = state.rows.get(&key)?;
                Some(row(&key, Some(value), *version))
            });
            return (412, answer(&state, rows.collect(), self.started, false));
        }
        state.version += 1;
        for entry in puts {
            put(&mut state, key_of(entry), Some(entry.str_of("value").to_owned()));
        }
        for entry in removals {
            put(&mut state, key_of(entry), None);
        }
        self.state.1.notify_all();
        (200, answer(&state, Vec::new(), self.started, false))
    }

    fn read(&self, request: &Request) -> (u16, String) {
        thread::sleep(TX);
        let (table, part) = (request.query_of("table"), request.query_of("part"));
        let (from, target) = (request.query_of("from"), request.query_of("target"));
        let limit = request.query_of("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let state = self.state.0.lock().unwrap();
        let mut found = state.rows.iter().filter(|((row_table, row_part, key), _)| {
            row_table == table
                && row_part == part
                && key.as_str() >= from
                && (target.is_empty() || key.as_str() < target)
        });
        let rows: Vec<Json> = found
            .by_ref()
            .take(limit)
            .map(|(key, (value, ver))| row(key, Some(value), *ver))
            .collect();
        let has_more = found.next().is_some();
        (200, answer(&state, rows, self.started, has_more))
    }

    fn parts(&self, request: &Request) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let table = request.query_of("table");
        let parts: BTreeSet<&String> =
            state.rows.keys().filter(|key| key.0 == table).map(|key| &key.1).collect();
        let parts = parts.into_iter().map(text).collect();
        (200, object(vec![("parts", Json::List(parts))]).to_string())
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.query_of("table");
        let after: u64 = request.query_of("after").parse().unwrap_or(0);
        let wait =
            Duration::from_millis(request.query_of("waitMs").parse().unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if self.is_down() {
                return (503, "{}".to_owned());
            }
            let changes: Vec<Json> = state
                .history
                .iter()
                .filter(|change| change.version > after && change.key.0 == table)
                .map(|change| row(&change.key, change.value.as_ref(), change.version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                return (200, answer(&state, changes, self.started, false));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn put(state: &mut State, key: Key, value: Option<String>) {
    let version = state.version;
    match &value {
        Some(value) => {
            state.rows.insert(key.clone(), (value.clone(), version));
        }
        None => {
            state.rows.remove(&key);
        }
    }
    state.history.push(Change { version, key, value });
}

fn key_of(entry: &Json) -> Key {
    (
        entry.str_of("table").to_owned(),
        entry.str_of("part").to_owned(),
        entry.str_of("key").to_owned(),
    )
}

fn row((table, part, key): &Key, value: Option<&String>, version: u64) -> Json {
    let mut fields = vec![
        ("table", text(table)),
        ("part", text(part)),
        ("key", text(key)),
        ("ver", number(version)),
    ];
    match value {
        Some(value) => fields.push(("value", text(value))),
        None => fields.push(("deleted", Json::Bool(true))),
    }
    object(fields)
}

fn answer(state: &State, rows: Vec<Json>, started: Instant, has_more: bool) -> String {
    let now_ms = started.elapsed().as_millis() as u64;
    object(vec![
        ("rows", Json::List(rows)),
        ("hasMore", Json::Bool(has_more)),
        ("ver", number(state.version)),
        ("nowMs", number(now_ms)),
    ])
    .to_string()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn decode64(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        word = word << 6 | DIGITS.iter().position(|digit| *digit == byte)? as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    Some(out)
}
