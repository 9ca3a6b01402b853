//! Which calls go before others of their rank.

/// Precedence of a call within its rank; the smallest goes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Precedence {
    /// A call of a backend that holds a slot for it: if it fails, the work done for its
    /// parent is lost.
    Nested,
    /// The first attempt of its caller, or a later one that can still be answered in time.
    #[default]
    FirstAttempt,
    /// A retry of a rejected call whose response is late anyway. Where slots are scarce, a
    /// retry that took the slot of a first attempt would only turn that one into a late
    /// retry too.
    Retry,
}

impl Precedence {
    /// The value between nodes.
    pub fn as_str(self) -> &'static str {
        match self {
            Precedence::Nested => "dependency",
            Precedence::FirstAttempt => "first-attempt",
            Precedence::Retry => "retry",
        }
    }

    /// Parses the value; anything but `retry` is a first attempt. Nested calls are detected
    /// by the gate itself and never accepted from another node.
    pub fn parse(word: Option<&str>) -> Precedence {
        match word {
            Some("retry") => Precedence::Retry,
            _ => Precedence::FirstAttempt,
        }
    }
}
