//! Identities in membership messages: a key for the name, and what distinguishes lives and renewals under it.

use crate::name::{Life, Name, Start};
use foca::Identity;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Returns the first 64 bits of the name's SHA-256. Unlike an index, it identifies the same member when two
/// members' settings list their peers in another order or list more of them, and it is cheaper to compare
/// than the text.
pub(super) fn key_of(name: &Name) -> u64 {
    let digest = Sha256::digest(name.as_str().as_bytes());
    digest.iter().take(8).fold(0, |key, byte| key << 8 | u64::from(*byte))
}

/// The identity of a member in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct MemberId {
    /// The key of the name.
    #[serde(with = "postcard::fixint::le")]
    pub key: u64,
    /// The start number.
    pub start: Start,
    /// A random number of the process. It distinguishes two processes that have the same start number, as
    /// after a folder was copied or both clocks were set back.
    pub nonce: u32,
    /// How often this life was declared dead and refuted it. A start number belongs to a process and is kept
    /// on disk, so a renewal must not choose one; a later start takes precedence over any number of renewals
    /// of an earlier one.
    pub renewals: u32,
}

impl MemberId {
    pub fn new(life: &Life, nonce: u32) -> Self {
        MemberId { key: key_of(&life.name), start: life.start, nonce, renewals: 0 }
    }

    /// Returns the identity for a peer about which nothing is known. Any other identity takes precedence over
    /// it.
    pub fn unknown(key: u64) -> Self {
        MemberId { key, start: Start(0), nonce: 0, renewals: 0 }
    }

    /// Returns the key by which processes under one name are ordered; the greatest holds the name.
    pub fn precedence(&self) -> (Start, u32) {
        (self.start, self.nonce)
    }
}

impl Identity for MemberId {
    type Addr = u64;

    fn renew(&self) -> Option<Self> {
        Some(MemberId { renewals: self.renewals.checked_add(1)?, ..*self })
    }

    fn addr(&self) -> u64 {
        self.key
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.precedence(), self.renewals) > (other.precedence(), other.renewals)
    }
}
