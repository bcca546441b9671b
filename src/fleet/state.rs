//! The states of a site and what each allows.

use serde::{Deserialize, Serialize};

/// What a site is held to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SiteState {
    /// It takes its share.
    #[default]
    Serving,
    /// A quorum sees it dark, not yet for long enough.
    Suspect,
    /// A quorum has seen it dark: nothing new goes there from outside.
    Lost,
    /// Back by a ramp.
    Returning,
    /// Its window is near: its traffic is shifted away.
    Draining,
    /// In its window: nothing new goes there at all.
    Maintenance,
}

impl SiteState {
    /// Whether sidecars of other sites may send it anything new.
    pub fn open_to_others(self) -> bool {
        !matches!(self, SiteState::Lost | SiteState::Maintenance)
    }

    /// Whether its own sidecars may send it anything new. One that is lost to the others may be cut off from them
    /// and still serve its own clients.
    pub fn open_to_own(self) -> bool {
        self != SiteState::Maintenance
    }
}
