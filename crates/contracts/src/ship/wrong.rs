//! A right pair with one fault.

use super::world::{Real, down, up};
use super::{Shelf, Shipping};
use crate::ledger::real::On;
use heronroute_journal::{Chain, Entry, Journal, JournalState, Limits, Storage};
use heronroute_ship::wire::{self, FromOrigin, FromPartner, Message};
use heronroute_ship::{
    Notice, Origin, ReadRequest, ReadResult, ReplicationLimits, ReplicationSource, ReplicationTarget,
};
use std::collections::VecDeque;

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// What came is called durable before its commit.
    Early,
    /// Each message is committed by itself.
    Piecemeal,
    /// The partner's window is not heeded.
    NoWindow,
    /// More is held than was allowed.
    HoldsMore,
    /// It stands though the connection is cut.
    StandsCut,
    /// Lag by entries does not count.
    NoLagEntries,
    /// Lag by time does not.
    NoLagTime,
    /// An old folder is not told of.
    HidesOld,
    /// What an older connection said still counts.
    Late,
    /// Numbers below a thousand are compared, and no digests.
    TrustsNumbers,
    /// What is put aside at fifty entries is thrown away.
    DropsAside,
    /// Any life may write.
    AnyLife,
    /// A newer life is not made durable.
    ForgetsLife,
    /// What there is no room for is called durable.
    FullIsDone,
    /// A book ends before it does.
    HalfBook,
    /// An entry is cut where a message ends.
    CutsLarge,
}

/// The pair with its fault.
pub struct Planted(pub Fault);

impl Shipping for Planted {
    fn shipper(
        &self,
        origin: Origin,
        bounds: ReplicationLimits,
        journal: &Journal<On>,
        promised: u64,
    ) -> Box<dyn ReplicationSource> {
        let bounds = match self.0 {
            Fault::HoldsMore => {
                ReplicationLimits { octets: usize::MAX, entries: bounds.entries * 8, ..bounds }
            }
            Fault::NoLagEntries => ReplicationLimits { lag_entries: u64::MAX, ..bounds },
            Fault::NoLagTime => ReplicationLimits { lag: i64::MAX, ..bounds },
            _ => bounds,
        };

        let chain = journal.chain().cloned().unwrap_or_default();
        let inner = Real.shipper(origin, bounds, journal, promised);
        let (parts, first_part, session) = (0, 0, 0);
        Box::new(WrongShipper {
            inner,
            fault: self.0,
            stood: false,
            marks: vec![chain],
            parts,
            halves: false,
            first_part,
            session,
        })
    }
    fn receiver(
        &self,
        shelf: Shelf,
        limits: Limits,
        window: usize,
    ) -> Result<Box<dyn ReplicationTarget>, String> {
        let inner = Real.receiver(shelf.clone(), limits, window)?;
        let (said, next, newest, session) = (VecDeque::new(), 0, None, 0);
        Ok(Box::new(WrongReceiver { inner, fault: self.0, shelf, said, next, newest, session }))
    }
}

struct WrongShipper {
    inner: Box<dyn ReplicationSource>,
    fault: Fault,
    stood: bool,
    /// The chain at each number that was written since.
    marks: Vec<Chain>,
    parts: u32,
    halves: bool,
    first_part: u64,
    session: u32,
}

impl ReplicationSource for WrongShipper {
    fn entries_written(&mut self, now: i64, first: u64, entries: &[Entry]) {
        for e in entries {
            let mut chain = self.marks.last().cloned().unwrap_or_default();
            let mut raw = Vec::new();
            heronroute_journal::frame::write(0, 0, std::slice::from_ref(e), &mut raw);
            let raw = &raw[heronroute_journal::frame::HEADER_SIZE..];
            heronroute_journal::frame::encoded_entries(raw).for_each(|raw| chain.push(raw));
            self.marks.push(chain);
        }
        self.inner.entries_written(now, first, entries);
    }
    fn pending_read(&self) -> Option<ReadRequest> {
        self.inner.pending_read()
    }
    fn read_finished(&mut self, now: i64, given: ReadResult) {
        self.inner.read_finished(now, given);
    }
    fn handle_message(&mut self, now: i64, payload: &[u8]) {
        let Some(mut message) = down(payload) else { return self.inner.handle_message(now, payload) };
        match &mut message.body {
            FromPartner::Position { window, .. } if self.fault == Fault::NoWindow => *window = u32::MAX,
            FromPartner::Position { at, marks, .. } if self.fault == Fault::TrustsNumbers => {
                if let Some(own) = self.marks.iter().find(|c| c.at().number == at.0 && at.0 < 1_000) {
                    *at = wire::to_position(own.at());
                    marks.clear();
                }
            }
            _ => {}
        }
        if self.fault == Fault::Late && !matches!(message.body, FromPartner::Position { .. }) {
            message.session = self.session;
        }
        self.inner.handle_message(now, &wire::write(&message).unwrap_or_default());
    }
    fn connected(&mut self, now: i64, stands: bool) {
        self.stood = !stands && self.inner.durable(now).1;
        self.inner.connected(now, stands);
    }
    fn poll(&mut self, now: i64) -> Option<Vec<u8>> {
        let octets = self.inner.poll(now)?;
        let Some(mut message) = up(&octets) else { return Some(octets) };
        self.session = message.session;
        let cuts = self.fault == Fault::CutsLarge;
        match &mut message.body {
            FromOrigin::Snapshot { at, .. } => (self.parts, self.halves) = (0, (100..2_000).contains(&at.0)),
            // All but the first are left out.
            FromOrigin::SnapshotEntries(_) if self.fault == Fault::HalfBook && self.halves => {
                self.parts += 1;
                if self.parts > 1 {
                    return self.poll(now);
                }
            }
            FromOrigin::SnapshotEnd { count }
                if self.fault == Fault::HalfBook && self.halves && self.parts > 1 =>
            {
                *count = self.first_part;
            }
            FromOrigin::Run(e) if cuts && e.more => return self.poll(now),
            _ => {}
        }
        if let FromOrigin::SnapshotEntries(e) = &message.body {
            self.first_part = e.count;
        }
        wire::write(&message)
    }
    fn durable(&self, now: i64) -> (u64, bool) {
        let (next, stands) = self.inner.durable(now);
        (next, stands || self.fault == Fault::StandsCut && self.stood)
    }
    fn notice(&mut self) -> Option<Notice> {
        let hides = |n: &Notice| self.fault == Fault::HidesOld && matches!(n, Notice::CopyLostEntries { .. });
        loop {
            match self.inner.notice() {
                Some(n) if hides(&n) => {}
                n => return n,
            }
        }
    }
    fn held(&self) -> usize {
        self.inner.held()
    }
    fn next_wakeup(&self) -> Option<i64> {
        self.inner.next_wakeup()
    }
}

struct WrongReceiver {
    inner: Box<dyn ReplicationTarget>,
    fault: Fault,
    shelf: Shelf,
    said: VecDeque<Vec<u8>>,
    next: u64,
    newest: Option<Origin>,
    session: u32,
}

impl WrongReceiver {
    fn say(&mut self, origin: Origin, session: u32, body: FromPartner) {
        self.said.extend(wire::write(&Message { origin, session, body }));
    }
}

impl ReplicationTarget for WrongReceiver {
    fn handle_message(&mut self, now: i64, payload: &[u8]) {
        let Some(mut message) = up(payload) else { return self.inner.handle_message(now, payload) };
        let aside = matches!(message.body, FromOrigin::SetAside { copy: (50, _), .. });
        if let FromOrigin::Run(e) = &message.body
            && !e.more
        {
            self.next = e.first + e.count;
            if self.fault == Fault::Early
                && self.session == message.session
                && message.origin.life.start.0 == 1
            {
                self.say(message.origin.clone(), message.session, FromPartner::Durable { next: self.next });
            }
        }
        if self.fault == Fault::AnyLife {
            let newest = self.newest.get_or_insert_with(|| message.origin.clone());
            if message.origin.life.start > newest.life.start {
                *newest = message.origin.clone();
            } else if message.origin != *newest {
                message.origin = newest.clone();
                message.session += 1_000;
            }
        }
        self.session = message.session;
        let before = self.shelf.borrow().read("copy-of").ok();
        self.inner.handle_message(now, &wire::write(&message).unwrap_or_default());
        if let (Some(before), Fault::ForgetsLife) = (before, self.fault) {
            let mut shelf = self.shelf.borrow_mut();
            if shelf.read("copy-of").is_ok_and(|now| now != before) {
                _ = shelf.truncate("copy-of", 0);
                _ = shelf.append("copy-of", &before);
                _ = shelf.sync("copy-of");
            }
        }
        if aside && self.fault == Fault::DropsAside {
            let mut shelf = self.shelf.borrow_mut();
            for name in shelf.list().unwrap_or_default().iter().filter(|n| n.starts_with("aside-")) {
                _ = shelf.remove(name);
            }
        }
        if self.fault == Fault::Piecemeal {
            while let Some(octets) = self.inner.poll(now) {
                self.said.push_back(octets);
            }
        }
    }
    fn poll(&mut self, now: i64) -> Option<Vec<u8>> {
        if let Some(octets) = self.said.pop_front() {
            return Some(octets);
        }
        let octets = self.inner.poll(now)?;
        match down(&octets) {
            Some(m) if m.body == FromPartner::Full && self.fault == Fault::FullIsDone => {
                wire::write(&Message { body: FromPartner::Durable { next: self.next }, ..m })
            }
            _ => Some(octets),
        }
    }
    fn state(&self) -> Option<(&JournalState, u64)> {
        self.inner.state()
    }
    fn notice(&mut self) -> Option<Notice> {
        self.inner.notice()
    }
    fn held(&self) -> usize {
        self.inner.held()
    }
    fn next_wakeup(&self) -> Option<i64> {
        self.inner.next_wakeup()
    }
}
