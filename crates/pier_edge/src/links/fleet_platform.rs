//! The traits that an adapter implements.

use std::{future, net, time};

use pier_fleet::formation;
use pier_types::{epochs, ids};

use crate::links;

/// Calls to the platform's store.
pub trait RecordStore: Clone + Send + Sync + 'static {
    /// Reads all records of a kind; an old answer does where the kind allows it.
    fn list(
        &self,
        kind: links::RecordKind,
    ) -> impl future::Future<Output = Result<links::RecordList, links::StoreError>> + Send;

    /// Waits for changes of a kind behind a version of the store.
    fn watch(
        &self,
        kind: links::RecordKind,
        after: epochs::ObjectVersion,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<links::RecordChanges, links::StoreError>> + Send;

    /// Writes one of the nodes' own records; version 0 asks for it to be absent, none for nothing.
    fn write(
        &self,
        name: &str,
        if_version: Option<epochs::ObjectVersion>,
        text: String,
    ) -> impl future::Future<Output = links::StoreWrite> + Send;
}

/// Calls to VMs about their groups.
pub trait MemberLink: Clone + Send + Sync + 'static {
    /// Asks a VM about itself.
    fn ask(
        &self,
        vm: &ids::VmName,
        address: net::SocketAddr,
        limit: time::Duration,
    ) -> impl future::Future<Output = Result<links::MemberReport, String>> + Send;

    /// Sends an order, once.
    fn order(
        &self,
        order: &formation::GroupOrder,
        address: net::SocketAddr,
        limit: time::Duration,
    ) -> impl future::Future<Output = links::OrderOutcome> + Send;
}

/// Headers of callers' requests and targets' answers.
pub trait HeaderCodec: Clone + Send + Sync + 'static {
    /// Reads a request's head.
    fn read_request(&self, head: &http::request::Parts) -> links::CallerHead;

    /// Writes the headers of a request to a target.
    fn target_headers(
        &self,
        head: &http::request::Parts,
        terms: &links::SendTerms<'_>,
    ) -> http::HeaderMap;

    /// Reads an answer's head.
    fn read_answer(&self, attempt: &str, head: &http::response::Parts) -> links::AnswerHead;

    /// Writes the headers of an answer to a caller.
    fn caller_headers(&self, head: &http::response::Parts) -> http::HeaderMap;
}

/// Everything that an adapter does.
pub trait FleetPlatform: RecordStore + MemberLink + HeaderCodec {}

impl<P: RecordStore + MemberLink + HeaderCodec> FleetPlatform for P {}
