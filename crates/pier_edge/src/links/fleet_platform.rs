//! The traits that the adapter of a platform implements.

use std::{future, net, time};

use pier_fleet::formation;
use pier_types::{epochs, ids};

use crate::links;

/// Calls to the platform's store.
pub trait RecordStore: Clone + Send + Sync + 'static {
    /// Reads all records of a kind; the answer may be stale if the kind allows that.
    ///
    /// # Errors
    ///
    /// Fails when the store refuses or does not answer.
    fn list(
        &self,
        kind: links::RecordKind,
    ) -> impl future::Future<Output = Result<links::RecordList, links::StoreError>> + Send;

    /// Waits up to `wait` for changes of a kind after a version of the store.
    ///
    /// # Errors
    ///
    /// Fails when the store refuses, does not answer, or no longer keeps the changes.
    fn watch(
        &self,
        kind: links::RecordKind,
        after: epochs::ObjectVersion,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<links::RecordChanges, links::StoreError>> + Send;

    /// Writes one of the nodes' own records if it has the version `if_version`: version 0 requires
    /// that it does not exist, `None` requires nothing.
    fn write(
        &self,
        name: &str,
        if_version: Option<epochs::ObjectVersion>,
        text: String,
    ) -> impl future::Future<Output = links::StoreWrite> + Send;
}

/// Calls to VMs about their groups.
pub trait MemberLink: Clone + Send + Sync + 'static {
    /// Queries the status of a VM.
    ///
    /// # Errors
    ///
    /// Fails when no usable answer comes within `limit`.
    fn query(
        &self,
        vm: &ids::VmName,
        address: net::SocketAddr,
        limit: time::Duration,
    ) -> impl future::Future<Output = Result<links::MemberReport, links::QueryFault>> + Send;

    /// Sends an order without repeating it.
    fn order(
        &self,
        order: &formation::GroupOrder,
        address: net::SocketAddr,
        limit: time::Duration,
    ) -> impl future::Future<Output = links::OrderOutcome> + Send;
}

/// Translates the headers of callers' requests and targets' answers.
pub trait HeaderCodec: Clone + Send + Sync + 'static {
    /// Reads a request's head.
    fn read_request(&self, head: &http::request::Parts) -> links::CallerHead;

    /// Returns the headers of the request to a target.
    fn target_headers(
        &self,
        head: &http::request::Parts,
        terms: &links::SendTerms<'_>,
    ) -> http::HeaderMap;

    /// Reads an answer's head.
    fn read_answer(&self, attempt: &str, head: &http::response::Parts) -> links::AnswerHead;

    /// Returns the head of the request that asks a VM's process for a sign of life, which runs
    /// nothing.
    fn life_request(&self, vm: &ids::VmName) -> http::Request<()>;

    /// Returns whether an answer to [`Self::life_request`] comes from this VM's process.
    fn is_life_sign(&self, vm: &ids::VmName, head: &http::response::Parts) -> bool;

    /// Returns the headers of the answer to the caller.
    fn caller_headers(&self, head: &http::response::Parts) -> http::HeaderMap;
}

/// The complete interface of a platform.
pub trait FleetPlatform: RecordStore + MemberLink + HeaderCodec {}

impl<P: RecordStore + MemberLink + HeaderCodec> FleetPlatform for P {}
