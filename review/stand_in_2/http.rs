//! A blocking HTTP/1.1 server and client.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::json::Json;

#[derive(Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Request {
    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }

    pub fn query_of(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }
}

/// Status and body; `None` leaves the call without an answer and closes the connection later, status 0 closes it at once.
pub type Answer = Option<(u16, String)>;

/// Time for which a connection without an answer stays open.
const SILENCE: Duration = Duration::from_secs(20);

/// A server; it stops listening once [`Server::close`] is called.
#[derive(Clone)]
pub struct Server {
    address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Stops listening, so that later connections are refused, and closes all connections, as the end of a process does.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves an address until the server is closed.
pub fn serve<F>(address: SocketAddr, handle: F) -> io::Result<Server>
where
    F: Fn(&Request) -> Answer + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    let server = Server { address, is_closed: Arc::default(), streams: Arc::default() };
    let (closed, streams) = (server.is_closed.clone(), server.streams.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if closed.load(Ordering::SeqCst) {
                return;
            }
            streams.lock().unwrap().extend(stream.try_clone());
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
    Ok(server)
}

pub fn serve_connection<F>(stream: TcpStream, handle: &F) -> io::Result<()>
where
    F: Fn(&Request) -> Answer,
{
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handle(&request) else {
            thread::sleep(SILENCE);
            return Ok(());
        };
        if status == 0 {
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 {status} status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
    Ok(Some((first.trim().to_owned(), headers)))
}

fn read_body<R: Read>(reader: &mut R, headers: &BTreeMap<String, String>) -> io::Result<String> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request<R: BufRead>(reader: &mut R) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    Ok(Some(Request { path: path.to_owned(), query, headers, body }))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Calls an address on a connection of its own. Returns status 0 if there is no complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> (u16, String) {
    let attempt = || -> io::Result<(u16, String)> {
        let mut stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
        head += "content-type: application/json\r\nconnection: close\r\n";
        if !headers.iter().any(|(name, _)| *name == "host") {
            head += &format!("host: {address}\r\n");
        }
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        stream.write_all((head + "\r\n" + body).as_bytes())?;
        let mut reader = BufReader::new(stream);
        let Some((first, headers)) = read_head(&mut reader)? else {
            return Ok((0, String::new()));
        };
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = match headers.contains_key("content-length") {
            true => read_body(&mut reader, &headers)?,
            false => {
                let mut body = String::new();
                reader.read_to_string(&mut body)?;
                body
            }
        };
        Ok((status, body))
    };
    attempt().unwrap_or((0, String::new()))
}
