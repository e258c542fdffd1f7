//! The loop that keeps the route table fresh.

use std::{collections, sync, time};

use pier_types::{epochs, ids, reports, routes, sizes, times, vms};

use crate::handle;

/// Time between two readings of the VM list.
const LIST_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Bound on one report of a target.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Share of a target while no limit is known.
const DEFAULT_SHARE: sizes::RequestCount = sizes::RequestCount::new(8);

/// Starts the loop; it ends with the runtime.
pub fn spawn(handle: handle::NodeHandle) {
    tokio::spawn(async move {
        loop {
            if let Err(error) = refresh(&handle).await {
                log::warn!(event = "vm-list-unread", cause:% = error; "");
            }
            tokio::time::sleep(LIST_PERIOD).await;
        }
    });
}

async fn refresh(handle: &handle::NodeHandle) -> anyhow::Result<()> {
    let url = format!("{}/vms", handle.settings().platform_url);
    let answer = handle
        .client()
        .get(url)
        .timeout(REPORT_TIMEOUT)
        .send()
        .await?;
    let list: Vec<vms::VmEntry> = answer.error_for_status()?.json().await?;
    let mut pools = collections::BTreeMap::<_, Vec<_>>::new();
    let config = handle.config();
    let admitted = list
        .iter()
        .filter(|entry| takes_new_work(entry, config.as_deref()));
    for entry in admitted {
        if let Some((pool, target)) = probe(handle, entry).await {
            pools.entry(pool).or_default().push(sync::Arc::new(target));
        }
    }
    let list = list.into_iter().map(|entry| (entry.name.clone(), entry));
    handle.publish_vms(list.collect());
    handle.publish_routes(routes::RouteTable { pools });
    Ok(())
}

/// Tells whether neither the platform nor operators keep new work away from a VM.
fn takes_new_work(entry: &vms::VmEntry, config: Option<&handle::ConfigSnapshot>) -> bool {
    let stays = entry.state == vms::VmState::Live;
    let admits = |snapshot: &handle::ConfigSnapshot| {
        snapshot.document.admits(&entry.data_centre, &entry.name)
    };
    stays && config.is_none_or(admits)
}

async fn probe(
    handle: &handle::NodeHandle,
    entry: &vms::VmEntry,
) -> Option<(routes::PoolKey, routes::RouteTarget)> {
    let probed_at = times::clocks::boot_now();
    let url = format!("http://{}/report", entry.address);
    let answer = handle
        .client()
        .get(url)
        .timeout(REPORT_TIMEOUT)
        .send()
        .await;
    let report: reports::EngineReport = answer.ok()?.json().await.ok()?;
    let pool = match &entry.pool {
        vms::VmPool::Service(service) => routes::PoolKey::Service(service.clone()),
        vms::VmPool::Accelerator => routes::PoolKey::Model(report.model?),
    };
    let target = routes::RouteTarget {
        target: ids::TargetId::Vm(entry.name.clone()),
        address: entry.address,
        data_centre: entry.data_centre.clone(),
        generation: epochs::GroupGeneration::default(),
        share: DEFAULT_SHARE,
        load: routes::TargetLoad {
            running: report.running,
            queued: report.queued,
            probed_at,
        },
    };
    Some((pool, target))
}
