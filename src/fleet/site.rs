//! The state machine of one site: from verdicts, answers and the calendar to what part of its load it takes. It never
//! goes from lost to serving but by the ramp, and on the ramp by one step at a time.

use super::evidence::{Answers, Verdict, View};
use super::report::COUNTS_MS;
use super::state::SiteState;

/// How long after the first dark verdict another one makes a site lost, in ms: two ticks of the planner.
const CONFIRM_MS: u64 = 500;
/// How long a site is seen lit until it is no longer suspect, in ms.
const LIT_MS: u64 = 1_000;
/// How long a suspect site is held so without any verdict, in ms: the reports that made the last one count no longer.
const SUSPECT_MS: u64 = COUNTS_MS;
/// The first hold-down of a lost site and the longest, in ms. It doubles with each loss within [`FLAP_MS`] of the last
/// return.
const HOLD_MS: u64 = 5_000;
const MOST_HOLD_MS: u64 = 160_000;
const FLAP_MS: u64 = 600_000;
/// The ramp: which part of its load a returning site takes.
const RAMP: [f64; 7] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0];
/// Up to here the ramp is a trial.
const TRIAL: f64 = 0.05;
/// The shortest time on a step of the ramp, in ms.
const DWELL_MS: u64 = 2_000;
/// What is reported sooner after a step's beginning is of the step before, in ms: sidecars report each second.
const LAG_MS: u64 = 1_000;
/// How many attempts that ended are evidence, and how good they must be to go on, and not to go back, in percent.
const EVIDENCE: u64 = 20;
const GOOD: u64 = 95;
const POOR: u64 = 90;
/// How long on a step without so much evidence until what there is must do, in ms. With too little traffic for
/// evidence there is little to break, and the next step brings more of it.
const QUIET_MS: u64 = 10_000;

/// How long a whole load takes to leave a draining site, in ms: the other sites' sidecars' windows and connections
/// grow with what comes, some percent at a time, and the planner sees each step's demand in a report.
const DRAIN_MS: u64 = 5_000;
/// It is empty so long before its window starts, in ms: a plan is with every sidecar by then.
const FOLLOW_MS: u64 = 1_000;

/// What the maintenance calendar says of the site now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Window {
    /// Nothing.
    #[default]
    None,
    /// Its window is near.
    Draining {
        /// The time to its start, in ms.
        left_ms: u64,
    },
    /// It is in its window.
    Out,
}

/// What a step is decided by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Input {
    /// The time, by the planner's clock in ms.
    pub now_ms: u64,
    /// The verdict on the site from the reports that are live now.
    pub verdict: Verdict,
    /// What is new since the last step, each report counted once ([`super::evidence::Fresh`]).
    pub answers: Answers,
    /// What the calendar says.
    pub window: Window,
}

/// How a site is on its way, with what is kept only as long as it is so.
#[derive(Clone, Copy, Debug)]
enum Phase {
    Serving,
    Suspect(Suspicion),
    Lost { until: u64 },
    Returning(Step),
    Draining(Drain),
    Maintenance,
}

/// How far a site's drain is.
#[derive(Clone, Copy, Debug)]
struct Drain {
    /// The part of its load that it still takes.
    weight: f64,
    /// The latest step's time.
    now: u64,
    /// Since when it has been seen dark.
    dark: Option<u64>,
}

impl Drain {
    fn new(weight: f64, now: u64) -> Drain {
        Drain { weight, now, dark: None }
    }

    /// Falls evenly, and is empty in time whatever the lead is.
    fn go_on(self, now: u64, left_ms: u64) -> Drain {
        let part = |ms: u64| ms as f64 / DRAIN_MS as f64;
        let falling = self.weight - part(now.saturating_sub(self.now));
        let weight = falling.min(part(left_ms.saturating_sub(FOLLOW_MS))).max(0.0);
        Drain { weight, now, ..self }
    }
}

/// What is known against a suspect site.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// The first dark verdict with no lit one since.
    since: u64,
    /// The latest verdict of either kind.
    latest: u64,
    /// Since when the verdict has been lit.
    lit: Option<u64>,
    /// Whether any witness saw it lit since the latest dark verdict.
    any_lit: bool,
}

impl Suspicion {
    fn new(now: u64) -> Suspicion {
        Suspicion { since: now, latest: now, lit: None, any_lit: false }
    }
}

/// A step of the ramp.
#[derive(Clone, Copy, Debug)]
struct Step {
    at: usize,
    began: u64,
    /// From when on the evidence is counted.
    counts: u64,
    evidence: Answers,
}

impl Step {
    /// The highest step that is within a part of the load.
    fn within(weight: f64, now: u64) -> Step {
        Step::new(RAMP.iter().rposition(|part| *part <= weight + 1e-9).unwrap_or(0), now)
    }

    fn new(at: usize, now: u64) -> Step {
        Step { at, began: now, counts: now + LAG_MS, evidence: Answers::default() }
    }

    /// The same step with its evidence counted anew.
    fn again(self, now: u64) -> Step {
        Step { began: now, counts: now, evidence: Answers::default(), ..self }
    }
}

/// The state machine of one site.
#[derive(Clone, Debug)]
pub struct SiteMachine {
    phase: Phase,
    /// The last hold-down in ms, and when the last return from a loss began or reached its end.
    flap: Option<(u64, u64)>,
}

impl Default for SiteMachine {
    fn default() -> SiteMachine {
        SiteMachine::new()
    }
}

impl SiteMachine {
    /// One that serves.
    pub fn new() -> SiteMachine {
        SiteMachine { phase: Phase::Serving, flap: None }
    }

    /// One that goes on at `now_ms` from what the last plan said of the site. A lost one is held down for the
    /// shortest time anew, a suspect one is confirmed anew, a returning one begins its step again (the highest one
    /// that is within `weight`), a draining one goes on down from `weight`. How often the site flapped is not in the plan: a loss on the resumed return counts
    /// as the second.
    pub fn resume(state: SiteState, weight: f64, now_ms: u64) -> SiteMachine {
        let lost = matches!(state, SiteState::Lost | SiteState::Returning);
        let phase = match state {
            SiteState::Serving => Phase::Serving,
            SiteState::Suspect => Phase::Suspect(Suspicion::new(now_ms)),
            SiteState::Lost => Phase::Lost { until: now_ms + HOLD_MS },
            SiteState::Returning => Phase::Returning(Step::within(weight, now_ms)),
            SiteState::Draining => Phase::Draining(Drain::new(weight.clamp(0.0, 1.0), now_ms)),
            SiteState::Maintenance => Phase::Maintenance,
        };
        SiteMachine { phase, flap: lost.then_some((HOLD_MS, now_ms)) }
    }

    /// Goes on to what the input makes of it, by one transition at most.
    pub fn step(&mut self, input: &Input) -> SiteState {
        let now = input.now_ms;
        self.phase = match (self.phase, input.window) {
            (_, Window::Out) => Phase::Maintenance,
            (Phase::Maintenance, Window::Draining { .. }) => Phase::Draining(Drain::new(0.0, now)),
            (Phase::Maintenance, Window::None) => {
                // It was mended: what it was before is past. Its servers may be cold.
                self.flap = None;
                Phase::Returning(Step::new(0, now))
            }
            (Phase::Lost { until }, window) => self.lost(until, window, input),
            (Phase::Draining(drain), window) => self.draining(drain, window, input),
            (_, Window::Draining { left_ms }) => {
                let dark = (input.verdict.outside == View::Dark).then_some(now);
                Phase::Draining(Drain { dark, ..Drain::new(self.weight(), now).go_on(now, left_ms) })
            }
            (Phase::Serving, Window::None) if input.verdict.outside == View::Dark => {
                Phase::Suspect(Suspicion::new(now))
            }
            (Phase::Serving, Window::None) => Phase::Serving,
            (Phase::Suspect(suspicion), Window::None) => self.suspected(suspicion, input),
            (Phase::Returning(step), Window::None) => self.returning(step, input),
        };
        self.state()
    }

    /// What the site is held to be.
    pub fn state(&self) -> SiteState {
        match self.phase {
            Phase::Serving => SiteState::Serving,
            Phase::Suspect(_) => SiteState::Suspect,
            Phase::Lost { .. } => SiteState::Lost,
            Phase::Returning(_) => SiteState::Returning,
            Phase::Draining(_) => SiteState::Draining,
            Phase::Maintenance => SiteState::Maintenance,
        }
    }

    /// The part, from 0 to 1, that the site takes of what placement would give it.
    pub fn weight(&self) -> f64 {
        match self.phase {
            Phase::Serving => 1.0,
            Phase::Suspect(_) => 0.5,
            Phase::Returning(step) => RAMP[step.at],
            Phase::Draining(drain) => drain.weight,
            Phase::Lost { .. } | Phase::Maintenance => 0.0,
        }
    }

    /// Whether it is on the first steps of the ramp, where only classes that are safe to repeat go.
    pub fn is_trial(&self) -> bool {
        matches!(self.phase, Phase::Returning(step) if RAMP[step.at] <= TRIAL)
    }

    /// Holds the site down: for the shortest time, or twice the last where that return was no success.
    fn lose(&mut self, now: u64) -> Phase {
        let hold = match self.flap {
            Some((hold, back)) if now.saturating_sub(back) <= FLAP_MS => (2 * hold).min(MOST_HOLD_MS),
            _ => HOLD_MS,
        };
        self.flap = Some((hold, now));
        Phase::Lost { until: now + hold }
    }

    /// Without a verdict the site is held suspect for as long as reports count. Then, if any witness saw it lit, it
    /// serves: there is no quorum against it. If none did, the last that a quorum saw of it is darkness, and it is
    /// lost: its sidecars may have left it by their own judgement, so that none has enough attempts to testify. If in
    /// truth nobody needed it, a return costs nobody anything.
    fn suspected(&mut self, held: Suspicion, input: &Input) -> Phase {
        let (now, verdict) = (input.now_ms, &input.verdict);
        let any_lit = held.any_lit || verdict.witnesses > verdict.dark;
        let past = |since: u64, bound: u64| now.saturating_sub(since) >= bound;
        match verdict.outside {
            View::Dark if past(held.since, CONFIRM_MS) => self.lose(now),
            View::Dark => Phase::Suspect(Suspicion { since: held.since, ..Suspicion::new(now) }),
            View::Lit if held.lit.is_some_and(|lit| past(lit, LIT_MS)) => Phase::Serving,
            // It breaks the darkness, which then has to last anew.
            View::Lit => {
                let lit = held.lit.or(Some(now));
                Phase::Suspect(Suspicion { lit, any_lit: true, ..Suspicion::new(now) })
            }
            View::Unknown if !past(held.latest, SUSPECT_MS) => {
                Phase::Suspect(Suspicion { lit: None, any_lit, ..held })
            }
            View::Unknown if any_lit => Phase::Serving,
            View::Unknown => self.lose(now),
        }
    }

    /// A site that is still seen dark when its hold-down ends stays lost: a return would only fail.
    fn lost(&mut self, until: u64, window: Window, input: &Input) -> Phase {
        let now = input.now_ms;
        if now < until || input.verdict.outside == View::Dark {
            return Phase::Lost { until };
        }
        if window != Window::None {
            return Phase::Draining(Drain::new(0.0, now));
        }
        self.returned(now);
        Phase::Returning(Step::new(0, now))
    }

    /// One that is called off goes back by the ramp from the step that it still has.
    fn draining(&mut self, drain: Drain, window: Window, input: &Input) -> Phase {
        let now = input.now_ms;
        let dark = (input.verdict.outside == View::Dark).then(|| drain.dark.unwrap_or(now));
        if dark.is_some_and(|since| now.saturating_sub(since) >= CONFIRM_MS) {
            return self.lose(now);
        }
        match window {
            Window::None if dark.is_none() => Phase::Returning(Step::within(drain.weight, now)),
            Window::None | Window::Out => Phase::Draining(Drain { dark, now, ..drain }),
            Window::Draining { left_ms } => Phase::Draining(Drain { dark, ..drain.go_on(now, left_ms) }),
        }
    }

    /// On the ramp. Both what the whole fleet and what the other sites alone saw has to be good.
    fn returning(&mut self, mut step: Step, input: &Input) -> Phase {
        let now = input.now_ms;
        if input.verdict.outside == View::Dark {
            return self.lose(now);
        }
        if now >= step.counts {
            step.evidence.add(&input.answers);
        }
        let all = &step.evidence;
        let parts = [(all.ended(), all.served), (all.outside_ended, all.outside_served)];
        let reaches = |(ended, served): &(u64, u64), percent: u64| {
            served.saturating_mul(100) >= ended.saturating_mul(percent)
        };
        let spent = now.saturating_sub(step.began);
        let quiet = spent >= QUIET_MS;
        let least = if quiet { 1 } else { EVIDENCE };
        if parts.iter().any(|part| part.0 >= least && !reaches(part, POOR)) {
            return Phase::Returning(Step::new(step.at.saturating_sub(1), now));
        }
        let enough = all.answered >= EVIDENCE && spent >= DWELL_MS;
        // Attempts that go out and never end say nothing good.
        let silent = all.sent > 0 && all.ended() == 0;
        let goes_on = if enough {
            parts.iter().all(|part| reaches(part, GOOD))
        } else {
            quiet && all.served == all.ended() && !silent
        };
        if goes_on && step.at + 1 < RAMP.len() {
            Phase::Returning(Step::new(step.at + 1, now))
        } else if goes_on {
            self.returned(now);
            Phase::Serving
        } else if enough || quiet {
            Phase::Returning(step.again(now))
        } else {
            Phase::Returning(step)
        }
    }

    /// Notes the time of a return, for the next loss.
    fn returned(&mut self, now: u64) {
        if let Some((_, back)) = &mut self.flap {
            *back = now;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::evidence::tests::{fleet, report};
    use crate::fleet::evidence::{Fresh, judge};
    use crate::fleet::report::Ledger;
    use SiteState::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;
    use std::collections::BTreeMap;

    const SITES: [&str; 3] = ["a", "b", "c"];
    const TICK: u64 = 250;

    /// Three sites of four sidecars, and a planner that looks each tick.
    #[derive(Default)]
    struct World {
        now: u64,
        ledger: Ledger,
        fresh: Fresh,
        machines: BTreeMap<&'static str, SiteMachine>,
        inside: BTreeMap<&'static str, View>,
        /// Each sidecar's incarnation and sequence.
        sidecars: Vec<(u64, u64)>,
    }

    impl World {
        /// Lets the time go on. `lit(sidecar, from, to)` says what becomes of attempts; sidecars report in turn,
        /// each once a second. Gives the states that each site was in.
        fn run(&mut self, ms: u64, lit: impl Fn(usize, &str, &str) -> bool) -> [Vec<SiteState>; 3] {
            let (config, end) = (fleet("abc"), self.now + ms);
            let mut states = [const { Vec::new() }; 3];
            while self.now < end {
                self.now += TICK;
                for (at, mark) in self.sidecars.iter_mut().enumerate() {
                    if at as u64 % 4 == self.now / TICK % 4 {
                        mark.1 += 1;
                        let from = SITES[at / 4];
                        let seen =
                            SITES.map(|to| format!("{to}{}", if lit(at, from, to) { '+' } else { '-' }));
                        let mut report = report(at, &format!("{from}{}", seen.concat()));
                        (report.incarnation, report.sequence) = *mark;
                        self.ledger.take(report, 0, self.now).expect("a newer one");
                    }
                }
                let verdicts = judge(self.ledger.live(self.now), &config);
                let answers = self.fresh.look(self.ledger.live(self.now), &config);
                for (site, states) in SITES.iter().zip(&mut states) {
                    let (now_ms, verdict, window) = (self.now, verdicts[*site], Window::None);
                    let answers = answers.get(*site).copied().unwrap_or_default();
                    let machine = self.machines.entry(site).or_default();
                    states.push(machine.step(&Input { now_ms, verdict, answers, window }));
                    self.inside.insert(site, verdict.inside);
                }
            }
            states.iter_mut().for_each(Vec::dedup);
            states
        }
    }

    #[test]
    fn a_site_that_is_dark_or_cut_off_is_lost_alone_and_comes_back_by_the_ramp() {
        let mut world = World { sidecars: vec![(1, 0); 12], ..World::default() };
        let well = [vec![Serving], vec![Serving], vec![Serving]];
        assert_eq!(world.run(3_000, |_, _, _| true), well);
        let [a, b, c] = world.run(2_000, |_, _, to| to != "b");
        assert_eq!((a.len(), b, c.len()), (1, vec![Serving, Suspect, Lost], 1));
        let [a, b, c] = world.run(40_000, |_, _, _| true);
        assert_eq!((a.len(), b, c.len()), (1, vec![Lost, Returning, Serving], 1));
        let [a, b, c] = world.run(2_000, |_, from, to| (from == "b") == (to == "b"));
        assert_eq!((a.len(), b, c.len()), (1, vec![Serving, Suspect, Lost], 1));
        assert_eq!(world.inside["b"], View::Lit);
    }

    #[test]
    fn neither_a_liar_nor_restarts_nor_the_end_of_reports_make_a_site_suspect() {
        let mut world = World { sidecars: vec![(1, 0); 12], ..World::default() };
        let well = [vec![Serving], vec![Serving], vec![Serving]];
        assert_eq!(world.run(4_000, |at, _, _| at != 5), well, "one that sees all dark");
        assert_eq!(world.run(4_000, |at, _, to| at != 5 || to == "c"), well, "all but one site");
        world.sidecars.iter_mut().step_by(2).for_each(|mark| *mark = (2, 0));
        assert_eq!(world.run(4_000, |at, _, to| at != 5 || to == "c"), well, "half of them restarted");
        world.sidecars.clear();
        assert_eq!(world.run(10_000, |_, _, _| true), well, "no reports");
    }

    fn seen(outside: View, witnesses: usize, dark: usize) -> Verdict {
        Verdict { outside, witnesses, dark, ..Verdict::default() }
    }

    /// Steps each tick, up to four minutes of the same input, until the state changes; gives the time that it took.
    fn until_change(machine: &mut SiteMachine, now: &mut u64, outside: View, answers: Answers) -> u64 {
        let (began, state) = (*now, (machine.state(), machine.weight()));
        for _ in 0..240 * 4 {
            *now += TICK;
            let verdict = seen(outside, 4, if outside == View::Dark { 4 } else { 0 });
            machine.step(&Input { now_ms: *now, verdict, answers, window: Window::None });
            if (machine.state(), machine.weight()) != state {
                break;
            }
        }
        *now - began
    }

    fn good(answered: u64, served: u64) -> Answers {
        Answers { answered, served, sent: answered, ..Answers::default() }
    }

    #[test]
    fn the_hold_down_doubles_with_each_early_loss_up_to_its_bound() {
        let (mut machine, mut now) = (SiteMachine::resume(Lost, 0.0, 0), 0);
        for hold in [5_000, 10_000, 20_000, 40_000, 80_000, 160_000, 160_000] {
            let took = until_change(&mut machine, &mut now, View::Unknown, Answers::default());
            assert_eq!((took, machine.state(), machine.weight()), (hold, Returning, 0.02));
            until_change(&mut machine, &mut now, View::Dark, Answers::default());
            assert_eq!(machine.state(), Lost, "in the midst of its return");
        }
        assert_eq!(until_change(&mut machine, &mut now, View::Dark, Answers::default()), 240_000);
        until_change(&mut machine, &mut now, View::Unknown, Answers::default());
        for (quiet, hold) in [(FLAP_MS - 2_000, MOST_HOLD_MS), (FLAP_MS, HOLD_MS)] {
            for _ in RAMP {
                until_change(&mut machine, &mut now, View::Lit, good(30, 30));
            }
            assert_eq!(machine.state(), Serving);
            now += quiet;
            until_change(&mut machine, &mut now, View::Dark, Answers::default());
            assert_eq!(machine.state(), Suspect);
            assert_eq!(until_change(&mut machine, &mut now, View::Dark, Answers::default()), CONFIRM_MS);
            assert_eq!(until_change(&mut machine, &mut now, View::Unknown, Answers::default()), hold);
        }
    }

    #[test]
    fn the_ramp_goes_by_evidence_of_its_step_and_waits_long_without() {
        let dark_outside = Answers { dark: 4, outside_ended: 4, ..good(100, 100) };
        let silent = Answers { sent: 5, ..Answers::default() };
        for (answers, took, weight) in [
            (good(20, 19), 2_000, 0.2),
            (good(20, 18), 240_000, 0.1),
            (good(20, 17), 1_000, 0.05),
            (dark_outside, 2_000, 0.05),
            (good(0, 0), 10_000, 0.2),
            (silent, 240_000, 0.1),
        ] {
            let (mut machine, mut now) = (SiteMachine::resume(Returning, 0.1, 0), 0);
            assert_eq!((machine.weight(), machine.is_trial()), (0.1, false), "no jump");
            let waited = until_change(&mut machine, &mut now, View::Unknown, answers);
            assert_eq!((waited, machine.weight()), (took, weight), "{answers:?}");
        }
    }

    #[test]
    fn a_suspect_site_without_a_verdict_is_judged_by_whether_any_saw_it_lit() {
        for (verdict, state) in [
            (seen(View::Lit, 4, 1), Serving),
            (seen(View::Unknown, 4, 2), Serving),
            (seen(View::Unknown, 0, 0), Lost),
        ] {
            let mut machine = SiteMachine::resume(Suspect, 0.5, 0);
            let input = |now_ms| Input { now_ms, verdict, ..Input::default() };
            assert_eq!(machine.step(&input(900)), Suspect);
            machine.step(&input(1_900));
            assert_eq!(machine.step(&input(3_000)), state);
        }
    }

    #[test]
    fn windows_take_a_site_out_and_give_it_back_by_the_ramp() {
        let mut machine = SiteMachine::new();
        let draining = Window::Draining { left_ms: 60_000 };
        for (now_ms, window, outside, state) in [
            (0, draining, View::Lit, Draining),
            (250, draining, View::Dark, Draining),
            (750, draining, View::Dark, Lost),
            (5_750, draining, View::Unknown, Draining),
            (6_000, Window::Out, View::Dark, Maintenance),
            (6_250, Window::Out, View::Dark, Maintenance),
            (9_000, Window::None, View::Dark, Returning),
            (9_250, Window::None, View::Dark, Lost),
            (14_000, Window::None, View::Dark, Lost),
            (14_250, Window::None, View::Unknown, Returning),
        ] {
            assert_eq!(
                machine.step(&Input { now_ms, window, verdict: seen(outside, 0, 0), ..Input::default() }),
                state
            );
        }
        assert!(machine.is_trial());
    }

    #[test]
    fn a_draining_site_gives_up_its_load_evenly_and_has_none_when_its_window_starts() {
        let mut machine = SiteMachine::new();
        let lead = |left_ms| Window::Draining { left_ms };
        for (now_ms, window, state, weight) in [
            (0, lead(60_000), Draining, 1.0),
            (2_000, lead(58_000), Draining, 0.6),
            // Called off, it keeps what it has of the ramp; and asked for again it begins from there.
            (2_250, Window::None, Returning, 0.4),
            (2_500, lead(60_000), Draining, 0.4),
            (3_000, lead(59_500), Draining, 0.3),
            // A lead that is too short for that does not leave more at its end.
            (3_250, lead(1_500), Draining, 0.1),
            (3_500, lead(1_000), Draining, 0.0),
            (3_750, Window::Out, Maintenance, 0.0),
        ] {
            machine.step(&Input { now_ms, window, ..Input::default() });
            assert!((machine.weight() - weight).abs() < 1e-9, "{now_ms}: {}", machine.weight());
            assert_eq!(machine.state(), state);
            // The next planner goes on from there.
            machine = SiteMachine::resume(state, machine.weight(), now_ms);
        }
        machine = SiteMachine::new();
        assert_eq!(machine.step(&Input { window: Window::Out, ..Input::default() }), Maintenance);
        assert_eq!(machine.weight(), 0.0);
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            rng_seed: RngSeed::Fixed(7),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]

        #[test]
        fn weight_grows_by_steps_and_no_lost_site_serves_but_by_the_ramp(
            steps in prop::collection::vec((0u64..12_000, 0..3, 0usize..5, 0u64..40, 0u64..40, 0..8), 1..120),
        ) {
            let (mut machine, mut now_ms) = (SiteMachine::new(), 0);
            for (ms, view, dark, served, bad, window) in steps {
                now_ms += ms;
                let outside = [View::Unknown, View::Lit, View::Dark][view as usize];
                let window = [Window::Draining { left_ms: 30_000 }, Window::Draining { left_ms: 2_000 }, Window::Out].get(window as usize).copied().unwrap_or_default();
                let answers = good(served + bad, served);
                let (before, from) = (machine.state(), machine.weight());
                let to = machine.step(&Input { now_ms, verdict: seen(outside, 4, dark.min(4)), answers, window });
                let next = RAMP.iter().copied().find(|part| *part > from).unwrap_or(1.0);
                prop_assert!(to != Draining || machine.weight() <= from);
                prop_assert!(to != Maintenance || machine.weight() == 0.0);
                prop_assert!(machine.weight() <= next || (before, to) == (Suspect, Serving));
                let by_ramp = before == Suspect || before == Returning && from == 1.0;
                prop_assert!(to != Serving || before == Serving || by_ramp);
            }
        }
    }
}
