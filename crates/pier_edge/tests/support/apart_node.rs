//! A node with a runtime of its own, which can be killed or frozen.

use std::{thread, time};

use tokio::runtime;

use super::{FakePlatform, TestNode};

/// A node on one thread of its own.
pub struct ApartNode {
    pub node: TestNode,
    runtime: Option<runtime::Runtime>,
}

impl ApartNode {
    pub async fn start_on(platform: FakePlatform, name: &'static str) -> Self {
        let mut builder = runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().unwrap();
        let starting = runtime.spawn(async move { TestNode::start_on(platform, name).await });
        Self {
            node: starting.await.unwrap(),
            runtime: Some(runtime),
        }
    }

    /// Ends the node at once; its connections close.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops the node's thread for a while; its connections stay open.
    pub fn freeze(&self, duration: time::Duration) {
        let runtime = self.runtime.as_ref().unwrap();
        runtime.spawn(async move { thread::sleep(duration) });
    }
}

impl Drop for ApartNode {
    fn drop(&mut self) {
        self.kill();
    }
}
