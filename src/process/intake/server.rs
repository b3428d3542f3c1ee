//! Serves routes within the bounds of the process, where `warp::serve` sets no limits.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::MissedTickBehavior;
use warp::http::{HeaderValue, Request, header};
use warp::reply::Response;
use warp::{Filter, Reply};

use super::answer::GuardedBody;
use super::connections::{ConnectionRecord, ConnectionTable, TableLimits};
use super::limits::{INNER_RECEIVE_BUFFER_BYTES, RECEIVE_BUFFER_BYTES};
use super::stream::RecordedStream;
use super::{Intake, Reason, RequestGuard};
use crate::api::{ApiError, ErrorCode};
use crate::process::{BindSnafu, Result};

/// Largest head of a request.
const HEAD_LIMIT_BYTES: usize = 16_384;
/// Size to which a connection's read buffer and write buffer may grow.
const BUFFER_BYTES: usize = HEAD_LIMIT_BYTES + 4_096;
/// Connections that wait in the kernel until they are accepted.
const BACKLOG: u32 = 1_024;
/// Connections at the address of the readiness probe: balancers probe once a second.
const READINESS_CONNECTIONS: usize = 32;
/// Connections at the address of metrics and dumps, whose responses are large.
const METRICS_CONNECTIONS: usize = 8;
/// Interval of the checks of heads and of the gauges.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Connections that are accepted in a row. While the process is busy, it continues to accept only after all other tasks
/// that are ready.
const ACCEPTS_PER_TURN: u64 = 16;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Response to a head that did not arrive in time.
const LATE_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Seconds after which a refused client may retry.
const RETRY_AFTER_S: u64 = 1;

/// Purpose of a listening address, which decides how many connections it may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// Requests of clients, or reports of a worker.
    Clients,
    /// Readiness probes.
    Readiness,
    /// Metrics and dumps.
    Metrics,
}

impl ListenerKind {
    fn connections(self, intake: &Intake) -> usize {
        let connections = intake.limits.connections;
        match self {
            Self::Clients => connections,
            Self::Readiness => connections.min(READINESS_CONNECTIONS),
            Self::Metrics => connections.min(METRICS_CONNECTIONS),
        }
    }
}

impl Intake {
    /// Serves routes on an address until `shutdown` completes and the requests in flight are answered. Only HTTP/1 is
    /// served, since one HTTP/2 connection carries any number of requests.
    ///
    /// # Errors
    ///
    /// [`crate::process::Error::Bind`] if the address cannot be bound.
    pub async fn serve<F, S>(
        &self,
        kind: ListenerKind,
        address: SocketAddr,
        routes: F,
        shutdown: S,
    ) -> Result<()>
    where
        F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
        S: Future<Output = ()> + Send + 'static,
    {
        let listener = bind(address).context(BindSnafu { address })?;
        self.serve_on(kind, listener, routes, shutdown).await;
        Ok(())
    }

    /// Starts a task that serves routes like [`Self::serve`].
    pub fn spawn_server<F, S>(
        &self,
        kind: ListenerKind,
        address: SocketAddr,
        routes: F,
        shutdown: S,
    ) -> JoinHandle<Result<()>>
    where
        F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
        S: Future<Output = ()> + Send + 'static,
    {
        let intake = self.clone();
        tokio::spawn(async move { intake.serve(kind, address, routes, shutdown).await })
    }

    /// Serves routes like [`Self::serve`] on a listener.
    pub async fn serve_on<F, S>(
        &self,
        kind: ListenerKind,
        listener: TcpListener,
        routes: F,
        shutdown: S,
    ) where
        F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
        S: Future<Output = ()> + Send + 'static,
    {
        let connections = kind.connections(self);
        let limits = TableLimits {
            connections,
            requests: connections.min(self.limits.requests),
            head_bytes: self.limits.head_bytes,
        };
        let table = ConnectionTable::new(limits, self.report.clone());
        let (stop, stopping) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut next_key = 0;
        tokio::pin!(shutdown);
        loop {
            tokio::select! {
                () = &mut shutdown => break,
                _ = checks.tick() => self.check(kind, &table),
                Some(_) = tasks.join_next() => {}
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        next_key += 1;
                        if let Some(record) = table.open(next_key) {
                            let (guard, routes) = (record.guard(self), routes.clone());
                            let stopping = stopping.clone();
                            tasks.spawn(serve_connection(stream, record, guard, routes, stopping));
                        }
                        if next_key % ACCEPTS_PER_TURN == 0 {
                            // Connections that were closed in favour of these release their descriptors first.
                            tokio::task::yield_now().await;
                        }
                    }
                    Err(error) => {
                        log::warn!("connection could not be accepted; retried in 50 ms: {error}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
            }
        }
        drop(listener);
        let _ = stop.send(true);
        loop {
            tokio::select! {
                ended = tasks.join_next() => if ended.is_none() {
                    return;
                },
                _ = checks.tick() => self.check(kind, &table),
            }
        }
    }

    fn check(&self, kind: ListenerKind, table: &ConnectionTable) {
        table.enforce_limits();
        if kind == ListenerKind::Clients {
            let (connections, requests) = table.counts();
            self.report.set("client_connections", connections);
            self.report.set("requests_in_progress", requests);
            self.report.set("body_bytes_in_progress", self.bodies.held_bytes());
        }
        self.report.write_line();
    }
}

/// Binds the inner port with a fixed receive buffer for each connection. The kernel would otherwise let the buffers grow
/// to several MB while connections wait for the memory of their frames.
///
/// # Errors
///
/// Error of the operating system.
pub fn bind_inner(address: SocketAddr) -> std::io::Result<TcpListener> {
    bind_with_buffer(address, INNER_RECEIVE_BUFFER_BYTES)
}

/// Binds an address for clients with a fixed receive buffer for each connection.
///
/// # Errors
///
/// Error of the operating system.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    bind_with_buffer(address, RECEIVE_BUFFER_BYTES)
}

/// Binds an address with a fixed receive buffer for each connection, since the kernel's buffers are part of the machine's
/// memory.
fn bind_with_buffer(
    address: SocketAddr,
    receive_buffer_bytes: u32,
) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(receive_buffer_bytes)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn serve_connection<F>(
    stream: TcpStream,
    record: ConnectionRecord,
    guard: RequestGuard,
    routes: F,
    mut stopping: watch::Receiver<bool>,
) where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let io = TokioIo::new(RecordedStream::new(stream, guard.clone()));
    let service = TowerToHyperService::new(warp::service(routes));
    let respond = service_fn(|request| respond(&service, request, guard.clone()));
    let mut connection = http1::Builder::new()
        .max_header_size(HEAD_LIMIT_BYTES)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(io, respond);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            // A connection that is to be closed must not begin to handle a request.
            biased;
            is_late_head = record.closing() => {
                if is_late_head {
                    connection.into_parts().io.inner().try_write(LATE_HEAD_RESPONSE);
                }
                return;
            }
            result = &mut connection => {
                if result.is_err_and(|error| error.is_parse()) {
                    guard.report().record(Reason::HeadInvalid);
                }
                return;
            }
            _ = stopping.wait_for(|is_stopping| *is_stopping), if !is_stopping => {
                std::pin::Pin::new(&mut connection).graceful_shutdown();
                is_stopping = true;
            }
        }
    }
}

/// Passes a request to the routes, or rejects it if too many are in progress.
async fn respond<S>(
    service: &S,
    mut request: Request<Incoming>,
    guard: RequestGuard,
) -> std::result::Result<
    hyper::Response<impl Body<Data = Bytes, Error: std::error::Error + Send + Sync> + use<S>>,
    Infallible,
>
where
    S: Service<Request<Incoming>, Response = Response, Error = Infallible>,
{
    let turn = guard.wait_for_turn().await;
    let has_body = !request.body().is_end_stream();
    let response = if guard.begin_request(has_body) {
        request.extensions_mut().insert(guard.clone());
        service.call(request).await?
    } else {
        guard.report().record(Reason::Requests);
        overloaded_response()
    };
    guard.begin_answer();
    Ok(response.map(|body| GuardedBody::new(body, guard, turn)))
}

/// Builds a 503 response: the request was not acted on.
fn overloaded_response() -> Response {
    let error = ApiError::new(ErrorCode::Unavailable, "too many requests are in progress");
    let mut response = error.into_response();
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    response
}
