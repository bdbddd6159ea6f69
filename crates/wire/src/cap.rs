//! Conversion of asks for the cost of requests, and of the answers, to and from the fleet schema.

use std::time::Duration;

use capnp::struct_list;
use hornbeamtiller_relay::cap::{Answer, Entry, Verdict, Want};

use crate::fleet_capnp as schema;
use crate::view::{millis, Error};

/// Encodes what a VM asks and reports.
pub fn write_entries(
    entries: &[Entry],
    mut out: struct_list::Builder<'_, schema::credit_entry::Owned>,
) {
    for (index, entry) in entries.iter().enumerate() {
        let mut out = out.reborrow().get(index as u32);
        out.set_organisation(&*entry.organisation);
        out.set_spent(entry.spent);
        out.set_is_report(entry.want.is_none());
        if let Some(want) = entry.want {
            out.set_number(want.number);
            out.set_cost(want.cost);
        }
    }
}

/// Decodes what a VM asks and reports.
///
/// # Errors
///
/// [`Error`] for the first field that can't be decoded.
pub fn read_entries(
    entries: struct_list::Reader<'_, schema::credit_entry::Owned>,
) -> Result<Vec<Entry>, Error> {
    entries.iter().map(read_entry).collect()
}

fn read_entry(entry: schema::credit_entry::Reader<'_>) -> Result<Entry, Error> {
    let want = Want {
        number: entry.get_number(),
        cost: entry.get_cost(),
    };
    Ok(Entry {
        organisation: entry.get_organisation()?.to_str()?.into(),
        want: (!entry.get_is_report()).then_some(want),
        spent: entry.get_spent(),
    })
}

/// Encodes answers.
pub fn write_answers(
    answers: &[Answer],
    mut out: struct_list::Builder<'_, schema::credit_answer::Owned>,
) {
    for (index, answer) in answers.iter().enumerate() {
        let mut out = out.reborrow().get(index as u32);
        out.set_organisation(&*answer.organisation);
        out.set_number(answer.want.number);
        out.set_cost(answer.want.cost);
        out.set_is_scarce(answer.is_scarce);
        out.set_verdict(match answer.verdict {
            Verdict::Granted => schema::CreditVerdict::Granted,
            Verdict::Refused { .. } => schema::CreditVerdict::Refused,
            Verdict::Unknown => schema::CreditVerdict::Unknown,
        });
        if let Verdict::Refused { wait, return_after } = answer.verdict {
            out.set_wait_millis(millis(wait));
            out.set_return_millis(millis(return_after));
        }
    }
}

/// Decodes answers.
///
/// # Errors
///
/// [`Error`] for the first field that can't be decoded.
pub fn read_answers(
    answers: struct_list::Reader<'_, schema::credit_answer::Owned>,
) -> Result<Vec<Answer>, Error> {
    answers.iter().map(read_answer).collect()
}

fn read_answer(answer: schema::credit_answer::Reader<'_>) -> Result<Answer, Error> {
    Ok(Answer {
        organisation: answer.get_organisation()?.to_str()?.into(),
        want: Want {
            number: answer.get_number(),
            cost: answer.get_cost(),
        },
        verdict: match answer.get_verdict()? {
            schema::CreditVerdict::Granted => Verdict::Granted,
            schema::CreditVerdict::Refused => Verdict::Refused {
                wait: Duration::from_millis(answer.get_wait_millis().into()),
                return_after: Duration::from_millis(answer.get_return_millis().into()),
            },
            schema::CreditVerdict::Unknown => Verdict::Unknown,
        },
        is_scarce: answer.get_is_scarce(),
    })
}
