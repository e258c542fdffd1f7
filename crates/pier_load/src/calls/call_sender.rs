//! Sends the calls of a schedule when they are due.

use std::{net, sync, time};

use futures_util::StreamExt as _;
use pier_types::{times, times::clocks};

use crate::calls;

/// Time after its deadline when a caller counts the answer as lost.
const LATE_ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Sends calls to nodes as callers do, each once: the sender does not retry.
#[derive(Debug, Clone)]
pub struct CallSender {
    client: reqwest::Client,
    nodes: sync::Arc<Vec<net::SocketAddr>>,
    bearer: sync::Arc<str>,
    model: sync::Arc<str>,
}

impl CallSender {
    /// Creates a sender to the nodes at these addresses.
    ///
    /// # Errors
    ///
    /// Fails when there is no node or the HTTP client cannot be created.
    pub fn new(nodes: Vec<net::SocketAddr>, bearer: &str, model: &str) -> anyhow::Result<Self> {
        anyhow::ensure!(!nodes.is_empty(), "no node to send to");
        Ok(Self {
            client: reqwest::Client::builder().no_proxy().build()?,
            nodes: sync::Arc::new(nodes),
            bearer: bearer.into(),
            model: model.into(),
        })
    }

    /// Sends each call when it is due, without waiting for earlier answers, and then waits for all
    /// answers.
    ///
    /// # Errors
    ///
    /// Fails when a sending task panics.
    pub async fn send_all(
        &self,
        schedule: &calls::CallSchedule,
        start: times::BootTime,
    ) -> anyhow::Result<Vec<calls::CallRecord>> {
        let mut running = Vec::new();
        for plan in &schedule.calls {
            let due = start.after(plan.at);
            tokio::time::sleep(due.since(clocks::boot_now())).await;
            let (sender, plan) = (self.clone(), plan.clone());
            running.push(tokio::spawn(async move { sender.send(plan).await }));
        }
        let mut records = Vec::new();
        for call in running {
            records.push(call.await?);
        }
        Ok(records)
    }

    /// Sends one call and reads its answer.
    pub async fn send(&self, plan: calls::CallPlan) -> calls::CallRecord {
        let sent_at = clocks::boot_now();
        let mut events = calls::StreamRecorder::default();
        let limit = plan.deadline + LATE_ANSWER_TIMEOUT;
        let reading = self.read_answer(&plan, &mut events);
        let outcome = match tokio::time::timeout(limit, reading).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => calls::CallOutcome::Broken {
                cause: format!("{error:#}"),
            },
            Err(_elapsed) => calls::CallOutcome::Broken {
                cause: "no end".to_owned(),
            },
        };
        calls::CallRecord {
            plan,
            sent_at,
            ended_at: clocks::boot_now(),
            outcome,
            time_to_first_token: events.first_at.map(|at| at.since(sent_at)),
            token_gaps: events.gaps,
        }
    }

    async fn read_answer(
        &self,
        plan: &calls::CallPlan,
        events: &mut calls::StreamRecorder,
    ) -> anyhow::Result<calls::CallOutcome> {
        let node = self.nodes[plan.node_index % self.nodes.len()];
        let call = self.client.post(format!("http://{node}/v1/completions"));
        let call = call
            .bearer_auth(&self.bearer)
            .header("content-type", "application/json")
            .header("x-deadline-ms", plan.deadline.as_millis().to_string())
            .header("x-priority", plan.priority.to_string());
        let answer = call.body(plan.body(&self.model)).send().await?;
        if !answer.status().is_success() {
            return Ok(calls::CallOutcome::of_error(&answer.json().await?));
        }
        if !plan.is_streamed {
            let body: serde_json::Value = answer.json().await?;
            let text = body["choices"][0]["text"].as_str().unwrap_or_default();
            return Ok(outcome_of(plan, text));
        }
        let mut parts = answer.bytes_stream();
        while let Some(part) = parts.next().await {
            events.record_part(&part?, clocks::boot_now());
        }
        Ok(stream_outcome(plan, events))
    }
}

fn stream_outcome(plan: &calls::CallPlan, events: &calls::StreamRecorder) -> calls::CallOutcome {
    if let Some(error) = &events.error {
        return calls::CallOutcome::of_error(error);
    }
    if !events.is_done {
        return calls::CallOutcome::Broken {
            cause: "no end mark".to_owned(),
        };
    }
    outcome_of(plan, &events.text)
}

fn outcome_of(plan: &calls::CallPlan, text: &str) -> calls::CallOutcome {
    if text == plan.answer() {
        return calls::CallOutcome::Complete;
    }
    calls::CallOutcome::Wrong {
        text: text.to_owned(),
    }
}
