//! Signals that ask the process to stop.

use std::thread;

use tokio::signal::unix::{SignalKind, signal};

/// Calls `stop` on a thread of its own at the first SIGTERM or SIGINT.
///
/// # Errors
///
/// The signals can't be watched.
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
