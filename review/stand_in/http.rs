//! A small HTTP/1.1 server and client with one thread for each connection.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::json::Json;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

pub enum Reply {
    Answer(u16, Json),
    /// The connection is reset.
    Reset,
}

type Handler = dyn Fn(&Request) -> Reply + Send + Sync;

/// Serves calls at an address until it is closed, which also closes its connections.
#[derive(Clone)]
pub struct Listener {
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Listener {
    pub fn start<F>(address: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(&Request) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let handler: Arc<Handler> = Arc::new(handler);
        let this = Self { is_closed: Arc::default(), streams: Arc::default() };
        let (is_closed, streams) = (this.is_closed.clone(), this.streams.clone());
        thread::spawn(move || {
            while !is_closed.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || {
                    let _ = serve(stream, &*handler);
                });
            }
        });
        Ok(this)
    }

    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream.try_clone()?;
    while let Some(request) = read_request(&mut reader)? {
        match handler(&request) {
            Reply::Answer(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes())?;
            }
            Reply::Reset => break,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (method, target) =
        (words.next().unwrap_or_default().to_owned(), words.next().unwrap_or_default());
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect();
    let path = decode(path);
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            None => return Ok(headers),
        }
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &HashMap<String, String>,
) -> io::Result<String> {
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = headers.get("content-length").and_then(|value| value.parse().ok());
        body.resize(length.unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let escape = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match escape {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Makes one call on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status line"))?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Ok((status, Json::parse(&body).unwrap_or(Json::Null)))
}
