//! Handles stop signals.

use std::thread;

use tokio::signal::unix::{SignalKind, signal};

/// Starts a thread that calls `stop` at the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers can't be installed or the thread can't be started.
pub(crate) fn on_stop_signal(stop: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (mut term, mut int) = {
        let _entered = runtime.enter();
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?)
    };
    thread::Builder::new().name("signals".into()).spawn(move || {
        runtime.block_on(async {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        });
        stop();
    })?;
    Ok(())
}
