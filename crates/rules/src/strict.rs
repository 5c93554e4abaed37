//! The stricter of two rules, figure by figure: what a client's messages go by while its changes are fenced off.
//!
//! Two sets disagree about what holds: the one that a member applies and the one that is approved. Neither is to be
//! trusted alone, so that what comes goes by the smaller figure of both. There is one exception: how long a name counts. A
//! shorter time there would make a remembered name new, and its message would go out twice; the longer one counts.

use crate::field::Field;

/// From which of two rules a figure is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// From what is applied.
    Applied,
    /// From what is approved.
    Approved,
}

/// Which figure counts. `common` is what holds where a rule leaves the figure out; none: no bound at all. Where both are
/// alike it is the applied one, so that what is counted stays counted where it is.
pub fn stricter(field: Field, applied: Option<u64>, approved: Option<u64>, common: Option<u64>) -> Side {
    let bound = |figure: Option<u64>| figure.or(common).unwrap_or(u64::MAX);
    let (applied, approved) = (bound(applied), bound(approved));
    let approved_is_stricter = match field {
        // Guards against a name that one of the two still remembers being taken for new.
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
            assert_eq!(of(Some(5), Some(5), None), Applied, "{name}: alike, nothing moves");
            // What a rule leaves out is what holds in common.
            assert_eq!(of(None, Some(small), Some(large)), Approved, "{name}");
            assert_eq!(of(Some(large), None, Some(small)), Approved, "{name}");
            assert_eq!(of(None, Some(large), Some(small)), Applied, "{name}");
            assert_eq!(of(None, None, Some(5)), Applied, "{name}");
            // No bound at all is the least strict.
            let unbound = if field == Field::Remember { Applied } else { Approved };
            assert_eq!(of(None, Some(5), None), unbound, "{name}");
        }
    }
}
