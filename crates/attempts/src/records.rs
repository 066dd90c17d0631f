//! Idempotency records of one witness, in bounded memory.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::BodyDigest;
use waxwingusher_protocol::attempt::{
    AttemptKey, CannotVouchReason, Claim, ClaimEnd, ClaimId, HandOffRecord, StoredAnswer, Verdict,
};

use crate::settings::AttemptSettings;

/// The overhead of a stored answer, and of each of its headers.
const ANSWER_OVERHEAD_BYTES: usize = 64;

/// The claim of a record that merges two claims on one key, recorded by two
/// witnesses. The end of neither claim frees the key.
const CONFLICTING_CLAIMS: ClaimId = ClaimId([0; 8]);

#[derive(Debug, Clone)]
enum RecordState {
    Claimed { running_until_s: u32 },
    Answered(Arc<StoredAnswer>),
    Unknown,
    Free,
}

#[derive(Debug, Clone)]
struct Record {
    body: BodyDigest,
    claim: ClaimId,
    state: RecordState,
}

#[derive(Debug, Clone, Copy)]
struct Expiry {
    key: AttemptKey,
    claim: ClaimId,
    expires_at_s: u32,
}

/// The idempotency records of one witness.
pub(crate) struct RecordStore {
    settings: AttemptSettings,
    epoch: Instant,
    records: HashMap<AttemptKey, Record>,
    expiries: VecDeque<Expiry>,
    answers: VecDeque<(AttemptKey, ClaimId)>,
    answer_bytes: usize,
}

impl RecordStore {
    pub(crate) fn new(settings: AttemptSettings, epoch: Instant) -> Self {
        Self {
            settings,
            epoch,
            records: HashMap::new(),
            expiries: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Returns the verdict that follows from the record of the claim's key, if
    /// there is one that is not free.
    pub(crate) fn look_up(&self, claim: &Claim, now: Instant) -> Option<Verdict> {
        let record = self.records.get(&claim.key)?;
        if record.claim == claim.claim {
            return match record.state {
                RecordState::Claimed { .. } => Some(Verdict::Granted),
                _ => Some(Verdict::Held),
            };
        }
        if matches!(record.state, RecordState::Free) {
            return None;
        }
        if record.claim == CONFLICTING_CLAIMS {
            return Some(Verdict::Unknown);
        }
        if record.body != claim.body {
            return Some(Verdict::OtherBody);
        }
        Some(match &record.state {
            RecordState::Claimed { running_until_s } if self.seconds(now) <= *running_until_s => {
                Verdict::Held
            }
            RecordState::Answered(answer) => Verdict::Answered(StoredAnswer::clone(answer)),
            _ => Verdict::Unknown,
        })
    }

    /// Records a claim on a key that has no record, or a free one.
    pub(crate) fn record(&mut self, claim: &Claim, now: Instant) -> Verdict {
        if !self.has_room_for(1) {
            return Verdict::CannotVouch(CannotVouchReason::Full);
        }
        let time_left = Duration::from_millis(u64::from(claim.time_left_ms));
        let running_until_s = self.seconds(now + self.settings.permit_term + time_left) + 1;
        let state = RecordState::Claimed { running_until_s };
        self.insert(claim.key, claim.claim, claim.body, state, now);
        Verdict::Granted
    }

    /// Reports whether `count` further records fit.
    pub(crate) fn has_room_for(&self, count: usize) -> bool {
        self.expiries.len() + count <= self.settings.max_records
    }

    /// Records how a claim ended.
    pub(crate) fn finish(&mut self, key: AttemptKey, claim: ClaimId, end: ClaimEnd, now: Instant) {
        let Some(record) = self.records.get_mut(&key) else {
            self.insert_tombstone(key, claim, &end, now);
            return;
        };
        let is_open = matches!(
            record.state,
            RecordState::Claimed { .. } | RecordState::Unknown
        );
        if record.claim != claim || !is_open {
            return;
        }
        match end {
            ClaimEnd::NotRun => record.state = RecordState::Free,
            ClaimEnd::Unknown => record.state = RecordState::Unknown,
            ClaimEnd::Answered(answer) => {
                record.state = RecordState::Unknown;
                self.store_answer(key, claim, answer);
            }
        }
    }

    /// Merges a record from another witness. If it has another claim than the
    /// record of this witness, neither claim can free the key.
    pub(crate) fn merge(&mut self, handed: HandOffRecord, now: Instant) {
        let HandOffRecord {
            key, claim, body, ..
        } = handed;
        let known = self.records.get(&key);
        let binding = known.filter(|record| !matches!(record.state, RecordState::Free));
        match binding.map(|record| record.claim) {
            None => self.insert(key, claim, body, RecordState::Unknown, now),
            Some(known) if known == claim => {}
            Some(known) => {
                self.drop_answer(key, known);
                self.insert(key, CONFLICTING_CLAIMS, body, RecordState::Unknown, now);
                return;
            }
        }
        let is_answered = self
            .records
            .get(&key)
            .is_some_and(|record| matches!(record.state, RecordState::Answered(_)));
        if let Some(answer) = handed.answer.filter(|_| !is_answered) {
            self.store_answer(key, claim, answer);
        }
    }

    /// Returns all records that are not free, in a stable order.
    pub(crate) fn export(&self) -> Vec<HandOffRecord> {
        let mut keys: Vec<_> = self.records.keys().copied().collect();
        keys.sort_unstable();
        self.export_of(&keys)
    }

    /// Returns the records of these keys that are not free.
    pub(crate) fn export_of(&self, keys: &[AttemptKey]) -> Vec<HandOffRecord> {
        let mut handed = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(record) = self.records.get(key) else {
                continue;
            };
            let answer = match &record.state {
                RecordState::Free => continue,
                RecordState::Answered(answer) => Some(StoredAnswer::clone(answer)),
                RecordState::Claimed { .. } | RecordState::Unknown => None,
            };
            handed.push(HandOffRecord {
                key: *key,
                claim: record.claim,
                body: record.body,
                answer,
            });
        }
        handed
    }

    /// Drops records whose retention is over.
    pub(crate) fn expire(&mut self, now: Instant) {
        let now_s = self.seconds(now);
        while let Some(entry) = self.expiries.front().copied() {
            if entry.expires_at_s >= now_s {
                break;
            }
            self.expiries.pop_front();
            let is_same_claim = |record: &Record| record.claim == entry.claim;
            if self.records.get(&entry.key).is_some_and(is_same_claim) {
                self.drop_answer(entry.key, entry.claim);
                self.records.remove(&entry.key);
            }
        }
        self.trim_answers();
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns an estimate of the memory used, in bytes, from the capacities.
    pub(crate) fn memory_bytes(&self) -> usize {
        let slot = size_of::<AttemptKey>() + size_of::<Record>() + 1;
        let table = self.records.capacity() * 8 / 7 * slot;
        let queues = self.expiries.capacity() * size_of::<Expiry>()
            + self.answers.capacity() * size_of::<(AttemptKey, ClaimId)>();
        table + queues + self.answer_bytes
    }

    fn insert(
        &mut self,
        key: AttemptKey,
        claim: ClaimId,
        body: BodyDigest,
        state: RecordState,
        now: Instant,
    ) {
        self.expiries.push_back(Expiry {
            key,
            claim,
            expires_at_s: self.seconds(now + self.settings.retention()) + 1,
        });
        let record = Record { body, claim, state };
        self.records.insert(key, record);
    }

    /// Records the release of a claim that arrived before the claim itself.
    fn insert_tombstone(&mut self, key: AttemptKey, claim: ClaimId, end: &ClaimEnd, now: Instant) {
        if *end != ClaimEnd::NotRun || !self.has_room_for(1) {
            return;
        }
        let body = BodyDigest::of_request("", "", b"");
        self.insert(key, claim, body, RecordState::Free, now);
    }

    fn store_answer(&mut self, key: AttemptKey, claim: ClaimId, answer: StoredAnswer) {
        let bytes = answer_bytes(&answer);
        if !answer.is_storable() || bytes > self.settings.max_answer_bytes {
            return;
        }
        while self.answer_bytes + bytes > self.settings.max_answer_bytes {
            let Some((key, claim)) = self.answers.pop_front() else {
                break;
            };
            self.drop_answer(key, claim);
        }
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        record.state = RecordState::Answered(Arc::new(answer));
        self.answer_bytes += bytes;
        self.answers.push_back((key, claim));
    }

    fn drop_answer(&mut self, key: AttemptKey, claim: ClaimId) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if record.claim != claim {
            return;
        }
        if let RecordState::Answered(answer) = &record.state {
            self.answer_bytes -= answer_bytes(answer);
            record.state = RecordState::Unknown;
        }
    }

    fn trim_answers(&mut self) {
        while let Some((key, claim)) = self.answers.front() {
            let is_answered = |record: &Record| {
                record.claim == *claim && matches!(record.state, RecordState::Answered(_))
            };
            if self.records.get(key).is_some_and(is_answered) {
                break;
            }
            self.answers.pop_front();
        }
    }

    fn seconds(&self, at: Instant) -> u32 {
        let elapsed = at.saturating_duration_since(self.epoch).as_secs();
        u32::try_from(elapsed).unwrap_or(u32::MAX)
    }
}

fn answer_bytes(answer: &StoredAnswer) -> usize {
    let headers = answer
        .headers
        .iter()
        .map(|header| header.name.len() + header.value.len() + ANSWER_OVERHEAD_BYTES)
        .sum::<usize>();
    ANSWER_OVERHEAD_BYTES + headers + answer.body.len()
}
