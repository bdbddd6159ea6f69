//! Logs as JSON lines on standard error.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

/// Why logs can't be written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The library refuses the configuration.
    #[error("log configuration")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// A logger was set before.
    #[error("a logger is set already")]
    Set(#[from] log::SetLoggerError),
}

/// Begins to write logs.
///
/// # Errors
///
/// [`Error`].
pub fn open() -> Result<(), Error> {
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}
