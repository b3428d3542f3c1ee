//! Tests of coordinators whose connections to the leader are closed, so that reports of progress are lost.

use tokio::net::{TcpListener, TcpStream};

use super::message::{AcceptorMessage, DialerMessage, PeerMessage};
use super::peers::{PeerSender, PeerSenders};
use super::*;
use crate::wire::{FrameKey, Link, LinkSettings};

type DialedLink = Link<DialerMessage, AcceptorMessage>;

/// Returns both ends of a connection on loopback.
async fn connection() -> (DialedLink, Link<AcceptorMessage, DialerMessage>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has ports");
    let address = listener.local_addr().expect("a bound socket has an address");
    let settings = LinkSettings::new(FrameKey::new([7; 32]));
    let dial = async { TcpStream::connect(address).await.expect("the listener accepts") };
    let accept = async { listener.accept().await.expect("a connection arrives").0 };
    let (dialed, accepted) = tokio::join!(dial, accept);
    let (dialed, accepted) =
        tokio::join!(Link::connect(dialed, &settings), Link::accept(accepted, &settings));
    (dialed.expect("the key is the same"), accepted.expect("the key is the same"))
}

/// Guards against progress that is lost for good because another connection replaced the closed one at once, so that the
/// coordinator counted as connected all the while (review case 10).
#[tokio::test]
async fn coordinator_gets_a_snapshot_after_one_of_its_connections_was_closed() {
    let (first, _first_end) = connection().await;
    let (second, _second_end) = connection().await;
    let (first, second) = (PeerSender::Dialed(first.sender), PeerSender::Dialed(second.sender));
    let (peers, peer) = (PeerSenders::default(), ProcessId::from("peer"));
    assert!(peers.record(&peer, first.clone(), 0));
    assert!(!peers.record(&peer, second.clone(), 0));

    peers.connection_closed(&peer);

    assert!(peers.record(&peer, second.clone(), 0));
    assert!(!peers.record(&peer, second, 0));
}

/// Guards against progress that is lost for good because the queue of a connection is full, which closes nothing.
#[tokio::test]
async fn coordinator_gets_a_snapshot_after_a_message_was_not_accepted() {
    let (link, link_end) = connection().await;
    let (peers, peer) = (PeerSenders::default(), ProcessId::from("peer"));
    let sender = PeerSender::Dialed(link.sender);
    assert!(peers.record(&peer, sender.clone(), 0));
    // Nothing runs on this thread between the messages, so none is written meanwhile.
    for _ in 0..2_000 {
        peers.send_to_all(&PeerMessage::RequestDirectives);
    }

    assert!(peers.record(&peer, sender, 0));
    drop(link_end);
}
