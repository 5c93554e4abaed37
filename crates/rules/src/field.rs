//! The figures by name, so that checks, cuts and digests treat all of them alike and none is left out of one.

use crate::Micros;
use crate::model::Figures;
use crate::span::{format_size, format_span};

/// One of the figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Field {
    /// [`Figures::answer_for`].
    AnswerFor,
    /// [`Figures::remember`].
    Remember,
    /// [`Figures::remembered`].
    Remembered,
    /// [`Figures::hold_for`].
    HoldFor,
    /// [`Figures::hold_count`].
    HoldCount,
    /// [`Figures::hold_octets`].
    HoldOctets,
    /// [`Figures::trails`].
    Trails,
    /// [`Figures::validity`].
    Validity,
    /// [`Figures::release`].
    Release,
}

/// What a figure counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Microseconds.
    Duration,
    /// Things, or things in a second.
    Count,
    /// Octets.
    Bytes,
}

impl Field {
    /// How many there are.
    pub const COUNT: usize = 9;
    /// All of them.
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

    /// Its name in JSON and in findings.
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

    /// Its unit.
    pub fn unit(self) -> Unit {
        match self {
            Field::AnswerFor | Field::Remember | Field::HoldFor | Field::Validity => Unit::Duration,
            Field::Remembered | Field::HoldCount | Field::Trails | Field::Release => Unit::Count,
            Field::HoldOctets => Unit::Bytes,
        }
    }

    /// The plan's figure is also the most for the sum over all rules and members.
    pub fn is_summed(self) -> bool {
        self.unit() != Unit::Duration
    }

    /// Each member has a part of its own, once and for all. A pace goes round among them instead ([`crate::share::Turn`]).
    pub fn is_divided(self) -> bool {
        self.is_summed() && self != Field::Release
    }

    /// A smaller one lets go of what is kept. A slower release loses nothing.
    pub fn smaller_loses_data(self) -> bool {
        self != Field::Release
    }

    /// Nought would mean that nothing is ever delivered.
    pub fn requires_nonzero(self) -> bool {
        matches!(self, Field::Validity | Field::Release)
    }

    /// As it stands, also where it is out of bounds.
    pub fn raw(self, figures: &Figures) -> Option<i128> {
        match self {
            Field::AnswerFor => figures.answer_for.map(i128::from),
            Field::Remember => figures.remember.map(i128::from),
            Field::Remembered => figures.remembered.map(i128::from),
            Field::HoldFor => figures.hold_for.map(i128::from),
            Field::HoldCount => figures.hold_count.map(i128::from),
            Field::HoldOctets => figures.hold_octets.map(i128::from),
            Field::Trails => figures.trails.map(i128::from),
            Field::Validity => figures.validity.map(i128::from),
            Field::Release => figures.release.map(i128::from),
        }
    }

    /// Its value; a negative span, which only a foreign command can bear, is 0.
    pub fn get(self, figures: &Figures) -> Option<u64> {
        let span = |v: Option<Micros>| v.map(|v| u64::try_from(v).unwrap_or(0));
        match self {
            Field::AnswerFor => span(figures.answer_for),
            Field::Remember => span(figures.remember),
            Field::Remembered => figures.remembered,
            Field::HoldFor => span(figures.hold_for),
            Field::HoldCount => figures.hold_count,
            Field::HoldOctets => figures.hold_octets,
            Field::Trails => figures.trails,
            Field::Validity => span(figures.validity),
            Field::Release => figures.release,
        }
    }

    /// Sets it.
    pub fn set(self, figures: &mut Figures, value: Option<u64>) {
        let span = value.map(|v| Micros::try_from(v).unwrap_or(Micros::MAX));
        match self {
            Field::AnswerFor => figures.answer_for = span,
            Field::Remember => figures.remember = span,
            Field::Remembered => figures.remembered = value,
            Field::HoldFor => figures.hold_for = span,
            Field::HoldCount => figures.hold_count = value,
            Field::HoldOctets => figures.hold_octets = value,
            Field::Trails => figures.trails = value,
            Field::Validity => figures.validity = span,
            Field::Release => figures.release = value,
        }
    }

    /// A value of it, with its unit.
    pub fn format(self, value: u64) -> String {
        match self.unit() {
            Unit::Duration => format_span(Micros::try_from(value).unwrap_or(Micros::MAX)),
            Unit::Count => value.to_string(),
            Unit::Bytes => format_size(value),
        }
    }
}
