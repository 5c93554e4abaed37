//! The limits of a rule by name, so that checks, cuts and digests process all of them in the same way.

use crate::Micros;
use crate::model::RuleLimits;
use crate::units::{format_duration, format_size};

/// One limit that a rule can set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Field {
    /// How long a final answer is kept.
    AnswerFor,
    /// How long the name of a message is remembered.
    Remember,
    /// The number of names remembered.
    Remembered,
    /// How long an undelivered message is held.
    HoldFor,
    /// The number of messages held.
    HoldCount,
    /// The total size of the messages held.
    HoldOctets,
    /// The number of trails kept.
    Trails,
    /// The longest validity of a message.
    Validity,
    /// The number of held messages released per second.
    Release,
}

/// The unit of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Microseconds.
    Duration,
    /// A number, or a number per second.
    Count,
    /// Bytes.
    Bytes,
}

impl Field {
    /// The number of limits.
    pub const COUNT: usize = 9;
    /// All limits.
    pub const ALL: [Field; Field::COUNT] = [
        Field::AnswerFor,
        Field::Remember,
        Field::Remembered,
        Field::HoldFor,
        Field::HoldCount,
        Field::HoldOctets,
        Field::Trails,
        Field::Validity,
        Field::Release,
    ];

    /// Returns the name in JSON and in findings.
    pub fn name(self) -> &'static str {
        match self {
            Field::AnswerFor => "answer_for",
            Field::Remember => "remember",
            Field::Remembered => "remembered",
            Field::HoldFor => "hold_for",
            Field::HoldCount => "hold_count",
            Field::HoldOctets => "hold_octets",
            Field::Trails => "trails",
            Field::Validity => "validity",
            Field::Release => "release",
        }
    }

    /// Returns the unit.
    pub fn unit(self) -> Unit {
        match self {
            Field::AnswerFor | Field::Remember | Field::HoldFor | Field::Validity => Unit::Duration,
            Field::Remembered | Field::HoldCount | Field::Trails | Field::Release => Unit::Count,
            Field::HoldOctets => Unit::Bytes,
        }
    }

    /// Returns whether the plan's maximum also bounds the sum over all rules and members.
    pub fn is_summed(self) -> bool {
        self.unit() != Unit::Duration
    }

    /// Returns whether each member has a fixed share of the limit. A rate is not divided; members take turns
    /// instead ([`crate::share::Turn`]).
    pub fn is_divided(self) -> bool {
        self.is_summed() && self != Field::Release
    }

    /// Returns whether lowering the limit drops kept data. A slower release rate drops nothing.
    pub fn smaller_loses_data(self) -> bool {
        self != Field::Release
    }

    /// Returns whether zero is not allowed, since nothing would ever be delivered.
    pub fn requires_nonzero(self) -> bool {
        matches!(self, Field::Validity | Field::Release)
    }

    /// Returns the value as it is, even if it is out of bounds.
    pub fn raw(self, limits: &RuleLimits) -> Option<i128> {
        match self {
            Field::AnswerFor => limits.answer_for.map(i128::from),
            Field::Remember => limits.remember.map(i128::from),
            Field::Remembered => limits.remembered.map(i128::from),
            Field::HoldFor => limits.hold_for.map(i128::from),
            Field::HoldCount => limits.hold_count.map(i128::from),
            Field::HoldOctets => limits.hold_octets.map(i128::from),
            Field::Trails => limits.trails.map(i128::from),
            Field::Validity => limits.validity.map(i128::from),
            Field::Release => limits.release.map(i128::from),
        }
    }

    /// Returns the value. A negative duration, which only a command from another program can contain, counts
    /// as 0.
    pub fn get(self, limits: &RuleLimits) -> Option<u64> {
        let span = |v: Option<Micros>| v.map(|v| u64::try_from(v).unwrap_or(0));
        match self {
            Field::AnswerFor => span(limits.answer_for),
            Field::Remember => span(limits.remember),
            Field::Remembered => limits.remembered,
            Field::HoldFor => span(limits.hold_for),
            Field::HoldCount => limits.hold_count,
            Field::HoldOctets => limits.hold_octets,
            Field::Trails => limits.trails,
            Field::Validity => span(limits.validity),
            Field::Release => limits.release,
        }
    }

    /// Sets or clears the value.
    pub fn set(self, limits: &mut RuleLimits, value: Option<u64>) {
        let span = value.map(|v| Micros::try_from(v).unwrap_or(Micros::MAX));
        match self {
            Field::AnswerFor => limits.answer_for = span,
            Field::Remember => limits.remember = span,
            Field::Remembered => limits.remembered = value,
            Field::HoldFor => limits.hold_for = span,
            Field::HoldCount => limits.hold_count = value,
            Field::HoldOctets => limits.hold_octets = value,
            Field::Trails => limits.trails = value,
            Field::Validity => limits.validity = span,
            Field::Release => limits.release = value,
        }
    }

    /// Formats a value with its unit.
    pub fn format(self, value: u64) -> String {
        match self.unit() {
            Unit::Duration => format_duration(Micros::try_from(value).unwrap_or(Micros::MAX)),
            Unit::Count => value.to_string(),
            Unit::Bytes => format_size(value),
        }
    }
}
