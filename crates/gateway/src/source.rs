//! What the reducer asks of the configuration service, beside what it is told anyway.

use hornbeamtiller_relay::event::Event;

/// A request to the task that follows the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// Read the changes of the list since it was last read; [`Event::ListChecked`] answers.
    Check,
    /// Read which runners were listed lately; [`Event::HistoryRead`] answers.
    History,
}

impl Request {
    /// The answer if the configuration service can't be asked.
    pub fn unanswered(self) -> Event {
        match self {
            Self::Check => Event::ListChecked {
                is_confirmed: false,
            },
            Self::History => Event::HistoryRead { entries: None },
        }
    }
}
