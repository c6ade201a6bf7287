//! Receives inputs on a control thread, and sends queries to it.

use std::time::Duration;

use flume::{Receiver, Selector, Sender};

use super::FleetCommand;

/// An input of a control thread.
#[derive(Debug)]
pub(crate) enum Input<C> {
    /// A command to the role's own control code.
    Command(C),
    /// A command to the fleet state.
    Fleet(Box<FleetCommand>),
    /// No input arrived in time.
    Nothing,
    /// All senders of a channel were dropped.
    Closed,
}

/// Returns the next input, waiting for at most `wait`.
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

/// Sends a command to a control thread and waits for the reply. Returns `None` if the thread has
/// ended.
pub(crate) fn ask<C, T>(commands: &Sender<C>, command: impl FnOnce(Sender<T>) -> C) -> Option<T> {
    let (reply, rx) = flume::bounded(1);
    commands.send(command(reply)).ok()?;
    rx.recv().ok()
}
