//! Histories that are put together for the tests of the checker.

#![allow(dead_code)]

use crate::soak_checks::{Promise, check, version_route};
use crate::soak_history::{
    Answer, Arrival, At, BackEndStart, Call, Event, History, ProcessChange, What, Written,
    WrittenKind,
};

pub const NODES: usize = 4;
/// Node of the calls in these histories, unless they say otherwise.
pub const ENTRY: usize = 0;
/// Node beside the back end that runs them.
pub const GATE: usize = 1;

/// Time that callers wait, and that back ends are given, unless a test says otherwise.
pub const DEADLINE_MS: u64 = 1_000;

/// A history that is put together, times in milliseconds.
pub struct Writing {
    events: Vec<Event>,
}

impl Writing {
    pub fn new() -> Self {
        let mut writing = Self { events: Vec::new() };
        writing.at(0, What::Begun { nodes: NODES });
        writing.version(0, 1, &[1], WrittenKind::Newest);
        writing
    }

    pub fn at(&mut self, ms: u64, what: What) -> &mut Self {
        let at = At(ms * 1_000);
        self.events.push(Event { at, what });
        self
    }

    /// A document with the routes of some versions, acknowledged at once.
    pub fn version(
        &mut self,
        ms: u64,
        version: u32,
        routes: &[u32],
        kind: WrittenKind,
    ) -> &mut Self {
        let first = ["/look/".to_string(), "/buy/".to_string()];
        let own = routes.iter().map(|route| version_route(*route));
        let prefixes = first.into_iter().chain(own).collect();
        self.at(
            ms,
            What::Written(Written {
                version,
                prefixes,
                kind,
            }),
        );
        self.at(ms, What::Acknowledged { version })
    }

    /// One that has no routes at all.
    pub fn without_routes(&mut self, ms: u64, version: u32) -> &mut Self {
        let written = Written {
            version,
            prefixes: Vec::new(),
            kind: WrittenKind::Invalid,
        };
        self.at(ms, What::Written(written));
        self.at(ms, What::Acknowledged { version })
    }

    pub fn sent(&mut self, ms: u64, id: &str, prefix: &str) -> &mut Self {
        self.at(
            ms,
            What::Sent(Call {
                id: id.to_string(),
                node: ENTRY,
                once: prefix == "/buy/",
                prefix: prefix.to_string(),
                body_bytes: 0,
                deadline_ms: DEADLINE_MS,
            }),
        )
    }

    pub fn answered(&mut self, ms: u64, id: &str, status: u16) -> &mut Self {
        self.at(
            ms,
            What::Answered {
                call: id.to_string(),
                answer: answer(id, status),
            },
        )
    }

    /// A call and its answer, which takes 10 ms.
    pub fn call(&mut self, ms: u64, prefix: &str, status: u16) -> &mut Self {
        let id = format!("id-{ms}-{}", self.events.len());
        self.sent(ms, &id, prefix).answered(ms + 10, &id, status)
    }

    pub fn ran(&mut self, ms: u64, id: &str) -> &mut Self {
        self.at(ms, What::Arrived(arrival(id)))
    }

    pub fn process(&mut self, ms: u64, node: usize, change: ProcessChange) -> &mut Self {
        self.at(ms, What::Process { node, change })
    }

    pub fn ready(&mut self, ms: u64, status: u16) -> &mut Self {
        let status = Some(status);
        self.at(
            ms,
            What::Ready {
                node: ENTRY,
                status,
            },
        )
    }

    pub fn finish(&self) -> History {
        let mut history = History::new(self.events.clone());
        let at = history.events.last().unwrap().at;
        let what = What::Ended;
        history.events.push(Event { at, what });
        history
    }

    pub fn broken(&self) -> Vec<Promise> {
        let found = check(&self.finish()).unwrap();
        found.iter().map(|violation| violation.promise).collect()
    }
}

pub fn answer(id: &str, status: u16) -> Answer {
    Answer {
        status,
        names: Some(id.to_string()),
        signed: status == 200,
        body: format!("answer to {id}"),
        limit: None,
        leaving: false,
    }
}

/// The start of the back end beside [`GATE`] that was born then.
pub fn start(born_ms: u64) -> BackEndStart {
    BackEndStart {
        id: "i-1".to_string(),
        born_ms,
    }
}

pub fn arrival(id: &str) -> Arrival {
    Arrival {
        call: id.to_string(),
        node: GATE,
        target: Some("i-1".to_string()),
        start: start(1_000),
        ran: true,
        body_bytes: 0,
        caller_service: Some("shop".to_string()),
        deadline_ms: Some(DEADLINE_MS),
    }
}
