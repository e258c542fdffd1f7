//! Conditional writes and watches over HTTP; read lag and VM list lag on simulated time.

use std::time;

use pier_fakes::platform;
use pier_types::{epochs, times};

struct PlatformClient {
    client: reqwest::Client,
    base: String,
}

impl PlatformClient {
    fn new(server: &platform::FakePlatform) -> Self {
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let base = format!("http://{}", server.address());
        Self { client, base }
    }

    async fn put(&self, version: u64, value: &str) -> (u16, u64) {
        let request = self
            .client
            .put(format!("{}/objects/lease/mvd-a", self.base));
        let request = request.header("If-Version", version).body(value.to_owned());
        status_and_version(&request.send().await.unwrap())
    }

    async fn delete(&self, version: u64) -> (u16, u64) {
        let request = self
            .client
            .delete(format!("{}/objects/lease/mvd-a", self.base));
        let request = request.header("If-Version", version);
        status_and_version(&request.send().await.unwrap())
    }

    async fn get(&self, query: &str) -> (u16, u64, String) {
        let url = format!("{}/objects/lease/mvd-a{query}", self.base);
        let response = self.client.get(url).send().await.unwrap();
        let (status, version) = status_and_version(&response);
        (status, version, response.text().await.unwrap())
    }
}

fn status_and_version(response: &reqwest::Response) -> (u16, u64) {
    let version = response.headers().get("X-Object-Version");
    let version = version.and_then(|text| text.to_str().ok()?.parse().ok());
    (response.status().as_u16(), version.unwrap_or(0))
}

#[tokio::test]
async fn versions_increase_across_a_deletion() {
    let server = platform::FakePlatform::builder().launch().await.unwrap();
    let client = PlatformClient::new(&server);
    assert_eq!(client.put(0, "a").await, (200, 1));
    assert_eq!(client.put(0, "b").await, (409, 1));
    assert_eq!(client.delete(1).await, (200, 2));
    assert_eq!(client.get("").await.0, 404);
    assert_eq!(client.put(0, "c").await, (200, 3));
    assert_eq!(client.get("").await, (200, 3, "c".to_owned()));
}

#[tokio::test]
async fn a_watch_waits_for_the_next_version() {
    let server = platform::FakePlatform::builder().launch().await.unwrap();
    let client = PlatformClient::new(&server);
    assert_eq!(client.get("?after=0&wait_ms=1").await.0, 304);
    client.put(0, "a").await;
    assert_eq!(client.get("?after=0&wait_ms=1").await.1, 1);
    let (seen, _written) = tokio::join!(client.get("?after=1&wait_ms=30000"), client.put(1, "b"));
    assert_eq!(seen, (200, 2, "b".to_owned()));
}

#[tokio::test]
async fn a_value_over_the_limit_changes_nothing() {
    let server = platform::FakePlatform::builder().launch().await.unwrap();
    let client = PlatformClient::new(&server);
    let (status, _version) = client.put(0, &"x".repeat(1_000_001)).await;
    assert_eq!(status, 413);
    assert_eq!(client.get("").await.0, 404);
}

#[test]
fn lagging_reads_see_old_states_and_writes_the_current_one() {
    let at = times::BootTime::from_millis;
    let version = epochs::ObjectVersion::new;
    let mut store = platform::ObjectStore::default();
    store.read_lag = time::Duration::from_millis(10);
    assert_eq!(
        store.put("a", version(0), "1".into(), at(0)),
        Ok(version(1))
    );
    assert_eq!(
        store.put("a", version(1), "2".into(), at(5)),
        Ok(version(2))
    );
    let seen = |now| store.read("a", now).map(|object| object.version.get());
    assert_eq!(
        [seen(at(9)), seen(at(14)), seen(at(15))],
        [None, Some(1), Some(2)]
    );
}

#[test]
fn the_vm_list_shows_a_change_after_its_lag() {
    let at = times::BootTime::from_millis;
    let vm = serde_json::json!({
        "name": "vm-1", "incarnation": 1, "address": "127.0.0.1:1", "data_centre": "mvd-a",
        "domain": "f1", "pool": "accelerator", "state": "live",
    });
    let mut list = platform::VmList::default();
    list.lag = time::Duration::from_millis(10);
    list.replace(vec![serde_json::from_value(vm).unwrap()], at(0));
    assert!(list.visible(at(9)).is_empty());
    assert_eq!(list.visible(at(10)).len(), 1);
}
