//! From live reports to a verdict on every site, and to what they say of its answers. Each sidecar has one vote a
//! site whatever its counts are, so that a lying or broken one moves nothing alone.
//!
//! The outside view is that of the sidecars in other sites. Where fewer than two other sites look at a site, its own
//! sidecars join as one more site that looks; so a fleet of two sites loses one only where both sides agree, and a cut
//! between the two is no loss. Where fewer than two sites look in all, there is no verdict, and sidecars go by their
//! own judgement.
//!
//! Most of a site's traffic stays at home, so one sidecar tries another site seldom. Two things make up for it: a
//! sidecar tells of its latest attempts in a row over several reports, and the sidecars of a site that have too few each
//! for a vote have one together.

use super::config::FleetConfig;
use super::report::{Report, Sight, Traffic};
use std::collections::{BTreeMap, BTreeSet};

/// From how many attempts without any answer a sidecar calls a site dark: two can be one server's fall and a repeat.
const DARK_ATTEMPTS: u64 = 3;
/// How many sidecars of a site it takes whose attempts are too few each, where together they are enough: one's own
/// way out may be what is dark.
const POOLED: usize = 2;
/// How many attempts one report weighs at most in [`Answers`]: enough that its percents stay exact, while no
/// sidecar's counts outweigh the rest of the fleet.
const MOST_WEIGHT: u64 = 100;

/// How a site is seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum View {
    /// No quorum for either.
    #[default]
    Unknown,
    /// It answers.
    Lit,
    /// It does not.
    Dark,
}

/// What the live reports say of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The view of a quorum of the other sites.
    pub outside: View,
    /// The view of the most of its own sidecars.
    pub inside: View,
    /// Sidecars of other sites that tried it lately: those that have a vote, and those with too few attempts for one.
    pub witnesses: usize,
    /// Those of them that had no answer since.
    pub dark: usize,
    /// Its own sidecars that had none.
    pub dark_inside: usize,
}

/// What became of attempts to a site, over the whole fleet. A report weighs as 100 attempts at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Answers of any kind.
    pub answered: u64,
    /// Of these, the ones that served.
    pub served: u64,
    /// Attempts without any answer.
    pub dark: u64,
    /// Attempts begun.
    pub sent: u64,
    /// Attempts from other sites that ended, with an answer or without: what goes well within a site that is cut off
    /// must not hide that nothing from outside does.
    pub outside_ended: u64,
    /// Of these, the ones that served.
    pub outside_served: u64,
}

impl Answers {
    /// Attempts that ended, with an answer or without.
    pub fn ended(&self) -> u64 {
        self.answered.saturating_add(self.dark)
    }

    /// Adds what more is known.
    pub fn add(&mut self, more: &Answers) {
        self.answered = self.answered.saturating_add(more.answered);
        self.served = self.served.saturating_add(more.served);
        self.dark = self.dark.saturating_add(more.dark);
        self.sent = self.sent.saturating_add(more.sent);
        self.outside_ended = self.outside_ended.saturating_add(more.outside_ended);
        self.outside_served = self.outside_served.saturating_add(more.outside_served);
    }

    /// The same proportions at [`MOST_WEIGHT`] attempts at most.
    fn bounded(self) -> Answers {
        let (ended, sent) = (self.ended(), self.sent.min(MOST_WEIGHT));
        if ended <= MOST_WEIGHT {
            return Answers { sent, ..self };
        }
        let scale = |count: u64| count.saturating_mul(MOST_WEIGHT) / ended;
        let answered = scale(self.answered);
        Answers { answered, served: scale(self.served), dark: MOST_WEIGHT - answered, sent, ..self }
    }
}

/// The votes of one site's sidecars on a site.
#[derive(Clone, Copy, Default)]
struct Votes {
    lit: usize,
    dark: usize,
    /// Sidecars with attempts without any answer that are too few for a vote, and these attempts.
    few: usize,
    attempts: u64,
}

impl Votes {
    /// Whether those with few attempts are a vote together: as many as one's, by more than one, and none sees it lit.
    fn is_pooled(self) -> bool {
        self.lit == 0 && self.few >= POOLED && self.attempts >= DARK_ATTEMPTS
    }

    fn is_any(self) -> bool {
        self.lit + self.dark > 0 || self.is_pooled()
    }

    fn view(self) -> View {
        if self.is_pooled() {
            return View::Dark;
        }
        match self.dark.cmp(&self.lit) {
            std::cmp::Ordering::Greater => View::Dark,
            std::cmp::Ordering::Less => View::Lit,
            std::cmp::Ordering::Equal => View::Unknown,
        }
    }
}

/// What a report says of each site that the fleet has, over all tenants. A report from a site that it has not says
/// nothing.
fn by_site<'a>(report: &'a Report, config: &FleetConfig) -> BTreeMap<&'a str, Answers> {
    let mut sums: BTreeMap<&str, Answers> = BTreeMap::new();
    let known = config.sites.contains_key(&report.site);
    for line in report.traffic.iter().filter(|line| known && config.sites.contains_key(&line.site)) {
        let Traffic { answered, served, dark, sent, .. } = *line;
        sums.entry(&line.site).or_default().add(&Answers {
            answered,
            served,
            dark,
            sent,
            ..Answers::default()
        });
    }
    sums
}

/// The verdict on every site of the fleet from the live reports, one a sidecar.
pub fn judge<'a>(
    reports: impl Iterator<Item = &'a Report>, config: &FleetConfig,
) -> BTreeMap<String, Verdict> {
    // By the site looked at, then by the site that looks.
    let mut votes: BTreeMap<&str, BTreeMap<&str, Votes>> = BTreeMap::new();
    let reports: Vec<&Report> = reports.filter(|report| config.sites.contains_key(&report.site)).collect();
    // Which sites answered a sidecar of each site last.
    let mut reached: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for report in &reports {
        let lit = report.sights.iter().filter(|(_, sight)| answers_now(sight)).map(|(site, _)| site.as_str());
        reached.entry(report.site.as_str()).or_default().extend(lit);
    }
    for report in reports {
        let (own, seen) = (report.site.as_str(), by_site(report, config));
        let may_accuse = !is_cut_off(own, &seen, report, config);
        let sighted =
            report.sights.keys().map(String::as_str).filter(|site| config.sites.contains_key(*site));
        let sites: BTreeSet<&str> = seen.keys().copied().chain(sighted).collect();
        for site in sites {
            let sum = seen.get(site).copied().unwrap_or_default();
            let sight = report.sights.get(site).copied().unwrap_or_default();
            // Without a sight the counts tell, which don't say what came last.
            let dark = if sum.answered == 0 { sum.dark.max(sight.dark) } else { sight.dark };
            let vote = votes.entry(site).or_default().entry(own).or_default();
            if dark >= DARK_ATTEMPTS && may_accuse {
                vote.dark += 1;
            } else if sum.answered > 0 {
                vote.lit += 1;
            } else if dark > 0 && reached[own].iter().any(|other| *other != own && *other != site) {
                vote.few += 1;
                vote.attempts += dark.min(DARK_ATTEMPTS - 1);
            }
        }
    }
    let none = BTreeMap::new();
    let verdict = |site: &String| (site.clone(), quorum(site, votes.get(site.as_str()).unwrap_or(&none)));
    config.sites.keys().map(verdict).collect()
}

fn answers_now(sight: &Sight) -> bool {
    sight.lit && sight.dark == 0
}

/// Whether a sidecar tried other sites and had no answer from any: then what is dark may be its own way out, and it
/// testifies against none. In a fleet of two sites there is no third to tell by, so that an answer from its own
/// has to do; the quorum there needs the accused site's own sidecars.
fn is_cut_off(own: &str, seen: &BTreeMap<&str, Answers>, report: &Report, config: &FleetConfig) -> bool {
    let lately = |own_site: bool| {
        let known = |site: &String| config.sites.contains_key(site) && (site == own) == own_site;
        report.sights.iter().any(|(site, sight)| answers_now(sight) && known(site))
    };
    if lately(false) {
        return false;
    }
    let any = |own_site: bool, what: fn(&Answers) -> bool| {
        seen.iter().any(|(site, sum)| (*site == own) == own_site && what(sum))
    };
    let tried = any(false, |sum| sum.sent > 0 || sum.ended() > 0);
    let third = config.sites.len() > 2;
    tried && !any(false, |sum| sum.answered > 0) && (third || !any(true, |sum| sum.answered > 0))
}

/// A verdict needs two sites that look, and a majority of the votes in more than half of them. With two sites at
/// least, more than half are two, so that there are two witnesses from two sites.
fn quorum(site: &str, votes: &BTreeMap<&str, Votes>) -> Verdict {
    let own = votes.get(site).copied().unwrap_or_default();
    let inside = Some(own).filter(|votes| votes.is_any());
    let outside = votes.iter().filter(|(from, _)| **from != site).map(|(_, votes)| *votes);
    let dark = outside.clone().map(|votes| votes.dark + votes.few).sum();
    let witnesses = outside.clone().map(|votes| votes.lit).sum::<usize>() + dark;
    let mut looking: Vec<Votes> = outside.filter(|votes| votes.is_any()).collect();
    if looking.len() < 2 {
        looking.extend(inside);
    }
    let has = |view| {
        let sites = looking.iter().filter(|votes| votes.view() == view).count();
        looking.len() >= 2 && 2 * sites > looking.len()
    };
    let outside = [View::Dark, View::Lit].into_iter().find(|view| has(*view)).unwrap_or_default();
    let dark_inside = own.dark + own.few;
    Verdict { outside, inside: inside.map(Votes::view).unwrap_or_default(), witnesses, dark, dark_inside }
}

/// What the reports say of the answers of each site that any of them names. The darkness that a sidecar sees that is
/// cut off is left out: it must not hold back another site's return. That it sent is kept, so that a site with nothing
/// but such attempts is not taken for a quiet one.
pub fn answers<'a>(
    reports: impl Iterator<Item = &'a Report>, config: &FleetConfig,
) -> BTreeMap<String, Answers> {
    let mut total: BTreeMap<String, Answers> = BTreeMap::new();
    for report in reports {
        let seen = by_site(report, config);
        let cut_off = is_cut_off(&report.site, &seen, report, config);
        for (site, mut sum) in seen {
            if cut_off {
                sum.dark = 0;
            }
            sum = sum.bounded();
            if site != report.site {
                (sum.outside_ended, sum.outside_served) = (sum.ended(), sum.served);
            }
            total.entry(site.to_owned()).or_default().add(&sum);
        }
    }
    total
}

/// Counts the answers of each report once, though it lives through several looks. One starts with nothing known, so
/// its first look counts every live report.
#[derive(Debug, Default)]
pub struct Fresh {
    /// The highest incarnation and sequence of each origin that was live at the last look. Others are forgotten: a
    /// ledger never brings a report back that ceased to count.
    seen: BTreeMap<String, (u64, u64)>,
}

impl Fresh {
    /// The answers of those of the live reports that are new since the last look.
    pub fn look<'a>(
        &mut self, live: impl Iterator<Item = &'a Report>, config: &FleetConfig,
    ) -> BTreeMap<String, Answers> {
        let before = std::mem::take(&mut self.seen);
        let new = live.filter(|report| {
            let mark = (report.incarnation, report.sequence);
            let known = before.get(&report.origin).copied();
            self.seen.insert(report.origin.clone(), known.map_or(mark, |known| known.max(mark)));
            known.is_none_or(|known| known < mark)
        });
        answers(new, config)
    }
}

#[cfg(test)]
pub(super) mod tests {
    use super::*;
    use crate::fleet::config::SiteConfig;

    /// A fleet of sites with names of one letter.
    pub fn fleet(sites: &str) -> FleetConfig {
        let site = |name: char| (name.to_string(), SiteConfig { region: "r".into(), rate: 1.0 });
        FleetConfig { sites: sites.chars().map(site).collect(), ..FleetConfig::default() }
    }

    /// A report written as its site and then, for each site it tried, the outcome: `+` one answer, `-` darkness,
    /// `~` two dark attempts, too few for a vote, `!` very much darkness.
    pub fn report(at: usize, text: &str) -> Report {
        let marks: Vec<char> = text.chars().collect();
        let line = |pair: &[char]| {
            let (answered, dark) = match pair[1] {
                '+' => (1, 0),
                '-' => (0, DARK_ATTEMPTS),
                '!' => (0, 9_000_000),
                _ => (0, 2),
            };
            let (served, sent) = (answered, answered + dark);
            Traffic { site: pair[0].to_string(), answered, served, dark, sent, ..Traffic::default() }
        };
        Report {
            origin: at.to_string(),
            incarnation: 1,
            sequence: 1,
            site: marks[0].to_string(),
            span_ms: 1_000,
            demand: vec![],
            traffic: marks[1..].chunks(2).map(line).collect(),
            sights: BTreeMap::new(),
            plan: None,
        }
    }

    fn reports(texts: &[&str]) -> Vec<Report> {
        texts.iter().enumerate().map(|(at, text)| report(at, text)).collect()
    }

    #[test]
    fn a_verdict_needs_most_of_the_sites_that_look_and_two_of_them() {
        use View::*;
        for (sites, texts, outside, inside) in [
            ("abcd", &["ab-c+", "cb-a+", "db+a+"][..], Dark, Unknown),
            ("abcd", &["ab-c+", "cb+a+", "db+a+"], Lit, Unknown),
            ("abcd", &["ab-c+", "ab+c+", "cb-a+", "cb+"], Unknown, Unknown),
            ("abcd", &["ab-c+", "cb~a+"], Unknown, Unknown),
            // One site alone, however many its witnesses and counts are; a site that the fleet has not is none.
            ("abcd", &["ab!c+", "ab!c+", "ab!c+", "xb-a+"], Unknown, Unknown),
            // Those who reach no site but their own accuse none, and are no witnesses against the others.
            ("abcd", &["aa+b-c-", "ab-c+", "cb-x+", "cb+a+"], Unknown, Unknown),
            // Where one other site looks, the site's own sidecars join: both have to agree.
            ("abcd", &["ab-c+", "bb-a+"], Dark, Dark),
            ("ab", &["aa+b-", "aa+b-", "bb-a+"], Dark, Dark),
            ("ab", &["aa+b-", "aa+b-", "bb+a-"], Unknown, Lit),
            ("ab", &["aa+b-", "aa+b-"], Unknown, Unknown),
            ("ab", &["aa+b+", "aa+b-", "aa+b+", "bb+a+"], Lit, Lit),
            ("ab", &["aa-b-", "bb-a+"], Unknown, Dark),
        ] {
            let reports = reports(texts);
            let verdict = judge(reports.iter(), &fleet(sites))["b"];
            assert_eq!((verdict.outside, verdict.inside), (outside, inside), "{texts:?}");
        }
        let reports = reports(&["ab-c+", "cb-a+", "cb+", "bb+"]);
        let verdict = judge(reports.iter(), &fleet("abc"))["b"];
        assert_eq!((verdict.witnesses, verdict.dark), (3, 2));
    }

    /// A report of sights alone: `lit` are the sites that answered last, `dark` those tried in vain since.
    fn sighted(at: usize, own: char, lit: &str, dark: &[(char, u64)]) -> Report {
        let lit = lit.chars().map(|site| (site.to_string(), Sight { lit: true, dark: 0 }));
        let dark = dark.iter().map(|&(site, dark)| (site.to_string(), Sight { lit: true, dark }));
        Report { sights: lit.chain(dark).collect(), ..report(at, &own.to_string()) }
    }

    #[test]
    fn few_attempts_of_several_sidecars_in_a_row_over_reports_are_evidence() {
        let view = |reports: &[Report]| judge(reports.iter(), &fleet("abc"))["b"].outside;
        let own = |at, own, third: &str, dark| sighted(at, own, third, &[('b', dark)]);
        // Three in a row by one of each site.
        assert_eq!(view(&[own(0, 'a', "c", 3), own(1, 'c', "a", 3)]), View::Dark);
        // Two of each site with one or two, where any of the site reaches the third.
        let pooled = [own(0, 'a', "c", 2), own(1, 'a', "", 1), own(2, 'c', "a", 2), own(3, 'c', "a", 1)];
        assert_eq!(view(&pooled), View::Dark);
        let verdict = judge(pooled.iter(), &fleet("abc"))["b"];
        assert_eq!((verdict.witnesses, verdict.dark), (4, 4), "they are doubt at least");
        // One sidecar's two are no vote, nor are those of a site that reaches no third, or that one sees lit.
        assert_eq!(view(&[own(0, 'a', "c", 2), own(2, 'c', "a", 2), own(3, 'c', "a", 1)]), View::Unknown);
        assert_eq!(view(&[&pooled[..2], &[own(2, 'c', "", 2), own(3, 'c', "", 1)]].concat()), View::Unknown);
        assert_eq!(view(&[&pooled[..], &[report(4, "ab+")]].concat()), View::Unknown);
        // An answer before the attempts in the same report hides nothing.
        let mut after = report(0, "ab+c+");
        after.sights = own(0, 'a', "c", 3).sights;
        assert_eq!(view(&[after, own(1, 'c', "a", 3)]), View::Dark);
    }

    #[test]
    fn a_report_is_counted_once_and_weighs_little_whatever_it_says() {
        let (config, mut fresh) = (fleet("abc"), Fresh::default());
        let mut live = reports(&["ab+", "bb+", "cb!a+x+", "cb!x+"]);
        let all = fresh.look(live.iter(), &config);
        let (answered, ended, outside) = (all["b"].answered, all["b"].ended(), all["b"].outside_ended);
        assert_eq!((all.len(), answered, ended, outside), (2, 2, 102, 101));
        assert!(fresh.look(live.iter(), &config).is_empty());
        live[0].sequence = 2;
        (live[1].incarnation, live[1].sequence) = (2, 1);
        assert_eq!(fresh.look(live.iter(), &config)["b"].answered, 2);
    }
}
