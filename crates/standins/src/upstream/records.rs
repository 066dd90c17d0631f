//! Records of the requests that an instance received and ran.

use std::collections::HashMap;

use crate::http::HttpRequest;

use super::OPERATION_HEADER;

/// The outcome of a request at the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was refused before any work.
    Shed,
    /// It is in progress.
    Running,
    /// It ran, and the complete answer was written.
    Answered(u16),
    /// It ran until the client closed the connection.
    Cancelled,
    /// It ran until its deadline.
    DeadlineExceeded,
    /// It ran, and the answer was not written completely.
    CutShort,
    /// It crashed the instance.
    Crashed,
}

/// A request for work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// The request as received.
    pub request: HttpRequest,
    /// The operation from its [`OPERATION_HEADER`].
    pub operation: Option<String>,
    /// Its outcome.
    pub outcome: RequestOutcome,
}

/// The index of a request in the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RecordId(usize);

#[derive(Debug, Default)]
pub(super) struct Records {
    requests: Vec<RequestRecord>,
    probe_heads: Vec<Vec<u8>>,
    runs: u64,
    runs_by_operation: HashMap<String, u64>,
}

impl Records {
    pub(super) fn record_shed(&mut self, request: &HttpRequest) {
        self.push(request, RequestOutcome::Shed);
    }

    pub(super) fn start(&mut self, request: &HttpRequest) -> RecordId {
        self.runs += 1;
        if let Some(operation) = request.header(OPERATION_HEADER) {
            *self
                .runs_by_operation
                .entry(operation.to_owned())
                .or_default() += 1;
        }
        self.push(request, RequestOutcome::Running)
    }

    pub(super) fn finish(&mut self, id: RecordId, outcome: RequestOutcome) {
        if let Some(record) = self.requests.get_mut(id.0) {
            record.outcome = outcome;
        }
    }

    /// Records the head of a request to a probe endpoint.
    pub(super) fn record_probe(&mut self, request: &HttpRequest) {
        self.probe_heads.push(request.raw_head.clone());
    }

    pub(super) fn all(&self) -> Vec<RequestRecord> {
        self.requests.clone()
    }

    pub(super) fn runs(&self) -> u64 {
        self.runs
    }

    pub(super) fn runs_of(&self, operation: &str) -> u64 {
        self.runs_by_operation.get(operation).copied().unwrap_or(0)
    }

    pub(super) fn sheds(&self) -> u64 {
        self.requests.len() as u64 - self.runs
    }

    pub(super) fn has_seen(&self, needle: &[u8]) -> bool {
        let work = self.requests.iter().map(|record| &record.request);
        let heads = work.clone().map(|request| &request.raw_head);
        let bodies = work.map(|request| &request.body);
        let mut all = heads.chain(bodies).chain(&self.probe_heads);
        all.any(|bytes| contains(bytes, needle))
    }

    fn push(&mut self, request: &HttpRequest, outcome: RequestOutcome) -> RecordId {
        self.requests.push(RequestRecord {
            request: request.clone(),
            operation: request.header(OPERATION_HEADER).map(str::to_owned),
            outcome,
        });
        RecordId(self.requests.len() - 1)
    }
}

fn contains(bytes: &[u8], needle: &[u8]) -> bool {
    !needle.is_empty() && bytes.windows(needle.len()).any(|window| window == needle)
}
