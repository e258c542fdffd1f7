//! Finds out whether a target's process lives on after the end of an answer.

use std::time;

use http_body_util::{BodyExt as _, Full, Limited};
use pier_request::{attempts, quarantine};
use pier_types::times;

use crate::{crashes, links, serving, state};

/// How long the end of an answer may wait for a sign of life; a sound target gives it at once.
const LIFE_SIGN_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Greatest size of the body of a sign of life in bytes.
const MAX_SIGN_BYTES: usize = 64 << 10;

/// Why a connection brought no sign of life.
enum NoSign {
    NoListener,
    Closed,
}

impl<P: links::FleetPlatform> serving::RequestJob<P> {
    /// Asks the target's process for an answer, which only one that lives on gives.
    ///
    /// That a connection is accepted shows nothing: a process that ends may close its connections
    /// before its port.
    pub(super) async fn life_sign(&self, slot: &state::TargetSlot) -> attempts::LifeSign {
        if slot.is_node() {
            return attempts::LifeSign::Silent;
        }
        let left = self.time_left(times::clocks::boot_now());
        let limit = LIFE_SIGN_TIMEOUT.min(left);
        let answered = tokio::time::timeout(limit, self.ask_for_sign(slot)).await;
        let now = times::clocks::boot_now();
        let target = slot.as_lost();
        let registered = self
            .state
            .with_registry(|registry| crashes::registered_cause(registry, &target, now, now));
        if registered == Some(quarantine::LossCause::ProcessLost) {
            // The sign may be that of the VM's next start.
            return attempts::LifeSign::Gone;
        }
        match answered {
            Ok(Ok(())) => attempts::LifeSign::Alive,
            Ok(Err(NoSign::NoListener)) => attempts::LifeSign::Gone,
            Ok(Err(NoSign::Closed)) | Err(_) => attempts::LifeSign::Silent,
        }
    }

    async fn ask_for_sign(&self, slot: &state::TargetSlot) -> Result<(), NoSign> {
        let now = times::clocks::boot_now();
        if let Some(idle) = slot.connections.take_idle(time::Duration::MAX, now)
            && self.ask_on(slot, idle).await.is_ok()
        {
            return Ok(());
        }
        // The target may have closed an idle connection meanwhile.
        match slot.connections.connect().await {
            Ok(connection) => self.ask_on(slot, connection).await,
            Err(serving::ConnectFault::NoListener) => Err(NoSign::NoListener),
            Err(serving::ConnectFault::Failed(_)) => Err(NoSign::Closed),
        }
    }

    async fn ask_on(
        &self,
        slot: &state::TargetSlot,
        mut connection: serving::PooledConnection,
    ) -> Result<(), NoSign> {
        let platform = self.state.platform();
        connection.preface.begin();
        let mut request = platform.life_request(&slot.vm).map(|()| Full::default());
        let host = http::HeaderValue::from_str(&slot.connections.address().to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(http::header::HOST, host);
        }
        let sent = connection.sender.send_request(request).await;
        let response = sent.map_err(|_closed| NoSign::Closed)?;
        connection.preface.end();
        let (head, body) = response.into_parts();
        if !platform.is_life_sign(&slot.vm, &head) {
            return Err(NoSign::Closed);
        }
        let answer = platform.read_answer("", &head);
        let body = Limited::new(body, MAX_SIGN_BYTES).collect().await;
        if body.is_ok() && !answer.closes && !connection.sender.is_closed() {
            let now = times::clocks::boot_now();
            slot.connections
                .give_back(connection, answer.idle_time, now);
        }
        Ok(())
    }
}
