//! Limits how often one line is logged: a client could fill the log, and a log that nobody reads fast enough holds up the
//! process.

use std::time::Duration;
use tokio::time::Instant;

/// So many lines are written in each span.
const LINES: u32 = 100;
const SPAN: Duration = Duration::from_secs(1);

/// What is to be done with a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEntry {
    /// So many were passed over since the last that was written.
    Write {
        passed_over: u64,
    },
    PassOver,
}

/// Counts the lines of one kind.
#[derive(Default)]
pub struct LogLimit {
    since: Option<Instant>,
    written: u32,
    passed_over: u64,
}

impl LogLimit {
    /// Whether the next line is written.
    pub fn next(&mut self) -> LogEntry {
        if self.since.is_none_or(|since| since.elapsed() >= SPAN) {
            self.since = Some(Instant::now());
            self.written = 0;
        }
        if self.written == LINES {
            self.passed_over += 1;
            return LogEntry::PassOver;
        }
        self.written += 1;
        LogEntry::Write { passed_over: std::mem::take(&mut self.passed_over) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::advance;

    #[tokio::test(start_paused = true)]
    async fn a_burst_of_lines_is_cut_and_the_next_tells_of_what_is_missing() {
        let mut limit = LogLimit::default();
        let written = (0..LINES + 7).filter(|_| limit.next() == LogEntry::Write { passed_over: 0 }).count();
        assert_eq!(written, LINES as usize);
        advance(SPAN).await;
        assert_eq!(limit.next(), LogEntry::Write { passed_over: 7 });
        assert_eq!(limit.next(), LogEntry::Write { passed_over: 0 });
    }
}
