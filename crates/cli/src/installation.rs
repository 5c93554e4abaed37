//! From the settings' `fleet` to a member of an installation that can run.

use heronroute_config::{ClientConfig, Config, FleetConfig, MemberConfig, RolloutConfig};
use heronroute_fleet::key::{Key, MAX_KEY_FILE_BYTES};
use heronroute_fleet::link::Settings;
use heronroute_fleet::start::{StoredStart, raise};
use heronroute_fleet::{Life, Name, Peer, Start, members, replicas};
use heronroute_installation::seam::{Input, Member, Output};
use heronroute_installation::{
    self as installation, Client, Installation, Micros, PlanSetting, RolloutSettings, Timing,
};
use heronroute_journal::dir::Dir;
use heronroute_net::Clock;
use heronroute_net::fleet::MemberSetup;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// What a member starts from, at the start of its process. `seed`: new at each start. Its number is raised, durably, here.
///
/// # Errors
/// What is wrong, with the field of the settings and the file.
pub fn setup(cfg: &Config, fleet: &FleetConfig, seed: u64) -> Result<MemberSetup, String> {
    // Guards against nodes that wait for a right that nobody gives: what they had taken on would stand still.
    if fleet.regions.is_some() {
        return Err("fleet.regions: the members' part in them is not built yet; leave it out".into());
    }
    let mut origin = Origin::new(cfg, fleet, seed)?;
    // The service's clock starts at nought, after this.
    let wall = Clock::start_with_offset(fleet.clock_ahead).wall();
    let (links, member) = origin.begin(0, wall, None)?;
    let member_factory = Box::new(move |now, wall, above| origin.begin(now, wall, Some(above)));
    Ok(MemberSetup { links, listen: fleet.listen, member, member_factory: Some(member_factory) })
}

/// What all lives of this process's member have alike.
struct Origin {
    id: String,
    own: Name,
    keeper: bool,
    peers: Vec<Peer>,
    clients: BTreeMap<String, Client>,
    senders: Vec<usize>,
    rollout: RolloutSettings,
    folder: PathBuf,
    key: Key,
    seed: u64,
}

impl Origin {
    fn new(cfg: &Config, fleet: &FleetConfig, seed: u64) -> Result<Self, String> {
        let key = key(Path::new(&fleet.key_file))
            .map_err(|e| format!("fleet.key_file: {}: {e}", fleet.key_file))?;
        let peers =
            fleet.members.iter().enumerate().map(|(i, m)| peer(i, m)).collect::<Result<Vec<_>, _>>()?;
        let own = peers.get(fleet.own).ok_or("fleet.self: none of the members")?;
        Ok(Origin {
            id: fleet.id.clone(),
            own: own.name.clone(),
            keeper: own.keeper,
            clients: clients(cfg),
            senders: (0..cfg.service.senders).collect(),
            rollout: rollout(fleet.rollout),
            folder: PathBuf::from(&fleet.folder),
            peers,
            key,
            seed,
        })
    }

    /// A life begins. `above`: the one before was outlived by this.
    fn begin(
        &mut self,
        now: Micros,
        wall: Micros,
        above: Option<Start>,
    ) -> Result<(Settings, Box<dyn Member>), String> {
        let wrong = |e: &dyn std::fmt::Display| format!("fleet.folder: {}: {e}", self.folder.display());
        let mut dir = Dir::open(&self.folder).map_err(|e| wrong(&e))?;
        let raised = raise(&mut dir, wall, above.unwrap_or_default()).map_err(|e| wrong(&e))?;
        if raised.found == StoredStart::Unreadable {
            tracing::error!(
                folder = %self.folder.display(),
                "the start number on disk can't be read; it is taken from the time of day"
            );
        }
        let own = Life { name: self.own.clone(), start: raised.start };
        tracing::info!(member = %own.name, start = own.start.0, "a member's life begins");
        // Nobody without the key can guess what is made by it: challenges rest on that.
        let (name, start) = (own.name.clone(), own.start.0);
        let secret = |label: &[u8]| {
            let parts: [&[u8]; 3] =
                [&self.seed.to_le_bytes(), &start.to_le_bytes(), name.as_str().as_bytes()];
            self.key.tag(label, &parts)
        };
        let number = |label: &[u8]| secret(label).first_chunk().map_or(self.seed, |c| u64::from_le_bytes(*c));
        let cfg = installation::Config {
            installation: self.id.clone(),
            own: own.clone(),
            raised: above.is_some(),
            peers: self.peers.clone(),
            clients: self.clients.clone(),
            senders: self.senders.clone(),
            seed: number(b"heronroute member"),
            replicas: replicas::Tuning::default(),
            members: members::Tuning::for_size(self.peers.len()),
            detector: heronroute_drift::Config::new(own.name.clone(), secret(b"heronroute detector")),
            timing: Timing::default(),
            rollout: self.rollout,
            regions: None,
        };
        let (storage, folder) = if self.keeper { (Some(dir), None) } else { (None, Some(dir)) };
        let member = Installation::new(now, wall, cfg, storage).map_err(|e| wrong(&e))?;
        let links = Settings {
            installation: self.id.clone(),
            me: own,
            peers: self.peers.clone(),
            key: self.key.clone(),
            seed: number(b"heronroute links"),
        };
        Ok((links, Box::new(Locked { member, _folder: folder })))
    }
}

/// A member and its folder, which no other process may take: a keeper's storage is that already, another's is held here.
struct Locked {
    member: Installation<Dir>,
    _folder: Option<Dir>,
}

impl Member for Locked {
    fn handle(&mut self, now: Micros, wall: Micros, input: Input, out: &mut Vec<Output>) {
        self.member.handle(now, wall, input, out);
    }
}

fn key(path: &Path) -> Result<Key, String> {
    let mut text = String::new();
    // One octet more than a key may have, so that a file named by mistake is not read whole.
    let file = std::fs::File::open(path).map_err(|e| e.to_string())?;
    file.take(MAX_KEY_FILE_BYTES as u64 + 1).read_to_string(&mut text).map_err(|e| e.to_string())?;
    Key::read(&text).map_err(|e| e.to_string())
}

fn rollout(cfg: RolloutConfig) -> RolloutSettings {
    let RolloutConfig { waves, soak, wave_for, back } = cfg;
    RolloutSettings { waves, soak, wave_for, back }
}

fn peer(place: usize, member: &MemberConfig) -> Result<Peer, String> {
    let name = Name::new(&member.name).map_err(|e| format!("fleet.member[{place}].name: {e}"))?;
    let address: SocketAddr = member.address;
    Ok(Peer { name, zone: member.zone.clone(), address, keeper: member.keeper })
}

/// What the settings say of clients.
pub fn clients(cfg: &Config) -> BTreeMap<String, Client> {
    cfg.clients.iter().map(|c| (c.system_id.clone(), client(cfg, c))).collect()
}

fn client(cfg: &Config, client: &ClientConfig) -> Client {
    let plan = match &client.plan {
        None => PlanSetting::Nothing,
        Some(name) => cfg
            .plans
            .iter()
            .find(|plan| plan.name == *name)
            .map_or(PlanSetting::Unreadable, |plan| PlanSetting::Plan(Arc::new(plan.clone()))),
    };
    Client { operator: client.operator, plan }
}
