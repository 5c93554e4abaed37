//! Who may see and do what with held messages.
//!
//! An owner is the client that handed a message in, and the partner named for its destination where the settings grant
//! it. All else is refused, in the same words whether the message exists or not.

use std::collections::{BTreeMap, BTreeSet};

/// Who asks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// A client, by number.
    Client(u32),
    /// A partner, by name.
    Partner(String),
    /// An operator, by name.
    Operator(String),
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deed {
    /// To see it and its trail.
    See,
    /// To keep it from being dropped or handed in.
    Hold,
    /// To hand it in again.
    HandIn,
    /// To give it up.
    GiveUp,
    /// To say that it was not seen at its destination.
    Vouch,
}

/// The grants of the settings.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    /// Partners by destination, with what they may do.
    partners: BTreeMap<(i64, String), BTreeSet<Deed>>,
    /// What operators may do beyond seeing and holding.
    operators: BTreeMap<String, BTreeSet<Deed>>,
}

impl Grants {
    /// A partner may do this with messages to a destination.
    pub fn partner(&mut self, destination: i64, name: &str, deed: Deed) {
        self.partners.entry((destination, name.to_string())).or_default().insert(deed);
    }

    /// An operator may do this.
    pub fn operator(&mut self, name: &str, deed: Deed) {
        self.operators.entry(name.to_string()).or_default().insert(deed);
    }

    /// Whether a party may do this with a message of a client to a destination.
    pub fn allows(&self, party: &Party, deed: Deed, client: u32, destination: i64) -> bool {
        match party {
            // One's own messages are one's own, but nobody vouches for what another did not see.
            Party::Client(c) => *c == client && deed != Deed::Vouch && deed != Deed::Hold,
            Party::Partner(name) => {
                let granted = self.partners.get(&(destination, name.clone()));
                granted.is_some_and(|g| g.contains(&deed))
            }
            Party::Operator(name) => {
                let usual = matches!(deed, Deed::See | Deed::Hold);
                usual || self.operators.get(name).is_some_and(|g| g.contains(&deed) && deed != Deed::Vouch)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn everyone_has_what_is_theirs_and_no_more() {
        let mut g = Grants::default();
        g.partner(7, "gym", Deed::See);
        g.partner(7, "gym", Deed::Vouch);
        g.operator("ada", Deed::HandIn);
        g.operator("ada", Deed::Vouch);
        let all = [Deed::See, Deed::Hold, Deed::HandIn, Deed::GiveUp, Deed::Vouch];
        let may = |p: Party, client, destination| {
            all.into_iter().filter(|d| g.allows(&p, *d, client, destination)).collect::<Vec<_>>()
        };
        assert_eq!(may(Party::Client(1), 1, 7), [Deed::See, Deed::HandIn, Deed::GiveUp]);
        assert_eq!(may(Party::Client(1), 2, 7), []);
        assert_eq!(may(Party::Partner("gym".into()), 1, 7), [Deed::See, Deed::Vouch]);
        assert_eq!(may(Party::Partner("gym".into()), 1, 8), []);
        assert_eq!(may(Party::Operator("ada".into()), 1, 7), [Deed::See, Deed::Hold, Deed::HandIn]);
        assert_eq!(may(Party::Operator("bo".into()), 1, 7), [Deed::See, Deed::Hold]);
    }
}
