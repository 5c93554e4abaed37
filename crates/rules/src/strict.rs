//! The stricter of two rules, limit by limit, for a client whose changes are fenced off.
//!
//! During a fence the rules that a member applies differ from the approved ones. Since neither can be trusted
//! alone, incoming messages are subject to the smaller limit of the two. The exception is how long a name is
//! remembered: a shorter time would make a remembered name look new and its message would be sent twice, so
//! the longer time applies.

use crate::field::Field;

/// The rule from which a limit is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The applied rule.
    Applied,
    /// The approved rule.
    Approved,
}

/// Returns which limit applies. `common` is the default for a rule that leaves the limit out; none:
/// unlimited. If both are equal, the applied rule is used, so that existing counts stay where they are.
pub fn stricter(field: Field, applied: Option<u64>, approved: Option<u64>, common: Option<u64>) -> Side {
    let bound = |figure: Option<u64>| figure.or(common).unwrap_or(u64::MAX);
    let (applied, approved) = (bound(applied), bound(approved));
    let approved_is_stricter = match field {
        // Prevents a name that one of the two rules still remembers from being taken for new.
        Field::Remember => approved > applied,
        Field::AnswerFor
        | Field::Remembered
        | Field::HoldFor
        | Field::HoldCount
        | Field::HoldOctets
        | Field::Trails
        | Field::Validity
        | Field::Release => approved < applied,
    };
    if approved_is_stricter { Side::Approved } else { Side::Applied }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Side::{Applied, Approved};

    #[test]
    fn the_smaller_value_wins_except_for_remember() {
        for field in Field::ALL {
            let (small, large) = if field == Field::Remember { (9, 5) } else { (5, 9) };
            let of = |applied, approved, common| stricter(field, applied, approved, common);
            let name = field.name();
            assert_eq!(of(Some(large), Some(small), None), Approved, "{name}");
            assert_eq!(of(Some(small), Some(large), None), Applied, "{name}");
            assert_eq!(of(Some(5), Some(5), None), Applied, "{name}: equal, so the applied rule stays");
            // A limit that is left out has the common default.
            assert_eq!(of(None, Some(small), Some(large)), Approved, "{name}");
            assert_eq!(of(Some(large), None, Some(small)), Approved, "{name}");
            assert_eq!(of(None, Some(large), Some(small)), Applied, "{name}");
            assert_eq!(of(None, None, Some(5)), Applied, "{name}");
            // Having no limit is the least strict.
            let unbound = if field == Field::Remember { Applied } else { Approved };
            assert_eq!(of(None, Some(5), None), unbound, "{name}");
        }
    }
}
