//! gRPC service of the inner endpoint, which routers call.

use std::pin::Pin;

use eelgrasswell_core::{
    id::{CustomerId, Fence, RequestId},
    refusal::{Reason, Refusal},
    unit::Millis,
};
use eelgrasswell_proto::v1::{
    Accepted, AgentBeat, ExecuteEvent, ExecuteRequest, OrderReply, OrderRequest, ResolveReply, ResolveRequest,
    ResumeRequest, RouterBeat, agent_server, order_request::Action, resolve_reply,
};
use futures::{Stream, StreamExt, stream};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming, async_trait};

use super::{
    Agent,
    answers::{self, AnswerReader},
    backend::EngineOrder,
    execution, link,
    request_registry::Fate,
};
use crate::event;

type Events = Pin<Box<dyn Stream<Item = Result<ExecuteEvent, Status>> + Send>>;

/// Handles the calls of routers.
pub struct AgentService {
    agent: Agent,
    /// Held while an order is executed, so that orders reach the engine one at a time, in the order in which their
    /// fences were accepted.
    order_lock: tokio::sync::Mutex<()>,
}

impl AgentService {
    /// Creates the service of `agent`.
    pub fn new(agent: Agent) -> Self {
        Self { agent, order_lock: tokio::sync::Mutex::default() }
    }

    /// Checks a request, starts the task that runs it and returns a reader of its answer.
    async fn start_request(&self, req: ExecuteRequest) -> Result<AnswerReader, Refusal> {
        let agent = &self.agent;
        let id = RequestId::from(&*req.request_id);
        if id.is_empty() {
            return Err(Refusal::not_run(Reason::BadRequest));
        }
        let deadline = (req.deadline_ms > 0).then(|| agent.clock.now() + Millis(req.deadline_ms));
        let checked = agent.check(&req).await?;
        agent.requests.reserve(&id)?;
        let accepted = Accepted { revision: agent.config.revision().0, agent_incarnation: agent.incarnation.0 };
        let created = agent.answers.create(&id, &CustomerId::from(&*req.customer), accepted);
        let (answer, reader) = created.inspect_err(|_| agent.requests.release(&id))?;
        tokio::spawn(execution::run(agent.clone(), req, checked, deadline, answer));
        Ok(reader)
    }

    /// Checks the fence of an order and has the engine execute it. The error is the reason to report.
    async fn execute_order(&self, order: &OrderRequest) -> Result<(), String> {
        let (action, is_load) = match order.action() {
            Action::Load => ("load", true),
            Action::Unload => ("unload", false),
            Action::Unspecified => return Err("bad_request".to_owned()),
        };
        let _guard = self.order_lock.lock().await;
        let agent = &self.agent;
        agent
            .requests
            .accept_order_fence(Fence(order.fence))
            .map_err(|highest| format!("fence {} is below {highest}", order.fence))?;
        if !is_load {
            agent.loaded.remove(&order.model, &order.version);
        }
        let order =
            EngineOrder { action, model: order.model.clone(), version: order.version.clone(), fence: order.fence };
        match agent.backend.order(&order).await {
            Ok(true) => {}
            Ok(false) => return Err("the backend server refused the fence".to_owned()),
            Err(err) => return Err(format!("{err:#}")),
        }
        if is_load {
            agent.loaded.add(&order.model, &order.version);
        }
        Ok(())
    }
}

#[async_trait]
impl agent_server::Agent for AgentService {
    type ExecuteStream = Events;
    type LinkStream = ReceiverStream<Result<AgentBeat, Status>>;
    type ResumeStream = Events;

    async fn execute(&self, request: Request<ExecuteRequest>) -> Result<Response<Events>, Status> {
        let req = request.into_inner();
        let id = req.request_id.clone();
        let events = match self.start_request(req).await {
            Ok(reader) => reader.into_stream().boxed(),
            Err(refusal) => {
                execution::record_refusal(&id, &refusal);
                single_event(answers::refused(&refusal, self.agent.config.revision().0))
            }
        };
        Ok(Response::new(events))
    }

    async fn resume(&self, request: Request<ResumeRequest>) -> Result<Response<Events>, Status> {
        let req = request.into_inner();
        let (id, customer) = (RequestId::from(&*req.request_id), CustomerId::from(&*req.customer));
        let reader = self.agent.answers.attach_reader(&id, &customer, req.offset);
        let events =
            reader.map_or_else(|| single_event(answers::failed(Reason::AnswerGone)), |r| r.into_stream().boxed());
        Ok(Response::new(events))
    }

    async fn resolve(&self, request: Request<ResolveRequest>) -> Result<Response<ResolveReply>, Status> {
        let req = request.into_inner();
        let agent = &self.agent;
        let (id, customer) = (RequestId::from(&*req.request_id), CustomerId::from(&*req.customer));
        let mut reply = ResolveReply { agent_incarnation: agent.incarnation.0, ..ResolveReply::default() };
        let is_other_incarnation = req.agent_incarnation != 0 && req.agent_incarnation != agent.incarnation.0;
        let is_known = agent.requests.is_known(&id);
        let fate = if is_other_incarnation {
            resolve_reply::Fate::Unknown
        } else {
            self.bar_or_report(&id, &customer, &mut reply)
        };
        // If the router does not name an incarnation, an unknown id may have run before this process started.
        let may_have_run = req.agent_incarnation == 0 && !is_known && fate == resolve_reply::Fate::Barred;
        reply.set_fate(if may_have_run { resolve_reply::Fate::Unknown } else { fate });
        event!(Info, "request_resolved", request_id = id, fate = reply.fate().as_str_name());
        Ok(Response::new(reply))
    }

    async fn link(&self, request: Request<Streaming<RouterBeat>>) -> Result<Response<Self::LinkStream>, Status> {
        Ok(Response::new(link::open(self.agent.clone(), request.into_inner())))
    }

    async fn order(&self, request: Request<OrderRequest>) -> Result<Response<OrderReply>, Status> {
        let order = request.into_inner();
        let result = self.execute_order(&order).await;
        let fence = self.agent.requests.order_fence().0;
        event!(
            Info,
            "order",
            order_id = order.order_id,
            model = order.model,
            version = order.version,
            fence = order.fence,
            refused = result.as_ref().err().map_or("", String::as_str)
        );
        let reply = OrderReply { accepted: result.is_ok(), reason: result.err().unwrap_or_default(), fence };
        Ok(Response::new(reply))
    }
}

impl AgentService {
    /// Bars the id unless it is running or has run. Writes status and body of a finished answer to `reply`.
    fn bar_or_report(&self, id: &RequestId, customer: &CustomerId, reply: &mut ResolveReply) -> resolve_reply::Fate {
        match self.agent.requests.bar(id) {
            Fate::Barred => resolve_reply::Fate::Barred,
            Fate::Waiting | Fate::Running => resolve_reply::Fate::Running,
            Fate::Ended => {
                let stored = self.agent.requests.outcome(id, customer).map(|outcome| (outcome.status, outcome.body));
                let Some((status, body)) = stored.or_else(|| self.agent.answers.finished_response(id, customer)) else {
                    return resolve_reply::Fate::Unknown;
                };
                (reply.status, reply.body) = (status, body);
                resolve_reply::Fate::Finished
            }
        }
    }
}

fn single_event(event: eelgrasswell_proto::v1::execute_event::Event) -> Events {
    stream::once(async { Ok(ExecuteEvent { event: Some(event) }) }).boxed()
}
