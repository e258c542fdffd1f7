//! The process that receives a target's requests.

use std::{net, time};

use pier_request::attempts;
use pier_types::{epochs, ids, reports, routes};
use pier_wire::messages;

use crate::{handle, probes};

/// How long the end of an answer may wait for a sign of life; a sound target gives it at once.
const LIFE_SIGN_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A process, known by the report that a probe found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TargetProcess {
    address: net::SocketAddr,
    vm: ids::VmName,
    incarnation: epochs::VmIncarnation,
}

impl TargetProcess {
    /// Returns the process as of the last probe, or `None` when there is no evidence of it.
    pub(super) fn probed(
        handle: &handle::NodeHandle,
        target: &routes::RouteTarget,
    ) -> Option<Self> {
        let list = handle.vms();
        let vm = match &target.target {
            ids::TargetId::Vm(vm) => vm,
            ids::TargetId::Group(_group) => {
                let mut entries = list.values();
                &entries.find(|entry| entry.address == target.address)?.name
            }
        };
        let evidence = handle.evidence();
        Some(Self {
            address: target.address,
            vm: vm.clone(),
            incarnation: evidence.get(vm)?.report.incarnation,
        })
    }

    /// Returns the incarnation.
    pub(super) const fn incarnation(&self) -> epochs::VmIncarnation {
        self.incarnation
    }

    /// Asks for the report, which only a process that lives on gives.
    ///
    /// That a connection is accepted shows nothing: a process that ends may close its connections
    /// before its port.
    pub(super) async fn life_sign(&self, handle: &handle::NodeHandle) -> attempts::LifeSign {
        let asking = tokio::time::timeout(LIFE_SIGN_TIMEOUT, self.ask(handle)).await;
        match asking {
            Ok(Ok(report)) if report.vm == self.vm && report.incarnation == self.incarnation => {
                attempts::LifeSign::Alive
            }
            Ok(Ok(_) | Err(messages::ProbeFailure::Refused)) => attempts::LifeSign::Gone,
            Ok(Err(_)) | Err(_) => attempts::LifeSign::Silent,
        }
    }

    async fn ask(
        &self,
        handle: &handle::NodeHandle,
    ) -> Result<reports::EngineReport, messages::ProbeFailure> {
        let pooled = probes::fetch_report(handle.client(), self.address, LIFE_SIGN_TIMEOUT).await;
        if pooled != Err(messages::ProbeFailure::Silent) {
            return pooled;
        }
        // The target may have closed an idle connection meanwhile.
        let client = handle.requests().one_time_client();
        probes::fetch_report(client, self.address, LIFE_SIGN_TIMEOUT).await
    }
}
