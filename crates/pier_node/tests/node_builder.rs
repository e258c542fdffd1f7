//! A node cannot be built with a leave time above the maximum that operators are promised.

use std::time;

use pier_limits::shifts;
use pier_node::{daemon, settings};

const SETTINGS: &str = "[node]
data-centre = north
region = test
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
peer-key = 0123456789abcdef0123456789abcdef
drain-notice-seconds = 0
[platform]
url = http://127.0.0.1:1
";

#[tokio::test]
async fn a_data_centre_that_would_leave_too_slowly_is_refused() {
    let policy = shifts::ShiftPolicy {
        leave_time: time::Duration::from_millis(2_001),
        ..shifts::ShiftPolicy::default()
    };
    let settings = settings::NodeSettings::parse(SETTINGS).unwrap();
    let launched = daemon::NodeBuilder::new(settings)
        .shift(policy)
        .launch()
        .await;
    let refusal = launched.unwrap_err().to_string();
    assert!(refusal.contains("2.001s"), "{refusal}");
}

#[tokio::test]
async fn a_data_centre_may_leave_at_once() {
    let policy = shifts::ShiftPolicy {
        leave_time: time::Duration::ZERO,
        return_time: time::Duration::ZERO,
    };
    let settings = settings::NodeSettings::parse(SETTINGS).unwrap();
    let builder = daemon::NodeBuilder::new(settings).shift(policy);
    let node = builder.launch().await.unwrap();
    node.drain().await;
}
