//! A proxy for TCP connections that can close all of them at once.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

#[derive(Clone, Default)]
pub struct Proxy {
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Bytes from the target.
    received: Arc<AtomicUsize>,
}

impl Proxy {
    /// Forwards connections from `address` to `target`; new ones also after [`Proxy::close_all`].
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let proxy = Self::default();
        let listener = TcpListener::bind(address)?;
        let (streams, received) = (proxy.streams.clone(), proxy.received.clone());
        thread::spawn(move || {
            for accepted in listener.incoming().flatten() {
                let Ok(opened) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (accepted.set_nodelay(true), opened.set_nodelay(true));
                let unused = Arc::new(AtomicUsize::new(0));
                let directions = [(&accepted, &opened, &unused), (&opened, &accepted, &received)];
                for (from, to, counter) in directions {
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let counter = counter.clone();
                        thread::spawn(move || forward(from, to, &counter));
                    }
                }
                streams.lock().unwrap().extend([accepted, opened]);
            }
        });
        Ok(proxy)
    }

    /// Returns the number of bytes that the target has sent.
    pub fn received(&self) -> usize {
        self.received.load(Ordering::Relaxed)
    }

    /// Closes all connections. Returns their number.
    pub fn close_all(&self) -> usize {
        let streams = std::mem::take(&mut *self.streams.lock().unwrap());
        for stream in &streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
        streams.len() / 2
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, counter: &AtomicUsize) {
    let mut buffer = [0; 65_536];
    while let Ok(size) = from.read(&mut buffer) {
        counter.fetch_add(size, Ordering::Relaxed);
        if size == 0 || to.write_all(&buffer[..size]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
