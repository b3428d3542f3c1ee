//! Tests of the frames and of TCP connections.

use bytes::BytesMut;
use proptest::prelude::*;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::*;
use crate::prelude::*;
use crate::process::Metrics;
use crate::process::intake::{Intake, MachineLimits};

const LIMIT_BYTES: usize = 4_096;

fn key() -> FrameKey {
    FrameKey::new([7; 32]).for_connection(&[1; NONCE_BYTES], &[2; NONCE_BYTES])
}

fn encoder() -> FrameEncoder {
    FrameEncoder::new(key(), Direction::FromInitiator, LIMIT_BYTES)
}

fn decoder(received: &[u8]) -> FrameDecoder {
    let mut decoder = FrameDecoder::new(key(), Direction::FromInitiator, LIMIT_BYTES);
    decoder.buffer_mut().extend_from_slice(received);
    decoder
}

fn cancel(request: u64) -> EntryMessage {
    let attempt = AttemptId { incarnation: Incarnation(9), request, number: 1 };
    EntryMessage::Cancel { attempt, sequence: request }
}

fn frames(requests: &[u64]) -> Vec<Vec<u8>> {
    let mut encoder = encoder();
    let encode = |&request: &u64| {
        let mut buffer = BytesMut::new();
        encoder.encode(&cancel(request), &mut buffer).unwrap();
        buffer.to_vec()
    };
    requests.iter().map(encode).collect()
}

/// Guards against frames that are lost or altered when the stream is split between two reads.
#[test]
fn frames_split_at_any_byte_are_decoded() {
    let stream = frames(&[1, 2]).concat();

    for cut in 0..stream.len() {
        let mut decoder = decoder(&stream[..cut]);
        let mut decoded: Vec<EntryMessage> = Vec::new();
        decoded.extend(std::iter::from_fn(|| decoder.decode().unwrap()));
        decoder.buffer_mut().extend_from_slice(&stream[cut..]);
        decoded.extend(std::iter::from_fn(|| decoder.decode().unwrap()));

        assert_eq!(decoded, [cancel(1), cancel(2)]);
        decoder.finish().unwrap();
    }
}

/// Guards against a connection that breaks within a frame being treated as an orderly close.
#[test]
fn stream_that_ends_within_a_frame_is_an_error() {
    let frame = &frames(&[1])[0];

    for cut in 1..frame.len() {
        let mut decoder = decoder(&frame[..cut]);

        assert!(matches!(decoder.decode::<EntryMessage>(), Ok(None)), "cut at {cut}");
        assert!(matches!(decoder.finish(), Err(FrameError::Truncated { .. })), "cut at {cut}");
    }
}

/// Guards against an attacker who replays, drops or reorders frames.
#[test_case(&[0, 0]; "replayed")]
#[test_case(&[1]; "first one dropped")]
#[test_case(&[1, 0]; "reordered")]
fn frame_out_of_sequence_is_rejected(order: &[usize]) {
    let frames = frames(&[1, 2]);
    let stream: Vec<u8> = order.iter().flat_map(|&index| frames[index].clone()).collect();
    let mut decoder = decoder(&stream);

    let error = (0..order.len()).find_map(|_| decoder.decode::<EntryMessage>().err());

    assert!(matches!(error, Some(FrameError::BadTag)));
}

/// Guards against a frame that is accepted after it was reflected to its sender or moved to another connection.
#[test_case(key(), Direction::FromAcceptor; "reflected")]
#[test_case(FrameKey::new([7; 32]).for_connection(&[1; 32], &[3; 32]), Direction::FromInitiator; "other connection")]
#[test_case(FrameKey::new([8; 32]), Direction::FromInitiator; "other key")]
fn frame_of_another_key_or_direction_is_rejected(key: FrameKey, direction: Direction) {
    let mut decoder = FrameDecoder::new(key, direction, LIMIT_BYTES);
    decoder.buffer_mut().extend_from_slice(&frames(&[1])[0]);

    assert!(matches!(decoder.decode::<EntryMessage>(), Err(FrameError::BadTag)));
}

/// Guards against a peer that makes a process allocate memory for an oversized frame.
#[test]
fn oversized_frame_is_rejected_by_its_length_field() {
    let mut decoder = decoder(&u32::MAX.to_be_bytes());

    let error = decoder.decode::<EntryMessage>().unwrap_err();

    assert!(matches!(error, FrameError::Oversized { limit_bytes: LIMIT_BYTES, .. }), "{error}");
}

/// Guards against sending a message that exceeds the size limit, which the peer would reject.
#[test]
fn oversized_message_is_not_encoded() {
    let mut buffer = BytesMut::new();
    let chunk = AnswerChunk::Data { offset_bytes: 0, bytes: vec![0; LIMIT_BYTES] };

    let error = encoder().encode(&chunk, &mut buffer).unwrap_err();

    assert!(matches!(error, FrameError::Oversized { .. }), "{error}");
    assert!(buffer.is_empty());
}

/// Guards against misinterpreting the frames of a process that uses another protocol version.
#[test]
fn unknown_version_is_reported_in_the_error() {
    let mut frame = frames(&[1])[0].clone();
    frame[4] = 99;

    let error = decoder(&frame).decode::<EntryMessage>().unwrap_err();

    assert!(matches!(error, FrameError::UnknownVersion { version: 99 }), "{error}");
}

/// Guards against the secret key appearing in a log or dump.
#[test]
fn debug_output_of_a_key_omits_the_secret() {
    assert_eq!(format!("{:?}", FrameKey::new([7; 32])), "FrameKey(..)");
}

fn datagrams(count: usize) -> Vec<Vec<u8>> {
    let mut encoder = DatagramEncoder::new(key(), Incarnation(5));
    (0..count).map(|_| encoder.encode(&LeaderMessage::Probe).unwrap()).collect()
}

/// Guards against accepting a replayed datagram, and against rejecting a reordered one.
#[test]
fn reordered_datagrams_are_accepted_once() {
    let datagrams = datagrams(3);
    let mut decoder = DatagramDecoder::new(key());

    for index in [2, 0, 1] {
        let (header, message) = decoder.decode::<LeaderMessage>(&datagrams[index]).unwrap();
        assert_eq!((header.sequence, message), (index as u64 + 1, LeaderMessage::Probe));
    }
    for datagram in &datagrams {
        let error = decoder.decode::<LeaderMessage>(datagram).unwrap_err();
        assert!(matches!(error, FrameError::Replayed { .. }), "{error}");
    }
}

/// Guards against accepting a datagram that is older than the replay window, which may have been received before.
#[test]
fn datagram_older_than_the_replay_window_is_rejected() {
    let datagrams = datagrams(200);
    let mut decoder = DatagramDecoder::new(key());
    decoder.decode::<LeaderMessage>(&datagrams[199]).unwrap();

    assert!(decoder.decode::<LeaderMessage>(&datagrams[199 - 127]).is_ok());
    let error = decoder.decode::<LeaderMessage>(&datagrams[199 - 128]).unwrap_err();

    assert!(matches!(error, FrameError::Replayed { .. }), "{error}");
}

/// Guards against datagrams that exceed the path MTU, and against reading past the end of a truncated one.
#[test]
fn oversized_and_truncated_datagrams_are_rejected() {
    let mut encoder = DatagramEncoder::new(key(), Incarnation(5));
    let mut decoder = DatagramDecoder::new(key());

    let oversized = encoder.encode(&vec![0u8; MAX_DATAGRAM_BYTES]).unwrap_err();
    let received = decoder.decode::<Vec<u8>>(&[PROTOCOL_VERSION; MAX_DATAGRAM_BYTES + 1]);
    let truncated = decoder.decode::<Vec<u8>>(&[PROTOCOL_VERSION; 3]).unwrap_err();

    assert!(matches!(oversized, FrameError::Oversized { .. }), "{oversized}");
    assert!(matches!(received, Err(FrameError::Oversized { .. })));
    assert!(matches!(truncated, FrameError::Truncated { missing_bytes: 6 }), "{truncated}");
}

/// Guards against an answer to a heartbeat that exceeds its budget of 30 bytes (docs/design.md, section 3).
#[test]
fn heartbeat_answer_fits_its_budget() {
    let mut encoder = DatagramEncoder::new(key(), Incarnation(u64::MAX));

    let message = LeaderMessage::HeartbeatAck {
        sequence: 10_000,
        lease_ms: 6_000,
        permit_ms: 2_000,
        withheld: vec![],
    };
    let answer = LeaderDatagram { epoch: Epoch(100), message };

    assert!(encoder.encode_for(&answer, Incarnation(u64::MAX)).unwrap().len() <= 30);
}

/// Guards against a restarted agent that accepts datagrams for its earlier incarnation.
#[test]
fn datagram_for_another_incarnation_is_rejected() {
    let mut encoder = DatagramEncoder::new(key(), Incarnation(1));
    let datagram = encoder.encode_for(&7_u32, Incarnation(2)).unwrap();

    let mut decoder = DatagramDecoder::new(key());

    assert!(decoder.decode_for::<u32>(&datagram, Incarnation(3)).is_err());
    assert!(decoder.decode::<u32>(&datagram).is_err());
    assert_eq!(decoder.decode_for::<u32>(&datagram, Incarnation(2)).unwrap().1, 7);
}

proptest! {
    /// Guards against a decoder that panics on malformed bytes.
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut stream = decoder(&bytes);
        prop_assert!(stream.decode::<AgentMessage>().map_or(true, |message| message.is_none()));
        prop_assert!(DatagramDecoder::new(key()).decode::<MemberMessage>(&bytes).is_err());
        let _ = codec::decode_payload::<AgentMessage>(&bytes);
        let _ = codec::decode_payload::<EntryMessage>(&bytes);
        let _ = codec::decode_payload::<MemberMessage>(&bytes);
        let _ = codec::decode_payload::<LeaderMessage>(&bytes);
    }

    /// Guards against accepting a frame or datagram with an altered bit.
    #[test]
    fn frame_and_datagram_with_an_altered_bit_are_rejected(position in 0usize..1_000, bit in 0u8..8) {
        let mut frame = frames(&[1])[0].clone();
        let position = position % frame.len();
        frame[position] ^= 1 << bit;
        let mut datagram = datagrams(1)[0].clone();
        let datagram_position = position % datagram.len();
        datagram[datagram_position] ^= 1 << bit;

        prop_assert!(!matches!(decoder(&frame).decode::<EntryMessage>(), Ok(Some(_))));
        prop_assert!(DatagramDecoder::new(key()).decode::<LeaderMessage>(&datagram).is_err());
    }
}

type AgentLink = Link<AgentMessage, EntryMessage>;
type EntryLink = Link<EntryMessage, AgentMessage>;

fn settings(key: u8) -> LinkSettings {
    LinkSettings::new(FrameKey::new([key; 32]))
}

async fn sockets() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    (near.unwrap(), far.unwrap().0)
}

async fn links(agent: &LinkSettings, entry: &LinkSettings) -> (AgentLink, EntryLink) {
    let (near, far) = sockets().await;
    let (agent, entry) =
        tokio::join!(AgentLink::connect(near, agent), EntryLink::accept(far, entry));
    (agent.unwrap(), entry.unwrap())
}

/// Guards against messages that are lost or reordered on a healthy connection, and against an error on orderly close.
#[tokio::test]
async fn messages_in_both_directions_are_received_in_order() {
    let (mut agent, mut entry) = links(&settings(1), &settings(1)).await;

    for request in 0..100 {
        entry.sender.send(cancel(request)).await.unwrap();
    }
    agent.sender.send(AgentMessage::Drain).await.unwrap();

    for request in 0..100 {
        assert_eq!(agent.receiver.receive().await.unwrap(), Some(cancel(request)));
    }
    assert_eq!(entry.receiver.receive().await.unwrap(), Some(AgentMessage::Drain));
    drop(agent);
    assert_eq!(entry.receiver.receive().await.unwrap(), None);
}

/// Guards against messages to a peer that does not read, which are bounded in number but not in size: 1,024 of 64 KiB.
#[tokio::test]
async fn messages_that_a_peer_does_not_read_are_bounded_in_bytes() {
    let machine = MachineLimits { memory_mb: 64, descriptors: 400 };
    let bounds = Intake::new(&machine, &Metrics::default()).links;
    let bounded = LinkSettings { bounds: Some(bounds.clone()), ..settings(1) };
    let (agent, _entry) = links(&bounded, &settings(1)).await;
    let attempt = AttemptId { incarnation: Incarnation(9), request: 1, number: 1 };
    let message = || AgentMessage::Answer {
        attempt,
        chunk: AnswerChunk::Data { offset_bytes: 0, bytes: vec![0; 65_536] },
    };

    let mut accepted = 0;
    for _ in 0..1_024 {
        accepted += usize::from(agent.sender.try_send(message()).is_ok());
        assert!(bounds.queues.kept_bytes() <= 4 << 20, "{}", bounds.queues.kept_bytes());
        tokio::task::yield_now().await;
    }

    assert!((1..1_024).contains(&accepted), "{accepted} messages were accepted");
    agent.sender.closed().await;
}

/// Guards against accepting messages from a process with another key.
#[tokio::test]
async fn handshake_with_another_key_fails() {
    let (near, far) = sockets().await;
    let (near_settings, far_settings) = (settings(1), settings(2));

    let (agent, entry) = tokio::join!(
        AgentLink::connect(near, &near_settings),
        EntryLink::accept(far, &far_settings)
    );

    assert!(matches!(agent, Err(LinkError::Frame { source: FrameError::BadTag })));
    assert!(entry.is_err());
}

/// Guards against a peer that connects and sends nothing, which would occupy a socket indefinitely.
#[tokio::test]
async fn handshake_with_a_silent_peer_times_out() {
    let mut short = settings(1);
    short.idle_ms = 50;
    let (_silent, far) = sockets().await;

    let handshake = EntryLink::accept(far, &short).await;

    assert!(matches!(handshake, Err(LinkError::Idle { idle_ms: 50 })));
}

/// Guards against keeping the connection of a peer that sends nothing, and against closing an idle connection whose
/// peer sends keep-alives.
#[tokio::test]
async fn idle_connection_is_closed_unless_keep_alives_arrive() {
    let mut short = settings(1);
    short.idle_ms = 300;
    let (agent, mut entry) = links(&settings(1), &short).await;

    let silent_result = entry.receiver.receive().await;
    drop(agent);
    let (mut agent, _entry) = links(&short, &short).await;
    let keep_alive_result =
        tokio::time::timeout(std::time::Duration::from_secs(1), agent.receiver.receive()).await;

    assert!(matches!(silent_result, Err(LinkError::Idle { .. })), "{silent_result:?}");
    assert!(keep_alive_result.is_err(), "connection with keep-alives ended: {keep_alive_result:?}");
}

/// Guards against a queue that grows without bound while the peer does not read.
#[tokio::test]
async fn full_queue_rejects_messages() {
    let mut small = settings(1);
    small.queue_messages = 2;
    let (agent, _entry) = links(&small, &settings(1)).await;

    let full = (0..3).find_map(|_| agent.sender.try_send(AgentMessage::Drain).err());

    assert!(matches!(full, Some(LinkError::QueueFull)), "{full:?}");
}

/// Guards against a peer that sends keep-alives but does not read, whose connection would never be closed.
// The default runtime of tests has one thread: filling the socket would delay the keep-alives of the other side.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn connection_to_a_peer_that_does_not_read_is_closed() {
    let mut short = settings(1);
    short.idle_ms = 300;
    let (mut agent, _entry) = links(&short, &short).await;
    let chunk = AnswerChunk::Data { offset_bytes: 0, bytes: vec![0; 64 * 1024] };
    let attempt = AttemptId { incarnation: Incarnation(9), request: 1, number: 1 };
    let sender = agent.sender.clone();
    tokio::spawn(async move {
        while sender.send(AgentMessage::Answer { attempt, chunk: chunk.clone() }).await.is_ok() {}
    });

    let limit = std::time::Duration::from_secs(20);
    let end = tokio::time::timeout(limit, agent.receiver.receive()).await;

    assert!(matches!(end, Ok(Err(LinkError::Closed))), "{end:?}");
}

/// Guards against a handshake with a process that uses another protocol version.
#[tokio::test]
async fn handshake_with_another_version_fails() {
    let (mut near, far) = sockets().await;
    near.write_all(&[PROTOCOL_VERSION + 1; 1 + NONCE_BYTES]).await.unwrap();

    let error = EntryLink::accept(far, &settings(1)).await.unwrap_err();

    assert!(matches!(error, LinkError::Frame { source: FrameError::UnknownVersion { .. } }));
    let mut rest = Vec::new();
    let _ = near.read_to_end(&mut rest).await;
    assert!(rest.is_empty(), "bytes were sent to a peer of an unknown version");
}
