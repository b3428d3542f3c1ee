//! The kinds of crowds that brought processes down.

use super::crowd::{Crowd, Target};
use super::watched::{Program, Watched};

/// Number of connections of a crowd. It is above the descriptor limit, and with bodies of the legal size the crowd sends
/// twice as many bytes as the memory limit.
pub const CONNECTIONS: usize = 500;
/// Largest body that a connection of a crowd begins, unless its kind says otherwise.
pub const ANNOUNCED_BYTES: usize = 262_144;
/// Bytes by which a body stops short of its end.
const MISSING_BYTES: usize = 4;
/// Repetitions of the part of a head; they take 360 kB.
const HEAD_PARTS: usize = 90;
/// Parts of a body that arrives in pieces.
const BODY_PIECES: usize = 20;
/// Time between two pieces, so that no body is idle for long.
const PIECE_PAUSE_MS: u64 = 50;
/// Bytes of a large chunk.
const LARGE_CHUNK_BYTES: usize = 0x8000;
/// Requests that a connection sends before it would read the first answer.
const PIPELINED_REQUESTS: usize = 4_000;

/// Kind of a crowd.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Heads without end.
    OversizedHeads,
    /// Empty lines without end before a request.
    EmptyLines,
    /// Bodies of the largest legal size that stop just short of their end.
    WholeBodies,
    /// The same bodies, piece by piece, so that none of them is ever idle for long.
    BodiesInPieces,
    /// Chunked bodies without an announced length, in large chunks.
    LargeChunks,
    /// Chunked bodies in chunks of one byte, whose overhead exceeds their content.
    TinyChunks,
    /// Connections that send nothing.
    Silent,
    /// Requests in a row whose answers are not read.
    UnreadAnswers,
    /// Connections that stay open after their only request was answered.
    Answered,
}

impl Kind {
    /// Returns the crowd of this kind that meets a program.
    pub fn crowd(self, target: Target) -> Crowd {
        let announced_bytes = target.body_limit_bytes.min(ANNOUNCED_BYTES);
        let body_bytes = announced_bytes - MISSING_BYTES;
        match self {
            Self::OversizedHeads => {
                let first =
                    format!("{} {} HTTP/1.1\r\nhost: h.example\r\n", target.method, target.path);
                let part = format!("x-filler: {}\r\n", "x".repeat(4_000));
                Crowd::repeating(first.into_bytes(), part.into_bytes(), HEAD_PARTS)
            }
            Self::EmptyLines => Crowd::repeating(Vec::new(), b"\r\n".repeat(2_000), HEAD_PARTS),
            Self::WholeBodies => {
                Crowd::repeating(body_head(target, announced_bytes), vec![b' '; body_bytes], 1)
            }
            Self::BodiesInPieces => {
                let piece = vec![b' '; body_bytes / BODY_PIECES];
                Crowd::repeating(body_head(target, announced_bytes), piece, BODY_PIECES)
                    .with_pause_ms(PIECE_PAUSE_MS)
            }
            Self::LargeChunks => {
                let mut chunk = format!("{LARGE_CHUNK_BYTES:x}\r\n").into_bytes();
                chunk.extend_from_slice(&[b' '; LARGE_CHUNK_BYTES]);
                chunk.extend_from_slice(b"\r\n");
                Crowd::repeating(chunked_head(target), chunk, body_bytes / LARGE_CHUNK_BYTES)
            }
            Self::TinyChunks => {
                let chunks = b"1\r\n \r\n".repeat(body_bytes / BODY_PIECES);
                Crowd::repeating(chunked_head(target), chunks, BODY_PIECES)
            }
            Self::Silent => Crowd::repeating(Vec::new(), Vec::new(), 0),
            Self::Answered => {
                Crowd::repeating(Target { method: "GET", ..target }.head(""), Vec::new(), 0)
            }
            Self::UnreadAnswers => {
                let request = Target { method: "GET", ..target }.head("");
                Crowd::repeating(Vec::new(), request.repeat(PIPELINED_REQUESTS / 10), 10)
            }
        }
    }
}

/// Returns a head that announces the length of its body.
pub fn body_head(target: Target, length: usize) -> Vec<u8> {
    target.head(&format!("content-length: {length}\r\n"))
}

/// Returns a head that announces a body in chunks.
pub fn chunked_head(target: Target) -> Vec<u8> {
    target.head("transfer-encoding: chunked\r\n")
}

/// Lets a crowd of a kind meet a program, and checks that the program survives it.
pub async fn survives(program: Program, kind: Kind) {
    let crowd = kind.crowd(program.target);
    survives_several(program, crowd, CONNECTIONS).await;
}

/// Lets a crowd of `connections` connections meet a program, and checks that the program survives it.
pub async fn survives_several(program: Program, crowd: Crowd, connections: usize) {
    let mut process = Watched::start(program).await;

    let connections = crowd.start(process.address(), connections).await;
    process.observe_crowd().await;
    let is_answered = process.answers_ordinary_request().await;

    let seen = process.stop();
    drop(connections);
    println!("{seen:?}, ordinary request answered: {is_answered}");
    seen.assert_within_limits();
    assert!(is_answered, "no ordinary request was answered");
}
