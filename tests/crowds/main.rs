//! Guards against crowds of clients that exhaust an entry, an agent or the stand-in. platform/tests/crowds.rs has the
//! same tests for the programs of the users' platform.

#[path = "../crowd_parts/mod.rs"]
mod crowd_parts;
mod programs;

use crowd_parts::crowd::Crowd;
use crowd_parts::kinds::{Kind, body_head, survives, survives_several};
use programs::{AGENT_PORT, BUNDLE_BYTES};
use teaselhall::wire::{MAX_FRAME_BYTES, PROTOCOL_VERSION};
use test_case::test_case;

/// Connections that each propose a bundle of the largest legal size, 160 MB in all.
const BUNDLE_CONNECTIONS: usize = 40;
/// Connections that each send a frame of the largest size, 120 MB in all.
const FRAME_CONNECTIONS: usize = 60;

#[test_case(Kind::OversizedHeads)]
#[test_case(Kind::EmptyLines)]
#[test_case(Kind::WholeBodies)]
#[test_case(Kind::BodiesInPieces)]
#[test_case(Kind::LargeChunks)]
#[test_case(Kind::TinyChunks)]
#[test_case(Kind::Silent)]
#[test_case(Kind::UnreadAnswers)]
#[test_case(Kind::Answered)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_survives(kind: Kind) {
    survives(programs::entry(), kind).await;
}

#[test_case(Kind::OversizedHeads)]
#[test_case(Kind::EmptyLines)]
#[test_case(Kind::WholeBodies)]
#[test_case(Kind::BodiesInPieces)]
#[test_case(Kind::LargeChunks)]
#[test_case(Kind::TinyChunks)]
#[test_case(Kind::Silent)]
#[test_case(Kind::UnreadAnswers)]
#[test_case(Kind::Answered)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_survives(kind: Kind) {
    survives(programs::agent(), kind).await;
}

#[test_case(Kind::OversizedHeads)]
#[test_case(Kind::WholeBodies)]
#[test_case(Kind::TinyChunks)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stand_in_survives(kind: Kind) {
    survives(programs::stand_in(), kind).await;
}

/// Guards against proposed bundles of legal size, up to 4 MiB, that an entry holds in memory together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_survives_bundles_that_stop_short() {
    let entry = programs::entry();
    let head = body_head(entry.target, BUNDLE_BYTES);
    let crowd = Crowd::repeating(head, vec![b' '; BUNDLE_BYTES - 4], 1);

    survives_several(entry, crowd, BUNDLE_CONNECTIONS).await;
}

/// Guards against an entry that bounds nothing unless its environment states the limits of its machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_without_stated_limits_survives() {
    let entry = programs::entry().without_limits();
    let head = body_head(entry.target, BUNDLE_BYTES);
    let crowd = Crowd::repeating(head, vec![b' '; BUNDLE_BYTES - 4], 1);

    survives_several(entry, crowd, BUNDLE_CONNECTIONS * 2).await;
}

/// Guards against connections to the port for agents that don't complete their handshake.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_survives_incomplete_handshakes() {
    let entry = programs::entry();
    let crowd = Crowd::repeating(vec![1], Vec::new(), 0).at_port(AGENT_PORT);

    survives_several(entry, crowd, crowd_parts::kinds::CONNECTIONS).await;
}

/// Guards against agents that send frames of the largest size which stop short of their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_survives_incomplete_frames() {
    let length = u32::try_from(MAX_FRAME_BYTES).expect("a frame's length has 32 bits");
    let first = [&length.to_be_bytes()[..], &[PROTOCOL_VERSION]].concat();
    let crowd = Crowd::repeating(first, vec![0; MAX_FRAME_BYTES - 1_000], 1);

    survives_several(
        programs::entry(),
        crowd.at_port(AGENT_PORT).of_processes(),
        FRAME_CONNECTIONS,
    )
    .await;
}
