//! Passes the answer of an attempt on to the client.

use snipespan_core::gateway::event::Event;
use snipespan_core::time::Timestamp;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::gateway::answer;
use crate::gateway::answer::BodyPart;
use crate::gateway::memory::MemoryExhausted;
use crate::gateway::request_task::AttemptStatus;
use crate::gateway::request_task::Output;
use crate::gateway::request_task::PartialAnswer;
use crate::gateway::request_task::RequestTask;
use crate::gateway::shell::Order;

/// Maximum number of parts of an answer that wait for a slow client; beyond it nothing more is read
/// from the backend server.
const MAX_QUEUED_PARTS: usize = 16;

impl RequestTask {
    /// Counts the memory that the answer takes; waits for some to be given back if there is none.
    pub(super) async fn count_memory(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        self.share.resize_within(bytes as u64, self.cx.unread_limit()).await
    }

    /// Ends the answer of a client that does not read it; the attempt ends with it. Dropping the
    /// sender of the parts makes the client's connection end with an error.
    pub(super) async fn end_unread(&mut self) {
        self.output = Output::Closed;
        if let Some(request) = self.request {
            self.report(Event::AnswerUnread { request, waited: self.cx.unread_limit() }).await;
        }
    }

    /// Sends the head of a streamed answer unless it was sent before; a later attempt continues the
    /// same answer.
    pub(super) fn open_stream(&mut self, partial: &PartialAnswer, now: Timestamp) {
        if !matches!(self.output, Output::HeadPending(_)) {
            return;
        }
        let (parts_tx, parts) = mpsc::channel(MAX_QUEUED_PARTS);
        let output = std::mem::replace(&mut self.output, Output::Streaming(parts_tx));
        if let Output::HeadPending(head) = output {
            let response = answer::streamed_response(partial.status, &partial.headers, parts);
            // If the client has disconnected, the closed queue of parts shows it.
            let _ = head.send(response);
            let seconds = now.since(self.arrived_at).as_secs_f64();
            self.cx.metrics.observe_first_byte("streaming", seconds);
        }
    }

    /// Sends the complete events that the client does not have yet. If an order arrives while the
    /// queue to the client is full, it interrupts this and the events stay undelivered.
    pub(super) async fn deliver_events(&mut self) -> AttemptStatus {
        let Output::Streaming(parts) = &self.output else { return AttemptStatus::InProgress };
        if self.events.undelivered().is_empty() {
            return AttemptStatus::InProgress;
        }
        tokio::select! {
            biased;
            permit = parts.reserve() => {
                if let Ok(permit) = permit {
                    let bytes = self.events.take_undelivered();
                    permit.send(BodyPart::Bytes(self.share.attach(bytes)));
                }
                AttemptStatus::InProgress
            }
            () = sleep(self.cx.unread_limit()) => AttemptStatus::Unread,
            order = next_interrupt(&mut self.orders, &mut self.is_withdrawn) => {
                AttemptStatus::Interrupted(order)
            }
        }
    }

    /// Ends a complete streamed answer. If an order arrives while the queue to the client is full,
    /// it interrupts this.
    pub(super) async fn end_stream(&mut self) -> AttemptStatus {
        let Output::Streaming(parts) = &self.output else { return AttemptStatus::Ended };
        tokio::select! {
            biased;
            permit = parts.reserve() => {
                if let Ok(permit) = permit {
                    permit.send(BodyPart::End);
                }
            }
            () = sleep(self.cx.unread_limit()) => return AttemptStatus::Unread,
            order = next_interrupt(&mut self.orders, &mut self.is_withdrawn) => {
                return AttemptStatus::Interrupted(order);
            }
        }
        self.output = Output::Closed;
        AttemptStatus::Ended
    }
}

/// Waits for an order that interrupts an attempt, also one that was sent, and records whether it was
/// withdrawn in case it was not.
async fn next_interrupt(
    orders: &mut mpsc::Receiver<Order>,
    is_withdrawn: &mut bool,
) -> Option<Order> {
    loop {
        match orders.recv().await {
            Some(Order::DropUnsent) => *is_withdrawn = true,
            order => return order,
        }
    }
}
