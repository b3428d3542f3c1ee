//! Body of an answer that ends its request once it is sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::OwnedSemaphorePermit;

use super::RequestGuard;

/// Body of an answer. Its request is in progress until this value is dropped, so that a connection whose answer is still
/// being sent does not count as idle.
#[derive(Debug)]
pub(super) struct GuardedBody<B> {
    body: B,
    guard: RequestGuard,
    _turn: Option<OwnedSemaphorePermit>,
}

impl<B> GuardedBody<B> {
    pub fn new(body: B, guard: RequestGuard, turn: Option<OwnedSemaphorePermit>) -> Self {
        Self { body, guard, _turn: turn }
    }
}

impl<B> Body for GuardedBody<B>
where
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for GuardedBody<B> {
    fn drop(&mut self) {
        self.guard.end_request();
    }
}
