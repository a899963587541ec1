//! Orders to an engine: the models that it shall load, under a fencing number.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use serde::Deserialize;

use crate::model_engine::Shared;
use crate::sync::lock;

/// An order as a caller sends it.
#[derive(Debug, Deserialize)]
pub(super) struct Order {
    fencing: u64,
    models: Vec<String>,
}

/// The highest fencing number that was accepted, and the models of the last accepted order.
#[derive(Debug, Default)]
pub(super) struct OrderState {
    fencing: u64,
    models: Vec<String>,
}

impl OrderState {
    pub(super) fn models(&self) -> Vec<String> {
        self.models.clone()
    }

    /// Applies an order and returns true, or returns false if the engine checks fencing numbers and
    /// has accepted a higher one.
    fn apply(&mut self, order: Order, checks_fencing: bool) -> bool {
        if checks_fencing && order.fencing < self.fencing {
            return false;
        }
        self.fencing = self.fencing.max(order.fencing);
        self.models = order.models;
        true
    }
}

/// Answers 200 to an accepted order and 409 to one with an outdated fencing number.
pub(super) async fn handle_order(
    State(shared): State<Arc<Shared>>,
    Json(order): Json<Order>,
) -> StatusCode {
    let checks_fencing = shared.config.checks_fencing;
    match lock(&shared.orders).apply(order, checks_fencing) {
        true => StatusCode::OK,
        false => StatusCode::CONFLICT,
    }
}
