//! What a stand-in adds to the server.

use std::future;

use crate::serve;

/// Answers the requests of one stand-in.
pub(crate) trait FakeApp: Send + Sync + 'static {
    /// Answers one request.
    fn answer(
        &self,
        request: serve::FakeRequest,
    ) -> impl future::Future<Output = serve::FakeReply> + Send;
}
