//! Crowds of callers that fill a platform node's memory with the bodies of their requests. The node is
//! the real program; nothing limits its memory but its own settings, so the tests read what it uses.
//!
//! The checks do not depend on the machine's speed. One test runs at a time.

mod crowds;
#[path = "../../../platform/tests/standins/mod.rs"]
mod standins;
mod support;

/// Held by the test that runs.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

async fn start(name: &str) -> support::CrowdedNode {
    crowds::start(name, standins::start().await, crowds::MAX_DESCRIPTORS).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_come_whole_and_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("whole").await;
    node.bear_bodies(support::CrowdBodies::Whole).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_come_in_pieces_and_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("pieces").await;
    node.bear_bodies(support::CrowdBodies::Pieces).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_large_chunks_that_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("large-chunks").await;
    node.bear_bodies(support::CrowdBodies::LargeChunks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_very_small_chunks_that_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("small-chunks").await;
    node.bear_bodies(support::CrowdBodies::SmallChunks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_far_over_the_limit_that_are_announced() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("announced").await;
    node.bear_bodies(support::CrowdBodies::Announced).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_far_over_the_limit_that_are_just_sent() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("just-sent").await;
    node.bear_bodies(support::CrowdBodies::JustSent).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn more_bodies_than_connections_that_are_allowed() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("many").await;
    node.bear_bodies(support::CrowdBodies::Many).await;
}
