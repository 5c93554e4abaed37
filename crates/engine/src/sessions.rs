//! Admission of clients, and sessions that outlive connections: started, resumed, taken over, detached and
//! ended.

use crate::Micros;
use crate::admission::{Origin, constant_time_eq};
use crate::front::{AdmittedSession, Denied, SessionRequest, Speaks, SubmissionContext};
use crate::home::home;
use crate::ids::ConnId;
use crate::mailboxes::{MailboxId, NamedSession, Will};
use crate::node::{ConnRole, Effect, Node, TimerKey};
use heronroute_journal::entry::{Session, What};
use heronroute_seen::RecentRequests;

impl Node {
    /// Admits a client with this name and password, or denies it.
    pub(crate) fn admit_client(
        &mut self,
        conn: ConnId,
        name: &str,
        password: &str,
        token: u32,
        session: Option<SessionRequest>,
    ) {
        let known = self.client_names.get(name).copied();
        let config = known.and_then(|k| self.cfg.clients.get(k));
        let result = match (config, known) {
            _ if self.leaving => Err(Denied::Leaving),
            (Some(c), Some(client)) if constant_time_eq(&c.password, password) => {
                if self.is_home(name) {
                    Ok(client)
                } else {
                    Err(Denied::Elsewhere)
                }
            }
            (Some(_), _) => Err(Denied::Password),
            _ => Err(Denied::Name),
        };
        let admitted = result.and_then(|client| match session {
            None => Ok((client, self.clients[client].mailbox, AdmittedSession::default())),
            Some(request) => self.open_session(conn, client, request).map(|(m, e)| (client, m, e)),
        });
        let now = self.now;
        let Some((front, out)) = self.front(conn) else { return };
        let (client, mailbox) = match admitted {
            Ok((client, mailbox, entered)) => {
                front.admitted(now, token, Ok(entered), out);
                (client, mailbox)
            }
            Err(denied) => {
                front.admitted(now, token, Err(denied), out);
                // An SMPP client may try again on the same connection; an MQTT client may not, nor one whose
                // connection has to lead to another sender.
                if self.speaks(conn) == Some(Speaks::Mqtt) || denied == Denied::Elsewhere {
                    self.flush(conn);
                    self.end_session(conn);
                }
                return;
            }
        };
        let receives = front.receives();
        if let Some(ConnRole::Client { owner, .. }) = self.conns.get_mut(&conn).map(|c| &mut c.role) {
            *owner = Some((client, mailbox));
        }
        self.clients[client].admitted_conns += 1;
        if receives && let Some(m) = self.mailboxes.get_mut(mailbox) {
            m.outbox.add_session(conn);
            self.deliver_owed(mailbox);
        }
    }

    /// Returns whether this sender is the client's home. All that is kept for a client is kept there alone.
    pub(crate) fn is_home(&self, client: &str) -> bool {
        home(client, self.senders) == self.index % self.senders
    }

    /// Returns the protocol of a client connection.
    pub(crate) fn speaks(&self, conn: ConnId) -> Option<Speaks> {
        match self.conns.get(&conn).map(|c| &c.role) {
            Some(ConnRole::Client { speaks, .. }) => Some(*speaks),
            _ => None,
        }
    }

    /// Attaches a connection to a named session, which is resumed or started.
    fn open_session(
        &mut self,
        conn: ConnId,
        client: usize,
        request: SessionRequest,
    ) -> Result<(MailboxId, AdmittedSession), Denied> {
        let assigned_name =
            request.name.is_empty().then(|| format!("hr{}-{:x}-{conn}", self.index, self.wall()));
        let name = assigned_name.clone().unwrap_or(request.name);
        let found = self.mailboxes.find(client, &name);
        if let Some(earlier_conn) = found.and_then(|m| self.mailboxes.get(m)).and_then(|m| m.conn) {
            // The client connected again under the same name: the earlier connection ends, and the new one
            // resumes its session.
            if let Some((front, out)) = self.front(earlier_conn) {
                front.session_taken_over(out);
            }
            self.flush(earlier_conn);
            self.end_session(earlier_conn);
        }
        let limit = self.cfg.mqtt.as_ref().map_or(0, |m| m.sessions);
        let exists = found.and_then(|m| self.mailboxes.get(m)).is_some_and(|m| m.kept.is_some());
        if !exists && self.mailboxes.sessions() >= limit {
            // The session disconnected longest ago makes room for the new one.
            let oldest = self.mailboxes.oldest_detached().ok_or(Denied::Busy)?;
            self.end_named_session(oldest);
        }
        if let Some(earlier) = found.filter(|_| request.clean && exists) {
            self.end_named_session(earlier);
        }
        // The mailbox may have been removed with its session.
        let mailbox = self.mailboxes.open(client, &name);
        let resumed = self.mailboxes.get(mailbox).is_some_and(|m| m.kept.is_some());
        let window = self.cfg.mqtt.as_ref().map_or(1, |m| usize::from(m.window));
        let fresh = (!resumed).then(|| NamedSession {
            began: self.wall(),
            expiry: request.expiry,
            notes: Vec::new(),
            recent: RecentRequests::new(window),
        });
        self.mailboxes.attach(mailbox, conn, fresh);
        self.timers.clear(TimerKey::Mailbox(mailbox));
        let mut notes = None;
        if let Some(m) = self.mailboxes.get_mut(mailbox) {
            // The client is back, so its will is not sent.
            m.will = None;
            if let Some(k) = &mut m.kept {
                k.expiry = request.expiry;
                notes = resumed.then(|| k.notes.clone());
            }
        }
        if resumed || request.expiry > 0 {
            self.write_session(mailbox);
        }
        Ok((mailbox, AdmittedSession { assigned_name, notes }))
    }

    /// Writes the state of a session to the journal, for the next start. A session that ends with its
    /// connection is not written.
    fn write_session(&mut self, mailbox: MailboxId) {
        let Some(m) = self.mailboxes.get(mailbox) else { return };
        let Some(k) = &m.kept else { return };
        let (cfg, client) = (&self.cfg, m.client);
        let window = cfg.mqtt.as_ref().map_or(1, |m| u32::from(m.window));
        self.ledger.write(|| {
            What::Session(Session {
                client: cfg.clients.get(client).map(|c| c.system_id.clone()).unwrap_or_default(),
                name: m.name.clone(),
                began: k.began,
                expiry: k.expiry,
                notes: k.notes.clone(),
                window,
                latest: Vec::new(),
                earlier: 0,
            })
        });
    }

    /// Handles a change of a session's stored notes. The client is told once the change is durable.
    pub(crate) fn notes_changed(&mut self, conn: ConnId, notes: Vec<u8>, reply: Vec<u8>) {
        let Some((_, mailbox)) = self.owner_of(conn) else { return };
        if let Some(m) = self.mailboxes.get_mut(mailbox) {
            m.outbox.requeue_set_aside();
            if let Some(k) = &mut m.kept {
                k.notes = notes;
            }
        }
        if self.mailboxes.get(mailbox).and_then(|m| m.kept.as_ref()).is_some_and(|k| k.expiry > 0) {
            self.write_session(mailbox);
        }
        self.once_durable(Effect::AcknowledgeNotes { conn, reply });
        self.deliver_owed(mailbox);
    }

    /// Sends the reply to a change of stored notes, which is durable now.
    pub(crate) fn acknowledge_notes(&mut self, conn: ConnId, reply: &[u8]) {
        if let Some((_, out)) = self.front(conn) {
            out.extend_from_slice(reply);
        }
        self.flush(conn);
    }

    /// Handles the end of a client's connection, for whatever reason. The answers in flight on it are owed
    /// again.
    pub(crate) fn client_disconnected(&mut self, conn: ConnId) {
        self.forget_asks(conn);
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let ConnRole::Client { speaks, owner, front, .. } = &mut c.role else { return };
        self.sessions[*speaks as usize] -= 1;
        if *speaks == Speaks::Resp {
            return self.abandon_unacknowledged(conn);
        }
        let Some((client, mailbox)) = *owner else { return };
        let remains = front.disconnect_state();
        self.clients[client].admitted_conns -= 1;
        let Some(m) = self.mailboxes.get_mut(mailbox) else { return };
        m.outbox.remove_session(conn);
        if m.conn == Some(conn) {
            m.will = remains.will.map(|(delay, submission, reply)| Will {
                at: self.now + delay,
                submission,
                reply,
            });
            let will_now = m.will.as_ref().is_some_and(|w| w.at <= self.now);
            if let Some(k) = m.kept.as_mut().filter(|k| k.expiry != remains.expiry) {
                k.expiry = remains.expiry;
                self.write_session(mailbox);
            }
            let expires_at = self.now.saturating_add(remains.expiry);
            self.mailboxes.detach(mailbox, expires_at);
            if will_now {
                self.submit_will(mailbox);
            }
            if remains.expiry == 0 {
                self.end_named_session(mailbox);
            } else {
                self.schedule_mailbox(mailbox);
            }
        }
        self.deliver_owed(mailbox);
    }

    /// Ends the session of a connection, and closes the connection once everything is written.
    pub(crate) fn end_session(&mut self, conn: ConnId) {
        self.client_disconnected(conn);
        self.finish(conn);
    }

    /// Ends a named session. A pending will is sent now. Answers stay owed to a later session with the same
    /// name.
    fn end_named_session(&mut self, mailbox: MailboxId) {
        self.submit_will(mailbox);
        let kept = self.mailboxes.get_mut(mailbox).and_then(|m| m.kept.as_mut());
        if kept.is_some_and(|k| std::mem::take(&mut k.expiry) > 0) {
            self.write_session(mailbox);
        }
        self.mailboxes.end_session(mailbox);
        self.timers.clear(TimerKey::Mailbox(mailbox));
        self.mailboxes.remove_if_unused(mailbox);
    }

    fn schedule_mailbox(&mut self, mailbox: MailboxId) {
        if let Some(m) = self.mailboxes.get(mailbox) {
            let will = m.will.as_ref().map_or(Micros::MAX, |w| w.at);
            self.timers.set(TimerKey::Mailbox(mailbox), m.expires_at.min(will));
        }
    }

    /// Handles the timer of a mailbox: the session may have expired, or its will may be due.
    pub(crate) fn mailbox_due(&mut self, mailbox: MailboxId) {
        let Some(m) = self.mailboxes.get(mailbox) else { return };
        if m.conn.is_some() {
            return;
        }
        if m.will.as_ref().is_some_and(|w| w.at <= self.now) {
            self.submit_will(mailbox);
        }
        if self.mailboxes.get(mailbox).is_some_and(|m| m.expires_at <= self.now) {
            return self.end_named_session(mailbox);
        }
        self.schedule_mailbox(mailbox);
    }

    /// Submits the will of a disconnected client. A will that can't be accepted is counted and logged, as no
    /// client is there to be told.
    fn submit_will(&mut self, mailbox: MailboxId) {
        let Some(m) = self.mailboxes.get_mut(mailbox) else { return };
        let Some(will) = m.will.take() else { return };
        let from = Origin { conn: None, token: 0, client: m.client, mailbox };
        let context = SubmissionContext { reply: will.reply, ..SubmissionContext::default() };
        match self.check_submission(&from, &will.submission, context.may_be_lost) {
            Ok(terms) => self.accept_message(from, *will.submission, &context, terms),
            Err(no) => {
                self.stats.refused_other += 1;
                tracing::info!(?no, "a will could not be taken on");
            }
        }
    }
}
