//! What a router answers to other processes of the fleet.

use std::rc::Rc;
use std::sync::Arc;

use flume::Sender;
use persimmon_wire::fleet_capnp::node;

use super::command::Command;

/// The router as other processes call it.
#[derive(Clone)]
pub(crate) struct RouterCalls {
    pub(crate) commands: Sender<Command>,
}

impl node::Server for RouterCalls {
    async fn records(
        self: Rc<Self>,
        params: node::RecordsParams,
        mut results: node::RecordsResults,
    ) -> capnp::Result<()> {
        let generation = params.get()?.get_generation();
        let (reply, rx) = flume::bounded(1);
        let stopping = || capnp::Error::disconnected("the router is stopping; ask another".into());
        self.commands.send(Command::RecordsText { generation, reply }).map_err(|_| stopping())?;
        let text: Option<Arc<str>> = rx.recv_async().await.map_err(|_| stopping())?;
        let mut update = results.get().init_update();
        match text {
            Some(text) => update.set_text(&*text),
            None => update.set_unchanged(()),
        }
        Ok(())
    }
}
