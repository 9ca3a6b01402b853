//! Replay protection: each message is accepted once, by a sliding window as in RFC 4303, 3.4.3.

use rampthread_core::fleet::ProcessEpoch;
use rampthread_core::ids::NodeId;
use std::collections::HashMap;

/// Size of the sliding window, in messages that may arrive out of order.
const WINDOW: u64 = 1_024;
/// Size of a word of the window's bitmap, in bits.
const WORD_BITS: u64 = 64;
/// Number of words of the window's bitmap.
const WORDS: usize = (WINDOW / WORD_BITS) as usize;

/// Sequence numbers received from one process of a sender.
#[derive(Debug, Default)]
struct Window {
    process_epoch: ProcessEpoch,
    highest: u64,
    /// Bitmap of the received sequence numbers, modulo [`WINDOW`].
    seen: [u64; WORDS],
}

impl Window {
    /// Word and mask of a sequence number in the bitmap.
    fn bit(sequence: u64) -> (usize, u64) {
        let position = sequence % WINDOW;
        ((position / WORD_BITS) as usize, 1 << (position % WORD_BITS))
    }

    /// Marks a sequence number as received, and returns whether it was not before.
    fn accept(&mut self, process_epoch: ProcessEpoch, sequence: u64) -> bool {
        if process_epoch < self.process_epoch {
            return false;
        }
        if process_epoch > self.process_epoch {
            *self = Window {
                process_epoch,
                ..Window::default()
            };
        }
        if sequence + WINDOW <= self.highest {
            return false;
        }
        if sequence > self.highest {
            self.clear(self.highest + 1, sequence);
            self.highest = sequence;
        }
        let (word, mask) = Self::bit(sequence);
        let fresh = self.seen[word] & mask == 0;
        self.seen[word] |= mask;
        fresh
    }

    fn clear(&mut self, first: u64, last: u64) {
        if last - first >= WINDOW {
            self.seen = [0; WORDS];
            return;
        }
        for sequence in first..=last {
            let (word, mask) = Self::bit(sequence);
            self.seen[word] &= !mask;
        }
    }
}

/// Sliding windows of all senders.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    windows: HashMap<NodeId, Window>,
}

impl ReplayGuard {
    /// Returns whether the message with this sequence number of `from`, in this process epoch, has
    /// not been received before.
    pub fn accept(&mut self, from: &NodeId, process_epoch: ProcessEpoch, sequence: u64) -> bool {
        self.windows
            .entry(from.clone())
            .or_default()
            .accept(process_epoch, sequence)
    }
}
