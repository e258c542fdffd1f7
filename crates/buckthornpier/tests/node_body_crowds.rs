//! Crowds of callers that fill a node's memory with the bodies of their requests, on the product's own
//! interface. The node is the real program; nothing limits its memory but its own settings, so the
//! tests read what it uses.
//!
//! The checks do not depend on the machine's speed. One test runs at a time.

#[path = "../../../platform/tests/standins/standin_server.rs"]
mod standin_server;
mod support;

use std::{fs, net, process};

use pier_fakes::platform;
use pier_types::{epochs, reports, sizes, vms};

/// The memory that the node may use, in MiB.
const MEMORY_MIB: u64 = 112;

/// The connections of callers that the node is to have open at most.
const CONNECTIONS: usize = 256;

/// What the callers send; the node may have descriptors open for its callers and its own work.
const PLAN: support::CrowdPlan = support::CrowdPlan {
    request_head,
    body_size: 8 << 20,
    memory_mib: MEMORY_MIB,
    max_descriptors: CONNECTIONS + 64,
};

/// Name of the only VM.
const VM: &str = "libro-1";

/// Held by the test that runs.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Returns the head of a request, with the given lines on its body.
fn request_head(body_lines: &str) -> String {
    format!(
        "POST /services/{}/x HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {}\r\n{body_lines}\r\n",
        support::SERVICE,
        support::REPEAT_KEY,
    )
}

/// Answers a request to the service: its report, or the size of the request's body.
async fn answer_of_service(request: standin_server::StandinRequest) -> (u16, String, String) {
    let body = if (request.method.as_str(), request.target.as_str()) == ("GET", "/report") {
        let report = reports::EngineReport {
            vm: VM.parse().unwrap(),
            incarnation: epochs::VmIncarnation::new(1),
            group: None,
            generation: epochs::GroupGeneration::default(),
            model: None,
            state: reports::EngineState::Warm,
            running: sizes::RequestCount::default(),
            queued: sizes::RequestCount::default(),
            is_leaving: false,
        };
        serde_json::to_string(&report).unwrap()
    } else {
        request.body.len().to_string()
    };
    (200, "content-type: application/json\r\n".to_owned(), body)
}

/// Starts a platform with a service of one VM.
async fn start_platform() -> (platform::FakePlatform, String) {
    let (server, url) = support::platform().await;
    server.set_vms(vec![vms::VmEntry {
        name: VM.parse().unwrap(),
        incarnation: epochs::VmIncarnation::new(1),
        address: standin_server::serve(answer_of_service).await,
        data_centre: "mvd-a".parse().unwrap(),
        domain: "fabric-1".parse().unwrap(),
        pool: vms::VmPool::Service(support::SERVICE.parse().unwrap()),
        state: vms::VmState::Live,
    }]);
    let service = format!("[service {}]\n", support::SERVICE);
    let larger = format!("{service}max-body-bytes = {}\n", PLAN.body_size);
    let document = support::document_text(1, 1, 1).replace(&service, &larger);
    let write = support::client().put(format!("{url}/objects/config/document"));
    let write = write.header("If-Version", 0);
    let written = write.body(document).send().await;
    assert_eq!(written.unwrap().status(), 200);
    (server, url)
}

/// Starts the program and waits until it serves requests; its platform is to be kept.
async fn start(name: &str) -> (platform::FakePlatform, support::CrowdedNode) {
    let (platform, url) = start_platform().await;
    let callers: net::SocketAddr = support::free_address();
    let text = format!(
        "[node]\ndata-centre = mvd-a\nregion = mvd\ncallers = {callers}\n\
         operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         peer-key = 0123456789abcdef0123456789abcdef\n[platform]\nurl = {url}\n\
         [limits]\nmemory-mib = {MEMORY_MIB}\ndescriptors = {}\n",
        PLAN.max_descriptors
    );
    let folder = format!("node-crowd-{name}");
    let settings = support::file(&folder, "node.ini", &text);
    let log = fs::File::create(support::file(&folder, "node.log", "")).unwrap();
    let child = support::command(&["node", "--settings", &settings])
        .stdin(process::Stdio::null())
        .stdout(process::Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap();
    let node = support::CrowdedNode::watch(child, callers, PLAN).await;
    (platform, node)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_come_whole_and_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let (_platform, node) = start("whole").await;
    node.bear_bodies(support::CrowdBodies::Whole).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_come_in_pieces_and_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let (_platform, node) = start("pieces").await;
    node.bear_bodies(support::CrowdBodies::Pieces).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_large_chunks_that_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let (_platform, node) = start("large-chunks").await;
    node.bear_bodies(support::CrowdBodies::LargeChunks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_very_small_chunks_that_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let (_platform, node) = start("small-chunks").await;
    node.bear_bodies(support::CrowdBodies::SmallChunks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_far_over_the_limit_that_are_announced() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let (_platform, node) = start("announced").await;
    node.bear_bodies(support::CrowdBodies::Announced).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_far_over_the_limit_that_are_just_sent() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let (_platform, node) = start("just-sent").await;
    node.bear_bodies(support::CrowdBodies::JustSent).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn more_bodies_than_connections_that_are_allowed() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let (_platform, node) = start("many").await;
    node.bear_bodies(support::CrowdBodies::Many).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_parses_into_many_values() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let (_platform, node) = start("values").await;
    let mut body = format!("{{\"model\":\"{}\",\"prompt\":[0", support::MODEL);
    while body.len() + ",0]}".len() <= PLAN.body_size {
        body += ",0";
    }
    body += "]}";
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        support::REPEAT_KEY,
        body.len()
    );
    node.bear_one(request.as_bytes()).await;
}
