//! Precedence of calls: which go before others of the same rank in a queue.

/// Precedence of a call within its rank; the least value is served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Precedence {
    /// The call is made by a backend while it serves another call. If the nested call
    /// fails, the work done for its parent is lost.
    Nested,
    /// The call is the first attempt of its caller, or a later one that can still be
    /// answered in time.
    #[default]
    FirstAttempt,
    /// The call is a retry whose response will miss the target latency in any case. Where
    /// slots are scarce, such a retry must not take the slot of a first attempt, whose own
    /// retry would then be late too.
    Retry,
}

impl Precedence {
    /// Text for the precedence header between nodes.
    pub fn as_str(self) -> &'static str {
        match self {
            Precedence::Nested => "dependency",
            Precedence::FirstAttempt => "first-attempt",
            Precedence::Retry => "retry",
        }
    }

    /// Parses the precedence header; any value but `retry` means a first attempt. Nested
    /// calls are detected by the gate node itself and never accepted from another node.
    pub fn parse(word: Option<&str>) -> Precedence {
        match word {
            Some("retry") => Precedence::Retry,
            _ => Precedence::FirstAttempt,
        }
    }
}
