//! Proxy between a side and its runner, which can refuse connections as a firewall does.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(2);

#[derive(Default)]
struct State {
    is_refusing: bool,
    streams: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

impl Gate {
    /// Listens on an address and forwards each connection to the target.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let gate = Self { state: Arc::default() };
        let opened = gate.clone();
        std::thread::spawn(move || {
            loop {
                opened.serve(address, target);
                while opened.is_refusing() {
                    std::thread::sleep(STEP);
                }
            }
        });
        gate
    }

    fn is_refusing(&self) -> bool {
        self.state.lock().unwrap().is_refusing
    }

    /// Closes all connections and refuses new ones, or forwards them again.
    pub fn refuse(&self, is_refusing: bool) {
        let mut state = self.state.lock().unwrap();
        state.is_refusing = is_refusing;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, address: SocketAddr, target: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the loopback address is free");
        listener.set_nonblocking(true).expect("a listener can be polled");
        while !self.is_refusing() {
            let Ok((client, _)) = listener.accept() else {
                std::thread::sleep(STEP);
                continue;
            };
            let _ = client.set_nonblocking(false);
            let Ok(server) = TcpStream::connect(target) else {
                continue;
            };
            let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone())
            else {
                continue;
            };
            let mut state = self.state.lock().unwrap();
            state
                .streams
                .extend([&client, &server].into_iter().filter_map(|end| end.try_clone().ok()));
            drop(state);
            std::thread::spawn(move || copy(from_client, server));
            std::thread::spawn(move || copy(from_server, client));
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16 * 1024];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
