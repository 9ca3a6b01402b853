//! Who is in touch: told from the faults as they were injected.

use super::CONTACT;
use crate::soak_history::{At, History, ProcessChange, Side, StoreState, What};
use std::collections::HashMap;
use std::time::Duration;

/// A thread of the soak that was not scheduled for longer than this tells that the
/// whole machine was slowed; ten times what an idle machine shows.
const SLOWED: Duration = Duration::from_millis(300);

/// A time of trouble, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    pub from: At,
    pub to: At,
}

impl Span {
    fn touches(&self, from: At, to: At) -> bool {
        self.from <= to && from <= self.to
    }
}

/// How the store was to those in touch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Core {
    Stable,
    /// Disturbed, though neither down nor slow.
    Unstable,
    Down,
}

/// The times of trouble of each node and of the store.
pub struct Contact {
    nodes: Vec<Vec<Span>>,
    store_down: Vec<Span>,
    store_unstable: Vec<Span>,
}

/// Spans that have begun and not ended yet.
struct Open<Key> {
    begun: HashMap<Key, At>,
}

impl<Key: std::hash::Hash + Eq + Copy> Open<Key> {
    fn new() -> Self {
        Self {
            begun: HashMap::new(),
        }
    }

    fn begin(&mut self, key: Key, at: At) {
        self.begun.entry(key).or_insert(at);
    }

    /// The span that ends; a moment of trouble when none had begun.
    fn end(&mut self, key: Key, at: At) -> Span {
        let from = self.begun.remove(&key).unwrap_or(at);
        Span { from, to: at }
    }

    fn end_if_begun(&mut self, key: Key, at: At) -> Option<Span> {
        let from = self.begun.remove(&key)?;
        Some(Span { from, to: at })
    }

    fn never_ended(self) -> impl Iterator<Item = (Key, Span)> {
        let to = At::NEVER;
        self.begun
            .into_iter()
            .map(move |(key, from)| (key, Span { from, to }))
    }
}

impl Contact {
    pub fn new(history: &History) -> Self {
        let nodes = history.nodes().unwrap_or(0);
        let mut contact = Self {
            nodes: vec![Vec::new(); nodes],
            store_down: Vec::new(),
            store_unstable: Vec::new(),
        };
        contact.read_processes(history);
        contact.read_links(history);
        contact.read_store(history);
        contact.read_machine(history);
        contact
    }

    fn read_processes(&mut self, history: &History) {
        let mut held = Open::new();
        let mut away = Open::new();
        for event in &history.events {
            let What::Process { node, change } = event.what else {
                continue;
            };
            let at = event.at;
            match change {
                ProcessChange::Held => held.begin(node, at),
                ProcessChange::Continued => self.nodes[node].push(held.end(node, at)),
                ProcessChange::Killed | ProcessChange::Terminated => {
                    away.begin(node, at);
                    self.nodes[node].extend(held.end_if_begun(node, at));
                }
                ProcessChange::Started => self.nodes[node].push(away.end(node, at)),
                // A process that ends by itself counts as running.
                ProcessChange::Ended { .. } | ProcessChange::Reloaded => {}
            }
        }
        for (node, span) in held.never_ended().chain(away.never_ended()) {
            self.nodes[node].push(span);
        }
    }

    fn read_links(&mut self, history: &History) {
        let mut open: Open<(usize, Side)> = Open::new();
        for event in &history.events {
            let What::Link {
                node,
                side,
                disturbed,
            } = event.what
            else {
                continue;
            };
            match disturbed {
                true => open.begin((node, side), event.at),
                false => self.nodes[node].push(open.end((node, side), event.at)),
            }
        }
        for ((node, _), span) in open.never_ended() {
            self.nodes[node].push(span);
        }
    }

    fn read_store(&mut self, history: &History) {
        let (mut down, mut unstable) = (Open::new(), Open::new());
        for event in &history.events {
            let What::Store(state) = event.what else {
                continue;
            };
            let at = event.at;
            match state {
                StoreState::Forgot => self.store_unstable.push(Span { from: at, to: at }),
                StoreState::Down => {
                    self.store_unstable.extend(unstable.end_if_begun((), at));
                    down.begin((), at);
                }
                StoreState::RefusesSome => {
                    self.store_down.extend(down.end_if_begun((), at));
                    unstable.begin((), at);
                }
                StoreState::Sound => {
                    self.store_down.extend(down.end_if_begun((), at));
                    self.store_unstable.extend(unstable.end_if_begun((), at));
                }
            }
        }
        self.store_down
            .extend(down.never_ended().map(|(_, span)| span));
        self.store_unstable
            .extend(unstable.never_ended().map(|(_, span)| span));
    }

    /// Times in which the machine did not schedule the soak: nobody is in touch.
    fn read_machine(&mut self, history: &History) {
        for event in &history.events {
            let What::NotScheduled { micros } = event.what else {
                continue;
            };
            let gap = Duration::from_micros(micros);
            if gap < SLOWED {
                continue;
            }
            let span = Span {
                from: event.at.minus(gap),
                to: event.at,
            };
            self.nodes.iter_mut().for_each(|spans| spans.push(span));
        }
    }

    /// True when a node was in touch from `from` until `to`: undisturbed, and the store
    /// was stable.
    pub fn in_touch(&self, node: usize, from: At, to: At) -> bool {
        self.undisturbed(node, from, to) && self.core(from, to) == Core::Stable
    }

    /// True when something struck a node between `from` and `to`.
    pub fn struck(&self, node: usize, from: At, to: At) -> bool {
        self.nodes[node].iter().any(|span| span.touches(from, to))
    }

    /// True when nothing struck a node from [`CONTACT`] before `from` until `to`.
    pub fn undisturbed(&self, node: usize, from: At, to: At) -> bool {
        !self.struck(node, from.minus(CONTACT), to)
    }

    /// How the store was from `from` until `to`, by the same measure.
    pub fn core(&self, from: At, to: At) -> Core {
        let from = from.minus(CONTACT);
        let touched = |spans: &[Span]| spans.iter().any(|span| span.touches(from, to));
        if touched(&self.store_down) {
            Core::Down
        } else if touched(&self.store_unstable) {
            Core::Unstable
        } else {
            Core::Stable
        }
    }
}
