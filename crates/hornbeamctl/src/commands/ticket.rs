//! Validates and compares tickets before they are published.

use std::collections::BTreeSet;
use std::path::Path;

use error_stack::{Report, ResultExt as _};
use hornbeamtiller_core::ticket::Ticket;

use crate::cli::{TicketCommand, TicketFlags};
use crate::error::{Error, Result};

/// Validates one ticket, or prints the differences between two.
///
/// # Errors
///
/// [`Error::Faults`] if a ticket is invalid, [`Error::File`] if it can't be read.
pub fn run(flags: &TicketFlags) -> Result<()> {
    match &flags.command {
        TicketCommand::Check { file } => read_ticket(file).map(|ticket| {
            println!(
                "ticket {} is valid: {} items",
                ticket.number,
                ticket.items.len()
            );
        }),
        TicketCommand::Diff { before, after } => {
            print_diff(&read_ticket(before)?, &read_ticket(after)?)
        }
    }
}

fn read_ticket(file: &Path) -> Result<Ticket> {
    let text = std::fs::read_to_string(file)
        .change_context_lazy(|| Error::File(file.display().to_string()))?;
    Ticket::parse(&text).map_err(|faults| {
        faults
            .iter()
            .for_each(|fault| eprintln!("{}: {fault}", file.display()));
        Report::new(Error::Faults(faults.len()))
    })
}

fn print_diff(before: &Ticket, after: &Ticket) -> Result<()> {
    let names: BTreeSet<&String> = before.items.keys().chain(after.items.keys()).collect();
    for name in names {
        match (before.items.get(name), after.items.get(name)) {
            (Some(_), None) => println!("- {name} is not touched by ticket {}", after.number),
            (None, Some(_)) => println!("+ {name} is new in ticket {}", after.number),
            (Some(old), Some(new)) if old != new => {
                println!("~ {name}\n    before: {old:?}\n    after:  {new:?}")
            }
            _ => {}
        }
    }
    Ok(())
}
