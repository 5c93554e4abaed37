//! What an installation is made from, and the settings of each member.

use crate::reactor::mix;
use crate::split::Split;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A member.
#[derive(Clone, Debug)]
pub struct MemberSpec {
    /// Its name.
    pub name: String,
    /// Its zone; `@zone@` in settings.
    pub zone: String,
    /// It takes part in agreement.
    pub keeper: bool,
    /// Settings of its own, behind those of all.
    pub more: String,
    /// Fields of its own within `fleet { }`.
    pub fields: String,
}

/// What an installation is made from.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Its id, in settings and in its folder's name.
    pub id: String,
    /// Of the relay's choices and of the key.
    pub seed: u64,
    /// The members.
    pub members: Vec<MemberSpec>,
    /// The program.
    pub program: PathBuf,
    /// Its arguments, with places as in [`crate::process::Spec`].
    pub args: Vec<String>,
    /// Additions to its environment.
    pub env: Vec<(String, String)>,
    /// Settings of every member: `service`, fronts, classes, `plan`, `client`. With the places `@folder@`, `@name@`,
    /// `@zone@`, `@listen@` (of its `fleet`) and one for each front.
    pub base: String,
    /// Names of the ports that each member gets besides, each a place in the settings.
    pub fronts: Vec<String>,
    /// Which of the fronts takes connections when a member is ready; none: ready at once.
    pub ready: Option<String>,
    /// Whether settings get their `fleet { }`.
    pub section: bool,
    /// Further fields within `fleet { }`.
    pub fields: String,
    /// How the links' streams are split into frames.
    pub split: Split,
    /// Octets that the relay holds for each way of a connection.
    pub buffer: usize,
}

impl FleetSpec {
    /// So many members (`a`, `b`, ..., 26 at most) of one zone, 3 of them keepers, 5 of 9 or more; `heronroute serve` with the
    /// fronts `smpp` and `mqtt`, ready when `mqtt` listens.
    pub fn new(program: impl Into<PathBuf>, members: usize, seed: u64) -> Self {
        let keepers = if members >= 9 { 5 } else { members.min(3) };
        let member = |(i, name): (usize, char)| MemberSpec {
            name: name.into(),
            zone: "north".into(),
            keeper: i < keepers,
            more: String::new(),
            fields: String::new(),
        };
        FleetSpec {
            id: "oduya".into(),
            seed,
            members: ('a'..='z').take(members).enumerate().map(member).collect(),
            program: program.into(),
            args: ["--log", "info", "serve", "--config", "@settings@"].map(String::from).to_vec(),
            env: Vec::new(),
            base: String::new(),
            fronts: vec!["smpp".into(), "mqtt".into()],
            ready: Some("mqtt".into()),
            section: true,
            fields: String::new(),
            split: Split::Length32 { most: 1 << 20 },
            buffer: 1 << 20,
        }
    }

    /// The first so many are keepers.
    #[must_use]
    pub fn keepers(mut self, keepers: usize) -> Self {
        self.members.iter_mut().enumerate().for_each(|(i, m)| m.keeper = i < keepers);
        self
    }

    /// Zones in turn.
    #[must_use]
    pub fn zones(mut self, zones: &[&str]) -> Self {
        self.members.iter_mut().zip(zones.iter().cycle()).for_each(|(m, z)| m.zone = (*z).into());
        self
    }

    /// Settings of every member.
    #[must_use]
    pub fn base(mut self, text: &str) -> Self {
        self.base = text.into();
        self
    }

    /// Settings of one member, behind those of all.
    #[must_use]
    pub fn more(mut self, member: usize, text: &str) -> Self {
        if let Some(member) = self.members.get_mut(member) {
            member.more = text.into();
        }
        self
    }

    /// Fields of one member within `fleet { }`: its clock's offset, say.
    #[must_use]
    pub fn fields_of(mut self, member: usize, text: &str) -> Self {
        if let Some(member) = self.members.get_mut(member) {
            member.fields = text.into();
        }
        self
    }

    /// The text of a member's settings, places not yet filled: itself at its own address, each peer at a relay's.
    pub(super) fn settings(
        &self,
        this: usize,
        listen: SocketAddr,
        seen: &[SocketAddr],
        key_file: &Path,
    ) -> String {
        let mut text = format!("{}\n", self.base);
        let Some(own) = self.members.get(this) else { return text };
        if self.section {
            _ = writeln!(
                text,
                "fleet {{\n  id: \"{}\" self: \"{}\" listen: \"{listen}\" folder: \"@folder@/fleet\" key_file: \"{}\"",
                self.id,
                own.name,
                key_file.display()
            );
            for (m, at) in self.members.iter().zip(seen) {
                let keeper = if m.keeper { " keeper: true" } else { "" };
                let MemberSpec { name, zone, .. } = m;
                _ = writeln!(
                    text,
                    "  member {{ name: \"{name}\" address: \"{at}\" zone: \"{zone}\"{keeper} }}"
                );
            }
            for fields in [&self.fields, &own.fields].into_iter().filter(|f| !f.is_empty()) {
                _ = writeln!(text, "  {fields}");
            }
            text.push_str("}\n");
        }
        text.push_str(&own.more);
        text
    }
}

/// The key of an installation under test: 32 octets in hexadecimal.
pub(super) fn key(seed: u64) -> String {
    (0..4).map(|i| format!("{:016x}", mix(seed, i))).collect::<String>() + "\n"
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_member_sees_itself_at_its_own_address_and_others_at_relays() {
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let spec = FleetSpec::new("x", 3, 1)
            .keepers(2)
            .zones(&["north", "south"])
            .base("base")
            .more(1, "more")
            .fields_of(1, "x: 1");
        let text = spec.settings(1, at(12), &[at(21), at(12), at(23)], Path::new("/k"));
        let wanted = "base\nfleet {\n  id: \"oduya\" self: \"b\" listen: \"127.0.0.1:12\" folder: \"@folder@/fleet\" key_file: \"/k\"\n  \
                      member { name: \"a\" address: \"127.0.0.1:21\" zone: \"north\" keeper: true }\n  \
                      member { name: \"b\" address: \"127.0.0.1:12\" zone: \"south\" keeper: true }\n  \
                      member { name: \"c\" address: \"127.0.0.1:23\" zone: \"north\" }\n  x: 1\n}\nmore";
        assert_eq!(text, wanted);
        assert_eq!(key(1).trim().len(), 64);
        assert_ne!(key(1), key(2));
    }
}
