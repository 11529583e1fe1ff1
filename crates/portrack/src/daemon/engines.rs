//! Executes the node's engine tasks.

use super::core::Core;
use crate::node::{EngineTask, Input};
use crate::owner::{Event, Order, OrderKind, OrderResult};
use crate::router::{BackendKind, BackendServer};
use crate::types::{EngineName, Fence};
use std::rc::Rc;

impl Core {
    pub(super) fn engine_task(self: &Rc<Self>, engine: EngineName, task: EngineTask) {
        let core = self.clone();
        actix_rt::spawn(async move {
            let Some(server) = core.server(&engine) else { return };
            match task {
                EngineTask::Poll => core.poll(engine, &server).await,
                EngineTask::RaiseFence(fence) => core.raise_fence(engine, &server, fence).await,
                EngineTask::Order(order) => core.order(engine, &server, order).await,
                EngineTask::LetGo => core.leases.release(&engine).await,
            }
        });
    }

    async fn poll(self: &Rc<Self>, engine: EngineName, server: &BackendServer) {
        let asked_at = self.now();
        let Some(mut report) = self.engines.status(&server.address, asked_at).await else { return };
        if !checks_fence(server) {
            let lock = self.leases.lock_of(&engine);
            report.fence = lock.map_or(Fence(0), |lock| lock.fence);
            report.lease_at = lock.map(|lock| lock.renewed_at);
        }
        self.engine_event(engine, Event::Report(report));
    }

    async fn raise_fence(
        self: &Rc<Self>,
        engine: EngineName,
        server: &BackendServer,
        fence: Fence,
    ) {
        if !checks_fence(server) {
            if let Some(fence) = self.leases.acquire(self.clock.as_ref(), &engine).await {
                self.engine_event(engine, Event::FenceRaised(fence));
            }
            return;
        }
        match self.engines.raise_fence(&server.address, fence).await {
            Some(Ok(())) => {
                log::info!(engine = engine.as_str(), fence = fence.0; "engine-owned");
                self.engine_event(engine, Event::FenceRaised(fence));
            }
            Some(Err(highest)) => self.engine_event(engine, Event::FenceRefused(highest)),
            None => {}
        }
    }

    async fn order(self: &Rc<Self>, engine: EngineName, server: &BackendServer, order: Order) {
        let result = match self.may_order(&engine, server) {
            false => OrderResult::Failed,
            true => match (order.kind, self.weights(&order.adapter)) {
                (OrderKind::Load, None) => OrderResult::Failed,
                (_, weights) => {
                    let weights = weights.unwrap_or_default();
                    self.engines.order(&server.address, &order, &weights).await
                }
            },
        };
        let kind = match order.kind {
            OrderKind::Load => "load",
            OrderKind::Unload => "unload",
        };
        let word = match &result {
            OrderResult::Done => "done",
            OrderResult::Failed => "failed",
            OrderResult::Fenced(_) => "fenced",
            OrderResult::Unknown => "unknown",
        };
        self.metrics.orders.with_label_values(&[kind, word]).inc();
        log::info!(
            engine = engine.as_str(), order = kind, adapter:% = order.adapter, result = word;
            "engine-order"
        );
        self.engine_event(engine, Event::OrderDone { id: order.id, result });
    }

    /// Checked right before an order: an engine that checks no fence relies on this check alone.
    fn may_order(&self, engine: &EngineName, server: &BackendServer) -> bool {
        checks_fence(server) || self.leases.may_order(self.now(), engine)
    }

    fn engine_event(self: &Rc<Self>, engine: EngineName, event: Event) {
        self.feed(Input::Engine { engine, event });
    }
}

fn checks_fence(server: &BackendServer) -> bool {
    matches!(server.kind, BackendKind::Engine { checks_fence: true, .. })
}
