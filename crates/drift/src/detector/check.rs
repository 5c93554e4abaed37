//! A check of one member: the verdict, the action to take, and the time of the next check.

use super::assess::{Assessment, assess};
use super::desired::MemberTarget;
use super::member::Member;
use super::{Config, Detector, Output, life};
use crate::Micros;
use crate::actions::{Action, ActionInput, Order, choose_action};
use crate::history::Record;
use crate::report::{Challenge, Verdict};
use heronroute_fleet::{Name, Standing};

/// The minimum time between two checks of a member that are caused by time alone; reports are seconds apart.
pub const MIN_CHECK_INTERVAL: Micros = 10_000;

/// The maximum number of fences per member; if more clients are at fault, the operator is notified
/// nevertheless.
const MAX_FENCES_PER_MEMBER: usize = 16;

impl Detector {
    /// Checks a member. `approval` is set if an approval or a new term caused the check, which is no fault of
    /// the member.
    pub(super) fn check_member(&mut self, now: Micros, name: &Name, approval: bool) {
        if !self.is_leading(now) {
            return;
        }
        let Some(member) = self.members.get_mut(name) else { return };
        let target = &self.desired_state.of(name);
        let assessment = assess(now, name, member, target, &self.rollouts, &self.config);
        let published = member.publish(now, &assessment, approval, &self.config);
        let mut next = [assessment.recheck_at, None, None, None, None];
        let mut out = Vec::new();
        match published {
            Ok(()) => {
                let record = record(name, member, &self.config, self.leadership.term());
                self.history.add(record.clone());
                out.push(Output::Verdict(record));
                // The times that depend on the new verdict are computed by the next check.
                next[1] = Some(now.saturating_add(MIN_CHECK_INTERVAL));
            }
            Err(from) => next[1] = from,
        }
        let silent = assessment.verdict == Verdict::NotReporting;
        let fresh = member.standing != Standing::Dead
            && member
                .written_after
                .is_some_and(|written_after| now <= written_after.saturating_add(self.config.fresh_for));
        // A member that sends reports but no answers is still challenged; no answer is expected from one that
        // is gone.
        if !fresh {
            member.cancel_challenge();
        }
        let (to, term) = (life(name, member.start), self.leadership.term());
        if fresh
            && let Some((nonce, client)) = member.next_challenge(now, target, &self.config, &mut self.random)
        {
            out.push(Output::Challenge(Challenge { to: to.clone(), term, nonce, client }));
        }
        next[2] = member.challenge_wake_at(target);
        let paths = member.start_walk(now, self.config.query_again_after, target);
        next[3] = member.walk_wake_at(now, self.config.query_again_after);
        match next_action(now, member, &assessment, &self.config, target) {
            NextAction::Nothing => member.turn = None,
            NextAction::At(at) => next[4] = Some(at),
            NextAction::Action(act) => {
                let ready = self.bucket.ready(self.config.total_rate);
                // Members wait in turn for the shared budget. Otherwise all of them would be checked for
                // every token, and members that act again could pass those that never did.
                let turn = match member.turn {
                    Some(turn) => turn,
                    None if self.last_turn <= now && ready <= now => now,
                    None => {
                        self.last_turn =
                            self.last_turn.saturating_add(self.config.total_rate.interval).max(ready);
                        self.last_turn
                    }
                };
                if now >= turn && now >= ready {
                    self.bucket.take(now, self.config.total_rate);
                    member.record_action_taken(now, &act, &self.config);
                    out.push(Output::Order(Order { term, to: to.clone(), act }));
                    next[4] = Some(now.saturating_add(MIN_CHECK_INTERVAL));
                } else {
                    member.turn = Some(turn);
                    next[4] = Some(turn.max(ready));
                }
            }
        }
        // Prevents that a time in the past is requested again and again.
        let wake_at =
            next.into_iter().flatten().min().map(|at| at.max(now.saturating_add(MIN_CHECK_INTERVAL)));
        if member.wake_at != wake_at {
            if let Some(before) = std::mem::replace(&mut member.wake_at, wake_at) {
                self.wakes.remove(&(before, name.clone()));
            }
            if let Some(wake_at) = wake_at {
                self.wakes.insert((wake_at, name.clone()));
            }
        }
        if silent {
            self.rollouts.values_mut().for_each(|rollout| rollout.member_lost(now, name));
        }
        out.into_iter().for_each(|output| self.push(output));
        self.push_queries(&to, paths);
    }
}

enum NextAction {
    Nothing,
    At(Micros),
    Action(Action),
}

/// Returns the action to take for a member, or the time of it.
fn next_action(
    now: Micros,
    member: &mut Member,
    assessment: &Assessment,
    config: &Config,
    target: &MemberTarget,
) -> NextAction {
    let ready = member.bucket.ready(config.member_rate);
    if let Some(client) = fence_to_lift(member, assessment, target) {
        return if now < ready { NextAction::At(ready) } else { NextAction::Action(Action::Lift { client }) };
    }
    let verdict = assessment.verdict;
    // A verdict that is not published yet, or no longer holds, has not lasted long enough.
    if verdict != member.published.verdict || matches!(verdict, Verdict::InLine | Verdict::Converging) {
        return NextAction::Nothing;
    }
    let (min_duration, not_before) = match verdict {
        Verdict::NotReporting => (config.silent_for, member.notify_after),
        _ => (config.confirm_for, member.escalation.next),
    };
    let from = member.published.since.saturating_add(min_duration).max(not_before).max(ready);
    if now < from {
        return NextAction::At(from);
    }
    let fencing = matches!(verdict, Verdict::Altered | Verdict::BeyondPlan | Verdict::CantApply);
    let may_fence = fencing && member.fences.len() < MAX_FENCES_PER_MEMBER;
    let unfenced =
        assessment.repair.iter().find(|client| may_fence && !member.fences.contains(*client)).cloned();
    let act = choose_action(ActionInput {
        verdict,
        attempts: member.escalation.attempts_for(verdict),
        clients: assessment.repair.clone(),
        unfenced,
        unknown: assessment.unknown,
        reason: assessment.reason.as_deref().unwrap_or(""),
    });
    act.map_or(NextAction::Nothing, NextAction::Action)
}

/// Returns a client whose fence is no longer needed, because the member is known and published to apply the
/// desired rules.
fn fence_to_lift(member: &Member, assessment: &Assessment, target: &MemberTarget) -> Option<String> {
    if !member.matches_root() || assessment.verdict == Verdict::NotReporting || member.fences.is_empty() {
        return None;
    }
    let repaired = |client: &&String| {
        member.assumed.get(client) == target.tree.get(client)
            && member.challenges.disproved_client.as_ref() != Some(client)
    };
    // The fence is lifted only after the settling time of "in line", or it would follow a member that
    // alternates between states.
    member
        .fences
        .iter()
        .find(|client| repaired(client) && member.published.verdict == Verdict::InLine)
        .cloned()
}

impl Member {
    fn record_action_taken(&mut self, now: Micros, act: &Action, config: &Config) {
        self.turn = None;
        self.bucket.take(now, config.member_rate);
        match act {
            Action::Lift { client } => {
                self.fences.remove(client);
                return;
            }
            Action::Fence { client } => {
                self.fences.insert(client.clone());
            }
            _ => {}
        }
        if self.published.verdict == Verdict::NotReporting {
            // A lost half of the installation must not use up the budget of the other half, and what a member
            // needs once it reports again must not wait for this notification.
            self.notify_after = now.saturating_add(config.repeat_notification_after);
            return;
        }
        self.escalation.record_action(now, config.first_action_delay, config.max_action_delay);
    }
}

fn record(name: &Name, member: &Member, config: &Config, term: heronroute_fleet::Term) -> Record {
    Record {
        term,
        since: member.published.since.saturating_add(config.wall),
        member: name.clone(),
        start: member.start,
        verdict: member.published.verdict,
        client: member.published.client.clone(),
        version: member.published.version,
        seen_by: config.own_name.clone(),
        reason: member.published.reason.clone(),
    }
}
