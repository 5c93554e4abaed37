//! The approved list of members. All that is divided among members is divided by this list alone, so that
//! all members with the same list divide alike; it does not depend on who is alive.

use heronroute_fleet::Name;
use serde::{Deserialize, Serialize};

/// The maximum number of members of a list.
pub const MAX_PLACES: usize = 512;

/// A region, by name: 1 to 32 characters of `a-z`, `0-9`, `-`, like a member's name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Region(pub Name);

/// A member and its region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The member.
    pub name: Name,
    /// Its region.
    pub region: Region,
}

/// The approved list. Two lists with the same number are equal, because lists come through the keepers'
/// log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Raised with each change; 0 means that no list was approved yet.
    pub number: u64,
    /// Sorted by name without duplicates; at most [`MAX_PLACES`].
    pub places: Vec<Place>,
}

/// Why a list is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// It has more than [`MAX_PLACES`] members.
    #[error("the list has {0} members; at most {MAX_PLACES} are allowed")]
    Many(usize),
    /// It is not sorted by name, or has a name twice.
    #[error("{0} is in the list twice, or the list is not sorted")]
    Order(Name),
}

impl List {
    /// Returns the list of these members, which may be given in any order.
    ///
    /// # Errors
    /// If there are too many members, or one of them is given twice.
    pub fn of(number: u64, places: impl IntoIterator<Item = Place>) -> Result<List, ListError> {
        let mut places: Vec<Place> = places.into_iter().collect();
        places.sort();
        let list = List { number, places };
        list.check()?;
        Ok(list)
    }

    /// Checks the number of members, their order and that no name is repeated.
    ///
    /// # Errors
    /// If one of these checks fails.
    pub fn check(&self) -> Result<(), ListError> {
        if self.places.len() > MAX_PLACES {
            return Err(ListError::Many(self.places.len()));
        }
        let pairs = self.places.iter().zip(self.places.iter().skip(1));
        match pairs.into_iter().find(|(one, next)| one.name >= next.name) {
            Some((_, next)) => Err(ListError::Order(next.name.clone())),
            None => Ok(()),
        }
    }

    /// Returns the place of a member in the list.
    pub fn place(&self, name: &Name) -> Option<usize> {
        self.places.binary_search_by(|place| place.name.cmp(name)).ok()
    }

    /// Returns the member at a place.
    pub fn name(&self, place: usize) -> Option<&Name> {
        self.places.get(place).map(|place| &place.name)
    }

    /// Returns a member's region.
    pub fn region(&self, name: &Name) -> Option<&Region> {
        self.places.get(self.place(name)?).map(|place| &place.region)
    }
}
