//! Owns the decisions: turns what happens into the module's events, carries its actions out in order, and is
//! the one place that knows who is still owed an answer.

use crate::bodies::RequestBody;
use crate::config::Config;
use crate::handle::{Answer, Handle, Happening, Inbound, Shutdown};
use crate::list::News;
use crate::starts::Starts;
use crate::system::{is_late, read_all_that_has_come};
use crate::upstream::{Outbound, Served, Step, Target, Terms, Upstreams};
use micapier::Balancer;
use micapier::api::*;
use micapier::fleet::tally::Tally;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

/// Kept back of a client's time: the answer has to be written and read within it. The module gets what is left
/// after twice this; if it is silent then, the request is answered after once this.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// The same note is logged again after so long.
const LOG_AGAIN: Duration = Duration::from_secs(10);

/// An attempt, as it was sent.
struct Flight {
    /// When it was sent, or, with a body that is not held, when that had gone out.
    sent: Instant,
    /// How to stop it while it is out.
    out: Option<AbortHandle>,
    zone: u16,
    /// Its answer has begun, and has been counted.
    counted: bool,
}

struct Owed {
    outbound: Arc<Outbound>,
    class: usize,
    tenant: Option<u16>,
    /// When it came, as far as it had been read as it was taken.
    came_at: Instant,
    /// How long the client waits from its last byte on, and until when it is answered; `None` while that byte is
    /// still to come.
    budget: Duration,
    answer_by: Option<Instant>,
    /// Until when it is answered however long its body takes: the process may be killed then.
    at_the_latest: Option<Instant>,
    /// Gone once the client has its answer or has left.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Flight>,
}

impl Owed {
    /// From now on nothing is owed, and nothing more begins for it.
    fn settle(&mut self) -> Option<oneshot::Sender<Answer>> {
        self.outbound.end.settle();
        self.answer.take()
    }

    /// May its last byte have come, or be still to come, after that time?
    fn may_end_after(&self, at: Instant) -> bool {
        match &self.outbound.body {
            RequestBody::Held(_) => self.came_at > at,
            RequestBody::Open(upload) => !upload.is_whole() || upload.writing_at() > at,
        }
    }

    /// It is answered by then at the latest, however long its body takes.
    fn bound(&mut self, latest: Instant) {
        self.at_the_latest = Some(latest);
        self.answer_by = Some(self.answer_by.map_or(latest, |by| by.min(latest)));
    }

    /// What the module is told of it as an attempt ends.
    fn progress(&self) -> Progress {
        if self.answer.is_none() {
            Progress::Ended
        } else if self.outbound.end.lets_begin() {
            Progress::Owed
        } else {
            Progress::OwedNoAttempt
        }
    }

    /// Is it unanswered, and has its client not left either, as far as is known?
    fn is_wanted(&self) -> bool {
        self.answer.as_ref().is_some_and(|to| !to.is_closed())
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(TimerId),
    Backstop(RequestId),
    PlanEnd,
    /// What would outlast an ending process is sent elsewhere.
    LeaveHung,
}

/// What a sidecar that is part of a fleet keeps for its control plane. Both sides hand over by messages, so that
/// requests never wait for it.
struct Part {
    tally: Tally,
    /// By the list.
    zones: HashMap<ServerId, u16>,
    /// Told when a zone newly looks dark.
    dark: Arc<Notify>,
    /// When the plan ceases to act.
    plan_ends: Instant,
}

pub struct Driver {
    balancer: Balancer,
    /// The clock is Unix time at the start, and runs on evenly from there: list entries carry Unix times.
    started: (Instant, Duration),
    from: mpsc::UnboundedReceiver<Happening>,
    handle: Handle,
    requests: HashMap<RequestId, Owed>,
    timers: BinaryHeap<Reverse<(Instant, Due)>>,
    servers: HashMap<ServerId, Arc<Target>>,
    starts: Starts,
    banned: HashSet<ServerId>,
    upstreams: Upstreams,
    subscribe: Arc<Notify>,
    config: Arc<Config>,
    actions: Vec<Action>,
    logged: Option<(Note, Instant)>,
    part: Option<Part>,
    /// The process ends, and has to have answered by then.
    ending_by: Option<Instant>,
}

/// What the wall clock says; it may step.
fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Driver {
    /// `dark` is told when a zone newly looks dark, where the sidecar is part of a fleet.
    pub fn new(
        config: Arc<Config>, upstreams: Upstreams, subscribe: Arc<Notify>, dark: Option<Arc<Notify>>,
    ) -> (Driver, Handle) {
        let (handle, from) = Handle::new();
        let unix = unix_time();
        let driver = Driver {
            balancer: Balancer::new(config.settings.clone(), config.seed),
            started: (Instant::now(), unix),
            from,
            handle: handle.clone(),
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            servers: HashMap::new(),
            starts: Starts::default(),
            banned: HashSet::new(),
            upstreams,
            subscribe,
            config,
            actions: Vec::new(),
            logged: None,
            ending_by: None,
            part: dark.map(|dark| {
                let (tally, zones) = Default::default();
                Part { tally, zones, dark, plan_ends: Instant::now() }
            }),
        };
        (driver, handle)
    }

    /// The list as it was last had, then whatever happens. Beside a predecessor this process is not ready before
    /// discovery has spoken: by then it knows what the other does.
    pub async fn run(mut self, known: Option<News>, beside: bool) {
        let lines = known.map_or(Vec::new(), |known| self.take_over(known).1);
        let cached = if beside { ListNews::Inherited(lines) } else { ListNews::Cached(lines) };
        self.handle.set_told(!beside);
        self.handle_event(Event::List(cached));
        loop {
            // Guards against taking for hung what has answered while the process was held up.
            if self.first_due().is_some_and(is_late) {
                read_all_that_has_come().await;
            }
            self.fire();
            let next = self.first_due();
            let due = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                happening = self.from.recv() => {
                    let Some(happening) = happening else { return };
                    self.happen(happening);
                }
                () = due => {}
            }
        }
    }

    fn first_due(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Guards against holding to be late, or hung, what has been told of and only not heard yet.
    fn fire(&mut self) {
        let now = Instant::now();
        let is_due = self.first_due().is_some_and(|at| at <= now);
        let told = if is_due { self.from.len() } else { 0 };
        for _ in 0..told {
            if let Ok(happening) = self.from.try_recv() {
                self.happen(happening);
            }
        }
        while self.first_due().is_some_and(|at| at <= now) {
            match self.timers.pop() {
                Some(Reverse((_, Due::Module(timer)))) => self.handle_event(Event::Timer(timer)),
                Some(Reverse((_, Due::Backstop(id)))) => self.backstop(id),
                Some(Reverse((_, Due::PlanEnd))) => self.end_plan(),
                Some(Reverse((_, Due::LeaveHung))) => self.leave_hung(),
                None => return,
            }
        }
    }

    /// Guards against a request that the module has lost sight of: its client is told that it failed.
    fn backstop(&mut self, id: RequestId) {
        let Some(owed) = self.requests.get_mut(&id) else { return };
        // A client's time runs from its last byte, also while nothing of its body has been read yet.
        if let (RequestBody::Open(upload), Some(by)) = (&owed.outbound.body, &mut owed.answer_by) {
            let runs_until = upload.writing_at() + owed.budget.saturating_sub(ANSWER_MARGIN);
            let runs_until = owed.at_the_latest.map_or(runs_until, |latest| runs_until.min(latest));
            if runs_until > *by {
                *by = runs_until;
                return self.timers.push(Reverse((runs_until, Due::Backstop(id))));
            }
        }
        let over =
            |owed: &Owed| owed.answer.is_some() && owed.answer_by.is_some_and(|by| by <= Instant::now());
        if self.requests.get(&id).is_some_and(over) {
            tracing::warn!("a request was left without an answer");
            self.answer(id, Answer::Failed);
            self.handle_event(Event::HungUp(id));
            self.forget(id);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Request(id, inbound, answer) => self.accept(id, *inbound, answer),
            Happening::HungUp(id) => {
                let owed = self.requests.get_mut(&id).and_then(Owed::settle);
                if owed.is_some() {
                    tracing::debug!(request = id.0, "client left");
                    self.handle_event(Event::HungUp(id));
                    self.forget(id);
                }
            }
            Happening::Attempt(id, attempt, step) => self.step(id, attempt, step),
            Happening::Probed(server, outcome, held) => {
                self.handle_event(Event::Probed { server, outcome, held });
            }
            Happening::List(news) => {
                self.handle.set_told(true);
                let (complete, lines) = self.take_over(news);
                if complete || !lines.is_empty() {
                    let news = if complete { ListNews::Full(lines) } else { ListNews::Delta(lines) };
                    self.handle_event(Event::List(news));
                }
            }
            Happening::ListFailed => {
                self.handle.set_told(true);
                self.handle_event(Event::List(ListNews::Failed));
            }
            // Whoever asked may have left.
            Happening::Hosts(to) => drop(to.send(self.balancer.hosts())),
            Happening::Lists(server, to) => drop(to.send(self.balancer.lists(server))),
            Happening::Banned(servers, to) => {
                self.ban(servers);
                let _ = to.send(());
            }
            Happening::Ending(shutdown) => self.end(shutdown),
            Happening::Plan(route, ends) => {
                if let Some(part) = &mut self.part {
                    part.plan_ends = ends;
                    self.timers.push(Reverse((ends, Due::PlanEnd)));
                    self.handle_event(Event::Plan(Some(route)));
                }
            }
            Happening::Counts(to) => {
                drop(to.send(self.part.as_mut().map_or_else(Tally::default, |part| part.tally.take())));
            }
        }
    }

    /// A plan ends by this clock, whatever has become of the thread that told of it: from then on the module judges
    /// alone, until the next one.
    fn end_plan(&mut self) {
        if self.part.as_ref().is_some_and(|part| part.plan_ends <= Instant::now()) {
            self.handle_event(Event::Plan(None));
        }
    }

    /// The process ends. Guards against requests that SIGKILL finds unanswered: their bodies were on their way at SIGTERM, and
    /// the time of a client runs from its last byte.
    fn end(&mut self, shutdown: Shutdown) {
        let (now, latest) = (Instant::now(), shutdown.answer_by);
        self.ending_by = Some(latest);
        let half = latest.saturating_duration_since(now) / 2;
        self.timers.push(Reverse((now + half, Due::LeaveHung)));
        for (id, owed) in &mut self.requests {
            if owed.may_end_after(shutdown.owed_after) {
                owed.bound(latest);
                self.timers.push(Reverse((latest, Due::Backstop(*id))));
            }
        }
    }

    /// Gives up attempts that have been out for longer than an answer is to take, for requests that always may be sent
    /// again and would outlast the process. Half of its time is left for the next attempt.
    fn leave_hung(&mut self) {
        let Some(ending_by) = self.ending_by else { return };
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            while let Some(attempt) = self.hung_attempt(id, ending_by) {
                let Some(flight) = self.requests.get_mut(&id).map(|owed| &mut owed.attempts[attempt]) else {
                    break;
                };
                let took = flight.sent.elapsed();
                flight.out.take().into_iter().for_each(|out| out.abort());
                tracing::info!(request = id.0, attempt, ?took, "attempt given up: the process ends");
                let outcome = Outcome::Timeout;
                self.count_outcome(id, attempt, outcome, took);
                let progress = self.requests.get(&id).map_or(Progress::Ended, Owed::progress);
                self.handle_event(Event::Outcome { id, attempt, outcome, took, progress });
            }
        }
    }

    /// An attempt of this request that is given up as the process ends.
    fn hung_attempt(&self, id: RequestId, ending_by: Instant) -> Option<usize> {
        let owed = self.requests.get(&id)?;
        let class = self.config.settings.classes.get(owed.class)?;
        let may_go_elsewhere = class.idempotency == Idempotency::Idempotent
            && matches!(owed.outbound.body, RequestBody::Held(_))
            && owed.is_wanted();
        let outlasts = owed.answer_by.is_some_and(|by| by > ending_by);
        if !may_go_elsewhere || !outlasts {
            return None;
        }
        owed.attempts.iter().position(|flight| flight.out.is_some() && flight.sent.elapsed() >= class.aim)
    }

    fn accept(&mut self, id: RequestId, inbound: Inbound, answer: oneshot::Sender<Answer>) {
        let ends = inbound.since + inbound.budget;
        let now = Instant::now();
        let (outbound, budget) = (Arc::new(inbound.outbound), inbound.budget);
        let by = ends.checked_sub(ANSWER_MARGIN).unwrap_or(now);
        let (answer, answer_by, attempts) = (Some(answer), Some(by), Vec::new());
        let Inbound { class, tenant, cost, origin, since: came_at, answer_by: at_the_latest, .. } = inbound;
        let call = outbound.headers.get("x-call-id");
        let unread = now.saturating_duration_since(inbound.since);
        tracing::debug!(request = id.0, ?call, class, ?budget, ?by, ?unread, "taken");
        let owed =
            Owed { outbound, class, tenant, came_at, budget, answer_by, at_the_latest, answer, attempts };
        self.requests.insert(id, owed);
        self.timers.push(Reverse((by, Due::Backstop(id))));
        self.timers.extend(at_the_latest.map(|by| Reverse((by, Due::Backstop(id)))));
        let patience = ends.saturating_duration_since(now).saturating_sub(2 * ANSWER_MARGIN);
        let turned_away = self.balancer.turned_away();
        let counted = self.part.as_mut().filter(|_| origin == Origin::Fresh);
        if let Some(part) = counted {
            part.tally.note_request(tenant, class, cost.map(|cost| cost.as_secs_f64() * 1e3));
        }
        self.handle_event_of(now, Event::Request(Arrival { id, class, cost, patience, origin, tenant }));
        let refused = origin == Origin::Fresh && self.balancer.turned_away() > turned_away;
        if let Some(part) = self.part.as_mut().filter(|_| refused) {
            part.tally.note_refused(tenant, class);
        }
    }

    fn step(&mut self, id: RequestId, attempt: usize, step: Step) {
        let Some(owed) = self.requests.get_mut(&id) else { return };
        let Some(flight) = owed.attempts.get_mut(attempt).filter(|flight| flight.out.is_some()) else {
            return;
        };
        match step {
            Step::Uploading => {
                owed.answer_by = owed.at_the_latest;
                self.handle_event(Event::Uploading { id, attempt });
            }
            Step::Uploaded => {
                flight.sent = Instant::now();
                let by = flight.sent + owed.budget.saturating_sub(ANSWER_MARGIN);
                let by = owed.at_the_latest.map_or(by, |latest| by.min(latest));
                owed.answer_by = Some(by);
                self.timers.push(Reverse((by, Due::Backstop(id))));
                self.handle_event(Event::Uploaded { id, attempt });
            }
            Step::Started(passing) => {
                let took = flight.sent.elapsed();
                self.count_outcome(id, attempt, Outcome::Ok, took);
                self.answer(id, Answer::Streamed(passing));
                self.handle_event(Event::StreamStarted { id, attempt, took });
            }
            Step::Ended(outcome, served) => self.attempt_ended(id, attempt, outcome, served),
        }
    }

    fn attempt_ended(&mut self, id: RequestId, attempt: usize, outcome: Outcome, served: Served) {
        let Some(owed) = self.requests.get_mut(&id) else { return };
        let Some(flight) = owed.attempts.get_mut(attempt) else { return };
        // Guards against the late outcome of an attempt that was cancelled: it has had its own.
        if flight.out.take().is_none() {
            return;
        }
        let took = flight.sent.elapsed();
        tracing::debug!(request = id.0, attempt, ?outcome, ?took, "attempt ended");
        self.count_outcome(id, attempt, outcome, took);
        if outcome == Outcome::Ok {
            self.answer(id, Answer::Served(served));
        }
        let progress = self.requests.get(&id).map_or(Progress::Ended, Owed::progress);
        self.handle_event(Event::Outcome { id, attempt, outcome, took, progress });
        self.forget(id);
    }

    /// Counts how an attempt ended, or that its answer has begun, once.
    fn count_outcome(&mut self, id: RequestId, attempt: usize, outcome: Outcome, took: Duration) {
        let (Some(part), Some(owed)) = (&mut self.part, self.requests.get_mut(&id)) else { return };
        let whose = (owed.tenant, owed.class);
        let Some(flight) = owed.attempts.get_mut(attempt) else { return };
        if std::mem::replace(&mut flight.counted, true) {
            return;
        }
        part.tally.note_outcome(flight.zone, whose, outcome, took.as_secs_f64() * 1e3);
        if outcome != Outcome::Ok && part.tally.turned_dark() {
            part.dark.notify_one();
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(to) = self.requests.get_mut(&id).and_then(Owed::settle) {
            tracing::debug!(request = id.0, answer = answer.name(), "answered");
            // A client that has just left needs none.
            drop(to.send(answer));
        }
    }

    /// A request goes once it is answered and nothing is out for it.
    fn forget(&mut self, id: RequestId) {
        let over = |owed: &Owed| owed.answer.is_none() && owed.attempts.iter().all(|a| a.out.is_none());
        if self.requests.get(&id).is_some_and(over) {
            self.requests.remove(&id);
        }
    }

    /// On the module's clock: Unix time at the start of the process, and even from there.
    fn module_time(&self, at: Instant) -> Duration {
        let (started, unix) = self.started;
        unix + at.saturating_duration_since(started)
    }

    /// Tells the module one event and carries out what it says; what that causes at once comes after.
    fn handle_event(&mut self, event: Event) {
        self.handle_event_of(Instant::now(), event);
    }

    /// The same for an event whose spans count from then; so do those in its actions, whenever they are carried out.
    fn handle_event_of(&mut self, at: Instant, event: Event) {
        let mut events = VecDeque::from([(at, event)]);
        while let Some((at, event)) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(self.module_time(at), event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.act(at, action).map(|event| (Instant::now(), event)));
            }
            self.actions = actions;
        }
    }

    /// Carries out one action that was decided on then; some end in an event of their own at once.
    fn act(&mut self, at: Instant, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, server, timeout } => return self.send(at, id, server, timeout),
            Action::Refuse { id, retry_after } => {
                self.answer(id, Answer::Refused(retry_after));
                self.forget(id);
            }
            Action::Fail(id) => {
                self.answer(id, Answer::Failed);
                self.forget(id);
            }
            Action::Cancel { id, attempt } => {
                let owed = self.requests.get_mut(&id)?;
                let flight = owed.attempts.get_mut(attempt)?;
                flight.out.take()?.abort();
                let took = flight.sent.elapsed();
                tracing::debug!(request = id.0, attempt, ?took, "attempt cancelled");
                let progress = owed.progress();
                // A request that a silent site sits on is served elsewhere long before its attempt there times out.
                let aim =
                    self.config.settings.classes.get(owed.class).map_or(Duration::MAX, |class| class.aim);
                let seen = if took >= aim { Outcome::Timeout } else { Outcome::Cancelled };
                self.count_outcome(id, attempt, seen, took);
                self.forget(id);
                return Some(Event::Outcome { id, attempt, outcome: Outcome::Cancelled, took, progress });
            }
            Action::SetTimer { timer, after } => {
                self.timers.push(Reverse((at + after, Due::Module(timer))));
            }
            Action::Probe(server) => {
                let Some(target) = self.servers.get(&server).cloned() else {
                    return Some(Event::Probed { server, outcome: Outcome::Moot, held: None });
                };
                let (upstreams, handle, config) =
                    (self.upstreams.clone(), self.handle.clone(), self.config.clone());
                tokio::spawn(async move {
                    // The module waits for it as long as it likes; this only ends what no one waits for.
                    let by = Instant::now() + config.surroundings.connect_timeout;
                    let name = config.surroundings.held_name.as_deref();
                    let (outcome, held) = upstreams.probe(target, by, name).await;
                    handle.tell(Happening::Probed(server, outcome, held));
                });
            }
            Action::Subscribe => self.subscribe.notify_one(),
            Action::Log(note) => self.log(note),
        }
        None
    }

    /// Guards against a log that an overload fills with one line.
    fn log(&mut self, note: Note) {
        let again = |(last, at): (Note, Instant)| last == note && at.elapsed() < LOG_AGAIN;
        if !self.logged.is_some_and(again) {
            let server = match note {
                Note::Ejected(server) | Note::Readmitted(server) => self.servers.get(&server),
                _ => None,
            };
            let addr = server.map(|target| tracing::field::display(target.addr));
            tracing::warn!(addr, requests = self.requests.len(), "{note}");
            self.logged = Some((note, Instant::now()));
        }
    }

    fn send(&mut self, at: Instant, id: RequestId, server: ServerId, timeout: Duration) -> Option<Event> {
        let owed = self.requests.get_mut(&id)?;
        let attempt = owed.attempts.len();
        // Guards against sends after the end, also one that is still to be told, for a client that may have left, and
        // to an upstream that the list has taken back.
        let begins = owed.is_wanted() && owed.outbound.end.lets_begin();
        let target = self.servers.get(&server).filter(|_| begins).cloned();
        let Some(target) = target else {
            tracing::debug!(request = id.0, attempt, server = server.0, begins, "attempt not begun");
            owed.attempts.push(Flight { sent: at, out: None, zone: u16::MAX, counted: false });
            let progress = if owed.is_wanted() { owed.progress() } else { Progress::Ended };
            let (outcome, took) = (Outcome::Moot, Duration::ZERO);
            return Some(Event::Outcome { id, attempt, outcome, took, progress });
        };
        tracing::debug!(request = id.0, attempt, server = server.0, addr = %target.addr, ?timeout, "attempt");
        let handle = self.handle.clone();
        let report = Arc::new(move |step| handle.tell(Happening::Attempt(id, attempt, step)));
        let zone = self.part.as_ref().and_then(|part| part.zones.get(&server)).copied().unwrap_or(u16::MAX);
        let (start, origin) = self.started;
        let begin_by = self.balancer.begins_by(id).map(|by| start + by.saturating_sub(origin));
        let terms = Terms { since: at, timeout, begin_by };
        let task = self.upstreams.clone().attempt(target, owed.outbound.clone(), terms, report);
        let out = Some(tokio::spawn(task).abort_handle());
        let is_open = matches!(owed.outbound.body, RequestBody::Open(_));
        owed.attempts.push(Flight { sent: at, out, zone, counted: false });
        if let Some(part) = &mut self.part {
            part.tally.note_sent(zone, owed.tenant);
        }
        // Guards against long bodies that wait for one another's connections: an end of their clients may be hidden, so that
        // they have to begin soon.
        is_open.then_some(Event::Connecting { id, attempt })
    }

    /// Brings the addresses up to date; the lines go on to the module.
    fn take_over(&mut self, mut news: News) -> (bool, Vec<Listed>) {
        self.place_starts(&mut news);
        if let Some(part) = &mut self.part {
            if news.complete {
                part.zones.clear();
            }
            for (line, _) in &news.members {
                match line.availability {
                    Availability::Gone => drop(part.zones.remove(&line.server)),
                    _ => drop(part.zones.insert(line.server, line.zone)),
                }
            }
        }
        let mut named = HashSet::new();
        for (line, addr) in &news.members {
            let ready = line.availability == Availability::Ready;
            named.insert(line.server);
            let known = self.servers.get(&line.server);
            if known.is_some_and(|target| ready && target.addr == *addr) {
                continue;
            }
            let open = AtomicBool::new(!self.banned.contains(&line.server));
            let new = ready.then(|| Arc::new(Target { addr: *addr, open }));
            self.close(line.server);
            self.servers.extend(new.map(|target| (line.server, target)));
        }
        if news.complete {
            let left: Vec<ServerId> = self.servers.keys().filter(|id| !named.contains(id)).copied().collect();
            left.into_iter().for_each(|id| self.close(id));
        }
        // Guards against a connection to the process before a restart. It may have left without a word, and what is
        // written there would end as a reset, and might have run.
        let (start, origin) = self.started;
        let since = |line: &Listed| start.checked_add(line.started?.saturating_sub(origin));
        let starts = news.members.iter().filter_map(|(line, addr)| Some((*addr, since(line)?)));
        self.close_unused(&starts.collect());
        self.handle.set_ready(!self.servers.is_empty());
        (news.complete, news.members.into_iter().map(|(line, _)| line).collect())
    }

    /// Puts the starts that a list tells in Unix time on the clock of the process.
    fn place_starts(&mut self, news: &mut News) {
        let (wall, now) = (unix_time(), self.module_time(Instant::now()));
        for (line, _) in &mut news.members {
            line.started = line.started.map(|told| self.starts.place(line.server, told, wall, now));
        }
        if news.complete {
            let named: HashSet<_> = news.members.iter().map(|(line, _)| line.server).collect();
            self.starts.retain(|server| named.contains(&server));
        }
        for (line, _) in &news.members {
            if line.availability == Availability::Gone {
                self.starts.remove(line.server);
            }
        }
    }

    /// Closes what is kept to upstreams that nothing new goes to, or that have started since it was opened.
    fn close_unused(&self, starts: &HashMap<SocketAddr, Instant>) {
        let open = self.servers.values().filter(|target| target.open.load(Ordering::Relaxed));
        let used: HashSet<_> = open.map(|target| target.addr).collect();
        let serves = |addr: &SocketAddr, opened| starts.get(addr).is_none_or(|start| *start <= opened);
        self.upstreams.retain(|addr, opened| used.contains(addr) && serves(addr, opened));
    }

    /// Nothing new goes to these, also of what waits for a connection; others are open again.
    fn ban(&mut self, servers: Vec<ServerId>) {
        self.banned = servers.iter().copied().collect();
        for (id, target) in &mut self.servers {
            let open = target.open.load(Ordering::Relaxed);
            if self.banned.contains(id) {
                target.open.store(false, Ordering::Relaxed);
            } else if !open {
                *target = Arc::new(Target { addr: target.addr, open: AtomicBool::new(true) });
            }
        }
        self.close_unused(&HashMap::new());
        self.handle_event(Event::Banned(servers));
    }

    /// Nothing new goes there, also of what waits for a connection.
    fn close(&mut self, server: ServerId) {
        if let Some(target) = self.servers.remove(&server) {
            target.open.store(false, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::budget::Budget;
    use crate::metrics::Metrics;
    use crate::pool::ConnectionPool;
    use crate::upstream::tests::read;
    use bytes::Bytes;
    use hyper::{HeaderMap, Method, Uri};
    use micapier::staleness::{DEADLINE_SLACK, DECISION_HOLDS, ORDINARY_GAP};
    use std::future::poll_fn;
    use std::pin::Pin;
    use std::task::Poll;
    use tokio::net::TcpListener;

    fn inbound(uri: &'static str, budget: Duration) -> Inbound {
        let outbound = Outbound {
            method: Method::POST,
            uri: Uri::from_static(uri),
            headers: HeaderMap::new(),
            body: RequestBody::Held(Bytes::new()),
            end: crate::leaving::RequestEnd::never(),
        };
        let (cost, tenant, origin, since) = (None, None, Origin::Fresh, Instant::now());
        Inbound { outbound, class: 0, tenant, cost, origin, budget, since, answer_by: None }
    }

    async fn once(future: &mut Pin<Box<impl Future>>) {
        poll_fn(|context| Poll::Ready(future.as_mut().poll(context).is_ready())).await;
    }

    /// A whole list of one upstream, up since then.
    fn listed(config: &Config, addr: SocketAddr, since: Duration) -> Option<News> {
        let member = serde_json::json!({"id": "s", "host_port": addr.to_string(), "phase": "Ready", "cell": 0,
            "up_since_ms": since.as_secs_f64() * 1e3});
        let list = serde_json::json!({"revision": 1, "complete": true, "members": [member]});
        crate::list::read(&list, &config.surroundings).ok()
    }

    fn upstreams(most: usize, timeout: Duration, budget: usize) -> Upstreams {
        let pool = ConnectionPool::new(most, timeout, timeout);
        Upstreams::new(pool, Metrics::new(&[]), Budget::new(budget))
    }

    /// Guards against a deadline that is too long: a request may have lain unread for an ordinary gap, and its attempt be
    /// written as long after it was decided on as a decision holds.
    #[test]
    fn what_delays_add_to_a_deadline_stays_within_its_slack() {
        assert!(ORDINARY_GAP + DECISION_HOLDS <= DEADLINE_SLACK + 2 * ANSWER_MARGIN);
    }

    #[tokio::test]
    async fn what_is_kept_to_a_process_before_its_restart_is_not_used_again() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let config = Arc::new(Config::read(crate::config::tests::JSON, |_| None).expect("readable"));
        let long = Duration::from_secs(30);
        let upstreams = upstreams(4, long, 0);
        let (mut driver, _handle) =
            Driver::new(config.clone(), upstreams.clone(), Arc::new(Notify::new()), None);
        let (told, mut heard) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            for number in 0.. {
                let (stream, _) = listener.accept().await.expect("a connection");
                let told = told.clone();
                tokio::spawn(async move {
                    while !read(&stream).await.is_empty() {
                        told.send(number).expect("heard");
                        stream.try_write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("written");
                    }
                });
            }
        });
        let (from, origin) = driver.started;
        for (restarted, connection) in [(false, 0), (false, 0), (true, 1)] {
            let since = if restarted { origin + from.elapsed() } else { origin - long };
            driver.take_over(listed(&config, addr, since).expect("a list"));
            let target = driver.servers[&crate::list::server_id("s")].clone();
            let (outcome, _) = upstreams.clone().probe(target, Instant::now() + long, None).await;
            assert_eq!((outcome, heard.recv().await), (Outcome::Ok, Some(connection)));
        }
    }

    #[tokio::test]
    async fn nothing_begins_for_a_client_that_left_while_its_attempt_waited_for_a_connection() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let text = crate::config::tests::JSON.replace("\"cancel\":true", "\"cancel\":false");
        let config = Arc::new(Config::read(&text, |_| None).expect("readable"));
        let long = Duration::from_secs(30);
        let upstreams = upstreams(4, long, 0);
        let (driver, handle) = Driver::new(config.clone(), upstreams, Arc::new(Notify::new()), None);
        let known = listed(&config, addr, Duration::ZERO);
        let mut driver = Box::pin(driver.run(known, false));
        // The driver hears of both in one go, or of the first alone; the attempt runs after both.
        for at_once in [true, false] {
            let mut left = Box::pin(handle.ask(inbound("/left", long)));
            once(&mut left).await;
            if !at_once {
                once(&mut driver).await;
            }
            drop(left);
            once(&mut driver).await;
        }
        tokio::spawn(driver);
        let (told, mut heard) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let told = told.clone();
                tokio::spawn(async move { told.send(read(&stream).await) });
            }
        });
        tokio::select! {
            _ = handle.ask(inbound("/stays", long)) => panic!("unanswered"),
            heard = heard.recv() => assert!(heard.expect("a request").starts_with("POST /stays")),
        }
    }

    /// Guards against a deadline passed on that is too long by the time for which the process was held up as it decided.
    #[tokio::test(start_paused = true)]
    async fn the_time_of_an_attempt_runs_from_when_it_was_decided_on() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let config = Arc::new(Config::read(crate::config::tests::JSON, |_| None).expect("readable"));
        let long = Duration::from_secs(30);
        let upstreams = upstreams(4, long, 0);
        let (mut driver, _handle) = Driver::new(config.clone(), upstreams, Arc::new(Notify::new()), None);
        driver.take_over(listed(&config, addr, Duration::ZERO).expect("a list"));
        let (to, _answer) = oneshot::channel();
        let (id, server) = (RequestId(0), crate::list::server_id("s"));
        driver.accept(id, inbound("/api", long), to);
        let (decided_at, held_up) = (Instant::now(), Duration::from_secs(4));
        tokio::time::advance(held_up).await;
        driver.act(decided_at, Action::Send { id, server, timeout: Duration::from_secs(9) });
        let (stream, _) = listener.accept().await.expect("a connection");
        let request = read(&stream).await.to_lowercase();
        let passed_on = request.lines().find_map(|line| line.strip_prefix("x-budget: ")?.parse().ok());
        let passed_on: f64 = passed_on.expect("a time");
        assert!(passed_on <= 5.0, "{passed_on} s of 9 s after 4 s");
    }

    #[tokio::test(start_paused = true)]
    async fn an_answer_that_has_been_told_comes_before_what_falls_due_until_it_is_heard() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let config = Arc::new(Config::read(crate::config::tests::JSON, |_| None).expect("readable"));
        let (budget, long) = (Duration::from_secs(1), Duration::from_secs(30));
        let upstreams = upstreams(4, long, 1_024);
        let (driver, handle) = Driver::new(config.clone(), upstreams, Arc::new(Notify::new()), None);
        let mut driver = Box::pin(driver.run(listed(&config, addr, Duration::ZERO), false));
        let mut asked = Box::pin(handle.ask(inbound("/api", budget)));
        once(&mut asked).await;
        once(&mut driver).await;
        let (stream, _) = listener.accept().await.expect("a connection");
        assert!(read(&stream).await.starts_with("POST /api"));
        stream.try_write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("written");
        // The answer is read and told behind something else, while the driver has no turn.
        handle.tell(Happening::ListFailed);
        tokio::time::sleep(budget / 2).await;
        tokio::time::advance(budget).await;
        let answer = tokio::select! {
            answer = asked => answer,
            () = driver => panic!("it has ended"),
        };
        assert!(matches!(answer, Answer::Served(_)));
    }

    #[tokio::test]
    async fn a_request_that_the_module_is_silent_about_is_answered_in_time() {
        let config = Arc::new(Config::read(crate::config::tests::JSON, |_| None).expect("readable"));
        let upstreams = upstreams(1, Duration::ZERO, 0);
        let (mut driver, handle) = Driver::new(config, upstreams, Arc::new(Notify::new()), None);
        // The module holds a request of the same id, and ignores another.
        let (id, patience) = (RequestId(0), Duration::from_secs(3_600));
        let arrival = Arrival { id, class: 0, cost: None, patience, origin: Origin::Fresh, tenant: None };
        driver.balancer.handle(driver.started.1, Event::Request(arrival), &mut Vec::new());
        tokio::spawn(driver.run(None, false));
        let (since, budget) = (Instant::now(), Duration::from_millis(200));
        let answer = tokio::time::timeout(Duration::from_secs(30), handle.ask(inbound("/api", budget))).await;
        assert!(matches!(answer.expect("an answer"), Answer::Failed));
        assert!(since.elapsed() >= budget - ANSWER_MARGIN, "the module had its time");
    }
}
