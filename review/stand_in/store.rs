//! Stand-in of the platform's store: rows with one version counter, transactions, reads and the feed of changes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Listener, Reply, Request};
use crate::json::{Json, number, object, text};
use crate::record::Record;

/// Limits of the page on the store.
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1024 * 1024;
const MAX_ROW_BYTES: usize = 65_536;
const MAX_READ_ROWS: usize = 500;
const MAX_READ_BYTES: usize = 1_000_000;
/// Time that a transaction or a read takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    Up,
    /// Answers 503 and does nothing.
    Busy,
}

type Key = (String, String, String);

struct State {
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(u64, Key, Option<String>)>,
    version: u64,
    mode: Mode,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr, record: &Record) -> io::Result<Self> {
        let state =
            State { rows: BTreeMap::new(), history: Vec::new(), version: 0, mode: Mode::Up };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
            started: Instant::now(),
        };
        let served = store.clone();
        Listener::start(address, move |request| served.handle(request))?;
        Ok(store)
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.0.lock().unwrap().mode = mode;
        self.state.1.notify_all();
        let name = if mode == Mode::Up { "up" } else { "down, answers 503" };
        self.record.add(&format!("store is {name}"));
    }

    /// Writes a row as the operator.
    pub fn write_as_operator(&self, key: &str, content: &Json) {
        let key = ("op".to_owned(), String::new(), key.to_owned());
        self.state.0.lock().unwrap().set(key, encode_base64(content.to_string().as_bytes()));
        self.state.1.notify_all();
    }

    /// Returns which of the names occurs in the row of the leadership, which the system keeps in its own table. The
    /// bench picks a leader in a similar way: as the machine that last wrote under a condition.
    pub fn leader<'a>(&self, names: &'a [String]) -> Option<&'a String> {
        let state = self.state.0.lock().unwrap();
        let row = state.rows.iter().find(|((table, _, key), _)| table == "lead" && key == "leader");
        let content = decode_base64(&row?.1.0);
        let content = String::from_utf8_lossy(&content).into_owned();
        names.iter().find(|name| content.contains(name.as_str()))
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.state.0.lock().unwrap().mode == Mode::Busy {
            return Reply::Answer(503, object([]));
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(request),
            ("GET", "/rows-get") => self.get(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => Reply::Answer(404, object([])),
        }
    }

    fn now_ms(&self) -> Json {
        number(self.started.elapsed().as_millis() as u64)
    }

    fn transact(&self, request: &Request) -> Reply {
        std::thread::sleep(ANSWER_TIME);
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, object([("reason", text("body"))]));
        };
        let (conditions, puts, removals) =
            (body.list("precondition"), body.list("setKeys"), body.list("remove"));
        let entries = conditions.len() + puts.len() + removals.len();
        let largest_row = puts
            .iter()
            .map(|row| decode_base64(row.text("value").unwrap_or_default()).len())
            .max()
            .unwrap_or(0);
        if entries > MAX_ENTRIES
            || request.body.len() > MAX_CALL_BYTES
            || largest_row > MAX_ROW_BYTES
        {
            self.record.add(&format!(
                "store refuses a transaction with 400: {entries} entries, {} bytes, largest row {largest_row} bytes",
                request.body.len()
            ));
            return Reply::Answer(400, object([("reason", text("size"))]));
        }
        let parts = || conditions.iter().chain(puts).chain(removals).map(key_of);
        let first = parts().next().map(|key| key.1);
        let across = body.get("across") == Some(&Json::Bool(true));
        if !across && parts().any(|key| Some(key.1) != first) {
            return Reply::Answer(400, object([("reason", text("across"))]));
        }
        if puts
            .iter()
            .chain(removals)
            .any(|row| matches!(row.text("table"), Some("op" | "servers")))
        {
            return Reply::Answer(403, object([]));
        }
        let mut state = self.state.0.lock().unwrap();
        if state.mode == Mode::Busy {
            return Reply::Answer(503, object([]));
        }
        let version_of = |state: &State, row: &Json| {
            state.rows.get(&key_of(row)).map_or(0, |(_, version)| *version)
        };
        let holds =
            conditions.iter().all(|row| version_of(&state, row) == row.number("ver").unwrap_or(0));
        if !holds {
            let keys = conditions.iter().map(key_of);
            let rows = keys.filter_map(|key| state.row(&key)).collect();
            let body = object([
                ("rows", Json::List(rows)),
                ("ver", number(state.version)),
                ("nowMs", self.now_ms()),
            ]);
            return Reply::Answer(412, body);
        }
        state.version += 1;
        for row in puts {
            let value = row.text("value").unwrap_or_default().to_owned();
            state.put(key_of(row), value);
        }
        for row in removals {
            let (key, version) = (key_of(row), state.version);
            state.rows.remove(&key);
            state.history.push((version, key, None));
        }
        let body = object([("ver", number(state.version)), ("nowMs", self.now_ms())]);
        drop(state);
        self.state.1.notify_all();
        Reply::Answer(200, body)
    }

    fn get(&self, request: &Request) -> Reply {
        std::thread::sleep(ANSWER_TIME);
        let state = self.state.0.lock().unwrap();
        let field = |name: &str| request.query.get(name).map_or("", String::as_str);
        let limit = field("limit").parse().unwrap_or(MAX_READ_ROWS).min(MAX_READ_ROWS);
        let is_asked = |key: &&Key| {
            key.0 == field("table")
                && key.1 == field("part")
                && key.2.as_str() >= field("from")
                && (field("target").is_empty() || key.2.as_str() < field("target"))
        };
        let (mut rows, mut size, mut has_more) = (Vec::new(), 0, false);
        for key in state.rows.keys().filter(is_asked) {
            if rows.len() >= limit || size > MAX_READ_BYTES {
                has_more = true;
                break;
            }
            size += state.rows[key].0.len();
            rows.extend(state.row(key));
        }
        let body = object([
            ("rows", Json::List(rows)),
            ("hasMore", Json::Bool(has_more)),
            ("ver", number(state.version)),
            ("nowMs", self.now_ms()),
        ]);
        Reply::Answer(200, body)
    }

    fn feed(&self, request: &Request) -> Reply {
        let field = |name: &str| request.query.get(name).map_or("", String::as_str);
        let after: u64 = field("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.mode == Mode::Busy {
                return Reply::Answer(503, object([]));
            }
            let begin = state.history.partition_point(|(version, ..)| *version <= after);
            let changes =
                state.history[begin..].iter().filter(|(_, key, _)| key.0 == field("table"));
            let rows: Vec<Json> = changes.map(change).collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= until {
                let body = object([
                    ("rows", Json::List(rows)),
                    ("ver", number(state.version)),
                    ("nowMs", self.now_ms()),
                ]);
                return Reply::Answer(200, body);
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

impl State {
    fn set(&mut self, key: Key, value: String) {
        self.version += 1;
        self.put(key, value);
    }

    fn put(&mut self, key: Key, value: String) {
        self.history.push((self.version, key.clone(), Some(value.clone())));
        self.rows.insert(key, (value, self.version));
    }

    fn row(&self, key: &Key) -> Option<Json> {
        let (value, version) = self.rows.get(key)?;
        Some(row_json(key, Some(value), *version))
    }
}

fn change((version, key, value): &(u64, Key, Option<String>)) -> Json {
    row_json(key, value.as_ref(), *version)
}

fn row_json(key: &Key, value: Option<&String>, version: u64) -> Json {
    let last = match value {
        Some(value) => ("value", text(value)),
        None => ("deleted", Json::Bool(true)),
    };
    object([
        ("table", text(&key.0)),
        ("part", text(&key.1)),
        ("key", text(&key.2)),
        ("ver", number(version)),
        last,
    ])
}

fn key_of(row: &Json) -> Key {
    let field = |name| row.text(name).unwrap_or_default().to_owned();
    (field("table"), field("part"), field("key"))
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            match position <= chunk.len() {
                true => encoded.push(DIGITS[(bits >> (18 - 6 * position)) as usize & 63] as char),
                false => encoded.push('='),
            }
        }
    }
    encoded
}

fn decode_base64(encoded: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for byte in encoded.bytes() {
        let Some(value) = DIGITS.iter().position(|digit| *digit == byte) else {
            continue;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
