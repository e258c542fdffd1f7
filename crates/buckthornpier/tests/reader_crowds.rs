//! Crowds of callers that ask for long answers and read them slowly, or not at all, so that a node's
//! memory fills with what they leave.
//!
//! The checks do not depend on the machine's speed. One test runs at a time.

mod crowds;
#[path = "../../../platform/tests/standins/mod.rs"]
mod standins;
mod support;

use std::time;

use standins::LongAnswer;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Callers of a crowd. Their answers together are over three times the node's memory.
const CROWD: usize = 200;

/// Bytes that a slow caller reads at once.
const SLOW_READ_BYTES: usize = 1 << 10;

/// The pause of a slow caller between two reads.
const SLOW_READ_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Held by the test that runs.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// How callers read their answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadHabit {
    Nothing,
    Slowly,
}

async fn bear_readers(name: &str, answer: LongAnswer, habit: ReadHabit) {
    let _turn = ONE_AT_A_TIME.lock().await;
    let store = standins::start_with_long_answers().await;
    let node = crowds::start(name, store, crowds::MAX_SERVING_DESCRIPTORS).await;
    node.bear(CROWD, async |_number, stream: &mut TcpStream| {
        let head = standins::request_head_for(answer.path(), "content-length: 0\r\n");
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        let mut part = [0; SLOW_READ_BYTES];
        while habit == ReadHabit::Slowly && stream.read(&mut part).await.is_ok_and(|read| read > 0)
        {
            tokio::time::sleep(SLOW_READ_PAUSE).await;
        }
        // The caller stays until its time is over.
        std::future::pending::<()>().await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_answers_that_nobody_reads() {
    bear_readers("unread-whole", LongAnswer::Whole, ReadHabit::Nothing).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_answers_that_are_read_very_slowly() {
    bear_readers("slow-whole", LongAnswer::Whole, ReadHabit::Slowly).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_a_length_that_are_read_very_slowly() {
    bear_readers("slow-close", LongAnswer::UntilClose, ReadHabit::Slowly).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_nobody_reads() {
    bear_readers("unread-stream", LongAnswer::Stream, ReadHabit::Nothing).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_are_read_very_slowly() {
    bear_readers("slow-stream", LongAnswer::Stream, ReadHabit::Slowly).await;
}
