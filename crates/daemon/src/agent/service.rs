//! The inner endpoint that routers call.

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

/// Answers the calls of routers.
pub struct AgentService {
    agent: Agent,
    /// Orders reach the engine one at a time, in the order in which their fences were accepted.
    orders: tokio::sync::Mutex<()>,
}

impl AgentService {
    /// Serves `agent`.
    pub fn new(agent: Agent) -> Self {
        Self { agent, orders: tokio::sync::Mutex::default() }
    }

    async fn begin(&self, req: ExecuteRequest) -> Result<AnswerReader, Refusal> {
        let agent = &self.agent;
        let id = RequestId::from(&*req.request_id);
        if id.is_empty() {
            return Err(Refusal::not_run(Reason::BadRequest));
        }
        let deadline = (req.deadline_ms > 0).then(|| agent.clock.now() + Millis(req.deadline_ms));
        let checked = agent.check(&req).await?;
        agent.requests.reserve(&id)?;
        let accepted = Accepted { revision: agent.config.revision().0, agent_incarnation: agent.incarnation.0 };
        let begun = agent.answers.begin(&id, &CustomerId::from(&*req.customer), accepted);
        let (answer, reader) = begun.inspect_err(|_| agent.requests.release(&id))?;
        tokio::spawn(execution::run(agent.clone(), req, checked, deadline, answer));
        Ok(reader)
    }

    async fn give(&self, order: &OrderRequest) -> Result<(), String> {
        let (action, load) = match order.action() {
            Action::Load => ("load", true),
            Action::Unload => ("unload", false),
            Action::Unspecified => return Err("bad_request".to_owned()),
        };
        let _turn = self.orders.lock().await;
        let agent = &self.agent;
        agent
            .requests
            .accept_order(Fence(order.fence))
            .map_err(|seen| format!("fence {} is below {seen}", order.fence))?;
        if !load {
            agent.loaded.remove(&order.model, &order.version);
        }
        let order =
            EngineOrder { action, model: order.model.clone(), version: order.version.clone(), fence: order.fence };
        match agent.backend.order(&order).await {
            Ok(true) => {}
            Ok(false) => return Err("the backend server refused the fence".to_owned()),
            Err(err) => return Err(format!("{err:#}")),
        }
        if load {
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
        let events = match self.begin(req).await {
            Ok(reader) => reader.into_stream().boxed(),
            Err(refusal) => {
                execution::record_refusal(&id, &refusal);
                once(answers::refused(&refusal, self.agent.config.revision().0))
            }
        };
        Ok(Response::new(events))
    }

    async fn resume(&self, request: Request<ResumeRequest>) -> Result<Response<Events>, Status> {
        let req = request.into_inner();
        let (id, customer) = (RequestId::from(&*req.request_id), CustomerId::from(&*req.customer));
        let reader = self.agent.answers.join(&id, &customer, req.offset);
        let events = reader.map_or_else(|| once(answers::failed(Reason::AnswerGone)), |r| r.into_stream().boxed());
        Ok(Response::new(events))
    }

    async fn resolve(&self, request: Request<ResolveRequest>) -> Result<Response<ResolveReply>, Status> {
        let req = request.into_inner();
        let agent = &self.agent;
        let (id, customer) = (RequestId::from(&*req.request_id), CustomerId::from(&*req.customer));
        let mut reply = ResolveReply { agent_incarnation: agent.incarnation.0, ..ResolveReply::default() };
        let other = req.agent_incarnation != 0 && req.agent_incarnation != agent.incarnation.0;
        let known = agent.requests.is_known(&id);
        let fate = if other { resolve_reply::Fate::Unknown } else { self.settle(&id, &customer, &mut reply) };
        // An id of an unknown incarnation may have run before this process started.
        let unsure = req.agent_incarnation == 0 && !known && fate == resolve_reply::Fate::Barred;
        reply.set_fate(if unsure { resolve_reply::Fate::Unknown } else { fate });
        event!(Info, "request_resolved", request_id = id, fate = reply.fate().as_str_name());
        Ok(Response::new(reply))
    }

    async fn link(&self, request: Request<Streaming<RouterBeat>>) -> Result<Response<Self::LinkStream>, Status> {
        Ok(Response::new(link::open(self.agent.clone(), request.into_inner())))
    }

    async fn order(&self, request: Request<OrderRequest>) -> Result<Response<OrderReply>, Status> {
        let order = request.into_inner();
        let result = self.give(&order).await;
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
    /// Bars the id unless it ran; a finished answer goes into `reply`.
    fn settle(&self, id: &RequestId, customer: &CustomerId, reply: &mut ResolveReply) -> resolve_reply::Fate {
        match self.agent.requests.bar(id) {
            Fate::Barred => resolve_reply::Fate::Barred,
            Fate::Waiting | Fate::Running => resolve_reply::Fate::Running,
            Fate::Ended => {
                let kept = self.agent.requests.outcome(id, customer).map(|outcome| (outcome.status, outcome.body));
                let Some((status, body)) = kept.or_else(|| self.agent.answers.whole(id, customer)) else {
                    return resolve_reply::Fate::Unknown;
                };
                (reply.status, reply.body) = (status, body);
                resolve_reply::Fate::Finished
            }
        }
    }
}

fn once(event: eelgrasswell_proto::v1::execute_event::Event) -> Events {
    stream::once(async { Ok(ExecuteEvent { event: Some(event) }) }).boxed()
}
