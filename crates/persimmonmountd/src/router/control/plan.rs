//! Authorizes requests and selects the endpoints to try.

use hyper::StatusCode;
use persimmon_decide::Fingerprint;
use persimmon_decide::load::{
    ChatKey, ChatToken, EndpointHash, Holder, PlacementRequest, rendezvous_score,
};
use persimmon_decide::membership::NodeId;
use persimmon_decide::recovery::{Quarantine, RunMode};
use persimmon_records::{EndpointName, Serves, ServiceName, Workspace};

use super::super::command::{Plan, PlanRequest, PlannedEndpoint, RequestKind};
use super::super::failure::Failure;
use super::{Control, planned_endpoint};

impl Control {
    /// Authorizes a request and returns the endpoints to try.
    pub(super) fn plan(&self, req: PlanRequest) -> Result<Plan, Failure> {
        if self.draining_since.is_some() {
            return Err(Failure::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "draining",
                "this router is shutting down; send the request again to reach another router",
            )
            .with_retry_after_ms(0));
        }
        let workspace = self.authorize(&req)?;
        let mut plan = Plan {
            workspace: workspace.name.clone(),
            class: req.class.unwrap_or(workspace.default_class),
            chat: ChatKey(0),
            holders: Vec::new(),
            endpoints: Vec::new(),
            models: workspace.models.clone(),
            charges: Vec::new(),
        };
        match req.kind {
            RequestKind::Models => {}
            RequestKind::Chat { .. } => self.plan_chat(workspace, &req.kind, &mut plan)?,
            RequestKind::Claim { service, key } => {
                check_service(workspace, &service)?;
                plan.endpoints = self.workers(workspace, &Serves::Service(service), &key);
            }
            RequestKind::Service { service, key, owner: None, fingerprint } => {
                check_service(workspace, &service)?;
                let target = Serves::Service(service);
                plan.endpoints = match self.run_mode(fingerprint)? {
                    RunMode::Shared => self.workers(workspace, &target, &key),
                    RunMode::Alone { crashed } => {
                        let allowed = allowed_endpoints(workspace);
                        self.probation_endpoint(fingerprint, crashed, &target, &allowed)
                    }
                };
            }
            RequestKind::Service { service, owner: Some(owner), .. } => {
                check_service(workspace, &service)?;
                plan.endpoints = self.planned_endpoint(&owner).into_iter().collect();
            }
            RequestKind::Answer { endpoint } => {
                plan.endpoints = self.planned_endpoint(&endpoint).into_iter().collect();
            }
        }
        Ok(plan)
    }

    /// Returns the workspace that the request's key belongs to.
    pub(super) fn authorize(&self, req: &PlanRequest) -> Result<&Workspace, Failure> {
        if !self.fleet.is_ready() {
            return Err(Failure::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no-records",
                "this router has no routing records yet; retry after the given delay",
            )
            .with_retry_after_ms(1_000));
        }
        let workspace = self.records.workspace_by_key(&req.key).ok_or_else(|| {
            Failure::not_run(
                StatusCode::UNAUTHORIZED,
                "unknown-workspace",
                "the workspace key isn't in the records; send a valid key as a bearer token",
            )
        })?;
        let wall = self.clock.unix();
        if workspace.expires_at.is_some_and(|at| wall >= at) {
            return Err(Failure::not_run(
                StatusCode::FORBIDDEN,
                "expired-record",
                "the workspace's record has expired; ask the operators to extend it",
            ));
        }
        Ok(workspace)
    }

    /// Places a chat request, unless the quarantine refuses it.
    pub(super) fn plan_chat(
        &self,
        workspace: &Workspace,
        kind: &RequestKind,
        plan: &mut Plan,
    ) -> Result<(), Failure> {
        let RequestKind::Chat { model, opening, token, prompt_tokens, max_tokens, fingerprint } =
            kind
        else {
            return Ok(());
        };
        if !workspace.models.contains(model) {
            return Err(unknown("model", model.as_str()));
        }
        let opening: Vec<_> = opening.iter().map(String::as_str).collect();
        plan.chat = ChatKey::of(&workspace.name, model, &opening);
        plan.holders = self.holders(token.as_deref(), plan.chat);
        let now = self.clock.now();
        let mode = self.run_mode(*fingerprint)?;
        let target = Serves::Model(model.clone());
        let allowed = allowed_endpoints(workspace);
        let place = PlacementRequest {
            chat: plan.chat,
            target: &target,
            holders: &plan.holders,
            allowed: &allowed,
            prompt_tokens: *prompt_tokens,
            tokens_to_generate: *max_tokens,
        };
        let candidates = self.placement.place(&place, &self.directory, now);
        plan.endpoints = candidates
            .iter()
            .filter_map(|candidate| {
                let endpoint = self.by_hash.get(&candidate.endpoint)?;
                Some(PlannedEndpoint { candidate: *candidate, ..planned_endpoint(endpoint) })
            })
            .collect();
        if let RunMode::Alone { crashed } = mode {
            plan.endpoints = self.probation_endpoint(*fingerprint, crashed, &target, &allowed);
        }
        Ok(())
    }

    /// Returns whether a request must run alone, since an endpoint crashed under one like it.
    fn run_mode(&self, fingerprint: Fingerprint) -> Result<RunMode, Failure> {
        let checked = self.fleet.quarantine().check(fingerprint, self.clock.now());
        checked.map_err(|refusal| Failure::refused(refusal.into()))
    }

    /// Returns the only endpoint on which a suspect request may run, alone. A request is suspect
    /// after an endpoint crashed while a request with its fingerprint was in progress.
    pub(super) fn probation_endpoint(
        &self,
        fingerprint: Fingerprint,
        crashed: NodeId,
        target: &Serves,
        allowed: &[EndpointHash],
    ) -> Vec<PlannedEndpoint> {
        let serving = self.directory.serving(target).filter(|view| !view.leaving);
        let permitted = serving.filter(|view| allowed.is_empty() || allowed.contains(&view.hash));
        let nodes = permitted.map(|view| NodeId(view.hash.0));
        let chosen = Quarantine::probation_endpoint(fingerprint, crashed, nodes);
        let endpoint = chosen.and_then(|node| self.by_hash.get(&EndpointHash(node.0)));
        endpoint.map(planned_endpoint).into_iter().collect()
    }

    /// Returns the holders of the chat's prefix that its token lists, or none if the token is
    /// invalid.
    pub(super) fn holders(&self, token: Option<&str>, chat: ChatKey) -> Vec<Holder> {
        let Some(token) = token else { return Vec::new() };
        match ChatToken::open(token, chat, &self.token_key) {
            Ok(token) => token.holders().to_vec(),
            Err(err) => {
                tracing::debug!("router: ignoring a chat token: {err}.");
                Vec::new()
            }
        }
    }

    pub(super) fn planned_endpoint(&self, name: &EndpointName) -> Option<PlannedEndpoint> {
        self.by_hash.get(&EndpointHash::of(name)).map(planned_endpoint)
    }

    /// Returns the workers of a service by their rendezvous rank for `key`, with suspect ones last.
    pub(super) fn workers(
        &self,
        workspace: &Workspace,
        target: &Serves,
        key: &str,
    ) -> Vec<PlannedEndpoint> {
        let now = self.clock.now();
        let chat = ChatKey::of(&workspace.name, &"".into(), &[key]);
        let mut ranked: Vec<_> = self
            .directory
            .serving(target)
            .filter(|view| !view.leaving)
            .filter(|view| {
                workspace.endpoints.is_empty() || workspace.endpoints.contains(&view.name)
            })
            .map(|view| {
                let score = rendezvous_score(chat, view.hash, view.slots);
                (view.is_suspect(now), score, view.hash)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.total_cmp(&b.1)));
        ranked
            .iter()
            .filter_map(|(_, _, hash)| self.by_hash.get(hash).map(planned_endpoint))
            .collect()
    }
}

/// Returns the endpoints to which a workspace is confined; none if it may use all.
fn allowed_endpoints(workspace: &Workspace) -> Vec<EndpointHash> {
    workspace.endpoints.iter().map(EndpointHash::of).collect()
}

fn check_service(workspace: &Workspace, service: &ServiceName) -> Result<(), Failure> {
    if workspace.services.contains(service) {
        Ok(())
    } else {
        Err(unknown("service", service.as_str()))
    }
}

fn unknown(kind: &str, name: &str) -> Failure {
    let (code, list) = match kind {
        "model" => ("unknown-model", "GET /v1/models lists those that it may use"),
        _ => ("unknown-service", "ask the operators for its name"),
    };
    let message = format!("the workspace has no {kind} named {name:?}; {list}");
    Failure::not_run(StatusCode::NOT_FOUND, code, message)
}
