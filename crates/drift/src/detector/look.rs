//! A check of one member: the verdict, the action to take, and the time of the next check.

use super::judge::{Judgement, judge};
use super::member::Member;
use super::wanted::Wanted;
use super::{Config, Detector, Output, life};
use crate::Micros;
use crate::acts::{Act, Order, Step, climb};
use crate::history::Record;
use crate::report::{Challenge, Verdict};
use heronroute_fleet::{Name, Standing};

/// The minimum time between two checks of a member that are caused by time alone; reports are seconds apart.
pub const STEP: Micros = 10_000;

/// The maximum number of fences per member; if more clients are at fault, the operator is notified
/// nevertheless.
const MOST_FENCES: usize = 16;

impl Detector {
    /// Checks a member. `approval` is set if an approval or a new term caused the check, which is no fault of
    /// the member.
    pub(super) fn look(&mut self, now: Micros, name: &Name, approval: bool) {
        if !self.acting(now) {
            return;
        }
        let Some(member) = self.members.get_mut(name) else { return };
        let wanted = &self.wanted.of(name);
        let judged = judge(now, name, member, wanted, &self.rollouts, &self.config);
        let shown = member.show(now, &judged, approval, &self.config);
        let mut next = [judged.again, None, None, None, None];
        let mut out = Vec::new();
        match shown {
            Ok(()) => {
                let record = record(name, member, &self.config, self.charge.term());
                self.history.add(record.clone());
                out.push(Output::Verdict(record));
                // The times that depend on the new verdict are computed by the next check.
                next[1] = Some(now.saturating_add(STEP));
            }
            Err(from) => next[1] = from,
        }
        let silent = judged.verdict == Verdict::NotHeardOf;
        let fresh = member.standing != Standing::Dead
            && member.heard.is_some_and(|heard| now <= heard.saturating_add(self.config.fresh_for));
        // A member that sends reports but no answers is still challenged; no answer is expected from one that
        // is gone.
        if !fresh {
            member.unasked();
        }
        let (to, term) = (life(name, member.start), self.charge.term());
        if fresh && let Some((nonce, client)) = member.challenge(now, wanted, &self.config, &mut self.draw) {
            out.push(Output::Challenge(Challenge { to: to.clone(), term, nonce, client }));
        }
        next[2] = member.challenge_next(wanted);
        let paths = member.walk_begin(now, self.config.ask_again, wanted);
        next[3] = member.walk_next(now, self.config.ask_again);
        match due(now, member, &judged, &self.config, wanted) {
            Due::Nothing => member.slot = None,
            Due::At(at) => next[4] = Some(at),
            Due::Act(act) => {
                let ready = self.bucket.ready(self.config.all);
                // Members wait in turn for the shared budget. Otherwise all of them would be checked for
                // every token, and members that act again could pass those that never did.
                let turn = match member.slot {
                    Some(turn) => turn,
                    None if self.turns <= now && ready <= now => now,
                    None => {
                        self.turns = self.turns.saturating_add(self.config.all.every).max(ready);
                        self.turns
                    }
                };
                if now >= turn && now >= ready {
                    self.bucket.take(now, self.config.all);
                    member.act(now, &act, &self.config);
                    out.push(Output::Order(Order { term, to: to.clone(), act }));
                    next[4] = Some(now.saturating_add(STEP));
                } else {
                    member.slot = Some(turn);
                    next[4] = Some(turn.max(ready));
                }
            }
        }
        // Prevents that a time in the past is requested again and again.
        let wake = next.into_iter().flatten().min().map(|at| at.max(now.saturating_add(STEP)));
        if member.wake != wake {
            if let Some(before) = std::mem::replace(&mut member.wake, wake) {
                self.wakes.remove(&(before, name.clone()));
            }
            if let Some(wake) = wake {
                self.wakes.insert((wake, name.clone()));
            }
        }
        if silent {
            self.rollouts.values_mut().for_each(|rollout| rollout.lost(now, name));
        }
        out.into_iter().for_each(|output| self.push(output));
        self.ask(&to, paths);
    }
}

enum Due {
    Nothing,
    At(Micros),
    Act(Act),
}

/// Returns the action to take for a member, or the time of it.
fn due(now: Micros, member: &mut Member, judged: &Judgement, config: &Config, wanted: &Wanted) -> Due {
    let ready = member.bucket.ready(config.each);
    if let Some(client) = liftable(member, judged, wanted) {
        return if now < ready { Due::At(ready) } else { Due::Act(Act::Lift { client }) };
    }
    let verdict = judged.verdict;
    // A verdict that is not published yet, or no longer holds, has not lasted long enough.
    if verdict != member.shown.verdict || matches!(verdict, Verdict::InLine | Verdict::Converging) {
        return Due::Nothing;
    }
    let (stood, again) = match verdict {
        Verdict::NotHeardOf => (config.silent_for, member.tell_next),
        _ => (config.stands_for, member.ladder.next),
    };
    let from = member.shown.since.saturating_add(stood).max(again).max(ready);
    if now < from {
        return Due::At(from);
    }
    let fencing = matches!(verdict, Verdict::Altered | Verdict::BeyondPlan | Verdict::CantApply);
    let open = fencing && member.fences.len() < MOST_FENCES;
    let unfenced = judged.mend.iter().find(|client| open && !member.fences.contains(*client)).cloned();
    let act = climb(Step {
        verdict,
        tries: member.ladder.facing(verdict),
        clients: judged.mend.clone(),
        unfenced,
        unknown: judged.unknown,
        reason: judged.reason.as_deref().unwrap_or(""),
    });
    act.map_or(Due::Nothing, Due::Act)
}

/// Returns a client whose fence is no longer needed, because the member is known and published to apply the
/// desired rules.
fn liftable(member: &Member, judged: &Judgement, wanted: &Wanted) -> Option<String> {
    if !member.accounted() || judged.verdict == Verdict::NotHeardOf || member.fences.is_empty() {
        return None;
    }
    let mended = |client: &&String| {
        member.believed.get(client) == wanted.tree.get(client)
            && member.proof.false_for.as_ref() != Some(client)
    };
    // The fence is lifted only after the settling time of "in line", or it would follow a member that
    // alternates between states.
    member.fences.iter().find(|client| mended(client) && member.shown.verdict == Verdict::InLine).cloned()
}

impl Member {
    fn act(&mut self, now: Micros, act: &Act, config: &Config) {
        self.slot = None;
        self.bucket.take(now, config.each);
        match act {
            Act::Lift { client } => {
                self.fences.remove(client);
                return;
            }
            Act::Fence { client } => {
                self.fences.insert(client.clone());
            }
            _ => {}
        }
        if self.shown.verdict == Verdict::NotHeardOf {
            // A lost half of the installation must not use up the budget of the other half, and what a member
            // needs once it reports again must not wait for this notification.
            self.tell_next = now.saturating_add(config.tell_again);
            return;
        }
        self.ladder.acted(now, config.act_first, config.act_most);
    }
}

fn record(name: &Name, member: &Member, config: &Config, term: heronroute_fleet::Term) -> Record {
    Record {
        term,
        since: member.shown.since.saturating_add(config.wall),
        member: name.clone(),
        start: member.start,
        verdict: member.shown.verdict,
        client: member.shown.client.clone(),
        version: member.shown.version,
        seen_by: config.me.clone(),
        reason: member.shown.reason.clone(),
    }
}
