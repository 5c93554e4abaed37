//! An installation under test: processes, and a relay in every link between them.

mod settings;

pub use settings::FleetSpec;

use crate::fault::{Cut, Shape, Way};
use crate::process::{Home, Process, ProcessError, Ready, Spec};
use crate::relay::{Link, LinkSpec, Relay, RelayError};
use crate::schedule::{Act, Folder};
use heronroute_reserved_port::ReservedPort;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The name of the copy that [`Folder::Old`] goes back to.
const OLD: &str = "old";

/// Why an installation is not as it was to be.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A process.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The relay.
    #[error(transparent)]
    Relay(#[from] RelayError),
    /// Ports, or the key's file.
    #[error("the installation's files and ports: {0}")]
    Io(#[from] io::Error),
    /// There is no such member, link or front.
    #[error("there is no {0}")]
    None(String),
}

type Result<T> = std::result::Result<T, FleetError>;

/// An installation. When it is dropped its processes are killed, then the relay ends, then its folder goes (unless the
/// test panics).
pub struct Fleet {
    members: Vec<Process>,
    /// `links[a][b]`: by which `a` dials `b`; none for itself.
    links: Vec<Vec<Option<Link>>>,
    fronts: Vec<BTreeMap<String, SocketAddr>>,
    /// Held so that nobody else is given a member's ports while it is down.
    _ports: Vec<ReservedPort>,
    _relay: Relay,
    home: Home,
}

impl Fleet {
    /// Makes folders, ports and links; no process runs yet.
    ///
    /// # Errors
    /// Where the system has no ports or files.
    pub fn new(spec: &FleetSpec) -> Result<Self> {
        let n = spec.members.len();
        let relay = Relay::start(spec.seed)?;
        let home = Home::new(&spec.id)?;
        let key_file = home.path().join("fleet.key");
        std::fs::write(&key_file, settings::key(spec.seed))?;
        let mut ports = Vec::new();
        let mut reserve = || -> io::Result<SocketAddr> {
            let port = ReservedPort::on_localhost()?;
            let at = port.address();
            ports.push(port);
            Ok(at)
        };
        let listens = (0..n).map(|_| reserve()).collect::<io::Result<Vec<_>>>()?;
        let (mut members, mut links, mut fronts) = (Vec::new(), Vec::new(), Vec::new());
        for (i, member) in spec.members.iter().enumerate() {
            let mut row = Vec::new();
            for (j, to) in listens.iter().enumerate() {
                let link = LinkSpec { split: spec.split, buffer: spec.buffer, ..LinkSpec::to(*to) };
                row.push(if i == j { None } else { Some(relay.link(link)?) });
            }
            let mine: BTreeMap<String, SocketAddr> =
                spec.fronts.iter().map(|f| Ok((f.clone(), reserve()?))).collect::<io::Result<_>>()?;
            let seen: Vec<SocketAddr> =
                row.iter().zip(&listens).map(|(l, own)| l.as_ref().map_or(*own, Link::address)).collect();
            let mut values: BTreeMap<String, String> =
                mine.iter().map(|(k, at)| (k.clone(), at.to_string())).collect();
            values.insert("zone".into(), member.zone.clone());
            values.insert("listen".into(), listens[i].to_string());
            let ready = match spec.ready.as_ref().and_then(|f| mine.get(f)) {
                Some(at) => Ready::Listens(*at),
                None => Ready::Spawned,
            };
            let process = Spec {
                args: spec.args.clone(),
                env: spec.env.clone(),
                settings: spec.settings(i, listens[i], &seen, &key_file),
                values,
                ready,
                ..Spec::new(&member.name, &spec.program)
            };
            members.push(Process::new(&home, process)?);
            links.push(row);
            fronts.push(mine);
        }
        Ok(Fleet { members, links, fronts, _ports: ports, _relay: relay, home })
    }

    /// Starts all and waits until all are ready.
    ///
    /// # Errors
    /// Where one can't be started or is late.
    pub fn start(&mut self, within: Duration) -> Result<()> {
        for member in &mut self.members {
            member.spawn()?;
        }
        self.wait_ready(within)
    }

    /// Waits until all that run and are not paused are ready.
    ///
    /// # Errors
    /// Where one ends or is late.
    pub fn wait_ready(&mut self, within: Duration) -> Result<()> {
        let end = Instant::now() + within;
        for member in &mut self.members {
            if member.runs() && !member.paused() {
                member.wait_ready(end.saturating_duration_since(Instant::now()))?;
            }
        }
        Ok(())
    }

    /// Members by their place.
    ///
    /// # Errors
    /// Where there is none.
    pub fn member(&mut self, member: usize) -> Result<&mut Process> {
        self.members.get_mut(member).ok_or_else(|| FleetError::None(format!("member {member}")))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Where a member's front listens.
    ///
    /// # Errors
    /// Where there is none.
    pub fn front(&self, member: usize, front: &str) -> Result<SocketAddr> {
        let at = self.fronts.get(member).and_then(|f| f.get(front)).copied();
        at.ok_or_else(|| FleetError::None(format!("front {front} of member {member}")))
    }

    /// The link by which one dials another.
    ///
    /// # Errors
    /// Where there is none.
    pub fn link(&self, from: usize, to: usize) -> Result<&Link> {
        let link = self.links.get(from).and_then(|l| l.get(to)?.as_ref());
        link.ok_or_else(|| FleetError::None(format!("link from {from} to {to}")))
    }

    /// What one says to another passes so, whoever of them dialled.
    ///
    /// # Errors
    /// Where there is no such link, or the relay has stopped.
    pub fn shape(&self, from: usize, to: usize, shape: Shape) -> Result<()> {
        self.link(from, to)?.set(Way::Forward, shape)?;
        Ok(self.link(to, from)?.set(Way::Backward, shape)?)
    }

    /// Cuts both ways between two.
    ///
    /// # Errors
    /// As [`Fleet::shape`].
    pub fn cut(&self, a: usize, b: usize, cut: Cut) -> Result<()> {
        self.link(a, b)?.cut(cut)?;
        Ok(self.link(b, a)?.cut(cut)?)
    }

    /// Everything between two passes again.
    ///
    /// # Errors
    /// As [`Fleet::shape`].
    pub fn heal(&self, a: usize, b: usize) -> Result<()> {
        self.link(a, b)?.heal()?;
        Ok(self.link(b, a)?.heal()?)
    }

    /// Everything between all passes again.
    ///
    /// # Errors
    /// Where the relay has stopped.
    pub fn heal_all(&self) -> Result<()> {
        Ok(self.links.iter().flatten().flatten().try_for_each(Link::heal)?)
    }

    /// Cuts these off from all others, both ways, silently.
    ///
    /// # Errors
    /// As [`Fleet::shape`].
    pub fn cut_off(&self, group: &[usize]) -> Result<()> {
        let others = (0..self.len()).filter(|m| !group.contains(m));
        others
            .flat_map(|b| group.iter().map(move |a| (*a, b)))
            .try_for_each(|(a, b)| self.cut(a, b, Cut::Silent))
    }

    /// Does one thing of a schedule. A process that is started is not waited for.
    ///
    /// # Errors
    /// Where it can't be done: a process that ended by itself is told here.
    pub fn act(&mut self, act: &Act) -> Result<()> {
        match *act {
            Act::Shape { from, to, shape } => self.shape(from, to, shape),
            Act::Cut { a, b, cut } => self.cut(a, b, cut),
            Act::Heal { a, b } => self.heal(a, b),
            Act::Reset { a, b } => {
                self.link(a, b)?.reset()?;
                Ok(self.link(b, a)?.reset()?)
            }
            Act::Kill { member, folder } => self.kill(member, folder),
            Act::Start { member } => Ok(self.member(member)?.spawn()?),
            Act::Pause { member } => Ok(self.member(member)?.pause()?),
            Act::Wake { member } => Ok(self.member(member)?.wake()?),
        }
    }

    /// Kills one that runs, and does to its folder as told.
    ///
    /// # Errors
    /// Where it has ended before, by itself.
    pub fn kill(&mut self, member: usize, folder: Folder) -> Result<()> {
        let member = self.member(member)?;
        member.kill()?;
        match folder {
            Folder::Kept => member.save(OLD)?,
            Folder::Old if member.has_saved(OLD) => member.restore(OLD)?,
            Folder::Old => {}
            Folder::Emptied => member.empty()?,
        }
        Ok(())
    }

    /// The folder of it all.
    pub fn home(&mut self) -> &mut Home {
        &mut self.home
    }
}
