use super::super::slots::SiteLimit;
use super::*;
use WindowState::{Active, Cancelled, Draining, Ended, Held, Planned};

const MIN: u64 = 60_000;
const HOUR: u64 = 60 * MIN;
/// A Thursday, 00:00.
const T0: u64 = 1_767_225_600_000;

/// Two sites in the west and one in the east, 100 work a second each, filled to 80.
fn limits(most_out: usize) -> Limits {
    let site = |(name, region): (&str, &str)| {
        (name.to_owned(), SiteLimit { region: region.to_owned(), capacity: 100.0 })
    };
    let sites = [("w1", "west"), ("w2", "west"), ("e1", "east")].into_iter().map(site).collect();
    Limits { sites, most_out, utilisation: 0.8 }
}

/// Demand of `work` in the first hours from [`T0`] on, one number each, known from the week before.
fn profile(work: &[f64]) -> Profile {
    let mut profile = Profile::default();
    for (hour, work) in (0..).zip(work.iter().chain([&0.0])) {
        profile.note(T0 - 168 * HOUR + hour * HOUR, *work);
    }
    profile
}

/// Half an hour, with a lead of ten minutes.
fn ask(id: &str, site: &str, from: u64, to: u64) -> WindowRequest {
    let (id, site) = (id.to_owned(), site.to_owned());
    WindowRequest { id, site, duration_ms: 30 * MIN, not_before: from, not_after: to, lead_ms: 10 * MIN }
}

/// Requests as the service does: schedules, then plans.
fn plan(
    calendar: &mut Calendar, request: &WindowRequest, limits: &Limits, profile: &Profile,
) -> Result<u64, Refusal> {
    let start = calendar.schedule(request, T0, limits, profile)?;
    calendar.request(request, start, T0, limits, profile)?;
    Ok(start)
}

/// A calendar with one window `x` at w1, as early as can be: it starts ten minutes after [`T0`].
fn with_x(not_after: u64) -> Calendar {
    let mut calendar = Calendar::default();
    let start = plan(&mut calendar, &ask("x", "w1", T0, not_after), &limits(1), &Profile::default());
    assert_eq!(start, Ok(T0 + 10 * MIN));
    calendar
}

/// Takes what is due while a site is away ("" for none), and answers where `x` is.
fn tick(calendar: &mut Calendar, now: u64, away: &str) -> WindowState {
    let away = [away].into_iter().filter(|site| !site.is_empty()).map(str::to_owned).collect();
    for step in calendar.due(now, &away, &limits(1), &Profile::default()) {
        assert_eq!(calendar.advance(&step, now), Ok(()));
        assert_eq!(calendar.advance(&step, now), Err(Refusal::Stale), "a step was taken twice");
    }
    calendar.get("x").expect("kept").state
}

fn told(calendar: &Calendar) -> Vec<WindowState> {
    calendar.get("x").expect("kept").told.iter().map(|(state, _)| *state).collect()
}

#[test]
fn the_least_busy_slot_is_picked_and_the_earliest_of_those() {
    let pick = |work: &[f64], from, to| {
        Calendar::default().schedule(&ask("x", "w1", from, to), T0, &limits(1), &profile(work))
    };
    // The lead and the return count too: the window keeps from the busy hours by both.
    assert_eq!(pick(&[90.0, 90.0, 40.0, 90.0], T0, T0 + 4 * HOUR), Ok(T0 + 2 * HOUR + 10 * MIN));
    assert_eq!(pick(&[50.0; 6], T0 + HOUR, T0 + 4 * HOUR), Ok(T0 + HOUR));
    // The last slot, off the grid.
    assert_eq!(pick(&[90.0, 50.0, 50.0], T0, T0 + 61 * MIN), Ok(T0 + 31 * MIN));
}

#[test]
fn what_cannot_be_granted_is_refused_with_its_reason_and_changes_nothing() {
    use Refusal::{Capacity, Conflict, LastOfRegion, Malformed, NoTime, Overlaps, TooManyOut, UnknownSite};
    let (quiet, day) = (profile(&[10.0; 24]), T0 + 24 * HOUR);
    let mut calendar = with_x(T0 + HOUR);
    let before = calendar.clone();
    let x = ask("x", "w1", T0, T0 + HOUR);
    let mut refused = |request: &WindowRequest, limits: &Limits, profile: &Profile| {
        plan(&mut calendar, request, limits, profile).expect_err("granted")
    };
    let y = |site, to| ask("y", site, T0, to);
    for (bad, field) in [
        (WindowRequest { id: "a/b".to_owned(), ..y("w2", day) }, Field::Id),
        (WindowRequest { id: "y".repeat(129), ..y("w2", day) }, Field::Id),
        (WindowRequest { duration_ms: 999, ..y("w2", day) }, Field::Duration),
        (WindowRequest { duration_ms: 8 * 24 * HOUR, ..y("w2", day) }, Field::Duration),
        (WindowRequest { lead_ms: 0, ..y("w2", day) }, Field::Lead),
        (y("w2", T0 + 29 * MIN), Field::Between),
        (y("w2", u64::MAX), Field::Between),
    ] {
        assert_eq!(refused(&bad, &limits(1), &quiet), Malformed(field));
    }
    assert_eq!(refused(&y("n1", day), &limits(1), &quiet), UnknownSite);
    assert_eq!(refused(&y("w2", T0 + 39 * MIN), &limits(1), &quiet), NoTime);
    assert_eq!(refused(&WindowRequest { lead_ms: MIN, ..x }, &limits(1), &quiet), Conflict);
    assert_eq!(refused(&y("w1", T0 + HOUR), &limits(2), &quiet), Overlaps);
    assert_eq!(refused(&y("e1", T0 + HOUR), &limits(1), &quiet), TooManyOut(1));
    assert_eq!(refused(&y("w2", T0 + HOUR), &limits(2), &quiet), LastOfRegion("west".to_owned()));
    // One site left of three, and then two.
    let busy = |work| profile(&[work; 24]);
    assert_eq!(refused(&y("e1", T0 + HOUR), &limits(2), &busy(81.0)), Capacity { peak: 81, left: 80 });
    assert_eq!(refused(&y("e1", day), &limits(1), &busy(161.0)), Capacity { peak: 161, left: 160 });
    assert_eq!(calendar, before);
    // Slots too busy, then slots that would not be back before the lead of x: the nearest reason is told.
    let (mut calendar, first) = (Calendar::default(), profile(&[161.0, 0.0, 0.0, 0.0]));
    let x = ask("x", "w1", T0 + 110 * MIN, T0 + 140 * MIN);
    assert_eq!(plan(&mut calendar, &x, &limits(1), &first), Ok(T0 + 110 * MIN));
    let y = ask("y", "e1", T0 + 60 * MIN, T0 + 105 * MIN);
    assert_eq!(plan(&mut calendar, &y, &limits(1), &first), Err(Capacity { peak: 161, left: 160 }));
}

#[test]
fn what_fits_is_granted_beside_others_and_after_them_and_again_to_the_same_request() {
    let (mut calendar, busy, day) = (with_x(T0 + HOUR), |work| profile(&[work; 24]), T0 + 24 * HOUR);
    let y = |site, to| ask("y", site, T0, to);
    // One beside the other, and one after the other's site is back.
    assert!(plan(&mut calendar.clone(), &y("e1", T0 + HOUR), &limits(2), &busy(80.0)).is_ok());
    let after = plan(&mut calendar, &y("w2", day), &limits(1), &busy(160.0)).expect("a slot");
    assert!(after >= T0 + 50 * MIN + super::super::window::RETURN_MS);
    // The same request again is the same window.
    assert_eq!(plan(&mut calendar, &y("w2", day), &limits(1), &busy(999.0)), Ok(after));
}

#[test]
fn each_step_is_taken_once_in_order_through_restarts_and_a_clock_gone_back() {
    let mut calendar = with_x(T0 + HOUR);
    let at = |m: u64| T0 + m * MIN;
    let mut later = Calendar::default();
    let start = plan(&mut later, &ask("x", "w1", at(20), at(60)), &limits(1), &Profile::default());
    assert_eq!((start, tick(&mut later, at(10) - 1, "")), (Ok(at(20)), Planned));
    for (now, state, site) in [
        (T0, Draining, Some(site::Window::Draining { left_ms: 10 * MIN })),
        // The next leader's clock is an hour behind.
        (T0 - HOUR, Draining, Some(site::Window::Draining { left_ms: 10 * MIN })),
        (at(9), Draining, Some(site::Window::Draining { left_ms: MIN })),
        (at(10), Active, Some(site::Window::Out)),
        (at(40) - 1, Active, Some(site::Window::Out)),
        (at(40), Ended, None),
        (at(99), Ended, None),
    ] {
        assert_eq!((tick(&mut calendar, now, ""), calendar.sites(now).get("w1").copied()), (state, site));
        let text = serde_json::to_string(&calendar).expect("a serial form");
        calendar = serde_json::from_str(&text).expect("the same again");
    }
    assert_eq!(told(&calendar), [Planned, Draining, Active, Ended]);
    assert_eq!(calendar.time(T0), at(40));
    // A step too early, too late in the order, or of a window never heard of.
    let mut calendar = with_x(T0 + HOUR);
    let step = Step { id: "x".to_owned(), after: 0, from: Planned, to: Active, why: None };
    for step in
        [&step, &Step { after: 1, to: Draining, ..step.clone() }, &Step { from: Held, ..step.clone() }]
    {
        assert_eq!(calendar.advance(step, T0), Err(Refusal::Stale));
    }
    let unknown = Step { id: "z".to_owned(), ..step };
    assert_eq!(calendar.advance(&unknown, T0), Err(Refusal::UnknownWindow));
}

#[test]
fn a_window_due_while_another_site_is_away_is_held_then_goes_on_with_a_whole_lead_or_not_at_all() {
    let at = |m: u64| T0 + m * MIN;
    let mut calendar = with_x(T0 + HOUR);
    // Its own site's loss is no reason.
    assert_eq!(tick(&mut calendar.clone(), T0, "w1"), Draining);
    assert_eq!(tick(&mut calendar, T0, "e1"), Held);
    assert_eq!(calendar.get("x").and_then(|x| x.why.clone()), Some(Refusal::Away("e1".to_owned())));
    assert_eq!(tick(&mut calendar, at(1), "e1"), Held);
    assert_eq!((tick(&mut calendar, at(12), ""), calendar.sites(at(12)).len()), (Draining, 1));
    let resumed = calendar.get("x").expect("kept").steps - 1;
    assert_eq!(tick(&mut calendar, at(13), "e1"), Held);
    // The step of the first return, arriving again.
    let again = Step { id: "x".to_owned(), after: resumed, from: Held, to: Draining, why: None };
    assert_eq!(calendar.advance(&again, at(14)), Err(Refusal::Stale));
    assert_eq!(tick(&mut calendar, at(15), ""), Draining);
    let start = calendar.get("x").expect("kept").start;
    assert!((at(24)..=at(25)).contains(&start), "{start}");
    // Once active it stays so: machines are open.
    assert_eq!(tick(&mut calendar, start, ""), Active);
    assert_eq!(tick(&mut calendar, start + 30 * MIN - 1, "e1"), Active);
    assert_eq!(tick(&mut calendar, start + 30 * MIN, "e1"), Ended);
    assert_eq!(told(&calendar), [Planned, Held, Draining, Held, Draining, Active, Ended]);
    // Away for too long, or the service itself: cancelled, from each state before Active.
    let mut calendar = with_x(T0 + HOUR);
    assert_eq!(tick(&mut calendar, T0, "e1"), Held);
    assert_eq!(tick(&mut calendar, at(25), "e1"), Cancelled);
    assert_eq!(calendar.get("x").and_then(|x| x.why.clone()), Some(Refusal::NoTime));
    assert_eq!(tick(&mut with_x(T0 + HOUR), at(50), ""), Cancelled);
    let mut calendar = with_x(T0 + HOUR);
    assert_eq!((tick(&mut calendar, T0, ""), tick(&mut calendar, at(50), "")), (Draining, Cancelled));
}

#[test]
fn of_two_windows_due_at_once_one_goes_and_the_other_is_held_until_it_is_over() {
    let mut calendar = Calendar::default();
    for (id, site) in [("x", "w1"), ("y", "e1")] {
        // Granted where two may be out; then only one.
        let day = ask(id, site, T0, T0 + 24 * HOUR);
        assert_eq!(plan(&mut calendar, &day, &limits(2), &Profile::default()), Ok(T0 + 10 * MIN));
    }
    let y = |calendar: &Calendar| calendar.get("y").expect("kept").state;
    assert_eq!((tick(&mut calendar, T0, ""), y(&calendar)), (Draining, Held));
    assert_eq!((tick(&mut calendar, T0 + 10 * MIN, ""), y(&calendar)), (Active, Held));
    // Overrun: the first is extended, by one answer to a call made twice, and within the limits.
    let end = calendar.get("x").map(|x| x.end);
    let mut extend = |by, end, profile: &Profile| calendar.extend("x", by, end, T0, &limits(1), profile);
    assert_eq!(extend(HOUR, end, &profile(&[161.0; 9])), Err(Refusal::Capacity { peak: 161, left: 160 }));
    assert_eq!(extend(8 * 24 * HOUR, end, &Profile::default()), Err(Refusal::Malformed(Field::By)));
    assert_eq!(extend(HOUR, end, &Profile::default()), Ok(()));
    assert_eq!(extend(HOUR, end, &Profile::default()), Err(Refusal::Moved(T0 + 100 * MIN)));
    assert_eq!((tick(&mut calendar, T0 + 99 * MIN, ""), y(&calendar)), (Active, Held));
    // Over before its end; a window not begun is cancelled, and neither is so twice.
    assert_eq!(calendar.cancel("x", T0 + 99 * MIN), Ok(()));
    assert_eq!((tick(&mut calendar, T0 + 99 * MIN, "w1"), y(&calendar)), (Ended, Held));
    assert_eq!((tick(&mut calendar, T0 + 100 * MIN, ""), y(&calendar)), (Ended, Draining));
    assert_eq!((calendar.cancel("y", T0), y(&calendar)), (Ok(()), Cancelled));
    let before = calendar.clone();
    assert_eq!((calendar.cancel("y", T0), calendar.cancel("z", T0)), (Ok(()), Err(Refusal::UnknownWindow)));
    assert_eq!(
        calendar.extend("y", HOUR, None, T0, &limits(1), &Profile::default()),
        Err(Refusal::NotUnderWay)
    );
    assert_eq!(calendar, before);
}

#[test]
fn so_many_are_open_at_most_and_of_those_over_the_oldest_are_forgotten() {
    let mut calendar = Calendar::default();
    let day = |n: usize| T0 + n as u64 * 24 * HOUR;
    let mut add = |n: usize| {
        let request = ask(&n.to_string(), "w1", day(n), day(n + 1));
        let planned = plan(&mut calendar, &request, &limits(1), &Profile::default());
        (planned.map(|_| ()), calendar.windows().count())
    };
    (0..MAX_OPEN).for_each(|n| assert_eq!(add(n), (Ok(()), n + 1)));
    assert_eq!(add(MAX_OPEN), (Err(Refusal::Full(MAX_OPEN)), MAX_OPEN));
    for n in 0..MAX_OVER + 1 {
        assert_eq!(calendar.cancel(&n.to_string(), T0 + n as u64), Ok(()));
    }
    let request = ask("z", "w1", day(0), day(1));
    assert!(plan(&mut calendar, &request, &limits(1), &Profile::default()).is_ok());
    assert!(calendar.get("0").is_none() && calendar.get("1").is_some());
}
