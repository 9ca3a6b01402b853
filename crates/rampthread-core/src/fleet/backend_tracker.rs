//! Tracks which incarnation of the local backend is current, based on its reports.
//!
//! Reports can arrive late: one of an ended incarnation may follow the first report of the next
//! one. Incarnations are ordered by the backend's own clock, which may jump, and they may share
//! the id. So a report that seems to be of an earlier incarnation is [`ReportStatus::PossiblyStale`]: it
//! is neither applied nor acknowledged. Ended incarnations soon stop reporting. Therefore an
//! incarnation that continues to report while the current one is silent is the newer one,
//! whatever its clock says.

use super::member::EndpointRecord;
use crate::backend_incarnation::{BackendIncarnation, StartedAt};
use crate::ids::InstanceId;
use crate::time::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of earlier backend incarnations that are remembered to detect their late
/// reports.
const MAX_RETIRED: usize = 64;
/// Minimum time for which an apparently earlier incarnation must report, and the current one be
/// silent, before it replaces the current one. Delayed reports arrive up to seconds late, but
/// close to each other.
pub const MIN_SUPERSEDE_TIME: Duration = Duration::from_secs(5);
/// Minimum supersede time in heartbeat intervals, since a backend is always silent between two
/// heartbeats. With an interval of 5 s, [`MIN_SUPERSEDE_TIME`] alone would let a late report
/// replace a live backend.
const MIN_SUPERSEDE_HEARTBEATS: u32 = 3;

/// Report of a backend to the node on its machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendReport {
    /// The backend is alive and reports its state.
    Heartbeat(EndpointRecord),
    /// The backend deregisters: it is departing or has departed.
    Departure(BackendIncarnation),
}

impl BackendReport {
    /// Returns the name of the backend incarnation that sent the report.
    pub fn incarnation(&self) -> InstanceId {
        match self {
            BackendReport::Heartbeat(record) => record.instance.clone(),
            BackendReport::Departure(incarnation) => incarnation.name(),
        }
    }
}

/// Result of applying a report of a backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportStatus {
    /// The report changed the state of the backend. Contains the new state.
    Changed(EndpointRecord),
    /// The report contains nothing new.
    Unchanged,
    /// The report seems to be of another incarnation than the current one. It was not applied
    /// and must not be acknowledged.
    PossiblyStale,
}

/// Backend incarnation that may replace the current one if it keeps reporting.
#[derive(Debug, Clone)]
struct SupersedeCandidate {
    incarnation: InstanceId,
    /// Time of the first report of this candidate.
    since: Moment,
    /// Sequence number of its last report.
    sequence: u64,
}

/// Backend incarnation that departed or was replaced.
#[derive(Debug)]
struct PreviousIncarnation {
    /// Name of the incarnation. A plain id, if the departure did not include the start time,
    /// matches all incarnations with this id.
    instance: InstanceId,
    /// True if the incarnation departed. Its late heartbeats do not revoke that.
    departed: bool,
}

/// Determines from the local backend's reports which of its incarnations is current, and
/// remembers the earlier ones.
#[derive(Debug)]
pub struct BackendTracker {
    /// Minimum silence of the current incarnation before another one may replace it.
    supersede_time: Duration,
    current: Option<EndpointRecord>,
    /// Arrival of the last report of the current incarnation.
    last_report_at: Moment,
    /// True if the current record was restored and the backend has not reported to this process
    /// yet.
    unconfirmed: bool,
    candidate: Option<SupersedeCandidate>,
    retired: VecDeque<PreviousIncarnation>,
}

/// How the incarnation in a heartbeat relates to the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IncarnationRelation {
    /// The report is of the current incarnation.
    Same,
    /// The report is of a later incarnation, which replaces the current one.
    Newer,
    /// The report may be a late one of an earlier incarnation.
    PossiblyStale,
}

impl Default for BackendTracker {
    fn default() -> Self {
        Self::with_heartbeat(Duration::ZERO)
    }
}

impl BackendTracker {
    /// Creates a tracker without a backend. `heartbeat` is the interval between reports.
    pub fn with_heartbeat(heartbeat: Duration) -> Self {
        Self {
            supersede_time: MIN_SUPERSEDE_TIME.max(heartbeat * MIN_SUPERSEDE_HEARTBEATS),
            current: None,
            last_report_at: Moment::default(),
            unconfirmed: false,
            candidate: None,
            retired: VecDeque::new(),
        }
    }

    /// Applies a report of the backend that arrived at `now`.
    pub fn apply_report(&mut self, report: BackendReport, now: Moment) -> ReportStatus {
        match report {
            BackendReport::Heartbeat(record) => self.apply_heartbeat(record, now),
            BackendReport::Departure(incarnation) => self.apply_departure(&incarnation, now),
        }
    }

    /// Restores the record of the local backend that an earlier run of this node has written to
    /// the store. Returns the record, or `None` if the backend's state is already known. Any
    /// later heartbeat of the same incarnation replaces it.
    pub fn restore(&mut self, record: EndpointRecord) -> Option<EndpointRecord> {
        match self.current {
            None => self.set_restored_record(record),
            Some(_) => None,
        }
    }

    /// Restores the record of the backend that a peer received from an earlier run of this
    /// node. It replaces a record restored from the store, which lags by some seconds, if it
    /// contains a departure or a later incarnation.
    pub fn restore_from_peer(&mut self, record: EndpointRecord) -> Option<EndpointRecord> {
        match self.supersedes_restored(&record) {
            true => self.set_restored_record(record),
            false => None,
        }
    }

    /// Makes a record from an earlier run of this node the current one, unless its incarnation
    /// is known to have ended. Any later heartbeat replaces it, whatever its
    /// sequence number.
    fn set_restored_record(&mut self, record: EndpointRecord) -> Option<EndpointRecord> {
        if self.is_retired(&record.instance) {
            return None;
        }
        self.unconfirmed = true;
        self.current = Some(EndpointRecord {
            sequence: 0,
            ..record.clone()
        });
        Some(record)
    }

    /// Returns true if the current record was restored from the store and `record` contains a
    /// departure or a later incarnation.
    fn supersedes_restored(&self, record: &EndpointRecord) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        let newer = match compare_incarnations(current, record) {
            IncarnationRelation::Same => record.draining && !current.draining,
            IncarnationRelation::Newer => !current.draining,
            IncarnationRelation::PossiblyStale => false,
        };
        self.unconfirmed && newer
    }

    /// Drops a restored record that no heartbeat has confirmed, since the backend may have
    /// departed at the end of the node's previous run. Returns true if there was such a record.
    pub fn drop_unconfirmed(&mut self) -> bool {
        let dropped = self.unconfirmed && self.current.is_some();
        if dropped {
            self.drop_current();
            self.unconfirmed = false;
        }
        dropped
    }

    /// Handles a response of the backend's address that names another incarnation than the
    /// expected `instance`. The expected one counts as gone until its next report. Returns true
    /// if it was the current one.
    pub fn on_instance_mismatch(&mut self, instance: &InstanceId) -> bool {
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|current| current.instance == *instance);
        if is_current {
            self.drop_current();
        }
        is_current
    }

    /// Clears the record of the current incarnation. An acknowledged departure is remembered,
    /// so that a delayed heartbeat does not revoke it. Otherwise the next heartbeat brings the
    /// incarnation back.
    fn drop_current(&mut self) {
        let current = self.current.take();
        if let Some(departed) = current.filter(|current| current.draining) {
            self.retire_incarnation(departed.instance, true);
        }
    }

    /// Returns the current incarnation and the arrival of its last report. `None` if it has not
    /// reported to this process.
    pub fn last_report(&self) -> Option<(&InstanceId, Moment)> {
        let current = self.current.as_ref().filter(|_| !self.unconfirmed)?;
        Some((&current.instance, self.last_report_at))
    }

    /// Applies a heartbeat of any incarnation.
    fn apply_heartbeat(&mut self, record: EndpointRecord, now: Moment) -> ReportStatus {
        let relation = match &self.current {
            Some(current) => compare_incarnations(current, &record),
            None => IncarnationRelation::Newer,
        };
        match relation {
            IncarnationRelation::Same => self.apply_current_heartbeat(record, now),
            IncarnationRelation::Newer if self.has_departed(&record.instance) => {
                self.apply_heartbeat_after_departure(record, now)
            }
            IncarnationRelation::Newer if !self.is_retired(&record.instance) => {
                self.supersede_current(record, now)
            }
            IncarnationRelation::Newer | IncarnationRelation::PossiblyStale => {
                self.track_supersede_candidate(record, now)
            }
        }
    }

    /// Handles a heartbeat of an incarnation whose departure arrived earlier.
    fn apply_heartbeat_after_departure(
        &mut self,
        mut record: EndpointRecord,
        now: Moment,
    ) -> ReportStatus {
        let present = self.current.as_ref();
        let present =
            present.map(|present| BackendIncarnation::from_name(&present.instance).started_at());
        let born = BackendIncarnation::from_name(&record.instance).started_at();
        if present.is_some_and(|present| present.is_none() || born <= present) {
            return self.track_supersede_candidate(record, now);
        }
        record.draining = true;
        self.supersede_current(record, now)
    }

    /// Applies a heartbeat of the current incarnation.
    fn apply_current_heartbeat(&mut self, mut record: EndpointRecord, now: Moment) -> ReportStatus {
        let Some(current) = &self.current else {
            return self.supersede_current(record, now);
        };
        if record.sequence <= current.sequence {
            return self.apply_repeated_sequence(record, now);
        }
        let accepts_work_again = current.draining && !record.draining;
        if accepts_work_again
            && BackendIncarnation::from_name(&record.instance)
                .started_at()
                .is_none()
        {
            // This may be a new start with the same name, whose sequence numbers have passed
            // those of the previous one. The acknowledged departure stays and this heartbeat is
            // not acknowledged.
            return ReportStatus::PossiblyStale;
        }
        self.unconfirmed = false;
        self.last_report_at = now;
        self.candidate = None;
        // Once a backend incarnation drains, a later heartbeat of it cannot end that.
        record.draining |= current.draining;
        let changed =
            announced_state_differs(&record, current) || record.instance != current.instance;
        self.current = Some(record.clone());
        match changed {
            true => ReportStatus::Changed(record),
            false => ReportStatus::Unchanged,
        }
    }

    /// Handles a sequence number that is not above the last one: a late heartbeat, or one of
    /// another start in the same millisecond. It is acknowledged only if all of its content is
    /// already applied.
    fn apply_repeated_sequence(&mut self, record: EndpointRecord, now: Moment) -> ReportStatus {
        let applied = self.current.as_ref().is_some_and(|current| {
            // A copy of the last heartbeat, which was applied. The backend may have departed
            // since.
            let has_start_time = BackendIncarnation::from_name(&record.instance)
                .started_at()
                .is_some();
            let copy = has_start_time && record.sequence == current.sequence && !record.draining;
            let departed_since = EndpointRecord {
                draining: current.draining,
                ..record.clone()
            };
            !announced_state_differs(&record, current)
                || (copy && !announced_state_differs(&departed_since, current))
        });
        match applied {
            true => ReportStatus::Unchanged,
            false => self.track_supersede_candidate(record, now),
        }
    }

    /// Replaces the current backend incarnation by the one that sent `record`.
    fn supersede_current(&mut self, record: EndpointRecord, now: Moment) -> ReportStatus {
        self.retire_current_incarnation();
        let id = BackendIncarnation::from_name(&record.instance).id().clone();
        self.retired
            .retain(|known| known.instance != record.instance && known.instance != id);
        self.unconfirmed = false;
        self.last_report_at = now;
        self.candidate = None;
        self.current = Some(record.clone());
        ReportStatus::Changed(record)
    }

    /// Remembers a possibly stale heartbeat. Accepts its incarnation as the current one once it
    /// has reported for the supersede time while the current one was silent.
    fn track_supersede_candidate(&mut self, record: EndpointRecord, now: Moment) -> ReportStatus {
        let known = self.candidate.take();
        let known = known.filter(|candidate| candidate.incarnation == record.instance);
        let candidate = match known {
            Some(known) if record.sequence > known.sequence => SupersedeCandidate {
                sequence: record.sequence,
                ..known
            },
            Some(known) if record.sequence == known.sequence => known,
            // No candidate, another incarnation, or a sequence number lower than the candidate's:
            // the backend has restarted under the same name.
            _ => SupersedeCandidate {
                incarnation: record.instance.clone(),
                since: now,
                sequence: record.sequence,
            },
        };
        let silent_since = self.last_report_at.max(candidate.since);
        if now.since(silent_since) >= self.supersede_time {
            return self.supersede_current(record, now);
        }
        self.candidate = Some(candidate);
        ReportStatus::PossiblyStale
    }

    /// Applies the departure of any incarnation.
    fn apply_departure(&mut self, departed: &BackendIncarnation, now: Moment) -> ReportStatus {
        let is_candidate =
            |candidate: &SupersedeCandidate| candidate.incarnation == departed.name();
        if self.candidate.as_ref().is_some_and(is_candidate) {
            // The candidate may be the current incarnation, which is still announced.
            return ReportStatus::PossiblyStale;
        }
        let Some(current) = self.current.as_mut() else {
            self.retire_incarnation(departed.name(), true);
            return ReportStatus::Unchanged;
        };
        let present = BackendIncarnation::from_name(&current.instance);
        if present.id() != departed.id()
            || departed
                .started_at()
                .is_some_and(|at| started_earlier(at, &present))
        {
            // Remember the departure, since late heartbeats of this incarnation may still
            // arrive.
            self.retire_incarnation(departed.name(), true);
            return ReportStatus::Unchanged;
        }
        if departed.started_at().is_some() && departed.started_at() != present.started_at() {
            return self.apply_departure_of_next(departed, now);
        }
        if current.draining {
            return ReportStatus::Unchanged;
        }
        current.draining = true;
        ReportStatus::Changed(current.clone())
    }

    /// Handles the departure of a later incarnation that arrives before its first heartbeat.
    /// The current incarnation must have ended.
    fn apply_departure_of_next(
        &mut self,
        departed: &BackendIncarnation,
        now: Moment,
    ) -> ReportStatus {
        let Some(current) = &self.current else {
            return ReportStatus::Unchanged;
        };
        let gone = EndpointRecord {
            instance: departed.name(),
            draining: true,
            sequence: 0,
            ..current.clone()
        };
        self.supersede_current(gone, now)
    }

    /// Returns true if the incarnation has departed or was replaced. A departure recorded
    /// without a start time matches every incarnation with its id.
    fn is_retired(&self, instance: &InstanceId) -> bool {
        let incarnation = BackendIncarnation::from_name(instance);
        let matches_instance = |known: &PreviousIncarnation| {
            known.instance == *instance || known.instance == *incarnation.id()
        };
        self.retired.iter().any(matches_instance)
    }

    /// Returns true if the departure of exactly this incarnation was recorded.
    fn has_departed(&self, instance: &InstanceId) -> bool {
        let departed_as_this =
            |known: &PreviousIncarnation| known.instance == *instance && known.departed;
        let has_start_time = BackendIncarnation::from_name(instance)
            .started_at()
            .is_some();
        has_start_time && self.retired.iter().any(departed_as_this)
    }

    /// Adds the current incarnation to the list of ended ones, so that its late reports are
    /// recognized.
    fn retire_current_incarnation(&mut self) {
        if let Some(current) = self.current.take() {
            self.retire_incarnation(current.instance, current.draining);
        }
    }

    /// Remembers an incarnation that has ended, at most [`MAX_RETIRED`] of them.
    fn retire_incarnation(&mut self, instance: InstanceId, departed: bool) {
        let known = self
            .retired
            .iter_mut()
            .find(|known| known.instance == instance);
        if let Some(known) = known {
            known.departed |= departed;
            return;
        }
        self.retired
            .push_back(PreviousIncarnation { instance, departed });
        if self.retired.len() > MAX_RETIRED {
            self.retired.pop_front();
        }
    }
}

/// Returns true if `start_time` is earlier than the start of the backend incarnation `other`.
/// False if the start of `other` is unknown.
fn started_earlier(start_time: StartedAt, other: &BackendIncarnation) -> bool {
    other.started_at().is_some_and(|other| start_time < other)
}

/// Returns true if the two records differ in what other nodes must learn. The warm-up time is
/// left out, since it runs down by itself.
fn announced_state_differs(record: &EndpointRecord, current: &EndpointRecord) -> bool {
    record.draining != current.draining
        || record.slots != current.slots
        || record.service != current.service
        || record.address != current.address
        || record.version != current.version
}

/// Compares the incarnation in a heartbeat with the current one by name and start time.
fn compare_incarnations(current: &EndpointRecord, record: &EndpointRecord) -> IncarnationRelation {
    if current.instance == record.instance {
        return IncarnationRelation::Same;
    }
    let present = BackendIncarnation::from_name(&current.instance);
    let reported = BackendIncarnation::from_name(&record.instance);
    match (present.started_at(), reported.started_at()) {
        (Some(present), Some(reported)) if reported >= present => IncarnationRelation::Newer,
        // The current incarnation reports its start time, so any report without a later one may
        // be stale: a backend that reports its start time does so always.
        (Some(_), _) => IncarnationRelation::PossiblyStale,
        // The current record comes from a node that ignores start times: it is the same
        // incarnation, unless it accepts work again after its departure.
        (None, Some(_)) if present.id() == reported.id() => {
            match record.sequence > current.sequence && (record.draining || !current.draining) {
                true => IncarnationRelation::Same,
                false => IncarnationRelation::PossiblyStale,
            }
        }
        // Without start times, the report that arrives later counts as the newer incarnation.
        (None, _) => IncarnationRelation::Newer,
    }
}
