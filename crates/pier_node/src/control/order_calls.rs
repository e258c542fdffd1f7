//! Calls that send orders to engines.

use std::{sync, time};

use pier_control::orders;
use pier_types::{epochs, times::clocks};
use serde::Deserialize;

use crate::{control, handle};

/// An engine's reply when it refuses an order because it has seen a newer generation.
#[derive(Debug, Deserialize)]
struct FencedReply {
    generation: epochs::GroupGeneration,
}

/// Sends an order in a new task, if the lease is still held then, and reports the reply to the loop.
pub(super) fn send(
    handle: &handle::NodeHandle,
    events: &control::EventSender,
    grant: &control::SharedGrant,
    order: orders::MemberOrder,
    settings: orders::OrderSettings,
) {
    let (handle, events) = (handle.clone(), events.clone());
    let grant = sync::Arc::clone(grant);
    tokio::spawn(async move {
        let lease = grant.load().as_ref().map(|grant| **grant);
        let Some(body) = order.body(lease, clocks::boot_now(), &settings) else {
            return;
        };
        let reply = post(&handle, &order, &body).await;
        log::info!(
            event = "order-sent",
            vm:% = order.vm,
            kind:? = body.kind,
            group:% = body.group,
            generation:% = body.generation,
            reply:? = reply;
            ""
        );
        let _ended = events.send(control::ControlEvent::OrderAnswered(Box::new(order), reply));
    });
}

/// Makes the call, with the lifetime stated in the order as its time-out.
async fn post(
    handle: &handle::NodeHandle,
    order: &orders::MemberOrder,
    body: &orders::EngineOrder,
) -> orders::OrderReply {
    let lifetime = time::Duration::from_millis(body.expires_in_ms);
    let url = format!("http://{}/orders", order.address);
    let call = handle.client().post(url).json(body).timeout(lifetime);
    let Ok(reply) = call.send().await else {
        return orders::OrderReply::Lost;
    };
    match reply.status() {
        reqwest::StatusCode::OK => orders::OrderReply::Accepted,
        reqwest::StatusCode::GONE => orders::OrderReply::Expired,
        reqwest::StatusCode::CONFLICT => {
            let fenced = reply.json::<FencedReply>().await;
            fenced.map_or(orders::OrderReply::Lost, |fenced| {
                orders::OrderReply::Fenced(fenced.generation)
            })
        }
        _ => orders::OrderReply::Lost,
    }
}
