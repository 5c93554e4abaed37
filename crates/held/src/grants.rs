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
pub enum Operation {
    /// Show the message and its trail.
    Show,
    /// Keep the message from being dropped or resubmitted.
    Keep,
    /// Resubmit the message.
    Resubmit,
    /// Drop the message.
    Drop,
    /// State that the message was not received at its destination.
    AttestNotReceived,
}

/// The access rights given by the settings.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    /// The operations granted to partners, by destination and partner.
    partners: BTreeMap<(i64, String), BTreeSet<Operation>>,
    /// The operations granted to operators beyond seeing and keeping.
    operators: BTreeMap<String, BTreeSet<Operation>>,
}

impl Grants {
    /// Grants a partner an operation on messages to a destination.
    pub fn partner(&mut self, destination: i64, name: &str, operation: Operation) {
        self.partners.entry((destination, name.to_string())).or_default().insert(operation);
    }

    /// Grants an operator an operation.
    pub fn operator(&mut self, name: &str, operation: Operation) {
        self.operators.entry(name.to_string()).or_default().insert(operation);
    }

    /// Returns whether a party may perform an operation on a message from `client` to `destination`.
    pub fn allows(&self, party: &Party, operation: Operation, client: u32, destination: i64) -> bool {
        match party {
            // A client has rights on its own messages, but can't state what was received elsewhere.
            Party::Client(c) => {
                *c == client && operation != Operation::AttestNotReceived && operation != Operation::Keep
            }
            Party::Partner(name) => {
                let granted = self.partners.get(&(destination, name.clone()));
                granted.is_some_and(|g| g.contains(&operation))
            }
            Party::Operator(name) => {
                let always = matches!(operation, Operation::Show | Operation::Keep);
                always
                    || self
                        .operators
                        .get(name)
                        .is_some_and(|g| g.contains(&operation) && operation != Operation::AttestNotReceived)
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
        g.partner(7, "gym", Operation::Show);
        g.partner(7, "gym", Operation::AttestNotReceived);
        g.operator("ada", Operation::Resubmit);
        g.operator("ada", Operation::AttestNotReceived);
        let all = [
            Operation::Show,
            Operation::Keep,
            Operation::Resubmit,
            Operation::Drop,
            Operation::AttestNotReceived,
        ];
        let may = |p: Party, client, destination| {
            all.into_iter().filter(|d| g.allows(&p, *d, client, destination)).collect::<Vec<_>>()
        };
        assert_eq!(may(Party::Client(1), 1, 7), [Operation::Show, Operation::Resubmit, Operation::Drop]);
        assert_eq!(may(Party::Client(1), 2, 7), []);
        assert_eq!(may(Party::Partner("gym".into()), 1, 7), [Operation::Show, Operation::AttestNotReceived]);
        assert_eq!(may(Party::Partner("gym".into()), 1, 8), []);
        assert_eq!(
            may(Party::Operator("ada".into()), 1, 7),
            [Operation::Show, Operation::Keep, Operation::Resubmit]
        );
        assert_eq!(may(Party::Operator("bo".into()), 1, 7), [Operation::Show, Operation::Keep]);
    }
}
