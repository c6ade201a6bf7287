//! Logging to standard error, as text or JSON.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

use super::settings::LogFormat;

/// Starts logging for the process. An invalid filter is replaced by `info`.
pub(crate) fn start_logging(format: LogFormat, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_span_events(FmtSpan::CLOSE);
    match format {
        LogFormat::Human => builder.with_ansi(false).init(),
        LogFormat::Json => builder.json().init(),
    }
}
