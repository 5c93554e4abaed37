//! Access rights to held messages.
//!
//! The owners of a message are the client that submitted it, and the partner named for its destination where
//! the settings grant it. Every other request is refused, with the same reply whether the message exists or
//! not.

use std::collections::{BTreeMap, BTreeSet};

/// The party that makes a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// A client, by number.
    Client(u32),
    /// A partner, by name.
    Partner(String),
    /// An operator, by name.
    Operator(String),
}

/// An operation on a held message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deed {
    /// Show the message and its trail.
    See,
    /// Keep the message from being dropped or resubmitted.
    Keep,
    /// Resubmit the message.
    HandIn,
    /// Drop the message.
    GiveUp,
    /// State that the message was not received at its destination.
    AttestNotReceived,
}

/// The access rights given by the settings.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    /// The operations granted to partners, by destination and partner.
    partners: BTreeMap<(i64, String), BTreeSet<Deed>>,
    /// The operations granted to operators beyond seeing and keeping.
    operators: BTreeMap<String, BTreeSet<Deed>>,
}

impl Grants {
    /// Grants a partner an operation on messages to a destination.
    pub fn partner(&mut self, destination: i64, name: &str, deed: Deed) {
        self.partners.entry((destination, name.to_string())).or_default().insert(deed);
    }

    /// Grants an operator an operation.
    pub fn operator(&mut self, name: &str, deed: Deed) {
        self.operators.entry(name.to_string()).or_default().insert(deed);
    }

    /// Returns whether a party may perform an operation on a message from `client` to `destination`.
    pub fn allows(&self, party: &Party, deed: Deed, client: u32, destination: i64) -> bool {
        match party {
            // A client has rights on its own messages, but can't state what was received elsewhere.
            Party::Client(c) => *c == client && deed != Deed::AttestNotReceived && deed != Deed::Keep,
            Party::Partner(name) => {
                let granted = self.partners.get(&(destination, name.clone()));
                granted.is_some_and(|g| g.contains(&deed))
            }
            Party::Operator(name) => {
                let always = matches!(deed, Deed::See | Deed::Keep);
                always
                    || self
                        .operators
                        .get(name)
                        .is_some_and(|g| g.contains(&deed) && deed != Deed::AttestNotReceived)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parties_have_only_the_operations_granted() {
        let mut g = Grants::default();
        g.partner(7, "gym", Deed::See);
        g.partner(7, "gym", Deed::AttestNotReceived);
        g.operator("ada", Deed::HandIn);
        g.operator("ada", Deed::AttestNotReceived);
        let all = [Deed::See, Deed::Keep, Deed::HandIn, Deed::GiveUp, Deed::AttestNotReceived];
        let may = |p: Party, client, destination| {
            all.into_iter().filter(|d| g.allows(&p, *d, client, destination)).collect::<Vec<_>>()
        };
        assert_eq!(may(Party::Client(1), 1, 7), [Deed::See, Deed::HandIn, Deed::GiveUp]);
        assert_eq!(may(Party::Client(1), 2, 7), []);
        assert_eq!(may(Party::Partner("gym".into()), 1, 7), [Deed::See, Deed::AttestNotReceived]);
        assert_eq!(may(Party::Partner("gym".into()), 1, 8), []);
        assert_eq!(may(Party::Operator("ada".into()), 1, 7), [Deed::See, Deed::Keep, Deed::HandIn]);
        assert_eq!(may(Party::Operator("bo".into()), 1, 7), [Deed::See, Deed::Keep]);
    }
}
