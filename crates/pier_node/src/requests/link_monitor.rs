//! Checks the links to targets that do not answer this node.

use std::{collections, io, net, time};

use pier_request::{attempts, retries};
use tokio::{io::AsyncReadExt as _, net as sockets, task};

use crate::{handle, requests};

/// Time without an answer after which the link of a request is checked.
const DOUBT_TIME: time::Duration = time::Duration::from_millis(500);

/// Time in which a sound link makes a connection, also if the first packet is lost.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// Time for which a connection that was made is watched for being reset at once.
const RESET_TIMEOUT: time::Duration = time::Duration::from_millis(50);

/// Time between two checks of a link that is down.
const DOWN_PERIOD: time::Duration = time::Duration::from_millis(250);

/// Time for which a sound link is not checked again.
const SOUND_PAUSE: time::Duration = time::Duration::from_secs(2);

/// Maximum number of other targets that are checked to tell a cut link from a lost target.
const MAX_OTHERS: usize = 4;

/// Checks links in the background while they are in doubt.
#[derive(Debug)]
pub(super) struct LinkMonitor;

impl LinkMonitor {
    /// Starts to check the link to a target, unless that is under way.
    pub(super) fn doubt(handle: &handle::NodeHandle, address: net::SocketAddr) {
        if handle.requests().links().doubt(address) {
            tokio::spawn(watch(handle.clone(), address));
        }
    }

    /// Records that no connection was made, and checks the link until it is sound again.
    pub(super) fn record_failed_connect(
        handle: &handle::NodeHandle,
        address: net::SocketAddr,
        state: requests::LinkState,
    ) {
        let former = handle.requests().links().set(address, state);
        log_change(address, former, state);
        if former.is_none() {
            tokio::spawn(watch(handle.clone(), address));
        }
    }

    /// Waits until no connection can be made to the target of an attempt that has no answer yet, nor
    /// to any other target, so that this node's own links are down.
    ///
    /// Never returns for requests that may not be repeated, nor while connections are refused or
    /// another target is reached: the answer may still come on the connection that the attempt has.
    pub(super) async fn wait_for_silent_link(
        call: &requests::AttemptCall,
    ) -> requests::AttemptFault {
        let address = call.target.address;
        loop {
            tokio::time::sleep(DOUBT_TIME).await;
            Self::doubt(&call.handle, address);
            let state = call.handle.requests().links().state(address);
            let is_silent = state == Some(requests::LinkState::Silent);
            if is_silent
                && call.plan.rule == retries::RepeatRule::Repeatable
                && !Self::reaches_other(&call.handle, address).await
            {
                let end = attempts::AttemptEnd::Lost;
                return requests::AttemptFault::new(end, "the target cannot be reached");
            }
        }
    }

    /// Returns whether this node reaches a target other than the one at an address.
    pub(super) async fn reaches_other(
        handle: &handle::NodeHandle,
        address: net::SocketAddr,
    ) -> bool {
        let mut others: Vec<_> = other_addresses(handle, address).into_iter().collect();
        let start = rand::random_range(0..others.len().max(1));
        others.rotate_left(start);
        let mut checks: task::JoinSet<_> = others.into_iter().take(MAX_OTHERS).map(check).collect();
        while let Some(checked) = checks.join_next().await {
            if checked.is_ok_and(|state| !state.is_down()) {
                return true;
            }
        }
        false
    }
}

/// Returns the addresses of listed targets except one, and except those whose link is known as down.
fn other_addresses(
    handle: &handle::NodeHandle,
    address: net::SocketAddr,
) -> collections::BTreeSet<net::SocketAddr> {
    let table = handle.routes();
    let targets = table.pools.values().flatten();
    let addresses = targets.map(|target| target.address);
    let links = handle.requests().links();
    let others = addresses.filter(|other| *other != address && !links.is_down(*other));
    others.collect()
}

/// Checks a link until nothing casts doubt on it or its target is no longer listed.
async fn watch(handle: handle::NodeHandle, address: net::SocketAddr) {
    let links = handle.requests().links();
    loop {
        let state = check(address).await;
        log_change(address, links.set(address, state), state);
        if state.is_down() {
            if !is_listed(&handle, address) {
                links.forget(address);
                return;
            }
            tokio::time::sleep(DOWN_PERIOD).await;
            continue;
        }
        tokio::time::sleep(SOUND_PAUSE).await;
        if links.clear(address) {
            return;
        }
    }
}

async fn check(address: net::SocketAddr) -> requests::LinkState {
    let connecting = sockets::TcpStream::connect(address);
    let Ok(connected) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
        return requests::LinkState::Silent;
    };
    let reading = async { connected?.read(&mut [0]).await };
    let read: Result<io::Result<usize>, _> = tokio::time::timeout(RESET_TIMEOUT, reading).await;
    match read {
        Ok(Err(_refused)) => requests::LinkState::Refusing,
        // The link of a target that closes the connection, or waits for a request, is sound.
        Ok(Ok(_)) | Err(_) => requests::LinkState::Checked,
    }
}

fn is_listed(handle: &handle::NodeHandle, address: net::SocketAddr) -> bool {
    let table = handle.routes();
    let mut targets = table.pools.values().flatten();
    targets.any(|target| target.address == address)
}

fn log_change(
    address: net::SocketAddr,
    former: Option<requests::LinkState>,
    state: requests::LinkState,
) {
    let was_down = former.is_some_and(requests::LinkState::is_down);
    if was_down != state.is_down() {
        log::warn!(event = "target-link-changed", address:% = address, state:? = state; "");
    }
}
