//! What reaches a control thread, and questions to one.

use std::time::Duration;

use flume::{Receiver, Selector, Sender};

use super::FleetCommand;

/// One thing that reached a control thread.
#[derive(Debug)]
pub(crate) enum Input<C> {
    /// A command to the role.
    Command(C),
    /// A command to the fleet state.
    Fleet(Box<FleetCommand>),
    /// Nothing came in time.
    Nothing,
    /// Every sender is gone.
    Closed,
}

/// The next input, waiting up to `wait` for one.
pub(crate) fn next_input<C>(
    commands: &Receiver<C>,
    fleet: &Receiver<FleetCommand>,
    wait: Duration,
) -> Input<C> {
    let input = Selector::new()
        .recv(commands, |command| command.map(Input::Command))
        .recv(fleet, |command| command.map(|command| Input::Fleet(Box::new(command))))
        .wait_timeout(wait);
    match input {
        Ok(Ok(input)) => input,
        Ok(Err(_)) => Input::Closed,
        Err(_) => Input::Nothing,
    }
}

/// Asks a control thread and waits for its answer; none if the thread has ended.
pub(crate) fn ask<C, T>(commands: &Sender<C>, command: impl FnOnce(Sender<T>) -> C) -> Option<T> {
    let (reply, rx) = flume::bounded(1);
    commands.send(command(reply)).ok()?;
    rx.recv().ok()
}
