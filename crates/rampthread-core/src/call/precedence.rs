//! Which calls go before others of their rank.

/// Precedence of a call within its rank; the lesser goes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Precedence {
    /// The call of a back end that holds a slot for it: if it fails, the work
    /// done for its parent is lost.
    Nested,
    /// The first attempt of its caller, or a later one whose answer can still be in time.
    #[default]
    FirstAttempt,
    /// The caller was refused before, and its answer is late anyway. Where slots are
    /// scarce, a retry that took the slot of a first attempt would only make that one a
    /// late retry too.
    Retry,
}

impl Precedence {
    /// The word between nodes.
    pub fn as_str(self) -> &'static str {
        match self {
            Precedence::Nested => "dependency",
            Precedence::FirstAttempt => "first-attempt",
            Precedence::Retry => "retry",
        }
    }

    /// Reads the word; a first attempt where there is none. A dependency is
    /// recognised by the gate itself, never on another node's word.
    pub fn parse(word: Option<&str>) -> Precedence {
        match word {
            Some("retry") => Precedence::Retry,
            _ => Precedence::FirstAttempt,
        }
    }
}
