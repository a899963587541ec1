//! Control thread: sleeps until inputs arrive or the next deadline passes, then runs one step.

use std::thread;
use std::thread::JoinHandle;

use eyre::Result;
use snipespan_core::time::Timestamp;
use tokio::runtime::Builder;
use tokio::sync::mpsc;

use crate::clock::Clock;

/// Maximum number of inputs queued for the control thread. While the queue is full, new requests of
/// callers are refused as overloaded, and traffic tasks that must report an event wait.
pub const MAX_QUEUED_INPUTS: usize = 16_384;

/// Maximum number of inputs that one step processes.
const MAX_INPUTS_PER_STEP: usize = 1024;

/// State that only the control thread accesses.
pub trait ControlState: Send + 'static {
    /// Message from another thread to the control thread.
    type Input: Send + 'static;

    /// Processes and empties `inputs`. Returns the time at which the next step is due if no input
    /// arrives before; `None` if only an input can cause one.
    fn step(&mut self, now: Timestamp, inputs: &mut Vec<Self::Input>) -> Option<Timestamp>;
}

/// Creates the queue of inputs. The caller does this before [`start_thread`], as the state may need
/// the sender.
pub fn input_queue<I>() -> (mpsc::Sender<I>, mpsc::Receiver<I>) {
    mpsc::channel(MAX_QUEUED_INPUTS)
}

/// Starts the control thread, which ends when all senders of `rx` are dropped.
///
/// # Errors
/// If the runtime cannot be built or the thread cannot be started.
pub fn start_thread<S: ControlState>(
    clock: Clock,
    mut state: S,
    mut rx: mpsc::Receiver<S::Input>,
) -> Result<JoinHandle<()>> {
    let runtime = Builder::new_current_thread().enable_time().build()?;
    let run = move || {
        runtime.block_on(async {
            let mut inputs = Vec::with_capacity(MAX_INPUTS_PER_STEP);
            let mut wake_at = None;
            while receive_inputs(clock, &mut rx, &mut inputs, wake_at).await {
                wake_at = state.step(clock.now(), &mut inputs);
                inputs.clear();
            }
        });
    };
    Ok(thread::Builder::new().name("control".to_owned()).spawn(run)?)
}

/// Waits for inputs or until `wake_at`; returns `false` if all senders are dropped.
async fn receive_inputs<I>(
    clock: Clock,
    rx: &mut mpsc::Receiver<I>,
    inputs: &mut Vec<I>,
    wake_at: Option<Timestamp>,
) -> bool {
    let received = rx.recv_many(inputs, MAX_INPUTS_PER_STEP);
    let Some(wake_at) = wake_at else {
        return received.await > 0;
    };
    match tokio::time::timeout_at(clock.instant(wake_at).into(), received).await {
        Ok(count) => count > 0,
        Err(_) => true,
    }
}
